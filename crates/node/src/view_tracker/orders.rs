//! Orders of roll-outs, and how far these have come.

use base::id;
use mirror::Row;
use platform::rollout;

use super::Change;
use super::ViewTracker;
use super::unreadable;

impl ViewTracker {
    /// An order that cannot be decoded has no effect: one before it is no longer in force.
    pub(super) fn apply_order(&mut self, service: id::Service, row: &Row) -> Option<Change> {
        let Some(value) = row.value.as_deref() else {
            let order = self.view.orders.remove(&service);
            return order.map(|_| Change::RolloutWithdrawn(service));
        };
        match rollout::decode_order(&service, row.version, value) {
            Ok(order) => {
                let to = order.to.clone();
                self.view.orders.insert(service.clone(), order);
                Some(Change::RolloutOrdered(service, to))
            }
            Err(err) => {
                self.view.orders.remove(&service);
                Some(unreadable(row, err))
            }
        }
    }

    pub(super) fn apply_rollout(&mut self, service: id::Service, row: &Row) -> Change {
        let Some(value) = row.value.as_deref() else {
            self.view.rollouts.remove(&service);
            return Change::Rollout(service);
        };
        match rollout::decode_state(value) {
            Ok(state) => {
                self.view.rollouts.insert(service.clone(), state);
                Change::Rollout(service)
            }
            Err(err) => unreadable(row, err),
        }
    }
}
