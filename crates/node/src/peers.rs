//! Other instances: what this one asks of them, and what it answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use base::id;
use catalog::Member;
use forwarding::poison::Source;
use futures_util::future::BoxFuture;
use stages::Plan;
use stages::Prepared;
use stages::Refusal;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;
use wire::message::News;
use wire::peer;
use wire::peer::Peer;
use wire::steps::Prepare;
use wire::steps::Progress;

use crate::state::Node;
use crate::suspicion;

/// A peer that does not answer within this time is passed over; between zones an answer takes 4 ms,
/// and a peer whose processor share is used up stands still for up to 100 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that answered this recently is not asked again whether it lives.
const ALIVE_CACHE_TIME: Duration = Duration::from_millis(300);
/// A peer that did not answer once is passed over for this time, and for twice as long after each
/// further silence. Instances that start together are not all there in the first moment: those that
/// pass each other over for longer all run the same steps on their own.
const SUSPICION_MIN: Duration = Duration::from_millis(250);
/// Longest time for which a peer is passed over; its row lapses soon after if it is gone.
const SUSPICION_MAX: Duration = Duration::from_secs(2);
/// A question for newer rows is answered after this time at the latest, so that the asker learns how
/// fresh its rows are.
const ROWS_POLL_MAX: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct PeerStatus {
    /// Start of the member that the connection belongs to.
    incarnation: u64,
    answered_at: Option<Instant>,
    suspected_until: Option<Instant>,
    /// Silences since its last answer.
    timeouts: u32,
}

/// Connections to other instances and what is known of their lives.
#[derive(Default)]
pub struct Peers {
    client: OnceLock<Arc<wire::quic::Client>>,
    statuses: Mutex<BTreeMap<id::Instance, PeerStatus>>,
}

impl Peers {
    /// Sets the client, once the certificates are known.
    pub fn set_client(&self, client: Arc<wire::quic::Client>) {
        // Certificates never change while a deployment lives.
        let _ = self.client.set(client);
    }

    /// Whether other instances can be asked.
    #[must_use]
    pub fn has_client(&self) -> bool {
        self.client.get().is_some()
    }

    /// Whether a member did not answer lately.
    #[must_use]
    pub fn is_suspected(&self, instance: &id::Instance) -> bool {
        let statuses = self.statuses();
        let until = statuses.get(instance).and_then(|it| it.suspected_until);
        until.is_some_and(|it| it > Instant::now())
    }

    /// Opens a stream to a member.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be reached.
    pub async fn open(
        &self,
        member: &Member,
        request: Request,
    ) -> Result<peer::Replies, peer::Error> {
        let client = self.client.get().ok_or(peer::Error::Unreachable)?;
        if self.update_incarnation(member) {
            // The connection to its former process would swallow the request.
            client.forget(member.address).await;
        }
        client.open(member.address, request).await
    }

    /// Whether the member has started anew since the last call.
    fn update_incarnation(&self, member: &Member) -> bool {
        let mut statuses = self.statuses();
        let status = statuses.entry(member.instance.clone()).or_default();
        let before = std::mem::replace(&mut status.incarnation, member.incarnation);
        if before != member.incarnation {
            status.suspected_until = None;
            status.timeouts = 0;
        }
        before != 0 && before != member.incarnation
    }

    /// Notes an answer.
    pub fn record_answer(&self, instance: &id::Instance) {
        let mut statuses = self.statuses();
        let status = statuses.entry(instance.clone()).or_default();
        status.answered_at = Some(Instant::now());
        status.suspected_until = None;
        status.timeouts = 0;
    }

    /// Notes that a member did not answer in time; returns whether that is news.
    pub async fn record_timeout(&self, member: &Member) -> bool {
        let is_newly_suspected = {
            let mut statuses = self.statuses();
            let status = statuses.entry(member.instance.clone()).or_default();
            let now = Instant::now();
            let is_newly_suspected = status.suspected_until.is_none_or(|it| it <= now);
            if is_newly_suspected {
                let pause = SUSPICION_MIN * 2_u32.saturating_pow(status.timeouts);
                status.timeouts += 1;
                status.suspected_until = Some(now + pause.min(SUSPICION_MAX));
            }
            is_newly_suspected
        };
        if let Some(client) = self.client.get() {
            client.forget(member.address).await;
        }
        is_newly_suspected
    }

    /// Whether a member answers now.
    pub async fn is_alive(&self, member: &Member) -> bool {
        let answered_at = {
            let statuses = self.statuses();
            statuses.get(&member.instance).and_then(|it| it.answered_at)
        };
        if answered_at.is_some_and(|it| it.elapsed() < ALIVE_CACHE_TIME) {
            return true;
        }
        let ping = async {
            let mut replies = self.open(member, Request::Ping).await.ok()?;
            replies.next().await
        };
        let is_alive = matches!(
            tokio::time::timeout(ANSWER_TIMEOUT, ping).await,
            Ok(Some(_))
        );
        if is_alive {
            self.record_answer(&member.instance);
        }
        is_alive
    }

    fn statuses(&self) -> MutexGuard<'_, BTreeMap<id::Instance, PeerStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers other instances.
pub struct Handler(pub Weak<Node>);

impl peer::Handler for Handler {
    fn handle(&self, request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let Some(node) = self.0.upgrade() else {
                return;
            };
            match request {
                Request::Prepare(prepare) => serve_prepare(&node, *prepare, replies).await,
                Request::Rows(positions) => serve_rows(&node, &positions, replies).await,
                Request::Losses(losses) => suspicion::merge_losses(&node, &losses, Source::Peer),
                Request::Ping => send_reply(&replies, Reply::Done).await,
                // The other requests are for the dispatchers of the product's own deployments.
                _ => {}
            }
        })
    }
}

/// Runs the steps of a request and keeps the results until the asker drops the stream.
async fn serve_prepare(node: &Arc<Node>, prepare: Prepare, replies: mpsc::Sender<Reply>) {
    let request = prepare.request.clone();
    if suspicion::check_quarantine(node, &request, prepare.fingerprint).is_some() {
        return send_refusal(node, &request, &Refusal::Failed, replies).await;
    }
    let engines = prepare.engines.clone();
    let shard = prepare.shard.clone();
    let mut plan_guard = None;
    let mut prepared = Prepared::default();
    if !prepare.steps.is_empty() {
        let mut guard = match node.owner.submit(shard.clone(), plan_from(prepare)) {
            Ok(guard) => guard,
            Err(refusal) => return send_refusal(node, &request, &refusal, replies).await,
        };
        send_reply(&replies, Reply::Steps(Progress::Accepted(guard.wait))).await;
        let answer = tokio::select! {
            answer = guard.prepared() => answer,
            () = replies.closed() => return,
        };
        prepared = match answer {
            Ok(prepared) => prepared,
            Err(refusal) => return send_refusal(node, &request, &refusal, replies).await,
        };
        plan_guard = Some(guard);
    }
    let usual = engines.usual;
    let engines = engines.of_shard(&shard, prepared.zone.as_ref());
    let placement = node.owner.place(&engines, usual);
    let progress = Progress::Prepared {
        handles: prepared.handles,
        zone: prepared.zone,
        engine: placement.as_ref().map(|it| it.engine().clone()),
    };
    send_reply(&replies, Reply::Steps(progress)).await;
    replies.closed().await;
    drop((placement, plan_guard));
}

async fn send_refusal(node: &Node, request: &str, refusal: &Refusal, replies: mpsc::Sender<Reply>) {
    slog::info!(node.logger(), "steps_refused"; "request" => request, "reason" => %refusal);
    let progress = match refusal {
        Refusal::TooLate(drain) => Progress::TooLate(*drain),
        Refusal::NoUpstream => Progress::NoUpstream,
        Refusal::Failed => Progress::Failed,
    };
    send_reply(&replies, Reply::Steps(progress)).await;
}

async fn serve_rows(
    node: &Arc<Node>,
    positions: &[(mirror::Table, u64)],
    replies: mpsc::Sender<Reply>,
) {
    let until = Instant::now() + ROWS_POLL_MAX;
    let mut view = node.watch_view();
    loop {
        view.mark_unchanged();
        let rows = node.store_copy().mirror.rows_since(positions);
        if !rows.is_empty() || Instant::now() >= until || !node.is_fresh() {
            let now = Instant::now();
            let (losses, cleared) = {
                let quarantine = &node.limits().quarantine;
                (
                    quarantine.recent_losses(now),
                    quarantine.recently_cleared(now),
                )
            };
            let news = News {
                rows,
                age: node.rows_age(),
                losses,
                cleared,
            };
            return send_reply(&replies, Reply::Rows(Box::new(news))).await;
        }
        tokio::select! {
            changed = tokio::time::timeout_at(until, view.changed()) => {
                if matches!(changed, Ok(Err(_))) {
                    return;
                }
            }
            () = replies.closed() => return,
        }
    }
}

async fn send_reply(replies: &mpsc::Sender<Reply>, reply: Reply) {
    // An asker that has gone needs no reply.
    let _ = replies.send(reply).await;
}

/// The plan of a message that has just arrived.
#[must_use]
pub fn plan_from(prepare: Prepare) -> Plan {
    let now = Instant::now();
    Plan {
        request: prepare.request,
        fingerprint: prepare.fingerprint,
        key: prepare.key,
        zone: prepare.zone,
        priority: prepare.priority,
        soft_deadline: now + prepare.aim,
        deadline: now + prepare.deadline,
        time_after_steps: prepare.tail,
        steps: prepare.steps,
    }
}
