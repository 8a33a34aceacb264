//! Has the steps of a request run by the owner of a shard.
//!
//! The owner is the first member in preference order that answers. It holds soft state only: if it
//! stops answering, the next member is asked and computes the step results again.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Member;
use stages::Prepared;
use stages::Refusal;
use stages::Shard;
use stages::shard;
use stages::shard::PrefixCache;
use tokio::time::Instant;
use wire::Protocol;
use wire::Reply;
use wire::Request;
use wire::peer::Replies;
use wire::steps::Prepare;
use wire::steps::Progress;
use wire::steps::Schedule;
use wire::steps::Terms;

use crate::owner;
use crate::peers;
use crate::peers::Answer;
use crate::quota;
use crate::state::Node;

/// Prefix of the keys by which the owners of shards are determined.
const OWNERSHIP_KEY_PREFIX: &str = "steps/";
/// Interval of liveness checks of the owner while its results are awaited.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Members that are tried in each round before this instance runs the steps itself.
const REMOTE_OWNERS_MAX: usize = 3;
/// Number of rounds over the owners: a member that is just starting answers in the second one.
const ROUNDS_MAX: usize = 2;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the step results of a request alive. Dropping it frees them.
pub enum Lease {
    /// Results of this instance's own planner, and the engine that it chose.
    Local(Option<owner::PlanGuard>, Option<owner::Placement>),
    /// Results of another instance's planner.
    Remote(Replies),
}

/// Step results and placement that the owner returned for a request.
pub struct Preparation {
    /// Handles and zone of the step results.
    pub prepared: Prepared,
    /// Engine that the owner chose for the request.
    pub engine: Option<id::Upstream>,
    /// Keep the step results alive and the placement counted.
    pub leases: Vec<Lease>,
}

impl Preparation {
    /// Has the owner place the request at another engine, because the rate limit of the chosen one
    /// denied it. Without one, this instance chooses the upstream by itself.
    pub(crate) async fn place_again(
        &mut self,
        node: &Arc<Node>,
        mut prepare_request: PrepareRequest,
    ) {
        prepare_request.prepare.steps.clear();
        self.engine = None;
        if let Ok(placed) = run(node, &prepare_request).await {
            self.engine = placed.engine;
            self.leases.extend(placed.leases);
        }
    }
}

/// A request to the owner for steps and a placement, with its deadlines.
#[derive(Clone, Debug)]
pub struct PrepareRequest {
    /// Message to the owner. Its shard is set once one is chosen, and its relative times when it is
    /// sent.
    pub prepare: Prepare,
    /// What the owner schedules and places by.
    pub terms: Terms,
    /// Zone whose engine caches the prompt's prefix, and the cost of recomputing it elsewhere.
    pub prefix_cache: Option<PrefixCache>,
    /// Instant until which the response is of full use.
    pub soft_deadline: Instant,
    /// Instant by which the response must have been sent.
    pub deadline: Instant,
}

impl PrepareRequest {
    fn for_shard(&self, shard: Shard) -> PrepareRequest {
        let mut prepare_request = self.clone();
        prepare_request.prepare.shard = shard;
        prepare_request
    }

    fn to_message(&self) -> Prepare {
        let now = Instant::now();
        Prepare {
            aim: self.soft_deadline.saturating_duration_since(now),
            deadline: self.deadline.saturating_duration_since(now),
            ..self.prepare.clone()
        }
    }
}

/// Has the steps run by the owner of the chosen shard, or by this instance if no owner answers.
///
/// # Errors
///
/// The owner's refusal, or [`Refusal::NoUpstream`] if no shard can run the steps.
pub async fn run(
    node: &Arc<Node>,
    prepare_request: &PrepareRequest,
) -> Result<Preparation, Refusal> {
    let shard = choose_shard(node, prepare_request).ok_or(Refusal::NoUpstream)?;
    let prepare_request = &prepare_request.for_shard(shard.clone());
    // The owner that turned the steps away, and after which time it may be asked again.
    let mut busy: Option<(Arc<Member>, Duration)> = None;
    for round in 0..ROUNDS_MAX {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        for member in owners_by_preference(node, &shard)
            .into_iter()
            .take(REMOTE_OWNERS_MAX)
        {
            if let Some((owner, _)) = &busy
                && !may_help(node, owner, &member, prepare_request)
            {
                continue;
            }
            match ask(node, &member, prepare_request).await {
                Asked::Ended(result) => return result,
                Asked::Busy(wait) => {
                    if let Some((_, first_wait)) = busy {
                        return Err(Refusal::TooLate(first_wait.min(wait)));
                    }
                    busy = Some((member, wait));
                }
                Asked::Lost => {
                    node.shard_waits().record_lost(&shard, Instant::now());
                    if node.peers.record_timeout(&member).await {
                        slog::warn!(node.logger(), "owner_lost"; "instance" => %member.instance,
                            "request" => &prepare_request.prepare.request);
                    }
                }
            }
        }
        if let Some((owner, wait)) = busy {
            slog::info!(node.logger(), "owner_busy"; "instance" => %owner.instance,
                "request" => &prepare_request.prepare.request,
                "wait_ms" => wait.as_millis() as u64);
            return Err(Refusal::TooLate(wait));
        }
    }
    prepare_locally(node, prepare_request, shard).await
}

/// Whether a member may run steps that the owner turned away: it has half of its processor or more,
/// and the queue of the upstreams leaves time, so that the owner's processor is what they lack.
fn may_help(
    node: &Node,
    owner: &Member,
    member: &Member,
    prepare_request: &PrepareRequest,
) -> bool {
    let now = Instant::now();
    let shard = &prepare_request.prepare.shard;
    let request = &prepare_request.prepare.request;
    let waits = node
        .shard_waits()
        .waits(std::slice::from_ref(shard), request, now);
    let wait = waits.first().copied().unwrap_or_default();
    let time_left = prepare_request.soft_deadline.saturating_duration_since(now);
    member.cpu_share * 2.0 >= owner.cpu_share && wait < time_left
}

/// What a member made of steps.
enum Asked {
    Ended(Result<Preparation, Refusal>),
    /// It doesn't keep up, and may be asked again after this time.
    Busy(Duration),
    Lost,
}

/// Has a member, or this instance, run the steps, unless it is known to be busy.
async fn ask(node: &Arc<Node>, member: &Member, prepare_request: &PrepareRequest) -> Asked {
    let is_local = member.instance == node.settings.instance;
    let (priority, now) = (prepare_request.prepare.priority, Instant::now());
    let busy = match is_local {
        true => node.owner.busy_for(priority),
        false => node.owner_holds().held_for(&member.instance, priority, now),
    };
    if let Some(wait) = busy.filter(|_| !prepare_request.prepare.steps.is_empty()) {
        return Asked::Busy(wait);
    }
    if is_local {
        let shard = prepare_request.prepare.shard.clone();
        return Asked::Ended(prepare_locally(node, prepare_request, shard).await);
    }
    prepare_remotely(node, member, prepare_request).await
}

/// Runs the steps with this instance's own planner.
async fn prepare_locally(
    node: &Arc<Node>,
    prepare_request: &PrepareRequest,
    shard: Shard,
) -> Result<Preparation, Refusal> {
    let mut plan_guard = None;
    let mut prepared = Prepared::default();
    if !prepare_request.prepare.steps.is_empty() {
        let plan = peers::plan_from(prepare_request.to_message(), &prepare_request.terms);
        let mut guard = node.owner.submit(shard.clone(), plan)?;
        let (wait, now) = (guard.queue_wait, Instant::now());
        node.shard_waits().record_wait(shard.clone(), wait, now);
        prepared = guard.prepared().await?;
        plan_guard = Some(guard);
    }
    let engines = &prepare_request.prepare.engines;
    let typical_latency = engines.usual;
    let mut engines = engines.candidates_in(&shard, prepared.zone.as_ref());
    engines.retain(|it| quota::has_capacity(node, it));
    let need = peers::need_from(&prepare_request.terms);
    let request = &prepare_request.prepare.request;
    let placement = node.owner.place(request, &engines, typical_latency, need);
    Ok(Preparation {
        prepared,
        engine: placement.as_ref().map(|it| it.engine().clone()),
        leases: vec![Lease::Local(plan_guard, placement)],
    })
}

/// Chooses the shard that runs the steps and places the request.
fn choose_shard(node: &Node, prepare_request: &PrepareRequest) -> Option<Shard> {
    let view = node.view();
    let prepare = &prepare_request.prepare;
    let services = || prepare.steps.iter().map(|it| &it.service);
    let mut shards = shard::partition(&view);
    if shards.len() == 1 {
        return shards.pop();
    }
    let waits = match prepare.steps.is_empty() {
        true => vec![Duration::ZERO; shards.len()],
        false => {
            let book = node.shard_waits();
            book.waits(&shards, &prepare.request, Instant::now())
        }
    };
    let candidates = shards
        .into_iter()
        .zip(waits)
        .map(|(shard, wait)| shard::Candidate {
            capacity: shard::capacity(&view, &shard, services()),
            wait,
            shard,
        });
    let candidates: Vec<shard::Candidate> = candidates.collect();
    let chosen = shard::choose(
        &candidates,
        prepare_request.prefix_cache.as_ref(),
        &prepare.request,
    )?;
    if !prepare.steps.is_empty() {
        node.shard_waits().record_sent(&chosen);
    }
    Some(chosen)
}

/// Members that aren't suspected of having failed, the most capable ones first, those of the shard's
/// zone before all others.
pub(crate) fn owners_by_preference(node: &Node, shard: &Shard) -> Vec<Arc<Member>> {
    let view = node.view();
    let members = view.members.values().map(Arc::as_ref);
    let key = format!("{OWNERSHIP_KEY_PREFIX}{shard}");
    let mut order = ownership::capable_order(&key, members);
    order.retain(|it| !node.peers.is_suspected(&it.instance));
    order.sort_by_key(|it| !shard.contains(&it.zone));
    let ordered_members = order
        .into_iter()
        .filter_map(|it| view.members.get(&it.instance));
    ordered_members.cloned().collect()
}

/// Has one member run the steps.
async fn prepare_remotely(
    node: &Arc<Node>,
    member: &Member,
    prepare_request: &PrepareRequest,
) -> Asked {
    let request = |protocol| {
        let prepare = prepare_request.to_message();
        match protocol {
            Protocol::V1 | Protocol::V2 => Request::Prepare(Box::new(prepare)),
            Protocol::V3 | Protocol::V4 | Protocol::V5 => Request::Schedule(Box::new(Schedule {
                prepare,
                terms: prepare_request.terms.clone(),
            })),
        }
    };
    let first = async {
        let mut replies = node.peers.open_with(member, request).await.ok()?;
        let reply = replies.next().await?;
        Some((replies, reply))
    };
    // An owner that is slow, but answers pings, keeps its work: another one would have nothing of it.
    let Answer::Given((mut replies, mut reply)) = node.peers.wait_for(member, None, first).await
    else {
        return Asked::Lost;
    };
    loop {
        node.peers.record_answer(&member.instance);
        match reply {
            Reply::Steps(Progress::Accepted(wait)) => {
                let shard = prepare_request.prepare.shard.clone();
                node.shard_waits().record_wait(shard, wait, Instant::now());
            }
            Reply::Steps(Progress::Prepared {
                handles,
                zone,
                engine,
            }) => {
                return Asked::Ended(Ok(Preparation {
                    prepared: Prepared { handles, zone },
                    engine,
                    leases: vec![Lease::Remote(replies)],
                }));
            }
            Reply::Steps(Progress::TooLate(wait)) => {
                return Asked::Ended(Err(Refusal::TooLate(wait)));
            }
            Reply::Steps(Progress::NoUpstream) => return Asked::Ended(Err(Refusal::NoUpstream)),
            Reply::Steps(Progress::Failed) => return Asked::Ended(Err(Refusal::Failed)),
            Reply::Steps(Progress::Busy(wait)) => {
                let priority = prepare_request.prepare.priority;
                let now = Instant::now();
                node.owner_holds()
                    .record(&member.instance, priority, wait, now);
                return Asked::Busy(wait);
            }
            _ => return Asked::Lost,
        }
        reply = match next_reply(node, member, &mut replies).await {
            Some(reply) => reply,
            None => return Asked::Lost,
        };
    }
}

/// Waits for the next reply; `None` if the owner fails a liveness check or ends the stream.
async fn next_reply(node: &Node, member: &Member, replies: &mut Replies) -> Option<Reply> {
    loop {
        match tokio::time::timeout(OWNER_CHECK_INTERVAL, replies.next()).await {
            Ok(reply) => return reply,
            Err(_) => tokio::select! {
                biased;
                reply = replies.next() => return reply,
                is_alive = node.peers.is_alive(member) => if !is_alive {
                    return None;
                }
            },
        }
    }
}
