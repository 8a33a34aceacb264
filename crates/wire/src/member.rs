//! Messages of membership.

use std::net::SocketAddr;

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Target;

/// Life of a member; later states of one incarnation override earlier ones.
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
    /// Serving.
    Alive,
    /// Stopping gracefully: owns nothing, finishes what it has.
    Leaving,
    /// Silent to more than half of its neighbours. It may still run, cut off from them.
    Lost,
    /// Stopped in order, or taken away by the platform.
    Gone,
}

/// What is known of one member. Ordered by (incarnation, state, gateway).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its dispatcher's address.
    pub address: SocketAddr,
    /// Grows with every start of the process.
    pub incarnation: u64,
    /// Its life.
    pub state: State,
    /// Incarnation of the gateway that follows it, zero before one does.
    pub gateway: u64,
}

impl Record {
    /// Whether `self` is newer than `other` about the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Record) -> bool {
        let order = |it: &Record| (it.incarnation, it.state, it.gateway);
        order(self) > order(other)
    }
}

/// One neighbour's word that it has not heard from a member for the suspicion time, or that it
/// hears from it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The silent member.
    pub about: id::Instance,
    /// Its incarnation.
    pub incarnation: u64,
    /// Who says so.
    pub by: id::Instance,
    /// Grows with each change of mind of `by`.
    pub sequence: u64,
    /// Whether the member is silent.
    pub is_silent: bool,
}

/// A drain that spreads among members ahead of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restriction {
    /// Identifies the restriction and its later commit.
    pub token: id::Token,
    /// What is taken out.
    pub target: Target,
    /// Who asked for it.
    pub author: String,
}

/// A request that was running on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: id::Fingerprint,
    /// The attempt, which tells crashes apart.
    pub attempt: id::Attempt,
    /// Whether the request has completed since, so that it is no suspect any more.
    pub is_cleared: bool,
}

/// A piece of news that floods over the overlay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipEntry {
    /// A member changed.
    Member(Record),
    /// A neighbour suspects, or clears, a member.
    Suspicion(Suspicion),
    /// A drain ahead of the table.
    Restriction(Restriction),
    /// A request was running on an upstream that crashed.
    Crash(Crash),
}

/// Heartbeat, and its acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: id::Instance,
    /// Its incarnation.
    pub incarnation: u64,
    /// Sender's sequence number; the acknowledgement repeats it.
    pub sequence: u64,
    /// Digest of the members that the sender knows.
    pub members: u64,
    /// Configuration version that the sender has in force.
    pub config_version: u64,
    /// News for the receiver.
    pub news: Vec<GossipEntry>,
}
