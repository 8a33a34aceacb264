//! The dispatcher's state, its clients and the requests that it answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use bon::bon;
use futures_util::future::BoxFuture;
use table::Platform;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;
use wire::dispatch::Handover;
use wire::member;
use wire::member::Heartbeat;
use wire::message::View;
use wire::message::Watch;
use wire::peer::Handler;
use wire::peer::Peer;
use wire::status;

use crate::owned::HandoverSummary;
use crate::state::OwnershipChanges;
use crate::state::State;
use crate::upstream::UpstreamClient;

/// Longest time for which a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(1);

/// A dispatcher: one member of the cluster.
pub struct Node {
    pub(crate) peer: Arc<dyn Peer>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) upstreams: Arc<dyn UpstreamClient>,
    pub(crate) telemetry: Telemetry,
    state: Mutex<State>,
    /// Generation of the view that gateways watch; incremented whenever the view may have changed.
    view_changed: watch::Sender<u64>,
    /// Notified when membership has news for the neighbours.
    pub(crate) gossip_pending: Notify,
    /// Notified when a newer configuration is known to exist.
    pub(crate) config_behind: Notify,
    /// Dispatchers to contact while no other member is known.
    pub(crate) seeds: Vec<SocketAddr>,
}

#[bon]
impl Node {
    /// Creates a dispatcher that knows no other member and has no configuration.
    #[builder]
    pub fn new(
        instance: id::Instance,
        zone: id::Zone,
        address: SocketAddr,
        incarnation: u64,
        peer: Arc<dyn Peer>,
        platform: Arc<dyn Platform>,
        upstreams: Arc<dyn UpstreamClient>,
        telemetry: Telemetry,
        #[builder(default)] timing: membership::Timing,
        #[builder(default)] queueing: limits::QueuePolicy,
        #[builder(default)] seeds: Vec<SocketAddr>,
    ) -> Node {
        let own = member::Record {
            instance,
            zone,
            address,
            incarnation,
            state: member::State::Alive,
            gateway: 0,
        };
        telemetry.event(Event::new(Kind::Started).with("incarnation", incarnation));
        Node {
            peer,
            platform,
            upstreams,
            telemetry,
            state: Mutex::new(State::new(own, timing, queueing, Instant::now())),
            view_changed: watch::Sender::new(0),
            gossip_pending: Notify::new(),
            config_behind: Notify::new(),
            seeds,
        }
    }
}

impl Node {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Recomputes ownership after a change of members or configuration, and notifies gateways,
    /// neighbours and new owners.
    pub(crate) fn refresh(&self) {
        let changes = self.lock().refresh(Instant::now());
        self.announce();
        self.report_ownership_changes(changes);
    }

    /// Wakes the watches of gateways and triggers heartbeats with news to the neighbours.
    pub(crate) fn announce(&self) {
        self.view_changed.send_modify(|generation| *generation += 1);
        self.gossip_pending.notify_one();
    }

    /// Records ownership changes in the timeline and sends handovers to the new owners.
    fn report_ownership_changes(&self, changes: OwnershipChanges) {
        for name in &changes.acquired {
            self.telemetry
                .event(Event::new(Kind::Owned).with("upstream", name));
        }
        for name in &changes.released {
            self.telemetry
                .event(Event::new(Kind::Disowned).with("upstream", name));
        }
        for (to, handover) in changes.handovers {
            self.send_handover(to, handover);
        }
    }

    /// Sends a handover in the background. If it is lost, the new owner merely admits calls later.
    pub(crate) fn send_handover(&self, to: SocketAddr, handover: Handover) {
        let peer = self.peer.clone();
        let request = Request::Handover(Box::new(handover));
        tokio::spawn(async move {
            let _ = wire::peer::request(peer.as_ref(), to, request).await;
        });
    }

    /// Begins the graceful shutdown: gives up all upstreams and announces it to the other members.
    pub fn begin_shutdown(&self) {
        self.telemetry.event(Event::new(Kind::Stopping));
        {
            let mut state = self.lock();
            state.is_stopping = true;
            state.membership.begin_leave();
        }
        self.refresh();
    }

    /// Calls that this dispatcher has in flight at upstreams.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let state = self.lock();
        state.owned.values().map(|it| it.in_flight()).sum()
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> status::Status {
        let now = Instant::now();
        let mut state = self.lock();
        let is_unfenced = state.membership.is_unfenced(now);
        let owned = state.owned.values().filter(|it| it.is_owner());
        let upstreams = owned
            .map(|it| status::Upstream {
                name: it.upstream.name.clone(),
                zone: it.upstream.zone.clone(),
                warmth: it.warmth().to_string(),
                load: it.load(),
                inherited: it.inherited(now),
                is_drained: !state.snapshot.is_in_service(&it.upstream),
            })
            .collect();
        status::Status {
            instance: state.membership.own().instance.clone(),
            zone: state.membership.own().zone.clone(),
            config_version: state.snapshot.version,
            gateway_version: state.gateway_version,
            drained: state.snapshot.drained.clone(),
            is_unfenced,
            is_store_up: state.is_store_up,
            members: state.membership.members().cloned().collect(),
            upstreams,
            violations: base::invariant::violations(),
        }
    }

    /// Applies a heartbeat and returns its acknowledgement.
    pub(crate) fn receive_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.update_membership(heartbeat, |membership, heartbeat, now| {
            Some(membership.receive(heartbeat, now))
        })
        // `receive` always returns an acknowledgement.
        .unwrap_or_else(|| unreachable!("a heartbeat is always acknowledged"))
    }

    /// Applies the acknowledgement of a heartbeat that this dispatcher sent.
    pub(crate) fn receive_acknowledgement(&self, heartbeat: Heartbeat) {
        self.update_membership(heartbeat, |membership, heartbeat, now| {
            membership.receive_ack(heartbeat, now);
            None
        });
    }

    /// Applies a received heartbeat with `apply`. Triggers a fetch of the configuration if the
    /// sender has a newer one, and a refresh if membership changed.
    fn update_membership(
        &self,
        heartbeat: Heartbeat,
        apply: impl FnOnce(&mut membership::Node, Heartbeat, Instant) -> Option<Heartbeat>,
    ) -> Option<Heartbeat> {
        let mut state = self.lock();
        let before = state.membership.digest();
        let from = heartbeat.from.clone();
        let version = heartbeat.config_version;
        let answer = apply(&mut state.membership, heartbeat, Instant::now());
        let address = state.membership.member(&from).map(|it| it.address);
        state.note_version(version, address);
        let is_behind = state.is_behind();
        let is_changed = state.membership.digest() != before;
        drop(state);
        if is_behind {
            self.config_behind.notify_one();
        }
        if is_changed {
            self.refresh();
        }
        answer
    }

    /// Applies the handover of an upstream's previous owner.
    fn receive_handover(&self, handover: &Handover) {
        let mut state = self.lock();
        let summary = HandoverSummary {
            in_flight: handover.in_flight,
            limit: handover.limit,
            is_warm: handover.is_warm,
            is_last_owner: handover.is_last_owner,
        };
        let known = state.owned.get(&handover.upstream).cloned();
        let owned = known.filter(|it| it.is_owner());
        if owned.is_none() {
            // The membership change behind the handover may not have arrived yet. Recompute
            // ownership. If it does not follow yet, the in-flight count is corrected by the
            // sender's next handover or when the assumed calls expire.
            let changes = state.refresh(Instant::now());
            drop(state);
            self.report_ownership_changes(changes);
            state = self.lock();
        }
        if let Some(owned) = state.owned.get(&handover.upstream) {
            owned.apply_handover(&handover.from, summary, Instant::now());
        }
    }

    /// Replies as soon as the view or the configuration differs from what the gateway has, or after
    /// [`MAX_WATCH_WAIT`].
    async fn watch(&self, watch: Watch) -> Reply {
        let is_new = self.lock().membership.set_gateway(watch.gateway);
        if is_new {
            self.gossip_pending.notify_one();
        }
        let mut changed = self.view_changed.subscribe();
        let deadline = Instant::now() + MAX_WATCH_WAIT;
        loop {
            {
                let mut state = self.lock();
                state.gateway_version = Some(watch.config_version);
                let is_unchanged = state.view_digest() == watch.digest
                    && state.document.version == watch.config_version;
                if !is_unchanged {
                    return Reply::View(Box::new(view_since(&state, watch.config_version)));
                }
                if Instant::now() >= deadline {
                    return Reply::SameView;
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

/// Returns the view, with the document only if it is newer than `known_version`.
fn view_since(state: &State, known_version: u64) -> View {
    let is_newer = state.document.version > known_version;
    View {
        config_version: state.document.version,
        digest: state.view_digest(),
        document: is_newer.then(|| state.document.clone()),
        drained: state.snapshot.drained.clone(),
        members: state.membership.members().cloned().collect(),
        quarantine: state.membership.quarantine(),
    }
}

impl Handler for Node {
    fn handle(&self, request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let reply = match request {
                Request::Dispatch(dispatch) => return self.dispatch(*dispatch, replies).await,
                Request::Heartbeat(heartbeat) => {
                    Reply::Heartbeat(Box::new(self.receive_heartbeat(*heartbeat)))
                }
                Request::Handover(handover) => {
                    self.receive_handover(&handover);
                    Reply::Done
                }
                Request::Watch(watch) => self.watch(watch).await,
                Request::Document => {
                    let document = self.lock().document.clone();
                    Reply::Document((document.version > 0).then(|| Box::new(document)))
                }
                Request::Change(change) => Reply::Changed(self.change(*change).await),
                Request::Status => Reply::Status(Box::new(self.status())),
                Request::Events(events) => {
                    self.telemetry.recorder().append(events);
                    Reply::Done
                }
                Request::Timeline(trace) => {
                    Reply::Timeline(self.telemetry.recorder().events_of(trace))
                }
                Request::Ping => Reply::Done,
                // Only the nodes of the users' platform handle these.
                Request::Prepare(_)
                | Request::Rows(_)
                | Request::Losses(_)
                | Request::Admit(_)
                | Request::Rejected(_)
                | Request::Lend(_)
                | Request::Recall(_)
                | Request::RateLimits(_)
                | Request::Origins(_)
                | Request::Tunnel(_)
                | Request::Updates(_)
                | Request::Schedule(_)
                | Request::Rollout(_)
                | Request::Follow(_)
                | Request::FollowPacked(..) => return,
            };
            // Sending fails only if the requester has gone.
            let _ = replies.send(reply).await;
        })
    }
}
