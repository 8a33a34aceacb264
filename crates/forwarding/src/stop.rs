//! Graceful shutdown: which requests a stopping instance still accepts, and its deadlines.

use std::time::Duration;

use tokio::time::Instant;

/// Time from the start of the shutdown during which every request is accepted. After it the
/// balancer sends its traffic elsewhere, and a request is accepted only if its own time limit ends
/// before the process must exit, which rules out long streams.
const ACCEPT_WINDOW: Duration = Duration::from_millis(2_800);
/// The last 1/16 of the grace time is reserved for closing connections and exiting.
const EXIT_RESERVE_DIVISOR: u32 = 16;
/// Requests in flight are cancelled when 1/12 of the grace time is left. A long stream must
/// not be interrupted before the last sixth of it.
const ANSWER_RESERVE_DIVISOR: u32 = 12;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    since: Instant,
    grace: Duration,
}

impl Shutdown {
    /// Starts a shutdown at `now`; the process is killed after `grace`.
    #[must_use]
    pub fn begin(grace: Duration, now: Instant) -> Shutdown {
        Shutdown { since: now, grace }
    }

    /// Whether a request that has been read by `now`, and ends by `deadline`, is still accepted.
    #[must_use]
    pub fn accepts(&self, deadline: Instant, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        age < ACCEPT_WINDOW.min(self.grace / 2) || deadline <= self.answer_deadline()
    }

    /// Deadline for answering the requests in flight.
    #[must_use]
    pub fn answer_deadline(&self) -> Instant {
        self.since + (self.grace - self.grace / ANSWER_RESERVE_DIVISOR)
    }

    /// Deadline for closing the remaining connections and exiting.
    #[must_use]
    pub fn exit_deadline(&self) -> Instant {
        self.since + (self.grace - self.grace / EXIT_RESERVE_DIVISOR)
    }
}
