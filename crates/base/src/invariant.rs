//! Program invariants, checked at runtime.
//!
//! A violation is counted, so that a release build keeps serving its callers. Builds with debug
//! assertions also panic, so that tests and soak runs notice it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A property that holds at all times, including during faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// The calls that one owner has in flight at an upstream stay within the in-flight limit.
    InFlightWithinLimit,
    /// An answer is delivered only to the attempt whose id it carries.
    AnswerMatchesAttempt,
    /// No attempt was sent of a request that is refused as not executed.
    NotRunNeverSent,
    /// The configuration version in force never decreases.
    ConfigNeverReverts,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of violations since the start of this process.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Records a violation of `invariant` unless `holds`.
///
/// # Panics
///
/// Panics on a violation in builds with debug assertions.
pub fn check(invariant: Invariant, holds: bool) {
    if holds {
        return;
    }
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    debug_assert!(holds, "invariant violated: {invariant}");
}
