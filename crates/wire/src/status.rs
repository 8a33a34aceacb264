//! State of a dispatcher as reported to operators.

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::Load;
use crate::member;

/// State of one dispatcher and of the gateway that follows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Instance of the dispatcher.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Configuration version that the dispatcher has in force.
    pub config_version: u64,
    /// Configuration version that its gateway has in force; `None` before one has connected.
    pub gateway_version: Option<u64>,
    /// Drained zones and upstreams.
    pub drained: config::document::Drained,
    /// Whether it holds its fencing lease and may admit new work.
    pub is_unfenced: bool,
    /// Whether its latest read of the configuration table succeeded.
    pub is_store_up: bool,
    /// All members that it knows, including those that have left.
    pub members: Vec<member::Record>,
    /// Upstreams that the dispatcher owns.
    pub upstreams: Vec<Upstream>,
    /// Number of invariant violations since the start of the process.
    pub violations: u64,
}

/// State of one owned upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Its availability zone.
    pub zone: id::Zone,
    /// `cold`, `warming` or `warm`.
    pub warmth: String,
    /// Calls in flight and queued, and the in-flight limit.
    pub load: Load,
    /// Calls of a previous owner that may still be in flight.
    pub inherited: u32,
    /// Whether the upstream or its zone is drained.
    pub is_drained: bool,
}
