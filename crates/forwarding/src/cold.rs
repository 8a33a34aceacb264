//! Shares of the rate that a cold upstream bears.
//!
//! An upstream may turn cold before anyone can know, so the bound holds for every upstream of such
//! a service at all times. Few members divide it. More members than requests a second cannot: then
//! the owner of the upstream's shard places requests within a share that holds twice, for the time
//! in which ownership moves, and a few members of each upstream may send without the owner.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The bound counts arrivals within any second.
const WINDOW: Duration = Duration::from_secs(1);
/// Sends may be delayed by different times on their way; covers a queue at the sender's link.
const JITTER: Duration = Duration::from_millis(60);
/// Requests of the bound that are left for members that are not known yet.
const RESERVE: f64 = 2.0;
/// Part of the bound that an owner uses; two may do so while ownership moves.
const OWNER_PART: f64 = 0.4;
/// Part of the bound that is left to members without an owner, one request a second each.
const FALLBACK_PART: f64 = 0.2;
/// Sends that are remembered for one upstream.
const SENDS_MAX: usize = 64;

/// Requests a second that all instances together may send to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit(pub f64);

/// Requests that one sender may send to one upstream within any second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(usize);

impl RateLimit {
    /// The share of each of `members`, if there is at least one request for each.
    #[must_use]
    pub fn per_member(self, members: usize) -> Option<Share> {
        let share = (self.usable() / members.max(1) as f64).floor() as usize;
        (share > 0).then_some(Share(share))
    }

    /// The share of an owner.
    #[must_use]
    pub fn owner_share(self) -> Share {
        Share((self.usable() * OWNER_PART) as usize)
    }

    /// Members that may send to an upstream without its owner, and the share of each.
    #[must_use]
    pub fn fallback_shares(self) -> (usize, Share) {
        ((self.usable() * FALLBACK_PART) as usize, Share(1))
    }

    fn usable(self) -> f64 {
        (self.0 - RESERVE).max(1.0)
    }
}

/// Recent sends to one upstream.
#[derive(Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Instant>,
}

impl SendWindow {
    /// Whether the share allows a send now.
    #[must_use]
    pub fn allows(&self, share: Share, now: Instant) -> bool {
        let window = WINDOW + JITTER;
        let recent = self.sends.iter().rev();
        let recent = recent.take_while(|it| now.saturating_duration_since(**it) < window);
        recent.count() < share.0
    }

    /// Notes a send.
    pub fn record(&mut self, now: Instant) {
        self.sends.push_back(now);
        if self.sends.len() > SENDS_MAX {
            self.sends.pop_front();
        }
    }
}
