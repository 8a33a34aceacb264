//! The gateway daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::id;
use claims::Registry;
use claims::batch::BatchWriter;
use claims::row::Holder;
use config::settings;
use gateway::Gateway;
use pipeline::Runner;
use pipeline::View;
use salvo::Listener;
use supervisor::RestartPolicy;
use supervisor::Supervisor;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::watch;
use wire::peer::Peer;

const HELP: &str = "\
catkinvane-gateway: serves the HTTP API for callers

USAGE: catkinvane-gateway --settings FILE [--check]

  --settings FILE  settings file (YAML)
  --check          check the settings and exit
";

/// Interval at which timeline events are sent to the dispatcher.
const EVENT_FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Time between failing the readiness check and closing the listener, in which the load balancer
/// stops sending requests.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_secs(1);

fn main() -> eyre::Result<()> {
    supervisor::daemon::run(HELP, settings::parse_gateway, serve)
}

async fn serve(settings: settings::Gateway) -> eyre::Result<()> {
    let common = &settings.common;
    let telemetry = Telemetry::daemon(&format!("gateway@{}", common.instance), common.statsd)?;
    let keys = wire::tls::load(&common.tls)?;
    let peer: Arc<dyn Peer> = Arc::new(wire::quic::Client::new(&keys, settings.dispatcher)?);
    let platform = Arc::new(table::http::Client::new(common.platform)?);
    let batch = BatchWriter::new(platform.clone());
    let holder = claim_holder(common.instance.clone());
    let view = watch::Sender::new(Arc::new(View::empty()));
    let runner = Runner::builder()
        .peer(peer.clone())
        .registry(Registry::new(platform, batch.clone(), holder.clone()))
        .telemetry(telemetry.clone())
        .zone(common.zone.clone())
        .view(view.subscribe())
        .seed(rand::random())
        .build();
    let runner = Arc::new(runner);
    let gateway = Arc::new(Gateway::new(runner.clone()));
    telemetry.event(Event::new(Kind::Started));

    let acceptor = salvo::conn::TcpListener::new(common.listen)
        .try_bind()
        .await
        .map_err(|err| eyre::eyre!("cannot listen on {}: {err}", common.listen))?;
    // Salvo's fuse closes slow connections, but a caller may read a long stream slowly.
    let server = salvo::Server::new(acceptor).disable_fuse();
    let handle = server.handle();
    let service = salvo::Service::new(gateway::router(gateway.clone()));
    let serving = tokio::spawn(server.try_serve(service));

    let mut supervisor = Supervisor::new(telemetry.clone());
    let follow_args = (peer.clone(), settings.dispatcher, view, telemetry.clone());
    let incarnation = holder.incarnation;
    supervisor.spawn("follow", RestartPolicy::Always, move || {
        let (peer, dispatcher, view, telemetry) = follow_args.clone();
        pipeline::follow_view(peer, dispatcher, incarnation, view, telemetry)
    });
    supervisor.spawn("claims", RestartPolicy::Always, move || {
        batch.clone().serve()
    });
    let reporter = EventReporter {
        telemetry: telemetry.clone(),
        dispatcher: settings.dispatcher,
        peer: peer.clone(),
    };
    supervisor.spawn("timeline", RestartPolicy::Always, move || {
        reporter.clone().run()
    });

    let signals = supervisor::shutdown_signal()?;
    let drain = common.drain_timeout;
    let shutdown = async {
        signals.await;
        telemetry.event(Event::new(Kind::Stopping));
        gateway.fail_readiness();
        tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
        handle.stop_graceful(drain);
        // Errors of single connections do not affect the shutdown.
        let _ = serving.await;
        if tokio::time::timeout(drain, runner.wait_until_idle())
            .await
            .is_err()
        {
            slog::warn!(telemetry.logger(), "stop_timeout"; "busy" => runner.active_count());
        }
    };
    supervisor.run(shutdown).await?;
    telemetry.event(Event::new(Kind::Stopped));
    Ok(())
}

/// Identifies this process in the claims that it holds. The incarnation is the start time in Unix
/// milliseconds.
fn claim_holder(instance: id::Instance) -> Holder {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Holder {
        instance,
        incarnation: since_epoch.unwrap_or_default().as_millis() as u64,
    }
}

/// Sends the gateway's timeline events to the dispatcher of its instance, where operators query
/// them.
#[derive(Clone)]
struct EventReporter {
    telemetry: Telemetry,
    dispatcher: SocketAddr,
    peer: Arc<dyn Peer>,
}

impl EventReporter {
    async fn run(self) {
        loop {
            tokio::time::sleep(EVENT_FLUSH_INTERVAL).await;
            let events = self.telemetry.recorder().take_unsent();
            if events.is_empty() {
                continue;
            }
            let request = wire::Request::Events(events);
            // Events that fail to arrive are missing from the timeline, but are in the log.
            let _ = wire::peer::request(self.peer.as_ref(), self.dispatcher, request).await;
        }
    }
}
