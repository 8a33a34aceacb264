//! Choice of an upstream and of the dispatcher that owns it, and the state on which the choice is
//! based.

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

use crate::budget::RetryBudgets;
use crate::latency::Latencies;
use crate::view::View;

/// Age from which a piggybacked load is ignored as stale.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which an upstream is avoided after a crash, a failed connection to it or its owner, or
/// a refusal without a load, which a dispatcher sends without considering the upstream's queue.
const AVOID_DURATION: Duration = Duration::from_millis(1000);

/// Policies of a [`Runner`](crate::Runner), switchable for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How upstreams are chosen.
    pub routing: routing::Policy,
    /// Whether slow idempotent stages are hedged.
    pub is_hedging: bool,
    /// Whether retries and hedges are limited to a fraction of the successes.
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

/// Latencies, retry budgets, loads and avoided upstreams that a gateway has gathered from the
/// results of its attempts.
pub(crate) struct RoutingState {
    pub(crate) latencies: Latencies,
    pub(crate) budgets: RetryBudgets,
    pub(crate) rng: SmallRng,
    loads: BTreeMap<id::Upstream, (Load, Instant)>,
    avoided_until: BTreeMap<id::Upstream, Instant>,
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) upstream: id::Upstream,
    /// Address of the dispatcher that owns the upstream.
    pub(crate) dispatcher: SocketAddr,
}

impl RoutingState {
    pub(crate) fn new(seed: u64) -> RoutingState {
        RoutingState {
            latencies: Latencies::default(),
            budgets: RetryBudgets::default(),
            rng: SmallRng::seed_from_u64(seed),
            loads: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// Records the load that was piggybacked on a reply; the upstream is no longer avoided.
    pub(crate) fn record_load(&mut self, upstream: &id::Upstream, load: Load) {
        self.avoided_until.remove(upstream);
        self.loads.insert(upstream.clone(), (load, Instant::now()));
    }

    /// Avoids an upstream for [`AVOID_DURATION`].
    pub(crate) fn avoid(&mut self, upstream: &id::Upstream) {
        self.avoided_until
            .insert(upstream.clone(), Instant::now() + AVOID_DURATION);
    }

    /// Chooses among the upstreams of `service` that are in service and not in `tried`. Avoided
    /// upstreams are considered only if there is no other. `prefix` is the hash of the prompt
    /// prefix, for prefix affinity.
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
        let in_service: Vec<&config::model::Upstream> = service
            .upstreams
            .iter()
            .filter(|it| view.snapshot.is_in_service(it) && !tried.contains(&it.name))
            .collect();
        let is_avoided = |name| {
            self.avoided_until
                .get(name)
                .is_some_and(|until| *until > now)
        };
        let preferred: Vec<Candidate<'_>> = in_service
            .iter()
            .filter(|it| !is_avoided(&it.name))
            .map(|it| self.candidate(it, own_zone, now))
            .collect();
        let candidates = if preferred.is_empty() {
            let all = in_service
                .iter()
                .map(|it| self.candidate(it, own_zone, now));
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
        let recent_load = self
            .loads
            .get(&upstream.name)
            .filter(|(_, at)| now.duration_since(*at) < LOAD_MAX_AGE);
        Candidate {
            name: &upstream.name,
            is_local: upstream.zone == *own_zone,
            utilisation: recent_load.map(|(load, _)| utilisation(load)),
        }
    }

    /// Returns a random duration between 0.5 and 1.5 times `base`.
    pub(crate) fn jitter(&mut self, base: Duration) -> Duration {
        base.mul_f64(self.rng.random_range(0.5..1.5))
    }
}

fn utilisation(load: &Load) -> f64 {
    f64::from(load.in_flight + load.queued) / f64::from(load.limit.max(1))
}
