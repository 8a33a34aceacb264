//! One run: nodes, clients and faults.

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
use platform_standin::site;
use platform_standin::site::API_KEY;
use platform_standin::site::Site;
use platform_standin::store::Mode;
use platform_standin::upstream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde_json::json;
use testbed::process::Daemon;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::check;
use crate::check::Asked;
use crate::check::Violation;
use crate::fault;
use crate::fault::Fault;
use crate::poison;
use crate::proxy;
use crate::proxy::Proxy;

/// Longest time that a node needs to be ready, or to end.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time after the last fault within which every node serves again.
const RECOVER_LIMIT: Duration = Duration::from_secs(12);
/// Grace time of the nodes' settings, and a margin.
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// Pause between the requests of one client.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);
/// Clients.
const CLIENTS: u64 = 6;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub dir: PathBuf,
    /// Node processes.
    pub nodes: usize,
    /// Time of the load.
    pub length: Duration,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests.
    pub asked: usize,
    /// Whole successes.
    pub whole: usize,
    /// Faults, in order of time.
    pub faults: Vec<String>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

struct Child {
    name: String,
    front: SocketAddr,
    settings: PathBuf,
    daemon: Option<Daemon>,
    /// Until when requests to it are excused from the time limit.
    disturbed: Arc<Mutex<Instant>>,
}

struct Run {
    options: Options,
    site: Site,
    store: Proxy,
    paths: Vec<Proxy>,
    children: Vec<Child>,
    version: u64,
    /// Until when faults of the store excuse what instances do not know.
    store_disturbed: Arc<Mutex<Instant>>,
    violations: Vec<Violation>,
}

/// Runs one seed.
///
/// # Errors
///
/// Fails when a process or socket cannot be had.
pub async fn run(options: &Options, seed: u64) -> eyre::Result<Outcome> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut run = Run::start(options).await?;
    let faults = fault::draw(&mut rng, options.length, options.nodes, run.paths.len());
    let end = Instant::now() + options.length;
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let targets = run.targets();
        let rng = SmallRng::seed_from_u64(seed ^ (client << 32));
        clients.spawn(load(targets, rng, counter.clone(), end));
    }
    let crashes = poison::start(&run.site.store, &mut rng).await?;
    let targets = run.targets();
    let disturbed = run.store_disturbed.clone();
    let poison = tokio::spawn(poison::load(targets, disturbed, rng.clone(), end));
    let names = faults
        .iter()
        .map(|it| format!("{:?} {:?}", it.at, it.fault));
    let mut outcome = Outcome {
        faults: names.collect(),
        ..Outcome::default()
    };
    run.inject(faults, end).await?;
    let mut asked = Vec::new();
    while let Some(of_client) = clients.join_next().await {
        asked.extend(of_client.wrap_err("a client failed")?);
    }
    run.recover().await?;
    run.violations.extend(check::all(&run.site, &asked));
    let sent = poison.await.wrap_err("the poison client failed")?;
    run.violations.extend(poison::check(&crashes, &sent));
    outcome.asked = asked.len();
    let whole = asked
        .iter()
        .filter(|it| it.answer.status == 200 && it.answer.is_complete);
    outcome.whole = whole.count();
    outcome.violations = run.violations;
    Ok(outcome)
}

impl Run {
    async fn start(options: &Options) -> eyre::Result<Run> {
        std::fs::create_dir_all(&options.dir)?;
        let mut site = Site::start().await?;
        let store = Proxy::start(site.store_address).await?;
        let mut paths = Vec::new();
        for idx in 0..site.upstreams.len() {
            let path = Proxy::start(site.upstreams[idx].2).await?;
            site.upstreams[idx].2 = path.address;
            site.register(idx, "ready");
            paths.push(path);
        }
        let mut run = Run {
            options: options.clone(),
            site,
            store,
            paths,
            children: Vec::new(),
            version: 1,
            store_disturbed: Arc::new(Mutex::new(Instant::now())),
            violations: Vec::new(),
        };
        for idx in 0..options.nodes {
            let child = run.child(idx)?;
            run.children.push(child);
        }
        for idx in 0..options.nodes {
            let is_ready = run.is_serving(idx, START_LIMIT).await;
            eyre::ensure!(is_ready, "node {idx} did not start");
        }
        Ok(run)
    }

    fn targets(&self) -> Vec<(SocketAddr, Arc<Mutex<Instant>>)> {
        let children = self.children.iter();
        children
            .map(|it| (it.front, it.disturbed.clone()))
            .collect()
    }

    fn child(&self, idx: usize) -> eyre::Result<Child> {
        let ports = site::reserve_ports()?;
        let zone = if idx.is_multiple_of(2) { "a" } else { "b" };
        let name = format!("n{idx}");
        let text = site::settings(&name, zone, self.store.address, ports);
        let settings = self.options.dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        let daemon = Daemon::start(&name, &self.options.program, &settings, &self.options.dir)?;
        Ok(Child {
            name,
            front: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            settings,
            daemon: Some(daemon),
            disturbed: Arc::new(Mutex::new(Instant::now())),
        })
    }

    fn restart(&mut self, idx: usize) -> eyre::Result<()> {
        let child = &mut self.children[idx];
        let (program, dir) = (&self.options.program, &self.options.dir);
        child.daemon = Some(Daemon::start(&child.name, program, &child.settings, dir)?);
        Ok(())
    }

    /// Begins and ends the faults at their times; series overlap.
    async fn inject(&mut self, faults: Vec<fault::Timed>, end: Instant) -> eyre::Result<()> {
        let start = end - self.options.length;
        let mut ends: Vec<(Instant, Fault)> = Vec::new();
        let mut begins = faults.into_iter().peekable();
        loop {
            ends.sort_by_key(|it| it.0);
            let begin = begins.peek().map(|it| start + it.at);
            let stop = ends.first().map(|it| it.0);
            let Some(next) = begin.into_iter().chain(stop).min() else {
                break;
            };
            tokio::time::sleep_until(next).await;
            if stop == Some(next) {
                let (_, fault) = ends.remove(0);
                self.end(&fault).await?;
            } else if let Some(timed) = begins.next() {
                self.begin(&timed.fault)?;
                ends.push((next + timed.lasts, timed.fault));
            }
        }
        Ok(())
    }

    fn begin(&mut self, fault: &Fault) -> eyre::Result<()> {
        match fault {
            Fault::Kill(idx) => {
                self.disturb(*idx);
                // Dropping a daemon kills it.
                self.children[*idx].daemon = None;
            }
            Fault::Terminate(idx) => self.signal(*idx, Signal::TERM)?,
            Fault::Freeze(idx) => self.signal(*idx, Signal::STOP)?,
            Fault::Store(mode) => {
                self.disturb_store();
                self.site.store.set_mode(*mode);
            }
            Fault::Compact => {
                self.disturb_store();
                self.site.store.compact();
            }
            Fault::StorePath(mode) => {
                self.disturb_store();
                self.store.set(*mode);
            }
            Fault::Upstream(idx, fault) => self.site.upstreams[*idx].0.set_fault(*fault, None),
            Fault::UpstreamPath(idx, mode) => self.paths[*idx].set(*mode),
            Fault::Drain(idx) => self.site.register(*idx, "draining"),
            Fault::Evacuate(zone) => {
                self.site
                    .store
                    .put("op", &format!("evacuate/{zone}"), b"{}");
            }
            Fault::Configure => {
                self.version += 1;
                self.site.configure(self.version, json!([]));
            }
        }
        Ok(())
    }

    async fn end(&mut self, fault: &Fault) -> eyre::Result<()> {
        match fault {
            Fault::Kill(idx) => {
                if self.children[*idx].daemon.is_none() {
                    self.restart(*idx)?;
                }
            }
            Fault::Terminate(idx) => self.end_terminated(*idx).await?,
            Fault::Freeze(idx) => self.signal(*idx, Signal::CONT)?,
            Fault::Store(_) => {
                self.disturb_store();
                self.site.store.set_mode(Mode::Up);
            }
            Fault::StorePath(_) => {
                self.disturb_store();
                self.store.set(proxy::Mode::Pass);
            }
            Fault::Upstream(idx, _) => {
                let upstream = &self.site.upstreams[*idx].0;
                upstream.set_fault(upstream::Fault::None, None);
            }
            Fault::UpstreamPath(idx, _) => self.paths[*idx].set(proxy::Mode::Pass),
            Fault::Drain(idx) => self.site.register(*idx, "ready"),
            Fault::Evacuate(zone) => {
                self.site.store.delete("op", &format!("evacuate/{zone}"));
            }
            Fault::Compact | Fault::Configure => {}
        }
        Ok(())
    }

    async fn end_terminated(&mut self, idx: usize) -> eyre::Result<()> {
        if let Some(mut daemon) = self.children[idx].daemon.take() {
            // A frozen process sees its signal when it goes on.
            daemon.signal(Signal::CONT)?;
            tokio::task::spawn_blocking(move || daemon.wait(STOP_LIMIT)).await??;
        }
        self.restart(idx)
    }

    fn signal(&mut self, idx: usize, signal: Signal) -> eyre::Result<()> {
        self.disturb(idx);
        if let Some(daemon) = &self.children[idx].daemon {
            daemon.signal(signal)?;
        }
        Ok(())
    }

    fn disturb(&self, idx: usize) {
        let until = Instant::now() + START_LIMIT;
        let disturbed = &self.children[idx].disturbed;
        *disturbed.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    fn disturb_store(&self) {
        let until = Instant::now() + fault::LASTS_MAX + poison::CONTACT;
        let disturbed = &self.store_disturbed;
        *disturbed.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Ends every fault, and checks that all nodes serve by a configuration written after that.
    async fn recover(&mut self) -> eyre::Result<()> {
        self.site.store.set_mode(Mode::Up);
        self.store.set(proxy::Mode::Pass);
        self.paths.iter().for_each(|it| it.set(proxy::Mode::Pass));
        for idx in 0..self.site.upstreams.len() {
            let upstream = &self.site.upstreams[idx].0;
            upstream.set_fault(upstream::Fault::None, None);
            self.site.register(idx, "ready");
        }
        for zone in ["a", "b"] {
            self.site.store.delete("op", &format!("evacuate/{zone}"));
        }
        self.version += 1;
        let route = json!([{"name": "last", "host": "site.example", "prefix": "/last/",
            "type": "idempotent", "service": "ledger", "attempts": 2}]);
        self.site.configure(self.version, route);
        for idx in 0..self.children.len() {
            let daemon = self.children[idx].daemon.as_mut();
            if daemon.is_none_or(|it| it.has_ended()) {
                self.violations.push(Violation::Ended(idx));
                continue;
            }
            if !self.is_serving(idx, RECOVER_LIMIT).await {
                self.violations.push(Violation::NotRecovered(idx));
            }
        }
        Ok(())
    }

    async fn is_serving(&self, idx: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let path = if self.version > 1 {
            "GET /last/1"
        } else {
            "GET /read/1"
        };
        let key = format!("authorization: Bearer {API_KEY}");
        let request = format!("x-request-id: {}", check::PROBE);
        while Instant::now() < until {
            let headers = [key.as_str(), &request, "x-deadline-ms: 1000"];
            let answer = client::send_request(self.children[idx].front, path, &headers, b"");
            let answer = tokio::time::timeout(Duration::from_secs(2), answer).await;
            if answer.is_ok_and(|it| it.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// One client: requests one after the other, at any node.
async fn load(
    targets: Vec<(SocketAddr, Arc<Mutex<Instant>>)>,
    mut rng: SmallRng,
    counter: Arc<AtomicU64>,
    end: Instant,
) -> Vec<Asked> {
    let mut asked = Vec::new();
    while Instant::now() < end {
        let (front, disturbed) = &targets[rng.random_range(0..targets.len())];
        let id = format!("r{}", counter.fetch_add(1, Ordering::Relaxed));
        let (target, service, may_repeat, timeout_ms) = match rng.random_range(0..4) {
            0 => ("GET /read/1", "ledger", true, 2_000),
            1 => ("POST /post/1", "ledger", false, 2_000),
            2 => ("POST /draft/1", "engine", false, 4_000),
            _ => ("POST /summary/1", "engine", true, 4_000),
        };
        let key = format!("authorization: Bearer {API_KEY}");
        let request = format!("x-request-id: {id}");
        let headers = [
            key.as_str(),
            request.as_str(),
            "x-deadline-ms: 5000",
            "x-prompt-prefix: a:900,b:900,c:100",
            "x-chunks: 2",
            "x-chunk-key: k",
        ];
        let begin = Instant::now();
        let answer = client::send_request(*front, target, &headers, b"");
        let answer = tokio::time::timeout(Duration::from_secs(6), answer).await;
        let disturbed = *disturbed.lock().unwrap_or_else(PoisonError::into_inner);
        asked.push(Asked {
            id,
            service,
            may_repeat,
            timeout_ms,
            answer: answer.unwrap_or_default(),
            took_ms: begin.elapsed().as_millis(),
            is_excused: begin < disturbed,
        });
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    asked
}

/// The node program beside the running one.
///
/// # Errors
///
/// Fails when the running program's path is not known.
pub fn program() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Tests run in a folder below that of the programs.
    let mut dirs = own.ancestors().skip(1).take(2);
    let found = dirs.find_map(|dir: &Path| {
        let program = dir.join("catkinvane-node");
        program.exists().then_some(program)
    });
    found.ok_or_else(|| eyre::eyre!("build catkinvane-node first"))
}
