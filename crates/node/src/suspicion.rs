//! Detection of requests that crash the upstreams that run them.
//!
//! A send that ends without an answer is a loss. The upstream is then probed with a new connection
//! at once, since its registration ends only seconds after a crash. Confirmed losses are announced
//! to the readers and reach the other instances by gossip. They are also written to the store, for
//! instances that start later, were partitioned, or reach no other instance.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use forwarding::poison::Loss;
use forwarding::poison::LossSummary;
use forwarding::poison::ObsoleteRows;
use forwarding::poison::Registry;
use forwarding::poison::Source;
use platform::rows;
use platform::store;
use tokio::sync::Notify;
use tokio::time::Instant;
use wire::Request;

use crate::client_request::ClientRequest;
use crate::connection;
use crate::detour;
use crate::follow;
use crate::routing;
use crate::send_guard::SendGuard;
use crate::state::Node;
use crate::view_tracker::Change;

/// A registration lapses after this many missed heartbeats.
const LAPSE_HEARTBEATS: u32 = 3;
/// Longest time until the end of a registration reaches every instance, through the store's feed
/// and two relaying instances.
const LAPSE_PROPAGATION: Duration = Duration::from_millis(1_500);
/// Delay before losses are published, so that those caused by one crash go out together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Crashes that involve a prompt part from which on checks of the part are logged.
const LOGGED_CRASHES_MIN: usize = 2;
/// Pause after a write to the store; doubled after each failure up to [`WRITE_PAUSE_MAX`]. It is
/// multiplied by the number of groups of [`MEMBERS_PER_WRITE`] members, so that all members
/// together stay below a fifth of the writes that the store accepts.
const WRITE_PAUSE: Duration = Duration::from_millis(250);
const WRITE_PAUSE_MAX: Duration = Duration::from_secs(4);
const MEMBERS_PER_WRITE: usize = 16;

/// Wakes the tasks that publish losses: to the readers, and to the store.
#[derive(Debug, Default)]
pub(crate) struct Wakers {
    announce: Notify,
    persist: Notify,
}

impl Wakers {
    fn wake(&self) {
        self.announce.notify_one();
        self.persist.notify_one();
    }
}

/// How a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LossKind {
    /// The connection broke or the answer was malformed.
    Broken,
    /// The answer timed out, or the client went away before it.
    Silent,
}

/// Records that a send ended without an answer, unless its end was already recorded.
pub(crate) fn record_loss(send_guard: &SendGuard, kind: LossKind) {
    let (node, upstream) = (&send_guard.node, &send_guard.upstream);
    let loss = node
        .limits()
        .quarantine
        .record_loss(send_guard.send_id, Instant::now());
    let Some(loss) = loss else {
        return;
    };
    evaluate_losses(node);
    let summary = log_loss(node, &loss, Source::Own, Some(kind));
    let has_answered = node
        .limits()
        .health(&upstream.name)
        .has_answered_since(send_guard.sent_at);
    // An upstream that is merely slow answers other requests meanwhile, and this request has no
    // loss at another upstream. Such an upstream is not probed.
    if kind == LossKind::Broken || !has_answered || summary.losses > 1 {
        probe(node, upstream);
    }
}

/// Records that a call with pieces of these requests ended without an answer. Each of them may be
/// the cause.
pub(crate) fn record_call_loss(
    node: &Arc<Node>,
    upstream: &Arc<Upstream>,
    fingerprints: &BTreeSet<id::Fingerprint>,
    sent_at: Instant,
) {
    for fingerprint in fingerprints {
        let loss = {
            let quarantine = &mut node.limits().quarantine;
            quarantine.record_call_loss(
                *fingerprint,
                upstream.incarnation(),
                sent_at,
                Instant::now(),
            )
        };
        log_loss(node, &loss, Source::Own, Some(LossKind::Broken));
    }
    probe(node, upstream);
}

/// Records that an upstream accepts no connections.
pub(crate) fn record_unreachable(node: &Node, upstream: &Upstream) {
    let now = Instant::now();
    let mut limits = node.limits();
    limits.health(&upstream.name).record_connect_failure(now);
    limits
        .quarantine
        .mark_unreachable(&upstream.incarnation(), now);
    drop(limits);
    node.loss_wakers.wake();
    cancel_quarantined_plans(node);
}

/// Records that an upstream accepted a connection.
pub(crate) fn record_reachable(node: &Node, upstream: &Upstream) {
    let quarantine = &mut node.limits().quarantine;
    quarantine.mark_reachable(&upstream.incarnation());
}

/// Merges losses from other instances or the store.
pub(crate) fn merge_losses(node: &Node, losses: &[Loss], source: Source) {
    for loss in losses {
        let is_new = {
            let quarantine = &mut node.limits().quarantine;
            quarantine.merge_loss(loss, source, Instant::now())
        };
        if is_new {
            log_loss(node, loss, source, None);
        }
    }
    if !losses.is_empty() {
        evaluate_losses(node);
        cancel_quarantined_plans(node);
    }
}

/// Clears the suspicion against a request because an upstream answered it `age` ago.
pub(crate) fn record_success(
    node: &Node,
    fingerprint: id::Fingerprint,
    age: Duration,
    source: Source,
) {
    let now = Instant::now();
    let at = now.checked_sub(age).unwrap_or(now);
    let was_suspect = {
        let quarantine = &mut node.limits().quarantine;
        match source {
            Source::Own => quarantine.record_success(fingerprint, at, now),
            Source::Peer | Source::Store => quarantine.merge_success(fingerprint, at, now),
        }
    };
    if was_suspect {
        node.telemetry.count("suspects.cleared", 1);
        slog::info!(node.logger(), "suspect_cleared"; "fingerprint" => %fingerprint,
            "source" => %source);
        node.loss_wakers.wake();
    }
}

/// Whether a request is refused because of its own losses, or of crashes that a part of its prompt
/// caused.
pub(crate) fn is_quarantined(node: &Node, request: &ClientRequest) -> bool {
    is_suspect_refused(node, &request.id, request.fingerprint) || is_part_refused(node, request)
}

/// Whether an answer at another instance may still clear a refused request.
pub(crate) fn is_unsettled(node: &Node, request: &ClientRequest) -> bool {
    let summary = loss_summary(node, request.fingerprint);
    if summary.is_refused() {
        return summary.is_fresh;
    }
    let quarantine = &mut node.limits().quarantine;
    quarantine
        .assess_parts(&request.shared_parts, Instant::now())
        .is_fresh
}

/// Whether a request is refused because of its own losses.
pub(crate) fn is_suspect_refused(node: &Node, request: &str, fingerprint: id::Fingerprint) -> bool {
    if !node.limits().quarantine.is_suspected(fingerprint) {
        return false;
    }
    evaluate_losses(node);
    let summary = loss_summary(node, fingerprint);
    slog::info!(node.logger(), "suspect_checked"; "request" => request,
        "fingerprint" => %fingerprint, "losses" => summary.losses,
        "counted" => summary.confirmed, "batched" => summary.confirmed_batched,
        "depth" => summary.depth,
        "answered_lately" => summary.is_answered,
        "rows_age_ms" => node.rows_age().map(|it| it.as_millis() as u64),
        "refused" => summary.is_refused(), "fresh" => summary.is_fresh);
    summary.is_refused()
}

fn is_part_refused(node: &Node, request: &ClientRequest) -> bool {
    let now = Instant::now();
    let summary = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.assess_parts(&request.shared_parts, now)
    };
    // One crash is common, and involves the parts of every request at the upstream.
    if summary.crashes >= LOGGED_CRASHES_MIN {
        slog::info!(node.logger(), "part_checked"; "request" => &request.id,
            "part" => summary.part.map(|it| it.to_string()), "crashes" => summary.crashes,
            "depth" => summary.depth,
            "rows_age_ms" => node.rows_age().map(|it| it.as_millis() as u64),
            "refused" => summary.is_refused, "fresh" => summary.is_fresh);
    }
    if summary.is_refused {
        node.telemetry.count("suspects.parts_refused", 1);
    }
    summary.is_refused
}

/// Applies changed rows: removes and merges losses, then confirms or drops all recorded losses by
/// the current registrations.
pub(crate) fn apply_loss_changes(node: &Node, changes: &[Change]) {
    let losses = changes.iter().filter_map(|it| match it {
        Change::Loss(loss) => Some(loss.clone()),
        _ => None,
    });
    let losses: Vec<Loss> = losses.collect();
    for change in changes {
        if let Change::LossDropped(fingerprint, incarnation) = change {
            let quarantine = &mut node.limits().quarantine;
            quarantine.remove_loss(*fingerprint, incarnation);
        }
    }
    merge_losses(node, &losses, Source::Store);
    evaluate_losses(node);
}

/// Sends new losses to the readers; never returns.
pub(crate) async fn announce_losses(node: Arc<Node>) {
    loop {
        node.loss_wakers.announce.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        send_losses(&node);
    }
}

/// Writes new losses to the store; never returns.
pub(crate) async fn persist_losses(node: Arc<Node>, client: store::Client) {
    let mut pause = WRITE_PAUSE;
    loop {
        node.loss_wakers.persist.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let pause_factor = node.member_count().div_ceil(MEMBERS_PER_WRITE) as u32;
        match save_losses(&node, &client).await {
            Ok(false) => continue,
            Ok(true) => pause = WRITE_PAUSE,
            Err(err) => {
                slog::warn!(node.logger(), "losses_not_saved"; "reason" => %err);
                pause = (pause * 2).min(WRITE_PAUSE_MAX);
            }
        }
        // Losses above the limit of a transaction, or those of a failed write, are still unsaved.
        node.loss_wakers.persist.notify_one();
        tokio::time::sleep(pause * pause_factor).await;
    }
}

/// Confirms or drops losses by the current registrations.
fn evaluate_losses(node: &Node) {
    let now = Instant::now();
    let view = node.view();
    let registry = Registry {
        view: &view,
        watched_since: node.watched_since(now),
        max_expiry_delay: node.settings.heartbeat_interval * LAPSE_HEARTBEATS + LAPSE_PROPAGATION,
    };
    let is_pending = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.reconcile(&registry, now);
        quarantine.has_pending_updates()
    };
    if is_pending {
        node.loss_wakers.wake();
    }
}

/// Aborts the plans of requests that the quarantine refuses.
fn cancel_quarantined_plans(node: &Node) {
    for fingerprint in node.owner.active_fingerprints() {
        if node.limits().quarantine.is_suspected(fingerprint)
            && loss_summary(node, fingerprint).is_refused()
        {
            node.owner.cancel_request(fingerprint);
        }
    }
}

/// Summarizes the losses of a request.
pub(crate) fn loss_summary(node: &Node, fingerprint: id::Fingerprint) -> LossSummary {
    let quarantine = &mut node.limits().quarantine;
    quarantine.assess(fingerprint, Instant::now())
}

/// Opens a connection to an upstream to find out whether it is alive, and keeps it for later
/// requests.
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
        let connection_limit = routing::connection_limit(&node, &upstream);
        match detour::connect(&node, &upstream, connection_limit).await {
            Ok(connection) => {
                if connection.is_detour {
                    node.owner.forget_failures(&upstream.name);
                }
                connection.return_to_pool(None).await;
            }
            Err(connection::Error::TooMany) => {}
            Err(err) => {
                slog::info!(node.logger(), "probe_failed"; "upstream" => upstream.name.as_str(),
                    "started_ms" => upstream.started_ms, "reason" => %err);
            }
        }
    });
}

fn send_losses(node: &Arc<Node>) {
    let losses = node.limits().quarantine.take_announcements(Instant::now());
    if losses.is_empty() {
        return;
    }
    for member in follow::other_readers(node) {
        let (node, losses) = (node.clone(), losses.clone());
        // Best effort: a reader that misses this gets the losses from other members or the store.
        tokio::spawn(async move {
            let _ = node.peers.open(&member, Request::Losses(losses)).await;
        });
    }
}

/// Writes unsaved losses to the store and deletes obsolete rows; returns false if there were none
/// of either.
async fn save_losses(node: &Node, client: &store::Client) -> Result<bool, store::Error> {
    let (mut losses, obsolete) = {
        let quarantine = &mut node.limits().quarantine;
        (
            quarantine.unsaved_losses(Instant::now()),
            quarantine.take_obsolete_rows(),
        )
    };
    losses.truncate(store::TRANSACTION_ROWS_MAX / 2);
    let removes = obsolete_keys(node, obsolete);
    if losses.is_empty() && removes.is_empty() {
        return Ok(false);
    }
    let mut puts = Vec::with_capacity(losses.len());
    for loss in &losses {
        let key = rows::loss_key(loss.fingerprint, &loss.incarnation);
        match rows::encode_loss(loss) {
            Ok(value) => puts.push((key, value)),
            Err(err) => slog::error!(node.logger(), "loss_unwritable"; "key" => key,
                "reason" => %err),
        }
    }
    client.write(&puts, &removes).await?;
    node.limits().quarantine.mark_saved(&losses);
    slog::info!(node.logger(), "losses_saved"; "written" => puts.len(), "deleted" => removes.len());
    Ok(true)
}

/// Keys of the rows that this instance has to delete: those of its own losses, and as first reader
/// also those of others. Rows that are left over, beyond the limit of a transaction or after a
/// failure, do no harm, since every instance has already decided their losses by itself.
fn obsolete_keys(node: &Node, obsolete: ObsoleteRows) -> Vec<String> {
    let mut names = obsolete.own;
    if !obsolete.others.is_empty() && follow::is_first_reader(node) {
        names.extend(obsolete.others);
    }
    let keys = names.iter().map(|it| rows::loss_key(it.0, &it.1));
    keys.take(store::TRANSACTION_ROWS_MAX / 2).collect()
}

fn log_loss(node: &Node, loss: &Loss, source: Source, kind: Option<LossKind>) -> LossSummary {
    let summary = loss_summary(node, loss.fingerprint);
    node.telemetry
        .count_tagged("suspects.losses", source.into(), 1);
    slog::info!(node.logger(), "suspected"; "fingerprint" => %loss.fingerprint,
        "source" => %source, "ending" => kind.map(|it| it.to_string()),
        "upstream" => loss.incarnation.upstream.as_str(),
        "started_ms" => loss.incarnation.started_ms, "evidence" => %loss.evidence,
        "losses" => summary.losses, "counted" => summary.confirmed, "depth" => summary.depth,
        "parts" => loss.parts.len());
    summary
}
