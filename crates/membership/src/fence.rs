//! Self-fence of a member.

use std::collections::BTreeMap;

use base::id;
use tokio::time::Instant;

use crate::Timing;

/// Evidence that this member has not been replaced.
#[derive(Debug)]
pub(crate) struct Fence {
    timing: Timing,
    /// Send time of the newest heartbeat that each neighbour acknowledged.
    acked: BTreeMap<id::Instance, Instant>,
    /// While set, the fence has lapsed and opens no earlier than this.
    opens_at: Option<Instant>,
}

impl Fence {
    /// A fence that opens after one settle time, as after a lapse.
    pub(crate) fn new(timing: Timing, now: Instant) -> Fence {
        Fence {
            timing,
            acked: BTreeMap::new(),
            opens_at: Some(now + timing.reopen_delay),
        }
    }

    /// A neighbour acknowledged the heartbeat sent at `sent`.
    pub(crate) fn acknowledge(&mut self, by: &id::Instance, sent: Instant) {
        let newest = self.acked.entry(by.clone()).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Forgets all evidence, after this member was declared lost.
    pub(crate) fn lapse(&mut self, now: Instant) {
        self.acked.clear();
        self.opens_at = Some(now + self.timing.reopen_delay);
    }

    /// Whether new work may be admitted at `now`, given the current neighbours.
    pub(crate) fn is_open(&mut self, now: Instant, neighbours: &[id::Instance]) -> bool {
        let is_fresh = |sent: &Instant| now.duration_since(*sent) < self.timing.fence_timeout;
        let vouching = neighbours
            .iter()
            .filter_map(|it| self.acked.get(it))
            .filter(|sent| is_fresh(sent))
            .count();
        if vouching < neighbours.len().div_ceil(2) {
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
