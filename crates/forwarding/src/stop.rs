//! What a stopping instance still does, and until when.

use std::time::Duration;

use tokio::time::Instant;

/// Requests that arrive this long after the stop began are served only if they end by their own time
/// limit before the process must: the balancer has turned away by then, and a long stream could not.
const ACCEPT_FOR: Duration = Duration::from_millis(2_800);
/// Part of the grace time that is kept back to close connections and exit.
const EXIT_PART: u32 = 16;
/// Part of the grace time before its end at which requests in flight are given up. A long stream may
/// be broken off only in the last sixth.
const ANSWER_PART: u32 = 12;

/// A graceful stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    since: Instant,
    grace: Duration,
}

impl Shutdown {
    /// A stop that begins now and ends by force after `grace`.
    #[must_use]
    pub fn begin(grace: Duration, now: Instant) -> Shutdown {
        Shutdown { since: now, grace }
    }

    /// Whether a request that arrives now, and is answered or given up within `limit`, is still served.
    #[must_use]
    pub fn accepts(&self, limit: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        age < ACCEPT_FOR.min(self.grace / 2) || now + limit <= self.answer_deadline()
    }

    /// When every request must have its answer.
    #[must_use]
    pub fn answer_deadline(&self) -> Instant {
        self.since + (self.grace - self.grace / ANSWER_PART)
    }

    /// When the process closes what is left and exits.
    #[must_use]
    pub fn exit_deadline(&self) -> Instant {
        self.since + (self.grace - self.grace / EXIT_PART)
    }
}
