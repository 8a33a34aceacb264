//! Which waiting work goes first.
//!
//! The most urgent priority that can still be in time for its aim goes first; work that cannot is
//! done with what is left over. First come first served, and earliest aim first, both spend a busy
//! service on requests that come late anyway.

use tokio::time::Instant;

/// Policy by which waiting work is ordered; the weaker one stays for measurements.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum SchedulingPolicy {
    /// The most urgent priority that can be in time first.
    #[default]
    Urgency,
    /// First come, first served.
    FirstCome,
}

/// Order of waiting work; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether the response comes after its aim even if the work is sent now.
    pub(crate) is_late: bool,
    priority: u8,
    soft_deadline: Instant,
}

impl Rank {
    pub(crate) fn new(priority: u8, soft_deadline: Instant, expected_end: Instant) -> Rank {
        Rank {
            is_late: expected_end > soft_deadline,
            priority,
            soft_deadline,
        }
    }

    pub(crate) fn first_come(submitted: Instant) -> Rank {
        Rank {
            is_late: false,
            priority: 0,
            soft_deadline: submitted,
        }
    }
}
