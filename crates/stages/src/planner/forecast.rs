//! Estimates of response times and queue drain times, and the time at which late work is refused.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::Planner;
use super::active::ActivePlan;
use super::active::StepProgress;
use super::share::fair_queue;
use crate::fairness::Ledger;
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::plan::Step;

/// Time that late work waits beyond its soft deadline before it is refused, so that the client
/// learns early enough to retry. The same for all routes: otherwise late work of routes with long
/// deadlines would be served while more urgent requests are refused.
const LATE_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Like [`LATE_WAIT_MAX`], for plans of which some pieces have been sent: refusing them wastes more
/// work.
const LATE_WAIT_MAX_STARTED: Duration = Duration::from_millis(2_500);

/// What the expected times at one service are computed from, at one point in time.
struct ServiceTimes<'a> {
    hold_off: Duration,
    call_time: Duration,
    wait: Duration,
    /// Drain time of the waiting work that is ready and whose soft deadline has not passed, by
    /// priority, each with that of all more urgent ones.
    queues: Vec<(u8, Duration)>,
    ledger: Option<&'a Ledger>,
}

impl ServiceTimes<'_> {
    /// Drain time of the work that precedes a step of `plan`: that of the same or a more urgent
    /// priority, without what is beyond the fair parts of other workspaces.
    fn queue_ahead(&self, plan: &Plan) -> Duration {
        let mut queues = self.queues.iter().rev();
        let ahead = queues.find(|it| it.0 <= plan.priority);
        let ahead = ahead.map_or(Duration::ZERO, |it| it.1);
        fair_queue(self.ledger, plan, ahead)
    }
}

/// [`ServiceTimes`] by queue; `None` for services that were not asked for.
pub(super) struct Forecast<'a> {
    times: Vec<Option<ServiceTimes<'a>>>,
    now: Instant,
}

impl Planner {
    /// Time in which the queued work of this and more urgent priorities drains.
    #[must_use]
    pub fn drain_time(&self, service: &id::Service, priority: u8, now: Instant) -> Duration {
        let Some(fleet) = self.fleets.get(service) else {
            return Duration::ZERO;
        };
        let queue = self.backlog.queue(service).into_iter();
        let counts = queue.flat_map(|it| it.by_priority.range(..=priority));
        let pieces: usize = counts.map(|(_, it)| it.waiting).sum();
        let calls = pieces.div_ceil(fleet.limits.batch_max.max(1));
        let call_rounds = calls.div_ceil(fleet.accepting_count(now).max(1));
        fleet.hold_off_time(now) + fleet.average_call_time() * call_rounds as u32
    }

    /// Drain time of the plan's steps that `is_counted` selects, the longest of them.
    pub(super) fn drain_time_of(
        &self,
        plan: &Plan,
        is_counted: impl Fn(&Step) -> bool,
        now: Instant,
    ) -> Duration {
        let steps = plan.steps.iter().filter(|it| is_counted(it));
        let times = steps.map(|it| self.drain_time(&it.service, plan.priority, now));
        times.max().unwrap_or_default()
    }

    /// Current times of all services, or of those of `plan`. Plans whose soft deadline has passed must
    /// have been taken out of the counts before.
    pub(super) fn forecast(&self, plan: Option<&Plan>, now: Instant) -> Forecast<'_> {
        let mut times = Vec::new();
        for (service, slot) in self.backlog.services() {
            if times.len() <= slot {
                times.resize_with(slot + 1, || None);
            }
            let is_asked = plan.is_none_or(|it| it.steps.iter().any(|it| it.service == *service));
            let fleet = self.fleets.get(service).filter(|_| is_asked);
            let ledger = self.ledgers.get(service);
            times[slot] = fleet.map(|it| ServiceTimes {
                ledger,
                ..self.service_times(it, slot, now)
            });
        }
        Forecast { times, now }
    }

    fn service_times(&self, fleet: &Fleet, slot: usize, now: Instant) -> ServiceTimes<'_> {
        let concurrent_pieces = fleet.limits.batch_max.max(1) * fleet.accepting_count(now).max(1);
        let time_per_piece = fleet.full_call_time() / concurrent_pieces as u32;
        let mut total = Duration::ZERO;
        let counts = self.backlog.queue_at(slot).by_priority.iter();
        let queues = counts.map(|(priority, count)| {
            total += time_per_piece * count.in_time as u32;
            (*priority, total)
        });
        ServiceTimes {
            hold_off: fleet.hold_off_time(now),
            call_time: fleet.average_call_time().max(fleet.nominal_time(1)),
            wait: fleet.average_wait_time(),
            queues: queues.collect(),
            ledger: None,
        }
    }
}

impl Forecast<'_> {
    /// Expected time of the response if everything that is ready is sent now.
    pub(super) fn expected_end(&self, active: &ActivePlan) -> Instant {
        let mut ends: Vec<Instant> = Vec::with_capacity(active.steps.len());
        let mut last = self.now;
        for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
            let inputs_done_at = step.after.iter().map(|it| ends[*it]).max();
            let end = self.expected_step_end(&active.plan, progress, inputs_done_at);
            ends.push(end);
            last = last.max(end);
        }
        last + active.plan.time_after_steps
    }

    fn expected_step_end(
        &self,
        plan: &Plan,
        progress: &StepProgress,
        inputs_done_at: Option<Instant>,
    ) -> Instant {
        let now = self.now;
        if progress.is_done() {
            return now;
        }
        if progress.waiting_count() == 0 {
            return progress.last_call_end.unwrap_or(now).max(now);
        }
        let Some(times) = self.times.get(progress.slot).and_then(Option::as_ref) else {
            return now;
        };
        match inputs_done_at {
            Some(at) if at > now => at + times.wait.max(times.queue_ahead(plan)) + times.call_time,
            _ => now + times.hold_off + times.call_time,
        }
    }
}

/// Time at which a plan that still waits is refused.
pub(super) fn refusal_time(active: &ActivePlan, expected_end: Instant, now: Instant) -> Instant {
    let time_needed = expected_end.saturating_duration_since(now);
    let deadline = active.plan.deadline;
    let latest_start = deadline.checked_sub(time_needed).unwrap_or(now);
    let mut steps = active.steps.iter();
    let is_unstarted = steps.all(|it| it.waiting_count() == it.pieces().len());
    let late_wait = if is_unstarted {
        LATE_WAIT_MAX
    } else {
        LATE_WAIT_MAX_STARTED
    };
    latest_start.min(active.plan.soft_deadline.max(active.submitted_at) + late_wait)
}
