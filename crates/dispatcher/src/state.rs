//! State of a dispatcher: members, configuration and the upstreams that it owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::id;
use base::invariant;
use base::invariant::Invariant;
use config::Document;
use config::Snapshot;
use config::model::Service;
use limits::AdmissionController;
use tokio::time::Instant;
use wire::dispatch::Handover;
use wire::dispatch::Reason;
use wire::member;
use wire::message::Target;

use crate::owned::OwnedUpstream;

/// Mutable state of a dispatcher. Its lock is never held across an await.
pub(crate) struct State {
    pub(crate) membership: membership::Node,
    pub(crate) document: Document,
    /// Snapshot compiled from `document`.
    pub(crate) compiled: Arc<Snapshot>,
    /// Effective snapshot: `compiled` plus the drains that are not committed to the store yet.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Highest configuration version known to exist, and the address of a member that has it.
    pub(crate) newest_version: (u64, Option<SocketAddr>),
    pub(crate) owned: BTreeMap<id::Upstream, Arc<OwnedUpstream>>,
    pub(crate) listing: table::Listing,
    /// Configuration version that the instance's gateway reported last.
    pub(crate) gateway_version: Option<u64>,
    pub(crate) is_store_up: bool,
    pub(crate) is_stopping: bool,
    /// Version of the configuration row at the last read.
    pub(crate) config_row_version: Option<u64>,
    /// Whether this dispatcher polls the store for its zone instead of relying on other members.
    pub(crate) is_poller: bool,
    /// Own incarnation at the last refresh.
    incarnation: u64,
    queueing: limits::QueuePolicy,
}

/// Upstreams that changed their owner, and the handovers to send for them.
#[derive(Default)]
pub(crate) struct OwnershipChanges {
    pub(crate) handovers: Vec<(SocketAddr, Handover)>,
    pub(crate) acquired: Vec<id::Upstream>,
    pub(crate) released: Vec<id::Upstream>,
}

impl State {
    pub(crate) fn new(
        own: member::Record,
        timing: membership::Timing,
        queueing: limits::QueuePolicy,
        now: Instant,
    ) -> State {
        let empty = Arc::new(Snapshot::empty());
        let incarnation = own.incarnation;
        State {
            membership: membership::Node::new(own, timing, now),
            document: Document::initial(),
            compiled: empty.clone(),
            snapshot: empty,
            newest_version: (0, None),
            owned: BTreeMap::new(),
            listing: table::Listing::default(),
            gateway_version: None,
            is_store_up: true,
            is_stopping: false,
            config_row_version: None,
            is_poller: true,
            incarnation,
            queueing,
        }
    }

    /// Adopts `document` if it is newer than the current one. Returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics of a document that does not compile.
    pub(crate) fn adopt(&mut self, document: Document) -> Result<bool, Vec<config::Diagnostic>> {
        if document.version <= self.document.version {
            return Ok(false);
        }
        let compiled = Snapshot::compile(&document)?;
        invariant::check(
            Invariant::ConfigNeverReverts,
            compiled.version > self.compiled.version,
        );
        self.membership
            .set_config(document.version, &document.recent);
        self.newest_version.0 = self.newest_version.0.max(document.version);
        self.document = document;
        self.compiled = Arc::new(compiled);
        Ok(true)
    }

    /// Records that configuration `version` exists; `source` is a member that has it.
    pub(crate) fn note_version(&mut self, version: u64, source: Option<SocketAddr>) {
        if version > self.newest_version.0 {
            self.newest_version = (version, source);
        }
    }

    /// Returns whether a newer configuration is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest_version.0 > self.document.version
    }

    /// Returns why no new call may be sent to `owned` now, or `None` if it may.
    pub(crate) fn refusal_reason(&mut self, owned: &OwnedUpstream, now: Instant) -> Option<Reason> {
        if self.is_stopping {
            return Some(Reason::Stopping);
        }
        if !self.snapshot.is_in_service(&owned.upstream) {
            return Some(Reason::Drained);
        }
        if !owned.is_owner() {
            return Some(Reason::NotOwner);
        }
        if !self.membership.is_unfenced(now) {
            return Some(Reason::Fenced);
        }
        if self.is_behind() {
            return Some(Reason::NotReady);
        }
        None
    }

    /// Recomputes the effective snapshot and the ownership that follows from it.
    pub(crate) fn refresh(&mut self, now: Instant) -> OwnershipChanges {
        self.disown_after_new_incarnation();
        self.is_poller = self.is_elected_poller();
        let before = self.snapshot.clone();
        self.snapshot = Arc::new(self.effective_snapshot());
        self.apply_drains(&before, now);
        self.apply_ownership(now)
    }

    /// Gives up all upstreams if this member has a new incarnation: it was declared lost, and
    /// other members may have owned its upstreams since. It acquires them again like any new owner.
    fn disown_after_new_incarnation(&mut self) {
        let incarnation = self.membership.own().incarnation;
        if incarnation == self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        for owned in self.owned.values() {
            owned.disown();
        }
    }

    /// Returns the compiled snapshot with the uncommitted drains.
    fn effective_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::clone(&self.compiled);
        for restriction in self.membership.restrictions() {
            match &restriction.target {
                Target::Zone(zone) => snapshot.drained.zones.insert(zone.clone()),
                Target::Upstream(name) => snapshot.drained.upstreams.insert(name.clone()),
            };
        }
        snapshot
    }

    /// Refuses the calls queued at upstreams that left service since `before`, and restarts the
    /// slow start of those that returned.
    fn apply_drains(&mut self, before: &Snapshot, now: Instant) {
        for owned in self.owned.values() {
            let was_serving = before.is_in_service(&owned.upstream);
            let is_serving = self.snapshot.is_in_service(&owned.upstream);
            if was_serving && !is_serving {
                owned.refuse_queued(Reason::Drained);
            }
            if !was_serving && is_serving {
                // The upstream may have turned cold while it was out of service.
                owned.reset_to_cold(now);
            }
        }
    }

    /// Acquires and releases upstreams according to this dispatcher's current view of ownership.
    fn apply_ownership(&mut self, now: Instant) -> OwnershipChanges {
        let mut changes = OwnershipChanges::default();
        let snapshot = self.snapshot.clone();
        let own = self.membership.own().instance.clone();
        // While this member is fenced, the others may have replaced it or not know it yet. It
        // acquires nothing, and may not have been the last owner of what it releases.
        let is_unfenced = self.membership.is_unfenced(now);
        for (service, upstream) in snapshot.deployment.upstreams() {
            let owner = self.owner_of(upstream).cloned();
            let is_own = owner.as_ref().is_some_and(|it| it.instance == own);
            if is_own && !is_unfenced {
                continue;
            }
            if is_own {
                let longest_call = longest_call_duration(&snapshot, service);
                self.acquire(service, upstream, longest_call, now, &mut changes);
            } else {
                self.release(upstream, owner.as_ref(), is_unfenced, now, &mut changes);
            }
        }
        self.remove_unconfigured(&snapshot);
        changes
    }

    /// Returns the owner of `upstream` in this dispatcher's view.
    pub(crate) fn owner_of(&self, upstream: &config::model::Upstream) -> Option<&member::Record> {
        let drained = &self.snapshot.drained.zones;
        ownership::owner(upstream, self.membership.members(), drained)
    }

    fn acquire(
        &mut self,
        service: &Service,
        upstream: &config::model::Upstream,
        longest_call: Duration,
        now: Instant,
        changes: &mut OwnershipChanges,
    ) {
        let known = self.owned.get(&upstream.name);
        if known.is_some_and(|it| it.is_owner() && it.upstream == *upstream) {
            return;
        }
        changes.acquired.push(upstream.name.clone());
        if let Some(owned) = known.filter(|it| it.upstream == *upstream) {
            owned.reacquire(service.ceiling, longest_call, now);
            return;
        }
        let mut admission =
            AdmissionController::new(admission_settings(service), self.queueing, now);
        // An unknown previous owner may have up to the ceiling in flight.
        admission
            .limiter
            .assume_inherited(service.ceiling, longest_call, now);
        let owned = Arc::new(OwnedUpstream::new(upstream.clone(), admission));
        self.owned.insert(upstream.name.clone(), owned);
    }

    fn release(
        &mut self,
        upstream: &config::model::Upstream,
        owner: Option<&member::Record>,
        is_last_owner: bool,
        now: Instant,
        changes: &mut OwnershipChanges,
    ) {
        let Some(owned) = self.owned.get(&upstream.name) else {
            return;
        };
        if !owned.is_owner() {
            return;
        }
        owned.disown();
        changes.released.push(upstream.name.clone());
        if let Some(owner) = owner {
            let handover = self.handover(owned, is_last_owner, now);
            changes.handovers.push((owner.address, handover));
        }
    }

    /// Returns a handover with the calls that this dispatcher still has in flight at `owned`.
    pub(crate) fn handover(
        &self,
        owned: &OwnedUpstream,
        is_last_owner: bool,
        now: Instant,
    ) -> Handover {
        let own = self.membership.own();
        let summary = owned.summary(is_last_owner, now);
        Handover {
            upstream: owned.upstream.name.clone(),
            from: own.instance.clone(),
            incarnation: own.incarnation,
            in_flight: summary.in_flight,
            limit: summary.limit,
            is_warm: summary.is_warm,
            is_last_owner: summary.is_last_owner,
        }
    }

    /// Disowns upstreams that are not configured any more and removes those without calls in
    /// flight.
    fn remove_unconfigured(&mut self, snapshot: &Snapshot) {
        self.owned.retain(|name, owned| {
            let is_known = snapshot.deployment.upstream(name).is_some();
            if !is_known {
                owned.disown();
            }
            is_known || owned.in_flight() > 0
        });
    }

    /// Returns whether this dispatcher is among the pollers of its zone, which rendezvous hashing
    /// selects. Without a configuration, every dispatcher polls.
    fn is_elected_poller(&self) -> bool {
        let own = self.membership.own();
        let weight = |it: &id::Instance| hash::hash_strs([it.as_str(), "poller"]);
        let own_weight = weight(&own.instance);
        let higher_ranked = self.membership.members().filter(|it| {
            it.state == member::State::Alive
                && it.incarnation > 0
                && it.zone == own.zone
                && weight(&it.instance) > own_weight
        });
        self.document.version == 0 || higher_ranked.count() < POLLERS_PER_ZONE
    }

    /// Digest of the view that gateways watch, without the document.
    pub(crate) fn view_digest(&self) -> u64 {
        let drained = format!("{:?}", self.snapshot.drained);
        let members = self.membership.digest().to_le_bytes();
        hash::hash_bytes([drained.as_bytes(), &members[..]])
    }
}

/// Number of dispatchers per zone that poll the store and the instance list.
const POLLERS_PER_ZONE: usize = 2;

/// Longest time for which a call of `service` may be in flight.
fn longest_call_duration(snapshot: &Snapshot, service: &Service) -> Duration {
    let deadline = snapshot.deployment.longest_deadline();
    match service.idempotent {
        true => deadline,
        false => deadline + wire::dispatch::LATE_ANSWER_GRACE,
    }
}

fn admission_settings(service: &Service) -> limits::Settings {
    limits::Settings {
        cold_limit: service.cold_limit,
        ceiling: service.ceiling,
        warm_window: service.warm_window,
        typical_duration: service.typical_duration,
    }
}
