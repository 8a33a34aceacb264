//! Estimates of response times and queue drain times, and the time at which late work is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::PlanId;
use super::Planner;
use super::active::ActivePlan;
use super::active::StepProgress;
use crate::plan::Step;

/// Time that late work waits beyond its soft deadline before it is refused, so that the client
/// learns early enough to retry. The same for all routes: otherwise late work of routes with long
/// deadlines would be served while more urgent requests are refused.
const LATE_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Like [`LATE_WAIT_MAX`], for plans of which some pieces have been sent: refusing them wastes more
/// work.
const LATE_WAIT_MAX_STARTED: Duration = Duration::from_millis(2_500);

/// Drain time, by service and priority, of the waiting work that is ready and whose soft deadline
/// has not passed.
pub(super) type QueueTimes = BTreeMap<id::Service, BTreeMap<u8, Duration>>;

impl Planner {
    /// Time in which the queued work of this and more urgent priorities drains.
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
            .map(|(_, progress)| progress.waiting_count())
            .sum();
        let calls = pieces.div_ceil(fleet.limits.batch_max.max(1));
        let call_rounds = calls.div_ceil(fleet.accepting_count(now).max(1));
        fleet.hold_off_time(now) + fleet.average_call_time() * call_rounds as u32
    }

    /// Current drain times of the work that waits at each service.
    pub(super) fn queue_times(&self, now: Instant) -> QueueTimes {
        let mut queues = QueueTimes::new();
        let in_time = self.plans.values().filter(|it| it.plan.soft_deadline > now);
        for active in in_time.filter(|it| !it.is_delivered) {
            for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
                if progress.ready_since.is_none() {
                    continue;
                }
                let time =
                    self.queue_time_per_piece(&step.service, now) * progress.waiting_count() as u32;
                let queue = queues.entry(step.service.clone()).or_default();
                *queue.entry(active.plan.priority).or_default() += time;
            }
        }
        queues
    }

    /// Time that each waiting piece adds to a service's queue.
    fn queue_time_per_piece(&self, service: &id::Service, now: Instant) -> Duration {
        let Some(fleet) = self.fleets.get(service) else {
            return Duration::ZERO;
        };
        let concurrent_pieces = fleet.limits.batch_max.max(1) * fleet.accepting_count(now).max(1);
        fleet.full_call_time() / concurrent_pieces as u32
    }

    /// Expected time of the response if everything that is ready is sent now.
    pub(super) fn expected_end(
        &self,
        active: &ActivePlan,
        queues: &QueueTimes,
        now: Instant,
    ) -> Instant {
        let mut ends: Vec<Instant> = Vec::with_capacity(active.steps.len());
        let mut last = now;
        for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
            let inputs_done_at = step.after.iter().map(|it| ends[*it]).max();
            let end = self.expected_step_end(
                step,
                progress,
                inputs_done_at,
                self.fair_queue(active, step, queue_ahead(queues, active, step)),
                now,
            );
            ends.push(end);
            last = last.max(end);
        }
        last + active.plan.time_after_steps
    }

    fn expected_step_end(
        &self,
        step: &Step,
        progress: &StepProgress,
        inputs_done_at: Option<Instant>,
        queue: Duration,
        now: Instant,
    ) -> Instant {
        if progress.is_done() {
            return now;
        }
        if progress.waiting_count() == 0 {
            return progress.last_call_end.unwrap_or(now).max(now);
        }
        let Some(fleet) = self.fleets.get(&step.service) else {
            return now;
        };
        let time = fleet
            .average_call_time()
            .max(fleet.nominal_time(step.pieces.min(1)));
        match inputs_done_at {
            Some(at) if at > now => at + fleet.average_wait_time().max(queue) + time,
            _ => now + fleet.hold_off_time(now) + time,
        }
    }

    /// Expected times of the responses to all plans that have waiting pieces.
    pub(super) fn expected_ends(
        &self,
        queues: &QueueTimes,
        now: Instant,
    ) -> Vec<(PlanId, Instant)> {
        let waiting = self
            .plans
            .iter()
            .filter(|(_, it)| !it.is_delivered)
            .filter(|(_, it)| it.steps.iter().any(|step| step.waiting_count() > 0));
        let ends = waiting.map(|(id, it)| (*id, self.expected_end(it, queues, now)));
        ends.collect()
    }
}

/// Drain time of the work at the step's service that precedes the plan: that of the same or a more
/// urgent priority.
fn queue_ahead(queues: &QueueTimes, active: &ActivePlan, step: &Step) -> Duration {
    let queue = queues.get(&step.service).into_iter();
    let ahead = queue.flat_map(|it| it.range(..=active.plan.priority));
    ahead.map(|it| *it.1).sum()
}

/// Time at which a plan that still waits is refused.
pub(super) fn refusal_time(active: &ActivePlan, expected_end: Instant, now: Instant) -> Instant {
    let time_needed = expected_end.saturating_duration_since(now);
    let deadline = active.plan.deadline;
    let latest_start = deadline.checked_sub(time_needed).unwrap_or(now);
    let mut steps = active.steps.iter();
    let is_unstarted = steps.all(|it| it.waiting_count() == it.pieces.len());
    let late_wait = if is_unstarted {
        LATE_WAIT_MAX
    } else {
        LATE_WAIT_MAX_STARTED
    };
    latest_start.min(active.plan.soft_deadline.max(active.submitted_at) + late_wait)
}
