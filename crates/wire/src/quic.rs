//! QUIC transport with mutual TLS.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
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
use crate::tls;
use crate::tls::Identity;

const ALPN: &[u8] = b"catkinvane/1";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A silent connection is given up after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const KEEP_ALIVE: Duration = Duration::from_millis(1500);
/// Requests that one peer may have open at another; further ones wait. The transport reserves room
/// for all of them when a connection is made: 8,192 took half a megabyte an end.
const STREAMS_MAX: u32 = 1_024;

/// Why the transport cannot start.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// The certificates cannot be used.
    #[strum(to_string = "{0}")]
    Tls(tls::Error),
    /// The address cannot be bound.
    #[strum(to_string = "cannot listen on {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// Client side: one connection per peer, opened on demand and kept.
pub struct Client {
    endpoint: quinn::Endpoint,
    connections: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<quinn::Connection>>>>>,
}

impl Client {
    /// Opens a client endpoint on an ephemeral port of `local`'s address.
    ///
    /// # Errors
    ///
    /// Fails when the certificates cannot be used or no port can be bound.
    pub fn new(identity: &Identity, local: SocketAddr) -> Result<Client, Error> {
        let local = SocketAddr::new(local.ip(), 0);
        let mut endpoint = quinn::Endpoint::client(local).map_err(|err| Error::Bind(local, err))?;
        endpoint.set_default_client_config(client_config(identity).map_err(Error::Tls)?);
        Ok(Client {
            endpoint,
            connections: Mutex::new(HashMap::new()),
        })
    }

    /// Closes every connection and waits for the peers to hear of it.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
        self.endpoint.wait_idle().await;
    }

    /// Drops the connection to a peer that does not answer on it.
    pub async fn disconnect(&self, to: SocketAddr) {
        let slot = self.connections.lock().await.get(&to).cloned();
        let Some(slot) = slot else {
            return;
        };
        // While it is locked a new connection is being made.
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
        // Only callers of this one peer wait for its handshake.
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

    async fn open(&self, to: SocketAddr, request: Request) -> Result<Replies, peer::Error> {
        let connection = self.connection(to).await?;
        let (mut send, recv) = connection
            .open_bi()
            .await
            .map_err(|_| peer::Error::Unreachable)?;
        let frame = codec::encode(&request).map_err(|_| peer::Error::Protocol)?;
        send.write_all(&frame)
            .await
            .map_err(|_| peer::Error::Lost)?;
        // Finishing can only fail on a stream that is already closed.
        let _ = send.finish();
        let (replies, receiver) = mpsc::channel(peer::REPLY_BUFFER);
        tokio::spawn(receive(recv, replies));
        Ok(Replies(receiver))
    }
}

impl Peer for Client {
    fn open(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> BoxFuture<'_, Result<Replies, peer::Error>> {
        Box::pin(Client::open(self, to, request))
    }
}

/// Moves replies from the stream to the channel until either ends.
async fn receive(mut recv: quinn::RecvStream, replies: mpsc::Sender<Reply>) {
    loop {
        let read = tokio::select! {
            read = codec::read::<Reply>(&mut recv) => read,
            () = replies.closed() => break,
        };
        let Ok(Some(reply)) = read else {
            return;
        };
        if replies.send(reply).await.is_err() {
            break;
        }
    }
    // Tells the handler that nobody listens.
    let _ = recv.stop(0u32.into());
}

/// Server side: hands every request to a handler.
pub struct Server {
    endpoint: quinn::Endpoint,
}

impl Server {
    /// Binds `listen`.
    ///
    /// # Errors
    ///
    /// Fails when the certificates cannot be used or the address cannot be bound.
    pub fn bind(identity: &Identity, listen: SocketAddr) -> Result<Server, Error> {
        let config = server_config(identity).map_err(Error::Tls)?;
        let endpoint =
            quinn::Endpoint::server(config, listen).map_err(|err| Error::Bind(listen, err))?;
        Ok(Server { endpoint })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// Fails when the socket has been closed.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Serves until [`Server::close`] is called.
    pub async fn serve(&self, handler: Arc<dyn Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(serve_connection(incoming, handler.clone()));
        }
    }

    /// Closes every connection and stops accepting.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
        self.endpoint.wait_idle().await;
    }
}

impl Drop for Server {
    /// Connections would otherwise go on being served, and the address stay in use.
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
    // The writer owns the receiver: when the asker has gone it is dropped, and the handler's
    // sender closes.
    tokio::join!(handler.handle(request, replies), write);
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// `streams_max` is the number of streams that the other end may open.
fn transport(streams_max: u32) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_concurrent_bidi_streams(streams_max.into());
    transport.max_concurrent_uni_streams(0u32.into());
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
    tls.alpn_protocols = vec![ALPN.to_vec()];
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
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(tls_error)?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport(STREAMS_MAX));
    Ok(config)
}
