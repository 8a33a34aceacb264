//! The slots and the queue of the simulated upstream.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrived {
    Runs,
    Waits,
    Rejected,
}

/// An upstream that runs a few requests at a time, lets a few wait and rejects the others.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    pub(crate) count: u32,
    /// Requests that may wait.
    pub(crate) queue: usize,
    /// Time that a request takes.
    pub(crate) service_time: Duration,
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
    /// When requests were rejected, and whether their instances knew of the fragility.
    pub(crate) rejections: Vec<(Duration, bool)>,
    /// When requests ended.
    pub(crate) served: Vec<Duration>,
}

impl Slots {
    pub(crate) fn new(count: u32, queue: usize, service_time: Duration) -> Slots {
        Slots {
            count,
            queue,
            service_time,
            running: BTreeSet::new(),
            waiting: VecDeque::new(),
            rejections: Vec::new(),
            served: Vec::new(),
        }
    }

    pub(crate) fn arrive(&mut self, send: u64) -> Arrived {
        if self.running.len() < self.count as usize {
            self.running.insert(send);
            return Arrived::Runs;
        }
        if self.waiting.len() < self.queue {
            self.waiting.push_back(send);
            return Arrived::Waits;
        }
        Arrived::Rejected
    }

    /// Whether a request holds a slot.
    pub(crate) fn is_running(&self, send: u64) -> bool {
        self.running.contains(&send)
    }

    /// Ends a request that runs or waits; returns the one that takes its slot.
    pub(crate) fn end(&mut self, send: u64) -> Option<u64> {
        self.waiting.retain(|it| *it != send);
        if !self.running.remove(&send) {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.insert(next);
        Some(next)
    }
}
