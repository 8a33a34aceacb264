//! Losses that an instance has recorded for one request.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::is_within;
use super::loss::Evidence;
use super::loss::Loss;
use super::loss::Source;
use super::part::PartLoss;

/// Time from the latest loss of a suspect until the suspect expires. Answers count as recent, and
/// upstreams as unreachable, for as long.
pub(super) const LOSS_TTL: Duration = Duration::from_secs(60);
/// Time from the latest refusal of a suspect until it expires, and from the latest loss of one that
/// is evidence against a prompt part.
pub(super) const REFUSED_TTL: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
pub(super) struct LossRecord {
    pub(super) depth: u32,
    pub(super) evidence: Evidence,
    pub(super) source: Source,
    pub(super) is_batched: bool,
    /// Shared prompt parts of the request, unless its answer had proved sound.
    pub(super) parts: Vec<PartLoss>,
    pub(super) sent_at: Instant,
    /// When this instance saw the loss or learned of it.
    pub(super) recorded_at: Instant,
    /// When the loss was confirmed.
    pub(super) confirmed_at: Option<Instant>,
    /// When the loss was recorded or its evidence last grew stronger.
    pub(super) changed_at: Instant,
    /// Whether the store has a row for the loss.
    pub(super) is_saved: bool,
    pub(super) is_announced: bool,
}

impl LossRecord {
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
            parts: self.parts.clone(),
            age: now.saturating_duration_since(self.sent_at),
        }
    }

    pub(super) fn has_part(&self, part: id::Fingerprint) -> bool {
        self.parts.iter().any(|it| it.part == part)
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.evidence > Evidence::Unanswered
    }

    /// Adopts the longer chains of `parts`; returns whether there were any. A part that is not
    /// suspected stays so.
    pub(super) fn raise_part_depths(&mut self, parts: &[PartLoss]) -> bool {
        let mut is_raised = false;
        for known in self.parts.iter_mut().filter(|it| it.depth > 0) {
            let other = parts.iter().find(|it| it.part == known.part);
            if let Some(other) = other.filter(|it| it.depth > known.depth) {
                known.depth = other.depth;
                is_raised = true;
            }
        }
        is_raised
    }
}

#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) losses: BTreeMap<id::Incarnation, LossRecord>,
    /// When the latest loss was recorded.
    pub(super) latest_at: Instant,
    /// When the request was last assessed as refused.
    pub(super) refused_at: Option<Instant>,
}

impl Suspect {
    pub(super) fn confirmed(&self) -> impl Iterator<Item = &LossRecord> {
        self.losses.values().filter(|it| it.is_confirmed())
    }

    /// Number of sequential losses, without those that an answer has cleared.
    pub(super) fn depth(&self) -> u32 {
        let deepest = self.confirmed().map(|it| it.depth).max().unwrap_or(0);
        deepest.min(self.confirmed().count() as u32)
    }

    /// The depth at the time when a send began.
    pub(super) fn depth_at(&self, sent_at: Instant) -> u32 {
        let before = self.losses.values();
        let before = before.filter(|it| it.confirmed_at.is_some_and(|at| at <= sent_at));
        before.map(|it| it.depth).max().unwrap_or(0)
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let is_recently_refused = self
            .refused_at
            .is_some_and(|it| is_within(it, REFUSED_TTL, now));
        !is_recently_refused && !is_within(self.latest_at, LOSS_TTL, now)
    }
}
