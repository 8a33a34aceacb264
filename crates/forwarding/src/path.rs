//! Paths from this instance to the upstreams: which of them it reaches itself.
//!
//! One instance alone cannot tell an upstream that is down from its own lost path. The count of
//! upstreams that it reaches beside those that it does not is a hint.

use std::collections::BTreeMap;

use base::id;

/// Whether this instance reaches each upstream, by its latest connection or answer.
#[derive(Debug, Default)]
pub struct Paths {
    reached: BTreeMap<id::Upstream, bool>,
}

/// Numbers of upstreams by the latest attempt of this instance to reach them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Upstreams that accepted the latest connection or answered since.
    pub reached: usize,
    /// Upstreams that accepted no connection.
    pub unreached: usize,
}

impl Paths {
    /// Records that an upstream accepted a connection or answered.
    pub fn record_reached(&mut self, upstream: &id::Upstream) {
        self.record(upstream, true);
    }

    /// Records that an upstream accepted no connection.
    pub fn record_unreached(&mut self, upstream: &id::Upstream) {
        self.record(upstream, false);
    }

    /// Drops the state of upstreams that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&id::Upstream) -> bool) {
        self.reached.retain(|it, _| is_known(it));
    }

    /// Numbers of reached and unreached upstreams.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let reached = self.reached.values().filter(|it| **it).count();
        Counts {
            reached,
            unreached: self.reached.len() - reached,
        }
    }

    fn record(&mut self, upstream: &id::Upstream, is_reached: bool) {
        match self.reached.get_mut(upstream) {
            Some(known) => *known = is_reached,
            None => {
                self.reached.insert(upstream.clone(), is_reached);
            }
        }
    }
}
