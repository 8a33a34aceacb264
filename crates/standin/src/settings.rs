//! Settings of the stand-in process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Everything that one stand-in process plays.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The platform's list of instances.
    pub instances: Vec<table::Listed>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Protocol of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engine.
    Engine,
    /// Plain service.
    Plain,
}

/// One upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Protocol.
    pub kind: Kind,
    /// Time of a plain call, or between two tokens, in milliseconds.
    pub step_ms: u64,
    /// Calls in flight that it bears while cold.
    pub cold_limit: u32,
    /// Calls in flight that it bears while warm.
    pub warm_limit: u32,
    /// Whole answers after which it is warm.
    pub warm_after: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}
