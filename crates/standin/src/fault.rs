//! Faults that the control port injects.

use serde::Deserialize;
use serde::Serialize;

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Rejects every request with 503.
    pub outage: bool,
    /// Delays every response by this many milliseconds.
    pub slow_ms: u64,
    /// Applies this many further transactions without responding in time.
    pub lose_answers: u32,
}

/// Faults of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Factor on the step time; 0 for none.
    pub slow_factor: u64,
    /// Cuts this many further streams in the middle.
    pub cut_streams: u32,
    /// Sends this many further responses with the id of another attempt.
    pub cross_answers: u32,
    /// Makes the upstream cold at once.
    pub cold: bool,
    /// Closes the port and all connections while set.
    pub crash: bool,
}
