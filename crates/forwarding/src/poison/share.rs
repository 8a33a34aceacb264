//! What an instance publishes about suspected requests: gossip to other instances, rows in the
//! store.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::Quarantine;
use super::Success;
use super::is_within;
use super::loss::Loss;
use super::loss::Source;
use super::suspect::LossRecord;

/// Changes no older than this are gossiped; longer than the time between two polls of any instance
/// that reads from this one.
pub(super) const GOSSIP_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of losses, and of cleared requests, in one gossip message.
const GOSSIP_ENTRIES_MAX: usize = 128;
/// Minimum number of losses of one request for the weaker ones to be published too: unconfirmed
/// ones are gossiped, and those of batched calls are written to the store.
const REPEATED_LOSSES_MIN: usize = 2;

/// Rows of the store that are no longer needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObsoleteRows {
    /// Rows of this instance's own losses, and of requests that it cleared.
    pub own: Vec<(id::Fingerprint, id::Incarnation)>,
    /// Rows written by other instances, whose writers may no longer be running.
    pub others: Vec<(id::Fingerprint, id::Incarnation)>,
}

impl Quarantine {
    /// Recently changed losses for gossip, those of the requests with the most losses first.
    #[must_use]
    pub fn recent_losses(&self, now: Instant) -> Vec<Loss> {
        let mut recent: Vec<(usize, Instant, Loss)> = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let count = suspect.losses.len();
            for (incarnation, record) in &suspect.losses {
                if is_within(record.changed_at, GOSSIP_WINDOW, now)
                    && (record.is_confirmed() || count >= REPEATED_LOSSES_MIN)
                {
                    recent.push((
                        count,
                        record.changed_at,
                        record.loss(*fingerprint, incarnation, now),
                    ));
                }
            }
        }
        recent.sort_by_key(|it| std::cmp::Reverse((it.0, it.1)));
        let losses = recent.into_iter().map(|it| it.2);
        losses.take(GOSSIP_ENTRIES_MAX).collect()
    }

    /// Recently cleared requests, which other instances may still suspect, and the ages of their
    /// answers.
    #[must_use]
    pub fn recently_cleared(&self, now: Instant) -> Vec<(id::Fingerprint, Duration)> {
        let is_recent = |it: &Success| {
            it.cleared_at
                .is_some_and(|cleared_at| is_within(cleared_at, GOSSIP_WINDOW, now))
        };
        let cleared = self.successes.iter().filter(|(_, it)| is_recent(it));
        cleared
            .map(|(fingerprint, it)| (*fingerprint, now.saturating_duration_since(it.latest_at)))
            .take(GOSSIP_ENTRIES_MAX)
            .collect()
    }

    /// Whether there may be losses to announce, or store rows to write or delete.
    #[must_use]
    pub fn has_pending_updates(&self) -> bool {
        self.has_pending_updates
    }

    /// Takes the instance's own confirmed losses that were not announced to other instances yet.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<Loss> {
        self.has_pending_updates = false;
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            for (incarnation, record) in &mut suspect.losses {
                if record.source == Source::Own && record.is_confirmed() && !record.is_announced {
                    record.is_announced = true;
                    losses.push(record.loss(*fingerprint, incarnation, now));
                }
            }
        }
        losses
    }

    /// The instance's own confirmed losses that are to be written to the store.
    #[must_use]
    pub fn unsaved_losses(&self, now: Instant) -> Vec<Loss> {
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let is_repeated = suspect.confirmed().count() >= REPEATED_LOSSES_MIN;
            let unsaved = suspect.losses.iter().filter(|(_, it)| !it.is_saved);
            let unsaved = unsaved.filter(|(_, it)| it.source == Source::Own && it.is_confirmed());
            let unsaved = unsaved.filter(|(_, it)| is_repeated || !it.is_batched);
            losses.extend(unsaved.map(|(incarnation, it)| it.loss(*fingerprint, incarnation, now)));
        }
        // An instance that starts knows of no sound run, and must not blame what all requests share.
        for loss in &mut losses {
            let sound = loss.parts.iter_mut();
            for part in sound.filter(|it| self.was_sound_lately(it.part, now)) {
                part.depth = 0;
            }
        }
        losses
    }

    /// Marks losses as written to the store.
    pub fn mark_saved(&mut self, losses: &[Loss]) {
        for loss in losses {
            let suspect = self.suspects.get_mut(&loss.fingerprint);
            if let Some(record) = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation)) {
                record.is_saved = true;
            }
        }
    }

    /// Takes the rows that are to be deleted from the store.
    pub fn take_obsolete_rows(&mut self) -> ObsoleteRows {
        std::mem::take(&mut self.obsolete)
    }
}

impl ObsoleteRows {
    pub(super) fn add_if_saved(
        &mut self,
        fingerprint: id::Fingerprint,
        incarnation: &id::Incarnation,
        record: &LossRecord,
    ) {
        if !record.is_saved {
            return;
        }
        let row = (fingerprint, incarnation.clone());
        match record.source {
            Source::Own => self.own.push(row),
            Source::Peer | Source::Store => self.others.push(row),
        }
    }
}
