//! Tunnels: byte streams to an upstream through another process that reaches it.
//!
//! The end of an upstream's bytes and the break of its connection stay distinguishable: a response
//! without a length that breaks is incomplete.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use base::id;
use quinn::RecvStream;
use quinn::SendStream;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;

use crate::codec;
use crate::message::Reply;
use crate::peer;

/// Size of the buffer for one read from the upstream.
const CHUNK_BYTES: usize = 16 * 1024;
/// Code of a stream that is reset because the connection to the upstream broke.
const BROKEN_CODE: u32 = 1;

/// Request to connect to an upstream and to carry bytes both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The upstream; the receiver connects to the address under which it is registered.
    pub upstream: id::Incarnation,
}

/// Reply to [`Open`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The connection is open; all further bytes are the upstream's.
    Opened,
    /// The upstream accepted no connection.
    Unreachable,
    /// The process has lost its own path to the upstream.
    CutOff,
    /// The upstream is not registered, as far as the process knows.
    Unknown,
    /// The process carries as many tunnels as it can.
    Busy,
}

/// Requester's end of a tunnel. Dropping it closes the upstream's connection.
pub struct Tunnel {
    send: SendStream,
    recv: RecvStream,
}

impl Tunnel {
    /// Waits for the answer to [`Open`], which was sent on `send`.
    pub(crate) async fn open(
        send: SendStream,
        recv: RecvStream,
    ) -> Result<Result<Tunnel, Answer>, peer::Error> {
        let mut tunnel = Tunnel { send, recv };
        match codec::read::<Reply>(&mut tunnel.recv).await {
            Ok(Some(Reply::Tunnel(Answer::Opened))) => Ok(Ok(tunnel)),
            Ok(Some(Reply::Tunnel(answer))) => Ok(Err(answer)),
            Ok(Some(_)) => Err(peer::Error::Protocol),
            Ok(None) | Err(_) => Err(peer::Error::Lost),
        }
    }
}

impl Drop for Tunnel {
    fn drop(&mut self) {
        // Fails only if the stream has ended.
        let _ = self.send.reset(0u32.into());
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.recv), cx, buf)
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.send), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.send), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_shutdown(Pin::new(&mut self.send), cx)
    }
}

/// A tunnel that another process asks for.
pub struct Incoming {
    pub(crate) open: Open,
    pub(crate) send: SendStream,
    pub(crate) recv: RecvStream,
}

impl Incoming {
    /// The upstream to connect to.
    #[must_use]
    pub fn upstream(&self) -> &id::Incarnation {
        &self.open.upstream
    }

    /// Waits until the requester gives up.
    pub async fn closed(&mut self) {
        // Fails if the connection is lost, which ends the tunnel as well.
        let _ = self.send.stopped().await;
    }

    /// Answers that there is no connection.
    pub async fn refuse(mut self, answer: Answer) {
        // Fails only if the requester has given up.
        let _ = write_answer(&mut self.send, answer).await;
        let _ = self.send.finish();
    }

    /// Carries bytes to and from `upstream` until both directions have ended or one has broken.
    pub async fn carry(mut self, mut upstream: TcpStream) {
        if write_answer(&mut self.send, Answer::Opened).await.is_err() {
            return;
        }
        let (from_upstream, to_upstream) = upstream.split();
        let ended = tokio::try_join!(
            carry_requests(&mut self.recv, to_upstream),
            carry_responses(from_upstream, &mut self.send),
        );
        if ended.is_err() {
            // Both fail only for what has ended already.
            let _ = self.send.reset(BROKEN_CODE.into());
            let _ = upstream.set_zero_linger();
        }
    }
}

async fn write_answer(send: &mut SendStream, answer: Answer) -> io::Result<()> {
    let frame = codec::encode(&Reply::Tunnel(answer)).map_err(io::Error::other)?;
    send.write_all(&frame).await.map_err(io::Error::from)
}

async fn carry_requests(recv: &mut RecvStream, mut upstream: WriteHalf<'_>) -> io::Result<()> {
    while let Some(chunk) = recv.read_chunk(CHUNK_BYTES, true).await? {
        upstream.write_all(&chunk.bytes).await?;
    }
    upstream.shutdown().await
}

async fn carry_responses(mut upstream: ReadHalf<'_>, send: &mut SendStream) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = upstream.read(&mut chunk).await?;
        if length == 0 {
            return send.finish().map_err(io::Error::other);
        }
        send.write_all(&chunk[..length]).await?;
    }
}
