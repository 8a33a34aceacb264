//! Has the steps of a request run by their owner.
//!
//! The owner is the first member in the order of ownership that answers. It holds soft state only:
//! when it falls silent the next one is asked, and pieces are made again.

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
use wire::Reply;
use wire::Request;
use wire::peer::Replies;
use wire::steps::Prepare;
use wire::steps::Progress;

use crate::owner;
use crate::peers;
use crate::peers::ANSWER_TIMEOUT;
use crate::state::Node;

/// Prefix of the ownership keys of shards.
const OWNERSHIP_KEY_PREFIX: &str = "steps/";
/// How long what a shard said of its queue is believed.
const SHARD_WAIT_AGE_MAX: Duration = Duration::from_millis(500);
/// While results are awaited, the owner is asked this often whether it lives.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Remote owners that are tried before this instance runs the steps itself.
const REMOTE_OWNERS_MAX: usize = 3;
/// Times that the owners are gone through: those that are just starting answer the second time.
const ROUNDS_MAX: usize = 2;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the results of a request. Dropping it frees them.
pub enum Lease {
    /// Results of this instance's own planner, and the engine that it chose.
    Local(Option<owner::PlanGuard>, Option<owner::Placement>),
    /// Results of another instance's planner.
    Remote(Replies),
}

/// What the owner did for a request.
pub struct Preparation {
    /// Results of the steps.
    pub prepared: Prepared,
    /// Engine that the request should go to.
    pub engine: Option<id::Upstream>,
    /// Keeps the results.
    pub lease: Lease,
}

/// Steps of a request and the instants that bind them.
#[derive(Clone, Debug)]
pub struct PrepareRequest {
    /// Message to the owner; its times are filled in when it is sent.
    pub prepare: Prepare,
    /// Where its prompt is kept.
    pub prefix_cache: Option<PrefixCache>,
    /// When the response is of full use.
    pub soft_deadline: Instant,
    /// When the client gives up.
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

/// Runs the steps.
///
/// # Errors
///
/// Fails when the owner gives them up.
pub async fn run(
    node: &Arc<Node>,
    prepare_request: &PrepareRequest,
) -> Result<Preparation, Refusal> {
    let shard = choose_shard(node, prepare_request).ok_or(Refusal::NoUpstream)?;
    let prepare_request = &prepare_request.for_shard(shard.clone());
    for round in 0..ROUNDS_MAX {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        for member in owners_by_preference(node, &shard)
            .into_iter()
            .take(REMOTE_OWNERS_MAX)
        {
            if member.instance == node.settings.instance {
                return prepare_locally(node, prepare_request, shard).await;
            }
            if let Some(answer) = prepare_remotely(node, &member, prepare_request).await {
                return answer;
            }
            if node.peers.record_timeout(&member).await {
                slog::warn!(node.logger(), "owner_lost"; "instance" => %member.instance,
                    "request" => &prepare_request.prepare.request);
            }
        }
    }
    prepare_locally(node, prepare_request, shard).await
}

/// Runs the steps by this instance's own planner.
async fn prepare_locally(
    node: &Arc<Node>,
    prepare_request: &PrepareRequest,
    shard: Shard,
) -> Result<Preparation, Refusal> {
    let mut lease = None;
    let mut prepared = Prepared::default();
    if !prepare_request.prepare.steps.is_empty() {
        let plan = peers::plan_from(prepare_request.to_message());
        let mut submitted = node.owner.submit(shard.clone(), plan)?;
        let wait = (submitted.wait, Instant::now());
        node.shard_waits().insert(shard.clone(), wait);
        prepared = submitted.prepared().await?;
        lease = Some(submitted);
    }
    let engines = &prepare_request.prepare.engines;
    let usual = engines.usual;
    let engines = engines.of_shard(&shard, prepared.zone.as_ref());
    let placement = node.owner.place(&engines, usual);
    Ok(Preparation {
        prepared,
        engine: placement.as_ref().map(|it| it.engine().clone()),
        lease: Lease::Local(lease, placement),
    })
}

/// The shard that runs the steps and places the request.
fn choose_shard(node: &Node, prepare_request: &PrepareRequest) -> Option<Shard> {
    let view = node.view();
    let prepare = &prepare_request.prepare;
    let services = || prepare.steps.iter().map(|it| &it.service);
    let mut shards = shard::partition(&view);
    if shards.len() == 1 {
        return shards.pop();
    }
    let waits = node.shard_waits().clone();
    let now = Instant::now();
    let wait = |shard: &Shard| {
        let wait = waits.get(shard);
        let wait = wait.filter(|it| now.saturating_duration_since(it.1) < SHARD_WAIT_AGE_MAX);
        wait.map_or(Duration::ZERO, |it| it.0)
    };
    let has_steps = !prepare.steps.is_empty();
    let candidates = shards.into_iter().map(|it| shard::Candidate {
        capacity: shard::capacity(&view, &it, services()),
        wait: if has_steps { wait(&it) } else { Duration::ZERO },
        shard: it,
    });
    let candidates: Vec<shard::Candidate> = candidates.collect();
    shard::choose(
        &candidates,
        prepare_request.prefix_cache.as_ref(),
        &prepare.request,
    )
}

/// Members that are not suspected, in the order of ownership; those in the shard's zone first.
fn owners_by_preference(node: &Node, shard: &Shard) -> Vec<Arc<Member>> {
    let view = node.view();
    let members = view.members.values().map(Arc::as_ref);
    let key = format!("{OWNERSHIP_KEY_PREFIX}{shard}");
    let mut order = ownership::preference_order(&key, members);
    order.retain(|it| !node.peers.is_suspected(&it.instance));
    order.sort_by_key(|it| !shard.contains(&it.zone));
    let shared = order
        .into_iter()
        .filter_map(|it| view.members.get(&it.instance));
    shared.cloned().collect()
}

/// Asks one owner; `None` when it does not answer.
async fn prepare_remotely(
    node: &Arc<Node>,
    member: &Member,
    prepare_request: &PrepareRequest,
) -> Option<Result<Preparation, Refusal>> {
    let request = Request::Prepare(Box::new(prepare_request.to_message()));
    let first = async {
        let mut replies = node.peers.open(member, request).await.ok()?;
        let reply = replies.next().await?;
        Some((replies, reply))
    };
    let (mut replies, mut reply) = tokio::time::timeout(ANSWER_TIMEOUT, first).await.ok()??;
    loop {
        node.peers.record_answer(&member.instance);
        match reply {
            Reply::Steps(Progress::Accepted(wait)) => {
                let shard = prepare_request.prepare.shard.clone();
                node.shard_waits().insert(shard, (wait, Instant::now()));
            }
            Reply::Steps(Progress::Prepared {
                handles,
                zone,
                engine,
            }) => {
                return Some(Ok(Preparation {
                    prepared: Prepared { handles, zone },
                    engine,
                    lease: Lease::Remote(replies),
                }));
            }
            Reply::Steps(Progress::TooLate(drain)) => return Some(Err(Refusal::TooLate(drain))),
            Reply::Steps(Progress::NoUpstream) => return Some(Err(Refusal::NoUpstream)),
            Reply::Steps(Progress::Failed) => return Some(Err(Refusal::Failed)),
            _ => return None,
        }
        reply = next_reply(node, member, &mut replies).await?;
    }
}

/// The next reply; `None` when the owner falls silent or ends the stream.
async fn next_reply(node: &Node, member: &Member, replies: &mut Replies) -> Option<Reply> {
    loop {
        match tokio::time::timeout(OWNER_CHECK_INTERVAL, replies.next()).await {
            Ok(reply) => return reply,
            Err(_) if node.peers.is_alive(member).await => {}
            Err(_) => return None,
        }
    }
}
