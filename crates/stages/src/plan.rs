//! Plans that gateways submit, and their results.

use std::fmt;
use std::time::Duration;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Identifies one result at the upstream that produced and keeps it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Handle(pub String);

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Index of the step in the route's configuration.
    pub number: usize,
    /// Service whose upstreams run the step.
    pub service: id::Service,
    /// Indices, within the plan, of the steps whose results this one reads.
    pub after: Vec<usize>,
    /// Number of pieces.
    pub pieces: usize,
    /// Size of one result in bytes.
    pub result_bytes: u64,
}

/// Most pieces of one request over all its steps; its owner keeps some tens of bytes for each.
pub const PIECES_MAX: usize = 10_000;

/// Whether a request with these numbers of pieces may be prepared.
#[must_use]
pub fn has_too_many_pieces(counts: impl IntoIterator<Item = usize>) -> bool {
    let total = counts.into_iter().fold(0_usize, usize::saturating_add);
    total > PIECES_MAX
}

/// The steps that one request needs before it can run, with its deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Request id.
    pub request: String,
    /// Identifies the request's content; equal for all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Input of the steps that read no results.
    pub key: String,
    /// Preferred zone of the final results.
    pub zone: Option<id::Zone>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace of the client; `None` if it is not known.
    pub workspace: Option<id::Workspace>,
    /// The response loses value if it arrives after this time.
    pub soft_deadline: Instant,
    /// The client gives up at this time.
    pub deadline: Instant,
    /// Expected time from the end of the last step to the response.
    pub time_after_steps: Duration,
    /// Steps in topological order: each one follows those whose results it reads.
    pub steps: Vec<Step>,
}

/// Final results of a plan, ordered by step and piece.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prepared {
    /// Results of the steps that no other step reads.
    pub handles: Vec<Handle>,
    /// Zone of the upstream that keeps the largest result.
    pub zone: Option<id::Zone>,
}

/// Why a plan was refused or abandoned. No part of the request has reached a model engine.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The steps cannot end before the deadline; holds the time until the queue has drained.
    TooLate(Duration),
    /// A service has no usable upstream.
    NoUpstream,
    /// Too many pieces failed, or the request was aborted.
    Failed,
}
