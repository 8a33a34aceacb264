//! Starts the tasks of a node and runs them until a shutdown is requested.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use forwarding::retry::Pulse;
use mirror::Table;
use platform::settings;
use platform::settings::Settings;
use platform::store;
use salvo::Router;
use strum::IntoEnumIterator;
use supervisor::RestartPolicy;
use supervisor::Supervisor;
use telemetry::Telemetry;
use telemetry::registry::Registry;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

use crate::connection::Dial;
use crate::detour;
use crate::follow;
use crate::front::ClientHandler;
use crate::front::MetricsHandler;
use crate::front::ReadinessHandler;
use crate::listener::Acceptor;
use crate::listener_connections;
use crate::listener_connections::Connections;
use crate::origin;
use crate::owner::Owner;
use crate::owner::UpstreamEvent;
use crate::peers::Handler;
use crate::peers::Peers;
use crate::quota;
use crate::restore;
use crate::rollout;
use crate::state::Node;
use crate::suspicion;

/// The settings file is read again this often, since it may change without a SIGHUP.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Serves until `stop` completes, then shuts down gracefully. The metrics of `registry` are served
/// as text; upstreams are connected to with `dialer`.
///
/// # Errors
///
/// Fails if a client cannot be created, an address cannot be bound, or a task exceeds the restart
/// limit.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    telemetry: Telemetry,
    registry: Registry,
    dialer: Arc<dyn Dial>,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let store = store::Client::new(settings.store_address)?;
    let (owner, events) = Owner::new(settings.bounds, telemetry.clone());
    let peers = Peers::default();
    let store_client = store.clone();
    let node = Node::new(
        settings,
        telemetry.clone(),
        owner,
        peers,
        store_client,
        dialer,
    );
    let node = Arc::new(node);
    slog::info!(node.logger(), "started"; "version" => env!("CARGO_PKG_VERSION"),
        "front" => %node.settings.client_address, "peer" => %node.settings.peer_address);

    let mut supervisor = Supervisor::new(telemetry);
    let connections = Connections::of_clients(&node.settings, &node.memory);
    let unread = Arc::downgrade(&connections);
    node.memory.set_reclaim(move |needed| {
        let connections = unread.upgrade();
        connections.map_or(0, |it| it.close_unread(needed))
    });
    let mut listeners = vec![("clients", connections.clone())];
    let front = Acceptor::bind(node.settings.client_address, connections.clone())?.into_server();
    let handle = front.handle();
    let handler = ClientHandler {
        node: node.clone(),
        connections,
    };
    let service = salvo::Service::new(Router::with_path("{**rest}").goal(handler));
    let serving = tokio::spawn(front.try_serve(service));
    if node.settings.readiness_address != node.settings.client_address {
        let router = Router::with_path("{**rest}").goal(ReadinessHandler(node.clone()));
        let address = node.settings.readiness_address;
        let connections = spawn_http_server(&mut supervisor, &node, "ready", address, router)?;
        listeners.push(("ready", connections));
    }
    let router = Router::with_path("{**rest}").goal(MetricsHandler(registry));
    let address = node.settings.metrics_address;
    let connections = spawn_http_server(&mut supervisor, &node, "metrics", address, router)?;
    listeners.push(("metrics", connections));
    let check_node = node.clone();
    supervisor.spawn("connections", RestartPolicy::Always, move || {
        listener_connections::check(check_node.clone(), listeners.clone())
    });
    spawn_tasks(&mut supervisor, &node, &store, path.clone());
    let (event_node, events) = (node.clone(), Arc::new(Mutex::new(events)));
    supervisor.spawn("findings", RestartPolicy::Always, move || {
        handle_upstream_events(event_node.clone(), events.clone())
    });

    let stop = async {
        stop.await;
        // They may have changed a moment ago.
        match settings::read(&path) {
            Ok(settings) => node.set_stop_grace(settings.stop_grace),
            Err(err) => slog::warn!(node.logger(), "settings_unusable"; "reason" => %err),
        }
        crate::stop::run(node.clone(), store, handle).await;
        // The process ends anyway, so an error of the server is ignored.
        let _ = serving.await;
    };
    supervisor.run(stop).await?;
    slog::info!(node.logger(), "stopped");
    Ok(())
}

fn spawn_tasks(
    supervisor: &mut Supervisor,
    node: &Arc<Node>,
    store: &store::Client,
    path: PathBuf,
) {
    for table in Table::iter() {
        let (node, store) = (node.clone(), store.clone());
        supervisor.spawn("follow", RestartPolicy::Always, move || {
            follow::follow_table(node.clone(), store.clone(), table)
        });
    }
    for idx in follow::peer_indices() {
        let node = node.clone();
        supervisor.spawn("peer", RestartPolicy::Always, move || {
            follow::follow_peer(node.clone(), idx)
        });
    }
    let return_node = node.clone();
    supervisor.spawn("returns", RestartPolicy::Always, move || {
        follow::check_returns(return_node.clone())
    });
    let (era_node, era_store) = (node.clone(), store.clone());
    supervisor.spawn("era", RestartPolicy::Always, move || {
        follow::watch_era(era_node.clone(), era_store.clone())
    });
    let expiry_node = node.clone();
    supervisor.spawn("expire", RestartPolicy::Always, move || {
        follow::run_expiry(expiry_node.clone())
    });
    let announce_node = node.clone();
    supervisor.spawn("tell", RestartPolicy::Always, move || {
        suspicion::announce_losses(announce_node.clone())
    });
    let (persist_node, persist_store) = (node.clone(), store.clone());
    supervisor.spawn("keep", RestartPolicy::Always, move || {
        suspicion::persist_losses(persist_node.clone(), persist_store.clone())
    });
    let path_node = node.clone();
    supervisor.spawn("paths", RestartPolicy::Always, move || {
        detour::probe_paths(path_node.clone())
    });
    let beat_node = node.clone();
    supervisor.spawn("beat", RestartPolicy::Always, move || {
        beat(beat_node.clone())
    });
    let lend_node = node.clone();
    supervisor.spawn("lend", RestartPolicy::Always, move || {
        quota::lend::run(lend_node.clone())
    });
    let limits_node = node.clone();
    supervisor.spawn("limits", RestartPolicy::Always, move || {
        quota::news::exchange(limits_node.clone())
    });
    let owner_node = node.clone();
    supervisor.spawn("owner", RestartPolicy::Always, move || {
        owner_node.owner.clone().run(owner_node.clone())
    });
    let origin_node = node.clone();
    supervisor.spawn("origins", RestartPolicy::Always, move || {
        origin::save(origin_node.clone())
    });
    let hand_over_node = node.clone();
    supervisor.spawn("custody", RestartPolicy::Always, move || {
        origin::hand_over(hand_over_node.clone())
    });
    let version_node = node.clone();
    supervisor.spawn("versions", RestartPolicy::Always, move || {
        origin::record_versions(version_node.clone())
    });
    let rollout_node = node.clone();
    supervisor.spawn("rollouts", RestartPolicy::Always, move || {
        rollout::run(rollout_node.clone())
    });
    let (restore_node, restore_store) = (node.clone(), store.clone());
    supervisor.spawn("restore", RestartPolicy::Always, move || {
        restore::run(restore_node.clone(), restore_store.clone())
    });
    let (join_node, store) = (node.clone(), store.clone());
    supervisor.spawn("join", RestartPolicy::Always, move || {
        join_cluster(join_node.clone(), store.clone())
    });
    let settings_node = node.clone();
    supervisor.spawn("settings", RestartPolicy::Always, move || {
        watch_settings(settings_node.clone(), path.clone())
    });
}

/// Records that the process runs; never returns.
async fn beat(node: Arc<Node>) {
    loop {
        node.limits().beat(tokio::time::Instant::now());
        tokio::time::sleep(Pulse::INTERVAL).await;
    }
}

/// Handles the upstream events that step calls report.
async fn handle_upstream_events(
    node: Arc<Node>,
    events: Arc<Mutex<mpsc::UnboundedReceiver<UpstreamEvent>>>,
) {
    let mut events = events.lock().await;
    while let Some(event) = events.recv().await {
        match event {
            UpstreamEvent::Leaving(incarnation) => node.mark_upstream_leaving(&incarnation),
            UpstreamEvent::Unreachable(upstream) => suspicion::record_unreachable(&node, &upstream),
            UpstreamEvent::Lost {
                upstream,
                fingerprints,
                sent_at,
            } => suspicion::record_call_loss(&node, &upstream, &fingerprints, sent_at),
        }
    }
}

/// Connects this instance with the others: loads the certificates, serves their requests and
/// registers its own row.
async fn join_cluster(node: Arc<Node>, store: store::Client) {
    let keys = follow::load_keys(&node, &store).await;
    let local = node.settings.peer_address;
    let server = match wire::quic::Server::bind(&keys, local) {
        Ok(server) => server,
        Err(err) => {
            slog::error!(node.logger(), "peer_listen_failed"; "reason" => %err);
            return;
        }
    };
    match wire::quic::Client::new(&keys, local) {
        Ok(client) => node.peers.set_client(Arc::new(client)),
        Err(err) => {
            slog::error!(node.logger(), "peer_client_failed"; "reason" => %err);
            return;
        }
    }
    let handler = Arc::new(Handler(Arc::downgrade(&node)));
    tokio::join!(server.serve(handler), follow::register(node, store));
}

/// Rereads the settings on SIGHUP and periodically. Only the bounds that `Limits` enforces and the
/// time for a stop take effect; all other changes are merely logged.
async fn watch_settings(node: Arc<Node>, path: PathBuf) {
    use tokio::signal::unix;
    let Ok(mut hangup) = unix::signal(unix::SignalKind::hangup()) else {
        return;
    };
    let mut known = node.settings.clone();
    loop {
        let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        match settings::read(&path) {
            Ok(settings) if settings == known && !is_signal => {}
            Ok(settings) => {
                slog::info!(node.logger(), "settings_read"; "changed" => settings != known);
                node.limits().configure(&settings);
                node.set_stop_grace(settings.stop_grace);
                known = settings;
            }
            Err(err) => slog::warn!(node.logger(), "settings_unusable"; "reason" => %err),
        }
    }
}

fn spawn_http_server(
    supervisor: &mut Supervisor,
    node: &Arc<Node>,
    name: &'static str,
    address: SocketAddr,
    router: Router,
) -> eyre::Result<Arc<Connections>> {
    let router = Arc::new(router);
    let connections = Connections::of_observers(&node.memory);
    let mut first = Some(Acceptor::bind(address, connections.clone())?);
    let accepted = connections.clone();
    supervisor.spawn(name, RestartPolicy::Always, move || {
        let bind = || Acceptor::bind(address, accepted.clone());
        let acceptor = first.take().map_or_else(bind, Ok);
        let router = router.clone();
        async move {
            if let Ok(acceptor) = acceptor {
                acceptor.into_server().serve(router).await;
            }
        }
    });
    Ok(connections)
}
