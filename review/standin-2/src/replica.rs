//! Plain replicas of a service: they register in the store, run requests, crash and come back.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Request;
use crate::store::Store;

/// Interval at which a replica writes its entry when that has changed.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a listener looks whether its replica still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Stack of a thread that serves a channel.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// A request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub target: String,
    pub replica: String,
    pub at: Instant,
    /// Whether the replica crashed on it.
    pub has_crashed: bool,
}

/// What a request does to the replica that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is answered after this time.
    Answer(Duration),
    /// It is answered with a stream of two events after this time.
    Stream(Duration),
    /// It crashes the replica after this time.
    Crash(Duration),
}

/// How a service treats its requests.
pub type Behaviour = Arc<dyn Fn(&Request) -> Effect + Send + Sync>;

/// A service whose replicas run in this process.
pub struct Service {
    pub name: &'static str,
    store: Arc<Store>,
    behaviour: Behaviour,
    /// Time from a crash until the replica is back.
    down_time: Duration,
    runs: Mutex<Vec<Run>>,
}

/// One start of a replica, up to its crash.
struct Lifetime {
    service: Arc<Service>,
    id: String,
    address: SocketAddr,
    zone: String,
    has_ended: Mutex<bool>,
    channels: Mutex<Vec<Arc<TcpStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    pub fn new(
        name: &'static str,
        store: &Arc<Store>,
        down_time: Duration,
        behaviour: Behaviour,
    ) -> Arc<Service> {
        Arc::new(Service {
            name,
            store: store.clone(),
            behaviour,
            down_time,
            runs: Mutex::default(),
        })
    }

    /// Starts a replica, which comes back under the same id after each crash.
    pub fn add(self: &Arc<Service>, id: &str, address: SocketAddr, zone: &str) {
        let (service, id, zone) = (self.clone(), id.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            loop {
                let lifetime = Arc::new(Lifetime {
                    service: service.clone(),
                    id: id.clone(),
                    address,
                    zone: zone.clone(),
                    has_ended: Mutex::new(false),
                    channels: Mutex::default(),
                });
                if let Err(err) = lifetime.run() {
                    eprintln!("replica {id}: {err}");
                    return;
                }
                service.wait_for_return(&id);
            }
        });
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Waits while a crashed replica is down. Its entry is removed after three heartbeats.
    fn wait_for_return(&self, id: &str) {
        let silence = HEARTBEAT * 3;
        if self.down_time <= silence {
            return std::thread::sleep(self.down_time);
        }
        std::thread::sleep(silence);
        self.store.remove("servers", id);
        std::thread::sleep(self.down_time - silence);
    }
}

impl Lifetime {
    /// Serves until the crash.
    fn run(self: &Arc<Lifetime>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.register();
        while !*lock(&self.has_ended) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    let stream = Arc::new(stream);
                    lock(&self.channels).push(stream.clone());
                    let lifetime = self.clone();
                    std::thread::Builder::new()
                        .stack_size(THREAD_STACK_BYTES)
                        .spawn(move || {
                            lifetime.serve(&stream);
                            lock(&lifetime.channels).retain(|it| !Arc::ptr_eq(it, &stream));
                        })?;
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
        Ok(())
    }

    fn register(&self) {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = since_epoch.unwrap_or_default().as_millis();
        let (service, address, zone) = (self.service.name, self.address, &self.zone);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"1\",\"slots\":6,\"phase\":\"ready\",\"cold_left_ms\":0,\
             \"call_seq\":0,\"born\":{born}}}"
        );
        self.service.store.put("servers", &self.id, &entry);
    }

    fn crash(&self) {
        *lock(&self.has_ended) = true;
        for channel in lock(&self.channels).drain(..) {
            // Fails only if the caller has closed it.
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: &TcpStream) {
        // Without it, answers are merely later.
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            if *lock(&self.has_ended) {
                return;
            }
            let Some(response) = self.handle(&request) else {
                return self.crash();
            };
            if *lock(&self.has_ended) || stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    /// The response to a request; `None` if it crashes the replica.
    fn handle(&self, request: &Request) -> Option<Vec<u8>> {
        let id = request.header("x-request-id");
        let stamp = format!("{}.{}", self.id, id);
        if request.path() == "/healthz" {
            return Some(http::response(200, &[("X-Replica-Id", &self.id)], b""));
        }
        let expected = request.header("x-expect-replica");
        if id.is_empty() || (!expected.is_empty() && expected != self.id) {
            let status = if id.is_empty() { 400 } else { 421 };
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1")];
            return Some(http::response(status, &headers, b""));
        }
        let effect = (self.service.behaviour)(request);
        let run = Run {
            request: id.to_owned(),
            target: request.target.clone(),
            replica: self.id.clone(),
            at: Instant::now(),
            has_crashed: matches!(effect, Effect::Crash(_)),
        };
        lock(&self.service.runs).push(run);
        match effect {
            Effect::Crash(after) => {
                std::thread::sleep(after);
                None
            }
            Effect::Stream(after) => {
                std::thread::sleep(after);
                Some(stream_response(id, &stamp))
            }
            Effect::Answer(after) => {
                std::thread::sleep(after);
                let headers = [
                    ("X-Request-Id", id),
                    ("X-Replica-Stamp", stamp.as_str()),
                    ("Keep-Alive", "timeout=5"),
                ];
                Some(http::response(200, &headers, id.as_bytes()))
            }
        }
    }
}

/// A whole stream of two events.
fn stream_response(id: &str, stamp: &str) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Replica-Stamp: {stamp}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for number in 1..=2 {
        let event = format!("id: {number}\ndata: {id}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text.push_str("0\r\n\r\n");
    text.into_bytes()
}
