//! Gossip membership, failure detection and the self-fence of owners.
//!
//! A [`Node`] is a state machine: it takes heartbeats, the platform's instance list and the time,
//! and returns the messages to send. It performs no I/O and spawns no tasks.
//!
//! Safety rests on two quorums that always intersect. A member is declared lost only when more
//! than half of its neighbours have received nothing from it for [`Timing::suspect_timeout`]. A
//! member admits new work only while at least half of its neighbours have acknowledged a heartbeat
//! that it sent within [`Timing::fence_timeout`], which is shorter. Each process measures both with
//! its own clock. Lost members stay neighbours, so that the quorums do not shrink during a
//! partition and the two sides find each other when it heals. A neighbour is removed only by a
//! graceful leave or by the platform's instance list.

mod fence;
mod gossip;
mod node;
mod overlay;

pub use node::Node;
pub use node::OutgoingHeartbeat;

use std::time::Duration;

/// Intervals and timeouts of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats to each neighbour.
    pub heartbeat_interval: Duration,
    /// Age of an acknowledgement, counted from the sending of its heartbeat, from which it no
    /// longer counts for the fence.
    pub fence_timeout: Duration,
    /// Time without a message from a member after which a neighbour suspects it.
    pub suspect_timeout: Duration,
    /// Time for which enough acknowledgements must arrive before a closed fence opens again.
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
