//! The time that a refused client is told to wait, within the time that it accepts.

use std::time::Duration;

use base::hash;

/// Keeps these hashes apart from others of request ids.
const DOMAIN: &str = "return";
/// Shortest wait as a share of the accepted one.
const SHORTEST: f64 = 0.5;

/// `wanted`, if the client accepts it. Otherwise a time between half and all of `accepted`, by the
/// request's id, so that clients which would all be told the longest time return one after another.
#[must_use]
pub fn spread(wanted: Duration, accepted: Duration, request: &str) -> Duration {
    if wanted <= accepted {
        return wanted;
    }
    let fraction = hash::hash_strs([DOMAIN, request]) as f64 / u64::MAX as f64;
    accepted.mul_f64(SHORTEST + (1.0 - SHORTEST) * fraction)
}
