//! Which instances read the store although the tree does not make them readers.
//!
//! A reader that the store turns away keeps its role, as the others still reach it and cannot tell.
//! Those who follow it notice that their rows are no longer fresh. Whoever then reads the store
//! itself goes on to do so: it stands in for the readers, so that the next change need not wait until
//! rows are old again. Instances tell each other who reads the store; one resigns once enough of those
//! ahead of it in the order do.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::tree;

/// Time for which an instance counts as a reader after a response of the store: longer than a feed
/// without changes and the way through the tree take, so that an instance whose rows are outdated by a
/// stall of its own knows the readers still.
const READER_TIME: Duration = Duration::from_millis(2_500);
/// Time after a response of the store for which an instance is worth asking.
const SOURCE_TIME: Duration = Duration::from_millis(1_500);
/// Number of readers that are told to others at most, the latest ones.
const TOLD_MAX: usize = 8;

/// The duty of one instance, and the readers that it knows.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    is_active: bool,
    /// When each instance got its latest known response from the store.
    readers: BTreeMap<id::Instance, Instant>,
}

impl Duty {
    /// Records that the store answered an instance.
    pub fn record_reader(&mut self, instance: id::Instance, at: Instant, now: Instant) {
        self.readers.retain(|_, it| is_recent(*it, now));
        if is_recent(at, now) {
            let known = self.readers.entry(instance).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// The readers to tell others of.
    #[must_use]
    pub fn readers(&self, now: Instant) -> Vec<(id::Instance, Instant)> {
        let recent = self.readers.iter().filter(|it| is_recent(*it.1, now));
        let mut recent: Vec<_> = recent.map(|(name, at)| (name.clone(), *at)).collect();
        recent.sort_by_key(|it| std::cmp::Reverse(it.1));
        recent.truncate(TOLD_MAX);
        recent
    }

    /// The readers that are worth asking: the store has answered them lately and, for an instance whose
    /// rows are outdated, after `outdated_since`, when these were last known to be complete.
    #[must_use]
    pub fn sources(&self, outdated_since: Option<Instant>, now: Instant) -> Vec<id::Instance> {
        let recent = self.readers(now).into_iter();
        let recent = recent.filter(|it| now.saturating_duration_since(it.1) < SOURCE_TIME);
        let useful = recent.filter(|it| outdated_since.is_none_or(|since| it.1 > since));
        useful.map(|it| it.0).collect()
    }

    /// Stands in for the readers: the store has answered this instance, whose rows were outdated.
    pub fn begin(&mut self) {
        self.is_active = true;
    }

    /// Ceases to: the store does not answer this instance.
    pub fn end(&mut self) {
        self.is_active = false;
    }

    /// Whether it has begun to stand in, and may do so still.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.is_active
    }

    /// Whether `own` stands in for the readers; `order` lists all instances that are not lost.
    pub fn is_active(&mut self, order: &[id::Instance], own: &id::Instance, now: Instant) -> bool {
        if self.is_active {
            let ahead = order.iter().take_while(|it| *it != own);
            let read_at = ahead.filter_map(|it| self.readers.get(it));
            let readers = read_at.filter(|it| is_recent(**it, now));
            self.is_active = readers.count() < tree::reader_count(order.len());
        }
        self.is_active
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < READER_TIME
}
