//! Speed of an upstream at the moment.
//!
//! Upstreams share machines, so each of them works slower for some hundred milliseconds now and
//! then. Such a spell ends by itself and is no fault: it weighs in the choice between upstreams that
//! are free, for as long as its news is fresh. An upstream that is slow in several calls in a row is
//! slow by itself, and is avoided for seconds.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of the news that an upstream is slow: a spell of 600 ms that was seen at an unknown
/// point of it has 300 ms left on average, and nothing of it is left after 600 ms.
const SPELL_HALF_LIFE: Duration = Duration::from_millis(150);
/// Age up to which the figure of a response says more than the time of a call that has just ended.
const TOLD_AGE_MAX: Duration = Duration::from_millis(200);
/// Half-life of the excess slowdown of an upstream that is slow by itself, without new calls.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(3);
/// Largest slowdown that is believed of a figure: timeouts grow with it.
const TOLD_MAX: f64 = 4.0;
/// Weight of the newest call in the moving average.
const EWMA_WEIGHT: f64 = 0.3;
/// Calls that take longer than this multiple of their nominal time are slow.
pub(crate) const SLOW_THRESHOLD: f64 = 2.0;
/// Slowdown that sharing a machine explains; a call beyond it counts as two.
const SHARED_MAX: f64 = 3.0;
/// Number of slow calls in a row from which on the upstream is slow by itself.
const SLOW_CALLS_MIN: u32 = 3;
/// Slow calls further apart than this are not in a row.
const SLOW_CALLS_AGE_MAX: Duration = Duration::from_secs(3);

/// Time that work takes at an upstream at a moment, in percent of its usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(u16);

impl Percent {
    /// Smallest and largest figures that are believed.
    const BELIEVED: std::ops::RangeInclusive<u64> = 10..=2_000;

    /// A figure of an upstream; `None` if no machine would work at that speed.
    #[must_use]
    pub fn new(percent: u64) -> Option<Percent> {
        let is_believed = Percent::BELIEVED.contains(&percent);
        u16::try_from(percent)
            .ok()
            .filter(|_| is_believed)
            .map(Percent)
    }

    /// Factor on the usual time of work, from 1 to 4.
    #[must_use]
    pub fn slowdown(self) -> f64 {
        (f64::from(self.0) / 100.0).clamp(1.0, TOLD_MAX)
    }
}

impl std::fmt::Display for Percent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What is known of an upstream's speed.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Slowdown that the newest call or response showed, and when.
    spell: Option<(f64, Instant)>,
    /// When a response told the speed, so that it need not be guessed from the time of the call.
    told_at: Option<Instant>,
    /// Moving average of measured over nominal call time, at least 1, and the time of the newest
    /// call.
    lasting: f64,
    measured_at: Option<Instant>,
    /// Number of slow calls in a row; calls that no sharing explains count twice.
    slow_calls: u32,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            spell: None,
            told_at: None,
            lasting: 1.0,
            measured_at: None,
            slow_calls: 0,
        }
    }
}

impl Speed {
    /// Records a figure that a response of the upstream told.
    pub fn record_told(&mut self, percent: Percent, now: Instant) {
        self.told_at = Some(now);
        self.spell = Some((percent.slowdown(), now));
    }

    /// Records that a call took `ratio` times its nominal time.
    pub fn record_call(&mut self, ratio: f64, now: Instant) {
        // Pieces of some steps take less than their nominal time; the slowdown stays at least 1.
        let ratio = ratio.max(1.0);
        if !self.is_told(now) {
            self.spell = Some((ratio, now));
        }
        let before = self.lasting(now);
        let is_in_row = self
            .measured_at
            .is_some_and(|it| now.saturating_duration_since(it) <= SLOW_CALLS_AGE_MAX)
            || before > SLOW_THRESHOLD;
        let calls = match ratio {
            it if it <= SLOW_THRESHOLD => 0,
            it if it <= SHARED_MAX => 1,
            _ => 2,
        };
        let earlier = if calls == 0 || !is_in_row {
            0
        } else {
            self.slow_calls
        };
        self.slow_calls = earlier.saturating_add(calls);
        self.lasting = if self.slow_calls >= SLOW_CALLS_MIN {
            ratio
        } else {
            before + EWMA_WEIGHT * (ratio.min(SLOW_THRESHOLD) - before)
        };
        self.measured_at = Some(now);
    }

    /// Forgets the calls, because their times say nothing of the upstream.
    pub fn forget_calls(&mut self) {
        *self = Speed {
            spell: self.spell.filter(|it| Some(it.1) == self.told_at),
            told_at: self.told_at,
            ..Speed::default()
        };
    }

    /// Expected factor on the time of work that starts now.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.lasting(now).max(self.spell(now))
    }

    /// Whether the upstream is slow by itself, and not only for a spell.
    #[must_use]
    pub fn is_slow(&self, now: Instant) -> bool {
        self.lasting(now) > SLOW_THRESHOLD
    }

    /// Slowdown that the newest call or response showed, the closer to 1 the older it is.
    #[must_use]
    pub fn spell(&self, now: Instant) -> f64 {
        self.spell.map_or(1.0, |(slowdown, at)| {
            decayed(slowdown, at, SPELL_HALF_LIFE, now)
        })
    }

    /// Slowdown that the newest response told, like [`Speed::spell`]; 1 if none did.
    #[must_use]
    pub fn spell_told(&self, now: Instant) -> f64 {
        if self.is_told(now) {
            self.spell(now)
        } else {
            1.0
        }
    }

    fn is_told(&self, now: Instant) -> bool {
        self.told_at
            .is_some_and(|it| now.saturating_duration_since(it) <= TOLD_AGE_MAX)
    }

    fn lasting(&self, now: Instant) -> f64 {
        self.measured_at
            .map_or(1.0, |at| decayed(self.lasting, at, LASTING_HALF_LIFE, now))
    }
}

fn decayed(slowdown: f64, at: Instant, half_life: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    1.0 + (slowdown - 1.0) * 0.5_f64.powf(age / half_life.as_secs_f64())
}
