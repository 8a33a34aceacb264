//! A gateway's choice of upstream: power of two choices by the load that owners piggyback on their
//! answers, with zone affinity and prompt-prefix affinity up to a utilisation bound.
//!
//! The functions perform no I/O and hold no state: the caller passes candidates, loads and the
//! random generator.

use base::hash;
use base::id;
use rand::Rng;
use rand::seq::IndexedRandom;

/// An upstream that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the upstream.
    pub name: &'a id::Upstream,
    /// Whether it is in the gateway's zone.
    pub is_local: bool,
    /// Calls in flight and queued, divided by the in-flight limit; `None` if no recent load is
    /// known.
    pub utilisation: Option<f64>,
}

/// How upstreams are chosen. Only [`Policy::TwoChoices`] is meant for production; the others serve
/// as a baseline for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// A uniformly random candidate.
    Random,
    /// The candidate with prefix affinity, else the less loaded of two random ones, in the local
    /// zone if possible.
    TwoChoices,
}

/// Utilisation from which a local upstream is no longer preferred over other zones.
const LOCAL_UTILISATION_MAX: f64 = 0.7;
/// Utilisation from which prefix affinity no longer selects an upstream.
const AFFINITY_UTILISATION_MAX: f64 = 0.8;
/// Utilisation assumed for an upstream without a known load: between idle and busy, so that it gets
/// some requests without being flooded.
const ASSUMED_UTILISATION: f64 = 0.5;

impl Candidate<'_> {
    fn utilisation_or_assumed(&self) -> f64 {
        self.utilisation.unwrap_or(ASSUMED_UTILISATION)
    }
}

/// Chooses among `candidates`; `None` if there are none. `prefix` is the hash of the prompt prefix
/// of a generation.
pub fn choose<'a>(
    policy: Policy,
    candidates: &[Candidate<'a>],
    prefix: Option<u64>,
    rng: &mut impl Rng,
) -> Option<&'a id::Upstream> {
    if policy == Policy::Random {
        return candidates.choose(rng).map(|it| it.name);
    }
    if let Some(candidate) = prefix.and_then(|prefix| choose_by_affinity(candidates, prefix)) {
        return Some(candidate.name);
    }
    let local: Vec<&Candidate<'a>> = candidates
        .iter()
        .filter(|it| it.is_local && it.utilisation_or_assumed() < LOCAL_UTILISATION_MAX)
        .collect();
    if !local.is_empty() {
        return less_loaded_of_two(&local, rng);
    }
    let all: Vec<&Candidate<'a>> = candidates.iter().collect();
    less_loaded_of_two(&all, rng)
}

/// Chooses by rendezvous hashing of `prefix` among the candidates below
/// [`AFFINITY_UTILISATION_MAX`].
fn choose_by_affinity<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    prefix: u64,
) -> Option<&'c Candidate<'a>> {
    candidates
        .iter()
        .filter(|it| it.utilisation_or_assumed() < AFFINITY_UTILISATION_MAX)
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
    let is_second_better = second.utilisation_or_assumed() < first.utilisation_or_assumed();
    let better = if is_second_better { second } else { first };
    Some(better.name)
}
