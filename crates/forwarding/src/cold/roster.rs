//! The members among which cold limits are divided.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::id;
use tokio::time::Instant;

use super::JITTER_MAX;
use super::RateLimit;
use super::Share;
use super::WINDOW;

/// How long changes of the members matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Time until all members know of one that has joined.
    pub propagation: Duration,
    /// Time for which a member still sends after it has left.
    pub stop_grace: Duration,
}

/// Whose row the members' table has under the name of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// None.
    Absent,
    /// That of an earlier process.
    Earlier,
    /// That of this process.
    Own,
}

/// What an instance knows of the members that divide the cold limits.
///
/// Members that stop count until they can no longer have sent, and a process sends only when those
/// before it under its name no longer count in the same second and all others know of it. Instances
/// that hear nothing of the others keep their share, since they cannot tell whether any joined.
#[derive(Debug)]
pub struct Roster {
    own: u64,
    delays: Delays,
    /// Before this, an earlier process of the instance may have sent.
    sends_from: Instant,
    /// When all others know of this process; `None` if it is not listed yet.
    known_from: Option<Instant>,
    /// Members by the hash of the name, and since when they have been gone.
    members: BTreeMap<u64, Option<Instant>>,
}

impl Roster {
    /// Creates the roster of a process that has started at `now` and has read no members yet.
    #[must_use]
    pub fn new(instance: &id::Instance, delays: Delays, now: Instant) -> Roster {
        Roster {
            own: order(instance),
            delays,
            sends_from: super::sends_from(now),
            known_from: None,
            members: BTreeMap::new(),
        }
    }

    /// Replaces the delays.
    pub fn set_delays(&mut self, delays: Delays) {
        self.delays = delays;
    }

    /// Replaces the members. `own` tells whose row is listed under the name of this instance.
    pub fn set_members<'a>(
        &mut self,
        names: impl IntoIterator<Item = &'a id::Instance>,
        own: Listing,
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
        self.members.extend(listed.into_iter().map(|it| (it, None)));
        let delays = self.delays;
        self.members.retain(|_, it| delays.is_counted(*it, now));
        let unknown_for = match own {
            Listing::Absent => return,
            // The others know the name.
            Listing::Earlier => Duration::ZERO,
            Listing::Own => delays.propagation + WINDOW + JITTER_MAX,
        };
        self.known_from.get_or_insert(now + unknown_for);
    }

    /// Whether all others know of this process, so that it has a share.
    #[must_use]
    pub fn is_known(&self, now: Instant) -> bool {
        self.known_from.is_some_and(|it| it <= now)
    }

    /// Members that divide the limits.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        let others = self.counted(now).filter(|it| *it != self.own);
        others.count() + 1
    }

    /// Share of this instance; `None` if there are more members than requests per second, so that
    /// owners keep the limit.
    #[must_use]
    pub fn share(&self, limit: RateLimit, now: Instant) -> Option<Share> {
        let rank = self.counted(now).filter(|it| *it < self.own).count();
        let share = limit.per_member(self.count(now), rank)?;
        match self.may_send(now) && self.is_known(now) {
            true => Some(share),
            false => Some(Share::NONE),
        }
    }

    /// When no earlier process of the instance can have sent within the same second.
    #[must_use]
    pub fn sends_from(&self) -> Instant {
        self.sends_from
    }

    /// Whether that time has come.
    #[must_use]
    pub fn may_send(&self, now: Instant) -> bool {
        self.sends_from <= now
    }

    fn counted(&self, now: Instant) -> impl Iterator<Item = u64> {
        let members = self.members.iter();
        let counted = members.filter(move |it| self.delays.is_counted(*it.1, now));
        counted.map(|it| *it.0)
    }
}

impl Delays {
    /// Whether a member that has been gone since then may still have sent within the last second.
    fn is_counted(self, gone_since: Option<Instant>, now: Instant) -> bool {
        let linger = self.stop_grace + WINDOW + JITTER_MAX;
        gone_since.is_none_or(|it| now.saturating_duration_since(it) < linger)
    }
}

/// Position of an instance in the order in which members get the remainder of the division.
fn order(instance: &id::Instance) -> u64 {
    hash::hash_strs([instance.as_str()])
}
