//! Faults that the control port switches.

use serde::Deserialize;
use serde::Serialize;

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Answers every call with 503.
    pub outage: bool,
    /// Delays every answer by this many milliseconds.
    pub slow_ms: u64,
    /// Loses the answers of this many writes after they took effect.
    pub lose_answers: u32,
}

/// Faults of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Multiplies every step, if not zero.
    pub slow_factor: u64,
    /// Cuts this many streams in the middle.
    pub cut_streams: u32,
    /// Gives this many answers the id of another attempt.
    pub cross_answers: u32,
    /// Makes it cold.
    pub cold: bool,
    /// Closes its port and every connection.
    pub crash: bool,
}
