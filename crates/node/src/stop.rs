//! Graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use platform::rows;
use platform::store;
use salvo::server::ServerHandle;
use tokio::time::Instant;

use crate::state::Node;

/// Time until the load balancer sends no more connections: it polls readiness once a second and
/// acts on two failed polls.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Interval at which the number of requests in flight is checked.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Begins the shutdown and deregisters this instance. Requests are still served until the load
/// balancer has stopped sending connections and no request is in flight, or until the exit
/// deadline; then the server for clients is stopped.
pub async fn run(node: Arc<Node>, client: store::Client, front: ServerHandle) {
    let exit_deadline = node.begin_shutdown().exit_deadline();
    slog::info!(node.logger(), "stopping"; "in_flight" => node.in_flight());
    let key = rows::member_key(&node.settings.instance);
    let deregister = async {
        if let Err(err) = client.remove(&key).await {
            slog::info!(node.logger(), "deregister_failed"; "reason" => %err);
        }
    };
    let drained_at = exit_deadline.min(Instant::now() + BALANCER_DRAIN_TIME);
    tokio::join!(deregister, tokio::time::sleep_until(drained_at));
    while node.in_flight() > 0 && Instant::now() < exit_deadline {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    let time_left = exit_deadline.saturating_duration_since(Instant::now());
    front.stop_graceful(time_left.max(IN_FLIGHT_POLL_INTERVAL));
}
