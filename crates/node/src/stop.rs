//! The graceful stop.

use std::sync::Arc;
use std::time::Duration;

use platform::rows;
use platform::store;
use salvo::server::ServerHandle;
use tokio::time::Instant;

use crate::state::Node;

/// The balancer asks once a second and needs two misses before it sends no new connections.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Time between looks at the requests in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves what still arrives until the balancer has turned away and the requests in flight have
/// ended, then closes the front.
pub async fn run(node: Arc<Node>, client: store::Client, front: ServerHandle) {
    let exits_at = node.begin_shutdown().exit_deadline();
    slog::info!(node.logger(), "stopping"; "in_flight" => node.in_flight());
    let key = rows::member_key(&node.settings.instance);
    let deregister = async {
        if let Err(err) = client.remove(&key).await {
            slog::info!(node.logger(), "deregister_failed"; "reason" => %err);
        }
    };
    tokio::join!(deregister, tokio::time::sleep(BALANCER_DRAIN_TIME));
    while node.in_flight() > 0 && Instant::now() < exits_at {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    let time_left = exits_at.saturating_duration_since(Instant::now());
    front.stop_graceful(time_left.max(IN_FLIGHT_POLL_INTERVAL));
}
