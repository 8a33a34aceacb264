//! Upstream losses, the evidence for them, and the rule by which a request is refused.

use std::time::Duration;

use base::id;
use base::time::Bounded;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use tokio::time::Instant;

use super::part::PartLoss;

/// A request is refused once this many different upstreams were lost while they ran it; ordinary
/// crashes rarely hit one request this often by chance.
const REFUSAL_THRESHOLD: usize = 3;

/// Evidence that an upstream was lost, ordered from weakest to strongest.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// A send ended without an answer; this alone does not confirm the loss.
    Unanswered,
    /// The upstream accepted no new connection.
    Unreachable,
    /// The upstream's registration ended.
    Deregistered,
}

impl Evidence {
    /// Evidence from a send that ended without an answer.
    pub(super) fn of_unanswered(is_unreachable: bool) -> Evidence {
        if is_unreachable {
            Evidence::Unreachable
        } else {
            Evidence::Unanswered
        }
    }
}

/// The loss of an upstream while it ran a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Fingerprint of the request.
    pub fingerprint: id::Fingerprint,
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Length of the request's chain of sequential losses that ends with this one.
    pub depth: u32,
    /// Strongest evidence so far.
    pub evidence: Evidence,
    /// Whether the send was a batched call, which may also carry pieces of other requests.
    pub is_batched: bool,
    /// Shared prompt parts of the request, unless its answer had proved sound.
    pub parts: Vec<PartLoss>,
    /// Time since the send.
    #[serde_as(as = "Bounded")]
    pub age: Duration,
}

/// Where an instance learned of a loss, or of an answer that clears losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// A send of its own.
    Own,
    /// Another instance, by gossip or announcement.
    Peer,
    /// A row of the store.
    Store,
}

/// Snapshot of the upstream registrations.
#[derive(Clone, Copy, Debug)]
pub struct Registry<'a> {
    /// The registered upstreams.
    pub view: &'a View,
    /// Since when the store has been watched without a gap; `None` while it is unavailable.
    pub watched_since: Option<Instant>,
    /// Maximum time from a crash until this instance sees the registration end.
    pub max_expiry_delay: Duration,
}

impl Registry<'_> {
    /// Whether the registration of an upstream that crashed at `at` would have been seen to end by
    /// now.
    pub(super) fn is_expiry_due(&self, at: Instant, now: Instant) -> bool {
        self.watched_since
            .is_some_and(|since| now > since.max(at) + self.max_expiry_delay)
    }
}

/// Losses of a request, on which the refusal is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossSummary {
    /// Number of losses, confirmed or not.
    pub losses: usize,
    /// Number of confirmed losses.
    pub confirmed: usize,
    /// Number of confirmed losses in batched calls: any request with a piece in such a call may have
    /// caused the crash.
    pub confirmed_batched: usize,
    /// Number of sequential losses: each send began after the previous loss was confirmed.
    pub depth: u32,
    /// Whether the request was answered successfully within the last minute.
    pub is_answered: bool,
    /// Whether the latest loss is so recent that a clearing answer at another instance may not have
    /// been gossiped here yet.
    pub is_fresh: bool,
}

impl LossSummary {
    /// Whether the request must not be sent again.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let depth = self.depth as usize;
        let crashes = if self.is_answered {
            depth
        } else {
            depth.max(self.confirmed - self.confirmed_batched)
        };
        crashes >= REFUSAL_THRESHOLD
    }
}
