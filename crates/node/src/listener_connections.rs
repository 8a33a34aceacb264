//! The open connections of a listener, and which of them are closed first.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use catalog::ClientLimits;
use futures_util::task::AtomicWaker;
use platform::settings::Settings;
use strum::EnumCount;
use strum::IntoEnumIterator;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::buffer::MemoryBudget;
use crate::state::Node;

/// Memory that a connection takes in any case: buffers of 8 KiB to read and write, and its task.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Connections of clients take at most the instance's memory divided by this.
const MEMORY_DIVISOR: usize = 4;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the descriptors for sockets that connections of clients take; each may need another one
/// for its upstream.
const DESCRIPTORS_NUMERATOR: u64 = 2;
const DESCRIPTORS_DENOMINATOR: u64 = 5;
/// Fewest connections of clients.
const CONNECTIONS_MIN: usize = 16;
/// Connections for readiness polls, and for reading metrics.
const OBSERVERS_MAX: usize = 16;
/// Limits without a configuration.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 * 1024,
    body_bytes: usize::MAX,
    header_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(75),
};
/// Bytes of a head that the limit of the configuration does not count: the query, the line ends.
const HEAD_ALLOWANCE_BYTES: usize = 8 * 1024;
/// Interval at which connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks from one log line to the next.
const CHECKS_PER_LINE: u32 = 8;
/// Time for which a client must have read nothing, or sent nothing of a body, before its connection
/// is closed in favour of another one.
const STALL_MIN_MS: u64 = 1_000;

/// Why a connection was closed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Close {
    /// No request arrived in time.
    Idle,
    /// A head did not end in time.
    HeadTimeout,
    /// A head exceeds the limit or the memory budget.
    HeadTooLarge,
    /// Nothing of a body arrived in time.
    BodyStalled,
    /// The client read nothing of a response in time.
    Unread,
    /// Another connection took its place.
    Crowded,
    /// All other connections have requests, and their clients read the responses.
    Refused,
    /// The memory that an unread response takes was needed.
    Memory,
}

/// State of one connection.
#[derive(Debug)]
pub struct Connection {
    remote: SocketAddr,
    pub(crate) waker: AtomicWaker,
    is_closing: AtomicBool,
    requests: AtomicUsize,
    head_bytes: AtomicUsize,
    /// When the head began, when the body last went on, or else when the connection last wrote or
    /// was accepted.
    since_ms: AtomicU64,
    /// When the client stopped reading; 0 if it reads.
    blocked_since_ms: AtomicU64,
    /// Whether the body of a request is being read.
    is_reading_body: AtomicBool,
    /// Length of the response, or of the events, that are being written.
    response_bytes: AtomicUsize,
    /// Priority of the request; 0 is the most urgent.
    priority: AtomicU8,
}

impl Connection {
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    pub(crate) fn has_request(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn head_bytes(&self) -> usize {
        self.head_bytes.load(Ordering::Relaxed)
    }

    fn blocked_since_ms(&self) -> Option<u64> {
        Some(self.blocked_since_ms.load(Ordering::Relaxed)).filter(|it| *it > 0)
    }

    /// Records bytes of a head. A connection that was about to be closed as idle stays open.
    pub(crate) fn record_head(&self, size: usize, now_ms: u64) {
        if self.head_bytes.fetch_add(size, Ordering::Relaxed) == 0 {
            self.since_ms.store(now_ms, Ordering::Relaxed);
            self.is_closing.store(false, Ordering::Relaxed);
        }
    }

    /// Records bytes that arrived while the connection has a request. A body that goes on keeps its
    /// connection.
    pub(crate) fn record_body(&self, now_ms: u64) {
        if self.is_reading_body.load(Ordering::Relaxed) {
            self.since_ms.store(now_ms, Ordering::Relaxed);
            self.is_closing.store(false, Ordering::Relaxed);
        }
    }

    pub(crate) fn record_blocked(&self, now_ms: u64) {
        if self.blocked_since_ms().is_none() {
            self.blocked_since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    pub(crate) fn record_progress(&self, now_ms: u64) {
        self.blocked_since_ms.store(0, Ordering::Relaxed);
        self.since_ms.store(now_ms, Ordering::Relaxed);
        // What was read before is answered.
        self.head_bytes.store(0, Ordering::Relaxed);
    }

    /// Why the connection has exceeded the limits on time, if it has.
    fn overdue(&self, limits: &ClientLimits, now_ms: u64) -> Option<Close> {
        let exceeds = |since: u64, limit: Duration| {
            u128::from(now_ms.saturating_sub(since)) >= limit.as_millis()
        };
        if let Some(since) = self.blocked_since_ms() {
            return exceeds(since, limits.idle_timeout).then_some(Close::Unread);
        }
        let since = self.since_ms.load(Ordering::Relaxed);
        if self.has_request() {
            let is_reading_body = self.is_reading_body.load(Ordering::Relaxed);
            let is_overdue = is_reading_body && exceeds(since, limits.idle_timeout);
            return is_overdue.then_some(Close::BodyStalled);
        }
        match self.head_bytes() {
            0 => exceeds(since, limits.idle_timeout).then_some(Close::Idle),
            _ => exceeds(since, limits.header_timeout).then_some(Close::HeadTimeout),
        }
    }

    /// Order in which connections are closed in favour of others; `None` if this one may not be.
    fn unworthiness(&self, now_ms: u64) -> Option<(u8, u64)> {
        let is_stalled = |since: u64| now_ms.saturating_sub(since) >= STALL_MIN_MS;
        if let Some(since) = self.blocked_since_ms() {
            return is_stalled(since).then_some((3, since));
        }
        let since = self.since_ms.load(Ordering::Relaxed);
        if self.has_request() {
            let is_reading_body = self.is_reading_body.load(Ordering::Relaxed);
            return (is_reading_body && is_stalled(since)).then_some((2, since));
        }
        Some((u8::from(self.head_bytes() > 0), since))
    }
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    open: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    max: usize,
    epoch: Instant,
    head_bytes_max: AtomicUsize,
    closes: [AtomicU64; Close::COUNT],
    pub(crate) memory: Arc<MemoryBudget>,
    /// Notified when a connection has been closed.
    pub(crate) closed: Notify,
}

impl Connections {
    /// Those of clients.
    #[must_use]
    pub fn of_clients(settings: &Settings, memory: &Arc<MemoryBudget>) -> Arc<Connections> {
        let sockets = settings.max_fds.saturating_sub(FILE_DESCRIPTORS);
        let by_sockets = sockets * DESCRIPTORS_NUMERATOR / DESCRIPTORS_DENOMINATOR;
        let by_memory = settings.memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
        let max = usize::try_from(by_sockets).unwrap_or(usize::MAX);
        Connections::new(max.min(by_memory).max(CONNECTIONS_MIN), memory)
    }

    /// Those of a listener for operators.
    #[must_use]
    pub fn of_observers(memory: &Arc<MemoryBudget>) -> Arc<Connections> {
        Connections::new(OBSERVERS_MAX, memory)
    }

    fn new(max: usize, memory: &Arc<MemoryBudget>) -> Arc<Connections> {
        Arc::new(Connections {
            open: Mutex::default(),
            max,
            epoch: Instant::now(),
            head_bytes_max: AtomicUsize::new(head_bytes_max(&DEFAULT_LIMITS)),
            closes: Default::default(),
            memory: memory.clone(),
            closed: Notify::new(),
        })
    }

    /// Milliseconds since the listener started, at least 1.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX - 1) + 1
    }

    pub(crate) fn head_bytes_max(&self) -> usize {
        self.head_bytes_max.load(Ordering::Relaxed)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.lock().len() >= self.max
    }

    pub(crate) fn add(&self, remote: SocketAddr) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            remote,
            waker: AtomicWaker::new(),
            is_closing: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            head_bytes: AtomicUsize::new(0),
            since_ms: AtomicU64::new(self.now_ms()),
            blocked_since_ms: AtomicU64::new(0),
            is_reading_body: AtomicBool::new(false),
            response_bytes: AtomicUsize::new(0),
            priority: AtomicU8::new(0),
        });
        self.lock().insert(remote, connection.clone());
        connection
    }

    pub(crate) fn remove(&self, connection: &Arc<Connection>) {
        let mut open = self.lock();
        let is_same = |it: &Arc<Connection>| Arc::ptr_eq(it, connection);
        if open.get(&connection.remote).is_some_and(is_same) {
            open.remove(&connection.remote);
        }
        drop(open);
        self.closed.notify_one();
    }

    pub(crate) fn count(&self, close: Close) {
        self.closes[close as usize].fetch_add(1, Ordering::Relaxed);
    }

    fn close(&self, connection: &Connection, close: Close) {
        if !connection.is_closing.swap(true, Ordering::Relaxed) {
            self.count(close);
        }
        connection.waker.wake();
    }

    /// Closes the connection that is the least worth: without a request, the longest idle one; then
    /// the oldest incomplete head; then the body, and then the response, that has stood still for the
    /// longest time.
    /// Returns `false` if there is none.
    pub(crate) fn close_least_worthy(&self) -> bool {
        let now = self.now_ms();
        let open = self.lock();
        let candidates = open
            .values()
            .filter_map(|it| Some((it.unworthiness(now)?, it)));
        let Some((_, connection)) = candidates.min_by_key(|it| it.0) else {
            return false;
        };
        self.close(connection, Close::Crowded);
        true
    }

    /// Closes connections whose clients read nothing, the least urgent and then the slowest first,
    /// until their responses hold `needed` bytes; returns what they hold.
    #[must_use]
    pub fn close_unread(&self, needed: usize) -> usize {
        let open = self.lock();
        let blocked = open.values().filter(|it| !it.is_closing());
        let mut blocked: Vec<_> = blocked
            .filter_map(|it| Some((it.blocked_since_ms()?, it)))
            .filter(|it| it.1.response_bytes.load(Ordering::Relaxed) > 0)
            .collect();
        blocked.sort_by_key(|(since, connection)| {
            let priority = connection.priority.load(Ordering::Relaxed);
            (Reverse(priority), *since)
        });
        let mut found = 0;
        for (_, connection) in blocked {
            if found >= needed {
                break;
            }
            found += connection.response_bytes.load(Ordering::Relaxed);
            self.close(connection, Close::Memory);
        }
        found
    }

    /// Closes the connections that exceed `limits` on time; bounds heads by them from now on.
    fn close_overdue(&self, limits: &ClientLimits) {
        self.head_bytes_max
            .store(head_bytes_max(limits), Ordering::Relaxed);
        let now = self.now_ms();
        for connection in self.lock().values() {
            if let Some(close) = connection.overdue(limits, now) {
                self.close(connection, close);
            }
        }
    }

    /// Marks the connection from `remote` as having a request, until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Connections>, remote: SocketAddr) -> Option<RequestGuard> {
        let connection = self.lock().get(&remote)?.clone();
        connection.requests.fetch_add(1, Ordering::Relaxed);
        connection.head_bytes.store(0, Ordering::Relaxed);
        connection.response_bytes.store(0, Ordering::Relaxed);
        connection.is_closing.store(false, Ordering::Relaxed);
        connection.is_reading_body.store(true, Ordering::Relaxed);
        connection.since_ms.store(self.now_ms(), Ordering::Relaxed);
        Some(RequestGuard {
            connections: self.clone(),
            connection,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head_bytes_max(limits: &ClientLimits) -> usize {
    limits
        .header_bytes
        .saturating_mul(2)
        .saturating_add(HEAD_ALLOWANCE_BYTES)
}

/// Marks a connection as having a request.
#[derive(Debug)]
pub struct RequestGuard {
    connections: Arc<Connections>,
    connection: Arc<Connection>,
}

impl RequestGuard {
    /// Records that the whole request has been read: from now on it is answered.
    pub fn record_body_end(&self) {
        let connection = &self.connection;
        connection.is_reading_body.store(false, Ordering::Relaxed);
    }

    /// Records the length of what is about to be written, and how urgent it is.
    pub fn record_response(&self, size: usize, priority: u8) {
        let connection = &self.connection;
        connection.response_bytes.store(size, Ordering::Relaxed);
        connection.priority.store(priority, Ordering::Relaxed);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.connections.now_ms();
        self.record_body_end();
        self.connection.since_ms.store(now, Ordering::Relaxed);
        self.connection.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts of closed connections by reason.
type Counts = [u64; Close::COUNT];

/// Closes connections that exceed the limits of the configuration in force, counts them and logs
/// the counts; never returns. Each listener has its name.
pub async fn check(node: Arc<Node>, listeners: Vec<(&'static str, Arc<Connections>)>) {
    let mut reports = vec![Report::default(); listeners.len()];
    for number in 1_u32.. {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let limits = node.view().catalog.as_ref().and_then(|it| it.limits);
        let limits = limits.unwrap_or(DEFAULT_LIMITS);
        for ((name, connections), report) in listeners.iter().zip(&mut reports) {
            connections.close_overdue(&limits);
            report.count(&node, connections);
            if number.is_multiple_of(CHECKS_PER_LINE) {
                report.log(&node, name, connections);
            }
        }
    }
}

/// What was counted and logged of a listener.
#[derive(Clone, Default)]
struct Report {
    counted: Counts,
    logged: Counts,
}

impl Report {
    fn count(&mut self, node: &Node, connections: &Connections) {
        for close in Close::iter() {
            let count = connections.closes[close as usize].load(Ordering::Relaxed);
            let new = count - self.counted[close as usize];
            if new > 0 {
                node.telemetry
                    .count_tagged("connections.closed", close.into(), new);
            }
            self.counted[close as usize] = count;
        }
    }

    fn log(&mut self, node: &Node, listener: &str, connections: &Connections) {
        if self.counted == self.logged {
            return;
        }
        let counts = Close::iter().map(|it| {
            let count = self.counted[it as usize] - self.logged[it as usize];
            (<&str>::from(it), count)
        });
        let counts = counts.filter(|it| it.1 > 0);
        let counts: Vec<String> = counts.map(|it| format!("{}:{}", it.0, it.1)).collect();
        slog::info!(node.logger(), "connections_closed"; "listener" => listener,
            "counts" => counts.join(","), "open" => connections.lock().len(),
            "max" => connections.max);
        self.logged = self.counted;
    }
}
