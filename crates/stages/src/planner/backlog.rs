//! Counts of the waiting work, kept up to date with each change of a plan.
//!
//! What a planner does for an event must not grow with all that waits: an owner with a backlog
//! would become slower, and its backlog longer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::id;
use tokio::time::Instant;

use super::PlanId;
use super::active::ActivePlan;
use super::active::Counted;

/// Waiting pieces of one service and priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Pieces that wait for a call or for their inputs.
    pub waiting: usize,
    /// Those of them whose inputs exist and whose plan has not passed its soft deadline.
    pub in_time: usize,
}

impl Count {
    fn is_empty(self) -> bool {
        self == Count::default()
    }
}

/// Waiting pieces by service and priority, without empty counts.
pub type Counts = BTreeMap<(id::Service, u8), Count>;

/// The work that waits at one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) by_priority: BTreeMap<u8, Count>,
    /// Steps with waiting pieces whose inputs exist.
    pub(super) ready: BTreeSet<(PlanId, usize)>,
}

/// The waiting work of a planner.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// Index in `queues` of each service.
    slots: BTreeMap<id::Service, usize>,
    queues: Vec<Queue>,
    /// Plans that have waiting pieces.
    pub(super) waiting_plans: BTreeSet<PlanId>,
    /// Plans whose soft deadline has not passed.
    in_time: BTreeSet<(Instant, PlanId)>,
    /// When calls in flight will have read their inputs.
    reads: BTreeSet<(Instant, PlanId)>,
    /// Plans that have changed since their inputs were last checked.
    changed: BTreeSet<PlanId>,
}

impl Backlog {
    /// Index of a service's queue, which is created if it does not exist.
    pub(super) fn slot(&mut self, service: &id::Service) -> usize {
        if let Some(slot) = self.slots.get(service) {
            return *slot;
        }
        self.queues.push(Queue::default());
        let slot = self.queues.len() - 1;
        self.slots.insert(service.clone(), slot);
        slot
    }

    pub(super) fn queue(&self, service: &id::Service) -> Option<&Queue> {
        self.queues.get(*self.slots.get(service)?)
    }

    pub(super) fn services(&self) -> impl Iterator<Item = (&id::Service, usize)> {
        self.slots.iter().map(|(service, slot)| (service, *slot))
    }

    pub(super) fn queue_at(&self, slot: usize) -> &Queue {
        &self.queues[slot]
    }

    pub(super) fn waiting_pieces(&self) -> usize {
        let counts = self.queues.iter().flat_map(|it| it.by_priority.values());
        counts.map(|it| it.waiting).sum()
    }

    pub(super) fn counts(&self) -> Counts {
        let counts = self.slots.iter().flat_map(|(service, slot)| {
            let counts = self.queues[*slot].by_priority.iter();
            counts.map(|(priority, count)| ((service.clone(), *priority), *count))
        });
        counts.filter(|it| !it.1.is_empty()).collect()
    }

    /// Starts to count a plan.
    pub(super) fn insert(&mut self, id: PlanId, active: &mut ActivePlan, now: Instant) {
        active.is_past_aim = active.plan.soft_deadline <= now;
        if !active.is_past_aim {
            self.in_time.insert((active.plan.soft_deadline, id));
        }
        self.recount(id, active);
    }

    /// Updates the counts after a change of a plan, and has its inputs checked.
    pub(super) fn recount(&mut self, id: PlanId, active: &mut ActivePlan) {
        self.recount_checked(id, active);
        self.changed.insert(id);
    }

    /// Updates the counts after the check of a plan's inputs.
    pub(super) fn recount_checked(&mut self, id: PlanId, active: &mut ActivePlan) {
        let is_past_aim = active.is_past_aim;
        let mut has_waiting = false;
        for (idx, progress) in active.steps.iter_mut().enumerate() {
            let counted = progress.count(is_past_aim);
            has_waiting |= counted.count.waiting > 0;
            let previous = std::mem::replace(&mut progress.counted, counted);
            let queue = &mut self.queues[progress.slot];
            queue.replace((id, idx), active.plan.priority, previous, counted);
        }
        if has_waiting {
            self.waiting_plans.insert(id);
        } else {
            self.waiting_plans.remove(&id);
        }
    }

    /// Ceases to count a plan.
    pub(super) fn remove(&mut self, id: PlanId, active: &ActivePlan) {
        for (idx, progress) in active.steps.iter().enumerate() {
            let queue = &mut self.queues[progress.slot];
            let priority = active.plan.priority;
            queue.replace((id, idx), priority, progress.counted, Counted::default());
        }
        self.waiting_plans.remove(&id);
        self.in_time.remove(&(active.plan.soft_deadline, id));
        self.changed.remove(&id);
    }

    /// Removes and returns a plan whose soft deadline has passed.
    pub(super) fn pop_past_aim(&mut self, now: Instant) -> Option<PlanId> {
        let first = self.in_time.first().filter(|it| it.0 <= now).copied()?;
        self.in_time.remove(&first);
        Some(first.1)
    }

    /// Has the plan's inputs checked at `at`.
    pub(super) fn check_inputs_at(&mut self, at: Instant, id: PlanId) {
        self.reads.insert((at, id));
    }

    /// Removes and returns the plans of which results may have been read by all their readers since
    /// the previous call.
    pub(super) fn take_unchecked(&mut self, now: Instant) -> BTreeSet<PlanId> {
        let mut plans = std::mem::take(&mut self.changed);
        while let Some(first) = self.reads.first().filter(|it| it.0 <= now).copied() {
            self.reads.remove(&first);
            plans.insert(first.1);
        }
        plans
    }
}

impl Queue {
    fn replace(
        &mut self,
        step: (PlanId, usize),
        priority: u8,
        previous: Counted,
        counted: Counted,
    ) {
        if previous.count != counted.count {
            let count = self.by_priority.entry(priority).or_default();
            count.waiting = count.waiting + counted.count.waiting - previous.count.waiting;
            count.in_time = count.in_time + counted.count.in_time - previous.count.in_time;
        }
        match (previous.is_ready, counted.is_ready) {
            (false, true) => _ = self.ready.insert(step),
            (true, false) => _ = self.ready.remove(&step),
            _ => {}
        }
    }
}
