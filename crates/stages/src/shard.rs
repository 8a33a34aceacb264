//! Partition of the step services' upstreams among owners.
//!
//! A single owner sees every waiting piece and fills batches best. With many upstreams one owner
//! cannot handle the message rate, while each zone has enough upstreams to fill batches of its own;
//! then each zone becomes a shard, and results do not cross zones.

use std::fmt;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;

/// Number of step-service upstreams from which on they are partitioned by zone. One owner handles
/// sixteen; the load of fifty, 3,500 pieces a second, exceeds what half a CPU core can handle.
const SPLIT_UPSTREAMS_MIN: usize = 32;

/// Longest queue that a request joins for the sake of its cached prompt. Longer queues form in
/// bursts, when requests are short of time.
const AFFINITY_QUEUE_MAX: Duration = Duration::from_millis(300);

/// A set of upstreams with one owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Shard {
    /// All upstreams.
    Whole,
    /// The upstreams of one zone.
    Zone(id::Zone),
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shard::Whole => f.write_str("whole"),
            Shard::Zone(zone) => write!(f, "{zone}"),
        }
    }
}

impl Shard {
    /// Whether the shard includes the upstreams of `zone`.
    #[must_use]
    pub fn contains(&self, zone: &id::Zone) -> bool {
        match self {
            Shard::Whole => true,
            Shard::Zone(own) => own == zone,
        }
    }
}

/// The shards that the upstreams of a view are partitioned into; none without a catalog.
#[must_use]
pub fn partition(view: &View) -> Vec<Shard> {
    let Some(catalog) = &view.catalog else {
        return Vec::new();
    };
    let is_step = |service: &id::Service| {
        let service = catalog.services.get(service);
        service.is_some_and(|it| it.batch_limits.is_some())
    };
    let upstreams = view.upstreams.values().filter(|it| is_step(&it.service));
    let mut zones: Vec<&id::Zone> = upstreams.map(|it| &it.zone).collect();
    if zones.len() < SPLIT_UPSTREAMS_MIN {
        return vec![Shard::Whole];
    }
    zones.sort();
    zones.dedup();
    zones.into_iter().cloned().map(Shard::Zone).collect()
}

/// A shard's capacity for requests whose steps run at `services`: the smallest number of usable
/// upstreams that it has of any of them, or 1 for requests without steps.
#[must_use]
pub fn capacity<'a>(
    view: &View,
    shard: &Shard,
    services: impl IntoIterator<Item = &'a id::Service>,
) -> usize {
    let counts = services.into_iter().map(|service| {
        let usable = view.usable(service);
        usable.filter(|it| shard.contains(&it.zone)).count()
    });
    counts.min().unwrap_or(1)
}

/// A shard that may run the steps of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The shard.
    pub shard: Shard,
    /// Number of usable upstreams, as returned by [`capacity`].
    pub capacity: usize,
    /// Time until its queue has drained; zero for requests without steps, which are not queued.
    pub wait: Duration,
}

/// Location of the engine that has the shared prefix of a request's prompt cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixCache {
    /// Zone of the engine.
    pub zone: id::Zone,
    /// Time that another engine needs to process the prefix again; the queue in this zone may be
    /// longer than others by as much.
    pub recompute_cost: Duration,
}

/// Chooses the shard with the shortest queue, preferring the one that has the prompt's prefix
/// cached; `None` if no candidate has capacity. Ties are broken by rendezvous hashing, weighted by
/// capacity, with `tie_breaker`, which differs between requests.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    cache: Option<&PrefixCache>,
    tie_breaker: &str,
) -> Option<Shard> {
    let has_cache = |it: &Candidate| cache.is_some_and(|cache| it.shard.contains(&cache.zone));
    let has_short_queue = |it: &Candidate| has_cache(it) && it.wait <= AFFINITY_QUEUE_MAX;
    let cache = cache.filter(|_| candidates.iter().any(has_short_queue));
    let cost = |it: &Candidate| {
        let recompute_cost = cache.filter(|_| !has_cache(it)).map(|it| it.recompute_cost);
        let uniform = hash::hash_strs([tie_breaker, &it.shard.to_string()]);
        let uniform = (uniform as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let wait = it.wait + recompute_cost.unwrap_or_default();
        (wait.as_millis(), -uniform.ln() / it.capacity as f64)
    };
    let eligible = candidates.iter().filter(|it| it.capacity > 0);
    let best = eligible.min_by(|a, b| {
        let (a, b) = (cost(a), cost(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    best.map(|it| it.shard.clone())
}
