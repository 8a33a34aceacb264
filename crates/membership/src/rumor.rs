//! News other than membership that floods over the overlay: drains ahead of the table, and
//! crashes, from which the quarantine follows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use tokio::time::Instant;
use wire::member::Crash;
use wire::member::GossipEntry;
use wire::member::Restriction;

/// Crashes kept; the oldest are dropped beyond this.
const CRASHES_MAX: usize = 1024;
/// Time after which a crash is forgotten, and with it a quarantine.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Crashes under a request after which it is quarantined.
const CRASHES_BEFORE_QUARANTINE: usize = 2;

#[derive(Debug)]
struct CrashEntry {
    fingerprint: id::Fingerprint,
    is_cleared: bool,
    learnt: Instant,
}

/// Monotone sets; merging one twice changes nothing.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    pub(crate) restrictions: BTreeMap<id::Token, Restriction>,
    crashes: BTreeMap<id::Attempt, CrashEntry>,
    kept: BTreeSet<id::Token>,
}

impl Rumors {
    /// Merges a restriction; returns whether it is new.
    pub(crate) fn restrict(&mut self, restriction: &Restriction) -> bool {
        let token = restriction.token;
        if self.kept.contains(&token) || self.restrictions.contains_key(&token) {
            return false;
        }
        self.restrictions.insert(token, restriction.clone());
        true
    }

    /// Merges a crash; returns whether it told something new.
    pub(crate) fn crash(&mut self, crash: &Crash, now: Instant) -> bool {
        let Some(known) = self.crashes.get_mut(&crash.attempt) else {
            let entry = CrashEntry {
                fingerprint: crash.fingerprint,
                is_cleared: crash.is_cleared,
                learnt: now,
            };
            self.crashes.insert(crash.attempt, entry);
            self.bound_crashes();
            return true;
        };
        let is_new = crash.is_cleared && !known.is_cleared;
        known.is_cleared |= crash.is_cleared;
        is_new
    }

    fn bound_crashes(&mut self) {
        if self.crashes.len() <= CRASHES_MAX {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, it)| it.learnt);
        if let Some(attempt) = oldest.map(|(attempt, _)| *attempt) {
            self.crashes.remove(&attempt);
        }
    }

    /// Forgets crashes of long ago; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, it| now.duration_since(it.learnt) < CRASH_TTL);
        self.crashes.len() != before
    }

    /// Crashes under `fingerprint` since it last completed.
    pub(crate) fn crashes(&self, fingerprint: id::Fingerprint) -> Vec<Crash> {
        let entries = self.crashes.iter();
        entries
            .filter(|(_, it)| it.fingerprint == fingerprint && !it.is_cleared)
            .map(|(attempt, it)| it.crash(*attempt))
            .collect()
    }

    /// Whether `fingerprint` has crashed too many upstreams.
    pub(crate) fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.crashes(fingerprint).len() >= CRASHES_BEFORE_QUARANTINE
    }

    /// Every quarantined fingerprint.
    pub(crate) fn quarantine(&self) -> BTreeSet<id::Fingerprint> {
        let suspects = self.crashes.values().map(|it| it.fingerprint);
        suspects.filter(|it| self.is_quarantined(*it)).collect()
    }

    /// Drops restrictions that the configuration in force keeps, now and when they are heard again.
    pub(crate) fn settle(&mut self, kept: &[id::Token]) {
        self.kept = kept.iter().copied().collect();
        self.restrictions.retain(|token, _| !kept.contains(token));
    }

    /// Everything, for a neighbour that missed some of it.
    pub(crate) fn all(&self) -> impl Iterator<Item = GossipEntry> {
        let restrictions = self
            .restrictions
            .values()
            .cloned()
            .map(GossipEntry::Restriction);
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(attempt, it)| GossipEntry::Crash(it.crash(*attempt)));
        restrictions.chain(crashes)
    }

    /// Order-independent digest of the content.
    pub(crate) fn digest(&self) -> u64 {
        let mut digest = 0u64;
        for restriction in self.restrictions.values() {
            digest ^=
                base::hash::hash_bytes([&restriction.token.0.to_le_bytes()[..], b"restriction"]);
        }
        for (attempt, it) in &self.crashes {
            let cleared = [u8::from(it.is_cleared)];
            digest ^= base::hash::hash_bytes([&attempt.0.to_le_bytes()[..], &cleared[..]]);
        }
        digest
    }
}

impl CrashEntry {
    fn crash(&self, attempt: id::Attempt) -> Crash {
        Crash {
            fingerprint: self.fingerprint,
            attempt,
            is_cleared: self.is_cleared,
        }
    }
}
