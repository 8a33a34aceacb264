//! Has the steps of a request run by their owner.
//!
//! The owner is the first member in the order of ownership that answers. It holds soft state only:
//! when it falls silent the next one is asked, and pieces are made again.

use std::sync::Arc;
use std::time::Duration;

use catalog::Member;
use stages::Prepared;
use stages::Refusal;
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

/// Ownership key of all step services: one owner sees all steps of a request.
const OWNERSHIP_KEY: &str = "steps";
/// While results are awaited, the owner is asked this often whether it lives.
const ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Remote owners that are tried before this instance runs the steps itself.
const REMOTE_OWNERS_MAX: usize = 3;

/// Keeps the results of a request. Dropping it frees them.
pub enum Lease {
    /// Results of this instance's own planner.
    Local(owner::Lease),
    /// Results of another instance's planner.
    Remote(Replies),
}

/// Steps of a request and the instants that bind them.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Message to the owner; its times are filled in when it is sent.
    pub prepare: Prepare,
    /// When the response is of full use.
    pub aim: Instant,
    /// When the client gives up.
    pub deadline: Instant,
}

impl Wanted {
    fn message(&self) -> Prepare {
        let now = Instant::now();
        Prepare {
            aim: self.aim.saturating_duration_since(now),
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
pub async fn run(node: &Arc<Node>, wanted: &Wanted) -> Result<(Prepared, Lease), Refusal> {
    let mut tried = 0;
    for member in owners(node) {
        if member.instance == node.settings.instance || tried >= REMOTE_OWNERS_MAX {
            break;
        }
        tried += 1;
        match ask(node, &member, wanted).await {
            Some(answer) => return answer,
            None => {
                if node.peers.silent(&member).await {
                    slog::warn!(node.logger(), "owner_lost"; "instance" => %member.instance,
                        "request" => &wanted.prepare.request);
                }
            }
        }
    }
    let mut lease = node.owner.submit(peers::plan(wanted.message()))?;
    let prepared = lease.prepared().await?;
    Ok((prepared, Lease::Local(lease)))
}

/// Members that are not suspected, in the order of ownership; suspected ones come last.
fn owners(node: &Node) -> Vec<Arc<Member>> {
    let view = node.view();
    let members = view.members.values().map(Arc::as_ref);
    let order = ownership::order(OWNERSHIP_KEY, members);
    let (alive, _suspected): (Vec<&Member>, Vec<&Member>) = order
        .into_iter()
        .partition(|it| !node.peers.is_suspected(&it.instance));
    let shared = alive.into_iter().filter_map(|it| view.members.get(&it.instance));
    shared.cloned().collect()
}

/// Asks one owner; `None` when it does not answer.
async fn ask(
    node: &Arc<Node>,
    member: &Member,
    wanted: &Wanted,
) -> Option<Result<(Prepared, Lease), Refusal>> {
    let request = Request::Prepare(Box::new(wanted.message()));
    let first = async {
        let mut replies = node.peers.open(member, request).await.ok()?;
        let reply = replies.next().await?;
        Some((replies, reply))
    };
    let (mut replies, mut reply) = tokio::time::timeout(ANSWER_TIMEOUT, first).await.ok()??;
    loop {
        node.peers.answered(&member.instance);
        match reply {
            Reply::Steps(Progress::Accepted) => {}
            Reply::Steps(Progress::Prepared { handles, zone }) => {
                let prepared = Prepared { handles, zone };
                return Some(Ok((prepared, Lease::Remote(replies))));
            }
            Reply::Steps(Progress::TooLate(drain)) => return Some(Err(Refusal::TooLate(drain))),
            Reply::Steps(Progress::NoUpstream) => return Some(Err(Refusal::NoUpstream)),
            Reply::Steps(Progress::Failed) => return Some(Err(Refusal::Failed)),
            _ => return None,
        }
        reply = next(node, member, &mut replies).await?;
    }
}

/// The next reply; `None` when the owner falls silent or ends the stream.
async fn next(node: &Node, member: &Member, replies: &mut Replies) -> Option<Reply> {
    loop {
        match tokio::time::timeout(ALIVE_INTERVAL, replies.next()).await {
            Ok(reply) => return reply,
            Err(_) if node.peers.is_alive(member).await => {}
            Err(_) => return None,
        }
    }
}
