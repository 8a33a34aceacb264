//! A plan in progress: its pieces, and which of its steps can be called.

use base::id;
use tokio::time::Instant;

use crate::call::Input;
use crate::plan::Handle;
use crate::plan::Plan;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Piece {
    Waiting,
    /// In a call, which has read its inputs at the given time; unknown where the call may queue.
    Called(Option<Instant>),
    Made(id::Upstream, Handle),
    /// Was made, and dropped once everything that reads it existed.
    Dropped,
}

#[derive(Debug)]
pub(super) struct Progress {
    pub(super) pieces: Vec<Piece>,
    /// Since when every input has existed.
    pub(super) ready_since: Option<Instant>,
    /// Expected end of the call that holds its last pieces.
    pub(super) called_until: Option<Instant>,
}

impl Progress {
    pub(super) fn is_done(&self) -> bool {
        let mut pieces = self.pieces.iter();
        pieces.all(|it| matches!(it, Piece::Made(..) | Piece::Dropped))
    }

    /// Whether no piece needs its inputs any more.
    fn has_read(&self, now: Instant) -> bool {
        self.pieces.iter().all(|it| match it {
            Piece::Waiting => false,
            Piece::Called(read) => read.is_some_and(|it| it <= now),
            Piece::Made(..) | Piece::Dropped => true,
        })
    }

    pub(super) fn waiting(&self) -> usize {
        let waiting = self.pieces.iter().filter(|it| **it == Piece::Waiting);
        waiting.count()
    }
}

#[derive(Debug)]
pub(super) struct Active {
    pub(super) plan: Plan,
    pub(super) steps: Vec<Progress>,
    pub(super) submitted: Instant,
    pub(super) failures: u32,
    pub(super) is_delivered: bool,
}

impl Active {
    /// Makes dropped results wait again that a waiting step reads, and tells which steps can be
    /// called.
    pub(super) fn restore_inputs(&mut self, now: Instant) {
        for idx in (0..self.steps.len()).rev() {
            // Calls in progress have read theirs, or fail and come here again.
            if self.steps[idx].waiting() == 0 {
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

    pub(super) fn mark_ready(&mut self, now: Instant) {
        for idx in 0..self.steps.len() {
            let after = &self.plan.steps[idx].after;
            let is_ready = after.iter().all(|it| self.steps[*it].is_done());
            let since = &mut self.steps[idx].ready_since;
            *since = if is_ready { since.or(Some(now)) } else { None };
        }
    }

    /// Takes the results that everything which needs them has read.
    pub(super) fn take_read(&mut self, now: Instant) -> Vec<(id::Upstream, Handle, u64)> {
        let mut read = Vec::new();
        for idx in 0..self.steps.len() {
            let steps = self.plan.steps.iter().zip(&self.steps);
            let mut readers = steps.filter(|(it, _)| it.after.contains(&idx)).peekable();
            if readers.peek().is_none() || !readers.all(|(_, it)| it.has_read(now)) {
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

/// What a piece of a step reads.
pub(super) fn input(active: &Active, step: usize) -> Input {
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
