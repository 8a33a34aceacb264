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

use crate::shard::Shard;

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
/// Age up to which a queue wait that an owner reported is used.
const WAIT_AGE_MAX: Duration = Duration::from_millis(500);
/// Age up to which a refusal of late work speaks for others: a queue of late work shrinks faster than it
/// drains, as it is refused.
const LATE_AGE_MAX: Duration = Duration::from_millis(100);

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

/// Requests whose waits are alike: those of one priority with the same steps, in one shard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The shard that runs the steps.
    pub shard: Shard,
    /// Services of the steps, in order.
    pub services: Vec<id::Service>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    wait: Duration,
    at: Instant,
}

impl Report {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// Queue waits that owners reported.
#[derive(Debug, Default)]
pub struct Waits {
    shards: BTreeMap<Shard, Report>,
    late: BTreeMap<Class, Report>,
}

impl Waits {
    /// Records the time in which the queue ahead of accepted work drains.
    pub fn record_accepted(&mut self, class: &Class, wait: Duration, now: Instant) {
        self.shards
            .insert(class.shard.clone(), Report { wait, at: now });
        self.late.remove(class);
    }

    /// Records the time in which the queue ahead of work drains that was refused as late.
    pub fn record_late(&mut self, class: Class, wait: Duration, now: Instant) {
        self.late.retain(|_, it| it.age(now) < LATE_AGE_MAX);
        self.late.insert(class, Report { wait, at: now });
    }

    /// The shard's last reported wait; zero without a recent one.
    #[must_use]
    pub fn of_shard(&self, shard: &Shard, now: Instant) -> Duration {
        let report = self.shards.get(shard);
        let report = report.filter(|it| it.age(now) < WAIT_AGE_MAX);
        report.map_or(Duration::ZERO, |it| it.wait)
    }

    /// The least time for which work of a class waits by a report of a moment ago, if that is longer
    /// than `time_left`: even if nothing has joined its queue since, it can't be in time.
    #[must_use]
    pub fn too_late(&self, class: &Class, time_left: Duration, now: Instant) -> Option<Duration> {
        let report = self.late.get(class)?;
        let remaining = report.wait.saturating_sub(report.age(now));
        (report.age(now) < LATE_AGE_MAX && remaining > time_left).then_some(remaining)
    }
}
