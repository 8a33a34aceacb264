//! What the coordinator of a roll-out knows: the counts of all instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::id;
use base::time::Bounded;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use tokio::time::Instant;

use crate::evidence;
use crate::evidence::Finding;
use crate::evidence::Tally;
use crate::order::Stage;
use crate::order::State;

/// Ages of the counts that the present ones are compared with, beside those since the order.
const WINDOWS: [Duration; 2] = [Duration::from_millis(1_000), Duration::from_millis(3_000)];
/// Age below which a report tells what an instance does now.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);

/// What an instance tells the coordinator.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// [`crate::order::Order::version`] of the order.
    pub order: u64,
    /// Time since the instance saw the order, or learned of it.
    #[serde_as(as = "Bounded")]
    pub elapsed: Duration,
    /// The stage that the instance obeys.
    pub stage: Option<Stage>,
    /// Its counts since it saw the order.
    pub tally: Tally,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    reported_at: Instant,
    report: Report,
}

/// Counts of all instances for one order.
#[derive(Debug)]
pub struct Desk {
    order: u64,
    entries: BTreeMap<id::Instance, Entry>,
    /// Counts of processes that have ended.
    retired: Tally,
    /// Earlier sums, oldest first.
    history: VecDeque<(Instant, Tally)>,
    /// When the order was seen, as far as any instance knows.
    ordered_at: Instant,
    opened_at: Instant,
    stage: Option<(Stage, Instant, Tally)>,
}

impl Desk {
    /// A desk without counts, which is opened now.
    #[must_use]
    pub fn new(order: u64, ordered_at: Instant, now: Instant) -> Desk {
        Desk {
            order,
            entries: BTreeMap::new(),
            retired: Tally::default(),
            history: VecDeque::new(),
            ordered_at,
            opened_at: now,
            stage: None,
        }
    }

    /// The order that the counts are for.
    #[must_use]
    pub fn order(&self) -> u64 {
        self.order
    }

    /// Records the report of an instance. An earlier or late one of the same process changes nothing.
    pub fn record(
        &mut self,
        instance: &id::Instance,
        incarnation: u64,
        report: Report,
        now: Instant,
    ) {
        if report.order != self.order {
            return;
        }
        self.record_elapsed(report.elapsed, now);
        let entry = Entry {
            incarnation,
            reported_at: now,
            report,
        };
        let before = self.entries.insert(instance.clone(), entry);
        if let Some(mut before) = before.filter(|it| it.incarnation != incarnation) {
            before.report.tally.close();
            self.retired.add(&before.report.tally);
        }
    }

    /// Records that the order is at least this old.
    pub fn record_elapsed(&mut self, elapsed: Duration, now: Instant) {
        if let Some(ordered_at) = now.checked_sub(elapsed) {
            self.ordered_at = self.ordered_at.min(ordered_at);
        }
    }

    /// Time since the order.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at)
    }

    /// Sums over all instances, each as of its latest report.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = self.retired.clone();
        for entry in self.entries.values() {
            total.add(&entry.report.tally);
        }
        total
    }

    /// Keeps the present sums for later comparisons.
    pub fn keep(&mut self, now: Instant) {
        let total = self.total();
        self.history.push_back((now, total));
        let oldest = WINDOWS.iter().max().copied().unwrap_or_default();
        let is_spare = |second: Option<&(Instant, Tally)>| {
            second.is_some_and(|it| now.saturating_duration_since(it.0) >= oldest)
        };
        while is_spare(self.history.get(1)) {
            self.history.pop_front();
        }
    }

    /// A fault of the new version, by the counts of a short time, a longer one or all of it.
    #[must_use]
    pub fn finding(&self, now: Instant) -> Option<Finding> {
        let total = self.total();
        let windows = WINDOWS.iter().filter_map(|age| {
            let mut history = self.history.iter().rev();
            history.find(|it| now.saturating_duration_since(it.0) >= *age)
        });
        let mut windows = windows.map(|it| total.since(&it.1));
        let recent = windows.find_map(|it| evidence::judge(&it, &total));
        recent.or_else(|| evidence::judge(&total, &total))
    }

    /// Time since the desk was opened.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.opened_at)
    }

    /// Time since the stage of `state` began and what was counted in it; what was counted since the
    /// order, if another instance began it.
    pub fn in_stage(&mut self, state: &State, now: Instant) -> (Duration, Tally) {
        let total = self.total();
        let (_, began_at, before) = match self.stage.take() {
            Some(known) if known.0 == state.stage => self.stage.insert(known),
            Some(_) => self.stage.insert((state.stage, now, total.clone())),
            None => {
                let time = self.elapsed(now).saturating_sub(state.elapsed);
                let began_at = now.checked_sub(time).unwrap_or(now);
                self.stage.insert((state.stage, began_at, Tally::default()))
            }
        };
        (
            now.saturating_duration_since(*began_at),
            total.since(before),
        )
    }

    /// Whether all these instances obey [`Stage::Sealed`], and none has anything under way at the old
    /// version.
    pub fn is_old_idle<'a>(
        &self,
        instances: impl IntoIterator<Item = &'a id::Instance>,
        now: Instant,
    ) -> bool {
        instances.into_iter().all(|it| {
            let entry = self.entries.get(it);
            entry.is_some_and(|it| {
                now.saturating_duration_since(it.reported_at) < REPORT_AGE_MAX
                    && it.report.stage >= Some(Stage::Sealed)
                    && it.report.tally.old_open == 0
            })
        })
    }
}
