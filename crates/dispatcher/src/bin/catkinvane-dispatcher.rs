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

  --settings FILE  settings in YAML
  --check          check the settings and exit
";

const IDLE_POLL: Duration = Duration::from_millis(20);
/// Time for the last replies to reach their gateways.
const FLUSH: Duration = Duration::from_millis(300);
/// Time for which a leaving dispatcher refers late askers to the new owners.
const LINGER: Duration = Duration::from_millis(1500);

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
    supervise(&mut supervisor, &node);
    let serving = (server.clone(), node.clone());
    supervisor.spawn("serve", RestartPolicy::Always, move || {
        let (server, node) = serving.clone();
        async move { server.serve(node).await }
    });

    let signals = supervisor::shutdown_signal()?;
    let drain = common.drain;
    let stop = async {
        signals.await;
        node.begin_shutdown();
        let idle = async {
            tokio::time::sleep(LINGER).await;
            while node.in_flight() > 0 {
                tokio::time::sleep(IDLE_POLL).await;
            }
        };
        if tokio::time::timeout(drain, idle).await.is_err() {
            slog::warn!(telemetry.logger(), "stop_timeout"; "in_flight" => node.in_flight());
        }
        tokio::time::sleep(FLUSH).await;
        tasks::depart(node.clone()).await;
    };
    supervisor.run(stop).await?;
    telemetry.event(Event::new(Kind::Stopped));
    server.close().await;
    peer.close().await;
    Ok(())
}

/// Starts every loop of the dispatcher.
fn supervise(supervisor: &mut Supervisor, node: &Arc<Node>) {
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
