//! Traits for sending requests to other processes and serving theirs, independent of the transport.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc;

use crate::message::Reply;
use crate::message::Request;
use crate::tunnel;

/// Capacity, in replies, of the channel between a handler and its stream.
pub const REPLY_BUFFER: usize = 64;

/// Why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// No connection could be made; the request was not sent.
    Unreachable,
    /// The stream ended before the reply; the request may have been received.
    Lost,
    /// The request cannot be encoded, or the reply is of an unexpected type.
    Protocol,
}

impl std::error::Error for Error {}

/// Stream of the replies to one request. Dropping it closes the sender that the peer's handler
/// holds.
pub struct Replies {
    receiver: mpsc::Receiver<Reply>,
    received: Arc<AtomicUsize>,
}

impl Replies {
    /// Replies that arrive through `receiver`. `received` counts the bytes of those that are not there
    /// as a whole yet.
    #[must_use]
    pub fn new(receiver: mpsc::Receiver<Reply>, received: Arc<AtomicUsize>) -> Replies {
        Replies { receiver, received }
    }

    /// The count of bytes that have arrived, which a large reply raises before it is complete.
    #[must_use]
    pub fn received(&self) -> Arc<AtomicUsize> {
        self.received.clone()
    }

    /// The next reply; `None` after the last one or if the stream failed.
    pub async fn next(&mut self) -> Option<Reply> {
        self.receiver.recv().await
    }
}

/// Client side: sends requests to other processes.
pub trait Peer: Send + Sync + 'static {
    /// Opens a stream to the process at `to` and sends `request`.
    fn open(&self, to: SocketAddr, request: Request) -> BoxFuture<'_, Result<Replies, Error>>;
}

/// Server side: answers requests of other processes.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request. `replies` closes when the requester cancels or disconnects.
    fn handle(&self, request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()>;

    /// Serves a tunnel; without an implementation there are none.
    fn carry(&self, tunnel: tunnel::Incoming) -> BoxFuture<'_, ()> {
        Box::pin(tunnel.refuse(tunnel::Answer::Unknown))
    }
}

/// Sends `request` and returns its first reply.
///
/// # Errors
///
/// Fails if the peer cannot be reached or the stream ends before a reply.
pub async fn request(peer: &dyn Peer, to: SocketAddr, request: Request) -> Result<Reply, Error> {
    let mut replies = peer.open(to, request).await?;
    replies.next().await.ok_or(Error::Lost)
}
