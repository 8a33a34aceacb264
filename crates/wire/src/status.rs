//! State that operators see.

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::Load;
use crate::member;

/// State of one dispatcher and of the gateways that follow it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Configuration version in force in the dispatcher.
    pub config_version: u64,
    /// Configuration version in force in the gateway that follows it, if one does.
    pub gateway_version: Option<u64>,
    /// What is out of service.
    pub drained: config::document::Drained,
    /// Whether the fence lets it admit new work.
    pub is_unfenced: bool,
    /// Whether the table answered the last request.
    pub is_store_up: bool,
    /// Members that it knows.
    pub members: Vec<member::Record>,
    /// Upstreams that it owns.
    pub upstreams: Vec<Upstream>,
    /// Violations of program invariants.
    pub violations: u64,
}

/// State of one owned upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream.
    pub name: id::Upstream,
    /// Its availability zone.
    pub zone: id::Zone,
    /// `cold`, `warming` or `warm`.
    pub warmth: String,
    /// Its load.
    pub load: Load,
    /// Work of a previous owner that may still run.
    pub inherited: u32,
    /// Whether it is drained.
    pub is_drained: bool,
}
