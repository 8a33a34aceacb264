//! Which waiting work goes first.
//!
//! The most urgent priority that can still be in time for its aim goes first; work that cannot is
//! done with what is left over. First come first served, and earliest aim first, both spend a busy
//! service on requests that come late anyway.

use tokio::time::Instant;

/// Order of waiting work; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether the response comes after its aim even if the work is sent now.
    pub(crate) is_late: bool,
    priority: u8,
    aim: Instant,
}

impl Rank {
    pub(crate) fn new(priority: u8, aim: Instant, expected_end: Instant) -> Rank {
        Rank {
            is_late: expected_end > aim,
            priority,
            aim,
        }
    }
}
