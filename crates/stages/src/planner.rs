//! The planner: plans in progress, the formation of calls and what their outcomes change.

mod active;
mod form;

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::Pool;
use tokio::time::Instant;

use crate::call::Call;
use crate::call::Item;
use crate::call::ItemFailure;
use crate::call::Outcome;
use crate::fleet::Fleet;
use crate::fleet::Replica;
use crate::fleet::Slot;
use crate::plan::Handle;
use crate::plan::Plan;
use crate::plan::Prepared;
use crate::plan::Refusal;
use crate::rank::Order;

use active::Active;
use active::Piece;
use active::Progress;

/// Pieces of one plan that may fail before the plan is given up.
const FAILURES_MAX: u32 = 12;
/// While pieces wait, the queue is looked through this often: for upstreams in other zones, and for
/// work that can no longer end in time.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Late work waits this long beyond its aim before it is refused, so that the client hears early
/// enough to come back. It is the same for every kind: one with a long deadline would otherwise be
/// served late while more urgent ones are refused.
const LATE_HOLD: Duration = Duration::from_millis(1_000);

/// The same for work of which some is done: less is lost by waiting longer.
const LATE_HOLD_BEGUN: Duration = Duration::from_millis(2_500);

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
    order: Order,
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
    pub fn with_order(order: Order) -> Planner {
        Planner {
            order,
            ..Planner::default()
        }
    }

    /// Sets the limits and upstreams of one service.
    pub fn configure(
        &mut self,
        service: &id::Service,
        pool: Pool,
        replicas: Vec<Replica>,
        now: Instant,
    ) {
        let fleet = self
            .fleets
            .entry(service.clone())
            .or_insert_with(|| Fleet::new(pool));
        fleet.pool = pool;
        for upstream in fleet.update(replicas) {
            self.forget(&upstream, now);
        }
    }

    /// Pieces that wait for a call, over all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let steps = self.plans.values().flat_map(|it| &it.steps);
        steps.map(Progress::waiting).sum()
    }

    /// Plans in progress or not yet released.
    #[must_use]
    pub fn plans(&self) -> usize {
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
        let end = self.expected_end(&active, now);
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

    /// Forms the calls that can be sent now.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Call> {
        let ends = self.expected_ends(now);
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

    /// Takes in how a call ended.
    pub fn finish(&mut self, call: u64, outcome: Outcome, now: Instant) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        self.account(&call, &outcome, now);
        match outcome {
            Outcome::Done(results) => {
                let mut results = results.into_iter();
                for item in &call.items {
                    let result = results.next().unwrap_or(Err(ItemFailure::Failed));
                    self.finish_item(&call, item, result, now);
                }
            }
            Outcome::Rejected | Outcome::Unreachable => {
                for item in &call.items {
                    self.wait_again(item);
                }
            }
            Outcome::Lost => {
                for item in &call.items {
                    self.fail(item);
                }
            }
        }
    }

    /// Plans that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<(PlanId, Result<Prepared, Refusal>)> {
        std::mem::take(&mut self.ended)
    }

    /// Results that nobody needs any more, with the upstreams that keep them.
    pub fn take_unused(&mut self) -> Vec<(id::Upstream, Handle)> {
        std::mem::take(&mut self.unused)
    }

    /// When [`Planner::dispatch`] has something to do again without a new event.
    #[must_use]
    pub fn wakes(&self, now: Instant) -> Option<Instant> {
        let opens = self.fleets.values().filter_map(|it| it.opens(now));
        let is_any_waiting = self.waiting() > 0;
        let look = is_any_waiting.then_some(now + LOOK_INTERVAL);
        opens.chain(look).min()
    }

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
        let calls = pieces.div_ceil(fleet.pool.batch.max(1));
        let rounds = calls.div_ceil(fleet.usable(now).max(1));
        fleet.call_time() * rounds as u32
    }

    /// When the response is expected if everything that can be called is called now.
    fn expected_end(&self, active: &Active, now: Instant) -> Instant {
        let mut ends: Vec<Instant> = Vec::with_capacity(active.steps.len());
        let mut last = now;
        for (step, progress) in active.plan.steps.iter().zip(&active.steps) {
            let start = step.after.iter().map(|it| ends[*it]).max();
            let end = self.expected_step_end(step, progress, start, now);
            ends.push(end);
            last = last.max(end);
        }
        last + active.plan.tail
    }

    fn expected_step_end(
        &self,
        step: &crate::plan::Step,
        progress: &Progress,
        inputs: Option<Instant>,
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
            Some(inputs) if inputs > now => inputs + fleet.wait_time() + time,
            _ => now + time,
        }
    }

    /// When the response to each plan that waits for calls is expected.
    fn expected_ends(&self, now: Instant) -> Vec<(PlanId, Instant)> {
        let waiting = self
            .plans
            .iter()
            .filter(|(_, it)| !it.is_delivered)
            .filter(|(_, it)| it.steps.iter().any(|step| step.waiting() > 0));
        let ends = waiting.map(|(id, it)| (*id, self.expected_end(it, now)));
        ends.collect()
    }

    /// When a waiting plan is refused unless it gets on.
    fn gives_up(active: &Active, expected_end: Instant, now: Instant) -> Instant {
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
        latest.min(active.plan.aim.max(active.submitted) + hold)
    }

    fn expire(&mut self, ends: &[(PlanId, Instant)], now: Instant) {
        let expired: Vec<PlanId> = ends
            .iter()
            .filter(|(id, end)| Planner::gives_up(&self.plans[id], *end, now) <= now)
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

    /// Updates what is known of the upstream from how a call ended.
    fn account(&mut self, call: &InFlight, outcome: &Outcome, now: Instant) {
        let Some(fleet) = self.fleets.get_mut(&call.service) else {
            return;
        };
        let took = now.saturating_duration_since(call.sent);
        let pieces = call.items.len();
        match outcome {
            Outcome::Done(_) => fleet.ended(&call.upstream, pieces, took, now),
            Outcome::Rejected => fleet.rejected(&call.upstream, now),
            Outcome::Unreachable => fleet.unreachable(&call.upstream, now),
            Outcome::Lost => {
                fleet.ended(&call.upstream, pieces, took, now);
                fleet.unreachable(&call.upstream, now);
            }
        }
        let is_all_made =
            matches!(outcome, Outcome::Done(results) if results.iter().all(Result::is_ok));
        let slot = fleet.slots.get_mut(&call.upstream);
        let Some(slot) = slot.filter(|it| it.replica.started_ms == call.started_ms) else {
            return;
        };
        slot.calls = slot.calls.saturating_sub(1);
        if !is_all_made {
            let failed = match outcome {
                Outcome::Done(results) => results.iter().filter(|it| it.is_err()).count() as u64,
                _ => pieces as u64,
            };
            let each = call.bytes / (pieces as u64).max(1);
            slot.bytes = slot.bytes.saturating_sub(each * failed);
        }
    }

    fn finish_item(
        &mut self,
        call: &InFlight,
        item: &Item,
        result: Result<Handle, ItemFailure>,
        now: Instant,
    ) {
        if !self.plans.contains_key(&item.plan) {
            if let Ok(handle) = result {
                self.unused.push((call.upstream.clone(), handle));
                let each = call.bytes / (call.items.len() as u64).max(1);
                self.free_bytes(&call.upstream, each);
            }
            return;
        }
        match result {
            Ok(handle) => self.made(call, item, handle, now),
            Err(ItemFailure::Late) => self.end(item.plan, Refusal::TooLate(Duration::ZERO)),
            Err(ItemFailure::InputGone) => self.remake_inputs(item, now),
            Err(ItemFailure::NoRoom) => {
                if let Some(fleet) = self.fleets.get_mut(&call.service) {
                    fleet.out_of_room(&call.upstream, now);
                }
                self.wait_again(item);
            }
            Err(ItemFailure::Failed) => self.fail(item),
        }
    }

    fn made(&mut self, call: &InFlight, item: &Item, handle: Handle, now: Instant) {
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        active.steps[item.step].pieces[item.piece] = Piece::Made(call.upstream.clone(), handle);
        if !active.steps[item.step].is_done() {
            return;
        }
        active.mark_ready(now);
        let is_done = active.steps.iter().all(Progress::is_done);
        let read = active.take_read();
        for (upstream, handle, bytes) in read {
            self.free_bytes(&upstream, bytes);
            self.unused.push((upstream, handle));
        }
        if !is_done {
            return;
        }
        if let Some(active) = self.plans.get_mut(&item.plan) {
            active.is_delivered = true;
        }
        let prepared = self.prepared(item.plan);
        self.ended.push((item.plan, Ok(prepared)));
    }

    fn prepared(&self, id: PlanId) -> Prepared {
        let active = &self.plans[&id];
        let steps = &active.plan.steps;
        let is_read = |idx: usize| steps.iter().any(|it| it.after.contains(&idx));
        let mut handles = Vec::new();
        let mut heaviest: Option<(u64, &id::Upstream)> = None;
        for (idx, progress) in active.steps.iter().enumerate() {
            if is_read(idx) {
                continue;
            }
            for piece in &progress.pieces {
                let Piece::Made(upstream, handle) = piece else {
                    continue;
                };
                handles.push(handle.clone());
                let bytes = steps[idx].result_bytes;
                if heaviest.is_none_or(|it| it.0 < bytes) {
                    heaviest = Some((bytes, upstream));
                }
            }
        }
        let slot = heaviest.and_then(|it| self.slot(it.1));
        Prepared {
            handles,
            zone: slot.map(|it| it.replica.zone.clone()),
        }
    }

    fn wait_again(&mut self, item: &Item) {
        if let Some(active) = self.plans.get_mut(&item.plan) {
            active.steps[item.step].pieces[item.piece] = Piece::Waiting;
        }
    }

    fn fail(&mut self, item: &Item) {
        self.wait_again(item);
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        active.failures += 1;
        if active.failures > FAILURES_MAX {
            self.end(item.plan, Refusal::Failed);
        }
    }

    /// Makes the results that a piece reads anew: which of them is gone is not known.
    fn remake_inputs(&mut self, item: &Item, now: Instant) {
        self.fail(item);
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        let after = active.plan.steps[item.step].after.clone();
        let mut dropped = Vec::new();
        for idx in after {
            for piece in &mut active.steps[idx].pieces {
                if !matches!(piece, Piece::Made(..)) {
                    continue;
                }
                if let Piece::Made(upstream, handle) = std::mem::replace(piece, Piece::Waiting) {
                    dropped.push((upstream, handle, active.plan.steps[idx].result_bytes));
                }
            }
        }
        active.restore_inputs(now);
        for (upstream, handle, bytes) in dropped {
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
