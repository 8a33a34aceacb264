//! The trait through which a dispatcher meets upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use base::id;
use config::model::Protocol;
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use wire::dispatch::Body;
use wire::dispatch::Cause;

/// Pieces buffered between an upstream and its reader.
pub const PIECE_BUFFER: usize = 64;

/// Where to send a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address.
    pub address: SocketAddr,
    /// Protocol.
    pub protocol: Protocol,
}

/// A call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Attempt id, which the upstream echoes.
    pub attempt: id::Attempt,
    /// Time left.
    pub budget: Duration,
    /// Work.
    pub body: Body,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// One token, or a part of a plain answer.
    Part(String),
    /// The answer ended as its protocol says.
    End,
}

/// An answer that has begun. A channel that ends without [`Piece::End`] is a broken answer;
/// dropping the receiver cancels the call.
#[derive(Debug)]
pub struct Answer {
    /// Attempt id that the upstream echoed.
    pub attempt: id::Attempt,
    /// The pieces.
    pub pieces: mpsc::Receiver<Result<Piece, Cause>>,
}

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum CallError {
    /// The connection was refused; nothing was sent.
    #[strum(to_string = "not_sent")]
    NotSent,
    /// The call was sent.
    #[strum(to_string = "{0}")]
    Broken(Cause),
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that the upstream is running.
    pub in_flight: u32,
    /// Changes with every restart.
    pub epoch: u64,
    /// Age of the measurement.
    pub age: Duration,
}

/// Calls upstreams.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Sends a call and waits for the beginning of its answer.
    fn call(&self, endpoint: Endpoint, call: Call) -> BoxFuture<'_, Result<Answer, CallError>>;

    /// Asks for the load; `None` when the upstream does not answer.
    fn load_report(&self, endpoint: Endpoint) -> BoxFuture<'_, Option<LoadReport>>;

    /// Whether a connection to the upstream can be made.
    fn probe(&self, endpoint: Endpoint) -> BoxFuture<'_, bool>;
}
