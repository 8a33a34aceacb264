//! Interface through which a dispatcher calls upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use base::id;
use config::model::Protocol;
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use wire::dispatch::Body;
use wire::dispatch::Cause;

/// Pieces of an answer buffered between an upstream and its reader.
pub const PIECE_BUFFER: usize = 64;

/// Where and how to call an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Socket address of the upstream.
    pub address: SocketAddr,
    /// Protocol that the upstream speaks.
    pub protocol: Protocol,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Attempt id, which the upstream echoes.
    pub attempt: id::Attempt,
    /// Time left until the call's deadline.
    pub budget: Duration,
    /// Request body.
    pub body: Body,
}

/// Piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// One token, or a part of a plain answer.
    Part(String),
    /// The answer is complete according to its protocol.
    End,
}

/// An answer that is being received. If the channel closes without [`Piece::End`], the answer is
/// incomplete. Dropping the receiver cancels the call.
#[derive(Debug)]
pub struct Answer {
    /// Attempt id that the upstream echoed.
    pub attempt: id::Attempt,
    /// Channel of the answer's pieces. An error is its last item and tells why the answer broke
    /// off.
    pub pieces: mpsc::Receiver<Result<Piece, Cause>>,
}

/// Why a call returned no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum CallError {
    /// No connection could be made; nothing was sent.
    #[strum(to_string = "not_sent")]
    NotSent,
    /// The call was sent, or may have been, and failed.
    #[strum(to_string = "{0}")]
    Broken(Cause),
}

/// Load as measured by the upstream itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that the upstream is running.
    pub in_flight: u32,
    /// Identifies the run of the upstream; changes with every restart.
    pub epoch: u64,
    /// Age of the measurement.
    pub age: Duration,
}

/// Client for upstreams.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Sends a call and waits for the start of its answer.
    fn call(&self, endpoint: Endpoint, call: Call) -> BoxFuture<'_, Result<Answer, CallError>>;

    /// Requests the current load; `None` if the upstream gives no valid answer.
    fn load_report(&self, endpoint: Endpoint) -> BoxFuture<'_, Option<LoadReport>>;

    /// Returns whether the upstream accepts a connection.
    fn probe(&self, endpoint: Endpoint) -> BoxFuture<'_, bool>;
}
