//! Self-fence: stops a member from admitting new work when it may have been declared lost.

use std::collections::BTreeMap;

use base::id;
use tokio::time::Instant;

use crate::Timing;

/// Acknowledgements that show that this member has not been declared lost.
#[derive(Debug)]
pub(crate) struct Fence {
    timing: Timing,
    /// Send time of the newest heartbeat that each neighbour acknowledged.
    last_acked: BTreeMap<id::Instance, Instant>,
    /// While set, the fence is closed and opens no earlier than this.
    opens_at: Option<Instant>,
}

impl Fence {
    /// Creates a closed fence, which opens no earlier than [`Timing::reopen_delay`] from `now`.
    pub(crate) fn new(timing: Timing, now: Instant) -> Fence {
        Fence {
            timing,
            last_acked: BTreeMap::new(),
            opens_at: Some(now + timing.reopen_delay),
        }
    }

    /// Records that the neighbour `by` has acknowledged the heartbeat sent at `sent_at`.
    pub(crate) fn record_ack(&mut self, by: &id::Instance, sent_at: Instant) {
        let newest = self.last_acked.entry(by.clone()).or_insert(sent_at);
        *newest = sent_at.max(*newest);
    }

    /// Closes the fence and drops all acknowledgements, after this member was declared lost.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.last_acked.clear();
        self.opens_at = Some(now + self.timing.reopen_delay);
    }

    /// Whether new work may be admitted at `now`, given the current neighbours. Closes the fence if
    /// fewer than half of them have acknowledged a heartbeat sent within [`Timing::fence_timeout`].
    pub(crate) fn is_open(&mut self, now: Instant, neighbours: &[id::Instance]) -> bool {
        let is_fresh = |sent_at: &Instant| now.duration_since(*sent_at) < self.timing.fence_timeout;
        let fresh_acks = neighbours
            .iter()
            .filter_map(|it| self.last_acked.get(it))
            .filter(|sent_at| is_fresh(sent_at))
            .count();
        if fresh_acks < neighbours.len().div_ceil(2) {
            self.opens_at = Some(now + self.timing.reopen_delay);
            return false;
        }
        if self.opens_at.is_some_and(|at| now < at) {
            return false;
        }
        self.opens_at = None;
        true
    }
}
