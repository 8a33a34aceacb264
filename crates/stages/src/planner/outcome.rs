//! Processing of call outcomes: completes or requeues the pieces of a call, or refuses their plans.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::InFlightCall;
use super::PlanId;
use super::Planner;
use super::active::PieceState;
use super::active::StepProgress;
use crate::call::Item;
use crate::call::ItemFailure;
use crate::call::Outcome;
use crate::plan::Handle;
use crate::plan::Prepared;
use crate::plan::Refusal;

/// Maximum number of piece failures of one plan; with more, the plan is refused.
const PIECE_FAILURES_MAX: u32 = 12;

impl Planner {
    /// Processes the outcome of a call; ignores calls that are not in flight.
    pub fn finish(&mut self, call: u64, outcome: Outcome, now: Instant) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        self.update_fleet(&call, &outcome, now);
        match outcome {
            Outcome::Done(results) => {
                let mut results = results.into_iter();
                for item in &call.items {
                    let result = results.next().unwrap_or(Err(ItemFailure::Failed));
                    self.finish_item(&call, item, result, now);
                }
            }
            Outcome::Rejected | Outcome::Unsent | Outcome::Unreachable | Outcome::Interrupted => {
                for item in &call.items {
                    self.requeue(item, now);
                }
            }
            Outcome::Lost => {
                for item in &call.items {
                    self.retry_or_refuse(item, now);
                }
            }
        }
    }

    /// Updates the load, health and speed of the call's upstream.
    fn update_fleet(&mut self, call: &InFlightCall, outcome: &Outcome, now: Instant) {
        let Some(fleet) = self.fleets.get_mut(&call.service) else {
            return;
        };
        let elapsed = now.saturating_duration_since(call.sent_at);
        let pieces = call.items.len();
        match outcome {
            Outcome::Done(_) => fleet.record_call_time(&call.upstream, pieces, elapsed, now),
            Outcome::Rejected => fleet.record_rejection(&call.upstream, now),
            Outcome::Unsent | Outcome::Interrupted => {}
            Outcome::Unreachable => fleet.record_unreachable(&call.upstream, now),
            Outcome::Lost => {
                fleet.record_call_time(&call.upstream, pieces, elapsed, now);
                fleet.record_unreachable(&call.upstream, now);
            }
        }
        let has_all_results =
            matches!(outcome, Outcome::Done(results) if results.iter().all(Result::is_ok));
        let state = fleet.upstreams.get_mut(&call.upstream);
        let Some(state) = state.filter(|it| it.replica.started_ms == call.started_ms) else {
            return;
        };
        state.calls_in_flight = state.calls_in_flight.saturating_sub(1);
        if !has_all_results {
            let failed = match outcome {
                Outcome::Done(results) => results.iter().filter(|it| it.is_err()).count() as u64,
                _ => pieces as u64,
            };
            let bytes_each = call.reserved_bytes / (pieces as u64).max(1);
            state.reserved_bytes = state.reserved_bytes.saturating_sub(bytes_each * failed);
        }
    }

    fn finish_item(
        &mut self,
        call: &InFlightCall,
        item: &Item,
        result: Result<Handle, ItemFailure>,
        now: Instant,
    ) {
        if !self.plans.contains_key(&item.plan) {
            if let Ok(handle) = result {
                self.unused_results.push((call.upstream.clone(), handle));
                let bytes_each = call.reserved_bytes / (call.items.len() as u64).max(1);
                self.release_capacity(&call.upstream, bytes_each);
            }
            return;
        }
        match result {
            Ok(handle) => self.complete_piece(call, item, handle, now),
            Err(ItemFailure::Late) => self.refuse(item.plan, Refusal::TooLate(Duration::ZERO)),
            Err(ItemFailure::InputGone) => self.recompute_inputs(item, now),
            Err(ItemFailure::NoRoom) => {
                if let Some(fleet) = self.fleets.get_mut(&call.service) {
                    fleet.record_no_room(&call.upstream, now);
                }
                self.requeue(item, now);
            }
            Err(ItemFailure::Failed) => self.retry_or_refuse(item, now),
        }
    }

    fn complete_piece(&mut self, call: &InFlightCall, item: &Item, handle: Handle, now: Instant) {
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        let state = PieceState::Done(call.upstream.clone(), handle);
        active.steps[item.step].set(item.piece, state);
        if !active.steps[item.step].is_done() {
            return self.recount(item.plan);
        }
        active.update_ready(now);
        let is_done = active.steps.iter().all(StepProgress::is_done);
        let freed = active.take_read_results(now);
        self.free_results(freed);
        self.recount(item.plan);
        if !is_done {
            return;
        }
        if let Some(active) = self.plans.get_mut(&item.plan) {
            active.is_delivered = true;
        }
        self.returns.record_served(now);
        let prepared = self.collect_results(item.plan);
        self.ended.push((item.plan, Ok(prepared)));
    }

    fn collect_results(&self, id: PlanId) -> Prepared {
        let active = &self.plans[&id];
        let steps = &active.plan.steps;
        let has_readers = |idx: usize| steps.iter().any(|it| it.after.contains(&idx));
        let mut handles = Vec::new();
        let mut largest: Option<(u64, &id::Upstream)> = None;
        for (idx, progress) in active.steps.iter().enumerate() {
            if has_readers(idx) {
                continue;
            }
            for piece in progress.pieces() {
                let PieceState::Done(upstream, handle) = piece else {
                    continue;
                };
                handles.push(handle.clone());
                let bytes = steps[idx].result_bytes;
                if largest.is_none_or(|it| it.0 < bytes) {
                    largest = Some((bytes, upstream));
                }
            }
        }
        let state = largest.and_then(|it| self.upstream_state(it.1));
        Prepared {
            handles,
            zone: state.map(|it| it.replica.zone.clone()),
        }
    }

    fn requeue(&mut self, item: &Item, now: Instant) {
        if let Some(active) = self.plans.get_mut(&item.plan) {
            active.steps[item.step].set(item.piece, PieceState::Waiting);
            active.requeue_freed_inputs(now);
        }
        self.recount(item.plan);
    }

    fn retry_or_refuse(&mut self, item: &Item, now: Instant) {
        self.requeue(item, now);
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        active.piece_failures += 1;
        if active.piece_failures > PIECE_FAILURES_MAX {
            self.refuse(item.plan, Refusal::Failed);
        }
    }

    /// Requeues all inputs of a piece: the upstream does not report which of them is gone.
    fn recompute_inputs(&mut self, item: &Item, now: Instant) {
        self.retry_or_refuse(item, now);
        let Some(active) = self.plans.get_mut(&item.plan) else {
            return;
        };
        let inputs = active.plan.steps[item.step].after.clone();
        let mut dropped = Vec::new();
        for idx in inputs {
            let progress = &mut active.steps[idx];
            for piece in 0..progress.pieces().len() {
                if !matches!(progress.pieces()[piece], PieceState::Done(..)) {
                    continue;
                }
                if let PieceState::Done(upstream, handle) = progress.set(piece, PieceState::Waiting)
                {
                    dropped.push((upstream, handle, active.plan.steps[idx].result_bytes));
                }
            }
        }
        active.requeue_freed_inputs(now);
        self.recount(item.plan);
        self.free_results(dropped);
    }
}
