//! QUIC transport with mutual TLS: [`Client`] implements [`Peer`], [`Server`] serves a [`Handler`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use futures_util::future::BoxFuture;
use quinn::crypto::rustls::HandshakeData;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

use crate::codec;
use crate::message::Reply;
use crate::message::Request;
use crate::peer;
use crate::peer::Handler;
use crate::peer::Peer;
use crate::peer::Replies;
use crate::protocol::Protocol;
use crate::tls;
use crate::tls::Identity;
use crate::tunnel;
use crate::tunnel::Tunnel;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without any packet from the peer after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const KEEP_ALIVE: Duration = Duration::from_millis(1500);
/// Maximum number of requests in flight per connection; further ones wait. The transport allocates
/// state for all of them when it connects: 8,192 streams took half a megabyte at each end.
const STREAMS_MAX: u32 = 1_024;
/// Bytes of a stream that are kept for a reader that is slow, such as the client of a tunnel.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Why the transport cannot start.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// TLS rejects the certificates or keys.
    #[strum(to_string = "{0}")]
    Tls(tls::Error),
    /// The address cannot be bound.
    #[strum(to_string = "cannot bind {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// Client side. Connects to each peer on demand and reuses the connection.
pub struct Client {
    endpoint: quinn::Endpoint,
    connections: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<quinn::Connection>>>>>,
}

impl Client {
    /// Binds a client endpoint to an ephemeral port on the IP address of `local`.
    ///
    /// # Errors
    ///
    /// Fails if TLS rejects the certificates or no port can be bound.
    pub fn new(identity: &Identity, local: SocketAddr) -> Result<Client, Error> {
        let local = SocketAddr::new(local.ip(), 0);
        let mut endpoint = quinn::Endpoint::client(local).map_err(|err| Error::Bind(local, err))?;
        endpoint.set_default_client_config(client_config(identity).map_err(Error::Tls)?);
        Ok(Client {
            endpoint,
            connections: Mutex::new(HashMap::new()),
        })
    }

    /// Closes all connections and waits until the peers are notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
        self.endpoint.wait_idle().await;
    }

    /// Closes the connection to an unresponsive peer, so that the next request connects again.
    pub async fn disconnect(&self, to: SocketAddr) {
        let slot = self.connections.lock().await.get(&to).cloned();
        let Some(slot) = slot else {
            return;
        };
        // The slot is locked while a new connection is being opened.
        let Ok(mut slot) = slot.try_lock() else {
            return;
        };
        if let Some(connection) = slot.take() {
            connection.close(0u32.into(), b"silent");
        }
    }

    async fn connection(&self, to: SocketAddr) -> Result<quinn::Connection, peer::Error> {
        let slot = {
            let mut connections = self.connections.lock().await;
            connections.entry(to).or_default().clone()
        };
        // The lock is per peer, so a handshake delays only requests to the same peer.
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|it| it.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connecting = self
            .endpoint
            .connect(to, tls::SERVER_NAME)
            .map_err(|_| peer::Error::Unreachable)?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| peer::Error::Unreachable)?
            .map_err(|_| peer::Error::Unreachable)?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Opens a tunnel through the process at `to`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be reached; its answer if it opened none.
    pub async fn open_tunnel(
        &self,
        to: SocketAddr,
        open: tunnel::Open,
    ) -> Result<Result<Tunnel, tunnel::Answer>, peer::Error> {
        let connection = self.connection(to).await?;
        let (send, recv) = send(&connection, &Request::Tunnel(open)).await?;
        Tunnel::open(send, recv).await
    }

    /// Sends the request that `request` makes for the protocol of the connection; returns that
    /// protocol too.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be reached.
    pub async fn open_with(
        &self,
        to: SocketAddr,
        request: impl FnOnce(Protocol) -> Request,
    ) -> Result<(Protocol, Replies), peer::Error> {
        let connection = self.connection(to).await?;
        let protocol = agreed_protocol(&connection);
        let (mut send, recv) = send(&connection, &request(protocol)).await?;
        // Fails only if the stream is already closed.
        let _ = send.finish();
        let (replies, receiver) = mpsc::channel(peer::REPLY_BUFFER);
        let received = Arc::new(AtomicUsize::new(0));
        tokio::spawn(receive(recv, replies, received.clone()));
        Ok((protocol, Replies::new(receiver, received)))
    }
}

/// Opens a stream and sends a request on it.
async fn send(
    connection: &quinn::Connection,
    request: &Request,
) -> Result<(quinn::SendStream, quinn::RecvStream), peer::Error> {
    let (mut send, recv) = connection
        .open_bi()
        .await
        .map_err(|_| peer::Error::Unreachable)?;
    let frame = codec::encode(request).map_err(|_| peer::Error::Protocol)?;
    send.write_all(&frame)
        .await
        .map_err(|_| peer::Error::Lost)?;
    Ok((send, recv))
}

/// The protocol that the handshake of a connection agreed on.
fn agreed_protocol(connection: &quinn::Connection) -> Protocol {
    let handshake = connection.handshake_data();
    let handshake = handshake.and_then(|it| it.downcast::<HandshakeData>().ok());
    Protocol::agreed(handshake.and_then(|it| it.protocol).as_deref())
}

impl Peer for Client {
    fn open(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> BoxFuture<'_, Result<Replies, peer::Error>> {
        Box::pin(async move {
            let (_, replies) = self.open_with(to, |_| request).await?;
            Ok(replies)
        })
    }
}

/// Forwards replies from the stream to the channel until either ends.
async fn receive(
    mut recv: quinn::RecvStream,
    replies: mpsc::Sender<Reply>,
    received: Arc<AtomicUsize>,
) {
    loop {
        let read = tokio::select! {
            read = codec::read_counted::<Reply>(&mut recv, &received) => read,
            () = replies.closed() => break,
        };
        let Ok(Some(reply)) = read else {
            return;
        };
        if replies.send(reply).await.is_err() {
            break;
        }
    }
    // Tells the server that the replies are not read any more.
    let _ = recv.stop(0u32.into());
}

/// Server side. Passes every request to a handler.
pub struct Server {
    endpoint: quinn::Endpoint,
}

impl Server {
    /// Binds a server endpoint to `listen`.
    ///
    /// # Errors
    ///
    /// Fails if TLS rejects the certificates or the address cannot be bound.
    pub fn bind(identity: &Identity, listen: SocketAddr) -> Result<Server, Error> {
        let config = server_config(identity).map_err(Error::Tls)?;
        let endpoint =
            quinn::Endpoint::server(config, listen).map_err(|err| Error::Bind(listen, err))?;
        Ok(Server { endpoint })
    }

    /// Local address of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the socket has been closed.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Accepts connections and serves their requests until [`Server::close`] is called.
    pub async fn serve(&self, handler: Arc<dyn Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(serve_connection(incoming, handler.clone()));
        }
    }

    /// Closes all connections, stops accepting new ones and waits until the peers are notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
        self.endpoint.wait_idle().await;
    }
}

impl Drop for Server {
    /// Closes the endpoint: spawned tasks would otherwise keep serving its connections, and the
    /// address would stay bound.
    fn drop(&mut self) {
        self.endpoint.close(0u32.into(), b"stop");
    }
}

async fn serve_connection(incoming: quinn::Incoming, handler: Arc<dyn Handler>) {
    let Ok(connection) = incoming.await else {
        return;
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        tokio::spawn(serve_stream(send, recv, handler.clone()));
    }
}

async fn serve_stream(
    mut send: quinn::SendStream,
    mut recv: quinn::RecvStream,
    handler: Arc<dyn Handler>,
) {
    let Ok(Some(request)) = codec::read::<Request>(&mut recv).await else {
        return;
    };
    if let Request::Tunnel(open) = request {
        return handler.carry(tunnel::Incoming { open, send, recv }).await;
    }
    let (replies, mut receiver) = mpsc::channel(peer::REPLY_BUFFER);
    let write = async move {
        let stopped = send.stopped();
        tokio::pin!(stopped);
        loop {
            let reply = tokio::select! {
                reply = receiver.recv() => reply,
                _ = &mut stopped => return,
            };
            let Some(reply) = reply else {
                break;
            };
            let Ok(frame) = codec::encode(&reply) else {
                return;
            };
            if send.write_all(&frame).await.is_err() {
                return;
            }
        }
        let _ = send.finish();
    };
    // The writer owns the receiver and drops it when the client stops the stream, which closes the
    // sender of the handler.
    tokio::join!(handler.handle(request, replies), write);
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Transport settings; `streams_max` is the number of bidirectional streams that the peer may open.
fn transport(streams_max: u32) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_concurrent_bidi_streams(streams_max.into());
    transport.max_concurrent_uni_streams(0u32.into());
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    Arc::new(transport)
}

fn tls_error(err: impl std::fmt::Display) -> tls::Error {
    tls::Error::Tls(err.to_string())
}

fn client_config(identity: &Identity) -> Result<quinn::ClientConfig, tls::Error> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(identity.roots.clone())
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(tls_error)?;
    tls.alpn_protocols = Protocol::names();
    let crypto = QuicClientConfig::try_from(tls).map_err(tls_error)?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    // Only clients open streams.
    config.transport_config(transport(0));
    Ok(config)
}

fn server_config(identity: &Identity) -> Result<quinn::ServerConfig, tls::Error> {
    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
        identity.roots.clone(),
        provider(),
    )
    .build()
    .map_err(tls_error)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(tls_error)?;
    tls.alpn_protocols = Protocol::names();
    let crypto = QuicServerConfig::try_from(tls).map_err(tls_error)?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport(STREAMS_MAX));
    Ok(config)
}
