//! The dispatcher daemon.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use config::settings;
use dispatcher::Node;
use dispatcher::tasks;
use supervisor::RestartPolicy;
use supervisor::Supervisor;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;

const HELP: &str = "\
catkinvane-dispatcher: owns a share of the upstreams

USAGE: catkinvane-dispatcher --settings FILE [--check]

  --settings FILE  settings file (YAML)
  --check          check the settings and exit
";

/// Interval at which a stopping dispatcher checks whether calls are still in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last replies to reach their gateways before the dispatcher departs.
const REPLY_FLUSH_DELAY: Duration = Duration::from_millis(300);
/// Minimum time for which a stopping dispatcher answers calls with refusals. Gateways that do not
/// know the new owners yet still send calls to it, and retry refused ones elsewhere.
const REFUSAL_PERIOD: Duration = Duration::from_millis(1500);

fn main() -> eyre::Result<()> {
    supervisor::daemon::run(HELP, settings::parse_dispatcher, serve)
}

async fn serve(settings: settings::Dispatcher) -> eyre::Result<()> {
    let common = settings.common;
    let telemetry = Telemetry::daemon(&format!("dispatcher@{}", common.instance), common.statsd)?;
    let keys = wire::tls::load(&common.tls)?;
    let server = Arc::new(wire::quic::Server::bind(&keys, common.listen)?);
    let peer = Arc::new(wire::quic::Client::new(&keys, common.listen)?);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let node = Node::builder()
        .instance(common.instance)
        .zone(common.zone)
        .address(common.listen)
        .incarnation(since_epoch?.as_millis() as u64)
        .peer(peer.clone())
        .platform(Arc::new(table::http::Client::new(common.platform)?))
        .upstreams(Arc::new(dispatcher::http::Client::new()?))
        .telemetry(telemetry.clone())
        .seeds(settings.seeds)
        .build();
    let node = Arc::new(node);

    let mut supervisor = Supervisor::new(telemetry.clone());
    spawn_tasks(&mut supervisor, &node);
    let serve_args = (server.clone(), node.clone());
    supervisor.spawn("serve", RestartPolicy::Always, move || {
        let (server, node) = serve_args.clone();
        async move { server.serve(node).await }
    });

    let shutdown_signal = supervisor::shutdown_signal()?;
    let drain_timeout = common.drain_timeout;
    let shutdown = async {
        shutdown_signal.await;
        node.begin_shutdown();
        let idle = async {
            tokio::time::sleep(REFUSAL_PERIOD).await;
            while node.in_flight() > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(drain_timeout, idle).await.is_err() {
            slog::warn!(telemetry.logger(), "stop_timeout"; "in_flight" => node.in_flight());
        }
        tokio::time::sleep(REPLY_FLUSH_DELAY).await;
        tasks::depart(node.clone()).await;
    };
    supervisor.run(shutdown).await?;
    telemetry.event(Event::new(Kind::Stopped));
    server.close().await;
    peer.close().await;
    Ok(())
}

/// Starts the background tasks of the dispatcher.
fn spawn_tasks(supervisor: &mut Supervisor, node: &Arc<Node>) {
    macro_rules! task {
        ($name:ident) => {
            let node = node.clone();
            supervisor.spawn(stringify!($name), RestartPolicy::Always, move || {
                tasks::$name(node.clone())
            });
        };
    }
    task!(heartbeats);
    task!(configuration);
    task!(fetches);
    task!(listing);
    task!(reports);
    task!(sweeps);
    task!(member_events);
}
