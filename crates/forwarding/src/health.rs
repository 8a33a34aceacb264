//! Passive health tracking of one upstream: failure rate, unanswered sends and latency.
//!
//! Health checks can pass while requests fail, so only the outcome of requests counts. Latencies
//! are measured as multiples of the expected one for the same kind of request ([`crate::pace`]).

use std::time::Duration;

use tokio::time::Instant;

/// Initial back-off after a failed connect; a crashed upstream is back after some seconds.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Maximum back-off; an upstream that has recovered must be tried again within its clients'
/// deadlines.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Weight of the newest sample in the moving averages of failures and latency.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate without new samples.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Maximum age of a latency ratio. An upstream that is avoided as slow gets no requests that would
/// correct its ratio, so a ratio without new samples must expire.
const LATENCY_RATIO_MAX_AGE: Duration = Duration::from_secs(3);

/// Lower bound on the expected latency; differences below it are noise.
const EXPECTED_MIN: Duration = Duration::from_millis(1);

/// Health of one upstream as seen by this instance.
#[derive(Debug, Default)]
pub struct Health {
    /// Requests in flight.
    pub in_flight: u32,
    backoff: Option<Duration>,
    backoff_until: Option<Instant>,
    held_off_until: Option<Instant>,
    failure_rate: f64,
    sampled_at: Option<Instant>,
    /// Moving average of the time to the first byte as a multiple of the expected one.
    latency_ratio: Option<f64>,
    answered_at: Option<Instant>,
    unanswered: Vec<UnansweredSend>,
}

/// A send whose answer has not begun.
#[derive(Clone, Copy, Debug)]
struct UnansweredSend {
    send: u64,
    sent: Instant,
    /// Expected time to the first byte for its kind of request.
    expected: Duration,
    /// When the send counts as unanswered.
    overdue_at: Instant,
}

impl Health {
    /// Records a send, identified by `send`. The first byte of its answer is expected after
    /// `expected`; without one, it counts as unanswered after `timeout`.
    pub fn record_send(&mut self, send: u64, expected: Duration, timeout: Duration, now: Instant) {
        self.in_flight += 1;
        self.unanswered.push(UnansweredSend {
            send,
            sent: now,
            expected,
            overdue_at: now + timeout,
        });
    }

    /// Records the first byte of an answer; a success ends the back-off.
    pub fn record_first_byte(&mut self, send: u64, is_failure: bool, now: Instant) {
        if let Some(idx) = self.unanswered.iter().position(|it| it.send == send) {
            let sent = self.unanswered.swap_remove(idx);
            let took = now.saturating_duration_since(sent.sent);
            let sample = took.as_secs_f64() / sent.expected.max(EXPECTED_MIN).as_secs_f64();
            let before = self.latency_ratio.unwrap_or(sample);
            self.latency_ratio = Some(before + SAMPLE_WEIGHT * (sample - before));
            self.answered_at = Some(now);
        }
        if !is_failure {
            self.backoff = None;
            self.backoff_until = None;
        }
        self.record_outcome(is_failure, now);
    }

    /// Records that a send failed without an answer or timed out.
    pub fn record_failure(&mut self, send: u64, now: Instant) {
        self.unanswered.retain(|it| it.send != send);
        self.record_outcome(true, now);
    }

    /// Records the end of a send, whatever its outcome.
    pub fn record_end(&mut self, send: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unanswered.retain(|it| it.send != send);
    }

    /// Records that connecting failed, or that another upstream has the address now; doubles the
    /// back-off.
    pub fn record_connect_failure(&mut self, now: Instant) {
        let backoff = self
            .backoff
            .map_or(BACKOFF_MIN, |it| (it * 2).min(BACKOFF_MAX));
        self.backoff = Some(backoff);
        self.backoff_until = Some(now + backoff);
        self.record_outcome(true, now);
    }

    /// Holds off requests to the upstream for `time`, as it asked; never shortens an earlier
    /// hold-off.
    pub fn hold_off(&mut self, time: Duration, now: Instant) {
        self.held_off_until = now.checked_add(time).max(self.held_off_until);
    }

    /// When the hold-off that the upstream asked for ends, if it is still in force.
    #[must_use]
    pub fn held_off_until(&self, now: Instant) -> Option<Instant> {
        self.held_off_until.filter(|it| *it > now)
    }

    /// Whether requests should prefer other upstreams: a back-off is in force, or a send is
    /// overdue.
    #[must_use]
    pub fn is_paused(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|it| it > now) || self.has_overdue_send(now)
    }

    /// Fraction of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(sampled_at) = self.sampled_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(sampled_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether any answer began after `since`.
    #[must_use]
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|it| it > since)
    }

    /// Average time to the first byte as a multiple of the expected one, if the newest answer is
    /// recent enough to compare upstreams by.
    #[must_use]
    pub fn latency_ratio(&self, now: Instant) -> Option<f64> {
        let answered_at = self.answered_at?;
        let is_recent = now.saturating_duration_since(answered_at) < LATENCY_RATIO_MAX_AGE;
        self.latency_ratio.filter(|_| is_recent)
    }

    fn has_overdue_send(&self, now: Instant) -> bool {
        self.unanswered.iter().any(|it| now > it.overdue_at)
    }

    fn record_outcome(&mut self, is_failure: bool, now: Instant) {
        let before = self.failure_rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = before + SAMPLE_WEIGHT * (sample - before);
        self.sampled_at = Some(now);
    }
}
