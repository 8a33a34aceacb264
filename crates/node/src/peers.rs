//! The handler for the requests of other instances.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use base::id;
use forwarding::engine_memory::Need;
use forwarding::origin::ORIGIN_TTL_MAX;
use forwarding::origin::Record;
use forwarding::poison::Source;
use futures_util::future::BoxFuture;
use mirror::Mirror;
use mirror::pack::Held;
use stages::Plan;
use stages::Prepared;
use stages::Refusal;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;
use wire::message::Follow;
use wire::message::Followed;
use wire::message::News;
use wire::message::RowsUpdate;
use wire::message::TablesUpdate;
use wire::peer;
use wire::steps::Prepare;
use wire::steps::Progress;
use wire::steps::Terms;
use wire::tunnel;

use crate::clock;
use crate::detour;
use crate::quota;
use crate::rollout;
use crate::state::BOUNDED_TABLES;
use crate::state::Node;
use crate::suspicion;

pub use crate::liveness::ANSWER_TIMEOUT;
pub use crate::liveness::Answer;
pub use crate::liveness::Peers;

/// Longest wait of a long poll for newer rows. The answer then has no rows, but tells the
/// requesting instance how old its rows are.
const ROWS_POLL_MAX: Duration = Duration::from_millis(400);
/// The same shortly after a gap of this instance's rows: others that the store turns away are about
/// to take it to be unavailable, and wait for the age of the rows rather than for rows.
const ROWS_POLL_AFTER_GAP_MAX: Duration = Duration::from_millis(100);

/// By how much later the rows of this instance must have been complete for that to be news.
const PROOF_STEP: Duration = Duration::from_millis(200);

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
                    if let Some(wait) = busy_for(&node, &prepare) {
                        let progress = Progress::TooLate(wait);
                        return send_reply(&replies, Reply::Steps(progress)).await;
                    }
                    serve_prepare(&node, *prepare, &terms, replies).await;
                }
                Request::Schedule(schedule) => {
                    if let Some(wait) = busy_for(&node, &schedule.prepare) {
                        let progress = Progress::Busy(wait);
                        return send_reply(&replies, Reply::Steps(progress)).await;
                    }
                    serve_prepare(&node, schedule.prepare, &schedule.terms, replies).await;
                }
                Request::Rows(positions) => serve_rows(&node, &positions, replies).await,
                Request::Updates(positions) => serve_updates(&node, &positions, replies).await,
                Request::Follow(follow) => serve_follow(&node, *follow, None, replies).await,
                Request::FollowPacked(follow, held) => {
                    serve_follow(&node, *follow, Some(held), replies).await;
                }
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
                Request::Rollout(report) => {
                    let grant = rollout::serve_report(&node, *report);
                    send_reply(&replies, Reply::Rollout(grant)).await;
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

/// Time for which this instance takes no steps of a request's priority; `None` if it does.
fn busy_for(node: &Node, prepare: &Prepare) -> Option<Duration> {
    let has_steps = !prepare.steps.is_empty();
    let wait = node
        .owner
        .busy_for(prepare.priority)
        .filter(|_| has_steps)?;
    slog::info!(node.logger(), "steps_turned_away"; "request" => &prepare.request,
        "priority" => prepare.priority, "wait_ms" => wait.as_millis() as u64);
    Some(wait)
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

/// When a long poll for rows is answered though there are none.
#[derive(Clone, Copy, Debug)]
struct Poll {
    deadline: Instant,
    /// Whether the requester's rows are fresh. Also answered once those of this instance differ in that.
    is_requester_fresh: bool,
    /// Also once the rows of this instance were complete later than at this time; by
    /// [`clock::now_with_suspension`].
    answers_after: Option<Instant>,
}

impl Poll {
    /// The poll of a requester that does not tell its state.
    fn begin(node: &Node) -> Poll {
        let wait = match node.has_gap_ended() {
            true => ROWS_POLL_AFTER_GAP_MAX,
            false => ROWS_POLL_MAX,
        };
        Poll {
            deadline: Instant::now() + wait,
            is_requester_fresh: true,
            answers_after: None,
        }
    }

    /// Whether to answer although there are no rows.
    fn is_due(&self, node: &Node) -> bool {
        let is_later = || {
            self.answers_after
                .is_some_and(|it| node.complete_at() > Some(it))
        };
        Instant::now() >= self.deadline || node.is_fresh() != self.is_requester_fresh || is_later()
    }
}

/// Waits until the rows differ from those that `has_rows` was told of, or the poll ends; then returns
/// everything else to tell, and a time at or before which it was put together. `None` if the requester
/// has gone.
async fn wait_for_news(
    node: &Arc<Node>,
    poll: Poll,
    has_rows: impl Fn(&Mirror) -> bool,
    replies: &mpsc::Sender<Reply>,
) -> Option<(Instant, News)> {
    let mut view = node.watch_view();
    let mut proofs = node.watch_proofs();
    let mut limits = node.quota_wakers.subscribe();
    let first_change = *limits.borrow_and_update();
    let mut may_have_rows = true;
    loop {
        view.mark_unchanged();
        proofs.mark_unchanged();
        let has_rows = may_have_rows && has_rows(&node.store_copy().mirror);
        if has_rows || *limits.borrow() != first_change || poll.is_due(node) {
            let told_at = clock::now_with_suspension();
            let now = Instant::now();
            let (losses, cleared) = {
                let quarantine = &node.limits().quarantine;
                (
                    quarantine.recent_losses(now),
                    quarantine.recently_cleared(now),
                )
            };
            let news = News {
                age: node.rows_age(),
                losses,
                cleared,
                rate_limits: quota::news::recent_observations(node),
            };
            return Some((told_at, news));
        }
        tokio::select! {
            changed = tokio::time::timeout_at(poll.deadline, view.changed()) => {
                if matches!(changed, Ok(Err(_))) {
                    return None;
                }
                may_have_rows = true;
            }
            _ = proofs.changed() => may_have_rows = view.has_changed().unwrap_or(true),
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
    let poll = Poll::begin(node);
    let Some((_, news)) = wait_for_news(node, poll, has_rows, &replies).await else {
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
    let poll = Poll::begin(node);
    if let Some((_, update)) = wait_for_updates(node, poll, positions, &replies).await {
        send_reply(&replies, Reply::Updates(Box::new(update))).await;
    }
}

/// Answers an instance that follows this one or looks for fresh rows. Large rows are packed for one
/// that tells which of them it holds.
async fn serve_follow(
    node: &Arc<Node>,
    follow: Follow,
    held: Option<Vec<Held>>,
    replies: mpsc::Sender<Reply>,
) {
    let asked_at = clock::now_with_suspension();
    let poll = Poll {
        deadline: Instant::now() + follow.wait.min(ROWS_POLL_MAX),
        is_requester_fresh: follow.is_fresh,
        answers_after: follow
            .age
            .and_then(|it| Some(asked_at.checked_sub(it)? + PROOF_STEP)),
    };
    let update = wait_for_updates(node, poll, &follow.positions, &replies).await;
    let Some((told_at, update)) = update else {
        return;
    };
    let mut followed = Box::new(Followed {
        update,
        waited: told_at.saturating_duration_since(asked_at),
        readers: node.readers(),
    });
    let reply = match held {
        Some(held) => {
            let mirror = &mut node.store_copy().mirror;
            let tables = &mut followed.update.tables;
            let (packed, errors) = mirror.pack(tables, &follow.positions, &held);
            for err in errors {
                slog::warn!(node.logger(), "row_not_packed"; "reason" => %err);
            }
            Reply::FollowedPacked(followed, packed)
        }
        None => Reply::Followed(followed),
    };
    send_reply(&replies, reply).await;
}

async fn wait_for_updates(
    node: &Arc<Node>,
    poll: Poll,
    positions: &[mirror::Position],
    replies: &mpsc::Sender<Reply>,
) -> Option<(Instant, TablesUpdate)> {
    let has_rows = |mirror: &Mirror| mirror.has_updates_since(positions);
    let (told_at, mut news) = wait_for_news(node, poll, has_rows, replies).await?;
    let mirror = &node.store_copy().mirror;
    // The age tells how long ago the rows were complete, in their era.
    let bounded = positions
        .iter()
        .filter(|it| BOUNDED_TABLES.contains(&it.table));
    let mut bounded = bounded.map(|it| (it.table, it.era));
    if bounded.any(|(table, era)| era > mirror.era(table) || mirror.is_unverified(table)) {
        news.age = None;
    }
    let tables = mirror.updates_since(positions);
    Some((told_at, TablesUpdate { tables, news }))
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
