//! One run of a seed: starts nodes and clients, injects the faults and checks the invariants.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use platform_standin::client;
use platform_standin::proxy;
use platform_standin::proxy::Proxy;
use platform_standin::site;
use platform_standin::site::API_KEY;
use platform_standin::site::RetryLimit;
use platform_standin::site::Site;
use platform_standin::store::Copy;
use platform_standin::store::Mode;
use platform_standin::upstream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use testbed::process::Daemon;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::check;
use crate::check::SentRequest;
use crate::check::Violation;
use crate::fault;
use crate::fault::Fault;
use crate::limit::Limit;
use crate::poison;
use crate::rollouts;
use crate::versions;
use crate::versions::Engines;

/// Time within which a started node serves, and for which requests to a node that received a signal
/// are exempt from the response time limit.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the end of all faults within which every node serves the newest configuration.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which a node exits after SIGTERM: the grace period of its settings and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause of a client between a response and its next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);
/// Number of concurrent clients.
const CLIENT_COUNT: u64 = 6;
/// Number of concurrent clients that take up their streams.
const DOWNLOAD_COUNT: u64 = 4;

/// Options that all seeds of an invocation share.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the node executable.
    pub program: PathBuf,
    /// Directory for the settings and logs of the nodes; created if absent.
    pub dir: PathBuf,
    /// Number of node processes.
    pub node_count: usize,
    /// Time for which clients send requests.
    pub load_duration: Duration,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of requests that the clients sent, without those that crash upstreams.
    pub requests: usize,
    /// Number of those with status 200 and a complete body.
    pub succeeded: usize,
    /// Attempts to take a stream up that brought an event.
    pub taken_up: usize,
    /// Attempts to take a stream up.
    pub take_ups: usize,
    /// Injected faults with their start times, in order of time.
    pub faults: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

struct NodeProcess {
    name: String,
    client_address: SocketAddr,
    ready_address: SocketAddr,
    settings: PathBuf,
    /// The process; `None` while it is killed or restarting.
    daemon: Option<Daemon>,
    /// Requests sent to the node before this time are exempt from the response time limit.
    excused_until: Arc<Mutex<Instant>>,
}

struct Run {
    options: Options,
    site: Site,
    /// The way of each node to the store.
    store_proxies: Vec<Proxy>,
    upstream_proxies: Vec<Proxy>,
    nodes: Vec<NodeProcess>,
    engines: Engines,
    config_version: u64,
    /// Routes that all further configurations have beside the usual ones.
    other_routes: usize,
    /// Copy of the store, and the version of the configuration in it.
    store_copy: Option<(Copy, u64)>,
    /// Runs of poison requests sent before this time are exempt from their bound, because nodes may
    /// have missed crash reports in the store.
    store_excused_until: Arc<Mutex<Instant>>,
    violations: Vec<Violation>,
}

/// Runs the faults of one seed under load and checks the invariants.
///
/// # Errors
///
/// Fails when a process or socket cannot be started, signalled or stopped, or when a client panics.
pub async fn run(options: &Options, seed: u64) -> eyre::Result<Outcome> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut run = Run::start(options).await?;
    let mut faults = fault::generate(
        &mut rng,
        options.load_duration,
        options.node_count,
        run.upstream_proxies.len(),
    );
    let end = Instant::now() + options.load_duration;
    let next_id = Arc::new(AtomicU64::new(0));
    let mut clients = JoinSet::new();
    for client in 0..CLIENT_COUNT {
        let targets = run.targets();
        let rng = SmallRng::seed_from_u64(seed ^ (client << 32));
        clients.spawn(run_client(targets, rng, next_id.clone(), end));
    }
    let mut downloads = JoinSet::new();
    for client in 0..DOWNLOAD_COUNT {
        let rng = SmallRng::seed_from_u64(!seed ^ (client << 32));
        downloads.spawn(versions::run_client(run.targets(), rng, client, end));
    }
    // Its own generator, so that the faults of a seed stay the same.
    let mut own_rng = SmallRng::seed_from_u64(!seed);
    let limit = Limit::start(&run.site, &mut own_rng);
    let releases = versions::generate(&mut own_rng, options.load_duration, &faults);
    faults.extend(releases);
    faults.extend(fault::generate_returns(&mut own_rng, options.load_duration));
    let order = rollouts::generate(&mut own_rng, options.load_duration);
    let has_bad_order = order
        .as_ref()
        .is_some_and(|it| it.fault == Fault::OrderRollout { is_bad: true });
    faults.extend(order);
    faults.extend(fault::generate_changes(
        &mut own_rng,
        options.load_duration,
        options.node_count,
    ));
    faults.sort_by_key(|it| it.at);
    let crashes = poison::start(&run.site.store, &mut rng).await?;
    let targets = run.targets();
    let excused_until = run.store_excused_until.clone();
    let poison = tokio::spawn(poison::run_client(targets, excused_until, rng.clone(), end));
    let descriptions = faults
        .iter()
        .map(|it| format!("{:?} {:?}", it.at, it.fault));
    let mut outcome = Outcome {
        faults: descriptions.collect(),
        ..Outcome::default()
    };
    run.inject_faults(faults, end).await?;
    let mut requests = Vec::new();
    while let Some(client_requests) = clients.join_next().await {
        requests.extend(client_requests.wrap_err("a client failed")?);
    }
    while let Some(result) = downloads.join_next().await {
        let (downloads, download_requests) = result.wrap_err("a client of streams failed")?;
        run.violations.extend(versions::check(&downloads));
        requests.extend(download_requests);
    }
    run.violations.extend(limit.end());
    run.recover_and_check().await?;
    if has_bad_order {
        run.violations.extend(rollouts::check(&run.site));
    }
    run.violations
        .extend(check::check_requests(&run.site, &requests));
    let sent = poison.await.wrap_err("the poison client failed")?;
    run.violations.extend(poison::check(&crashes, &sent));
    outcome.requests = requests.len();
    (outcome.taken_up, outcome.take_ups) = versions::count_take_ups(&requests);
    let succeeded = requests
        .iter()
        .filter(|it| it.response.status == 200 && it.response.is_complete);
    outcome.succeeded = succeeded.count();
    outcome.violations = run.violations;
    Ok(outcome)
}

impl Run {
    async fn start(options: &Options) -> eyre::Result<Run> {
        std::fs::create_dir_all(&options.dir)?;
        let mut site = Site::start().await?;
        let mut store_proxies = Vec::new();
        for _ in 0..options.node_count {
            store_proxies.push(Proxy::start(site.store_address).await?);
        }
        let mut upstream_proxies = Vec::new();
        for idx in 0..site.upstreams.len() {
            let proxy = Proxy::start(site.upstreams[idx].2).await?;
            site.upstreams[idx].2 = proxy.address;
            site.register(idx, "ready");
            upstream_proxies.push(proxy);
        }
        let engines = Engines::new(&site);
        let mut run = Run {
            options: options.clone(),
            site,
            store_proxies,
            upstream_proxies,
            nodes: Vec::new(),
            engines,
            config_version: 1,
            other_routes: 0,
            store_copy: None,
            store_excused_until: Arc::new(Mutex::new(Instant::now())),
            violations: Vec::new(),
        };
        for idx in 0..options.node_count {
            let node = run.start_node(idx)?;
            run.nodes.push(node);
        }
        for idx in 0..options.node_count {
            let is_ready = run.wait_until_ready(idx, START_TIMEOUT).await;
            eyre::ensure!(
                is_ready,
                "node {idx} was not ready within {START_TIMEOUT:?}"
            );
        }
        Ok(run)
    }

    /// Client address and end of the exemption of each node.
    fn targets(&self) -> Vec<(SocketAddr, Arc<Mutex<Instant>>)> {
        let nodes = self.nodes.iter();
        nodes
            .map(|it| (it.client_address, it.excused_until.clone()))
            .collect()
    }

    fn start_node(&self, idx: usize) -> eyre::Result<NodeProcess> {
        let ports = site::reserve_ports()?;
        let zone = if idx.is_multiple_of(2) { "a" } else { "b" };
        let name = format!("n{idx}");
        let text = site::settings(
            &name,
            zone,
            self.store_proxies[idx].address,
            ports,
            RetryLimit::AMPLE,
        );
        let settings = self.options.dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, rollouts::extend_settings(&text))?;
        let daemon = Daemon::start(&name, &self.options.program, &settings, &self.options.dir)?;
        Ok(NodeProcess {
            name,
            client_address: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            ready_address: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            settings,
            daemon: Some(daemon),
            excused_until: Arc::new(Mutex::new(Instant::now())),
        })
    }

    fn restart_node(&mut self, idx: usize) -> eyre::Result<()> {
        let node = &mut self.nodes[idx];
        let (program, dir) = (&self.options.program, &self.options.dir);
        node.daemon = Some(Daemon::start(&node.name, program, &node.settings, dir)?);
        Ok(())
    }

    /// Starts and ends each fault at its time; faults may overlap.
    async fn inject_faults(
        &mut self,
        faults: Vec<fault::ScheduledFault>,
        end: Instant,
    ) -> eyre::Result<()> {
        let start = end - self.options.load_duration;
        let mut active: Vec<(Instant, Fault)> = Vec::new();
        let mut upcoming = faults.into_iter().peekable();
        loop {
            active.sort_by_key(|it| it.0);
            let next_start = upcoming.peek().map(|it| start + it.at);
            let next_end = active.first().map(|it| it.0);
            let Some(next) = next_start.into_iter().chain(next_end).min() else {
                break;
            };
            tokio::time::sleep_until(next).await;
            if next_end == Some(next) {
                let (_, fault) = active.remove(0);
                self.end_fault(&fault).await?;
            } else if let Some(scheduled) = upcoming.next() {
                self.start_fault(&scheduled.fault).await?;
                active.push((next + scheduled.duration, scheduled.fault));
            }
        }
        Ok(())
    }

    async fn start_fault(&mut self, fault: &Fault) -> eyre::Result<()> {
        match fault {
            Fault::Kill(idx) => {
                self.excuse_node(*idx);
                // Dropping the daemon sends SIGKILL.
                self.nodes[*idx].daemon = None;
            }
            Fault::Terminate(idx) => self.signal_node(*idx, Signal::TERM)?,
            Fault::Freeze(idx) => self.signal_node(*idx, Signal::STOP)?,
            Fault::Store(mode) => {
                self.excuse_store();
                self.site.store.set_mode(*mode);
            }
            Fault::Compact => {
                self.excuse_store();
                self.site.store.compact();
            }
            Fault::CopyStore => {
                self.store_copy = Some((self.site.store.copy(), self.config_version));
            }
            Fault::ReturnStore { operators_go_on } => {
                self.excuse_store();
                if let Some((copy, version)) = self.store_copy.take() {
                    self.site.store.drill(copy, *operators_go_on);
                    if *operators_go_on {
                        self.config_version = version;
                    }
                }
            }
            Fault::StorePath(mode) => {
                self.excuse_store();
                self.store_proxies.iter().for_each(|it| it.set_mode(*mode));
            }
            Fault::OtherStorePaths(served, mode) => {
                self.excuse_store();
                let others = self.store_proxies.iter().enumerate();
                let others = others.filter(|(idx, _)| idx != served);
                others.for_each(|(_, it)| it.set_mode(*mode));
            }
            Fault::Upstream(idx, fault) => self.site.upstreams[*idx].0.set_fault(*fault, None),
            Fault::UpstreamPath(idx, mode) => self.upstream_proxies[*idx].set_mode(*mode),
            Fault::Drain(idx) => self.site.register(*idx, "draining"),
            Fault::Evacuate(zone) => {
                self.site
                    .store
                    .put("op", &format!("evacuate/{zone}"), b"{}");
            }
            Fault::Configure => self.configure([]),
            Fault::ConfigureLarge => {
                self.other_routes = fault::LARGE_ROUTES;
                self.configure([]);
            }
            Fault::KillAll => {
                for idx in 0..self.nodes.len() {
                    self.excuse_node(idx);
                    self.nodes[idx].daemon = None;
                }
            }
            Fault::Release(version) => self.engines.release(&mut self.site, version).await?,
            Fault::Replace(version) => self.engines.replace(&mut self.site, version).await?,
            Fault::Retire => self.engines.retire(&self.site),
            Fault::OrderRollout { is_bad } => rollouts::order(&mut self.site, *is_bad).await?,
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: &Fault) -> eyre::Result<()> {
        match fault {
            Fault::Kill(idx) => {
                if self.nodes[*idx].daemon.is_none() {
                    self.restart_node(*idx)?;
                }
            }
            Fault::Terminate(idx) => self.restart_terminated(*idx).await?,
            Fault::Freeze(idx) => self.signal_node(*idx, Signal::CONT)?,
            Fault::Store(_) => {
                self.excuse_store();
                self.site.store.set_mode(Mode::Up);
            }
            Fault::StorePath(_) | Fault::OtherStorePaths(..) => {
                self.excuse_store();
                self.pass_store_paths();
            }
            Fault::Upstream(idx, _) => {
                let upstream = &self.site.upstreams[*idx].0;
                upstream.set_fault(upstream::Fault::None, None);
            }
            Fault::UpstreamPath(idx, _) => self.upstream_proxies[*idx].set_mode(proxy::Mode::Pass),
            Fault::Drain(idx) => self.site.start_again(*idx),
            Fault::Evacuate(zone) => {
                self.site.store.delete("op", &format!("evacuate/{zone}"));
            }
            Fault::KillAll => {
                for idx in 0..self.nodes.len() {
                    if self.nodes[idx].daemon.is_none() {
                        self.restart_node(idx)?;
                    }
                }
            }
            Fault::Compact
            | Fault::CopyStore
            | Fault::ReturnStore { .. }
            | Fault::Configure
            | Fault::ConfigureLarge
            | Fault::Release(_)
            | Fault::Replace(_)
            | Fault::Retire
            | Fault::OrderRollout { .. } => {}
        }
        Ok(())
    }

    /// Writes a newer version of the configuration with routes of these names.
    fn configure(&mut self, names: impl IntoIterator<Item = String>) {
        self.config_version += 1;
        let others = (0..self.other_routes).map(|it| format!("other-{it}"));
        self.site
            .configure_paths(self.config_version, others.chain(names));
    }

    fn pass_store_paths(&self) {
        let proxies = self.store_proxies.iter();
        proxies.for_each(|it| it.set_mode(proxy::Mode::Pass));
    }

    /// Waits for a node that received SIGTERM to exit, and starts it again.
    async fn restart_terminated(&mut self, idx: usize) -> eyre::Result<()> {
        if let Some(mut daemon) = self.nodes[idx].daemon.take() {
            // The process may have been killed and started again since.
            daemon.signal(Signal::TERM)?;
            // A stopped process handles a pending SIGTERM only after SIGCONT.
            daemon.signal(Signal::CONT)?;
            tokio::task::spawn_blocking(move || daemon.wait(STOP_TIMEOUT)).await??;
        }
        self.restart_node(idx)
    }

    fn signal_node(&mut self, idx: usize, signal: Signal) -> eyre::Result<()> {
        self.excuse_node(idx);
        if let Some(daemon) = &self.nodes[idx].daemon {
            daemon.signal(signal)?;
        }
        Ok(())
    }

    /// Exempts requests to a node from the response time limit for [`START_TIMEOUT`].
    fn excuse_node(&self, idx: usize) {
        let until = Instant::now() + START_TIMEOUT;
        let excused_until = &self.nodes[idx].excused_until;
        *excused_until.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Exempts runs of the poison request from their bound until the longest store fault has ended
    /// and a crash could have been detected after it.
    fn excuse_store(&self) {
        let until = Instant::now() + fault::MAX_DURATION + poison::DETECTION_WINDOW;
        let excused_until = &self.store_excused_until;
        *excused_until.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Ends every fault, writes a new configuration and checks that all nodes serve its new route.
    async fn recover_and_check(&mut self) -> eyre::Result<()> {
        self.site.store.set_mode(Mode::Up);
        self.pass_store_paths();
        self.upstream_proxies
            .iter()
            .for_each(|it| it.set_mode(proxy::Mode::Pass));
        for idx in 0..self.site.upstreams.len() {
            let upstream = &self.site.upstreams[idx].0;
            upstream.set_fault(upstream::Fault::None, None);
            match self.site.is_draining(idx) {
                true => self.site.start_again(idx),
                false => self.site.register(idx, "ready"),
            }
        }
        for zone in ["a", "b"] {
            self.site.store.delete("op", &format!("evacuate/{zone}"));
        }
        self.configure(["last".to_owned()]);
        for idx in 0..self.nodes.len() {
            let daemon = self.nodes[idx].daemon.as_mut();
            if daemon.is_none_or(|it| it.has_exited()) {
                self.violations.push(Violation::Ended(idx));
                continue;
            }
            if !self.wait_until_serving(idx, RECOVERY_TIMEOUT).await {
                self.violations.push(Violation::NotRecovered(idx));
            }
        }
        Ok(())
    }

    /// Polls the readiness of a node, as a load balancer does; `false` after `timeout`.
    async fn wait_until_ready(&self, idx: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let address = self.nodes[idx].ready_address;
        while Instant::now() < deadline {
            let response = client::send_request(address, "GET /api/readyz", &[], b"").await;
            if response.status == 200 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Sends probe requests to a node until it responds with 200; `false` after `timeout`.
    async fn wait_until_serving(&self, idx: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let path = if self.config_version > 1 {
            "GET /last/1"
        } else {
            "GET /read/1"
        };
        let authorization = format!("authorization: Bearer {API_KEY}");
        let request_id = format!("x-request-id: {}", check::PROBE_REQUEST_ID);
        while Instant::now() < deadline {
            let headers = [authorization.as_str(), &request_id, "x-deadline-ms: 1000"];
            let response =
                client::send_request(self.nodes[idx].client_address, path, &headers, b"");
            let response = tokio::time::timeout(Duration::from_secs(2), response).await;
            if response.is_ok_and(|it| it.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// Sends requests one after the other, each to a random node, until `end`.
async fn run_client(
    targets: Vec<(SocketAddr, Arc<Mutex<Instant>>)>,
    mut rng: SmallRng,
    next_id: Arc<AtomicU64>,
    end: Instant,
) -> Vec<SentRequest> {
    let mut requests = Vec::new();
    while Instant::now() < end {
        let (client_address, excused_until) = &targets[rng.random_range(0..targets.len())];
        let id = format!("r{}", next_id.fetch_add(1, Ordering::Relaxed));
        let (target, service, is_idempotent, timeout_ms) = match rng.random_range(0..4) {
            0 => ("GET /read/1", "ledger", true, 2_000),
            1 => ("POST /post/1", "ledger", false, 2_000),
            2 => ("POST /draft/1", "engine", false, 4_000),
            _ => ("POST /summary/1", "engine", true, 4_000),
        };
        let authorization = format!("authorization: Bearer {API_KEY}");
        let request_id = format!("x-request-id: {id}");
        let headers = [
            authorization.as_str(),
            request_id.as_str(),
            "x-deadline-ms: 5000",
            "x-prompt-prefix: a:900,b:900,c:100",
            "x-chunks: 2",
            "x-chunk-key: k",
        ];
        let start = Instant::now();
        let response = client::send_request(*client_address, target, &headers, b"");
        let response = tokio::time::timeout(Duration::from_secs(6), response).await;
        let excused_until = *excused_until.lock().unwrap_or_else(PoisonError::into_inner);
        requests.push(SentRequest {
            id,
            service,
            is_idempotent,
            timeout_ms,
            last_event: 0,
            response: response.unwrap_or_default(),
            elapsed_ms: start.elapsed().as_millis(),
            is_excused: start < excused_until,
        });
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    requests
}

/// Path of the node executable: in the directory of the running program or the one above.
///
/// # Errors
///
/// Fails when the path of the running program is unknown, or the node executable is not built.
pub fn node_program() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Test executables are one directory below the programs.
    let mut dirs = own.ancestors().skip(1).take(2);
    let found = dirs.find_map(|dir: &Path| {
        let program = dir.join("catkinvane-node");
        program.exists().then_some(program)
    });
    found.ok_or_else(|| eyre::eyre!("catkinvane-node not found; build it first"))
}
