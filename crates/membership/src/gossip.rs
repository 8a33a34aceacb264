//! Gossiped state other than the members: restrictions that the configuration does not include yet,
//! and upstream crashes, from which the quarantine is derived.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use tokio::time::Instant;
use wire::member::Crash;
use wire::member::GossipEntry;
use wire::member::Restriction;

/// Maximum number of crashes kept; beyond it, the oldest is evicted.
const CRASHES_MAX: usize = 1024;
/// Time after which a crash is dropped, and with it a quarantine that depends on it.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Number of upstream crashes while a request was running after which it is quarantined.
const CRASHES_BEFORE_QUARANTINE: usize = 2;

#[derive(Debug)]
struct CrashEntry {
    fingerprint: id::Fingerprint,
    is_cleared: bool,
    learnt_at: Instant,
}

/// Restrictions and crashes as grow-only sets; merging an entry is idempotent.
#[derive(Debug, Default)]
pub(crate) struct GossipState {
    pub(crate) restrictions: BTreeMap<id::Token, Restriction>,
    crashes: BTreeMap<id::Attempt, CrashEntry>,
    /// Tokens of the restrictions that the configuration in force includes.
    configured: BTreeSet<id::Token>,
}

impl GossipState {
    /// Merges a restriction; returns whether it is new.
    pub(crate) fn merge_restriction(&mut self, restriction: &Restriction) -> bool {
        let token = restriction.token;
        if self.configured.contains(&token) || self.restrictions.contains_key(&token) {
            return false;
        }
        self.restrictions.insert(token, restriction.clone());
        true
    }

    /// Merges a crash; returns whether it changed anything.
    pub(crate) fn merge_crash(&mut self, crash: &Crash, now: Instant) -> bool {
        let Some(known) = self.crashes.get_mut(&crash.attempt) else {
            let entry = CrashEntry {
                fingerprint: crash.fingerprint,
                is_cleared: crash.is_cleared,
                learnt_at: now,
            };
            self.crashes.insert(crash.attempt, entry);
            self.evict_oldest_crash();
            return true;
        };
        let is_new = crash.is_cleared && !known.is_cleared;
        known.is_cleared |= crash.is_cleared;
        is_new
    }

    fn evict_oldest_crash(&mut self) {
        if self.crashes.len() <= CRASHES_MAX {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, it)| it.learnt_at);
        if let Some(attempt) = oldest.map(|(attempt, _)| *attempt) {
            self.crashes.remove(&attempt);
        }
    }

    /// Drops crashes older than [`CRASH_TTL`]; returns whether there were any.
    pub(crate) fn expire_crashes(&mut self, now: Instant) -> bool {
        let previous_len = self.crashes.len();
        self.crashes
            .retain(|_, it| now.duration_since(it.learnt_at) < CRASH_TTL);
        self.crashes.len() != previous_len
    }

    /// Crashes recorded against `fingerprint` since it last completed.
    pub(crate) fn uncleared_crashes(&self, fingerprint: id::Fingerprint) -> Vec<Crash> {
        let entries = self.crashes.iter();
        entries
            .filter(|(_, it)| it.fingerprint == fingerprint && !it.is_cleared)
            .map(|(attempt, it)| it.to_crash(*attempt))
            .collect()
    }

    /// Whether at least [`CRASHES_BEFORE_QUARANTINE`] crashes are recorded against `fingerprint`.
    pub(crate) fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.uncleared_crashes(fingerprint).len() >= CRASHES_BEFORE_QUARANTINE
    }

    /// Every quarantined fingerprint.
    pub(crate) fn quarantine(&self) -> BTreeSet<id::Fingerprint> {
        let suspects = self.crashes.values().map(|it| it.fingerprint);
        suspects.filter(|it| self.is_quarantined(*it)).collect()
    }

    /// Drops the restrictions that the configuration in force includes, and ignores them when they
    /// are gossiped again.
    pub(crate) fn set_configured_restrictions(&mut self, configured: &[id::Token]) {
        self.configured = configured.iter().copied().collect();
        self.restrictions
            .retain(|token, _| !configured.contains(token));
    }

    /// All entries, for a full sync with a neighbour.
    pub(crate) fn entries(&self) -> impl Iterator<Item = GossipEntry> {
        let restrictions = self
            .restrictions
            .values()
            .cloned()
            .map(GossipEntry::Restriction);
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(attempt, it)| GossipEntry::Crash(it.to_crash(*attempt)));
        restrictions.chain(crashes)
    }

    /// Order-independent digest of the entries.
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
    fn to_crash(&self, attempt: id::Attempt) -> Crash {
        Crash {
            fingerprint: self.fingerprint,
            attempt,
            is_cleared: self.is_cleared,
        }
    }
}
