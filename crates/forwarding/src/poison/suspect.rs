//! What an instance holds against one request.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::is_within;
use super::loss::Evidence;
use super::loss::Loss;
use super::loss::Source;

/// Losses are forgotten after this time.
pub(super) const MEMORY: Duration = Duration::from_secs(60);
/// A refused request is forgotten this long after it was last refused.
const REFUSED_MEMORY: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) depth: u32,
    pub(super) evidence: Evidence,
    pub(super) source: Source,
    pub(super) is_batched: bool,
    pub(super) sent: Instant,
    /// When it was seen, or heard of.
    pub(super) at: Instant,
    /// Since when it counts.
    pub(super) counted: Option<Instant>,
    /// When the evidence last grew.
    pub(super) changed: Instant,
    /// Whether the store has it.
    pub(super) is_saved: bool,
    pub(super) is_announced: bool,
}

impl Held {
    pub(super) fn loss(
        &self,
        fingerprint: id::Fingerprint,
        incarnation: &id::Incarnation,
        now: Instant,
    ) -> Loss {
        Loss {
            fingerprint,
            incarnation: incarnation.clone(),
            depth: self.depth,
            evidence: self.evidence,
            is_batched: self.is_batched,
            age: now.saturating_duration_since(self.sent),
        }
    }

    pub(super) fn counts(&self) -> bool {
        self.evidence > Evidence::Unanswered
    }
}

#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) losses: BTreeMap<id::Incarnation, Held>,
    pub(super) latest: Instant,
    /// Since it was last found to be refused.
    pub(super) refused: Option<Instant>,
}

impl Suspect {
    pub(super) fn counted(&self) -> impl Iterator<Item = &Held> {
        self.losses.values().filter(|it| it.counts())
    }

    /// Losses that came one after the other; those that an answer has cleared are none.
    pub(super) fn depth(&self) -> u32 {
        let deepest = self.counted().map(|it| it.depth).max().unwrap_or(0);
        deepest.min(self.counted().count() as u32)
    }

    /// What the depth was when a send began.
    pub(super) fn depth_at(&self, sent: Instant) -> u32 {
        let before = self.losses.values();
        let before = before.filter(|it| it.counted.is_some_and(|counted| counted <= sent));
        before.map(|it| it.depth).max().unwrap_or(0)
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        let is_refused = self
            .refused
            .is_some_and(|it| is_within(it, REFUSED_MEMORY, now));
        !is_refused && !is_within(self.latest, MEMORY, now)
    }
}
