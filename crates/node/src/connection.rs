//! Pool of HTTP/1.1 connections to upstreams.
//!
//! The node has to tell a request of which no byte was sent from one whose outcome is unknown, and
//! must forward paths without normalising them. HTTP clients with a built-in pool offer neither, so
//! requests run on bare `hyper` connections.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::hash;
use bytes::Bytes;
use forwarding::quota::Permit;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::clock;

/// Timeout for establishing a connection, which takes 6 ms between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The kernel closes a connection whose sent bytes stay unacknowledged for this long
/// (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Most idle connections in the pool for each upstream.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Requests that an upstream refuses on one connection before it is closed.
const REFUSALS_MAX: usize = 64;
/// Latest step results that are remembered of a connection.
const RESULTS_MAX: usize = 256;
/// Longest time that a connection stays idle in the pool, even if the upstream states a longer
/// keep-alive time: the upstream's host may have failed without closing it.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_millis(900);
/// Idle time if the upstream states no keep-alive time; upstreams omit it below one second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Fraction of the stated keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.5;

/// Read buffer of a connection, which bounds the head of a response, in bytes.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Most interim (1xx) responses to one request. An upstream that sends more is considered faulty
/// and its connection is aborted.
const INTERIM_RESPONSES_MAX: usize = 16;

/// Why a request could not be sent or got no response.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The upstream accepts no connections: connecting failed or timed out here, and no other
    /// instance reached it.
    Connect,
    /// Connecting failed or timed out, but whether the upstream accepts connections is not known, as
    /// this instance has lost its paths.
    CutOff,
    /// This instance has used up its share of the upstream's connections.
    TooMany,
    /// The connection was closed before any byte of the request was sent.
    Unsent,
    /// The connection broke after bytes may have been sent; the outcome is unknown.
    Lost,
    /// No response head arrived before the sender's timeout.
    Silent,
    /// Another process than the registered one answers at the address, or none says which it is.
    UnknownProcess,
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the error is evidence against the upstream, and not due to this instance's limit or
    /// its lost paths.
    #[must_use]
    pub fn counts_against_upstream(&self) -> bool {
        !matches!(self, Error::TooMany | Error::CutOff | Error::UnknownProcess)
    }
}

struct IdleConnection {
    is_detour: bool,
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    expires_at: Instant,
    process: Option<u64>,
    refused: Vec<u64>,
    results: VecDeque<(u64, u64)>,
}

#[derive(Default)]
struct Connections {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    open: HashMap<SocketAddr, usize>,
}

/// Opens TCP connections to upstreams.
pub trait Dial: Send + Sync + 'static {
    /// Connects to `address`. The caller bounds the time.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>>;
}

/// Connects through the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialer;

impl Dial for Dialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// Idle connections and counts of open ones by address; cheap to clone.
#[derive(Clone)]
pub struct Pool {
    dialer: Arc<dyn Dial>,
    connections: Arc<Mutex<Connections>>,
}

/// A connection checked out for one request. Dropping it closes the connection, unless it was
/// returned to the pool.
pub struct PooledConnection {
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    address: SocketAddr,
    pool: Pool,
    /// Whether the connection came from the pool and has served a request before.
    pub is_reused: bool,
    /// Start time, in Unix milliseconds, that the process at the other end reported on this
    /// connection.
    pub(crate) process: Option<u64>,
    /// Whether the connection leads through another instance.
    pub is_detour: bool,
    /// Hashes of the ids of the requests that the upstream has refused on this connection.
    refused: Vec<u64>,
    /// Hashes of the latest step results that arrived on this connection, and of their pieces.
    results: VecDeque<(u64, u64)>,
}

impl Pool {
    /// A pool without connections that opens them with `dialer`.
    #[must_use]
    pub fn new(dialer: Arc<dyn Dial>) -> Pool {
        Pool {
            dialer,
            connections: Arc::default(),
        }
    }

    /// Takes a connection to `address` that has been idle for at most `idle_max`.
    #[must_use]
    pub fn take_idle(&self, address: SocketAddr, idle_max: Duration) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut connections = self.lock();
        let idle = connections.idle.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            let is_fresh = now.saturating_duration_since(candidate.idle_since) <= idle_max;
            if is_fresh && candidate.expires_at > now && candidate.sender.is_ready() {
                return Some(PooledConnection {
                    sender: Some(candidate.sender),
                    task: candidate.task,
                    address,
                    pool: self.clone(),
                    is_reused: true,
                    process: candidate.process,
                    is_detour: candidate.is_detour,
                    refused: candidate.refused,
                    results: candidate.results,
                });
            }
            candidate.task.abort();
        }
        None
    }

    /// Opens a new direct connection to `address`.
    ///
    /// # Errors
    ///
    /// [`Error::TooMany`] if this instance has `connection_limit` open connections to it,
    /// [`Error::Connect`] if connecting fails.
    pub async fn connect(
        &self,
        address: SocketAddr,
        connection_limit: usize,
    ) -> Result<PooledConnection, Error> {
        let slot = self.reserve(address, connection_limit)?;
        let stream = self.dial(address, CONNECT_TIMEOUT).await?;
        self.start(slot, stream, false).await
    }

    /// Connects to `address` without counting or keeping the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if that fails or takes longer than `timeout`.
    pub async fn dial(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, Error> {
        let stream = tokio::time::timeout(timeout, self.dialer.dial(address))
            .await
            .map_err(|_| Error::Connect)?
            .map_err(|_| Error::Connect)?;
        set_socket_options(&stream).map_err(|_| Error::Connect)?;
        Ok(stream)
    }

    /// Counts a connection to `address` as open until the slot is dropped.
    ///
    /// # Errors
    ///
    /// [`Error::TooMany`] if this instance has `connection_limit` open connections to it.
    pub fn reserve(&self, address: SocketAddr, connection_limit: usize) -> Result<Slot, Error> {
        let mut connections = self.lock();
        let open = connections.open.entry(address).or_default();
        if *open >= connection_limit {
            return Err(Error::TooMany);
        }
        *open += 1;
        Ok(Slot {
            pool: self.clone(),
            address,
        })
    }

    /// Starts HTTP on an open byte stream to the address of `slot`.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if that fails.
    pub async fn start(
        &self,
        slot: Slot,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        is_detour: bool,
    ) -> Result<PooledConnection, Error> {
        let address = slot.address;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| Error::Connect)?;
        let task = tokio::spawn(async move {
            let _slot = slot;
            // The sender reports the error to the request.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender: Some(sender),
            task: task.abort_handle(),
            address,
            pool: self.clone(),
            is_reused: false,
            process: None,
            is_detour,
            refused: Vec::new(),
            results: VecDeque::new(),
        })
    }

    /// Closes the idle direct connections to `address`, since the path to it is lost.
    pub fn close_idle_direct(&self, address: SocketAddr) {
        let mut connections = self.lock();
        let Some(idle) = connections.idle.get_mut(&address) else {
            return;
        };
        idle.retain(|it| {
            if !it.is_detour {
                it.task.abort();
            }
            it.is_detour
        });
    }

    /// Closes idle connections that have expired or that the upstream has closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut connections = self.lock();
        for idle in connections.idle.values_mut() {
            idle.retain(|it| {
                let is_retained = it.expires_at > now && !it.sender.is_closed();
                if !is_retained {
                    it.task.abort();
                }
                is_retained
            });
        }
        connections.idle.retain(|_, it| !it.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one connection as open until it is dropped.
pub struct Slot {
    pool: Pool,
    address: SocketAddr,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut connections = self.pool.lock();
        if let Some(open) = connections.open.get_mut(&self.address) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                connections.open.remove(&self.address);
            }
        }
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if no byte was sent, also because the permit has expired; [`Error::Lost`]
    /// if the outcome is unknown.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        permit: Permit,
    ) -> Result<Response<Incoming>, Error> {
        if !permit.is_valid(clock::now_with_suspension()) {
            return Err(Error::Unsent);
        }
        self.exchange(request).await
    }

    /// Sends a request that the upstream's limits do not count, and waits for the head of its
    /// response.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if no byte was sent, [`Error::Lost`] if the outcome is unknown.
    pub(crate) async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let (interim_count, task) = (AtomicUsize::new(0), self.task.clone());
        hyper::ext::on_informational(&mut request, move |_| {
            if interim_count.fetch_add(1, Ordering::Relaxed) == INTERIM_RESPONSES_MAX {
                task.abort();
            }
        });
        let sender = self.sender.as_mut().ok_or(Error::Unsent)?;
        sender.ready().await.map_err(|_| Error::Unsent)?;
        sender.try_send_request(request).await.map_err(|mut err| {
            if err.take_message().is_some() {
                return Error::Unsent;
            }
            Error::Lost
        })
    }

    /// Records that the upstream has refused a request on this connection. A faulty upstream may send
    /// a response once more, so that the request must not be sent on it again.
    pub(crate) fn record_refusal(&mut self, request: &str) {
        self.refused.push(hash::hash_strs([request]));
    }

    /// Whether the upstream has refused a request of this id on this connection.
    pub(crate) fn has_refused(&self, request: &str) -> bool {
        self.refused.contains(&hash::hash_strs([request]))
    }

    /// Records the step results of a call, each with a hash of its piece. Returns whether none has
    /// arrived before as the result of another piece, which shows that the response is a copy of
    /// an earlier one.
    pub(crate) fn record_results(&mut self, results: &[(u64, u64)]) -> bool {
        let is_known = |(result, piece): &(u64, u64)| {
            let mut known = self.results.iter();
            known.any(|it| it.0 == *result && it.1 != *piece)
        };
        let are_new = !results.iter().any(is_known);
        self.results.extend(results);
        let excess = self.results.len().saturating_sub(RESULTS_MAX);
        self.results.drain(..excess);
        are_new
    }

    /// Returns the connection to the pool after its response was read to the end. `keep_alive` is
    /// the idle time that the upstream states.
    pub async fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        // The connection is ready again once its task has processed the end of the body.
        let ready_result = tokio::time::timeout(Duration::from_millis(20), sender.ready()).await;
        if !matches!(ready_result, Ok(Ok(()))) {
            self.task.abort();
            return;
        }
        let now = Instant::now();
        let keep_alive =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.mul_f64(KEEP_ALIVE_FRACTION));
        let mut connections = self.pool.lock();
        let idle = connections.idle.entry(self.address).or_default();
        if idle.len() >= IDLE_CONNECTIONS_MAX || self.refused.len() >= REFUSALS_MAX {
            self.task.abort();
            return;
        }
        idle.push(IdleConnection {
            is_detour: self.is_detour,
            sender,
            task: self.task.clone(),
            idle_since: now,
            expires_at: now + keep_alive.min(IDLE_TIMEOUT_MAX),
            process: self.process,
            refused: std::mem::take(&mut self.refused),
            results: std::mem::take(&mut self.results),
        });
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
