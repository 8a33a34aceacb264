//! What the outcomes of calls change.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::InFlight;
use super::PlanId;
use super::Planner;
use super::active::Piece;
use super::active::Progress;
use crate::call::Item;
use crate::call::ItemFailure;
use crate::call::Outcome;
use crate::plan::Handle;
use crate::plan::Prepared;
use crate::plan::Refusal;

/// Pieces of one plan that may fail before the plan is given up.
const FAILURES_MAX: u32 = 12;

impl Planner {
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
                    self.wait_again(item, now);
                }
            }
            Outcome::Lost => {
                for item in &call.items {
                    self.fail(item, now);
                }
            }
        }
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
                self.wait_again(item, now);
            }
            Err(ItemFailure::Failed) => self.fail(item, now),
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
        let read = active.take_read(now);
        self.free(read);
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

    fn wait_again(&mut self, item: &Item, now: Instant) {
        if let Some(active) = self.plans.get_mut(&item.plan) {
            active.steps[item.step].pieces[item.piece] = Piece::Waiting;
            active.restore_inputs(now);
        }
    }

    fn fail(&mut self, item: &Item, now: Instant) {
        self.wait_again(item, now);
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
        self.fail(item, now);
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
        self.free(dropped);
    }
}
