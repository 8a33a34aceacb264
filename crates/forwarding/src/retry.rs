//! Retry budget of a service, which all instances share without calls between them.
//!
//! The limit on the retries of all instances is a ratio of the requests plus a constant, within a
//! sliding window. Requests earn the ratio at the instance that they reach, for a short time, so
//! that it holds wherever requests move and however often processes start anew. The constant is
//! divided among the members by [`Roster`].

mod pulse;
mod roster;

pub use pulse::Pulse;
pub use roster::Roster;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the ratio that requests earn. The rest covers retries that are taken in a window though
/// clients sent the requests that earned them before it.
const EARNED_FRACTION: f64 = 0.94;
/// Part of the window for which an earned retry can be taken.
const EARNED_LIFE_FRACTION: f64 = 0.05;
/// Part of the constant that is divided among the members. The rest covers retries that reach
/// upstreams later than they were taken.
const SHARED_FRACTION: f64 = 0.95;

/// Limit on retries over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the budget that a retry was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// Earned by this instance's requests.
    Earned,
    /// This instance's share of the constant.
    Share,
}

/// Retry budget of one service at this instance.
#[derive(Debug)]
pub struct Budget {
    limit: BudgetLimit,
    /// Part of the next retry that requests have earned so far.
    earned_part: f64,
    /// When the retries that can be taken were earned.
    earned: VecDeque<Instant>,
    /// When retries of the share were taken.
    taken: VecDeque<Instant>,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limit: BudgetLimit) -> Budget {
        Budget {
            limit,
            earned_part: 0.0,
            earned: VecDeque::new(),
            taken: VecDeque::new(),
        }
    }

    /// Replaces the limit. What was earned and taken is kept.
    pub fn set_limit(&mut self, limit: BudgetLimit) {
        self.limit = limit;
    }

    /// Records a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.earned_part += self.limit.ratio * EARNED_FRACTION;
        while self.earned_part >= 1.0 {
            self.earned_part -= 1.0;
            self.earned.push_back(now);
        }
    }

    /// Takes one retry: an earned one, or one of this instance's `share` of the constant in each
    /// window. `None` if none is left.
    pub fn try_take(&mut self, share: usize, now: Instant) -> Option<Source> {
        self.expire(now);
        if self.earned.pop_front().is_some() {
            return Some(Source::Earned);
        }
        if self.taken.len() >= share {
            return None;
        }
        self.taken.push_back(now);
        Some(Source::Share)
    }

    /// Retries of the share that were taken within the window that ends now.
    pub fn share_used(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.taken.len()
    }

    fn expire(&mut self, now: Instant) {
        let earned_life = self.limit.window.mul_f64(EARNED_LIFE_FRACTION);
        for (times, life) in [
            (&mut self.earned, earned_life),
            (&mut self.taken, self.limit.window),
        ] {
            while times
                .front()
                .is_some_and(|it| now.saturating_duration_since(*it) >= life)
            {
                times.pop_front();
            }
        }
    }
}
