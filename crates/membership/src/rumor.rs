//! News other than membership that floods over the overlay: drains ahead of the table, crashes
//! and quarantined requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::id;
use wire::member::Crash;
use wire::member::News;
use wire::member::Restriction;

/// Crashes and quarantined fingerprints kept; the lowest are dropped beyond this.
const KEPT_MAX: usize = 1024;

/// Monotone sets; merging one twice changes nothing.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    pub(crate) restrictions: BTreeMap<id::Token, Restriction>,
    pub(crate) crashes: BTreeSet<Crash>,
    pub(crate) quarantine: BTreeSet<id::Fingerprint>,
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

    /// Merges a crash; returns whether it is new.
    pub(crate) fn crash(&mut self, crash: &Crash) -> bool {
        let is_new = self.crashes.insert(crash.clone());
        if self.crashes.len() > KEPT_MAX {
            self.crashes.pop_first();
        }
        is_new
    }

    /// Merges a quarantined fingerprint; returns whether it is new.
    pub(crate) fn quarantine(&mut self, fingerprint: id::Fingerprint) -> bool {
        let is_new = self.quarantine.insert(fingerprint);
        if self.quarantine.len() > KEPT_MAX {
            self.quarantine.pop_first();
        }
        is_new
    }

    /// Drops restrictions that the configuration in force keeps, now and when they are heard again.
    pub(crate) fn settle(&mut self, kept: &[id::Token]) {
        self.kept = kept.iter().copied().collect();
        self.restrictions.retain(|token, _| !kept.contains(token));
    }

    /// Everything, for a neighbour that missed some of it.
    pub(crate) fn all(&self) -> impl Iterator<Item = News> {
        let restrictions = self.restrictions.values().cloned().map(News::Restriction);
        let crashes = self.crashes.iter().cloned().map(News::Crash);
        let quarantine = self.quarantine.iter().copied().map(News::Quarantine);
        restrictions.chain(crashes).chain(quarantine)
    }

    /// Order-independent digest of the content.
    pub(crate) fn digest(&self) -> u64 {
        let mut digest = 0u64;
        for restriction in self.restrictions.values() {
            digest ^= base::hash::of([&restriction.token.0.to_le_bytes()[..], b"restriction"]);
        }
        for crash in &self.crashes {
            digest ^= base::hash::of([&crash.attempt.0.to_le_bytes()[..], b"crash"]);
        }
        for fingerprint in &self.quarantine {
            digest ^= base::hash::of([&fingerprint.0.to_le_bytes()[..], b"quarantine"]);
        }
        digest
    }
}
