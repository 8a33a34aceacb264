//! What this instance has seen of one upstream: failures, silence and speed.
//!
//! Health calls may pass while requests fail, so only the outcome of requests counts. Times are held
//! against the usual ones of the same kind of request ([`crate::pace`]).

use std::time::Duration;

use tokio::time::Instant;

/// First pause after a failure to connect; a crashed upstream is back after some seconds.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause, so that an upstream that is back is found within its clients' deadlines.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Weight of the newest outcome and time.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Half-life of the memory of failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// A pace that is older than this says nothing of the speed of now. An upstream that is
/// avoided for it gets no requests that would correct it.
const PACE_MEMORY: Duration = Duration::from_secs(3);

/// Shorter times than this are not told apart.
const USUAL_MIN: Duration = Duration::from_millis(1);

/// What is known of one upstream.
#[derive(Debug, Default)]
pub struct Health {
    /// Requests sent and not ended.
    pub in_flight: u32,
    pause: Option<Duration>,
    paused_until: Option<Instant>,
    held_off_until: Option<Instant>,
    failure_rate: f64,
    sampled: Option<Instant>,
    /// Times to the first byte as multiples of the usual ones, on average.
    latency_ratio: Option<f64>,
    answered: Option<Instant>,
    unanswered: Vec<Unanswered>,
}

/// A send without a first byte of an answer.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    send: u64,
    sent: Instant,
    /// Usual time of its kind of request.
    usual: Duration,
    /// When it is taken for unanswered.
    silent_from: Instant,
}

impl Health {
    /// Notes a send of a kind of request that is usually answered in `usual`, and that is taken for
    /// unanswered after `silence`.
    pub fn record_send(&mut self, send: u64, usual: Duration, silence: Duration, now: Instant) {
        self.in_flight += 1;
        self.unanswered.push(Unanswered {
            send,
            sent: now,
            usual,
            silent_from: now + silence,
        });
    }

    /// Notes the first byte of an answer.
    pub fn record_first_byte(&mut self, send: u64, is_failure: bool, now: Instant) {
        if let Some(idx) = self.unanswered.iter().position(|it| it.send == send) {
            let sent = self.unanswered.swap_remove(idx);
            let took = now.saturating_duration_since(sent.sent);
            let sample = took.as_secs_f64() / sent.usual.max(USUAL_MIN).as_secs_f64();
            let before = self.latency_ratio.unwrap_or(sample);
            self.latency_ratio = Some(before + SAMPLE_WEIGHT * (sample - before));
            self.answered = Some(now);
        }
        if !is_failure {
            self.pause = None;
            self.paused_until = None;
        }
        self.sample(is_failure, now);
    }

    /// Notes that a send broke, or got no answer in time.
    pub fn record_failure(&mut self, send: u64, now: Instant) {
        self.unanswered.retain(|it| it.send != send);
        self.sample(true, now);
    }

    /// Notes the end of a send, whatever came before.
    pub fn record_end(&mut self, send: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unanswered.retain(|it| it.send != send);
    }

    /// Notes that no connection could be made, or that another upstream has the address.
    pub fn record_connect_failure(&mut self, now: Instant) {
        let pause = self.pause.map_or(PAUSE_MIN, |it| (it * 2).min(PAUSE_MAX));
        self.pause = Some(pause);
        self.paused_until = Some(now + pause);
        self.sample(true, now);
    }

    /// Takes over that the upstream wants nothing for a time.
    pub fn hold_off(&mut self, time: Duration, now: Instant) {
        self.held_off_until = now.checked_add(time).max(self.held_off_until);
    }

    /// Until when the upstream must get nothing, if it must not get anything now.
    #[must_use]
    pub fn held_off_until(&self, now: Instant) -> Option<Instant> {
        self.held_off_until.filter(|it| *it > now)
    }

    /// Whether requests should go elsewhere for now.
    #[must_use]
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|it| it > now) || self.is_silent(now)
    }

    /// Share of recent requests that failed.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(sampled) = self.sampled else {
            return 0.0;
        };
        let age = now.saturating_duration_since(sampled).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether a request was answered after `since`.
    #[must_use]
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered.is_some_and(|it| it > since)
    }

    /// Average time to the first byte of an answer as a multiple of the usual one, if an answer is
    /// recent enough to compare upstreams by.
    #[must_use]
    pub fn latency_ratio(&self, now: Instant) -> Option<f64> {
        let answered = self.answered?;
        let is_recent = now.saturating_duration_since(answered) < PACE_MEMORY;
        self.latency_ratio.filter(|_| is_recent)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.unanswered.iter().any(|it| now > it.silent_from)
    }

    fn sample(&mut self, is_failure: bool, now: Instant) {
        let before = self.failure_rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = before + SAMPLE_WEIGHT * (sample - before);
        self.sampled = Some(now);
    }
}
