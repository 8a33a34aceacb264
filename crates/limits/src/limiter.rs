//! In-flight limit of one upstream: warm-up, adaptation to latency and load reports, and work
//! inherited from a previous owner.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::gate::Settings;

/// Weight of a new sample in the short-term latency average.
const LATENCY_ALPHA: f64 = 0.2;
/// Speed at which the baseline follows a latency above it.
const BASELINE_DRIFT: f64 = 0.002;
/// Latency over baseline at which the limit shrinks.
const SLOW_RATIO: f64 = 2.0;
/// Latency over baseline that counts as a sign of coldness.
const COLD_RATIO: f64 = 8.0;
/// Good answers for each call of the limit before a warming limit doubles.
const GOOD_PER_SLOT: f64 = 4.0;
/// Age of the measured call time after which one call may try it anew.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// Consecutive signs of coldness that return an upstream to cold.
const COLD_SIGNS: u32 = 3;
/// Factor of the limit after a slow answer.
const SLOW_DECREASE: f64 = 0.95;

/// First time for which an upstream that fell over gets nothing; it doubles.
const PAUSE_MIN: Duration = Duration::from_millis(200);
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How far an upstream is warmed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Warmth {
    /// Bears its cold limit.
    Cold,
    /// Its limit doubles with each window of good answers.
    Warming,
    /// Its limit adapts to latency.
    Warm,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Whole answer.
    Good,
    /// Given up by its asker; says nothing about the upstream.
    Cancelled,
    /// The upstream says that it is overloaded.
    Overloaded,
    /// An error answer, or none before the deadline.
    Failed,
    /// The connection was refused or broke: the upstream may have restarted.
    Disconnected,
}

/// A finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// How it ended.
    pub outcome: Outcome,
    /// Service time of one unit of work, for engines a token's; tells whether the upstream is slow.
    pub latency: Duration,
    /// Time of the whole call; tells how long others wait.
    pub elapsed: Duration,
}

impl FinishedCall {
    /// The end of a call that says nothing about its upstream.
    #[must_use]
    pub fn cancelled() -> FinishedCall {
        FinishedCall {
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
            elapsed: Duration::ZERO,
        }
    }
}

/// A load report of the upstream. Reports lag, so they only ever lower what the owner assumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that the upstream is running.
    pub in_flight: u32,
    /// Changes with every restart of the upstream.
    pub epoch: u64,
    /// When the upstream took the measurement, on this process's clock.
    pub measured_at: Instant,
}

/// Work that previous owners may still have in flight.
#[derive(Clone, Debug)]
struct Inherited {
    /// Assumed of an owner that has told nothing.
    assumed: u32,
    /// Told by previous owners.
    told: BTreeMap<id::Instance, u32>,
    since: Instant,
    until: Instant,
}

impl Inherited {
    fn count(&self) -> u32 {
        self.assumed + self.told.values().sum::<u32>()
    }
}

/// Limit and count of calls in flight.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    warmth: Warmth,
    limit: f64,
    in_flight: u32,
    inherited: Option<Inherited>,
    window_start: Instant,
    window_good: u32,
    last_good: Instant,
    latency: Option<f64>,
    elapsed: Option<f64>,
    elapsed_at: Instant,
    baseline: Option<f64>,
    cold_signs: u32,
    paused_until: Option<Instant>,
    next_pause: Duration,
    epoch: Option<u64>,
}

impl Limiter {
    /// A limiter of an upstream that is taken to be cold.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Limiter {
        Limiter {
            settings,
            warmth: Warmth::Cold,
            limit: f64::from(settings.cold_limit),
            in_flight: 0,
            inherited: None,
            window_start: now,
            window_good: 0,
            last_good: now,
            latency: None,
            elapsed: None,
            elapsed_at: now,
            baseline: None,
            cold_signs: 0,
            paused_until: None,
            next_pause: PAUSE_MIN,
            epoch: None,
        }
    }

    /// Warmth.
    #[must_use]
    pub fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Calls in flight from this owner.
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

    /// Time for which calls of previous owners may leave no room.
    #[must_use]
    pub fn inherited_block_duration(&self, now: Instant) -> Duration {
        let inherited = self.inherited.as_ref();
        let blocking = inherited.filter(|it| it.count() >= self.limit());
        blocking.map_or(Duration::ZERO, |it| it.until.saturating_duration_since(now))
    }

    /// Limit of calls in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Whether one more call fits.
    #[must_use]
    pub fn has_capacity(&self, now: Instant) -> bool {
        !self.is_backing_off(now) && self.in_flight + self.inherited(now) < self.limit()
    }

    /// Whether the upstream is given time to recover.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Calls that keep room from others: in flight, inherited, or all while paused.
    #[must_use]
    pub fn occupied_slots(&self, now: Instant) -> u32 {
        let occupied_slots = self.in_flight + self.inherited(now);
        match self.is_backing_off(now) {
            true => occupied_slots.max(self.limit()),
            false => occupied_slots,
        }
    }

    /// Expected time of one call. A measurement of long ago lets one call through, to see whether
    /// a slow upstream has recovered.
    #[must_use]
    pub fn expected_duration(&self, now: Instant) -> Duration {
        let is_stale = now.duration_since(self.elapsed_at) > PROBE_AFTER;
        let may_probe = is_stale && self.in_flight == 0;
        match self.elapsed.filter(|_| !may_probe) {
            Some(seconds) => Duration::from_secs_f64(seconds),
            None => self.settings.typical,
        }
    }

    /// Takes the time of a call. One that was given up took at least so long.
    fn note_elapsed(&mut self, finish: &FinishedCall, now: Instant) {
        let sample = finish.elapsed.as_secs_f64();
        let tells = match finish.outcome {
            Outcome::Good => true,
            Outcome::Cancelled | Outcome::Failed => self.elapsed.is_some_and(|it| sample > it),
            Outcome::Overloaded | Outcome::Disconnected => false,
        };
        if tells {
            self.elapsed = Some(average(self.elapsed, sample));
            self.elapsed_at = now;
        }
    }

    /// Counts a call that is about to be sent.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a call that has ended.
    pub fn finish(&mut self, finish: FinishedCall, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_elapsed(&finish, now);
        match finish.outcome {
            Outcome::Cancelled => {}
            Outcome::Good => self.good(finish.latency.as_secs_f64(), now),
            // An upstream that cannot bear what it bore before has turned cold.
            Outcome::Overloaded | Outcome::Disconnected => {
                self.reset_to_cold(now);
                self.pause(now);
            }
            Outcome::Failed => self.sign_of_cold(now),
        }
    }

    /// Takes a load report.
    pub fn apply_load_report(&mut self, report: LoadReport, now: Instant) {
        let is_restart = self.epoch.is_some_and(|epoch| epoch != report.epoch);
        self.epoch = Some(report.epoch);
        if is_restart {
            // Work of before the restart is gone with it.
            self.inherited = None;
            self.reset_to_cold(now);
            return;
        }
        let Some(inherited) = self.inherited.as_mut() else {
            return;
        };
        // Only a measurement taken after the takeover shows what the previous owner left. It may
        // count this owner's own calls too, which errs on the side of the upstream.
        if report.measured_at > inherited.since && report.in_flight < inherited.count() {
            inherited.assumed = report.in_flight;
            inherited.told.clear();
        }
    }

    /// Assumes that an unknown previous owner has `count` calls in flight for at most `longest`.
    pub fn assume_inherited(&mut self, count: u32, longest: Duration, now: Instant) {
        self.inherited = Some(Inherited {
            assumed: count,
            told: BTreeMap::new(),
            since: now,
            until: now + longest,
        });
    }

    /// Takes the word of a previous owner that it has `count` calls in flight. One that owned the
    /// upstream to the end knows everything, so it replaces the assumption; returns whether it did.
    pub fn record_inherited(
        &mut self,
        from: id::Instance,
        count: u32,
        is_last_owner: bool,
    ) -> bool {
        let Some(inherited) = self.inherited.as_mut() else {
            return false;
        };
        inherited.told.insert(from, count);
        let replaces = is_last_owner && inherited.assumed > 0;
        if replaces {
            inherited.assumed = 0;
        }
        replaces
    }

    /// Takes over the warmth that a previous owner knew, at half of its limit.
    pub fn resume_warming(&mut self, limit: u32, now: Instant) {
        let floor = f64::from(self.settings.cold_limit);
        let ceiling = f64::from(self.settings.ceiling);
        self.warmth = Warmth::Warming;
        self.limit = (f64::from(limit) / 2.0).clamp(floor, ceiling);
        self.restart_window(now);
    }

    /// Returns to cold.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.warmth = Warmth::Cold;
        self.limit = f64::from(self.settings.cold_limit);
        self.latency = None;
        self.cold_signs = 0;
        self.restart_window(now);
    }

    /// Sends nothing for a while, longer each time until something succeeds.
    fn pause(&mut self, now: Instant) {
        if self.is_backing_off(now) {
            return;
        }
        self.paused_until = Some(now + self.next_pause);
        self.next_pause = (self.next_pause * 2).min(PAUSE_MAX);
    }

    fn good(&mut self, seconds: f64, now: Instant) {
        self.next_pause = PAUSE_MIN;
        let latency = average(self.latency, seconds);
        self.latency = Some(latency);
        let idle = now.duration_since(self.last_good);
        self.last_good = now;
        if idle > self.settings.warm_window {
            // What was proven before a pause may not hold after it.
            self.restart_window(now);
        }
        self.window_good += 1;
        match self.warmth {
            Warmth::Cold | Warmth::Warming => self.warm_up(now),
            Warmth::Warm => self.adapt(seconds, latency, now),
        }
    }

    fn warm_up(&mut self, now: Instant) {
        let is_window_over = now.duration_since(self.window_start) >= self.settings.warm_window;
        // Time alone warms nothing: the limit grows with the work that the upstream has borne.
        let is_proven = f64::from(self.window_good) >= GOOD_PER_SLOT * self.limit;
        if !is_window_over || !is_proven {
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

    fn adapt(&mut self, seconds: f64, latency: f64, now: Instant) {
        let baseline = self.baseline.unwrap_or(seconds);
        let baseline = match seconds < baseline {
            true => seconds,
            false => baseline + BASELINE_DRIFT * (seconds - baseline),
        };
        self.baseline = Some(baseline);
        if seconds > COLD_RATIO * baseline {
            self.sign_of_cold(now);
            return;
        }
        self.cold_signs = 0;
        if latency > SLOW_RATIO * baseline {
            self.shrink(SLOW_DECREASE, now);
            return;
        }
        let ceiling = f64::from(self.settings.ceiling);
        self.limit = (self.limit + 1.0 / self.limit).min(ceiling);
    }

    fn shrink(&mut self, factor: f64, now: Instant) {
        let floor = f64::from(self.settings.cold_limit);
        self.limit = (self.limit * factor).max(floor);
        self.restart_window(now);
    }

    fn sign_of_cold(&mut self, now: Instant) {
        self.cold_signs += 1;
        self.restart_window(now);
        if self.cold_signs >= COLD_SIGNS {
            self.reset_to_cold(now);
        }
    }

    fn restart_window(&mut self, now: Instant) {
        self.window_start = now;
        self.window_good = 0;
    }
}

/// Moving average after one more sample.
fn average(before: Option<f64>, sample: f64) -> f64 {
    match before {
        Some(average) => average + LATENCY_ALPHA * (sample - average),
        None => sample,
    }
}
