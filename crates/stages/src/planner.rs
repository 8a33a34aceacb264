//! The planner: keeps the plans in progress and batches their waiting pieces into calls.

mod active;
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

use active::ActivePlan;
use active::PieceState;
use active::StepProgress;
use forecast::refusal_time;
use share::refused;

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

    /// Forgets the lost and slow calls of an upstream, because the path to it was at fault.
    pub fn forget_failures(&mut self, upstream: &id::Upstream) {
        for fleet in self.fleets.values_mut() {
            fleet.forget_failures(upstream);
        }
    }

    /// Number of pieces that wait for a call, over all services.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        let steps = self.plans.values().flat_map(|it| &it.steps);
        steps.map(StepProgress::waiting_count).sum()
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
        let steps = plan.steps.iter().map(|step| StepProgress {
            pieces: vec![PieceState::Waiting; step.pieces],
            ready_since: step.after.is_empty().then_some(now),
            last_call_end: None,
        });
        let active = ActivePlan {
            steps: steps.collect(),
            submitted_at: now,
            turn: self.take_turn(&plan, now),
            piece_failures: 0,
            is_delivered: false,
            plan,
        };
        let first_steps = active.plan.steps.iter().filter(|it| it.after.is_empty());
        let drain = first_steps
            .map(|it| self.drain_time(&it.service, active.plan.priority, now))
            .max()
            .unwrap_or_default();
        let end = self.expected_end(&active, &self.queue_times(now), now);
        if end > active.plan.deadline
            || now + self.fair_drain(&active, drain) > active.plan.deadline
        {
            let refused = refused(&active, drain);
            return Err(Refusal::TooLate(self.returns.refuse(refused, now)));
        }
        self.last_id += 1;
        let id = PlanId(self.last_id);
        self.plans.insert(id, active);
        Ok(id)
    }

    /// Removes a plan and frees its results: the client has disconnected, or the request has read
    /// the results.
    pub fn release(&mut self, id: PlanId) {
        let Some(active) = self.plans.remove(&id) else {
            return;
        };
        for (step, progress) in active.plan.steps.iter().zip(active.steps) {
            for piece in progress.pieces {
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
        self.free_read_inputs(now);
        let queues = self.queue_times(now);
        let ends = self.expected_ends(&queues, now);
        self.refuse_overdue(&ends, now);
        let services: Vec<id::Service> = self.fleets.keys().cloned().collect();
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

    fn refuse_overdue(&mut self, ends: &[(PlanId, Instant)], now: Instant) {
        let overdue: Vec<PlanId> = ends
            .iter()
            .filter(|(id, end)| refusal_time(&self.plans[id], *end, now) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let active = &self.plans[&id];
            let services = active.plan.steps.iter().map(|it| &it.service);
            let drain = services
                .map(|it| self.drain_time(it, active.plan.priority, now))
                .max()
                .unwrap_or_default();
            let refused = refused(active, drain);
            let wait = self.returns.refuse(refused, now);
            self.refuse(id, Refusal::TooLate(wait));
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
        let active = self.plans.values_mut().filter(|it| !it.is_delivered);
        let freed: Vec<_> = active.flat_map(|it| it.take_read_results(now)).collect();
        self.free_results(freed);
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
        for active in self.plans.values_mut().filter(|it| !it.is_delivered) {
            let mut is_missing = false;
            for progress in &mut active.steps {
                for piece in &mut progress.pieces {
                    if matches!(piece, PieceState::Done(producer, _) if producer == upstream) {
                        *piece = PieceState::Waiting;
                        is_missing = true;
                    }
                }
            }
            if is_missing {
                active.requeue_freed_inputs(now);
            }
        }
    }
}
