//! Losses of upstreams, and what they amount to.

use std::time::Duration;

use base::id;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Different upstreams that must have been lost; ordinary crashes hit one request this often only
/// by rare chance.
const CRASHES_MAX: usize = 3;

/// What tells that an upstream was lost, the weakest first.
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
    /// A send had no answer.
    Unanswered,
    /// Nor was there a connection afterwards.
    Unreachable,
    /// Its registration ended.
    Deregistered,
}

impl Evidence {
    /// Evidence of a send that ended without an answer.
    pub(super) fn of(is_unreachable: bool) -> Evidence {
        if is_unreachable {
            Evidence::Unreachable
        } else {
            Evidence::Unanswered
        }
    }
}

/// The loss of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The request.
    pub fingerprint: id::Fingerprint,
    /// The upstream.
    pub incarnation: id::Incarnation,
    /// Losses of the request that came one after the other, up to this one.
    pub depth: u32,
    /// What tells of it.
    pub evidence: Evidence,
    /// Whether the upstream ran pieces of other requests in the same call.
    pub is_batched: bool,
    /// Time since the send.
    pub age: Duration,
}

/// Where a loss was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// A send of this instance.
    Own,
    /// Another instance.
    Peer,
    /// A row of the store.
    Store,
}

/// Registrations of upstreams, as of one moment.
#[derive(Clone, Copy, Debug)]
pub struct Registry<'a> {
    /// The registrations.
    pub view: &'a View,
    /// Since when they are followed without a gap; `None` while the store is away.
    pub watched_since: Option<Instant>,
    /// Longest time from a crash until its registration is known to have ended.
    pub max_expiry_delay: Duration,
}

impl Registry<'_> {
    /// Whether an upstream that crashed at `at` would be known to be gone by now.
    pub(super) fn would_show(&self, at: Instant, now: Instant) -> bool {
        self.watched_since
            .is_some_and(|since| now > since.max(at) + self.max_expiry_delay)
    }
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossSummary {
    /// Losses.
    pub losses: usize,
    /// Losses that count.
    pub confirmed: usize,
    /// Those among them of calls that held pieces of other requests, any of which may be the cause.
    pub confirmed_batched: usize,
    /// Losses that came one after the other.
    pub depth: u32,
    /// Whether the request was answered lately.
    pub is_answered: bool,
    /// Whether another instance may have an answer that clears it, and had no time to tell.
    pub is_fresh: bool,
}

impl LossSummary {
    /// Whether the request must not be sent any more.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let depth = self.depth as usize;
        let crashes = if self.is_answered {
            depth
        } else {
            depth.max(self.confirmed - self.confirmed_batched)
        };
        crashes >= CRASHES_MAX
    }
}
