//! The two traits through which decisions meet other processes.

use std::net::SocketAddr;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc;

use crate::message::Reply;
use crate::message::Request;

/// Replies buffered between a handler and its stream.
pub const REPLY_BUFFER: usize = 64;

/// Why a peer gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// No connection; the request was not sent.
    Unreachable,
    /// The request may have arrived, and the stream ended before the last reply.
    Lost,
    /// The reply has an unexpected type.
    Protocol,
}

impl std::error::Error for Error {}

/// Replies to one request. Dropping it tells the peer that nobody listens any more.
pub struct Replies(pub mpsc::Receiver<Reply>);

impl Replies {
    /// The next reply; `None` when the stream broke or ended.
    pub async fn next(&mut self) -> Option<Reply> {
        self.0.recv().await
    }
}

/// Sends requests to other processes.
pub trait Peer: Send + Sync + 'static {
    /// Opens a stream to the process at `to` and sends `request`.
    fn open(&self, to: SocketAddr, request: Request) -> BoxFuture<'_, Result<Replies, Error>>;
}

/// Answers requests of other processes.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request. `replies` is closed once the asker has gone.
    fn handle(&self, request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()>;
}

/// Sends `request` and returns its only reply.
///
/// # Errors
///
/// Fails when the peer cannot be reached or is lost before it replies.
pub async fn request(peer: &dyn Peer, to: SocketAddr, request: Request) -> Result<Reply, Error> {
    let mut replies = peer.open(to, request).await?;
    replies.next().await.ok_or(Error::Lost)
}
