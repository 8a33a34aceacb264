//! This instance's share of a service's retry budget.
//!
//! The limit on retries over all instances is a ratio of the requests plus a constant, within a
//! sliding window. Each instance applies the ratio to its own requests and adds its share of the
//! constant, divided by the number of members.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of its share that an instance uses; the rest covers members that it does not know yet.
const SAFETY_FACTOR: f64 = 0.7;

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

/// What one instance has used of a retry budget within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Client requests.
    pub requests: usize,
    /// Retries taken.
    pub retries: usize,
}

/// Retry budget of one service at this instance.
#[derive(Debug)]
pub struct Budget {
    limit: BudgetLimit,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limit: BudgetLimit) -> Budget {
        Budget {
            limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from this instance's share, where `members` instances divide the limit;
    /// returns whether one was left.
    pub fn try_take(&mut self, members: usize, now: Instant) -> bool {
        self.expire(now);
        let from_ratio = self.limit.ratio * self.requests.len() as f64;
        let share = from_ratio + self.limit.extra / members.max(1) as f64;
        if (self.retries.len() + 1) as f64 > share * SAFETY_FACTOR {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Requests and retries of this instance within the window that ends now.
    pub fn usage(&mut self, now: Instant) -> Usage {
        self.expire(now);
        Usage {
            requests: self.requests.len(),
            retries: self.retries.len(),
        }
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limit.window;
        let is_expired = |it: &Instant| now.saturating_duration_since(*it) >= window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
