//! Forecasts: when responses are expected, how long queues take, when waiting is in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::PlanId;
use super::Planner;
use super::active::Active;
use super::active::Progress;
use crate::plan::Step;

/// Late work waits this long beyond its aim before it is refused, so that the client hears early
/// enough to come back. It is the same for every kind: one with a long deadline would otherwise be
/// served late while more urgent ones are refused.
const LATE_HOLD: Duration = Duration::from_millis(1_000);

/// The same for work of which some is done: less is lost by waiting longer.
const LATE_HOLD_BEGUN: Duration = Duration::from_millis(2_500);

/// Time in which the work of each priority drains that waits at a service and can still be in time.
pub(super) type Queues = BTreeMap<id::Service, BTreeMap<u8, Duration>>;

impl Planner {
    /// Time in which the queue ahead of a priority drains.
    #[must_use]
    pub fn drain_time(&self, service: &id::Service, priority: u8, now: Instant) -> Duration {
        let Some(fleet) = self.fleets.get(service) else {
            return Duration::ZERO;
        };
        let plans = self
            .plans
            .values()
            .filter(|it| it.plan.priority <= priority);
        let pieces: usize = plans
            .flat_map(|it| it.plan.steps.iter().zip(&it.steps))
            .filter(|(step, _)| step.service == *service)
            .map(|(_, progress)| progress.waiting())
            .sum();
        let calls = pieces.div_ceil(fleet.limits.batch_max.max(1));
        let rounds = calls.div_ceil(fleet.usable(now).max(1));
        fleet.hold_time(now) + fleet.call_time() * rounds as u32
    }

    /// The work that waits at each service now.
    pub(super) fn queues(&self, now: Instant) -> Queues {
        let mut queues = Queues::new();
        let in_time = self.plans.values().filter(|it| it.plan.soft_deadline > now);
        for active in in_time.filter(|it| !it.is_delivered) {
            for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
                if progress.ready_since.is_none() {
                    continue;
                }
                let time = self.piece_time(&step.service, now) * progress.waiting() as u32;
                let queue = queues.entry(step.service.clone()).or_default();
                *queue.entry(active.plan.priority).or_default() += time;
            }
        }
        queues
    }

    /// Time that one more waiting piece adds to a queue.
    fn piece_time(&self, service: &id::Service, now: Instant) -> Duration {
        let Some(fleet) = self.fleets.get(service) else {
            return Duration::ZERO;
        };
        let at_once = fleet.limits.batch_max.max(1) * fleet.usable(now).max(1);
        fleet.full_call_time() / at_once as u32
    }

    /// When the response is expected if everything that can be called is called now.
    pub(super) fn expected_end(&self, active: &Active, queues: &Queues, now: Instant) -> Instant {
        let mut ends: Vec<Instant> = Vec::with_capacity(active.steps.len());
        let mut last = now;
        for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
            let start = step.after.iter().map(|it| ends[*it]).max();
            let end =
                self.expected_step_end(step, progress, start, ahead(queues, active, step), now);
            ends.push(end);
            last = last.max(end);
        }
        last + active.plan.time_after_steps
    }

    fn expected_step_end(
        &self,
        step: &Step,
        progress: &Progress,
        inputs: Option<Instant>,
        queue: Duration,
        now: Instant,
    ) -> Instant {
        if progress.is_done() {
            return now;
        }
        if progress.waiting() == 0 {
            return progress.called_until.unwrap_or(now).max(now);
        }
        let Some(fleet) = self.fleets.get(&step.service) else {
            return now;
        };
        let time = fleet.call_time().max(fleet.stated(step.pieces.min(1)));
        match inputs {
            Some(inputs) if inputs > now => inputs + fleet.wait_time().max(queue) + time,
            _ => now + fleet.hold_time(now) + time,
        }
    }

    /// When the response to each plan that waits for calls is expected.
    pub(super) fn expected_ends(&self, queues: &Queues, now: Instant) -> Vec<(PlanId, Instant)> {
        let waiting = self
            .plans
            .iter()
            .filter(|(_, it)| !it.is_delivered)
            .filter(|(_, it)| it.steps.iter().any(|step| step.waiting() > 0));
        let ends = waiting.map(|(id, it)| (*id, self.expected_end(it, queues, now)));
        ends.collect()
    }
}

/// Time in which the work at a step's service drains that goes before the plan.
fn ahead(queues: &Queues, active: &Active, step: &Step) -> Duration {
    let queue = queues.get(&step.service).into_iter();
    let ahead = queue.flat_map(|it| it.range(..=active.plan.priority));
    ahead.map(|it| *it.1).sum()
}

/// When a waiting plan is refused unless it gets on.
pub(super) fn gives_up(active: &Active, expected_end: Instant, now: Instant) -> Instant {
    let needed = expected_end.saturating_duration_since(now);
    let deadline = active.plan.deadline;
    let latest = deadline.checked_sub(needed).unwrap_or(now);
    let mut steps = active.steps.iter();
    let is_untouched = steps.all(|it| it.waiting() == it.pieces.len());
    let hold = if is_untouched {
        LATE_HOLD
    } else {
        LATE_HOLD_BEGUN
    };
    latest.min(active.plan.soft_deadline.max(active.submitted) + hold)
}
