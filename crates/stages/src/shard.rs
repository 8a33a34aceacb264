//! How step services are split over owners.
//!
//! One owner sees every waiting piece and fills its calls best. Where a service has many upstreams
//! one owner cannot carry the messages, and each zone has enough upstreams to fill calls of its
//! own; then each zone is a shard, and no result crosses zones.

use std::fmt;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;

/// Upstreams of step services from which on they are split by zone. Sixteen of them are one
/// owner's; fifty, at 3,500 pieces a second, are more than half a core can carry.
const SPLIT_UPSTREAMS: usize = 32;

/// Longest queue that requests join for the sake of their prompts. In a burst, time is what they lack.
const SHORT_QUEUE: Duration = Duration::from_millis(300);

/// A set of upstreams with one owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Shard {
    /// All upstreams.
    Whole,
    /// Those of one zone.
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
    /// Whether upstreams of `zone` belong to the shard.
    #[must_use]
    pub fn contains(&self, zone: &id::Zone) -> bool {
        match self {
            Shard::Whole => true,
            Shard::Zone(own) => own == zone,
        }
    }
}

/// The shards of a view.
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
    if zones.len() < SPLIT_UPSTREAMS {
        return vec![Shard::Whole];
    }
    zones.sort();
    zones.dedup();
    zones.into_iter().cloned().map(Shard::Zone).collect()
}

/// How much a shard can carry of requests whose steps run at `services`: the fewest upstreams that
/// it has of any of them, or one where they have no steps.
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

/// A shard that can run the steps of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The shard.
    pub shard: Shard,
    /// What it can carry, as [`capacity`] counts it.
    pub capacity: usize,
    /// Time in which its queue drains; zero for requests without steps, which wait in no queue.
    pub wait: Duration,
}

/// Where an engine keeps the shared part of a request's prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixCache {
    /// Zone of the engine.
    pub zone: id::Zone,
    /// How much longer a queue may be there: what it costs to read the prompt elsewhere.
    pub recompute_cost: Duration,
}

/// The shard with the shortest queue, the home of the prompt first. Equal queues are shared out by
/// `spread`, which differs between requests, in proportion to what the shards carry.
#[must_use]
pub fn choose(candidates: &[Candidate], home: Option<&PrefixCache>, spread: &str) -> Option<Shard> {
    let is_home = |it: &Candidate| home.is_some_and(|home| it.shard.contains(&home.zone));
    let is_short = |it: &Candidate| is_home(it) && it.wait <= SHORT_QUEUE;
    let home = home.filter(|_| candidates.iter().any(is_short));
    let cost = |it: &Candidate| {
        let bonus = home.filter(|_| !is_home(it)).map(|it| it.recompute_cost);
        let draw = hash::of_strs([spread, &it.shard.to_string()]);
        let draw = (draw as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let wait = it.wait + bonus.unwrap_or_default();
        (wait.as_millis(), -draw.ln() / it.capacity as f64)
    };
    let able = candidates.iter().filter(|it| it.capacity > 0);
    let best = able.min_by(|a, b| {
        let (a, b) = (cost(a), cost(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    best.map(|it| it.shard.clone())
}
