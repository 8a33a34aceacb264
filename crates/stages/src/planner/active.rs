//! A plan in progress: the state of its pieces, and which of its steps are ready.

use base::id;
use tokio::time::Instant;

use super::backlog::Count;
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

impl PieceState {
    fn is_finished(&self) -> bool {
        matches!(self, PieceState::Done(..) | PieceState::Freed)
    }
}

/// What a step adds to the counts of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counted {
    pub(super) count: Count,
    /// Whether pieces wait whose inputs exist.
    pub(super) is_ready: bool,
}

#[derive(Debug)]
pub(super) struct StepProgress {
    /// Changed by [`StepProgress::set`] alone, which keeps the numbers below.
    pieces: Vec<PieceState>,
    waiting: usize,
    unfinished: usize,
    /// Time since which all inputs have existed; `None` while one is missing.
    pub(super) ready_since: Option<Instant>,
    /// Expected end of the call that holds the pieces sent last.
    pub(super) last_call_end: Option<Instant>,
    /// Queue of the step's service.
    pub(super) slot: usize,
    /// What the counts hold of this step.
    pub(super) counted: Counted,
}

impl StepProgress {
    pub(super) fn new(pieces: usize, ready_since: Option<Instant>, slot: usize) -> StepProgress {
        StepProgress {
            pieces: vec![PieceState::Waiting; pieces],
            waiting: pieces,
            unfinished: pieces,
            ready_since,
            last_call_end: None,
            slot,
            counted: Counted::default(),
        }
    }

    pub(super) fn pieces(&self) -> &[PieceState] {
        &self.pieces
    }

    pub(super) fn into_pieces(self) -> Vec<PieceState> {
        self.pieces
    }

    /// Sets the state of a piece and returns the previous one.
    pub(super) fn set(&mut self, piece: usize, state: PieceState) -> PieceState {
        self.waiting += usize::from(state == PieceState::Waiting);
        self.unfinished += usize::from(!state.is_finished());
        let previous = std::mem::replace(&mut self.pieces[piece], state);
        self.waiting -= usize::from(previous == PieceState::Waiting);
        self.unfinished -= usize::from(!previous.is_finished());
        previous
    }

    pub(super) fn is_done(&self) -> bool {
        self.unfinished == 0
    }

    /// Whether every piece has read its inputs.
    fn has_read_inputs(&self, now: Instant) -> bool {
        self.waiting == 0
            && self.pieces.iter().all(|it| match it {
                PieceState::Waiting => false,
                PieceState::InCall(read) => read.is_some_and(|it| it <= now),
                PieceState::Done(..) | PieceState::Freed => true,
            })
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.waiting
    }

    /// What the step adds to the counts, by the numbers that it keeps.
    pub(super) fn count(&self, is_past_aim: bool) -> Counted {
        self.counted_of(self.waiting, is_past_aim)
    }

    /// The same, computed from every piece.
    pub(super) fn recount(&self, is_past_aim: bool) -> Counted {
        let waiting = self.pieces.iter().filter(|it| **it == PieceState::Waiting);
        self.counted_of(waiting.count(), is_past_aim)
    }

    fn counted_of(&self, waiting: usize, is_past_aim: bool) -> Counted {
        let is_ready = waiting > 0 && self.ready_since.is_some();
        let in_time = if is_ready && !is_past_aim { waiting } else { 0 };
        Counted {
            count: Count { waiting, in_time },
            is_ready,
        }
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
    /// Whether the soft deadline has passed.
    pub(super) is_past_aim: bool,
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
                let progress = &mut self.steps[input];
                for piece in 0..progress.pieces.len() {
                    if progress.pieces[piece] == PieceState::Freed {
                        progress.set(piece, PieceState::Waiting);
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
            let progress = &mut self.steps[idx];
            for piece in 0..progress.pieces.len() {
                if let PieceState::Done(upstream, handle) = progress.set(piece, PieceState::Freed) {
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
    let pieces = after.iter().flat_map(|it| active.steps[*it].pieces());
    let handles = pieces.filter_map(|it| match it {
        PieceState::Done(_, handle) => Some(handle.clone()),
        _ => None,
    });
    Input::Results(handles.collect())
}
