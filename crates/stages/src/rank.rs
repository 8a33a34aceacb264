//! Scheduling order of waiting work.
//!
//! Work that can still meet its soft deadline goes first, the most urgent priority before others;
//! late work gets the remaining capacity. Both first come, first served and earliest deadline first
//! would spend a busy service on requests that will be late anyway.

use tokio::time::Instant;

/// Scheduling policy; all but [`SchedulingPolicy::Urgency`] perform worse and remain for
/// comparison.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum SchedulingPolicy {
    /// Work that can meet its soft deadline goes before late work; then by priority, then by the
    /// fair parts of workspaces under contention, then by soft deadline.
    #[default]
    Urgency,
    /// The same, with no regard to workspaces.
    Unshared,
    /// First come, first served.
    FirstCome,
}

/// Sort key of waiting work; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether the response would miss its soft deadline even if the work were sent now.
    pub(crate) is_late: bool,
    priority: u8,
    /// Soft deadline, or the submission time under [`SchedulingPolicy::FirstCome`].
    sort_time: Instant,
}

impl Rank {
    pub(crate) fn new(priority: u8, soft_deadline: Instant, expected_end: Instant) -> Rank {
        Rank {
            is_late: expected_end > soft_deadline,
            priority,
            sort_time: soft_deadline,
        }
    }

    /// The rank of a request that returns in its turn: it keeps the place of its first attempt.
    pub(crate) fn with_turn(self, sort_time: Option<Instant>) -> Rank {
        Rank {
            sort_time: sort_time.map_or(self.sort_time, |it| it.min(self.sort_time)),
            ..self
        }
    }

    pub(crate) fn first_come(submitted_at: Instant) -> Rank {
        Rank {
            is_late: false,
            priority: 0,
            sort_time: submitted_at,
        }
    }
}
