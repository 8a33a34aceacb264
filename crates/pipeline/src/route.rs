//! Choice of an upstream and of the dispatcher that owns it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::id;
use config::model::Service;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::Candidate;
use tokio::time::Instant;
use wire::dispatch::Load;

use crate::budget::Budgets;
use crate::latency::Latencies;
use crate::view::View;

/// Age at which a piggybacked load says nothing any more.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which an upstream that could not be reached is avoided.
const AVOID: Duration = Duration::from_millis(1000);

/// Policies that can be switched for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Choice of upstream.
    pub routing: routing::Policy,
    /// Whether slow idempotent stages are hedged.
    pub is_hedging: bool,
    /// Whether retries are limited to a fraction of successes.
    pub is_retry_budgeted: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            routing: routing::Policy::TwoChoices,
            is_hedging: true,
            is_retry_budgeted: true,
        }
    }
}

/// What a gateway has learnt from answers.
pub(crate) struct Knowledge {
    pub(crate) latencies: Latencies,
    pub(crate) budgets: Budgets,
    pub(crate) rng: SmallRng,
    loads: BTreeMap<id::Upstream, (Load, Instant)>,
    avoided: BTreeMap<id::Upstream, Instant>,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) upstream: id::Upstream,
    pub(crate) dispatcher: SocketAddr,
}

impl Knowledge {
    pub(crate) fn new(seed: u64) -> Knowledge {
        Knowledge {
            latencies: Latencies::default(),
            budgets: Budgets::default(),
            rng: SmallRng::seed_from_u64(seed),
            loads: BTreeMap::new(),
            avoided: BTreeMap::new(),
        }
    }

    /// Notes the load that rode on an answer.
    pub(crate) fn note_load(&mut self, upstream: &id::Upstream, load: Load) {
        self.avoided.remove(upstream);
        self.loads.insert(upstream.clone(), (load, Instant::now()));
    }

    /// Avoids an upstream for a while.
    pub(crate) fn avoid(&mut self, upstream: &id::Upstream) {
        self.avoided
            .insert(upstream.clone(), Instant::now() + AVOID);
    }

    /// Chooses among the open upstreams of `service` that are not in `tried`.
    pub(crate) fn choose(
        &mut self,
        policy: routing::Policy,
        view: &View,
        own_zone: &id::Zone,
        service: &Service,
        tried: &BTreeSet<id::Upstream>,
        prefix: Option<u64>,
    ) -> Option<Route> {
        let now = Instant::now();
        let open: Vec<&config::model::Upstream> = service
            .upstreams
            .iter()
            .filter(|it| view.snapshot.is_in_service(it) && !tried.contains(&it.name))
            .collect();
        let is_avoided = |name| self.avoided.get(name).is_some_and(|until| *until > now);
        let preferred: Vec<Candidate<'_>> = open
            .iter()
            .filter(|it| !is_avoided(&it.name))
            .map(|it| self.candidate(it, own_zone, now))
            .collect();
        let candidates = if preferred.is_empty() {
            let all = open.iter().map(|it| self.candidate(it, own_zone, now));
            all.collect()
        } else {
            preferred
        };
        let name = routing::choose(policy, &candidates, prefix, &mut self.rng)?.clone();
        let upstream = service.upstreams.iter().find(|it| it.name == name)?;
        let owner = ownership::owner(upstream, &view.members, &view.snapshot.drained.zones)?;
        Some(Route {
            upstream: name,
            dispatcher: owner.address,
        })
    }

    fn candidate<'a>(
        &self,
        upstream: &'a config::model::Upstream,
        own_zone: &id::Zone,
        now: Instant,
    ) -> Candidate<'a> {
        let fresh = self
            .loads
            .get(&upstream.name)
            .filter(|(_, at)| now.duration_since(*at) < LOAD_MAX_AGE);
        Candidate {
            name: &upstream.name,
            is_local: upstream.zone == *own_zone,
            utilisation: fresh.map(|(load, _)| utilisation(load)),
        }
    }

    /// A duration between half of `base` and one and a half of it.
    pub(crate) fn jitter(&mut self, base: Duration) -> Duration {
        base.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

fn utilisation(load: &Load) -> f64 {
    f64::from(load.in_flight + load.queued) / f64::from(load.limit.max(1))
}
