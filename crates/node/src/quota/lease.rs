//! Sends that are under way. An upstream that is fragile has little room, so the coordinator has to
//! know when each of them has ended.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::id;
use catalog::Member;
use catalog::Upstream;
use forwarding::quota::pool::Decision;
use forwarding::quota::room::GrantId;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::peer::Replies;
use wire::quota::Admit;
use wire::quota::Rejected;

use super::admit_locally;
use super::coordinator;
use super::news;
use crate::clock;
use crate::state::Node;

/// Process of the coordinator that granted a send: its instance and incarnation.
pub(super) type Granter = (id::Instance, u64);

/// Numbers of the sends of this instance that are under way, by upstream and by who granted them.
#[derive(Debug, Default)]
pub(super) struct InFlight(BTreeMap<id::Incarnation, BTreeMap<Option<Granter>, u32>>);

impl InFlight {
    fn begin(&mut self, upstream: &id::Incarnation, granter: &Option<Granter>) {
        let sends = self.0.entry(upstream.clone()).or_default();
        *sends.entry(granter.clone()).or_default() += 1;
    }

    fn end(&mut self, upstream: &id::Incarnation, granter: &Option<Granter>) {
        let Some(sends) = self.0.get_mut(upstream) else {
            return;
        };
        if let Some(count) = sends.get_mut(granter) {
            *count -= 1;
            if *count == 0 {
                sends.remove(granter);
            }
        }
        if sends.is_empty() {
            self.0.remove(upstream);
        }
    }

    /// Number of sends to an upstream that others than `coordinator` granted, or nobody.
    pub(super) fn not_granted_by(&self, upstream: &id::Incarnation, coordinator: &Granter) -> u32 {
        let sends = self.0.get(upstream).into_iter().flatten();
        let others = sends.filter(|it| it.0.as_ref() != Some(coordinator));
        others.map(|it| *it.1).sum()
    }
}

/// What the coordinator keeps until the send has ended.
enum Grant {
    /// Nothing: the upstream was not fragile.
    None,
    /// A grant of this instance.
    Local(GrantId),
    /// A grant of another instance, which ends when the stream is closed.
    Remote(#[expect(dead_code, reason = "dropping it closes the stream")] Replies),
}

/// A send that is under way; dropping it records its end.
pub(crate) struct Lease {
    node: Arc<Node>,
    upstream: id::Incarnation,
    zone: id::Zone,
    slots: u32,
    granter: Option<Granter>,
    grant: Grant,
}

impl Lease {
    /// A send to an upstream without limits.
    pub(super) fn unlimited(node: &Arc<Node>, upstream: &Upstream) -> Lease {
        Lease::begin(node, upstream, None, Grant::None)
    }

    /// A send that this instance has granted as the coordinator.
    pub(super) fn local(node: &Arc<Node>, upstream: &Upstream, grant: Option<GrantId>) -> Lease {
        let granter = (node.settings.instance.clone(), node.incarnation);
        let grant = grant.map_or(Grant::None, Grant::Local);
        Lease::begin(node, upstream, Some(granter), grant)
    }

    /// A send that another instance has granted; its handler keeps the grant until `replies` is
    /// dropped.
    pub(super) fn remote(
        node: &Arc<Node>,
        upstream: &Upstream,
        member: &Member,
        replies: Replies,
    ) -> Lease {
        let granter = (member.instance.clone(), member.incarnation);
        Lease::begin(node, upstream, Some(granter), Grant::Remote(replies))
    }

    fn begin(
        node: &Arc<Node>,
        upstream: &Upstream,
        granter: Option<Granter>,
        grant: Grant,
    ) -> Lease {
        let incarnation = upstream.incarnation();
        node.quotas().in_flight.begin(&incarnation, &granter);
        Lease {
            node: node.clone(),
            upstream: incarnation,
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            granter,
            grant,
        }
    }

    /// Ends the send, which the upstream rejected for want of room. The coordinator learns that
    /// before the grant ends.
    pub(crate) fn reject(self) {
        let now = clock::now_with_suspension();
        let (limits, known) = {
            let beliefs = &self.node.quotas().beliefs;
            let known = beliefs.observation(&self.upstream, now);
            (beliefs.limits(&self.upstream), known)
        };
        if limits.rejections.is_none() {
            return;
        }
        slog::info!(self.node.logger(), "rejected"; "upstream" => %self.upstream);
        let rejected = Rejected {
            upstream: self.upstream.clone(),
            zone: self.zone.clone(),
            slots: self.slots,
            known,
        };
        let coordinator = coordinator(&self.node, &self.zone);
        let own = &self.node.settings.instance;
        let Some(member) = coordinator.filter(|it| it.instance != *own) else {
            serve_rejected(&self.node, &rejected);
            return;
        };
        tokio::spawn(async move {
            let request = Request::Rejected(Box::new(rejected));
            super::call(&self.node, &member, request).await;
            drop(self);
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut quotas = self.node.quotas();
        quotas.in_flight.end(&self.upstream, &self.granter);
        if let Grant::Local(grant) = self.grant {
            let rooms = &mut quotas.zone(&self.zone).rooms;
            rooms.release(&self.upstream, grant, clock::now_with_suspension());
        }
        let is_fragile = quotas.beliefs.limits(&self.upstream).rejections.is_some();
        drop(quotas);
        // The coordinator counts the send until it is told otherwise.
        if is_fragile && self.granter.is_none() {
            self.node.quota_wakers.renew.notify_one();
        }
    }
}

/// Decides, as the coordinator, on a request of another instance. Keeps the grant until that
/// instance closes the stream.
pub(crate) async fn serve_admit(node: &Node, admit: Admit, replies: mpsc::Sender<Reply>) {
    news::merge(node, admit.known.as_slice());
    let (granted, known) = {
        let (upstream, zone, urgency) = (&admit.upstream, &admit.zone, admit.urgency);
        let mut quotas = node.quotas();
        let granted = admit_locally(&mut quotas, upstream, zone, admit.slots, urgency);
        let now = clock::now_with_suspension();
        (granted, quotas.beliefs.observation(upstream, now))
    };
    let (decision, grant) = match granted {
        Ok(grant) => (Decision::Granted, grant),
        Err(wait) => (Decision::Denied(wait), None),
    };
    // Fails only if the requesting instance has closed the stream.
    let _ = replies.send(Reply::Admitted(decision, known)).await;
    if let Some(grant) = grant {
        replies.closed().await;
        let mut quotas = node.quotas();
        let rooms = &mut quotas.zone(&admit.zone).rooms;
        rooms.release(&admit.upstream, grant, clock::now_with_suspension());
    }
}

/// Records, as the coordinator, that an upstream rejected a request.
pub(crate) fn serve_rejected(node: &Node, rejected: &Rejected) -> Reply {
    news::merge(node, rejected.known.as_slice());
    let now = clock::now_with_suspension();
    let mut quotas = node.quotas();
    let zone = quotas.zone(&rejected.zone);
    let holding = zone.holding();
    let in_flight = zone.rooms.in_flight(&rejected.upstream, now);
    zone.rooms
        .record_rejection(&rejected.upstream, rejected.slots, holding, now);
    drop(quotas);
    slog::info!(node.logger(), "rejection"; "upstream" => %rejected.upstream,
        "in_flight" => in_flight, "slots" => rejected.slots, "held" => holding.held);
    node.telemetry.count("rejections.reported", 1);
    Reply::Done
}
