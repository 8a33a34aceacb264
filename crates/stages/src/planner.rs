//! The planner: plans in progress, the formation of calls and what their outcomes change.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::Pool;
use tokio::time::Instant;

use crate::call::Call;
use crate::call::Input;
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
use crate::rank::Rank;

/// Pieces of one plan that may fail before the plan is given up.
const FAILURES_MAX: u32 = 12;
/// Work with large inputs waits this long for an upstream in their zone before it goes elsewhere.
const ZONE_WAIT: Duration = Duration::from_millis(120);
/// Bytes read from another zone below which the zone does not matter.
const ZONE_BYTES_MIN: u64 = 500_000;
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

#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Waiting,
    Called,
    Made(id::Upstream, Handle),
    /// Was made, and dropped once everything that reads it existed.
    Dropped,
}

#[derive(Debug)]
struct Progress {
    pieces: Vec<Piece>,
    /// Since when every input has existed.
    ready_since: Option<Instant>,
    /// Expected end of the call that holds its last pieces.
    called_until: Option<Instant>,
}

impl Progress {
    fn is_done(&self) -> bool {
        let mut pieces = self.pieces.iter();
        pieces.all(|it| matches!(it, Piece::Made(..) | Piece::Dropped))
    }

    fn waiting(&self) -> usize {
        let waiting = self.pieces.iter().filter(|it| **it == Piece::Waiting);
        waiting.count()
    }
}

#[derive(Debug)]
struct Active {
    plan: Plan,
    steps: Vec<Progress>,
    submitted: Instant,
    failures: u32,
    is_delivered: bool,
}

impl Active {
    /// Makes dropped results wait again that a waiting step reads, and tells which steps can be
    /// called.
    fn restore_inputs(&mut self, now: Instant) {
        for idx in (0..self.steps.len()).rev() {
            if self.steps[idx].is_done() {
                continue;
            }
            for input in self.plan.steps[idx].after.clone() {
                for piece in &mut self.steps[input].pieces {
                    if *piece == Piece::Dropped {
                        *piece = Piece::Waiting;
                    }
                }
            }
        }
        self.mark_ready(now);
    }

    fn mark_ready(&mut self, now: Instant) {
        for idx in 0..self.steps.len() {
            let after = &self.plan.steps[idx].after;
            let is_ready = after.iter().all(|it| self.steps[*it].is_done());
            let since = &mut self.steps[idx].ready_since;
            *since = if is_ready { since.or(Some(now)) } else { None };
        }
    }

    /// Takes the results that only finished steps read.
    fn take_read(&mut self) -> Vec<(id::Upstream, Handle, u64)> {
        let mut read = Vec::new();
        for idx in 0..self.steps.len() {
            let steps = self.plan.steps.iter().zip(&self.steps);
            let mut readers = steps.filter(|(it, _)| it.after.contains(&idx)).peekable();
            if readers.peek().is_none() || !readers.all(|(_, it)| it.is_done()) {
                continue;
            }
            for piece in &mut self.steps[idx].pieces {
                if let Piece::Made(upstream, handle) = std::mem::replace(piece, Piece::Dropped) {
                    read.push((upstream, handle, self.plan.steps[idx].result_bytes));
                }
            }
        }
        read
    }
}

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

/// A job that could be called now.
struct Candidate {
    plan: PlanId,
    step: usize,
    rank: Rank,
    waiting: usize,
    bytes_each: u64,
    /// Zone outside of which it should not be called yet.
    zone: Option<id::Zone>,
    ready_since: Instant,
}

impl Candidate {
    fn bytes(&self, pieces: usize) -> u64 {
        self.bytes_each * pieces as u64
    }

    fn may_run_in(&self, zone: &id::Zone, now: Instant) -> bool {
        let has_waited = now.saturating_duration_since(self.ready_since) >= ZONE_WAIT;
        has_waited || self.rank.is_late || self.zone.as_ref().is_none_or(|it| it == zone)
    }
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

    fn rank(&self, active: &Active, expected_end: Instant) -> Rank {
        match self.order {
            Order::Urgency => Rank::new(active.plan.priority, active.plan.aim, expected_end),
            Order::FirstCome => Rank::first_come(active.submitted),
        }
    }

    fn candidates(
        &self,
        service: &id::Service,
        ends: &[(PlanId, Instant)],
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (id, end) in ends {
            let Some(active) = self.plans.get(id) else {
                continue;
            };
            for (idx, step) in active.plan.steps.iter().enumerate() {
                let progress = &active.steps[idx];
                let waiting = progress.waiting();
                let Some(ready_since) = progress.ready_since else {
                    continue;
                };
                if step.service != *service || waiting == 0 {
                    continue;
                }
                candidates.push(Candidate {
                    plan: *id,
                    step: idx,
                    rank: self.rank(active, *end),
                    waiting,
                    bytes_each: step.result_bytes,
                    zone: self.wanted_zone(active, idx, now),
                    ready_since,
                });
            }
        }
        candidates.sort_by_key(|it| (it.rank, it.plan, it.step));
        candidates
    }

    /// Zone in which a step should run: that of its inputs, or the one asked for, if enough bytes
    /// depend on it and the zone has a usable upstream.
    fn wanted_zone(&self, active: &Active, step: usize, now: Instant) -> Option<id::Zone> {
        let steps = &active.plan.steps;
        let inputs = &steps[step].after;
        let read = inputs
            .iter()
            .map(|it| steps[*it].result_bytes * steps[*it].pieces as u64);
        let read = read.sum::<u64>() * steps[step].pieces as u64;
        let made = steps[step].result_bytes * steps[step].pieces as u64;
        let zone = if read >= ZONE_BYTES_MIN {
            let mut pieces = inputs.iter().flat_map(|it| &active.steps[*it].pieces);
            let maker = pieces.find_map(|it| match it {
                Piece::Made(upstream, _) => Some(upstream),
                _ => None,
            });
            maker
                .and_then(|it| self.slot(it))
                .map(|it| it.replica.zone.clone())
        } else if made >= ZONE_BYTES_MIN {
            active.plan.zone.clone()
        } else {
            None
        };
        let fleet = self.fleets.get(&steps[step].service)?;
        zone.filter(|it| fleet.is_usable_in(it, now))
    }

    fn slot(&self, upstream: &id::Upstream) -> Option<&Slot> {
        self.fleets.values().find_map(|it| it.slots.get(upstream))
    }

    /// Forms one call from the candidates, in their order; takes those that it holds from the list.
    fn form(
        &mut self,
        service: &id::Service,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) -> Option<Call> {
        let fleet = self.fleets.get(service)?;
        let (first, upstream) = self.first(fleet, candidates, now)?;
        let slot = fleet.slots.get(&upstream)?;
        let zone = slot.replica.zone.clone();
        let started_ms = slot.replica.started_ms;
        let room = fleet.pool.result_room;
        let batch = fleet.pool.batch;
        let is_congested = is_congested(candidates, batch);
        let mut pieces = 0;
        let mut bytes = 0;
        let mut taken: Vec<(PlanId, usize, usize)> = Vec::new();
        let mut waits = Vec::new();
        let mut rest = Vec::new();
        for (idx, candidate) in candidates.drain(..).enumerate() {
            let wanted = candidate.waiting.min(batch);
            let size = candidate.bytes(wanted);
            let is_fitting = !(candidate.rank.is_late && is_congested)
                && pieces + wanted <= batch
                && slot.has_room(bytes, size, room, now)
                && candidate.may_run_in(&zone, now);
            if idx < first || (idx > first && !is_fitting) {
                rest.push(candidate);
                continue;
            }
            pieces += wanted;
            bytes += size;
            taken.push((candidate.plan, candidate.step, wanted));
            if !candidate.rank.is_late {
                waits.push(now.saturating_duration_since(candidate.ready_since));
            }
            if candidate.waiting > wanted {
                rest.push(Candidate {
                    waiting: candidate.waiting - wanted,
                    ..candidate
                });
            }
        }
        *candidates = rest;
        let fleet = self.fleets.get_mut(service)?;
        waits.into_iter().for_each(|it| fleet.waited(it));
        let timeout = fleet.timeout(&upstream, pieces, now);
        let until = now + fleet.stated(pieces);
        if let Some(slot) = fleet.slots.get_mut(&upstream) {
            slot.calls += 1;
            slot.bytes += bytes;
        }
        let mut items = Vec::with_capacity(pieces);
        for (plan, step, count) in taken {
            items.extend(self.call_pieces(plan, step, count, until, now));
        }
        self.next += 1;
        let in_flight = InFlight {
            service: service.clone(),
            upstream: upstream.clone(),
            started_ms,
            items: items.clone(),
            bytes,
            sent: now,
        };
        self.calls.insert(self.next, in_flight);
        Some(Call {
            id: self.next,
            upstream,
            items,
            timeout,
        })
    }

    /// The first candidate that a free upstream can take, and that upstream.
    fn first(
        &self,
        fleet: &Fleet,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<(usize, id::Upstream)> {
        let free = fleet.free(now);
        let room = fleet.pool.result_room;
        for (idx, candidate) in candidates.iter().enumerate() {
            // Late work leaves one upstream free for work that can still be in time.
            if candidate.rank.is_late && free.len() < 2 && fleet.usable(now) > 1 {
                return None;
            }
            let size = candidate.bytes(candidate.waiting.min(fleet.pool.batch));
            let able = free
                .iter()
                .filter(|it| it.has_room(0, size, room, now))
                .filter(|it| candidate.may_run_in(&it.replica.zone, now));
            let best = able.min_by_key(|it| {
                let zone = candidate.zone.as_ref();
                (zone.is_some_and(|zone| *zone != it.replica.zone), it.bytes)
            });
            if let Some(slot) = best {
                return Some((idx, slot.replica.name.clone()));
            }
        }
        None
    }

    fn call_pieces(
        &mut self,
        id: PlanId,
        step: usize,
        count: usize,
        until: Instant,
        now: Instant,
    ) -> Vec<Item> {
        let Some(active) = self.plans.get_mut(&id) else {
            return Vec::new();
        };
        let input = input(active, step);
        let left = active.plan.deadline.saturating_duration_since(now);
        let progress = &mut active.steps[step];
        progress.called_until = Some(until);
        let waiting = progress.pieces.iter_mut().enumerate();
        let waiting = waiting.filter(|(_, it)| **it == Piece::Waiting).take(count);
        let mut items = Vec::with_capacity(count);
        for (piece, state) in waiting {
            *state = Piece::Called;
            items.push(Item {
                plan: id,
                step,
                number: active.plan.steps[step].number,
                piece,
                request: active.plan.request.clone(),
                left,
                input: input.clone(),
            });
        }
        items
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

/// Whether more work waits that can be in time than another call takes.
fn is_congested(candidates: &[Candidate], batch: usize) -> bool {
    let in_time = candidates.iter().filter(|it| !it.rank.is_late);
    in_time.map(|it| it.waiting).sum::<usize>() > batch
}

fn input(active: &Active, step: usize) -> Input {
    let after = &active.plan.steps[step].after;
    if after.is_empty() {
        return Input::Key(active.plan.key.clone());
    }
    let pieces = after.iter().flat_map(|it| &active.steps[*it].pieces);
    let handles = pieces.filter_map(|it| match it {
        Piece::Made(_, handle) => Some(handle.clone()),
        _ => None,
    });
    Input::Results(handles.collect())
}
