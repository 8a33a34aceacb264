//! Applies the fair parts of workspaces to the order of waiting work and to its admission.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::PlanId;
use super::Planner;
use super::active::ActivePlan;
use super::form::Candidate;
use crate::fairness::Demand;
use crate::fairness::Ledger;
use crate::plan::Plan;
use crate::rank::SchedulingPolicy;
use crate::returns::Refused;

impl Planner {
    /// Reorders the candidates of a service: within a priority, work within the fair part of its
    /// workspace goes first. Without contention the order stays.
    pub(super) fn share_out(
        &mut self,
        service: &id::Service,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) {
        let Some(fleet) = self.fleets.get(service) else {
            return;
        };
        if self.policy != SchedulingPolicy::Urgency {
            return;
        }
        let plans = &self.plans;
        let demands = candidates.iter().filter_map(|it| {
            let plan = &plans.get(&it.plan)?.plan;
            Some(Demand {
                is_late: it.rank.is_late,
                priority: plan.priority,
                workspace: plan.workspace.as_ref(),
                pieces: it.waiting,
            })
        });
        let demands: Vec<Demand<'_>> = demands.collect();
        let ledger = self.ledgers.entry(service.clone()).or_default();
        let Some(tags) = ledger.tags(&demands, fleet.limits.batch_max, now) else {
            return;
        };
        let priorities = demands.iter().map(|it| it.priority);
        let keys: Vec<(u8, u32)> = priorities.zip(tags).collect();
        let mut ordered: Vec<((u8, u32), Candidate)> =
            keys.into_iter().zip(candidates.drain(..)).collect();
        ordered.sort_by_key(|(key, it)| (it.rank.is_late, *key));
        candidates.extend(ordered.into_iter().map(|it| it.1));
    }

    /// Pieces sent since the previous call of this method, by workspace.
    pub fn take_sent(&mut self) -> BTreeMap<Option<id::Workspace>, u64> {
        std::mem::take(&mut self.sent)
    }

    /// What the first attempt of a plan's request was ordered by, if it returns in its turn.
    pub(super) fn take_turn(&mut self, plan: &Plan, now: Instant) -> Option<Instant> {
        self.returns.take_turn(plan.fingerprint, plan.priority, now)
    }

    /// Charges pieces that are being sent to the workspace of their plan.
    pub(super) fn charge(
        &mut self,
        service: &id::Service,
        id: PlanId,
        pieces: usize,
        now: Instant,
    ) {
        let Some(active) = self.plans.get(&id) else {
            return;
        };
        let ledger = self.ledgers.entry(service.clone()).or_default();
        let plan = &active.plan;
        ledger.charge(plan.priority, plan.workspace.as_ref(), pieces, now);
        *self.sent.entry(plan.workspace.clone()).or_default() += pieces as u64;
    }

    /// Time until the first steps of a plan are reached, of the `drain` time of all that waits:
    /// what other workspaces have waiting beyond their fair part is not ahead of it.
    pub(super) fn fair_drain(&self, active: &ActivePlan, drain: Duration) -> Duration {
        let plan = &active.plan;
        let first = plan.steps.iter().filter(|it| it.after.is_empty());
        let parts = first.map(|step| {
            let ledger = self.ledgers.get(&step.service);
            ledger.map_or(1.0, |it| {
                it.part_ahead(plan.priority, plan.workspace.as_ref(), step.pieces)
            })
        });
        drain.mul_f64(parts.fold(0.0, f64::max).min(1.0))
    }
}

/// Time until a step of a plan is reached, of the `queue` time of what waits for its service.
pub(super) fn fair_queue(ledger: Option<&Ledger>, plan: &Plan, queue: Duration) -> Duration {
    let Some(ledger) = ledger.filter(|_| !queue.is_zero()) else {
        return queue;
    };
    queue.mul_f64(ledger.queue_part(plan.priority, plan.workspace.as_ref()))
}

/// A plan that is being refused; `drain` is the time until what waits has drained.
pub(super) fn refused(active: &ActivePlan, drain: Duration) -> Refused {
    let plan = &active.plan;
    Refused {
        fingerprint: plan.fingerprint,
        priority: plan.priority,
        sort_time: active.turn.unwrap_or(plan.soft_deadline),
        deadline: plan.deadline,
        drain,
    }
}
