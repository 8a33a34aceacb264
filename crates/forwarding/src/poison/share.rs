//! What an instance tells of its suspicions: to other instances, and to the store.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::Answered;
use super::Quarantine;
use super::is_within;
use super::loss::Loss;
use super::loss::Source;
use super::suspect::Held;

/// News this recent is passed on; longer than it takes every instance to ask once.
pub(super) const RECENT: Duration = Duration::from_secs(2);
/// Losses, and cleared requests, that one message passes on.
const RECENT_MAX: usize = 128;
/// Losses of one request from which on weak ones are told as well: those that do not count, and those
/// of calls that held pieces of many other requests.
const REPEATED_MIN: usize = 2;

/// Rows of the store that are not needed any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObsoleteRows {
    /// Of this instance's own losses, and of requests that it cleared.
    pub own: Vec<(id::Fingerprint, id::Incarnation)>,
    /// Of others, which may be gone.
    pub others: Vec<(id::Fingerprint, id::Incarnation)>,
}

impl Quarantine {
    /// Losses that other instances may not have heard of, those of the most suspected requests
    /// first.
    #[must_use]
    pub fn recent_losses(&self, now: Instant) -> Vec<Loss> {
        let mut recent: Vec<(usize, Instant, Loss)> = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let count = suspect.losses.len();
            for (incarnation, held) in &suspect.losses {
                if is_within(held.changed, RECENT, now) && (held.counts() || count >= REPEATED_MIN)
                {
                    recent.push((
                        count,
                        held.changed,
                        held.loss(*fingerprint, incarnation, now),
                    ));
                }
            }
        }
        recent.sort_by_key(|it| std::cmp::Reverse((it.0, it.1)));
        let losses = recent.into_iter().map(|it| it.2);
        losses.take(RECENT_MAX).collect()
    }

    /// Cleared requests that other instances may still suspect, and the time since their answers.
    #[must_use]
    pub fn recently_cleared(&self, now: Instant) -> Vec<(id::Fingerprint, Duration)> {
        let is_recent = |it: &Answered| {
            it.cleared
                .is_some_and(|cleared| is_within(cleared, RECENT, now))
        };
        let cleared = self.answered.iter().filter(|(_, it)| is_recent(it));
        cleared
            .map(|(fingerprint, it)| (*fingerprint, now.saturating_duration_since(it.latest)))
            .take(RECENT_MAX)
            .collect()
    }

    /// Whether there may be something to announce, to save or to delete.
    #[must_use]
    pub fn has_pending_updates(&self) -> bool {
        self.has_pending_updates
    }

    /// Own losses that count and that no other instance was told of yet.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<Loss> {
        self.has_pending_updates = false;
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            for (incarnation, held) in &mut suspect.losses {
                if held.source == Source::Own && held.counts() && !held.is_announced {
                    held.is_announced = true;
                    losses.push(held.loss(*fingerprint, incarnation, now));
                }
            }
        }
        losses
    }

    /// Own losses that count and that the store should keep.
    #[must_use]
    pub fn unsaved_losses(&self, now: Instant) -> Vec<Loss> {
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let is_repeated = suspect.counted().count() >= REPEATED_MIN;
            let unsaved = suspect.losses.iter().filter(|(_, it)| !it.is_saved);
            let unsaved = unsaved.filter(|(_, it)| it.source == Source::Own && it.counts());
            let unsaved = unsaved.filter(|(_, it)| is_repeated || !it.is_batched);
            losses.extend(unsaved.map(|(name, it)| it.loss(*fingerprint, name, now)));
        }
        losses
    }

    /// Notes that the store has these losses.
    pub fn mark_saved(&mut self, losses: &[Loss]) {
        for loss in losses {
            let suspect = self.suspects.get_mut(&loss.fingerprint);
            if let Some(held) = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation)) {
                held.is_saved = true;
            }
        }
    }

    /// Rows of the store that are not needed any more.
    pub fn take_obsolete_rows(&mut self) -> ObsoleteRows {
        std::mem::take(&mut self.obsolete)
    }
}

impl ObsoleteRows {
    pub(super) fn note(
        &mut self,
        fingerprint: id::Fingerprint,
        incarnation: &id::Incarnation,
        held: &Held,
    ) {
        if !held.is_saved {
            return;
        }
        let row = (fingerprint, incarnation.clone());
        match held.source {
            Source::Own => self.own.push(row),
            Source::Peer | Source::Store => self.others.push(row),
        }
    }
}
