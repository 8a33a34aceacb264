//! Messages of the data path.

use std::time::Duration;

use base::Executed;
use base::id;
use config::model::Priority;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Time after its deadline for which a non-idempotent attempt is waited for, so that its late answer
/// can be recorded.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_secs(10);

/// One stage attempt.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Joins the events of the request.
    pub trace: id::Trace,
    /// Identifies the attempt; the upstream echoes it.
    pub attempt: id::Attempt,
    /// Fingerprint of the request, for crash suspicion.
    pub fingerprint: id::Fingerprint,
    /// Workspace that asks.
    pub workspace: id::Workspace,
    /// Upstream to run at.
    pub upstream: id::Upstream,
    /// Priority class.
    pub priority: Priority,
    /// Time left until the stage's deadline when the message was sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub budget: Duration,
    /// Crashes under earlier attempts of the request that the sender has seen.
    pub crashes: u32,
    /// Configuration version that the sender has in force.
    pub config_version: u64,
    /// Whether a sent attempt runs on for [`LATE_ANSWER_GRACE`] after its deadline, and although the sender
    /// goes away.
    pub is_detached: bool,
    /// Work for the upstream.
    pub body: Body,
}

/// What the upstream is asked to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// JSON for a plain service.
    Plain(String),
    /// Generation by a model engine.
    Generate {
        /// The prompt.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Tokens that the caller already has; generation goes on after them.
        resume: Vec<String>,
    },
}

/// Progress of a dispatch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// Refused; nothing was sent to the upstream.
    Refused(Refusal),
    /// The attempt is about to be sent to the upstream.
    Sent,
    /// One token, or a piece of a plain answer.
    Part(String),
    /// The whole answer has been delivered.
    Finished {
        /// Attempt id that the upstream echoed.
        attempt: id::Attempt,
        /// Load of the upstream.
        load: Load,
    },
    /// The attempt was sent and broke.
    Broken {
        /// Why.
        cause: Cause,
        /// Whether it ran.
        executed: Executed,
        /// Load of the upstream.
        load: Load,
    },
}

/// An owner's refusal. Nothing was sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
    /// Load of the upstream, when the refuser owns it.
    pub load: Option<Load>,
}

/// Why an owner refuses.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The receiver does not own the upstream.
    NotOwner,
    /// The receiver's fence has passed: it may have been replaced.
    Fenced,
    /// The upstream or its zone is drained.
    Drained,
    /// The upstream is not in the configuration.
    UnknownUpstream,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The deadline passed in the queue.
    Expired,
    /// The fingerprint is quarantined.
    Quarantined,
    /// The receiver is stopping.
    Stopping,
    /// The receiver has no configuration yet.
    NotReady,
    /// The upstream refused the connection, so nothing was sent.
    Unreachable,
    /// Calls of a previous owner may still fill the upstream.
    TakingOver,
}

/// Why a sent attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection broke before the whole answer.
    Connection,
    /// The connection broke, and the upstream is down.
    Crashed,
    /// The upstream answered with an error status.
    Status,
    /// The upstream is overloaded.
    Overloaded,
    /// The answer names another attempt.
    CrossedAnswer,
    /// The answer does not follow the protocol.
    Protocol,
    /// The deadline passed.
    Deadline,
    /// The owning dispatcher was lost.
    OwnerLost,
}

/// Load of an upstream as its owner knows it; rides on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in flight, with those that a previous owner may have left.
    pub in_flight: u32,
    /// Calls queued.
    pub queued: u32,
    /// Limit of calls in flight.
    pub limit: u32,
}

/// Ownership of an upstream passes to another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The previous owner.
    pub from: id::Instance,
    /// Incarnation of the previous owner.
    pub incarnation: u64,
    /// Calls that the previous owner still has in flight.
    pub in_flight: u32,
    /// Limit at the time of the handover.
    pub limit: u32,
    /// Whether the upstream was warm.
    pub is_warm: bool,
    /// Whether the sender owned the upstream until this handover, so that its count is complete.
    pub is_last_owner: bool,
}
