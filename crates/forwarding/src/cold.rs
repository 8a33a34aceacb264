//! This instance's share of the rate that a cold upstream bears.
//!
//! An upstream may turn cold before anyone can know, so the bound holds for every upstream of such
//! a service at all times. It is divided by the number of members; with more members than requests
//! a second, one request is allowed in a longer window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The bound counts arrivals within any second.
const WINDOW: Duration = Duration::from_secs(1);
/// Sends may be delayed by different times on their way; covers a queue at the sender's link.
const JITTER: Duration = Duration::from_millis(60);
/// Requests of the bound that are left for members that are not known yet.
const RESERVE: f64 = 2.0;

/// Requests a second that all instances together may send to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound(pub f64);

/// Recent sends to one upstream.
#[derive(Debug, Default)]
pub struct Gate {
    sends: VecDeque<Instant>,
}

impl Gate {
    /// Whether one of `members` may send now.
    #[must_use]
    pub fn is_open(&self, bound: Bound, members: usize, now: Instant) -> bool {
        let share = (bound.0 - RESERVE).max(1.0) / members.max(1) as f64;
        let count = share.floor().max(1.0);
        let window = WINDOW.mul_f64((count / share).max(1.0)) + JITTER;
        let recent = self.sends.iter().rev();
        let recent = recent.take_while(|it| now.saturating_duration_since(**it) < window);
        (recent.count() as f64) < count
    }

    /// Notes a send.
    pub fn sent(&mut self, now: Instant) {
        self.sends.push_back(now);
        let oldest = Duration::from_secs(60);
        while self.sends.len() > 256
            || self
                .sends
                .front()
                .is_some_and(|it| now.saturating_duration_since(*it) > oldest)
        {
            self.sends.pop_front();
        }
    }
}
