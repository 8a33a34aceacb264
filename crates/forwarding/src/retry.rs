//! This instance's share of a service's retry budget.
//!
//! The bound is a ratio of the requests plus a constant, over a sliding window and summed over all
//! instances. The ratio divides by itself; the constant is divided by the number of members.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the bound that is used; the rest covers members that are not known yet.
const SAFETY: f64 = 0.7;

/// Bound on repeated sends over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub extra: f64,
    /// Sliding window.
    pub window: Duration,
}

/// Budget of one service.
#[derive(Debug)]
pub struct Budget {
    bound: BudgetLimit,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// An unused budget.
    #[must_use]
    pub fn new(bound: BudgetLimit) -> Budget {
        Budget {
            bound,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if the share of one of `members` still has one.
    pub fn try_take(&mut self, members: usize, now: Instant) -> bool {
        self.expire(now);
        let own = self.bound.ratio * self.requests.len() as f64;
        let share = own + self.bound.extra / members.max(1) as f64;
        if (self.repeats.len() + 1) as f64 > share * SAFETY {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let window = self.bound.window;
        let is_old = |it: &Instant| now.saturating_duration_since(*it) >= window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
