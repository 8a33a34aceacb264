//! A cold replica gets more requests in a second than it bears while machines are stopped and started
//! in turn, as those that leave aren't counted any more and still send their part.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Deployment;
use super::Exchange;
use super::Load;
use super::Verdict;
use super::cold_restart::COLD_START;
use super::cold_restart::CRASH_RATE;
use super::cold_restart::check;
use super::cold_restart::config;
use super::next_id;
use crate::http;
use crate::http::Channel;
use crate::node::Node;
use crate::record::Record;
use crate::replica::Kind;

const NODES: u8 = 6;
/// Time between two SIGTERMs.
const GAP_S: f64 = 1.0;
/// `grace_s` of the settings.
const GRACE_S: u32 = 8;
/// Clients, and the pause of each after an answer.
const CLIENTS: usize = 36;
const PAUSE: Duration = Duration::from_millis(60);
/// Interval of the platform's readiness polls; two misses take a machine out.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind::Plain(Duration::from_millis(30));
    for (name, zone) in [("i-warm-1", "north-a"), ("i-warm-2", "north-b")] {
        deployment.replica((name, "ledger", zone), kind)?;
    }
    deployment.configure(&config(), "desired state 7")?;
    deployment.start_nodes(NODES, GRACE_S)?;
    let record = deployment.record.clone();
    let ready: Vec<SocketAddr> = deployment.nodes.iter().map(Node::ready).collect();
    let balancer = Balancer::start(&record, deployment.fronts(), ready);
    let load = Load {
        target: "POST /fees/post".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 1_000,
        headers: Vec::new(),
        prefix: "fee".to_owned(),
        pause: PAUSE,
    };
    let clients = (0..CLIENTS).map(|_| {
        let (record, balancer, load) = (record.clone(), balancer.clone(), load.clone());
        std::thread::spawn(move || send_requests(&record, &balancer, &load))
    });
    let clients: Vec<_> = clients.collect();
    let begin = record.now() + 3.0;
    let (mut cold, mut next_cold) = (Vec::new(), begin);
    let mut stopping: Vec<(usize, f64)> = Vec::new();
    let mut starting: Vec<(usize, f64)> = Vec::new();
    let mut next_stop = (0, begin + 0.5);
    while record.now() < begin + 12.0 {
        let now = record.now();
        if now >= next_cold && now < begin + 9.0 {
            let name = format!("i-cold-{}", cold.len());
            let cold_limit = (COLD_START, CRASH_RATE);
            deployment.cold_replica((&name, "ledger", "north-a"), kind, cold_limit)?;
            record.note(&format!("{name} starts, and is cold for 3 s"));
            cold.push((name, now, now + COLD_START.as_secs_f64()));
            next_cold += 2.0;
        }
        if has_trouble && next_stop.0 < deployment.nodes.len() && now >= next_stop.1 {
            let node = &deployment.nodes[next_stop.0];
            node.signal("TERM")?;
            record.note(&format!("{} gets SIGTERM", node.settings.name));
            stopping.push((next_stop.0, now + f64::from(GRACE_S)));
            next_stop = (next_stop.0 + 1, next_stop.1 + GAP_S);
        }
        stopping.retain(|(idx, kill_at)| {
            let node = &mut deployment.nodes[*idx];
            let has_ended = node.has_ended();
            if has_ended || now >= *kill_at {
                node.kill();
                record.note(&format!("{} has ended", node.settings.name));
                starting.push((*idx, now + 0.5));
                return false;
            }
            true
        });
        let due: Vec<usize> = starting
            .iter()
            .filter(|it| it.1 <= now)
            .map(|it| it.0)
            .collect();
        starting.retain(|it| it.1 > now);
        for idx in due {
            deployment.nodes[idx].run()?;
            record.note(&format!(
                "{} is started",
                deployment.nodes[idx].settings.name
            ));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    balancer.is_stopped.store(true, Ordering::Relaxed);
    let exchanges: Vec<Exchange> = clients
        .into_iter()
        .flat_map(|it| it.join().unwrap_or_default())
        .collect();
    Ok(check(&deployment.ledger.runs(), &exchanges, &cold))
}

/// The platform's balancer: it sends new channels to machines that are in rotation.
struct Balancer {
    fronts: Vec<SocketAddr>,
    is_in: Vec<AtomicBool>,
    next: AtomicUsize,
    is_stopped: AtomicBool,
}

impl Balancer {
    /// Starts to poll the readiness of the machines.
    fn start(
        record: &Arc<Record>,
        fronts: Vec<SocketAddr>,
        ready: Vec<SocketAddr>,
    ) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer {
            is_in: fronts.iter().map(|_| AtomicBool::new(true)).collect(),
            fronts,
            next: AtomicUsize::new(0),
            is_stopped: AtomicBool::new(false),
        });
        for (idx, address) in ready.into_iter().enumerate() {
            let (record, balancer) = (record.clone(), balancer.clone());
            std::thread::spawn(move || balancer.poll(&record, idx, address));
        }
        balancer
    }

    fn poll(&self, record: &Record, idx: usize, address: SocketAddr) {
        let headers = ["Host: ready".to_owned()];
        let mut misses = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let answer = http::send(address, "GET /api/readyz", &headers, b"", POLL_INTERVAL / 2);
            misses = match answer.status {
                200 => 0,
                _ => misses + 1,
            };
            let is_in = misses < 2;
            if self.is_in[idx].swap(is_in, Ordering::Relaxed) != is_in {
                record.note(&format!("edge-{idx} in rotation: {is_in}"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// A new channel to the next machine in rotation, or to any if none is.
    fn open(&self) -> Option<(usize, Channel)> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.fronts.len();
        let order = (0..count).map(|it| (start + it) % count);
        let chosen = order
            .clone()
            .find(|it| self.is_in[*it].load(Ordering::Relaxed));
        let chosen = chosen.unwrap_or(start % count);
        Some((chosen, Channel::open(self.fronts[chosen]).ok()?))
    }
}

/// Sends one request after the other on channels that are kept until a node closes them.
fn send_requests(record: &Record, balancer: &Balancer, load: &Load) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    let mut kept: Option<(usize, Channel)> = None;
    while !balancer.is_stopped.load(Ordering::Relaxed) {
        std::thread::sleep(load.pause);
        let channel = kept.take().filter(|it| !it.1.is_closed());
        let Some((machine, mut channel)) = channel.or_else(|| balancer.open()) else {
            continue;
        };
        let id = next_id(&load.prefix);
        let sent_at = record.now();
        record.line(&format!("send {id} {} to edge-{machine}", load.target));
        let wait = Duration::from_millis(load.deadline_ms + 500);
        let answer = channel.send(&load.target, &load.headers(&id), b"", wait);
        record.line(&format!("answer {id} {}", answer.status));
        exchanges.push(Exchange {
            sent_at,
            id,
            status: answer.status,
            is_complete: answer.is_complete,
        });
        if answer.is_complete && !answer.head.contains("connection: close") {
            kept = Some((machine, channel));
        }
    }
    exchanges
}
