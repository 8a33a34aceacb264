//! Rate limit for upstreams that may be cold, divided among the instances.
//!
//! An upstream can turn cold before any instance knows, so the limit applies to every upstream of
//! such a service at all times. A few members divide it evenly, as [`Roster`] tells. With more
//! members than requests per second, the owner of the upstream's shard places the requests instead. The owner's share fits
//! twice into the limit, because two owners may send while ownership moves; the rest lets a few
//! members per upstream send to it without the owner.

mod roster;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

pub use roster::Delays;
pub use roster::Listing;
pub use roster::Roster;

/// The limit applies to the arrivals within any period of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// Variation of the delay between send and arrival; covers a queue at the sender's link.
const JITTER_MAX: Duration = Duration::from_millis(60);
/// Fraction of the limit that members divide; the rest covers requests that arrive later than
/// [`JITTER_MAX`].
const DIVIDED_FRACTION: f64 = 0.95;
/// Requests per second that owners leave for members that send without them.
const OWNER_RESERVE: f64 = 2.0;
/// Fraction of the limit that an owner uses; two may do so while ownership moves.
const OWNER_FRACTION: f64 = 0.4;
/// Fraction of the limit for members that send without the owner, one request per second each.
const FALLBACK_FRACTION: f64 = 0.2;

/// Requests per second that all instances together may send to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit(pub f64);

/// Requests that one sender may send to one upstream within any second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(usize);

/// When a process that starts at `start` may send to upstreams that may be cold: an earlier process
/// of the instance may have used the same share until it was killed.
#[must_use]
pub fn sends_from(start: Instant) -> Instant {
    start + WINDOW + JITTER_MAX
}

impl Share {
    /// No requests.
    pub const NONE: Share = Share(0);
}

impl RateLimit {
    /// Share of the member that is preceded by `rank` of `members`, the first of which get the
    /// remainder of the division; `None` if there are more members than requests per second.
    #[must_use]
    pub fn per_member(self, members: usize, rank: usize) -> Option<Share> {
        let total = (self.0 * DIVIDED_FRACTION) as usize;
        let members = members.max(1);
        (members <= total).then(|| Share(total.saturating_sub(rank).div_ceil(members)))
    }

    /// Share of the owner of the upstream's shard.
    #[must_use]
    pub fn owner_share(self) -> Share {
        Share((self.available() * OWNER_FRACTION) as usize)
    }

    /// Number of members that may send to an upstream without its owner, and the share of each.
    #[must_use]
    pub fn fallback_shares(self) -> (usize, Share) {
        ((self.available() * FALLBACK_FRACTION) as usize, Share(1))
    }

    fn available(self) -> f64 {
        (self.0 - OWNER_RESERVE).max(1.0)
    }
}

/// Sliding window of recent sends to one upstream.
#[derive(Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Instant>,
}

impl SendWindow {
    /// Whether the share allows a send now.
    #[must_use]
    pub fn allows(&self, share: Share, now: Instant) -> bool {
        let recent = self.sends.iter().rev();
        recent.take_while(|it| is_recent(**it, now)).count() < share.0
    }

    /// Records a send.
    pub fn record(&mut self, now: Instant) {
        while self.sends.front().is_some_and(|it| !is_recent(*it, now)) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}

fn is_recent(send: Instant, now: Instant) -> bool {
    now.saturating_duration_since(send) < WINDOW + JITTER_MAX
}
