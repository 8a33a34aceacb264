//! HTTP/1.1 connections to upstreams.
//!
//! The product tells apart a request of which no byte was sent from one whose outcome is unknown,
//! and forwards paths without normalising them. Neither can be had from a client that hides its
//! connections, so requests run on bare `hyper` connections, kept in this pool.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A new connection is given up after this time; between zones it takes 6 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Sent bytes that stay unacknowledged for this long end the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections kept for one upstream.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Idle connections are dropped after this time even where an upstream states a longer one: a kept
/// connection may have gone silent.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_millis(900);
/// Idle time where an upstream states none, which it does for less than a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of an upstream's stated idle time within which a connection is used again.
const KEEP_ALIVE_FRACTION: f64 = 0.5;

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Interim answers to one request after which its upstream is taken for out of order.
const INTERIM_RESPONSES_MAX: usize = 16;

/// Why a request could not be sent, or got no answer.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// No connection could be made.
    Connect,
    /// This instance's share of the upstream's connections is in use.
    TooMany,
    /// The connection had ended before any byte of the request was sent.
    Unsent,
    /// The connection broke after that.
    Lost,
    /// No answer came within the time that the sender waits.
    Silent,
}

impl std::error::Error for Error {}

impl Error {
    /// Whether it tells anything of the upstream.
    #[must_use]
    pub fn counts_against_upstream(&self) -> bool {
        !matches!(self, Error::TooMany)
    }
}

struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    expires_at: Instant,
}

#[derive(Default)]
struct Connections {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    open: HashMap<SocketAddr, usize>,
}

/// Kept connections; cheap to clone.
#[derive(Clone, Default)]
pub struct Pool {
    connections: Arc<Mutex<Connections>>,
}

/// A connection that serves one request. Dropping it closes the connection.
pub struct PooledConnection {
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    address: SocketAddr,
    pool: Pool,
    /// Whether the connection has served a request before.
    pub is_reused: bool,
}

impl Pool {
    /// A connection to `address`: one idle for at most `idle_max`, or a new one while this
    /// instance has fewer than `connection_limit`.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        idle_max: Duration,
        connection_limit: usize,
    ) -> Result<PooledConnection, Error> {
        if let Some(connection) = self.take_idle(address, idle_max) {
            return Ok(connection);
        }
        self.connect(address, connection_limit).await
    }

    /// A new connection to `address`, while this instance has fewer than `connection_limit`.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made.
    pub async fn connect(
        &self,
        address: SocketAddr,
        connection_limit: usize,
    ) -> Result<PooledConnection, Error> {
        self.reserve_open(address, connection_limit)?;
        let guard = OpenCountGuard {
            pool: self.clone(),
            address,
        };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| Error::Connect)?
            .map_err(|_| Error::Connect)?;
        set_socket_options(&stream).map_err(|_| Error::Connect)?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| Error::Connect)?;
        let task = tokio::spawn(async move {
            let _guard = guard;
            // Errors reach the request through its sender.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender: Some(sender),
            task: task.abort_handle(),
            address,
            pool: self.clone(),
            is_reused: false,
        })
    }

    /// Closes connections that have been idle for too long.
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

    fn take_idle(&self, address: SocketAddr, idle_max: Duration) -> Option<PooledConnection> {
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
                });
            }
            candidate.task.abort();
        }
        None
    }

    fn reserve_open(&self, address: SocketAddr, connection_limit: usize) -> Result<(), Error> {
        let mut connections = self.lock();
        let open = connections.open.entry(address).or_default();
        if *open >= connection_limit {
            return Err(Error::TooMany);
        }
        *open += 1;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

struct OpenCountGuard {
    pool: Pool,
    address: SocketAddr,
}

impl Drop for OpenCountGuard {
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
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether any byte can have been sent.
    pub async fn send(
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

    /// Keeps the connection for another request after a whole answer.
    pub async fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        // The connection is free once its task has seen the end of the body.
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
        if idle.len() >= IDLE_CONNECTIONS_MAX {
            self.task.abort();
            return;
        }
        idle.push(IdleConnection {
            sender,
            task: self.task.clone(),
            idle_since: now,
            expires_at: now + keep_alive.min(IDLE_TIMEOUT_MAX),
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
