//! Batched calls.

use std::time::Duration;

use base::id;

use crate::plan::Handle;
use crate::planner::PlanId;

/// What a piece reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request's key.
    Key(String),
    /// Results of earlier steps.
    Results(Vec<Handle>),
}

/// One piece of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Plan that it belongs to.
    pub plan: PlanId,
    /// Index of the step within the plan.
    pub step: usize,
    /// Number of the step in its route.
    pub number: usize,
    /// Number of the piece within the step.
    pub piece: usize,
    /// Id of the request.
    pub request: String,
    /// Identifies what the request asks for, over all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Time that the request has left.
    pub remaining: Duration,
    /// What it reads.
    pub input: Input,
}

/// One call to one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call to [`crate::Planner::finish`].
    pub id: u64,
    /// Where it goes.
    pub upstream: id::Upstream,
    /// Its pieces.
    pub items: Vec<Item>,
    /// After this time the call is taken for lost.
    pub timeout: Duration,
}

/// Why one piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ItemFailure {
    /// Its time had run out at its turn.
    Late,
    /// A result that it reads no longer exists.
    InputGone,
    /// The upstream has no room for the result.
    NoRoom,
    /// Any other failure.
    Failed,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream worked on it; one result an item, in order.
    Done(Vec<Result<Handle, ItemFailure>>),
    /// The upstream was full and worked on nothing.
    Rejected,
    /// The upstream is not the one that was meant, or cannot be reached.
    Unreachable,
    /// No answer came in time, or none that can be used.
    Lost,
}
