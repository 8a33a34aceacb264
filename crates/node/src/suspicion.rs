//! What is held against requests that are suspected of crashing the upstreams that run them.
//!
//! An upstream that lost a request is asked for a connection at once: its registration ends only
//! seconds after a crash. Losses that count are told to the other instances.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use forwarding::poison::Loss;
use forwarding::poison::Registry;
use forwarding::poison::Source;
use forwarding::poison::Standing;
use tokio::time::Instant;
use wire::Request;

use crate::ask::Ask;
use crate::channel;
use crate::follow;
use crate::sending::Sending;
use crate::state::Node;
use crate::target;

/// A registration ends after this many heartbeats of silence.
const LAPSE_HEARTBEATS: u32 = 3;
/// Time from the end of a registration until every instance knows, through a feed and two others.
const LAPSE_SLACK: Duration = Duration::from_millis(1_500);
/// Losses that one crash causes are told together.
const BATCH_TIME: Duration = Duration::from_millis(30);
/// How a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Ending {
    /// The connection broke, or the answer was not one.
    Broken,
    /// Nobody waited for the answer any longer.
    Silent,
}

/// Notes that a send ended without an answer, unless it has ended before.
pub(crate) fn lost(sending: &Sending, ending: Ending) {
    let (node, upstream) = (&sending.node, &sending.upstream);
    let loss = node.limits().quarantine.lost(sending.send, Instant::now());
    let Some(loss) = loss else {
        return;
    };
    settle(node);
    let standing = log_loss(node, &loss, Source::Own, Some(ending));
    let has_answered = node
        .limits()
        .health(&upstream.name)
        .has_answered(sending.sent);
    // Slow upstreams answer others meanwhile, and their requests have lost no other upstream.
    if ending == Ending::Broken || !has_answered || standing.losses > 1 {
        probe(node, upstream);
    }
}

/// Notes that an upstream took no connection.
pub(crate) fn unreachable(node: &Node, upstream: &Upstream) {
    let now = Instant::now();
    let mut limits = node.limits();
    limits.health(&upstream.name).unreachable(now);
    limits.quarantine.unreachable(&upstream.incarnation(), now);
    drop(limits);
    node.suspicions.notify_one();
}

/// Notes that an upstream took a connection.
pub(crate) fn reachable(node: &Node, upstream: &Upstream) {
    let quarantine = &mut node.limits().quarantine;
    quarantine.reachable(&upstream.incarnation());
}

/// Takes over losses from elsewhere.
pub(crate) fn learned(node: &Node, losses: &[Loss], source: Source) {
    for loss in losses {
        let is_news = {
            let quarantine = &mut node.limits().quarantine;
            quarantine.learn(loss, source, Instant::now())
        };
        if is_news {
            log_loss(node, loss, source, None);
        }
    }
    if !losses.is_empty() {
        settle(node);
    }
}

/// Ends the suspicion against a request: an upstream answered it `age` ago.
pub(crate) fn survived(node: &Node, fingerprint: id::Fingerprint, age: Duration, source: Source) {
    let now = Instant::now();
    let at = now.checked_sub(age).unwrap_or(now);
    let was_suspect = {
        let quarantine = &mut node.limits().quarantine;
        match source {
            Source::Own => quarantine.answered(fingerprint, at, now),
            Source::Peer | Source::Store => quarantine.acquitted(fingerprint, at, now),
        }
    };
    if was_suspect {
        node.telemetry.count("suspects.cleared", 1);
        slog::info!(node.logger(), "suspect_cleared"; "fingerprint" => %fingerprint,
            "source" => %source);
        node.suspicions.notify_one();
    }
}

/// What is held against a request that has crashed too many upstreams.
pub(crate) fn refusal(node: &Node, ask: &Ask) -> Option<Standing> {
    if !node.limits().quarantine.is_suspected(ask.fingerprint) {
        return None;
    }
    settle(node);
    let standing = standing(node, ask.fingerprint);
    slog::info!(node.logger(), "suspect_checked"; "request" => &ask.request,
        "fingerprint" => %ask.fingerprint, "losses" => standing.losses,
        "counted" => standing.counted, "depth" => standing.depth,
        "answered_lately" => standing.is_answered,
        "rows_age_ms" => node.rows_age().map(|it| it.as_millis() as u64),
        "refused" => standing.is_refused(), "fresh" => standing.is_fresh);
    standing.is_refused().then_some(standing)
}

/// Tells other instances of losses, for ever.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        node.suspicions.notified().await;
        tokio::time::sleep(BATCH_TIME).await;
        announce(&node);
    }
}

/// Decides losses by the registrations of now.
pub(crate) fn settle(node: &Node) {
    let now = Instant::now();
    let view = node.view();
    let registry = Registry {
        view: &view,
        followed_since: node.followed_since(now),
        lapse: node.settings.heartbeat * LAPSE_HEARTBEATS + LAPSE_SLACK,
    };
    let is_pending = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.settle(&registry, now);
        quarantine.is_pending()
    };
    if is_pending {
        node.suspicions.notify_one();
    }
}

fn standing(node: &Node, fingerprint: id::Fingerprint) -> Standing {
    let quarantine = &mut node.limits().quarantine;
    quarantine.standing(fingerprint, Instant::now())
}

/// Asks an upstream for a connection, which later requests use.
fn probe(node: &Arc<Node>, upstream: &Arc<Upstream>) {
    let is_due = {
        let mut limits = node.limits();
        limits.take_probe(&upstream.incarnation(), Instant::now())
    };
    if !is_due {
        return;
    }
    let (node, upstream) = (node.clone(), upstream.clone());
    tokio::spawn(async move {
        let open_max = target::open_max(&node, &upstream);
        match node.pool.connect(upstream.address, open_max).await {
            Ok(channel) => {
                reachable(&node, &upstream);
                channel.keep(None).await;
            }
            Err(channel::Error::TooMany) => {}
            Err(err) => {
                slog::info!(node.logger(), "probe_failed"; "upstream" => upstream.name.as_str(),
                    "started_ms" => upstream.started_ms, "reason" => %err);
                unreachable(&node, &upstream);
            }
        }
    });
}

fn announce(node: &Arc<Node>) {
    let losses = node.limits().quarantine.take_announcements(Instant::now());
    if losses.is_empty() {
        return;
    }
    for member in follow::read_ahead(node) {
        let (node, losses) = (node.clone(), losses.clone());
        // Best effort: a member that does not hear of it asks others, or finds it in the store.
        tokio::spawn(async move {
            let _ = node.peers.open(&member, Request::Losses(losses)).await;
        });
    }
}

fn log_loss(node: &Node, loss: &Loss, source: Source, ending: Option<Ending>) -> Standing {
    let standing = standing(node, loss.fingerprint);
    node.telemetry.count_of("suspects.losses", source.into(), 1);
    slog::info!(node.logger(), "suspected"; "fingerprint" => %loss.fingerprint,
        "source" => %source, "ending" => ending.map(|it| it.to_string()),
        "upstream" => loss.incarnation.upstream.as_str(),
        "started_ms" => loss.incarnation.started_ms, "evidence" => %loss.evidence,
        "losses" => standing.losses, "counted" => standing.counted, "depth" => standing.depth);
    standing
}
