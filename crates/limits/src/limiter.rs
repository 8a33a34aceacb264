//! Adaptive in-flight limit of one upstream: slow start, adaptation to latency, back-off after
//! overload, and calls inherited from previous owners.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::gate::Settings;

/// Weight of a new sample in the moving averages of latency and duration.
const EWMA_ALPHA: f64 = 0.2;
/// Fraction by which the latency baseline moves towards a sample above it.
const BASELINE_DRIFT: f64 = 0.002;
/// Ratio of average latency to baseline above which the limit decreases.
const SLOW_RATIO: f64 = 2.0;
/// Ratio of a call's latency to the baseline above which the call is a sign of a cold upstream.
const COLD_RATIO: f64 = 8.0;
/// Successful calls per slot of the limit that are required before a warming limit doubles.
const SUCCESSES_PER_SLOT: f64 = 4.0;
/// Age of the measured call duration after which one call may be sent to measure it again.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// Signs of a cold upstream after which it is reset to cold. A call of normal latency at a warm
/// upstream clears the count.
const COLD_SIGNS_MAX: u32 = 3;
/// Factor by which the limit decreases when the average latency is too high.
const SLOW_DECREASE: f64 = 0.95;

/// First back-off after an overload or a broken connection; each further one doubles.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Phase of an upstream's slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Warmth {
    /// The limit is the cold limit.
    Cold,
    /// The limit doubles after each window of successful calls.
    Warming,
    /// The limit adapts to latency.
    Warm,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The complete response was received.
    Good,
    /// The caller gave up, which says nothing about the upstream.
    Cancelled,
    /// The upstream reported that it is overloaded.
    Overloaded,
    /// The upstream returned an error, or nothing before the deadline.
    Failed,
    /// The connection was refused or lost: the upstream may have restarted.
    Disconnected,
}

/// A finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// How it ended.
    pub outcome: Outcome,
    /// Time per unit of work, for engines per token; measures how slow the upstream is.
    pub latency: Duration,
    /// Duration of the whole call; measures how long queued calls wait.
    pub elapsed: Duration,
}

impl FinishedCall {
    /// Returns a cancelled call, which leaves limit and averages unchanged.
    #[must_use]
    pub fn cancelled() -> FinishedCall {
        FinishedCall {
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
            elapsed: Duration::ZERO,
        }
    }
}

/// A load report of the upstream. Since reports lag behind, they can only lower the number of
/// inherited calls that the owner assumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that the upstream was running.
    pub in_flight: u32,
    /// Identifies the process of the upstream; changes with every restart.
    pub epoch: u64,
    /// When the upstream measured its load, on the clock of this process.
    pub measured_at: Instant,
}

/// Calls that previous owners may still have in flight.
#[derive(Clone, Debug)]
struct Inherited {
    /// Calls assumed of an owner that has not reported any.
    assumed: u32,
    /// Calls reported by previous owners.
    reported: BTreeMap<id::Instance, u32>,
    since: Instant,
    until: Instant,
}

impl Inherited {
    fn count(&self) -> u32 {
        self.assumed + self.reported.values().sum::<u32>()
    }
}

/// Adaptive limit and count of the calls in flight at one upstream.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    warmth: Warmth,
    limit: f64,
    in_flight: u32,
    inherited: Option<Inherited>,
    window_start: Instant,
    window_successes: u32,
    last_success: Instant,
    /// Moving average of the latencies, in seconds.
    average_latency: Option<f64>,
    /// Moving average of the call durations, in seconds.
    average_elapsed: Option<f64>,
    elapsed_measured_at: Instant,
    /// Lowest recent latency in seconds, which drifts up slowly.
    baseline: Option<f64>,
    cold_signs: u32,
    backoff_until: Option<Instant>,
    next_backoff: Duration,
    epoch: Option<u64>,
}

impl Limiter {
    /// Creates the limiter of an upstream that is assumed to be cold.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Limiter {
        Limiter {
            settings,
            warmth: Warmth::Cold,
            limit: f64::from(settings.cold_limit),
            in_flight: 0,
            inherited: None,
            window_start: now,
            window_successes: 0,
            last_success: now,
            average_latency: None,
            average_elapsed: None,
            elapsed_measured_at: now,
            baseline: None,
            cold_signs: 0,
            backoff_until: None,
            next_backoff: BACKOFF_MIN,
            epoch: None,
        }
    }

    /// Phase of the slow start.
    #[must_use]
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Calls that this owner has in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls of previous owners that are still assumed to run.
    #[must_use]
    pub fn inherited(&self, now: Instant) -> u32 {
        let inherited = self.inherited.as_ref().filter(|it| now < it.until);
        inherited.map_or(0, Inherited::count)
    }

    /// Longest time for which calls of previous owners may occupy the whole limit.
    #[must_use]
    pub fn inherited_block_duration(&self, now: Instant) -> Duration {
        let inherited = self.inherited.as_ref();
        let blocking = inherited.filter(|it| it.count() >= self.limit());
        blocking.map_or(Duration::ZERO, |it| it.until.saturating_duration_since(now))
    }

    /// Current in-flight limit, at least one.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Whether one more call may be sent.
    #[must_use]
    pub fn has_capacity(&self, now: Instant) -> bool {
        !self.is_backing_off(now) && self.in_flight + self.inherited(now) < self.limit()
    }

    /// Whether no call is sent, to let the upstream recover.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Slots of the limit that are not available: calls in flight and inherited, and at least the
    /// whole limit during a back-off.
    #[must_use]
    pub fn occupied_slots(&self, now: Instant) -> u32 {
        let occupied_slots = self.in_flight + self.inherited(now);
        match self.is_backing_off(now) {
            true => occupied_slots.max(self.limit()),
            false => occupied_slots,
        }
    }

    /// Expected duration of one call. If the measurement is old and nothing is in flight, it is the
    /// configured value, so that one call is sent to probe whether a slow upstream has recovered.
    #[must_use]
    pub fn expected_duration(&self, now: Instant) -> Duration {
        let is_stale = now.duration_since(self.elapsed_measured_at) > PROBE_AFTER;
        let may_probe = is_stale && self.in_flight == 0;
        match self.average_elapsed.filter(|_| !may_probe) {
            Some(seconds) => Duration::from_secs_f64(seconds),
            None => self.settings.typical_duration,
        }
    }

    /// Updates the average duration. A call that was cancelled or failed took at least its elapsed
    /// time, so it counts only if that exceeds the average.
    fn record_elapsed(&mut self, call: &FinishedCall, now: Instant) {
        let sample = call.elapsed.as_secs_f64();
        let is_informative = match call.outcome {
            Outcome::Good => true,
            Outcome::Cancelled | Outcome::Failed => {
                self.average_elapsed.is_some_and(|it| sample > it)
            }
            Outcome::Overloaded | Outcome::Disconnected => false,
        };
        if is_informative {
            self.average_elapsed = Some(moving_average(self.average_elapsed, sample));
            self.elapsed_measured_at = now;
        }
    }

    /// Counts a call that is about to be sent.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Records a call that has ended, and adapts the limit to its outcome.
    pub fn finish(&mut self, call: FinishedCall, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_elapsed(&call, now);
        match call.outcome {
            Outcome::Cancelled => {}
            Outcome::Good => self.record_success(call.latency.as_secs_f64(), now),
            // An upstream that fails under a load it handled before is treated as cold.
            Outcome::Overloaded | Outcome::Disconnected => {
                self.reset_to_cold(now);
                self.start_backoff(now);
            }
            Outcome::Failed => self.record_cold_sign(now),
        }
    }

    /// Applies a load report: a new epoch resets the upstream to cold, a lower count replaces the
    /// inherited calls.
    pub fn apply_load_report(&mut self, report: LoadReport, now: Instant) {
        let is_restart = self.epoch.is_some_and(|epoch| epoch != report.epoch);
        self.epoch = Some(report.epoch);
        if is_restart {
            // The restart has ended all inherited calls.
            self.inherited = None;
            self.reset_to_cold(now);
            return;
        }
        let Some(inherited) = self.inherited.as_mut() else {
            return;
        };
        // Only a measurement after the takeover covers the calls of the previous owner. It may
        // include calls of this owner, so the estimate is too high rather than too low.
        if report.measured_at > inherited.since && report.in_flight < inherited.count() {
            inherited.assumed = report.in_flight;
            inherited.reported.clear();
        }
    }

    /// Assumes that an unknown previous owner has `count` calls in flight, which end within
    /// `longest`.
    pub fn assume_inherited(&mut self, count: u32, longest: Duration, now: Instant) {
        self.inherited = Some(Inherited {
            assumed: count,
            reported: BTreeMap::new(),
            since: now,
            until: now + longest,
        });
    }

    /// Records that the previous owner `from` has `count` calls in flight. The report of the last
    /// owner is complete, so it replaces the assumption; returns whether it did.
    pub fn record_inherited(
        &mut self,
        from: id::Instance,
        count: u32,
        is_last_owner: bool,
    ) -> bool {
        let Some(inherited) = self.inherited.as_mut() else {
            return false;
        };
        inherited.reported.insert(from, count);
        let replaces = is_last_owner && inherited.assumed > 0;
        if replaces {
            inherited.assumed = 0;
        }
        replaces
    }

    /// Continues the slow start of a previous owner at half of its `limit`.
    pub fn resume_warming(&mut self, limit: u32, now: Instant) {
        let floor = f64::from(self.settings.cold_limit);
        let ceiling = f64::from(self.settings.ceiling);
        self.warmth = Warmth::Warming;
        self.limit = (f64::from(limit) / 2.0).clamp(floor, ceiling);
        self.restart_window(now);
    }

    /// Resets the upstream to cold with its cold limit.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.warmth = Warmth::Cold;
        self.limit = f64::from(self.settings.cold_limit);
        self.average_latency = None;
        self.cold_signs = 0;
        self.restart_window(now);
    }

    /// Starts a back-off, unless one is running. Its duration doubles each time until a call
    /// succeeds.
    fn start_backoff(&mut self, now: Instant) {
        if self.is_backing_off(now) {
            return;
        }
        self.backoff_until = Some(now + self.next_backoff);
        self.next_backoff = (self.next_backoff * 2).min(BACKOFF_MAX);
    }

    fn record_success(&mut self, sample: f64, now: Instant) {
        self.next_backoff = BACKOFF_MIN;
        let average = moving_average(self.average_latency, sample);
        self.average_latency = Some(average);
        let idle = now.duration_since(self.last_success);
        self.last_success = now;
        if idle > self.settings.warm_window {
            // After an idle period the upstream may be cold again: earlier successes don't count.
            self.restart_window(now);
        }
        self.window_successes += 1;
        match self.warmth {
            Warmth::Cold | Warmth::Warming => self.grow_warming_limit(now),
            Warmth::Warm => self.adapt_limit(sample, average, now),
        }
    }

    fn grow_warming_limit(&mut self, now: Instant) {
        let is_window_over = now.duration_since(self.window_start) >= self.settings.warm_window;
        // Time alone is not enough: the limit grows only after the upstream completed enough calls.
        let has_enough_successes =
            f64::from(self.window_successes) >= SUCCESSES_PER_SLOT * self.limit;
        if !is_window_over || !has_enough_successes {
            return;
        }
        self.restart_window(now);
        self.warmth = Warmth::Warming;
        self.limit *= 2.0;
        let ceiling = f64::from(self.settings.ceiling);
        if self.limit >= ceiling {
            self.limit = ceiling;
            self.warmth = Warmth::Warm;
        }
    }

    fn adapt_limit(&mut self, sample: f64, average: f64, now: Instant) {
        let baseline = self.baseline.unwrap_or(sample);
        let baseline = match sample < baseline {
            true => sample,
            false => baseline + BASELINE_DRIFT * (sample - baseline),
        };
        self.baseline = Some(baseline);
        if sample > COLD_RATIO * baseline {
            self.record_cold_sign(now);
            return;
        }
        self.cold_signs = 0;
        if average > SLOW_RATIO * baseline {
            self.decrease_limit(SLOW_DECREASE, now);
            return;
        }
        let ceiling = f64::from(self.settings.ceiling);
        self.limit = (self.limit + 1.0 / self.limit).min(ceiling);
    }

    fn decrease_limit(&mut self, factor: f64, now: Instant) {
        let floor = f64::from(self.settings.cold_limit);
        self.limit = (self.limit * factor).max(floor);
        self.restart_window(now);
    }

    fn record_cold_sign(&mut self, now: Instant) {
        self.cold_signs += 1;
        self.restart_window(now);
        if self.cold_signs >= COLD_SIGNS_MAX {
            self.reset_to_cold(now);
        }
    }

    fn restart_window(&mut self, now: Instant) {
        self.window_start = now;
        self.window_successes = 0;
    }
}

/// Exponential moving average after one more sample.
fn moving_average(before: Option<f64>, sample: f64) -> f64 {
    match before {
        Some(average) => average + EWMA_ALPHA * (sample - average),
        None => sample,
    }
}
