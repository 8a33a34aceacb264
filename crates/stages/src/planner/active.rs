//! A plan in progress: the state of its pieces, and which of its steps are ready.

use base::id;
use tokio::time::Instant;

use crate::call::Input;
use crate::plan::Handle;
use crate::plan::Plan;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum PieceState {
    Waiting,
    /// In a call that will have read its inputs at the given time; `None` if the upstream may queue
    /// it.
    InCall(Option<Instant>),
    Done(id::Upstream, Handle),
    /// The result was freed after every piece that reads it had fetched it.
    Freed,
}

#[derive(Debug)]
pub(super) struct StepProgress {
    pub(super) pieces: Vec<PieceState>,
    /// Time since which all inputs have existed; `None` while one is missing.
    pub(super) ready_since: Option<Instant>,
    /// Expected end of the call that holds the pieces sent last.
    pub(super) last_call_end: Option<Instant>,
}

impl StepProgress {
    pub(super) fn is_done(&self) -> bool {
        let mut pieces = self.pieces.iter();
        pieces.all(|it| matches!(it, PieceState::Done(..) | PieceState::Freed))
    }

    /// Whether every piece has read its inputs.
    fn has_read_inputs(&self, now: Instant) -> bool {
        self.pieces.iter().all(|it| match it {
            PieceState::Waiting => false,
            PieceState::InCall(read) => read.is_some_and(|it| it <= now),
            PieceState::Done(..) | PieceState::Freed => true,
        })
    }

    pub(super) fn waiting_count(&self) -> usize {
        let waiting = self.pieces.iter().filter(|it| **it == PieceState::Waiting);
        waiting.count()
    }
}

#[derive(Debug)]
pub(super) struct ActivePlan {
    pub(super) plan: Plan,
    pub(super) steps: Vec<StepProgress>,
    pub(super) submitted_at: Instant,
    /// What the first attempt was ordered by, if this one returns in its turn.
    pub(super) turn: Option<Instant>,
    /// Number of failures of pieces, repeated ones of the same piece included.
    pub(super) piece_failures: u32,
    /// Whether the final results have been reported; the plan remains until it is released.
    pub(super) is_delivered: bool,
}

impl ActivePlan {
    /// Requeues the freed results that a waiting step reads, and updates which steps are ready.
    pub(super) fn requeue_freed_inputs(&mut self, now: Instant) {
        for idx in (0..self.steps.len()).rev() {
            // Calls in flight have read their inputs; if they fail, this function runs again.
            if self.steps[idx].waiting_count() == 0 {
                continue;
            }
            for input in self.plan.steps[idx].after.clone() {
                for piece in &mut self.steps[input].pieces {
                    if *piece == PieceState::Freed {
                        *piece = PieceState::Waiting;
                    }
                }
            }
        }
        self.update_ready(now);
    }

    pub(super) fn update_ready(&mut self, now: Instant) {
        for idx in 0..self.steps.len() {
            let after = &self.plan.steps[idx].after;
            let is_ready = after.iter().all(|it| self.steps[*it].is_done());
            let since = &mut self.steps[idx].ready_since;
            *since = if is_ready { since.or(Some(now)) } else { None };
        }
    }

    /// Removes and returns the results that all their readers have fetched, with their sizes in
    /// bytes.
    pub(super) fn take_read_results(&mut self, now: Instant) -> Vec<(id::Upstream, Handle, u64)> {
        let mut freed = Vec::new();
        for idx in 0..self.steps.len() {
            let steps = self.plan.steps.iter().zip(&self.steps);
            let mut readers = steps.filter(|(it, _)| it.after.contains(&idx)).peekable();
            if readers.peek().is_none() || !readers.all(|(_, it)| it.has_read_inputs(now)) {
                continue;
            }
            for piece in &mut self.steps[idx].pieces {
                if let PieceState::Done(upstream, handle) =
                    std::mem::replace(piece, PieceState::Freed)
                {
                    freed.push((upstream, handle, self.plan.steps[idx].result_bytes));
                }
            }
        }
        freed
    }
}

/// The input of a step's pieces.
pub(super) fn step_input(active: &ActivePlan, step: usize) -> Input {
    let after = &active.plan.steps[step].after;
    if after.is_empty() {
        return Input::Key(active.plan.key.clone());
    }
    let pieces = after.iter().flat_map(|it| &active.steps[*it].pieces);
    let handles = pieces.filter_map(|it| match it {
        PieceState::Done(_, handle) => Some(handle.clone()),
        _ => None,
    });
    Input::Results(handles.collect())
}
