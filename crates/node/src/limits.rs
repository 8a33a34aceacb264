//! Retry budgets, cold limits, health statistics and the quarantine, which all requests of an
//! instance share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use catalog::View;
use forwarding::choice::Candidate;
use forwarding::cold;
use forwarding::cold::SendWindow;
use forwarding::health::Health;
use forwarding::origin::Origins;
use forwarding::pace::LatencyModel;
use forwarding::poison::Quarantine;
use forwarding::retry;
use forwarding::retry::Budget;
use forwarding::retry::Pulse;
use forwarding::retry::Roster;
use ownership::Shortlist;
use platform::settings::Bounds;
use platform::settings::Settings;
use tokio::time::Instant;

use crate::client_request::ClientRequest;

/// Connections to one upstream that an instance may open even if its share is smaller. Two
/// concurrent requests at an instance are common, but many instances never all have two at the same
/// moment.
const CONNECTION_SHARE_MIN: usize = 2;

/// Least time between two connection probes of an upstream, however many requests it lost.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Arrival of the first byte of an answer.
#[derive(Clone, Copy, Debug)]
pub struct FirstByte {
    /// Id of the send, from [`Limits::record_send`].
    pub send_id: u64,
    /// Time from the send to the first byte.
    pub latency: Duration,
    /// Whether the answer reports a failure.
    pub is_failure: bool,
    /// When the byte arrived.
    pub now: Instant,
}

/// Whether a retry was allowed, and what the budget held.
#[derive(Clone, Copy, Debug)]
pub struct RetryDecision {
    /// Part of the budget that the retry was taken from; `None` if none was left.
    pub source: Option<retry::Source>,
    /// Members that divide the constant part.
    pub members: usize,
    /// This instance's share of the constant part in each window.
    pub share: usize,
    /// Retries that it has taken of the share.
    pub share_used: usize,
}

/// Limits and statistics that all requests of this instance share.
#[derive(Debug)]
pub struct Limits {
    instance: id::Instance,
    /// Distinguishes this process from earlier ones of the instance.
    incarnation: u64,
    bounds: Bounds,
    retry_budgets: BTreeMap<id::Service, Budget>,
    /// Members that divide the constant part of the retry budgets.
    roster: Roster,
    /// Beats of this process.
    pulse: Pulse,
    /// Members that divide the cold limits and the connections to upstreams.
    cold_roster: cold::Roster,
    cold_windows: BTreeMap<id::Upstream, SendWindow>,
    /// Upstreams whose cold limit an owner keeps, but which this instance may also send to without
    /// that owner.
    fallback_upstreams: BTreeSet<id::Upstream>,
    /// Upstreams that this instance may come to send to so.
    shortlist: Shortlist,
    health: BTreeMap<id::Upstream, Health>,
    latency_model: LatencyModel,
    /// Requests that are suspected of crashing upstreams.
    pub quarantine: Quarantine,
    /// Origins of the resumable streams that this instance began.
    pub(crate) origins: Origins,
    /// When each upstream was last probed for a connection after a loss.
    last_probes: BTreeMap<id::Incarnation, Instant>,
    last_send_id: u64,
}

impl Limits {
    /// Limits of the process `incarnation` of an instance, with empty statistics.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64) -> Limits {
        let (instance, now) = (&settings.instance, Instant::now());
        Limits {
            roster: Roster::new(instance),
            pulse: Pulse::new(now),
            cold_roster: cold::Roster::new(instance, cold_delays(settings), now),
            instance: instance.clone(),
            incarnation,
            bounds: settings.bounds,
            retry_budgets: BTreeMap::new(),
            cold_windows: BTreeMap::new(),
            fallback_upstreams: BTreeSet::new(),
            shortlist: Shortlist::new(instance.clone()),
            health: BTreeMap::new(),
            latency_model: LatencyModel::default(),
            quarantine: Quarantine::default(),
            origins: Origins::default(),
            last_probes: BTreeMap::new(),
            last_send_id: 0,
        }
    }

    /// Replaces the bounds. What was used of the retry budgets is kept.
    pub fn configure(&mut self, settings: &Settings) {
        self.bounds = settings.bounds;
        self.cold_roster.set_delays(cold_delays(settings));
        let limit = retry_limit(&self.bounds);
        for budget in self.retry_budgets.values_mut() {
            budget.set_limit(limit);
        }
    }

    /// Records that the members of the view were known to be complete at `at`.
    pub fn confirm_members(&mut self, at: Instant) {
        self.roster.confirm(at, self.bounds.retry_window);
    }

    /// Records that this process runs.
    pub fn beat(&mut self, now: Instant) {
        self.pulse.beat(now);
    }

    /// Adds a client's request to the retry budget of a service. Requests that waited while this
    /// process was suspended add nothing, as the window of the clients has moved on.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        if !self.pulse.is_catching_up(now) {
            self.retry_budget(service).record_request(now);
        }
    }

    /// Takes one retry from the budget of a service.
    pub fn take_retry(&mut self, service: &id::Service, now: Instant) -> RetryDecision {
        let share = self.roster.share(&retry_limit(&self.bounds), now);
        let members = self.roster.count();
        let budget = self.retry_budget(service);
        let source = budget.try_take(share, now);
        RetryDecision {
            source,
            members,
            share,
            share_used: budget.share_used(now),
        }
    }

    /// Returns whether a connection probe of an upstream is due after a loss, and if so records it.
    pub fn take_probe(&mut self, incarnation: &id::Incarnation, now: Instant) -> bool {
        let last = self.last_probes.get(incarnation);
        let is_due = last.is_none_or(|it| now.saturating_duration_since(*it) >= PROBE_INTERVAL);
        if is_due {
            self.last_probes.insert(incarnation.clone(), now);
        }
        is_due
    }

    /// Health statistics of an upstream; empty ones are created if there are none.
    pub fn health(&mut self, upstream: &id::Upstream) -> &mut Health {
        self.health.entry(upstream.clone()).or_default()
    }

    /// Records that a request is about to be sent; returns the id of the send.
    pub fn record_send(
        &mut self,
        upstream: &id::Upstream,
        request: &ClientRequest,
        now: Instant,
    ) -> u64 {
        self.last_send_id += 1;
        let send_id = self.last_send_id;
        self.cold_windows
            .entry(upstream.clone())
            .or_default()
            .record(now);
        let typical = self
            .typical_latency(request)
            .unwrap_or(request.route.goal / 2);
        let timeout = self.answer_timeout(request);
        self.health(upstream)
            .record_send(send_id, typical, timeout, now);
        send_id
    }

    /// Records the first byte of an upstream's answer in its health and in the latency model.
    pub fn record_answer(
        &mut self,
        upstream: &id::Upstream,
        request: &ClientRequest,
        answer: FirstByte,
    ) {
        let FirstByte {
            send_id,
            latency,
            is_failure,
            now,
        } = answer;
        if !is_failure {
            self.latency_model
                .record_sample(&request.route.name, request.prompt_size(), latency);
        }
        self.health(upstream)
            .record_first_byte(send_id, is_failure, now);
    }

    /// Typical time to the first byte for requests of this route and prompt size; `None` without a
    /// sample.
    #[must_use]
    pub fn typical_latency(&self, request: &ClientRequest) -> Option<Duration> {
        self.latency_model
            .expected(&request.route.name, request.prompt_size())
    }

    /// Timeout for the first byte of the answer to a request.
    #[must_use]
    pub fn answer_timeout(&self, request: &ClientRequest) -> Duration {
        let route = &request.route;
        self.latency_model
            .first_byte_timeout(&route.name, request.prompt_size(), route.goal)
    }

    /// Whether this instance's own share of the cold limit admits a request to an upstream now.
    /// Where the owner keeps the limit, only fallback instances have a share.
    #[must_use]
    pub fn has_cold_capacity(&self, view: &View, upstream: &Upstream, now: Instant) -> bool {
        let Some(limit) = cold_rate_limit(&self.bounds, view, &upstream.service) else {
            return true;
        };
        let window = self.cold_windows.get(&upstream.name);
        let has_capacity = |share| window.is_none_or(|it| it.allows(share, now));
        match self.cold_roster.share(limit, now) {
            Some(share) => share != cold::Share::NONE && has_capacity(share),
            None => {
                let (_, share) = limit.fallback_shares();
                self.cold_roster.may_send(now)
                    && self.fallback_upstreams.contains(&upstream.name)
                    && has_capacity(share)
            }
        }
    }

    /// Whether the cold limits of a service's upstreams are kept by the owners of the shards,
    /// rather than divided among the members.
    #[must_use]
    pub fn is_cold_limit_owned(&self, view: &View, service: &id::Service) -> bool {
        let limit = cold_rate_limit(&self.bounds, view, service);
        limit.is_some_and(|it| self.is_owned(it, Instant::now()))
    }

    fn is_owned(&self, limit: cold::RateLimit, now: Instant) -> bool {
        limit.per_member(self.member_count(now), 0).is_none()
    }

    /// When this process may send to upstreams that may be cold, as those before it under its name no longer count.
    #[must_use]
    pub fn cold_sends_from(&self) -> Instant {
        self.cold_roster.sends_from()
    }

    /// Whether this process may not yet send to upstreams that may be cold, because others do not
    /// count it when they divide the limit.
    #[must_use]
    pub fn lacks_cold_share(&self, view: &View, now: Instant) -> bool {
        let catalog = view.catalog.iter();
        let mut services = catalog.flat_map(|it| it.services.keys());
        !self.cold_roster.is_known(now)
            && services.any(|it| {
                let limit = cold_rate_limit(&self.bounds, view, it);
                limit.is_some_and(|it| !self.is_owned(it, now))
            })
    }

    /// Members that divide limits which all instances share, with those that stop and may still send.
    #[must_use]
    pub fn member_count(&self, now: Instant) -> usize {
        self.cold_roster.count(now)
    }

    /// Describes an upstream as a candidate for a request; `zone` is the preferred zone, `None` if
    /// any will do.
    pub fn candidate<'a>(
        &mut self,
        view: &View,
        upstream: &'a Upstream,
        zone: Option<&id::Zone>,
        now: Instant,
    ) -> Candidate<'a> {
        let is_within_cold_limit = self.has_cold_capacity(view, upstream, now);
        let health = self.health(&upstream.name);
        Candidate {
            name: &upstream.name,
            is_near: zone.is_none_or(|it| *it == upstream.zone),
            is_paused: health.is_paused(now),
            is_within_cold_limit,
            in_flight: health.in_flight,
            slots: upstream.slots,
            failure_rate: health.failure_rate(now),
            latency_ratio: health.latency_ratio(now),
        }
    }

    /// Drops the state of upstreams that are no longer registered, and recomputes the fallback
    /// upstreams.
    pub fn retain(&mut self, view: &View) {
        let own = view.members.get(&self.instance);
        let listing = match own {
            None => cold::Listing::Absent,
            Some(it) if it.incarnation == self.incarnation => cold::Listing::Own,
            Some(_) => cold::Listing::Earlier,
        };
        let now = Instant::now();
        let is_listed = listing == cold::Listing::Own;
        self.roster.set_members(view.members.keys(), is_listed, now);
        self.cold_roster
            .set_members(view.members.keys(), listing, now);
        self.fallback_upstreams = self.find_fallback_upstreams(view);
        let is_known = |name: &id::Upstream| view.upstreams.contains_key(name);
        self.cold_windows.retain(|name, _| is_known(name));
        self.last_probes.retain(|it, _| view.is_registered(it));
        self.health.retain(|name, it| {
            is_known(name) || it.in_flight > 0 || it.held_off_until(now).is_some()
        });
    }

    fn find_fallback_upstreams(&mut self, view: &View) -> BTreeSet<id::Upstream> {
        let now = Instant::now();
        let members = view.members.values().map(Arc::as_ref);
        let is_known = |name: &id::Upstream| view.upstreams.contains_key(name);
        self.shortlist.update(members, is_known);
        let mut found = BTreeSet::new();
        for upstream in view.upstreams.values() {
            let limit = cold_rate_limit(&self.bounds, view, &upstream.service);
            let Some(limit) = limit.filter(|it| self.is_owned(*it, now)) else {
                continue;
            };
            let (count, _) = limit.fallback_shares();
            if self.shortlist.includes(&upstream.name, count) {
                found.insert(upstream.name.clone());
            }
        }
        found
    }

    fn retry_budget(&mut self, service: &id::Service) -> &mut Budget {
        let limit = retry_limit(&self.bounds);
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(limit))
    }
}

fn cold_delays(settings: &Settings) -> cold::Delays {
    cold::Delays {
        propagation: settings.bounds.config_timeout,
        stop_grace: settings.stop_grace,
    }
}

fn retry_limit(bounds: &Bounds) -> retry::BudgetLimit {
    retry::BudgetLimit {
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
        window: bounds.retry_window,
    }
}

/// Connections that each of `members` may open to an upstream that accepts `total` of them.
#[must_use]
pub fn connections_share(total: u32, members: usize) -> usize {
    (total as usize / members.max(1)).max(CONNECTION_SHARE_MIN)
}

/// Requests per second that all instances together may send to one upstream of a service; `None` if
/// its upstreams cannot be cold.
#[must_use]
pub fn cold_rate_limit(
    bounds: &Bounds,
    view: &View,
    service: &id::Service,
) -> Option<cold::RateLimit> {
    let service = view.catalog.as_ref()?.services.get(service)?;
    let rate = service.cold_per_second;
    (rate > 0.0).then_some(cold::RateLimit(
        rate * bounds.cold_overshoot + bounds.cold_extra,
    ))
}
