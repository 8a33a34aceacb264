//! Outcomes of requests as reported to callers.

use std::time::Duration;

use base::Executed;
use serde_json::Value;

use crate::lifecycle::NotRun;

/// Final outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The pipeline completed.
    Answered(Answer),
    /// Refused; nothing was sent to any upstream.
    NotRun(NotRun),
    /// The request failed, and a stage may have been executed.
    Failed(Failure),
}

/// Answer of a completed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Result of the last stage.
    pub result: Value,
    /// Whether the answer of a non-idempotent stage comes from the record of an earlier request.
    pub is_replayed: bool,
}

/// Failure of a request of which an attempt was sent, or may have been.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub reason: FailureReason,
    /// Whether the non-idempotent stages were executed, as far as is known.
    pub executed: Executed,
    /// Time after which a retry or a query of the outcome makes sense.
    pub retry_after: Duration,
}

/// Why a request was refused before anything was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// The gateway knows no configuration or no members yet.
    NotReady,
    /// The gateway is stopping.
    Stopping,
    /// The configuration has no such pipeline.
    UnknownPipeline,
    /// The configuration has no such workspace.
    UnknownWorkspace,
    /// The pipeline has a non-idempotent stage and the request has no key.
    MissingKey,
    /// The idempotency key was used before with another input.
    KeyReused,
    /// The workspace's rate limit is exceeded.
    RateLimited,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The queues of the upstreams are full.
    Overloaded,
    /// No upstream of a service is available.
    NoUpstream,
    /// The request is quarantined because it has crashed upstreams.
    Quarantined,
    /// A non-idempotent stage could not be claimed: the store does not answer, or the claim row is
    /// malformed.
    StoreDown,
}

/// Why a request failed after an attempt was sent, or may have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum FailureReason {
    /// The deadline passed.
    Deadline,
    /// A non-idempotent stage may have been executed, and its answer is not known.
    OutcomeUnknown,
    /// A stage failed and may not be retried.
    StageFailed,
    /// A stage was refused after another attempt of the request may have been executed.
    StageRefused(NotRunReason),
}

/// Outcome that is recorded under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RecordedOutcome {
    /// No stage was claimed.
    NotRun,
    /// A running gateway holds the claim of a stage.
    Running,
    /// A stage has completed with this answer.
    Answered(String),
    /// A stage may have been executed, and its answer is not known.
    Unknown,
}
