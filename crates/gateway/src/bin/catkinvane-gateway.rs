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
catkinvane-gateway: serves callers

USAGE: catkinvane-gateway --settings FILE [--check]

  --settings FILE  settings in YAML
  --check          check the settings and exit
";

/// Interval at which events are passed on to the dispatcher.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between telling the balancer and closing the listener.
const LINGER: Duration = Duration::from_secs(1);

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
    let holder = holder(common.instance.clone());
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
    // Slow readers of long streams are callers too; nothing may cut them off.
    let server = salvo::Server::new(acceptor).disable_fuse();
    let handle = server.handle();
    let service = salvo::Service::new(gateway::router(gateway.clone()));
    let serving = tokio::spawn(server.try_serve(service));

    let mut supervisor = Supervisor::new(telemetry.clone());
    let follow = (peer.clone(), settings.dispatcher, view, telemetry.clone());
    let incarnation = holder.incarnation;
    supervisor.spawn("follow", RestartPolicy::Always, move || {
        let (peer, dispatcher, view, telemetry) = follow.clone();
        pipeline::follow(peer, dispatcher, incarnation, view, telemetry)
    });
    supervisor.spawn("claims", RestartPolicy::Always, move || {
        batch.clone().serve()
    });
    let reporter = Reporter {
        telemetry: telemetry.clone(),
        dispatcher: settings.dispatcher,
        peer: peer.clone(),
    };
    supervisor.spawn("timeline", RestartPolicy::Always, move || {
        reporter.clone().run()
    });

    let signals = supervisor::shutdown_signal()?;
    let drain = common.drain;
    let stop = async {
        signals.await;
        telemetry.event(Event::new(Kind::Stopping));
        gateway.leave();
        tokio::time::sleep(LINGER).await;
        handle.stop_graceful(drain);
        // Errors of single connections do not matter any more.
        let _ = serving.await;
        if tokio::time::timeout(drain, runner.idle()).await.is_err() {
            slog::warn!(telemetry.logger(), "stop_timeout"; "busy" => runner.busy());
        }
    };
    supervisor.run(stop).await?;
    telemetry.event(Event::new(Kind::Stopped));
    Ok(())
}

fn holder(instance: id::Instance) -> Holder {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Holder {
        instance,
        incarnation: since_epoch.unwrap_or_default().as_millis() as u64,
    }
}

/// Passes the gateway's events on to the dispatcher of its instance, from which operators read them.
#[derive(Clone)]
struct Reporter {
    telemetry: Telemetry,
    dispatcher: SocketAddr,
    peer: Arc<dyn Peer>,
}

impl Reporter {
    async fn run(self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let events = self.telemetry.recorder().take_unsent();
            if events.is_empty() {
                continue;
            }
            let request = wire::Request::Events(events);
            // Lost events are missing from the time line; the log still has them.
            let _ = wire::peer::request(self.peer.as_ref(), self.dispatcher, request).await;
        }
    }
}
