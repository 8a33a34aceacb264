//! Replicas: plain services, model replicas that stream events, and services that run stages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Handler;
use crate::http::Request;
use crate::json;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a replica does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Works for this time and answers.
    Plain(Duration),
    /// Streams this number of events, each after this pause.
    Engine(u32, Duration),
    /// Runs pieces: time of a call, and of each piece.
    Stage(Duration, Duration),
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start of the case.
    pub at: f64,
    pub replica: String,
    pub service: String,
    pub id: String,
    pub tenant: String,
    /// `X-Inputs`.
    pub inputs: Vec<String>,
}

/// What a result was made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    pub request: String,
    pub stage: u64,
    pub segment: u64,
}

/// What all replicas together have done.
pub struct Ledger {
    pub record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    /// Results by handle.
    results: Mutex<BTreeMap<String, Piece>>,
    results_made: AtomicU64,
}

impl Ledger {
    pub fn new(record: Arc<Record>) -> Ledger {
        Ledger {
            record,
            runs: Mutex::default(),
            results: Mutex::default(),
            results_made: AtomicU64::new(0),
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// What a result was made for, also after it was freed.
    pub fn piece(&self, handle: &str) -> Option<Piece> {
        lock(&self.results).get(handle).cloned()
    }
}

/// A fault of a stage replica.
#[derive(Debug, Default)]
struct StageFault {
    /// Calls that it still refuses, as if it were full.
    refusals: u32,
    /// Whether it sends each refusal once more, at the point where the next answer on the channel
    /// is expected.
    is_repeated: bool,
    /// Refusals that it has still to repeat, by channel.
    copies: BTreeMap<u64, Vec<u8>>,
}

pub struct Replica {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    kind: Kind,
    born_ms: u64,
    /// Until when it counts as cold.
    cold_until: Instant,
    /// Requests in a second with which it crashes while it is cold.
    cold_max: f64,
    /// When requests arrived in the last second.
    arrivals: Mutex<VecDeque<Instant>>,
    fault: Mutex<StageFault>,
    /// Handles that it keeps.
    kept: Mutex<BTreeSet<String>>,
    /// Calls that run or wait.
    calls: AtomicU64,
    /// Held by the call that runs.
    slot: Mutex<()>,
    has_crashed: AtomicBool,
    ledger: Arc<Ledger>,
}

impl Replica {
    /// Starts a replica on a free port of `ip` and registers it in `store`. It counts as cold for the time in
    /// `cold`, and crashes if it gets more requests in a second than the number there meanwhile.
    pub fn start(
        ledger: &Arc<Ledger>,
        store: Option<&Arc<Store>>,
        ip: Ipv4Addr,
        (name, service, zone): (&str, &str, &str),
        kind: Kind,
        (cold, cold_max): (Duration, f64),
    ) -> std::io::Result<Arc<Replica>> {
        let listener = TcpListener::bind((ip, 0))?;
        let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let replica = Arc::new(Replica {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            kind,
            born_ms: since_epoch.as_millis() as u64,
            cold_until: Instant::now() + cold,
            cold_max,
            arrivals: Mutex::default(),
            fault: Mutex::default(),
            kept: Mutex::default(),
            calls: AtomicU64::new(0),
            slot: Mutex::new(()),
            has_crashed: AtomicBool::new(false),
            ledger: ledger.clone(),
        });
        http::serve(listener, replica.clone());
        if let Some(store) = store.cloned() {
            let beating = replica.clone();
            std::thread::spawn(move || beating.beat(&store));
        }
        Ok(replica)
    }

    /// Makes a stage replica refuse the next `count` calls as full; `is_repeated` as in
    /// [`StageFault`].
    pub fn refuse_calls(&self, count: u32, is_repeated: bool) {
        let mut fault = lock(&self.fault);
        fault.refusals = count;
        fault.is_repeated = is_repeated;
    }

    /// Writes the entry again and again.
    fn beat(&self, store: &Store) {
        let mut count = 0;
        while !self.has_crashed.load(Ordering::Relaxed) {
            count += 1;
            let cold_left = self.cold_until.saturating_duration_since(Instant::now());
            let row = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"phase\":\"ready\",\"cold_left_ms\":{},\"call_seq\":{count},\
                 \"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                cold_left.as_millis(),
                self.born_ms
            );
            // While the store is away, the next beat tries again.
            let _ = store.put("servers", &self.name, &row);
            std::thread::sleep(HEARTBEAT);
        }
        // The store removes the entry after three intervals of silence.
        std::thread::sleep(HEARTBEAT * 2);
        let _ = store.delete("servers", &self.name);
    }

    /// Counts a request; returns whether the replica crashes, as it is cold and gets too many.
    fn crashes_by_load(&self) -> bool {
        let now = Instant::now();
        let mut arrivals = lock(&self.arrivals);
        arrivals.push_back(now);
        while arrivals
            .front()
            .is_some_and(|it| now - *it >= Duration::from_secs(1))
        {
            arrivals.pop_front();
        }
        let crashes = now < self.cold_until && arrivals.len() as f64 > self.cold_max;
        if crashes && !self.has_crashed.swap(true, Ordering::Relaxed) {
            self.ledger.record.note(&format!(
                "{} crashes: {} requests in a second while it is cold",
                self.name,
                arrivals.len()
            ));
            // Wakes the listener, which ends then.
            let _ = TcpStream::connect(self.address);
        }
        crashes
    }

    fn run_request(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("x-request-id");
        let not_run = [("X-Request-Id", id), ("X-Not-Executed", "1")];
        if request.header("x-expect-replica") != self.name {
            return write(stream, &http::answer(421, &not_run, b""));
        }
        if id.is_empty() {
            return write(stream, &http::answer(400, &not_run, b""));
        }
        let inputs = request.header("x-inputs").split(',');
        let inputs: Vec<String> = inputs
            .filter(|it| !it.is_empty())
            .map(str::to_owned)
            .collect();
        let run = Run {
            at: self.ledger.record.now(),
            replica: self.name.clone(),
            service: self.service.clone(),
            id: id.to_owned(),
            tenant: request.header("x-tenant").to_owned(),
            inputs,
        };
        self.ledger.record.line(&format!(
            "run {id} {} {} at {} of {} tenant={} inputs={}",
            request.method,
            request.path,
            run.replica,
            run.service,
            run.tenant,
            run.inputs.join(",")
        ));
        lock(&self.ledger.runs).push(run);
        if self.crashes_by_load() {
            return false;
        }
        let stamp = format!("{}.{id}", self.name);
        let headers = [
            ("X-Request-Id", id),
            ("X-Replica-Stamp", &stamp),
            ("Keep-Alive", "timeout=5"),
        ];
        match self.kind {
            Kind::Engine(events, pause) => write_events(stream, &headers, (events, pause), id),
            Kind::Plain(time) => {
                let body = format!("answer to {id}");
                http::work(stream, time)
                    && !self.has_ended()
                    && write(stream, &http::answer(200, &headers, body.as_bytes()))
            }
            Kind::Stage(..) => write(stream, &http::answer(404, &headers, b"")),
        }
    }

    fn run_pieces(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let Kind::Stage(call_time, piece_time) = self.kind else {
            return write(stream, &http::answer(404, &[], b""));
        };
        if request.header("x-expect-replica") != self.name {
            return write(stream, &http::answer(421, &[("X-Not-Executed", "1")], b""));
        }
        let call = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let entries = call.get("entries").list();
        let requests: Vec<&str> = entries.iter().map(|it| it.get("id").text()).collect();
        let (name, channel) = (&self.name, request.connection);
        let load = format!("{},0,1", self.calls.load(Ordering::Relaxed));
        // An id of the call itself, if it has one, is echoed like that of any request.
        let id = request.header("x-request-id");
        let mut common = vec![
            ("X-Replica-Load", load.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        if !id.is_empty() {
            common.push(("X-Request-Id", id));
        }
        let refusal = [&common[..], &[("X-Not-Executed", "1")]].concat();
        let refusal = http::answer(503, &refusal, b"");
        // At most one call runs and two wait.
        let is_full = self.calls.fetch_add(1, Ordering::Relaxed) >= 3;
        let copy = {
            let mut fault = lock(&self.fault);
            if is_full || fault.refusals > 0 {
                self.calls.fetch_sub(1, Ordering::Relaxed);
                fault.refusals = fault.refusals.saturating_sub(1);
                if fault.is_repeated {
                    fault.is_repeated = false;
                    fault.copies.insert(channel, refusal.clone());
                }
                self.ledger.record.line(&format!(
                    "stage call refused with 503 at {name} channel={channel} of {requests:?}"
                ));
                return write(stream, &refusal);
            }
            fault.copies.remove(&channel)
        };
        if let Some(copy) = copy {
            self.ledger.record.note(&format!(
                "{name} sends its refusal once more, on channel={channel}, where the answer to the \
                 call of {requests:?} is expected"
            ));
            if !write(stream, &copy) {
                self.calls.fetch_sub(1, Ordering::Relaxed);
                return false;
            }
        }
        self.ledger.record.line(&format!(
            "stage call at {name} channel={channel} of {requests:?}"
        ));
        let time = call_time + piece_time * entries.len() as u32;
        {
            let _slot = lock(&self.slot);
            std::thread::sleep(time);
        }
        let mut made = Vec::new();
        for entry in entries {
            let number = self.ledger.results_made.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{number:08x}", self.address);
            let piece = Piece {
                request: entry.get("id").text().to_owned(),
                stage: entry.get("stage").number(),
                segment: entry.get("segment").number(),
            };
            self.ledger.record.line(&format!(
                "result {handle} made for {} stage={} segment={}",
                piece.request, piece.stage, piece.segment
            ));
            lock(&self.ledger.results).insert(handle.clone(), piece);
            lock(&self.kept).insert(handle.clone());
            made.push(format!("{{\"handle\":{}}}", json::quote(&handle)));
        }
        self.calls.fetch_sub(1, Ordering::Relaxed);
        let body = format!("{{\"entries\":[{}]}}", made.join(","));
        write(stream, &http::answer(200, &common, body.as_bytes()))
    }

    fn free_results(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let call = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        for handle in call.get("handles").list() {
            lock(&self.kept).remove(handle.text());
        }
        write(
            stream,
            &http::answer(200, &[("Keep-Alive", "timeout=5")], b"{}"),
        )
    }
}

impl Handler for Replica {
    fn has_ended(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if self.has_ended() {
            return false;
        }
        match request.path.as_str() {
            "/api/stage-run" => self.run_pieces(request, stream),
            "/api/stage-free" => self.free_results(request, stream),
            "/api/report" => {
                let body = format!("{{\"born\":{},\"queued\":0,\"active\":0}}", self.born_ms);
                write(stream, &http::answer(200, &[], body.as_bytes()))
            }
            "/healthz" => {
                let headers = [("X-Replica-Id", self.name.as_str())];
                write(stream, &http::answer(200, &headers, b""))
            }
            _ => self.run_request(request, stream),
        }
    }
}

fn write_events(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    (events, pause): (u32, Duration),
    id: &str,
) -> bool {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    if !write(stream, head.as_bytes()) {
        return false;
    }
    for number in 1..=events {
        if !http::work(stream, pause) {
            return false;
        }
        let event = format!("id: {number}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !write(stream, chunk.as_bytes()) {
            return false;
        }
    }
    write(stream, b"0\r\n\r\n")
}

fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|err| err.into_inner())
}
