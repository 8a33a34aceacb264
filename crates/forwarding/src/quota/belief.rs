//! What an instance believes about the limits of upstreams, from its own answers and from other
//! instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use base::time::Bounded;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use tokio::time::Instant;

/// Time for which the end of a limit is remembered, so that older news of the limit are recognised,
/// and for which changes are passed on.
const NEWS_TIME: Duration = Duration::from_secs(10);

/// Limits of one run of an upstream over all instances; `None` for one that is not in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests per second that it accepts.
    pub requests: Option<Rate>,
    /// Requests per second that it can reject for want of room without falling over.
    pub rejections: Option<Rate>,
}

impl Limits {
    /// Whether any limit is in force.
    #[must_use]
    pub fn is_any(self) -> bool {
        self.requests.is_some() || self.rejections.is_some()
    }

    /// The limits, each lowered to the one in `other` if both have it.
    fn lowered_to(self, other: Limits) -> Limits {
        let lowered = |a: Option<Rate>, b: Option<Rate>| match (a, b) {
            (Some(a), Some(b)) if b < a => Some(b),
            _ => a,
        };
        Limits {
            requests: lowered(self.requests, other.requests),
            rejections: lowered(self.rejections, other.rejections),
        }
    }
}

/// Limits of one run of an upstream, as passed between instances.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The upstream.
    pub upstream: id::Incarnation,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The limits, which may have ended.
    pub limits: Limits,
    /// Time since the answer that showed them.
    #[serde_as(as = "Bounded")]
    pub age: Duration,
    /// Random number that identifies that answer.
    pub answer: u64,
}

/// An answer of an upstream that an instance has received.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The limits that it announces.
    pub limits: Limits,
    /// When its request was sent.
    pub sent_at: Instant,
    /// Random number that identifies the answer.
    pub id: u64,
}

#[derive(Clone, Debug)]
struct Belief {
    zone: id::Zone,
    limits: Limits,
    /// When the answer that showed it arrived at the instance that received it.
    observed_at: Instant,
    /// When this instance came to know it.
    learnt_at: Instant,
    answer: u64,
}

/// The limits that an instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Beliefs {
    beliefs: BTreeMap<id::Incarnation, Belief>,
    /// Zone and assumed rejections of upstreams that have not told their limits.
    assumed: BTreeMap<id::Incarnation, (id::Zone, Rate)>,
}

/// A registered upstream.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The upstream.
    pub upstream: id::Incarnation,
    /// Its service.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
}

impl Beliefs {
    /// Limits of an upstream that are in force.
    #[must_use]
    pub fn limits(&self, upstream: &id::Incarnation) -> Limits {
        let known = self.beliefs.get(upstream).map(|it| it.limits);
        known.unwrap_or_else(|| Limits {
            requests: None,
            rejections: self.assumed.get(upstream).map(|it| it.1),
        })
    }

    /// Assumes that an upstream which has not told its limits, as it has just started, is as fragile as
    /// the most fragile one of its service.
    pub fn assume(&mut self, registered: &[Registration]) {
        let mut services: BTreeMap<&id::Service, Rate> = BTreeMap::new();
        for it in registered {
            let belief = self.beliefs.get(&it.upstream);
            if let Some(rate) = belief.and_then(|it| it.limits.rejections) {
                let least = services.entry(&it.service).or_insert(rate);
                *least = if rate < *least { rate } else { *least };
            }
        }
        let unknown = registered.iter();
        let unknown = unknown.filter(|it| !self.beliefs.contains_key(&it.upstream));
        let assumed = unknown.filter_map(|it| {
            let rate = services.get(&it.service)?;
            Some((it.upstream.clone(), (it.zone.clone(), *rate)))
        });
        self.assumed = assumed.collect();
    }

    /// Rate limit of an upstream, if one is in force.
    #[must_use]
    pub fn rate(&self, upstream: &id::Incarnation) -> Option<Rate> {
        self.limits(upstream).requests
    }

    /// Zones with upstreams that have a limit.
    #[must_use]
    pub fn limited_zones(&self) -> BTreeSet<id::Zone> {
        let limited = self.beliefs.values().filter(|it| it.limits.is_any());
        let zones = limited.map(|it| &it.zone);
        let assumed = self.assumed.values().map(|it| &it.0);
        zones.chain(assumed).cloned().collect()
    }

    /// Upstreams of a zone that have a rate limit, and their limits.
    pub fn limited_in(&self, zone: &id::Zone) -> impl Iterator<Item = (&id::Incarnation, Rate)> {
        let beliefs = self.beliefs.iter().filter(move |it| it.1.zone == *zone);
        beliefs.filter_map(|(upstream, it)| Some((upstream, it.limits.requests?)))
    }

    /// Fragile upstreams of a zone, and the rejections per second that each bears.
    pub fn fragile_in(&self, zone: &id::Zone) -> impl Iterator<Item = (&id::Incarnation, Rate)> {
        let beliefs = self.beliefs.iter().filter(move |it| it.1.zone == *zone);
        let known = beliefs.filter_map(|(upstream, it)| Some((upstream, it.limits.rejections?)));
        let assumed = self.assumed.iter().filter(move |it| it.1.0 == *zone);
        known.chain(assumed.map(|(upstream, it)| (upstream, it.1)))
    }

    /// Records an answer of an upstream; returns whether its limits have changed.
    ///
    /// Answers may overtake each other, so one changes what is known only if its request was sent
    /// after that was learnt. A lower limit applies at once.
    pub fn record_answer(
        &mut self,
        upstream: &id::Incarnation,
        zone: &id::Zone,
        answer: Answer,
        now: Instant,
    ) -> bool {
        let known = self.beliefs.get(upstream);
        let known_limits = self.limits(upstream);
        let is_late = known.is_some_and(|it| answer.sent_at < it.learnt_at);
        let limits = match is_late {
            true => known_limits.lowered_to(answer.limits),
            false => answer.limits,
        };
        if known_limits == limits {
            return false;
        }
        let belief = Belief {
            zone: zone.clone(),
            limits,
            observed_at: now,
            learnt_at: now,
            answer: answer.id,
        };
        self.beliefs.insert(upstream.clone(), belief);
        self.assumed.remove(upstream);
        true
    }

    /// Merges what another instance knows; returns whether the upstream's limits have changed.
    pub fn merge(&mut self, observation: &Observation, now: Instant) -> bool {
        let observed_at = now.checked_sub(observation.age).unwrap_or(now);
        let known = self.beliefs.get(&observation.upstream);
        let is_newer =
            known.is_none_or(|it| it.answer != observation.answer && it.observed_at < observed_at);
        if !is_newer {
            return false;
        }
        let is_change = self.limits(&observation.upstream) != observation.limits;
        let learnt_at = known.filter(|_| !is_change).map_or(now, |it| it.learnt_at);
        let belief = Belief {
            zone: observation.zone.clone(),
            limits: observation.limits,
            observed_at,
            learnt_at,
            answer: observation.answer,
        };
        self.beliefs.insert(observation.upstream.clone(), belief);
        self.assumed.remove(&observation.upstream);
        is_change
    }

    /// All that is known, to be passed on.
    #[must_use]
    pub fn observations(&self, now: Instant) -> Vec<Observation> {
        let upstreams = self.beliefs.keys();
        let observations = upstreams.filter_map(|it| self.observation(it, now));
        observations.collect()
    }

    /// What this instance has learnt recently, to be passed on.
    #[must_use]
    pub fn recent_observations(&self, now: Instant) -> Vec<Observation> {
        let is_recent = |it: &Belief| now.saturating_duration_since(it.learnt_at) < NEWS_TIME;
        let recent = self.beliefs.iter().filter(|it| is_recent(it.1));
        let observations = recent.filter_map(|it| self.observation(it.0, now));
        observations.collect()
    }

    /// What is known of one upstream, to be passed on.
    #[must_use]
    pub fn observation(&self, upstream: &id::Incarnation, now: Instant) -> Option<Observation> {
        let belief = self.beliefs.get(upstream)?;
        Some(Observation {
            upstream: upstream.clone(),
            zone: belief.zone.clone(),
            limits: belief.limits,
            age: now.saturating_duration_since(belief.observed_at),
            answer: belief.answer,
        })
    }

    /// Drops the limits of upstreams that are no longer registered, and limits that ended long ago.
    pub fn retain(&mut self, is_registered: impl Fn(&id::Incarnation) -> bool, now: Instant) {
        self.beliefs.retain(|upstream, it| {
            let age = now.saturating_duration_since(it.learnt_at);
            age < NEWS_TIME || (it.limits.is_any() && is_registered(upstream))
        });
    }
}
