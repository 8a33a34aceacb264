//! What this instance knows of the roll-outs of services, and what it counts for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use catalog::View;
use rollout::choice;
use rollout::choice::Choice;
use rollout::choice::Facts;
use rollout::choice::Grant;
use rollout::desk::Desk;
use rollout::desk::Report;
use rollout::ledger::Ledger;
use rollout::ledger::Send;
use rollout::order::Bounds;
use rollout::order::Order;
use rollout::order::Stage;
use rollout::order::State;
use tokio::time::Instant;

/// Time from the request to the coordinator for which its answer allows sends to the new version.
const LEASE: Duration = Duration::from_millis(900);
/// Time from the latest step of a coordinator for which it grants anything.
const DESK_AGE_MAX: Duration = Duration::from_millis(700);

/// Part of the exposure allowed that an unproven version of a step service may get.
const STEP_EXPOSURE_RATIO: f64 = 0.7;
/// Begin of the ids of calls, above those of requests.
const CALL_IDS: u64 = 1 << 63;
/// Time without a grant after which another instance is asked to coordinate.
const UNGRANTED_TIME_MAX: Duration = Duration::from_millis(600);

/// The coordinator's side of a roll-out.
#[derive(Debug)]
pub(crate) struct Coordination {
    /// Counts of all instances.
    pub(crate) desk: Desk,
    /// The newest state that this instance has written.
    pub(crate) written: Option<(State, Instant)>,
    /// What it grants, and since when.
    pub(crate) grant: Option<(Grant, Instant)>,
}

/// Roll-outs as this instance knows them.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Bounds on the exposure.
    pub(crate) bounds: Bounds,
    /// Counts of this instance.
    pub(crate) ledger: Ledger,
    /// Roll-outs that this instance coordinates.
    pub(crate) desks: BTreeMap<id::Service, Coordination>,
    /// The newest grants, and until when they hold.
    grants: BTreeMap<id::Service, (Grant, Instant)>,
    /// Since when coordinators have answered without a grant, or not at all. One that is passed over
    /// stays so for the order: going back would cost a new coordinator what it knows.
    ungranted: BTreeMap<(id::Service, id::Instance), Instant>,
    /// Calls recorded.
    calls: u64,
    /// When each order was seen.
    seen: BTreeMap<id::Service, (u64, Instant)>,
    /// When the upstreams appeared, as long as they may be cold.
    started: BTreeMap<id::Incarnation, Instant>,
    /// For each service, the longest time for which its upstreams are cold.
    cold_times: BTreeMap<id::Service, Duration>,
}

impl Rollouts {
    /// No roll-outs.
    pub(crate) fn new(bounds: Bounds) -> Rollouts {
        Rollouts {
            bounds,
            ledger: Ledger::default(),
            desks: BTreeMap::new(),
            grants: BTreeMap::new(),
            ungranted: BTreeMap::new(),
            calls: 0,
            seen: BTreeMap::new(),
            started: BTreeMap::new(),
            cold_times: BTreeMap::new(),
        }
    }

    /// Takes over a new view.
    pub(crate) fn update(&mut self, view: &View, now: Instant) {
        for (service, order) in &view.orders {
            let seen = self.seen.entry(service.clone());
            let seen = seen.or_insert((order.version, now));
            if seen.0 != order.version {
                *seen = (order.version, now);
                self.ungranted.retain(|it, _| it.0 != *service);
            }
            self.ledger.begin(service, order.version, &order.to);
        }
        let is_ordered = |it: &id::Service| view.orders.contains_key(it);
        self.ledger.retain(is_ordered);
        self.seen.retain(|it, _| is_ordered(it));
        self.ungranted.retain(|(service, instance), _| {
            is_ordered(service) && view.members.contains_key(instance)
        });
        let services = view.catalog.iter().flat_map(|it| it.services.values());
        let cold = services.filter(|it| !it.cold_start.is_zero());
        self.cold_times = cold.map(|it| (it.name.clone(), it.cold_start)).collect();
        self.started.retain(|it, _| view.is_registered(it));
        for upstream in view.upstreams.values() {
            if self.cold_times.contains_key(&upstream.service) {
                self.started.entry(upstream.incarnation()).or_insert(now);
            }
        }
    }

    fn is_cold(&self, upstream: &Upstream, now: Instant) -> bool {
        let Some(time) = self.cold_times.get(&upstream.service) else {
            return false;
        };
        let started = self.started.get(&upstream.incarnation());
        started.is_none_or(|it| now.saturating_duration_since(*it) < *time)
    }

    /// Records the begin of a send.
    pub(crate) fn record_send(
        &mut self,
        send_id: u64,
        route: &str,
        upstream: &Upstream,
        now: Instant,
    ) {
        let send = Send {
            service: upstream.service.clone(),
            route: route.to_owned(),
            upstream: upstream.name.clone(),
            software: upstream.software.clone(),
            is_cold: self.is_cold(upstream, now),
            sent_at: now,
        };
        self.ledger.record_send(send_id, send);
    }

    /// Records what the coordinator answered to a report that was sent at `asked_at`.
    pub(crate) fn record_grant(&mut self, service: &id::Service, grant: Grant, asked_at: Instant) {
        let grant = (grant, asked_at + LEASE);
        self.grants.insert(service.clone(), grant);
    }

    /// Records whether a coordinator granted anything.
    pub(crate) fn record_answer(
        &mut self,
        service: &id::Service,
        coordinator: &id::Instance,
        is_granted: bool,
        now: Instant,
    ) {
        let key = (service.clone(), coordinator.clone());
        match is_granted {
            true => {
                self.ungranted.remove(&key);
            }
            false => {
                self.ungranted.entry(key).or_insert(now);
            }
        }
    }

    /// Whether an instance is passed over as a coordinator: it is of an earlier build, or has grown
    /// unable to tell what is allowed.
    pub(crate) fn is_unfit(
        &self,
        service: &id::Service,
        instance: &id::Instance,
        now: Instant,
    ) -> bool {
        let since = self.ungranted.get(&(service.clone(), instance.clone()));
        since.is_some_and(|it| now.saturating_duration_since(*it) >= UNGRANTED_TIME_MAX)
    }

    /// Time since this instance saw an order.
    pub(crate) fn elapsed(&self, service: &id::Service, order: u64, now: Instant) -> Duration {
        let seen = self.seen.get(service).filter(|it| it.0 == order);
        seen.map_or(Duration::ZERO, |it| now.saturating_duration_since(it.1))
    }

    /// What this instance tells the coordinator.
    pub(crate) fn report(
        &self,
        view: &View,
        service: &id::Service,
        order: u64,
        now: Instant,
    ) -> Report {
        Report {
            order,
            elapsed: self.elapsed(service, order, now),
            stage: self.stage(view, service),
            tally: self.ledger.tally(service, now).unwrap_or_default(),
        }
    }

    fn stage(&self, view: &View, service: &id::Service) -> Option<Stage> {
        let (order, state) = (view.orders.get(service), view.rollouts.get(service));
        let stored = choice::current(order, state).map(|it| it.stage);
        let granted = self.grants.get(service).map(|it| it.0);
        let granted = granted.filter(|it| order.is_some_and(|order| order.version == it.order));
        stored.max(granted.map(|it| it.stage))
    }

    fn facts<'a>(
        &self,
        view: &'a View,
        service: &id::Service,
        fraction: f64,
        is_repeat: bool,
    ) -> Facts<'a> {
        let grant = self.grants.get(service);
        Facts {
            order: view.orders.get(service),
            state: view.rollouts.get(service),
            grant: grant.map(|it| it.0),
            is_granted: grant.is_some_and(|it| Instant::now() < it.1),
            fraction,
            is_repeat,
        }
    }

    /// The upstreams for a request, and those if they cannot take it; `fraction` is between 0 and 1 by
    /// a hash of the request.
    pub(crate) fn choices(
        &self,
        view: &View,
        service: &id::Service,
        fraction: f64,
        is_repeat: bool,
    ) -> Vec<Choice> {
        let facts = self.facts(view, service, fraction, is_repeat);
        let choice = choice::choose(&facts);
        if choice == Choice::Any {
            return vec![choice];
        }
        let registered = view.registered_software(service);
        // Nothing else is left than versions that the roll-out does not allow.
        if !registered.iter().any(|it| choice.allows(it)) {
            return vec![Choice::Any];
        }
        let fallback = choice.fallback(&facts);
        std::iter::once(choice).chain(fallback).collect()
    }

    /// The first of [`Rollouts::choices`].
    pub(crate) fn choose(
        &self,
        view: &View,
        service: &id::Service,
        fraction: f64,
        is_repeat: bool,
    ) -> Choice {
        let mut choices = self.choices(view, service, fraction, is_repeat);
        choices.swap_remove(0)
    }

    /// Whether nothing at all may be sent to an upstream, not even a stream that began there.
    pub(crate) fn is_barred(&self, view: &View, upstream: &Upstream) -> bool {
        let service = &upstream.service;
        let (order, state) = (view.orders.get(service), view.rollouts.get(service));
        if order.is_none() && state.is_none() {
            return false;
        }
        let is_reverted = self.stage(view, service) == Some(Stage::Reverted);
        let to = order.map(|it| &it.to).or(state.map(|it| &it.to));
        let is_to = to == Some(&upstream.software);
        let is_unfinished =
            order.is_some_and(|it| choice::unfinished(state, &it.to).contains(&upstream.software));
        let choice = self.choose(view, service, 1.0, true);
        ((is_reverted && is_to) || is_unfinished) && !choice.allows(&upstream.software)
    }

    /// Upstreams of step services that may get no calls. The planner spreads calls over the upstreams, so
    /// as long as a version is unproven one of its upstreams is used.
    pub(crate) fn withheld(&self, view: &View) -> BTreeSet<id::Upstream> {
        let services = view.orders.keys().chain(view.rollouts.keys());
        let services: BTreeSet<&id::Service> = services.collect();
        let services = services.into_iter().filter(|it| is_step_service(view, it));
        services.flat_map(|it| self.withheld_of(view, it)).collect()
    }

    fn withheld_of(&self, view: &View, service: &id::Service) -> Vec<id::Upstream> {
        let choice = self.choose(view, service, 0.0, false);
        let upstreams = view.upstreams.values();
        let upstreams = upstreams.filter(|it| it.service == *service);
        let Choice::Only {
            to,
            is_final: false,
            share,
        } = &choice
        else {
            let withheld = upstreams.filter(|it| !choice.allows(&it.software));
            return withheld.map(|it| it.name.clone()).collect();
        };
        if *share >= 0.5 {
            let old = upstreams.filter(|it| it.software != *to);
            return old.map(|it| it.name.clone()).collect();
        }
        let (new, old): (Vec<_>, Vec<_>) = upstreams
            .filter(|it| view.is_usable(it))
            .partition(|it| it.software == *to);
        let mut new: Vec<&id::Upstream> = new.into_iter().map(|it| &it.name).collect();
        new.sort_unstable();
        let used = usize::from(self.can_share(old.len()));
        new.into_iter().skip(used).cloned().collect()
    }

    /// Whether one upstream of a new version beside `old` gets little enough of the traffic.
    pub(crate) fn can_share(&self, old: usize) -> bool {
        1.0 / (old as f64 + 1.0) <= self.bounds.exposure_share * STEP_EXPOSURE_RATIO
    }

    /// Records the begin of a call to an upstream that runs steps; returns its id.
    pub(crate) fn record_call(&mut self, upstream: &Upstream, now: Instant) -> u64 {
        self.calls += 1;
        let id = CALL_IDS + self.calls;
        self.ledger.record_request(&upstream.service);
        self.record_send(id, upstream.service.as_str(), upstream, now);
        id
    }

    /// The coordination of an order, begun if it is not yet.
    pub(crate) fn coordination(
        &mut self,
        service: &id::Service,
        order: u64,
        now: Instant,
    ) -> &mut Coordination {
        let elapsed = self.elapsed(service, order, now);
        let desk = || Coordination {
            desk: Desk::new(order, now.checked_sub(elapsed).unwrap_or(now), now),
            written: None,
            grant: None,
        };
        let known = self.desks.entry(service.clone()).or_insert_with(desk);
        if known.desk.order() != order {
            *known = desk();
        }
        known
    }

    /// What this instance grants as the coordinator.
    pub(crate) fn granted(&self, service: &id::Service, order: u64, now: Instant) -> Option<Grant> {
        let (grant, at) = self.desks.get(service)?.grant?;
        let is_current = grant.order == order && now.saturating_duration_since(at) < DESK_AGE_MAX;
        is_current.then_some(grant)
    }
}

/// Whether a service runs steps.
pub(crate) fn is_step_service(view: &View, service: &id::Service) -> bool {
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(service));
    service.is_some_and(|it| it.batch_limits.is_some())
}

/// Leaves the upstreams that get the share of the new version.
pub(crate) fn keep_leaders(choice: &Choice, usable: &mut Vec<&Arc<Upstream>>) {
    let Choice::Only { share, .. } = choice else {
        return;
    };
    if *share < 0.5 {
        let names = usable.iter().map(|it| &it.name).collect();
        let leaders = choice::leaders(names, *share);
        usable.retain(|it| leaders.contains(&it.name));
    }
}

/// The state of a roll-out that follows `order`.
pub(crate) fn next_state(
    view: &View,
    service: &id::Service,
    order: Option<&Order>,
    current: Option<&State>,
    stage: Stage,
    elapsed: Duration,
) -> Option<State> {
    let (version, to) = match (order, current) {
        (Some(order), _) => (order.version, order.to.clone()),
        (None, Some(state)) => (state.order, state.to.clone()),
        (None, None) => return None,
    };
    let registered = view.registered_software(service);
    let stored = view.rollouts.get(service);
    let mut barred = match current {
        Some(state) => state.barred.clone(),
        None => choice::unfinished(stored, &to),
    };
    barred.retain(|it| registered.contains(it));
    Some(State {
        order: version,
        to,
        stage,
        elapsed,
        barred,
    })
}
