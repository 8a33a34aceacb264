//! A gateway's choice of upstream: power of two choices over the owners' piggybacked load, local
//! zone first, with bounded prompt-prefix affinity.
//!
//! Pure: the caller hands in candidates, loads and the random generator.

use base::hash;
use base::id;
use rand::Rng;
use rand::seq::IndexedRandom;

/// What is known of one candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The upstream.
    pub name: &'a id::Upstream,
    /// Whether it is in the gateway's own zone.
    pub is_local: bool,
    /// Calls in flight and queued, over the limit; `None` before anything is known.
    pub utilisation: Option<f64>,
}

/// Ways to choose; the weaker ones stay for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Any candidate.
    Random,
    /// The less loaded of two, local zone and prefix affinity first.
    TwoChoices,
}

/// Utilisation beyond which the local zone is left.
const LOCAL_BOUND: f64 = 0.7;
/// Utilisation beyond which an upstream loses its prefix affinity.
const AFFINITY_BOUND: f64 = 0.8;
/// Utilisation assumed of an upstream of which nothing is known; between idle and busy, so that it
/// is tried and not flooded.
const UNKNOWN_UTILISATION: f64 = 0.5;

impl Candidate<'_> {
    fn load(&self) -> f64 {
        self.utilisation.unwrap_or(UNKNOWN_UTILISATION)
    }
}

/// Chooses among `candidates`; `prefix` is the hash of a prompt prefix for engines.
pub fn choose<'a>(
    policy: Policy,
    candidates: &[Candidate<'a>],
    prefix: Option<u64>,
    rng: &mut impl Rng,
) -> Option<&'a id::Upstream> {
    if policy == Policy::Random {
        return candidates.choose(rng).map(|it| it.name);
    }
    if let Some(candidate) = prefix.and_then(|prefix| by_affinity(candidates, prefix)) {
        return Some(candidate.name);
    }
    let local: Vec<&Candidate<'a>> = candidates
        .iter()
        .filter(|it| it.is_local && it.load() < LOCAL_BOUND)
        .collect();
    if !local.is_empty() {
        return less_loaded_of_two(&local, rng);
    }
    let all: Vec<&Candidate<'a>> = candidates.iter().collect();
    less_loaded_of_two(&all, rng)
}

fn by_affinity<'c, 'a>(candidates: &'c [Candidate<'a>], prefix: u64) -> Option<&'c Candidate<'a>> {
    candidates
        .iter()
        .filter(|it| it.load() < AFFINITY_BOUND)
        .max_by_key(|it| hash::hash_bytes([&prefix.to_le_bytes()[..], it.name.as_str().as_bytes()]))
}

fn less_loaded_of_two<'a>(
    candidates: &[&Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'a id::Upstream> {
    let mut two = candidates.choose_multiple(rng, 2);
    let first = two.next()?;
    let Some(second) = two.next() else {
        return Some(first.name);
    };
    let is_second_better = second.load() < first.load();
    let better = if is_second_better { second } else { first };
    Some(better.name)
}
