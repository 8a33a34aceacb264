//! Load balancing: the order in which upstreams are tried for a request.
//!
//! A request to a plain service goes to the least loaded healthy upstream; among equally loaded
//! ones, the preferred zone comes first. Model engines cache prompts, so requests with the same
//! prompt prefix go to the same engine of a zone: every instance computes the same order from the
//! prefix by rendezvous hashing, without coordination.

use std::time::Duration;

use base::hash;
use base::id;

/// An upstream whose failure rate exceeds the median of the candidates by this much is avoided.
const FAILURE_EXCESS: f64 = 0.25;
/// An upstream whose latency ratio exceeds this multiple of the candidates' median is avoided.
const SLOW_FACTOR: f64 = 3.0;
/// Latency differences below this are noise.
const SLOW_EXCESS_MIN: Duration = Duration::from_millis(60);
/// Fraction of an engine's slots that one instance fills before it prefers the next engine.
const AFFINITY_LOAD: f64 = 0.5;

/// An upstream that a request may be sent to, with the state that its rank depends on.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the upstream.
    pub name: &'a id::Upstream,
    /// Whether it is in the preferred zone of the request.
    pub is_near: bool,
    /// Whether it is in back-off or has overdue sends; it then ranks behind all others.
    pub is_paused: bool,
    /// Whether its cold limit allows a request now; excluded otherwise.
    pub is_within_cold_limit: bool,
    /// Requests of this instance in flight to it.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Fraction of recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Average time to the first byte as a multiple of the expected one, if known.
    pub latency_ratio: Option<f64>,
}

/// Returns the candidates within their cold limit, best first. The first byte of the request's
/// answer is expected after `expected`. `prompt` identifies the prompt prefix that it shares with
/// other requests; without one, `tie_breaker` orders equal candidates differently for each request.
#[must_use]
pub fn order<'a>(
    candidates: &[Candidate<'a>],
    expected: Duration,
    prompt: Option<u64>,
    tie_breaker: u64,
) -> Vec<&'a id::Upstream> {
    let median_failure_rate = median(candidates.iter().map(|it| it.failure_rate));
    let median_ratio = median(candidates.iter().filter_map(|it| it.latency_ratio));
    let is_avoided = |it: &Candidate<'_>| {
        let excess = it
            .latency_ratio
            .map_or(0.0, |it| it - median_ratio)
            .max(0.0);
        let is_slow = excess > median_ratio * (SLOW_FACTOR - 1.0)
            && expected.mul_f64(excess) > SLOW_EXCESS_MIN;
        it.failure_rate > median_failure_rate + FAILURE_EXCESS || is_slow
    };
    let rank = |it: &&Candidate<'a>| {
        let load = match prompt {
            Some(_) => u32::from(f64::from(it.in_flight) >= f64::from(it.slots) * AFFINITY_LOAD),
            None => it.in_flight,
        };
        let weight = hash::hash_bytes([
            &prompt.unwrap_or(tie_breaker).to_le_bytes()[..],
            it.name.as_str().as_bytes(),
        ]);
        (it.is_paused, is_avoided(it), load, !it.is_near, weight)
    };
    let mut allowed: Vec<&Candidate<'a>> = candidates
        .iter()
        .filter(|it| it.is_within_cold_limit)
        .collect();
    allowed.sort_by_cached_key(rank);
    allowed.into_iter().map(|it| it.name).collect()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
