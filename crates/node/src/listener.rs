//! Accepts the connections of clients and bounds what they hold.
//!
//! Heads, idle times and the number of connections are bounded here, where the bytes of a client
//! are first seen. A connection whose request was read is left to the request, unless its client
//! does not read the response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use salvo::conn::Accepted;
use salvo::conn::ConnCtrl;
use salvo::conn::Holding;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use salvo::http::Version;
use salvo::http::uri::Scheme;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::buffer::Reservation;
use crate::listener_connections::Close;
use crate::listener_connections::Connection;
use crate::listener_connections::Connections;

/// Length of the accept queue of a listener; a full queue delays clients by seconds.
const BACKLOG: u32 = 1_024;
/// Read and write buffer of a connection in bytes, which also bounds a head.
const BUFFER_BYTES_MAX: usize = 48 * 1024;
/// Most streams of an HTTP/2 connection at once.
const STREAMS_MAX: u32 = 32;
/// Time within which a connection that was told to close does so.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Response to a head that is larger than allowed.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 X\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections as long as there is room, and makes room by closing others.
pub struct Acceptor {
    inner: TcpListener,
    holdings: Vec<Holding>,
    connections: Arc<Connections>,
    /// A connection that waits for room; accepting may be cancelled meanwhile.
    pending: Option<(TcpStream, SocketAddr)>,
}

impl Acceptor {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr, connections: Arc<Connections>) -> std::io::Result<Acceptor> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit this option.
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        let inner = socket.listen(BACKLOG)?;
        let holding = Holding {
            local_addr: inner.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        Ok(Acceptor {
            inner,
            holdings: vec![holding],
            connections,
            pending: None,
        })
    }

    /// An HTTP server on this listener with bounded buffers.
    #[must_use]
    pub fn into_server(self) -> salvo::Server<Acceptor> {
        let mut server = salvo::Server::new(self).disable_fuse();
        // The time for a head is bounded with the idle time.
        let http1 = server.http1_mut();
        http1.max_buf_size(BUFFER_BYTES_MAX);
        http1.header_read_timeout(None);
        let http2 = server.http2_mut();
        http2.max_concurrent_streams(STREAMS_MAX);
        http2.max_send_buf_size(BUFFER_BYTES_MAX);
        server
    }
}

impl salvo::conn::Acceptor for Acceptor {
    type Coupler = TcpCoupler<Stream>;
    type Stream = Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> std::io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            if self.pending.is_none() {
                self.pending = Some(self.inner.accept().await?);
            }
            if self.connections.is_full() {
                if self.connections.close_least_worthy() {
                    let closed = self.connections.closed.notified();
                    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
                } else {
                    self.connections.count(Close::Refused);
                    self.pending = None;
                }
                continue;
            }
            let Some((inner, remote)) = self.pending.take() else {
                continue;
            };
            let stream = Stream {
                inner,
                connection: self.connections.add(remote),
                head_memory: self.connections.memory.new_reservation(),
                connections: self.connections.clone(),
            };
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream,
                fuse_config: None,
                conn_ctrl: ConnCtrl::new(),
                local_addr: self.holdings[0].local_addr.clone(),
                remote_addr: remote.into(),
                http_scheme: Scheme::HTTP,
            });
        }
    }
}

/// The byte stream of one connection.
pub struct Stream {
    inner: TcpStream,
    connection: Arc<Connection>,
    connections: Arc<Connections>,
    /// What an incomplete head takes of the instance's memory budget.
    head_memory: Reservation,
}

impl Stream {
    fn refuse_head(&self) -> Poll<std::io::Result<()>> {
        // A client that does not read its refusal sees a closed connection.
        let _ = self.inner.try_write(HEAD_TOO_LARGE);
        self.connections.count(Close::HeadTooLarge);
        Poll::Ready(Err(std::io::ErrorKind::ConnectionAborted.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let connection = self.connection.clone();
        connection.waker.register(cx.waker());
        let is_reading_head = !connection.has_request();
        if is_reading_head {
            let size = connection.head_bytes();
            if size >= self.connections.head_bytes_max() || self.head_memory.resize(size).is_err() {
                return self.refuse_head();
            }
        } else {
            self.head_memory.shrink(0);
        }
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let size = buf.filled().len() - filled;
        if size > 0 {
            let now = self.connections.now_ms();
            match is_reading_head {
                true => connection.record_head(size, now),
                false => connection.record_body(now),
            }
        }
        // A request that has arrived in time is served.
        if result.is_pending() && connection.is_closing() {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionAborted.into()));
        }
        result
    }
}

impl Stream {
    fn record_write(
        &self,
        cx: &mut Context<'_>,
        result: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let connection = &self.connection;
        let now = self.connections.now_ms();
        match &result {
            Poll::Pending => {
                connection.waker.register(cx.waker());
                connection.record_blocked(now);
                if connection.is_closing() {
                    return Poll::Ready(Err(std::io::ErrorKind::ConnectionAborted.into()));
                }
            }
            Poll::Ready(_) => connection.record_progress(now),
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connections.remove(&self.connection);
    }
}
