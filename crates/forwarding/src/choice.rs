//! Which upstream a request goes to.
//!
//! Plain services take the least loaded healthy upstream, the own zone first. Model engines keep
//! prompts in memory, so requests that share a prompt go to the same engine of a zone: every
//! instance computes the same order from the shared part alone, without a message.

use std::time::Duration;

use base::hash;
use base::id;

/// An upstream whose failure rate exceeds the service's median by this much is avoided.
const FAILURE_EXCESS: f64 = 0.25;
/// An upstream slower than this multiple of the service's median is avoided.
const SLOWNESS: f64 = 3.0;
/// Differences in the time to answer below this are noise.
const SLOWNESS_MIN: Duration = Duration::from_millis(60);
/// Part of its slots that one instance fills at an engine before it turns to the next one.
const AFFINITY_LOAD: f64 = 0.5;

/// What is known of one upstream.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a id::Upstream,
    /// Whether it is in the zone that is best for the request.
    pub is_near: bool,
    /// Whether it should be left alone for now.
    pub is_paused: bool,
    /// Whether its cold limit allows a request now.
    pub is_within_cold_limit: bool,
    /// Requests of this instance that it works on.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Share of recent requests that failed.
    pub failure_rate: f64,
    /// Average time to answer as a multiple of the usual one.
    pub latency_ratio: Option<f64>,
}

/// Orders `candidates` that may be sent to, the best first, for a request that is usually answered in
/// `usual`; `prompt` identifies the shared part of its prompt. `spread` differs between requests and
/// breaks ties.
#[must_use]
pub fn order<'a>(
    candidates: &[Candidate<'a>],
    usual: Duration,
    prompt: Option<u64>,
    spread: u64,
) -> Vec<&'a id::Upstream> {
    let failure_rate = median(candidates.iter().map(|it| it.failure_rate));
    let pace = median(candidates.iter().filter_map(|it| it.latency_ratio));
    let is_avoided = |it: &Candidate<'_>| {
        let excess = it.latency_ratio.map_or(0.0, |it| it - pace).max(0.0);
        let is_slow = excess > pace * (SLOWNESS - 1.0) && usual.mul_f64(excess) > SLOWNESS_MIN;
        it.failure_rate > failure_rate + FAILURE_EXCESS || is_slow
    };
    let rank = |it: &&Candidate<'a>| {
        let load = match prompt {
            Some(_) => u32::from(f64::from(it.in_flight) >= f64::from(it.slots) * AFFINITY_LOAD),
            None => it.in_flight,
        };
        let weight = hash::of([
            &prompt.unwrap_or(spread).to_le_bytes()[..],
            it.name.as_str().as_bytes(),
        ]);
        (it.is_paused, is_avoided(it), load, !it.is_near, weight)
    };
    let mut open: Vec<&Candidate<'a>> = candidates
        .iter()
        .filter(|it| it.is_within_cold_limit)
        .collect();
    open.sort_by_cached_key(rank);
    open.into_iter().map(|it| it.name).collect()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
