//! Requests to other instances, detection of unresponsive ones, and the handler for their requests.

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
use forwarding::engine_memory::Need;
use forwarding::origin::ORIGIN_TTL_MAX;
use forwarding::origin::Record;
use forwarding::poison::Source;
use futures_util::future::BoxFuture;
use mirror::Mirror;
use stages::Plan;
use stages::Prepared;
use stages::Refusal;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::Protocol;
use wire::Reply;
use wire::Request;
use wire::message::News;
use wire::message::RowsUpdate;
use wire::message::TablesUpdate;
use wire::peer;
use wire::steps::Prepare;
use wire::steps::Progress;
use wire::steps::Terms;
use wire::tunnel;
use wire::tunnel::Tunnel;

use crate::detour;
use crate::quota;
use crate::state::BOUNDED_TABLES;
use crate::state::Node;
use crate::suspicion;

/// Timeout after which a peer is skipped. An answer between zones takes 4 ms, and a peer that has
/// used up its CPU quota stalls for up to 100 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that answered within this time counts as alive without another ping.
const ALIVE_CACHE_TIME: Duration = Duration::from_millis(300);
/// Time for which a peer is suspected, that is skipped, after its first timeout; doubled after each
/// further one. It is short because instances that start together are not all reachable at first:
/// if they skipped each other for longer, each would run the same steps itself.
const SUSPICION_MIN: Duration = Duration::from_millis(250);
/// Longest time for which a peer is suspected; the row of a dead peer lapses soon after.
const SUSPICION_MAX: Duration = Duration::from_secs(2);
/// Longest wait of a long poll for newer rows. The answer then has no rows, but tells the
/// requesting instance how old its rows are.
const ROWS_POLL_MAX: Duration = Duration::from_millis(400);
/// The same shortly after a gap of this instance's rows: others that the store turns away are about
/// to take it to be unavailable, and wait for the age of the rows rather than for rows.
const ROWS_POLL_AFTER_GAP_MAX: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct PeerStatus {
    /// Incarnation that the connection belongs to; 0 before the first call.
    incarnation: u64,
    answered_at: Option<Instant>,
    suspected_until: Option<Instant>,
    /// Timeouts since the last answer; those during a suspicion are not counted.
    timeouts: u32,
}

/// Client for the other instances, and the liveness of each.
#[derive(Default)]
pub struct Peers {
    client: OnceLock<Arc<wire::quic::Client>>,
    statuses: Mutex<BTreeMap<id::Instance, PeerStatus>>,
}

impl Peers {
    /// Sets the client, once the certificates are known.
    pub fn set_client(&self, client: Arc<wire::quic::Client>) {
        // A second client would be the same: the certificates of a deployment never change.
        let _ = self.client.set(client);
    }

    /// Whether the client is set, so that requests to other instances are possible.
    #[must_use]
    pub fn has_client(&self) -> bool {
        self.client.get().is_some()
    }

    /// Whether a member is skipped at present because it did not answer in time.
    #[must_use]
    pub fn is_suspected(&self, instance: &id::Instance) -> bool {
        let statuses = self.statuses();
        let until = statuses.get(instance).and_then(|it| it.suspected_until);
        until.is_some_and(|it| it > Instant::now())
    }

    /// Sends a request to a member and returns the stream of its replies.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet.
    pub async fn open(
        &self,
        member: &Member,
        request: Request,
    ) -> Result<peer::Replies, peer::Error> {
        self.open_with(member, |_| request).await
    }

    /// Sends the request that `request` makes for the protocol that the member speaks, and returns the
    /// stream of its replies.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet.
    pub async fn open_with(
        &self,
        member: &Member,
        request: impl FnOnce(Protocol) -> Request,
    ) -> Result<peer::Replies, peer::Error> {
        let client = self.client.get().ok_or(peer::Error::Unreachable)?;
        if self.update_incarnation(member) {
            // A request on the connection to the former process would be lost.
            client.disconnect(member.address).await;
        }
        let (_, replies) = client.open_with(member.address, request).await?;
        Ok(replies)
    }

    /// Opens a tunnel through a member.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet; its answer if it opened
    /// no tunnel.
    pub async fn open_tunnel(
        &self,
        member: &Member,
        open: tunnel::Open,
    ) -> Result<Result<Tunnel, tunnel::Answer>, peer::Error> {
        let client = self.client.get().ok_or(peer::Error::Unreachable)?;
        if self.update_incarnation(member) {
            client.disconnect(member.address).await;
        }
        client.open_tunnel(member.address, open).await
    }

    /// Records the member's incarnation; returns whether it has restarted since the last call.
    fn update_incarnation(&self, member: &Member) -> bool {
        let mut statuses = self.statuses();
        let status = statuses.entry(member.instance.clone()).or_default();
        let previous = std::mem::replace(&mut status.incarnation, member.incarnation);
        if previous != member.incarnation {
            status.suspected_until = None;
            status.timeouts = 0;
        }
        previous != 0 && previous != member.incarnation
    }

    /// Records an answer of a member, which ends its suspicion.
    pub fn record_answer(&self, instance: &id::Instance) {
        let mut statuses = self.statuses();
        let status = statuses.entry(instance.clone()).or_default();
        status.answered_at = Some(Instant::now());
        status.suspected_until = None;
        status.timeouts = 0;
    }

    /// Records that a member did not answer in time and drops its connection. Returns false if the
    /// member was suspected already: concurrent requests count the same failure once.
    pub async fn record_timeout(&self, member: &Member) -> bool {
        let is_newly_suspected = {
            let mut statuses = self.statuses();
            let status = statuses.entry(member.instance.clone()).or_default();
            let now = Instant::now();
            let is_newly_suspected = status.suspected_until.is_none_or(|it| it <= now);
            if is_newly_suspected {
                let suspicion_time = SUSPICION_MIN * 2_u32.saturating_pow(status.timeouts);
                status.timeouts += 1;
                status.suspected_until = Some(now + suspicion_time.min(SUSPICION_MAX));
            }
            is_newly_suspected
        };
        if let Some(client) = self.client.get() {
            client.disconnect(member.address).await;
        }
        is_newly_suspected
    }

    /// Whether a member answered a moment ago or answers a ping.
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

/// Handles the requests of other instances.
pub struct Handler(pub Weak<Node>);

impl peer::Handler for Handler {
    fn handle(&self, request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let Some(node) = self.0.upgrade() else {
                return;
            };
            match request {
                Request::Prepare(prepare) => {
                    let terms = Terms::default();
                    serve_prepare(&node, *prepare, &terms, replies).await;
                }
                Request::Schedule(schedule) => {
                    serve_prepare(&node, schedule.prepare, &schedule.terms, replies).await;
                }
                Request::Rows(positions) => serve_rows(&node, &positions, replies).await,
                Request::Updates(positions) => serve_updates(&node, &positions, replies).await,
                Request::Losses(losses) => suspicion::merge_losses(&node, &losses, Source::Peer),
                Request::Ping => send_reply(&replies, Reply::Done).await,
                Request::Admit(admit) => quota::lease::serve_admit(&node, *admit, replies).await,
                Request::Rejected(rejected) => {
                    send_reply(&replies, quota::lease::serve_rejected(&node, &rejected)).await;
                }
                Request::Lend(lend) => {
                    send_reply(&replies, quota::lend::serve_lend(&node, &lend)).await;
                }
                Request::Recall(recall) => {
                    send_reply(&replies, quota::lend::serve_recall(&node, &recall)).await;
                }
                Request::RateLimits(limits) => {
                    quota::news::merge(&node, &limits);
                    let known = quota::news::observations(&node);
                    send_reply(&replies, Reply::RateLimits(known)).await;
                }
                Request::Origins(origins) => {
                    hold_origins(&node, origins);
                    send_reply(&replies, Reply::Done).await;
                }
                // All other requests are for dispatchers, which this deployment does not have.
                _ => {}
            }
        })
    }

    fn carry(&self, tunnel: tunnel::Incoming) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(node) = self.0.upgrade() {
                detour::serve(&node, tunnel).await;
            }
        })
    }
}

/// Runs the steps of a request and places it at an engine. Keeps the results and the placement
/// until the requesting instance closes the stream.
async fn serve_prepare(
    node: &Arc<Node>,
    prepare: Prepare,
    terms: &Terms,
    replies: mpsc::Sender<Reply>,
) {
    let request = prepare.request.clone();
    if suspicion::is_suspect_refused(node, &request, prepare.fingerprint) {
        return send_refusal(node, &request, terms, &Refusal::Failed, replies).await;
    }
    let engines = prepare.engines.clone();
    let shard = prepare.shard.clone();
    let mut plan_guard = None;
    let mut prepared = Prepared::default();
    if !prepare.steps.is_empty() {
        let mut guard = match node.owner.submit(shard.clone(), plan_from(prepare, terms)) {
            Ok(guard) => guard,
            Err(refusal) => return send_refusal(node, &request, terms, &refusal, replies).await,
        };
        send_reply(&replies, Reply::Steps(Progress::Accepted(guard.queue_wait))).await;
        let answer = tokio::select! {
            answer = guard.prepared() => answer,
            () = replies.closed() => return,
        };
        prepared = match answer {
            Ok(prepared) => prepared,
            Err(refusal) => return send_refusal(node, &request, terms, &refusal, replies).await,
        };
        plan_guard = Some(guard);
    }
    let typical_latency = engines.usual;
    let mut engines = engines.candidates_in(&shard, prepared.zone.as_ref());
    engines.retain(|it| quota::has_capacity(node, it));
    let need = need_from(terms);
    let placement = node.owner.place(&request, &engines, typical_latency, need);
    let progress = Progress::Prepared {
        handles: prepared.handles,
        zone: prepared.zone,
        engine: placement.as_ref().map(|it| it.engine().clone()),
    };
    send_reply(&replies, Reply::Steps(progress)).await;
    replies.closed().await;
    drop((placement, plan_guard));
}

/// What a request takes of an engine, by its terms.
pub(crate) fn need_from(terms: &Terms) -> Need {
    Need {
        prompt_tokens: terms.prompt_tokens,
        output_tokens: terms.output_tokens_max,
    }
}

async fn send_refusal(
    node: &Node,
    request: &str,
    terms: &Terms,
    refusal: &Refusal,
    replies: mpsc::Sender<Reply>,
) {
    let counts = node.paths().counts();
    slog::info!(node.logger(), "steps_refused"; "request" => request, "reason" => %refusal,
        "workspace" => terms.workspace.as_ref().map(id::Workspace::as_str),
        "reached" => counts.reached, "unreached" => counts.unreached);
    let progress = match refusal {
        Refusal::TooLate(drain) => Progress::TooLate(*drain),
        Refusal::NoUpstream => Progress::NoUpstream,
        Refusal::Failed => Progress::Failed,
    };
    send_reply(&replies, Reply::Steps(progress)).await;
}

/// Waits until the rows differ from those that `has_rows` was told of, for at most [`ROWS_POLL_MAX`],
/// less shortly after a gap, or until the rows of this instance are no longer fresh; then returns
/// everything else to tell. `None` if the requester has gone.
async fn wait_for_news(
    node: &Arc<Node>,
    has_rows: impl Fn(&Mirror) -> bool,
    replies: &mpsc::Sender<Reply>,
) -> Option<News> {
    let poll_max = match node.has_gap_ended() {
        true => ROWS_POLL_AFTER_GAP_MAX,
        false => ROWS_POLL_MAX,
    };
    let poll_deadline = Instant::now() + poll_max;
    let mut view = node.watch_view();
    let mut limits = node.quota_wakers.subscribe();
    let first_change = *limits.borrow_and_update();
    loop {
        view.mark_unchanged();
        let has_news = has_rows(&node.store_copy().mirror) || *limits.borrow() != first_change;
        if has_news || Instant::now() >= poll_deadline || !node.is_fresh() {
            let now = Instant::now();
            let (losses, cleared) = {
                let quarantine = &node.limits().quarantine;
                (
                    quarantine.recent_losses(now),
                    quarantine.recently_cleared(now),
                )
            };
            return Some(News {
                age: node.rows_age(),
                losses,
                cleared,
                rate_limits: quota::news::recent_observations(node),
            });
        }
        tokio::select! {
            changed = tokio::time::timeout_at(poll_deadline, view.changed()) => {
                if matches!(changed, Ok(Err(_))) {
                    return None;
                }
            }
            _ = limits.changed() => {}
            () = replies.closed() => return None,
        }
    }
}

/// Answers a long poll for the rows above `positions` of an instance that knows no eras.
async fn serve_rows(
    node: &Arc<Node>,
    positions: &[(mirror::Table, u64)],
    replies: mpsc::Sender<Reply>,
) {
    let has_rows = |mirror: &Mirror| !mirror.rows_since(positions).is_empty();
    let Some(news) = wait_for_news(node, has_rows, &replies).await else {
        return;
    };
    let rows = node.store_copy().mirror.rows_since(positions);
    let update = RowsUpdate { rows, news };
    send_reply(&replies, Reply::Rows(Box::new(update))).await;
}

/// Answers a long poll for what an instance at `positions` lacks.
async fn serve_updates(
    node: &Arc<Node>,
    positions: &[mirror::Position],
    replies: mpsc::Sender<Reply>,
) {
    let has_rows = |mirror: &Mirror| !mirror.updates_since(positions).is_empty();
    let Some(mut news) = wait_for_news(node, has_rows, &replies).await else {
        return;
    };
    let tables = {
        let mirror = &node.store_copy().mirror;
        // The age tells how long ago the rows were complete, in their era.
        let bounded = positions
            .iter()
            .filter(|it| BOUNDED_TABLES.contains(&it.table));
        let mut bounded = bounded.map(|it| (it.table, it.era));
        if bounded.any(|(table, era)| era > mirror.era(table) || mirror.is_unverified(table)) {
            news.age = None;
        }
        mirror.updates_since(positions)
    };
    let update = TablesUpdate { tables, news };
    send_reply(&replies, Reply::Updates(Box::new(update))).await;
}

/// Takes the origins of streams that another instance began into custody.
fn hold_origins(node: &Node, origins: Vec<wire::message::Origin>) {
    let now = Instant::now();
    let held = &mut node.limits().origins;
    for origin in origins {
        held.hold(Record {
            stream: origin.stream,
            origin: origin.origin,
            expires_at: now + origin.remaining.min(ORIGIN_TTL_MAX),
        });
    }
    node.origin_wakers.save.notify_one();
}

async fn send_reply(replies: &mpsc::Sender<Reply>, reply: Reply) {
    // Fails only if the requesting instance has closed the stream.
    let _ = replies.send(reply).await;
}

/// Converts a message that has just arrived, whose times are relative, into a plan.
#[must_use]
pub fn plan_from(prepare: Prepare, terms: &Terms) -> Plan {
    let now = Instant::now();
    Plan {
        request: prepare.request,
        fingerprint: prepare.fingerprint,
        key: prepare.key,
        zone: prepare.zone,
        priority: prepare.priority,
        workspace: terms.workspace.clone(),
        soft_deadline: now + prepare.aim,
        deadline: now + prepare.deadline,
        time_after_steps: prepare.tail,
        steps: prepare.steps,
    }
}
