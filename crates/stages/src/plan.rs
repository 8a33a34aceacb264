//! What a gateway asks for, and what it gets.

use std::fmt;
use std::time::Duration;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Names one result at the upstream that made it.
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
    /// Number of the step in its route.
    pub number: usize,
    /// Service whose upstreams run it.
    pub service: id::Service,
    /// Indices, within the plan, of the steps whose results it reads.
    pub after: Vec<usize>,
    /// Pieces that it has.
    pub pieces: usize,
    /// Size of one result in bytes.
    pub result_bytes: u64,
}

/// Steps of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Id of the request.
    pub request: String,
    /// Identifies what the request asks for, over all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Input of steps that read no results.
    pub key: String,
    /// Zone in which the results are wanted.
    pub zone: Option<id::Zone>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When the response is of full use.
    pub soft_deadline: Instant,
    /// When the client gives up.
    pub deadline: Instant,
    /// Expected time from the last step to the response.
    pub time_after_steps: Duration,
    /// Steps; each comes after those that it reads.
    pub steps: Vec<Step>,
}

/// Results that a request needs, in order of step and piece.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prepared {
    /// Results of the steps that no other step reads.
    pub handles: Vec<Handle>,
    /// Zone of the largest results.
    pub zone: Option<id::Zone>,
}

/// Why a plan was given up. None of it went to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The steps cannot end before the deadline; the time after which the queue has drained.
    TooLate(Duration),
    /// No upstream of a service can be used.
    NoUpstream,
    /// Pieces failed more often than they are repeated.
    Failed,
}
