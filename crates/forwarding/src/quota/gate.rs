//! Admission of requests whose last upstreams all have a rate limit.
//!
//! Such a request needs other work first. If many more are accepted than the limits allow, that
//! work is done in vain, and callers learn late that they are refused.

use std::time::Duration;

use tokio::time::Instant;

/// Requests that are accepted for each one that was sent in the end. What exceeds 1 is denied at
/// equilibrium, but finds limits that rise.
const ACCEPTED_PER_SENT: f64 = 1.2;
/// Least fraction, so that the end of a shortage is noticed.
const ACCEPTED_MIN: f64 = 0.05;
/// Time after which what was counted has lost most of its weight.
const MEMORY: Duration = Duration::from_secs(2);
/// Weight of the assumption that all requests will be sent.
const PRIOR_WEIGHT: f64 = 1.0;

/// Fraction of the requests that one instance accepts: that of the requests that were sent lately,
/// and a little more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    /// Requests that were sent, denied or not accepted, the recent ones with the most weight.
    offered: f64,
    /// Those of them that were sent.
    sent: f64,
    counted_at: Option<Instant>,
    /// Sum of the fractions since the last request that was accepted.
    credit: f64,
}

impl Gate {
    /// Whether a request is accepted. If it is, what becomes of it is to be recorded, unless it ends
    /// before the limits are asked.
    #[must_use]
    pub fn accept(&mut self, now: Instant) -> bool {
        self.decay(now);
        let expected = ACCEPTED_PER_SENT * self.sent + PRIOR_WEIGHT;
        let fraction = expected / (self.offered + PRIOR_WEIGHT);
        self.credit += fraction.clamp(ACCEPTED_MIN, 1.0);
        if self.credit < 1.0 {
            self.offered += 1.0;
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Records that an accepted request was sent to its upstream.
    pub fn record_sent(&mut self, now: Instant) {
        self.decay(now);
        self.offered += 1.0;
        self.sent += 1.0;
    }

    /// Records that the limits denied an accepted request.
    pub fn record_denied(&mut self, now: Instant) {
        self.decay(now);
        self.offered += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let counted_at = self.counted_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(counted_at);
        let weight = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.offered *= weight;
        self.sent *= weight;
    }
}
