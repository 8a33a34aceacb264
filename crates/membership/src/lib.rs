//! Membership, failure detection and the self-fence of owners.
//!
//! A [`Node`] is a state machine: it takes heartbeats, the platform's list and the time, and
//! returns the messages to send. It performs no I/O and spawns nothing.
//!
//! Safety rests on two thresholds that always intersect. A member counts as lost only when more
//! than half of its neighbours have heard nothing from it for [`Timing::suspect_timeout`]. A member admits
//! new work only while at least half of its neighbours have acknowledged a heartbeat that it sent
//! within [`Timing::fence_timeout`], which is shorter. Both are measured on each process's own clock. Lost
//! members stay neighbours, so that the thresholds do not shrink with a partition and the two sides
//! find each other when it heals; only an orderly departure or the platform's list removes one.

mod fence;
mod node;
mod overlay;
mod rumor;

pub use node::Node;
pub use node::OutgoingHeartbeat;

use std::time::Duration;

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of heartbeats to each neighbour.
    pub heartbeat_interval: Duration,
    /// Age of the newest acknowledged heartbeat at which a neighbour no longer vouches.
    pub fence_timeout: Duration,
    /// Silence after which a neighbour suspects a member.
    pub suspect_timeout: Duration,
    /// Time of renewed acknowledgements before a lapsed fence opens again.
    pub reopen_delay: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_secs(1),
            fence_timeout: Duration::from_millis(2500),
            suspect_timeout: Duration::from_millis(4000),
            reopen_delay: Duration::from_millis(2000),
        }
    }
}
