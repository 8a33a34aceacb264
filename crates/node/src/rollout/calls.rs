//! Counts calls to the upstreams that run steps.

use std::sync::Arc;

use catalog::Upstream;
use stages::ItemFailure;
use stages::Outcome;
use tokio::time::Instant;

use crate::state::Node;

/// A call to an upstream that runs steps, counted until it is dropped.
pub(crate) struct CallRecord {
    node: Arc<Node>,
    id: Option<u64>,
}

impl CallRecord {
    /// Records the begin of a call.
    pub(crate) fn begin(node: &Arc<Node>, upstream: &Upstream) -> CallRecord {
        let rollouts = node.rollouts();
        CallRecord {
            id: rollouts.map(|mut it| it.record_call(upstream, Instant::now())),
            node: node.clone(),
        }
    }

    /// Records the outcome.
    pub(crate) fn record(&self, outcome: &Outcome) {
        let Some((id, mut rollouts)) = self.id.zip(self.node.rollouts()) else {
            return;
        };
        match outcome {
            Outcome::Done(results) if results.contains(&Err(ItemFailure::Failed)) => {
                rollouts.ledger.record_failure(id);
            }
            Outcome::Done(_) => rollouts.ledger.record_answer(id, Instant::now()),
            Outcome::Lost => rollouts.ledger.record_failure(id),
            Outcome::Rejected | Outcome::Unsent | Outcome::Unreachable | Outcome::Interrupted => {
                rollouts.ledger.record_not_run(id)
            }
        }
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if let Some((id, mut rollouts)) = self.id.zip(self.node.rollouts()) {
            rollouts.ledger.record_end(id, Instant::now());
        }
    }
}
