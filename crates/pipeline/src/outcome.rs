//! What a caller learns of its request.

use std::time::Duration;

use base::Executed;
use serde_json::Value;

use crate::life::NotRun;

/// Final outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer.
    Answered(Answer),
    /// Refused; nothing was sent to any upstream.
    NotRun(NotRun),
    /// Something may have run.
    Failed(Failure),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Result of the last stage.
    pub result: Value,
    /// Whether a non-idempotent stage's answer came from its record.
    pub is_replayed: bool,
}

/// A failure after something may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub reason: FailureReason,
    /// Whether the request ran.
    pub executed: Executed,
    /// When asking again, or asking for the outcome, makes sense.
    pub retry_after: Duration,
}

/// Why a request was refused before anything was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// No configuration or members known yet.
    NotReady,
    /// The process is stopping.
    Stopping,
    /// No such pipeline.
    UnknownPipeline,
    /// No such workspace.
    UnknownWorkspace,
    /// The pipeline has a non-idempotent stage and the request has no key.
    MissingKey,
    /// The key was used with another body.
    KeyReused,
    /// The workspace's rate is exceeded.
    RateLimited,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The upstreams are overloaded.
    Overloaded,
    /// No upstream of a service can be reached.
    NoUpstream,
    /// The request has crashed upstreams.
    Quarantined,
    /// The table does not answer, and the request needs a claim.
    StoreDown,
}

/// Why a request failed after something may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum FailureReason {
    /// The deadline passed.
    Deadline,
    /// A non-idempotent stage may have run, and its answer is not known.
    OutcomeUnknown,
    /// A stage failed and its retries are used up.
    StageFailed,
    /// A later stage was refused after an earlier one had run.
    StageRefused(NotRunReason),
}

/// What is recorded under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RecordedOutcome {
    /// Nothing was claimed.
    NotRun,
    /// An attempt is running.
    Running,
    /// The recorded answer.
    Answered(String),
    /// An attempt may have run.
    Unknown,
}
