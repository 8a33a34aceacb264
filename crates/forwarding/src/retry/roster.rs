//! The members among which the constant of a retry limit is divided.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::id;
use tokio::time::Instant;

use super::BudgetLimit;
use super::SHARED_FRACTION;

/// Windows for which an instance must have followed the members before it has a share, and for
/// which a member that has left still counts. More than one window: the share of its predecessor,
/// and those of members that left, may have been used until then.
const SETTLING_WINDOWS: f64 = 1.5;
/// Longest time without news of the members, in windows, for which an instance counts as following
/// them. Members cannot join, settle and leave unseen in less than [`SETTLING_WINDOWS`].
const NEWS_GAP_MAX_WINDOWS: f64 = 0.25;

/// What an instance knows of the members that divide a limit.
///
/// Any two instances that have a share within one window have known each other during all of it,
/// and an instance that knows more members has no larger share. The shares of a window therefore
/// never exceed the constant, whatever each instance knows.
#[derive(Debug)]
pub struct Roster {
    own: u64,
    /// Members by the hash of the name, and since when they have been gone.
    members: BTreeMap<u64, Option<Instant>>,
    is_listed: bool,
    complete_at: Option<Instant>,
    /// Since when this process has been listed and has followed the members.
    followed_since: Option<Instant>,
}

impl Roster {
    /// Creates the roster of a process that has read no members yet.
    #[must_use]
    pub fn new(instance: &id::Instance) -> Roster {
        Roster {
            own: order(instance),
            members: BTreeMap::new(),
            is_listed: false,
            complete_at: None,
            followed_since: None,
        }
    }

    /// Replaces the members. `is_listed` tells whether this process is one of them, rather than an
    /// earlier process of the instance.
    pub fn set_members<'a>(
        &mut self,
        names: impl IntoIterator<Item = &'a id::Instance>,
        is_listed: bool,
        now: Instant,
    ) {
        let listed: BTreeSet<u64> = names.into_iter().map(order).collect();
        for (member, gone_since) in &mut self.members {
            if listed.contains(member) {
                *gone_since = None;
            } else {
                gone_since.get_or_insert(now);
            }
        }
        for member in listed {
            self.members.entry(member).or_default();
        }
        self.is_listed = is_listed;
        if !is_listed {
            self.followed_since = None;
        }
    }

    /// Records that the members were known to be complete at `at`.
    pub fn confirm(&mut self, at: Instant, window: Duration) {
        let gap_max = window.mul_f64(NEWS_GAP_MAX_WINDOWS);
        let has_gap = self
            .complete_at
            .is_none_or(|it| at.saturating_duration_since(it) > gap_max);
        self.complete_at = self.complete_at.max(Some(at));
        if has_gap {
            self.followed_since = None;
        }
        if self.is_listed && self.followed_since.is_none() {
            self.followed_since = self.complete_at;
        }
        let settling_time = window.mul_f64(SETTLING_WINDOWS);
        self.members
            .retain(|_, it| it.is_none_or(|it| at.saturating_duration_since(it) < settling_time));
    }

    /// Retries of the constant that this instance may take in each window.
    #[must_use]
    pub fn share(&self, limit: &BudgetLimit, now: Instant) -> usize {
        let settling_time = limit.window.mul_f64(SETTLING_WINDOWS);
        let gap_max = limit.window.mul_f64(NEWS_GAP_MAX_WINDOWS);
        let age = |it: Instant| now.saturating_duration_since(it);
        let is_settled = self
            .followed_since
            .is_some_and(|it| age(it) >= settling_time);
        let is_fresh = self.complete_at.is_some_and(|it| age(it) <= gap_max);
        if !is_settled || !is_fresh {
            return 0;
        }
        let total = (limit.extra * SHARED_FRACTION) as usize;
        let rank = self.members.range(..self.own).count();
        total
            .saturating_sub(rank)
            .div_ceil(self.members.len().max(1))
    }

    /// Members that divide the limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len()
    }
}

/// Position of an instance in the order in which members get the remainder of the division.
fn order(instance: &id::Instance) -> u64 {
    hash::hash_strs([instance.as_str()])
}
