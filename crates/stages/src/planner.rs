//! The planner: keeps the plans in progress and batches their waiting pieces into calls.

mod active;
mod backlog;
mod forecast;
mod form;
mod outcome;
mod share;

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use tokio::time::Instant;

use crate::call::Call;
use crate::call::Item;
use crate::fairness;
use crate::fleet::Fleet;
use crate::fleet::Replica;
use crate::fleet::UpstreamState;
use crate::plan;
use crate::plan::Handle;
use crate::plan::Plan;
use crate::plan::Prepared;
use crate::plan::Refusal;
use crate::rank::SchedulingPolicy;
use crate::returns::Returns;
use crate::speed::Percent;

use active::ActivePlan;
use active::PieceState;
use active::StepProgress;
use backlog::Backlog;
use forecast::refusal_time;
use share::refused;

pub use backlog::Count;
pub use backlog::Counts;

/// Interval at which the queue is scanned while pieces wait: pieces may become eligible for
/// upstreams in other zones, or unable to end in time.
const QUEUE_SCAN_INTERVAL: Duration = Duration::from_millis(30);

/// Identifies a plan within its planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

#[derive(Debug)]
struct InFlightCall {
    service: id::Service,
    upstream: id::Upstream,
    started_ms: u64,
    items: Vec<Item>,
    reserved_bytes: u64,
    sent_at: Instant,
}

/// Scheduler of the step services that one owner serves.
#[derive(Debug, Default)]
pub struct Planner {
    fleets: BTreeMap<id::Service, Fleet>,
    plans: BTreeMap<PlanId, ActivePlan>,
    calls: BTreeMap<u64, InFlightCall>,
    unused_results: Vec<(id::Upstream, Handle)>,
    ended: Vec<(PlanId, Result<Prepared, Refusal>)>,
    policy: SchedulingPolicy,
    /// What workspaces have used of each service.
    ledgers: BTreeMap<id::Service, fairness::Ledger>,
    /// Pieces sent since the last call of [`Planner::take_sent`], by workspace.
    sent: BTreeMap<Option<id::Workspace>, u64>,
    /// When refused clients return.
    returns: Returns,
    last_id: u64,
    backlog: Backlog,
    /// When all waiting plans are checked for being overdue next.
    scan_at: Option<Instant>,
    visits: u64,
}

impl Planner {
    /// Creates a planner without services.
    #[must_use]
    pub fn new() -> Planner {
        Planner::default()
    }

    /// Creates a planner that orders waiting work by `policy`.
    #[must_use]
    pub fn with_policy(policy: SchedulingPolicy) -> Planner {
        Planner {
            policy,
            ..Planner::default()
        }
    }

    /// Sets the limits and upstreams of one service. Results kept by upstreams that have left or
    /// restarted are computed again.
    pub fn configure(
        &mut self,
        service: &id::Service,
        limits: BatchLimits,
        replicas: Vec<Replica>,
        now: Instant,
    ) {
        let fleet = self
            .fleets
            .entry(service.clone())
            .or_insert_with(|| Fleet::new(limits));
        fleet.limits = limits;
        self.backlog.slot(service);
        for upstream in fleet.update(replicas) {
            self.discard_results_of(&upstream, now);
        }
    }

    /// Stops sending calls to an upstream until `until`, as it requested.
    pub fn hold_off(&mut self, upstream: &id::Upstream, until: Instant) {
        for fleet in self.fleets.values_mut() {
            fleet.hold_off(upstream, until);
        }
    }

    /// Records how fast an upstream said that it works at the moment.
    pub fn record_speed(&mut self, upstream: &id::Upstream, percent: Percent, now: Instant) {
        for fleet in self.fleets.values_mut() {
            fleet.record_told(upstream, percent, now);
        }
    }

    /// Forgets the lost and slow calls of an upstream, because the path to it was at fault.
    pub fn forget_failures(&mut self, upstream: &id::Upstream) {
        for fleet in self.fleets.values_mut() {
            fleet.forget_failures(upstream);
        }
    }

    /// Number of pieces that wait for a call, over all services.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        self.backlog.waiting_pieces()
    }

    /// Waiting pieces by service and priority, as counted with each change.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.backlog.counts()
    }

    /// The same as [`Planner::counts`] after a dispatch at `now`, computed from all pieces of all plans.
    /// A difference is a fault.
    #[must_use]
    pub fn recount_all(&self, now: Instant) -> Counts {
        let mut counts = Counts::new();
        for active in self.plans.values() {
            for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
                let counted = progress.recount(active.plan.soft_deadline <= now).count;
                if counted.waiting > 0 {
                    let key = (step.service.clone(), active.plan.priority);
                    let count = counts.entry(key).or_default();
                    count.waiting += counted.waiting;
                    count.in_time += counted.in_time;
                }
            }
        }
        counts
    }

    /// Number of plans that were looked at so far, for any reason.
    #[must_use]
    pub fn visits(&self) -> u64 {
        self.visits
    }

    /// Number of plans that are in progress or not yet released.
    #[must_use]
    pub fn plan_count(&self) -> usize {
        self.plans.len()
    }

    /// Accepts a plan for execution.
    ///
    /// # Errors
    ///
    /// Fails if a service has no usable upstream, if the plan is not expected to end before its
    /// deadline, if it has too many pieces or if a step reads the results of one that does not
    /// precede it.
    pub fn submit(&mut self, plan: Plan, now: Instant) -> Result<PlanId, Refusal> {
        if plan::has_too_many_pieces(plan.steps.iter().map(|it| it.pieces)) {
            return Err(Refusal::Failed);
        }
        let mut steps = plan.steps.iter().enumerate();
        if steps.any(|(idx, it)| it.after.iter().any(|after| *after >= idx)) {
            return Err(Refusal::Failed);
        }
        for step in &plan.steps {
            let fleet = self.fleets.get(&step.service);
            if fleet.is_none_or(|it| it.usable_count() == 0) {
                return Err(Refusal::NoUpstream);
            }
        }
        let steps = plan.steps.iter().map(|step| {
            let ready_since = step.after.is_empty().then_some(now);
            StepProgress::new(step.pieces, ready_since, self.backlog.slot(&step.service))
        });
        let mut active = ActivePlan {
            steps: steps.collect(),
            submitted_at: now,
            turn: self.take_turn(&plan, now),
            piece_failures: 0,
            is_delivered: false,
            is_past_aim: false,
            plan,
        };
        self.mark_past_aim(now);
        self.visits += 1;
        let drain = self.drain_time_of(&active.plan, |it| it.after.is_empty(), now);
        let end = self.forecast(Some(&active.plan), now).expected_end(&active);
        let fair_drain = self.fair_drain(&active, drain);
        if end > active.plan.deadline || now + fair_drain > active.plan.deadline {
            let refused = refused(&active, drain);
            return Err(Refusal::TooLate(self.returns.refuse(refused, now)));
        }
        self.last_id += 1;
        let id = PlanId(self.last_id);
        self.backlog.insert(id, &mut active, now);
        self.plans.insert(id, active);
        Ok(id)
    }

    /// Removes a plan and frees its results: the client has disconnected, or the request has read
    /// the results.
    pub fn release(&mut self, id: PlanId) {
        let Some(active) = self.plans.remove(&id) else {
            return;
        };
        self.backlog.remove(id, &active);
        for (step, progress) in active.plan.steps.iter().zip(active.steps) {
            for piece in progress.into_pieces() {
                if let PieceState::Done(upstream, handle) = piece {
                    self.release_capacity(&upstream, step.result_bytes);
                    self.unused_results.push((upstream, handle));
                }
            }
        }
    }

    /// Fingerprints of the requests whose plans are not yet released.
    pub fn fingerprints(&self) -> impl Iterator<Item = id::Fingerprint> {
        self.plans.values().map(|it| it.plan.fingerprint)
    }

    /// Ends, with [`Refusal::Failed`], the undelivered plans of a request that must not run any
    /// more.
    pub fn abort_request(&mut self, fingerprint: id::Fingerprint) {
        let plans = self.plans.iter();
        let plans = plans.filter(|(_, it)| it.plan.fingerprint == fingerprint && !it.is_delivered);
        for id in plans.map(|it| *it.0).collect::<Vec<_>>() {
            self.refuse(id, Refusal::Failed);
        }
    }

    /// Refuses the plans that have waited too long and returns the calls to send now.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Call> {
        self.mark_past_aim(now);
        self.free_read_inputs(now);
        let services = self.fleets.iter();
        let services = services.filter(|(service, fleet)| {
            let queue = self.backlog.queue(service);
            queue.is_some_and(|it| !it.ready.is_empty()) && !fleet.available(now).is_empty()
        });
        let services: Vec<id::Service> = services.map(|it| it.0.clone()).collect();
        let is_scan_due = self.scan_at.is_none_or(|it| it <= now);
        if services.is_empty() && !is_scan_due {
            return Vec::new();
        }
        let ends = self.expected_ends(&services, is_scan_due, now);
        self.refuse_overdue(&ends, now);
        if is_scan_due {
            self.scan_at = Some(now + QUEUE_SCAN_INTERVAL);
        }
        let mut calls = Vec::new();
        for service in services {
            let mut candidates = self.candidates(&service, &ends, now);
            while let Some(call) = self.form_call(&service, &mut candidates, now) {
                calls.push(call);
            }
        }
        calls
    }

    /// Plans that have ended since the previous call of this method.
    pub fn take_ended(&mut self) -> Vec<(PlanId, Result<Prepared, Refusal>)> {
        std::mem::take(&mut self.ended)
    }

    /// Results that are no longer needed, with the upstreams that keep them; the driver frees them
    /// there.
    pub fn take_unused_results(&mut self) -> Vec<(id::Upstream, Handle)> {
        std::mem::take(&mut self.unused_results)
    }

    /// When [`Planner::dispatch`] must be called again even if no event occurs before.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let unblocked_at = self
            .fleets
            .values()
            .filter_map(|it| it.next_unblocked_at(now));
        let has_waiting = self.waiting_pieces() > 0;
        let scan = has_waiting.then_some(now + QUEUE_SCAN_INTERVAL);
        unblocked_at.chain(scan).min()
    }

    /// Expected times of the responses to the plans that are ready at one of `services`, or to all
    /// plans that have waiting pieces; in the order of the plans.
    fn expected_ends(
        &mut self,
        services: &[id::Service],
        is_for_all: bool,
        now: Instant,
    ) -> Vec<(PlanId, Instant)> {
        let forecast = self.forecast(None, now);
        let end = |id: PlanId| Some((id, forecast.expected_end(self.plans.get(&id)?)));
        let waiting = &self.backlog.waiting_plans;
        let ends: Vec<(PlanId, Instant)> = if is_for_all {
            waiting.iter().copied().filter_map(end).collect()
        } else {
            let queues = services.iter().filter_map(|it| self.backlog.queue(it));
            let mut plans: Vec<PlanId> = queues.flat_map(|it| &it.ready).map(|it| it.0).collect();
            plans.sort_unstable();
            plans.dedup();
            plans.into_iter().filter_map(end).collect()
        };
        self.visits += ends.len() as u64;
        ends
    }

    fn refuse_overdue(&mut self, ends: &[(PlanId, Instant)], now: Instant) {
        let overdue: Vec<PlanId> = ends
            .iter()
            .filter(|(id, end)| refusal_time(&self.plans[id], *end, now) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let active = &self.plans[&id];
            let drain = self.drain_time_of(&active.plan, |_| true, now);
            let refused = refused(active, drain);
            let wait = self.returns.refuse(refused, now);
            self.refuse(id, Refusal::TooLate(wait));
        }
    }

    /// Updates the counts after a change of a plan.
    fn recount(&mut self, id: PlanId) {
        if let Some(active) = self.plans.get_mut(&id) {
            self.backlog.recount(id, active);
        }
    }

    /// Takes the plans whose soft deadline has passed out of the queues of work in time.
    fn mark_past_aim(&mut self, now: Instant) {
        while let Some(id) = self.backlog.pop_past_aim(now) {
            self.visits += 1;
            if let Some(active) = self.plans.get_mut(&id) {
                active.is_past_aim = true;
            }
            self.recount(id);
        }
    }

    fn refuse(&mut self, id: PlanId, refusal: Refusal) {
        self.release(id);
        self.ended.push((id, Err(refusal)));
    }

    fn upstream_state(&self, upstream: &id::Upstream) -> Option<&UpstreamState> {
        self.fleets
            .values()
            .find_map(|it| it.upstreams.get(upstream))
    }

    /// Frees results that all calls which read them have fetched.
    fn free_read_inputs(&mut self, now: Instant) {
        for id in self.backlog.take_unchecked(now) {
            let active = self.plans.get_mut(&id).filter(|it| !it.is_delivered);
            self.visits += 1;
            if let Some(active) = active {
                let freed = active.take_read_results(now);
                self.backlog.recount_checked(id, active);
                self.free_results(freed);
            }
        }
    }

    fn free_results(&mut self, results: Vec<(id::Upstream, Handle, u64)>) {
        for (upstream, handle, bytes) in results {
            self.release_capacity(&upstream, bytes);
            self.unused_results.push((upstream, handle));
        }
    }

    fn release_capacity(&mut self, upstream: &id::Upstream, bytes: u64) {
        let fleets = self.fleets.values_mut();
        for state in fleets.filter_map(|it| it.upstreams.get_mut(upstream)) {
            state.reserved_bytes = state.reserved_bytes.saturating_sub(bytes);
        }
    }

    /// Requeues the pieces whose results were kept by an upstream that has left or restarted.
    fn discard_results_of(&mut self, upstream: &id::Upstream, now: Instant) {
        self.unused_results.retain(|it| it.0 != *upstream);
        for (id, active) in self.plans.iter_mut().filter(|it| !it.1.is_delivered) {
            let mut is_missing = false;
            for progress in &mut active.steps {
                for piece in 0..progress.pieces().len() {
                    let state = &progress.pieces()[piece];
                    if matches!(state, PieceState::Done(producer, _) if producer == upstream) {
                        progress.set(piece, PieceState::Waiting);
                        is_missing = true;
                    }
                }
            }
            if is_missing {
                active.requeue_freed_inputs(now);
                self.backlog.recount(*id, active);
            }
        }
    }
}
