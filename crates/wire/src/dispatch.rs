//! Messages of the data path: stage attempts and ownership handovers.

use std::time::Duration;

use base::Executed;
use base::id;
use config::model::Priority;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Time for which a non-idempotent attempt may run on after its deadline, so that a late answer can
/// be recorded.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_secs(10);

/// One attempt to run a stage at an upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Trace id of the request.
    pub trace: id::Trace,
    /// Attempt id, which the upstream echoes in its answer.
    pub attempt: id::Attempt,
    /// Fingerprint of the request, by which requests that crash upstreams are recognised.
    pub fingerprint: id::Fingerprint,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Upstream that runs the attempt.
    pub upstream: id::Upstream,
    /// Priority class.
    pub priority: Priority,
    /// Time from the send of this message to the deadline of the stage.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub budget: Duration,
    /// Number of earlier attempts of the request, known to the sender, during which an upstream
    /// crashed.
    pub crashes: u32,
    /// Configuration version that the sender has in force.
    pub config_version: u64,
    /// Whether a sent attempt runs on when the sender disconnects, and for [`LATE_ANSWER_GRACE`]
    /// after its deadline.
    pub is_detached: bool,
    /// Input of the upstream.
    pub body: Body,
}

/// Input of an upstream, by the kind of its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// JSON body for a plain service.
    Plain(String),
    /// Token generation by a model engine.
    Generate {
        /// Prompt text.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Tokens that the caller already has; generation continues after them.
        resume: Vec<String>,
    },
}

/// Reply to a dispatch. `Refused`, `Finished` or `Broken` is the last one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// Refused; nothing was sent to the upstream.
    Refused(Refusal),
    /// The attempt left the queue and is about to be sent to the upstream.
    Sent,
    /// One generated token, or a piece of a plain answer.
    Part(String),
    /// The answer is complete.
    Finished {
        /// Attempt id that the upstream echoed.
        attempt: id::Attempt,
        /// Load of the upstream.
        load: Load,
    },
    /// The attempt was sent, and failed before its answer was complete.
    Broken {
        /// Why it failed.
        cause: Cause,
        /// Whether the upstream may have run it.
        executed: Executed,
        /// Load of the upstream.
        load: Load,
    },
}

/// Refusal of an attempt by the receiver; nothing was sent to the upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the attempt was refused.
    pub reason: Reason,
    /// Time after which the sender may try again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
    /// Load of the upstream, if the receiver knows it.
    pub load: Option<Load>,
}

/// Why a dispatcher refuses an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The receiver does not own the upstream.
    NotOwner,
    /// The fencing lease of the receiver has expired: another member may own the upstream by now.
    Fenced,
    /// The upstream or its zone is drained.
    Drained,
    /// The upstream is not in the configuration.
    UnknownUpstream,
    /// The queue of the upstream is full.
    QueueFull,
    /// The attempt is not expected to end before its deadline.
    DeadlineTooShort,
    /// The deadline passed while the attempt was queued.
    Expired,
    /// The fingerprint is quarantined: the request is suspected of crashing upstreams.
    Quarantined,
    /// The receiver is shutting down.
    Stopping,
    /// The receiver has no configuration yet, or knows that a newer one exists.
    NotReady,
    /// The upstream refused the connection, so nothing was sent.
    Unreachable,
    /// Calls of a previous owner may still use the in-flight limit of the upstream.
    TakingOver,
}

/// Why a sent attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection broke before the answer was complete.
    Connection,
    /// The connection broke, and the upstream has crashed.
    Crashed,
    /// The upstream answered with an error status.
    Status,
    /// The upstream is overloaded.
    Overloaded,
    /// The answer carries the id of another attempt.
    CrossedAnswer,
    /// The answer violates the protocol.
    Protocol,
    /// The deadline passed before the answer was complete.
    Deadline,
    /// The connection to the owning dispatcher was lost.
    OwnerLost,
}

/// Load of an upstream as its owner knows it; sent with every outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in flight, including those of a previous owner that may still run.
    pub in_flight: u32,
    /// Calls queued.
    pub queued: u32,
    /// Maximum number of calls in flight.
    pub limit: u32,
}

/// Tells the new owner of an upstream what the previous owner still has in flight there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The previous owner.
    pub from: id::Instance,
    /// Incarnation of the previous owner.
    pub incarnation: u64,
    /// Calls of the previous owner, and of owners before it, that may still be in flight.
    pub in_flight: u32,
    /// In-flight limit at the time of the handover.
    pub limit: u32,
    /// Whether the upstream was warm at that time.
    pub is_warm: bool,
    /// Whether the sender owned the upstream until this handover, so that its count is complete.
    pub is_last_owner: bool,
}
