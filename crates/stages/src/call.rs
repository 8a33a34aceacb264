//! Batched calls to the upstreams of step services.

use std::time::Duration;

use base::id;

use crate::plan::Handle;
use crate::planner::PlanId;

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request's key: the piece's step reads no results.
    Key(String),
    /// Handles of the results of earlier steps.
    Results(Vec<Handle>),
}

/// One piece in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Plan that the piece belongs to.
    pub plan: PlanId,
    /// Index of the step within the plan.
    pub step: usize,
    /// Index of the step in the route's configuration.
    pub route_step: usize,
    /// Index of the piece within the step.
    pub piece: usize,
    /// Request id.
    pub request: String,
    /// Identifies the request's content; equal for all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Input of the piece.
    pub input: Input,
}

/// A batch of pieces sent to one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call in [`crate::Planner::finish`].
    pub id: u64,
    /// Upstream that receives the call.
    pub upstream: id::Upstream,
    /// Pieces in the batch.
    pub items: Vec<Item>,
    /// Time after which the driver gives up waiting and reports [`Outcome::Lost`].
    pub timeout: Duration,
}

/// Why a piece of a completed call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ItemFailure {
    /// The request's deadline had passed when the upstream got to the piece.
    Late,
    /// An input of the piece no longer exists at the upstream that produced it.
    InputGone,
    /// The upstream has no memory left for the result.
    NoRoom,
    /// Any other failure.
    Failed,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream processed the batch: one entry per item, in the same order.
    Done(Vec<Result<Handle, ItemFailure>>),
    /// The upstream was at its limit and processed no piece.
    Rejected,
    /// Nothing was sent: the rate limit of the upstream does not allow a call yet.
    Unsent,
    /// The upstream could not be reached, or another one answered at its address.
    Unreachable,
    /// No usable response arrived before the timeout.
    Lost,
    /// The path to the upstream was lost during the call, which says nothing of the upstream.
    Interrupted,
}
