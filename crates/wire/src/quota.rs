//! Messages about the rate limits of upstreams.

use base::id;
use forwarding::quota::Urgency;
use forwarding::quota::belief::Observation;
use forwarding::quota::loan::Stamp;
use forwarding::quota::pool::Share;
use serde::Deserialize;
use serde::Serialize;

/// Asks for permission to send one request to an upstream. If that is fragile, the permission lasts
/// until the sender closes the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admit {
    /// The upstream.
    pub upstream: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// What the sender knows of the upstream's limits.
    pub known: Option<Observation>,
}

/// Lends the sender's share of all rate limits of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// The sender.
    pub lender: id::Instance,
    /// The zone of the upstreams.
    pub zone: id::Zone,
    /// The share.
    pub share: Share,
    /// Requests that the sender has in flight at fragile upstreams of the zone without a grant of the
    /// receiver.
    pub in_flight: Vec<(id::Incarnation, u32)>,
    /// Stamp of the receiver, which bounds the loan; without one nothing is lent.
    pub stamp: Option<Stamp>,
}

/// Tells that a fragile upstream has rejected a request of the sender for want of room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rejected {
    /// The upstream.
    pub upstream: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// What the sender knows of the upstream's limits.
    pub known: Option<Observation>,
}

/// Ends the sender's loan of the rate limits of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// The sender.
    pub lender: id::Instance,
    /// The zone of the upstreams.
    pub zone: id::Zone,
}
