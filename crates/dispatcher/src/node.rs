//! One dispatcher: state, collaborators and the requests that it answers.

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

use crate::owned::Summary;
use crate::state::Moves;
use crate::state::State;
use crate::upstream::UpstreamClient;

/// Longest time that a watch waits for a change.
const WATCH_MAX: Duration = Duration::from_secs(1);

/// One dispatcher.
pub struct Node {
    pub(crate) peer: Arc<dyn Peer>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) upstreams: Arc<dyn UpstreamClient>,
    pub(crate) telemetry: Telemetry,
    state: Mutex<State>,
    /// Raised whenever the view that gateways follow may have changed.
    changed: watch::Sender<u64>,
    /// News waits to be sent to the neighbours.
    pub(crate) urgent: Notify,
    /// A newer configuration is known to exist.
    pub(crate) behind: Notify,
    /// Dispatchers to ask while no member is known.
    pub(crate) seeds: Vec<SocketAddr>,
}

#[bon]
impl Node {
    /// A dispatcher that has just started.
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
            changed: watch::Sender::new(0),
            urgent: Notify::new(),
            behind: Notify::new(),
            seeds,
        }
    }
}

impl Node {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Recomputes what follows from members and configuration, and tells whom it concerns.
    pub(crate) fn refresh(&self) {
        let moves = self.lock().refresh(Instant::now());
        self.announce();
        self.tell(moves);
    }

    /// Wakes those who wait for a change of the view, and sends news to the neighbours.
    pub(crate) fn announce(&self) {
        self.changed.send_modify(|generation| *generation += 1);
        self.urgent.notify_one();
    }

    fn tell(&self, moves: Moves) {
        for name in &moves.taken {
            self.telemetry
                .event(Event::new(Kind::Owned).with("upstream", name));
        }
        for name in &moves.given {
            self.telemetry
                .event(Event::new(Kind::Disowned).with("upstream", name));
        }
        for (to, handover) in moves.handovers {
            self.send_handover(to, handover);
        }
    }

    /// Sends a handover in the background; a lost one only delays the new owner.
    pub(crate) fn send_handover(&self, to: SocketAddr, handover: Handover) {
        let peer = self.peer.clone();
        let request = Request::Handover(Box::new(handover));
        tokio::spawn(async move {
            let _ = wire::peer::request(peer.as_ref(), to, request).await;
        });
    }

    /// Begins the graceful stop: gives up every upstream and tells the others.
    pub fn begin_shutdown(&self) {
        self.telemetry.event(Event::new(Kind::Stopping));
        {
            let mut state = self.lock();
            state.is_stopping = true;
            state.membership.leave();
        }
        self.refresh();
    }

    /// Calls in flight at upstreams.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let state = self.lock();
        state.owned.values().map(|it| it.in_flight()).sum()
    }

    /// State for operators.
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

    /// Takes a heartbeat and returns its acknowledgement.
    pub(crate) fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.exchange(heartbeat, |membership, heartbeat, now| {
            Some(membership.receive(heartbeat, now))
        })
        // `receive` always returns an acknowledgement.
        .unwrap_or_else(|| unreachable!("a heartbeat is always acknowledged"))
    }

    /// Takes an acknowledgement.
    pub(crate) fn acknowledged(&self, heartbeat: Heartbeat) {
        self.exchange(heartbeat, |membership, heartbeat, now| {
            membership.acknowledged(heartbeat, now);
            None
        });
    }

    fn exchange(
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
            self.behind.notify_one();
        }
        if is_changed {
            self.refresh();
        }
        answer
    }

    fn handover(&self, handover: &Handover) {
        let mut state = self.lock();
        let summary = Summary {
            in_flight: handover.in_flight,
            limit: handover.limit,
            is_warm: handover.is_warm,
            is_last_owner: handover.is_last_owner,
        };
        let known = state.owned.get(&handover.upstream).cloned();
        let owned = known.filter(|it| it.is_owner());
        if owned.is_none() {
            // The news of the change has not come yet; ownership is recomputed and the sender's
            // next handover, or its silence, settles the count.
            let moves = state.refresh(Instant::now());
            drop(state);
            self.tell(moves);
            state = self.lock();
        }
        if let Some(owned) = state.owned.get(&handover.upstream) {
            owned.inherit(&handover.from, summary, Instant::now());
        }
    }

    async fn watch(&self, watch: Watch) -> Reply {
        let is_new = self.lock().membership.set_gateway(watch.gateway);
        if is_new {
            self.urgent.notify_one();
        }
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + WATCH_MAX;
        loop {
            {
                let mut state = self.lock();
                state.gateway_version = Some(watch.config_version);
                let is_same = state.view_digest() == watch.digest
                    && state.document.version == watch.config_version;
                if !is_same {
                    return Reply::View(Box::new(view(&state, watch.config_version)));
                }
                if Instant::now() >= deadline {
                    return Reply::SameView;
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

fn view(state: &State, known_version: u64) -> View {
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
                    Reply::Heartbeat(Box::new(self.heartbeat(*heartbeat)))
                }
                Request::Handover(handover) => {
                    self.handover(&handover);
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
                // These are for the nodes of the users' platform.
                Request::Prepare(_) | Request::Rows(_) | Request::Losses(_) => return,
            };
            // An asker that has gone needs no reply.
            let _ = replies.send(reply).await;
        })
    }
}
