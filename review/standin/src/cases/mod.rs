//! The cases, and what they share.

mod cold_restart;
mod cold_roll;
mod config_drill;
mod grace_raised;
mod odd_entry;
mod stage_copy;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http;
use crate::node::Network;
use crate::node::Node;
use crate::node::Settings;
use crate::record::Record;
use crate::replica::Kind;
use crate::replica::Ledger;
use crate::replica::Replica;
use crate::store::Store;

/// Time for which a node may start.
const START_TIME: Duration = Duration::from_secs(20);
/// Host of all routes.
const HOST: &str = "site.example";

pub enum Verdict {
    Held(String),
    Broken(String),
}

pub fn run(name: &str, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let deployment = Deployment::new(record)?;
    match name {
        "cold-restart" => cold_restart::run(deployment, has_trouble),
        "cold-roll" => cold_roll::run(deployment, has_trouble),
        "config-drill" => config_drill::run(deployment, has_trouble),
        "grace-raised" => grace_raised::run(deployment, has_trouble),
        "odd-entry" => odd_entry::run(deployment, has_trouble),
        "stage-copy" => stage_copy::run(deployment, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// A deployment: the store, and what runs beside it.
pub struct Deployment {
    record: Arc<Record>,
    network: Network,
    folder: PathBuf,
    store: Arc<Store>,
    store_address: SocketAddr,
    ledger: Arc<Ledger>,
    nodes: Vec<Node>,
}

impl Deployment {
    fn new(record: &Arc<Record>) -> io::Result<Deployment> {
        let network = Network::find().ok_or(io::Error::other("no free loopback addresses"))?;
        let folder = format!("catkinvane-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::new());
        let listener = std::net::TcpListener::bind((network.ip(1), 0))?;
        let store_address = listener.local_addr()?;
        http::serve(listener, store.clone());
        Ok(Deployment {
            record: record.clone(),
            network,
            folder,
            store,
            store_address,
            ledger: Arc::new(Ledger::new(record.clone())),
            nodes: Vec::new(),
        })
    }

    /// Starts a warm replica.
    fn replica(&self, names: (&str, &str, &str), kind: Kind) -> io::Result<Arc<Replica>> {
        self.cold_replica(names, kind, (Duration::ZERO, f64::INFINITY))
    }

    /// Starts a server that writes no entry of its own.
    fn unregistered(&self, names: (&str, &str, &str), kind: Kind) -> io::Result<Arc<Replica>> {
        let warm = (Duration::ZERO, f64::INFINITY);
        let ip = self.network.ip(3);
        let server = Replica::start(&self.ledger, None, ip, names, kind, warm)?;
        self.record.line(&format!(
            "server {} of {} at {}",
            server.name, server.service, server.address
        ));
        Ok(server)
    }

    /// Starts a replica that counts as cold for a time, and crashes if it gets more requests in a
    /// second than the number beside it.
    fn cold_replica(
        &self,
        names: (&str, &str, &str),
        kind: Kind,
        cold: (Duration, f64),
    ) -> io::Result<Arc<Replica>> {
        let ip = self.network.ip(2);
        let replica = Replica::start(&self.ledger, Some(&self.store), ip, names, kind, cold)?;
        self.record.line(&format!(
            "replica {} of {} in {} at {}",
            replica.name, replica.service, replica.zone, replica.address
        ));
        Ok(replica)
    }

    /// Starts nodes and waits until they are ready. The time that the users' platform gives them
    /// before traffic starts is 10 s; they need less.
    fn start_nodes(&mut self, count: u8, grace_s: u32) -> io::Result<()> {
        let seeds: Vec<_> = (0..count.min(3))
            .map(|it| self.network.ip(4 + it))
            .collect();
        for idx in 0..count {
            let settings = Settings {
                name: format!("edge-{idx}"),
                zone: if idx % 2 == 0 { "north-a" } else { "north-b" }.to_owned(),
                ip: self.network.ip(4 + idx),
                seeds: seeds.clone(),
                store: self.store_address,
                grace_s,
            };
            self.nodes.push(Node::start(settings, &self.folder)?);
        }
        for node in &self.nodes {
            if !node.wait_until_ready(START_TIME) {
                return Err(io::Error::other("a node did not become ready"));
            }
        }
        self.record.note(&format!("{count} nodes are ready"));
        Ok(())
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::front).collect()
    }

    /// Writes a configuration; returns when the store acknowledged it.
    fn configure(&self, config: &str, what: &str) -> io::Result<f64> {
        let version = self.store.put("op", "config", config);
        let version = version.ok_or(io::Error::other("the store refused a configuration"))?;
        self.record.note(&format!(
            "the store acknowledges {what} as its version {version}"
        ));
        Ok(self.record.now())
    }

    /// Waits until `at`, in seconds since the start of the case.
    fn wait_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Names of the nodes that have ended by themselves.
    fn ended_nodes(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().filter_map(|it| {
            let has_ended = it.has_ended();
            has_ended.then(|| it.settings.name.clone())
        });
        ended.collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// What a client sent and received.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Seconds since the start of the case.
    sent_at: f64,
    id: String,
    status: u16,
    is_complete: bool,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Load {
    /// Method and path.
    target: String,
    key: String,
    deadline_ms: u64,
    headers: Vec<String>,
    /// Prefix of the ids.
    prefix: String,
    /// Pause of each client after an answer.
    pause: Duration,
}

/// Clients, each of which sends one request after the other, on a new channel each.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    threads: Vec<JoinHandle<()>>,
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// An id that no other request has.
fn next_id(prefix: &str) -> String {
    format!("{prefix}{:06x}", REQUESTS.fetch_add(1, Ordering::Relaxed))
}

impl Load {
    fn headers(&self, id: &str) -> Vec<String> {
        let mut headers = vec![
            format!("Host: {HOST}"),
            format!("X-Request-Id: {id}"),
            format!("X-Deadline-Ms: {}", self.deadline_ms),
            format!("Authorization: Bearer {}", self.key),
        ];
        headers.extend(self.headers.iter().cloned());
        headers
    }
}

impl Clients {
    /// Starts `count` clients of each node.
    fn start(record: &Arc<Record>, fronts: &[SocketAddr], load: &Load, count: usize) -> Clients {
        let mut clients = Clients {
            is_stopped: Arc::default(),
            exchanges: Arc::default(),
            threads: Vec::new(),
        };
        for front in fronts.iter().flat_map(|it| std::iter::repeat_n(*it, count)) {
            let (record, load) = (record.clone(), load.clone());
            let (is_stopped, exchanges) = (clients.is_stopped.clone(), clients.exchanges.clone());
            clients.threads.push(std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let exchange = send(&record, front, &load);
                    let mut exchanges = exchanges.lock().unwrap_or_else(|err| err.into_inner());
                    exchanges.push(exchange);
                    drop(exchanges);
                    std::thread::sleep(load.pause);
                }
            }));
        }
        clients
    }

    /// Ends the clients after their last request; returns what they sent.
    fn stop(self) -> Vec<Exchange> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let exchanges = self.exchanges.lock().unwrap_or_else(|err| err.into_inner());
        exchanges.clone()
    }
}

/// Sends one request on a new channel.
fn send(record: &Record, front: SocketAddr, load: &Load) -> Exchange {
    let id = next_id(&load.prefix);
    let sent_at = record.now();
    record.line(&format!(
        "send {id} {} to {} key={}",
        load.target,
        front.ip(),
        load.key
    ));
    let wait = Duration::from_millis(load.deadline_ms + 500);
    let answer = http::send(front, &load.target, &load.headers(&id), b"", wait);
    record.line(&format!(
        "answer {id} {} complete={} bytes={}",
        answer.status,
        answer.is_complete,
        answer.body.len()
    ));
    Exchange {
        sent_at,
        id,
        status: answer.status,
        is_complete: answer.is_complete,
    }
}
