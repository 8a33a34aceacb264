//! What a dispatcher knows: members, configuration and the upstreams that it owns.

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

use crate::owned::Owned;

/// Mutable state of a dispatcher; never held across an await.
pub(crate) struct State {
    pub(crate) membership: membership::Node,
    pub(crate) document: Document,
    /// The document's snapshot.
    pub(crate) compiled: Arc<Snapshot>,
    /// The snapshot in force: `compiled` with the restrictions that spread ahead of the table.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Highest configuration version heard of, and who has it.
    pub(crate) newest: (u64, Option<SocketAddr>),
    pub(crate) owned: BTreeMap<id::Upstream, Arc<Owned>>,
    pub(crate) listing: table::Listing,
    pub(crate) gateway_version: Option<u64>,
    pub(crate) is_store_up: bool,
    pub(crate) is_stopping: bool,
    /// Version of the configuration row that was read last.
    pub(crate) row_version: Option<u64>,
    /// Whether this dispatcher polls the table for its zone, rather than hearing from others.
    pub(crate) is_poller: bool,
    /// Own incarnation at the last refresh.
    incarnation: u64,
    queueing: limits::QueuePolicy,
}

/// What a change of ownership asks of the node.
#[derive(Default)]
pub(crate) struct Moves {
    pub(crate) handovers: Vec<(SocketAddr, Handover)>,
    pub(crate) taken: Vec<id::Upstream>,
    pub(crate) given: Vec<id::Upstream>,
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
            newest: (0, None),
            owned: BTreeMap::new(),
            listing: table::Listing::default(),
            gateway_version: None,
            is_store_up: true,
            is_stopping: false,
            row_version: None,
            is_poller: true,
            incarnation,
            queueing,
        }
    }

    /// Puts a newer document in force; older ones are ignored. Returns whether it was newer.
    ///
    /// # Errors
    ///
    /// Returns the faults of a document that this program cannot read.
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
        self.newest.0 = self.newest.0.max(document.version);
        self.document = document;
        self.compiled = Arc::new(compiled);
        Ok(true)
    }

    /// Notes that someone has a configuration version in force.
    pub(crate) fn note_version(&mut self, version: u64, at: Option<SocketAddr>) {
        if version > self.newest.0 {
            self.newest = (version, at);
        }
    }

    /// Whether a newer configuration is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest.0 > self.document.version
    }

    /// Why no new work may be sent to `owned` at this moment, if so.
    pub(crate) fn objection(&mut self, owned: &Owned, now: Instant) -> Option<Reason> {
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

    /// Recomputes the snapshot in force and the ownership that follows from it.
    pub(crate) fn refresh(&mut self, now: Instant) -> Moves {
        self.forget_lost_ownership();
        self.is_poller = self.polls();
        let before = self.snapshot.clone();
        self.snapshot = Arc::new(self.effective());
        self.apply_drains(&before, now);
        self.apply_ownership(now)
    }

    /// A member that was declared gone has been replaced everywhere: what it owned belonged to others
    /// meanwhile, and is taken anew or not at all.
    fn forget_lost_ownership(&mut self) {
        let incarnation = self.membership.own().incarnation;
        if incarnation == self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        for owned in self.owned.values() {
            owned.disown();
        }
    }

    fn effective(&self) -> Snapshot {
        let mut snapshot = Snapshot::clone(&self.compiled);
        for restriction in self.membership.restrictions() {
            match &restriction.target {
                Target::Zone(zone) => snapshot.drained.zones.insert(zone.clone()),
                Target::Upstream(name) => snapshot.drained.upstreams.insert(name.clone()),
            };
        }
        snapshot
    }

    fn apply_drains(&mut self, before: &Snapshot, now: Instant) {
        for owned in self.owned.values() {
            let was_open = before.is_in_service(&owned.upstream);
            let is_open = self.snapshot.is_in_service(&owned.upstream);
            if was_open && !is_open {
                owned.refuse_waiting(Reason::Drained);
            }
            if !was_open && is_open {
                // What comes back ramps up like anything that may have turned cold.
                owned.turn_cold(now);
            }
        }
    }

    fn apply_ownership(&mut self, now: Instant) -> Moves {
        let mut moves = Moves::default();
        let snapshot = self.snapshot.clone();
        let own = self.membership.own().instance.clone();
        // A member that the others may have replaced, or do not know yet, takes nothing, and what it
        // gives up was perhaps not its own any more.
        let is_unfenced = self.membership.is_unfenced(now);
        for (service, upstream) in snapshot.deployment.upstreams() {
            let owner = self.owner_of(upstream).cloned();
            let is_own = owner.as_ref().is_some_and(|it| it.instance == own);
            if is_own && !is_unfenced {
                continue;
            }
            if is_own {
                let longest = longest_call(&snapshot, service);
                self.take(service, upstream, longest, now, &mut moves);
            } else {
                self.give(upstream, owner.as_ref(), is_unfenced, now, &mut moves);
            }
        }
        self.forget_removed(&snapshot);
        moves
    }

    /// The owner of `upstream` in this dispatcher's view.
    pub(crate) fn owner_of(&self, upstream: &config::model::Upstream) -> Option<&member::Record> {
        let drained = &self.snapshot.drained.zones;
        ownership::owner(upstream, self.membership.members(), drained)
    }

    fn take(
        &mut self,
        service: &Service,
        upstream: &config::model::Upstream,
        longest: Duration,
        now: Instant,
        moves: &mut Moves,
    ) {
        let known = self.owned.get(&upstream.name);
        if known.is_some_and(|it| it.is_owner() && it.upstream == *upstream) {
            return;
        }
        moves.taken.push(upstream.name.clone());
        if let Some(owned) = known.filter(|it| it.upstream == *upstream) {
            owned.own_again(service.ceiling, longest, now);
            return;
        }
        let mut gate = AdmissionController::new(gate_settings(service), self.queueing, now);
        // Whoever owned it before may have had this much in flight.
        gate.limiter.assume_inherited(service.ceiling, longest, now);
        let owned = Arc::new(Owned::new(upstream.clone(), gate));
        self.owned.insert(upstream.name.clone(), owned);
    }

    fn give(
        &mut self,
        upstream: &config::model::Upstream,
        owner: Option<&member::Record>,
        is_last_owner: bool,
        now: Instant,
        moves: &mut Moves,
    ) {
        let Some(owned) = self.owned.get(&upstream.name) else {
            return;
        };
        if !owned.is_owner() {
            return;
        }
        owned.disown();
        moves.given.push(upstream.name.clone());
        if let Some(owner) = owner {
            let handover = self.handover(owned, is_last_owner, now);
            moves.handovers.push((owner.address, handover));
        }
    }

    /// The handover that tells what `owned` still has in flight.
    pub(crate) fn handover(&self, owned: &Owned, is_last_owner: bool, now: Instant) -> Handover {
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

    fn forget_removed(&mut self, snapshot: &Snapshot) {
        self.owned.retain(|name, owned| {
            let is_known = snapshot.deployment.upstream(name).is_some();
            if !is_known {
                owned.disown();
            }
            is_known || owned.in_flight() > 0
        });
    }

    fn polls(&self) -> bool {
        let own = self.membership.own();
        let weight = |it: &id::Instance| hash::hash_strs([it.as_str(), "poller"]);
        let own_weight = weight(&own.instance);
        let better = self.membership.members().filter(|it| {
            it.state == member::State::Alive
                && it.incarnation > 0
                && it.zone == own.zone
                && weight(&it.instance) > own_weight
        });
        self.document.version == 0 || better.count() < POLLERS_PER_ZONE
    }

    /// Digest of the view that gateways follow, without the document.
    pub(crate) fn view_digest(&self) -> u64 {
        let drained = format!("{:?}", self.snapshot.drained);
        let members = self.membership.digest().to_le_bytes();
        hash::hash_bytes([drained.as_bytes(), &members[..]])
    }
}

/// Dispatchers of one zone that poll the table and the instance list.
const POLLERS_PER_ZONE: usize = 2;

fn longest_call(snapshot: &Snapshot, service: &Service) -> Duration {
    let deadline = snapshot.deployment.longest_deadline();
    match service.idempotent {
        true => deadline,
        false => deadline + wire::dispatch::LATE_ANSWER_GRACE,
    }
}

fn gate_settings(service: &Service) -> limits::Settings {
    limits::Settings {
        cold_limit: service.cold_limit,
        ceiling: service.ceiling,
        warm_window: service.warm_window,
        typical: service.typical_duration,
    }
}
