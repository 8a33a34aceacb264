//! Settings of the stand-in process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Settings of a stand-in process, which simulates the platform and all upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Listen address of the control port.
    pub control: SocketAddr,
    /// Listen address of the platform.
    pub platform: SocketAddr,
    /// Initial list of instances of the platform.
    pub instances: Vec<table::ListedInstance>,
    /// Upstreams to simulate.
    pub upstreams: Vec<Upstream>,
}

/// Protocol of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engine that streams tokens.
    Engine,
    /// Service with one response per request.
    Plain,
}

/// Settings of a simulated upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Protocol that it serves.
    pub kind: Kind,
    /// Time of a plain call, or between two tokens, in milliseconds.
    pub step_ms: u64,
    /// Limit on calls in flight while it is cold.
    pub cold_limit: u32,
    /// Limit on calls in flight while it is warm.
    pub warm_limit: u32,
    /// Number of completed calls after which it is warm.
    pub warm_after: u32,
    /// Whether it rejects commands with an outdated fencing token.
    pub checks_fencing: bool,
}
