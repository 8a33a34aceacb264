//! Whether an owner keeps up with its events, and what others make of its answer if it doesn't.
//!
//! An owner that falls behind must say so while it can: what waits in its buffers has no priority, and
//! silence looks like death. It measures its lag, the time between the moment an event is due and its
//! handling. A process that stalls for its processor quota has a high lag at times; one that doesn't
//! keep up has it all the time, so the least lag of an interval counts.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

/// Time for which the lag must have exceeded its bound: three periods of a processor quota.
const INTERVAL: Duration = Duration::from_millis(300);
/// Lag from which work is turned away, by priority; the last one holds for all further ones. The most
/// urgent work is turned away last.
const LAG_MAX: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(100),
    Duration::from_millis(50),
];
/// Bounds of the time that an owner asks others to wait.
const WAIT_MIN: Duration = Duration::from_millis(300);
const WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Lag of a process over time.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Since when the lag has exceeded the bound of each priority.
    above_since: [Option<Instant>; LAG_MAX.len()],
    lag: Duration,
}

impl Pressure {
    /// Records the lag of an event that was handled at `now`.
    pub fn record(&mut self, lag: Duration, now: Instant) {
        self.lag = lag;
        for (since, max) in self.above_since.iter_mut().zip(LAG_MAX) {
            *since = if lag > max { since.or(Some(now)) } else { None };
        }
    }

    /// The lag that was recorded last.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Time after which work of this priority may be submitted again; `None` if it may be now.
    #[must_use]
    pub fn busy_for(&self, priority: u8, now: Instant) -> Option<Duration> {
        let level = usize::from(priority).min(LAG_MAX.len() - 1);
        let since = self.above_since[level]?;
        let is_busy = now.saturating_duration_since(since) >= INTERVAL;
        is_busy.then(|| (self.lag * 2).clamp(WAIT_MIN, WAIT_MAX))
    }
}

/// Owners that asked to be sent no work of some priorities for a time.
#[derive(Debug, Default)]
pub struct Holds {
    /// By instance, the least urgent priority that it still takes work of, by end of its hold.
    until: BTreeMap<id::Instance, BTreeMap<u8, Instant>>,
}

impl Holds {
    /// Records that an instance turned away work of a priority for `wait`.
    pub fn record(&mut self, instance: &id::Instance, priority: u8, wait: Duration, now: Instant) {
        self.until.retain(|_, holds| {
            holds.retain(|_, until| *until > now);
            !holds.is_empty()
        });
        let holds = self.until.entry(instance.clone()).or_default();
        holds.insert(priority, now + wait.min(WAIT_MAX));
    }

    /// Time for which an instance takes no work of this priority; `None` if it does. Work that is less
    /// urgent than what was turned away is held back with it.
    #[must_use]
    pub fn held_for(
        &self,
        instance: &id::Instance,
        priority: u8,
        now: Instant,
    ) -> Option<Duration> {
        let holds = self.until.get(instance)?;
        let until = holds.range(..=priority).map(|it| *it.1).max()?;
        Some(until.saturating_duration_since(now)).filter(|it| !it.is_zero())
    }
}
