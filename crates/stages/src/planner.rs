//! The planner: plans in progress, and the order in which they get on.

mod active;
mod forecast;
mod form;
mod outcome;

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use tokio::time::Instant;

use crate::call::Call;
use crate::call::Item;
use crate::fleet::Fleet;
use crate::fleet::Replica;
use crate::fleet::Slot;
use crate::plan::Handle;
use crate::plan::Plan;
use crate::plan::Prepared;
use crate::plan::Refusal;
use crate::rank::SchedulingPolicy;

use active::Active;
use active::Piece;
use active::Progress;
use forecast::gives_up;

/// While pieces wait, the queue is looked through this often: for upstreams in other zones, and for
/// work that can no longer end in time.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Identifies a plan within its planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub u64);

#[derive(Debug)]
struct InFlight {
    service: id::Service,
    upstream: id::Upstream,
    started_ms: u64,
    items: Vec<Item>,
    bytes: u64,
    sent: Instant,
}

/// State of the owner.
#[derive(Debug, Default)]
pub struct Planner {
    fleets: BTreeMap<id::Service, Fleet>,
    plans: BTreeMap<PlanId, Active>,
    calls: BTreeMap<u64, InFlight>,
    unused: Vec<(id::Upstream, Handle)>,
    ended: Vec<(PlanId, Result<Prepared, Refusal>)>,
    policy: SchedulingPolicy,
    next: u64,
}

impl Planner {
    /// An owner without services.
    #[must_use]
    pub fn new() -> Planner {
        Planner::default()
    }

    /// An owner that orders waiting work by a policy of the caller's.
    #[must_use]
    pub fn with_policy(policy: SchedulingPolicy) -> Planner {
        Planner {
            policy,
            ..Planner::default()
        }
    }

    /// Sets the limits and upstreams of one service.
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
            self.forget(&upstream, now);
        }
    }

    /// Sends an upstream no call before `until`: it wants none.
    pub fn hold_off(&mut self, upstream: &id::Upstream, until: Instant) {
        for fleet in self.fleets.values_mut() {
            fleet.hold_off(upstream, until);
        }
    }

    /// Pieces that wait for a call, over all services.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        let steps = self.plans.values().flat_map(|it| &it.steps);
        steps.map(Progress::waiting).sum()
    }

    /// Plans in progress or not yet released.
    #[must_use]
    pub fn plan_count(&self) -> usize {
        self.plans.len()
    }

    /// Takes a plan on.
    ///
    /// # Errors
    ///
    /// Refuses at once what cannot end before its deadline.
    pub fn submit(&mut self, plan: Plan, now: Instant) -> Result<PlanId, Refusal> {
        for step in &plan.steps {
            let fleet = self.fleets.get(&step.service);
            if fleet.is_none_or(|it| it.registered() == 0) {
                return Err(Refusal::NoUpstream);
            }
        }
        let steps = plan.steps.iter().map(|step| Progress {
            pieces: vec![Piece::Waiting; step.pieces],
            ready_since: step.after.is_empty().then_some(now),
            called_until: None,
        });
        let active = Active {
            steps: steps.collect(),
            submitted: now,
            failures: 0,
            is_delivered: false,
            plan,
        };
        let first = active.plan.steps.iter().filter(|it| it.after.is_empty());
        let drain = first
            .map(|it| self.drain_time(&it.service, active.plan.priority, now))
            .max()
            .unwrap_or_default();
        let end = self.expected_end(&active, &self.queues(now), now);
        if end > active.plan.deadline || now + drain > active.plan.deadline {
            return Err(Refusal::TooLate(drain));
        }
        self.next += 1;
        let id = PlanId(self.next);
        self.plans.insert(id, active);
        Ok(id)
    }

    /// Drops a plan: its client has gone, or its request has read the results.
    pub fn release(&mut self, id: PlanId) {
        let Some(active) = self.plans.remove(&id) else {
            return;
        };
        for (step, progress) in active.plan.steps.iter().zip(active.steps) {
            for piece in progress.pieces {
                if let Piece::Made(upstream, handle) = piece {
                    self.free_bytes(&upstream, step.result_bytes);
                    self.unused.push((upstream, handle));
                }
            }
        }
    }

    /// Requests with plans in progress.
    pub fn fingerprints(&self) -> impl Iterator<Item = id::Fingerprint> {
        self.plans.values().map(|it| it.plan.fingerprint)
    }

    /// Gives up the plans of a request that must not run any more.
    pub fn abort_request(&mut self, fingerprint: id::Fingerprint) {
        let plans = self.plans.iter();
        let plans = plans.filter(|(_, it)| it.plan.fingerprint == fingerprint && !it.is_delivered);
        for id in plans.map(|it| *it.0).collect::<Vec<_>>() {
            self.end(id, Refusal::Failed);
        }
    }

    /// Forms the calls that can be sent now.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Call> {
        self.free_read(now);
        let queues = self.queues(now);
        let ends = self.expected_ends(&queues, now);
        self.expire(&ends, now);
        let services: Vec<id::Service> = self.fleets.keys().cloned().collect();
        let mut calls = Vec::new();
        for service in services {
            let mut candidates = self.candidates(&service, &ends, now);
            while let Some(call) = self.form(&service, &mut candidates, now) {
                calls.push(call);
            }
        }
        calls
    }

    /// Plans that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<(PlanId, Result<Prepared, Refusal>)> {
        std::mem::take(&mut self.ended)
    }

    /// Results that nobody needs any more, with the upstreams that keep them.
    pub fn take_unused_results(&mut self) -> Vec<(id::Upstream, Handle)> {
        std::mem::take(&mut self.unused)
    }

    /// When [`Planner::dispatch`] has something to do again without a new event.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let opens = self.fleets.values().filter_map(|it| it.opens(now));
        let is_any_waiting = self.waiting_pieces() > 0;
        let look = is_any_waiting.then_some(now + LOOK_INTERVAL);
        opens.chain(look).min()
    }

    fn expire(&mut self, ends: &[(PlanId, Instant)], now: Instant) {
        let expired: Vec<PlanId> = ends
            .iter()
            .filter(|(id, end)| gives_up(&self.plans[id], *end, now) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let active = &self.plans[&id];
            let services = active.plan.steps.iter().map(|it| &it.service);
            let drain = services
                .map(|it| self.drain_time(it, active.plan.priority, now))
                .max()
                .unwrap_or_default();
            self.end(id, Refusal::TooLate(drain));
        }
    }

    fn end(&mut self, id: PlanId, refusal: Refusal) {
        self.release(id);
        self.ended.push((id, Err(refusal)));
    }

    fn slot(&self, upstream: &id::Upstream) -> Option<&Slot> {
        self.fleets.values().find_map(|it| it.slots.get(upstream))
    }

    /// Frees inputs that running calls have read.
    fn free_read(&mut self, now: Instant) {
        let active = self.plans.values_mut().filter(|it| !it.is_delivered);
        let read: Vec<_> = active.flat_map(|it| it.take_read(now)).collect();
        self.free(read);
    }

    fn free(&mut self, results: Vec<(id::Upstream, Handle, u64)>) {
        for (upstream, handle, bytes) in results {
            self.free_bytes(&upstream, bytes);
            self.unused.push((upstream, handle));
        }
    }

    fn free_bytes(&mut self, upstream: &id::Upstream, bytes: u64) {
        let slots = self.fleets.values_mut();
        for slot in slots.filter_map(|it| it.slots.get_mut(upstream)) {
            slot.bytes = slot.bytes.saturating_sub(bytes);
        }
    }

    /// Results of an upstream that has gone must be made anew.
    fn forget(&mut self, upstream: &id::Upstream, now: Instant) {
        self.unused.retain(|it| it.0 != *upstream);
        for active in self.plans.values_mut().filter(|it| !it.is_delivered) {
            let mut is_missing = false;
            for progress in &mut active.steps {
                for piece in &mut progress.pieces {
                    if matches!(piece, Piece::Made(maker, _) if maker == upstream) {
                        *piece = Piece::Waiting;
                        is_missing = true;
                    }
                }
            }
            if is_missing {
                active.restore_inputs(now);
            }
        }
    }
}
