//! Messages of the membership protocol: heartbeats and the gossip that they carry.

use std::net::SocketAddr;

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Target;

/// Lifecycle state of a member. Within one incarnation, a greater state overrides a smaller one.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The member serves requests.
    Alive,
    /// Shutting down: owns no upstream any more and finishes its calls in flight.
    Leaving,
    /// More than half of its neighbours have not heard from it. It may still run in a network
    /// partition.
    Lost,
    /// Stopped after a graceful shutdown, or removed by the platform.
    Gone,
}

/// Gossiped record of one member. A greater (incarnation, state, gateway) is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Instance of the member.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Address of its dispatcher.
    pub address: SocketAddr,
    /// Grows with every start of the process, and when the member refutes that it was lost.
    pub incarnation: u64,
    /// Lifecycle state.
    pub state: State,
    /// Incarnation of the gateway that follows it; 0 before the first one.
    pub gateway: u64,
}

impl Record {
    /// Whether `self` is newer than `other`, a record of the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Record) -> bool {
        let order = |it: &Record| (it.incarnation, it.state, it.gateway);
        order(self) > order(other)
    }
}

/// Vote of one neighbour on a member: it has received no heartbeat for the suspicion timeout, or
/// receives heartbeats again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Member that the vote is about.
    pub about: id::Instance,
    /// Incarnation of that member.
    pub incarnation: u64,
    /// Neighbour that votes.
    pub by: id::Instance,
    /// Sequence number of the vote among those of `by`; the highest one is valid.
    pub sequence: u64,
    /// Whether `by` suspects the member.
    pub is_silent: bool,
}

/// A drain that is gossiped among the members before it is committed to the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restriction {
    /// Identifies the drain and its later commit.
    pub token: id::Token,
    /// Zone or upstream to drain.
    pub target: Target,
    /// Operator who requested the drain.
    pub author: String,
}

/// A request that was running on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: id::Fingerprint,
    /// Attempt that was running; identifies the crash.
    pub attempt: id::Attempt,
    /// Whether the request has completed since, and is not suspected any more.
    pub is_cleared: bool,
}

/// A gossip entry, flooded over the overlay of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipEntry {
    /// A member joined or changed its state.
    Member(Record),
    /// A neighbour suspects a member, or withdraws its suspicion.
    Suspicion(Suspicion),
    /// A zone or upstream was drained while the table was unreachable.
    Restriction(Restriction),
    /// A request was running on an upstream that crashed.
    Crash(Crash),
}

/// A heartbeat or its acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance of the sender.
    pub from: id::Instance,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number of the heartbeat; the acknowledgement repeats it.
    pub sequence: u64,
    /// Digest of the gossip state that the sender holds. Repeated mismatches trigger a full sync.
    pub members: u64,
    /// Configuration version that the sender has in force.
    pub config_version: u64,
    /// Gossip entries that the receiver may not have.
    pub news: Vec<GossipEntry>,
}
