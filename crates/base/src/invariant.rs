//! Program invariants.
//!
//! A violated invariant is counted in release builds, where stopping would hurt callers, and
//! panics in debug builds, where tests and soak runs must notice it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A property that holds at all times, whatever fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// The work that one owner has in flight at an upstream stays within the limit.
    InFlightWithinLimit,
    /// An answer is delivered only to the attempt that it names.
    AnswerMatchesAttempt,
    /// A request refused as not executed never had an attempt sent.
    NotRunNeverSent,
    /// The configuration version in force never decreases.
    ConfigNeverReverts,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of violations seen by this process.
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
