//! When the rows of a replica were last known to be complete.
//!
//! Rows travel from the store over up to two instances. An answer proves that they were complete when
//! it was made, not when it is handled: meanwhile it was on its way, or lay in a buffer of a process
//! that had no processor time. So what it proves is dated by the latest moment that cannot be after
//! it was made. The age that an instance tells then never falls short, however many instances it has
//! passed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::Table;

/// What an answer proves: the rows were complete at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proof(Instant);

impl Proof {
    /// Dates a response of the store to a call that was sent at `sent_at`. `waited` is the time for
    /// which the store held the call; zero where that is unknown.
    #[must_use]
    pub fn by_store(sent_at: Instant, waited: Duration, now: Instant) -> Proof {
        Proof((sent_at + waited).min(now))
    }

    /// Dates an answer of another instance to a request that was sent at `sent_at`. It held the
    /// request for `waited`, and told that its rows had been complete `age` before the answer; `None`
    /// if that is before the clock began.
    #[must_use]
    pub fn by_instance(
        sent_at: Instant,
        waited: Duration,
        age: Duration,
        now: Instant,
    ) -> Option<Proof> {
        (sent_at + waited).min(now).checked_sub(age).map(Proof)
    }

    /// The time.
    #[must_use]
    pub fn at(self) -> Instant {
        self.0
    }
}

/// The latest proof for each table.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    proofs: BTreeMap<Table, Proof>,
}

impl Freshness {
    /// Records what an answer proves of some tables.
    pub fn record(&mut self, tables: &[Table], proof: Proof) {
        for table in tables {
            let known = self.proofs.entry(*table).or_insert(proof);
            *known = proof.max(*known);
        }
    }

    /// When the rows of all `tables` were last known to be complete; `None` if those of one never
    /// were.
    #[must_use]
    pub fn complete_at(&self, tables: &[Table]) -> Option<Instant> {
        let proofs = tables.iter().map(|it| self.proofs.get(it));
        proofs.min().flatten().map(|it| it.at())
    }

    /// Time since then.
    #[must_use]
    pub fn age(&self, tables: &[Table], now: Instant) -> Option<Duration> {
        let complete_at = self.complete_at(tables)?;
        Some(now.saturating_duration_since(complete_at))
    }
}
