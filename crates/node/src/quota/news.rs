//! Spreads what answers say about rate limits among the instances.

use std::sync::Arc;
use std::time::Duration;

use base::rate::Rate;
use catalog::Member;
use catalog::Upstream;
use forwarding::quota::belief;
use forwarding::quota::belief::Answer;
use forwarding::quota::belief::Observation;
use futures_util::future::join_all;
use platform::upstream::Limits;
use platform::upstream::RateLimit;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;

use crate::clock;
use crate::follow;
use crate::quota;
use crate::state::Node;

/// Interval at which an instance that has just started asks the others.
const START_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before changes are told, so that those of one moment go out together.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// Records what an answer of an upstream says about its limits. The request was sent at `sent_at`.
pub(crate) fn record_answer(node: &Node, upstream: &Upstream, limits: Limits, sent_at: Instant) {
    if limits == Limits::UNKNOWN {
        return;
    }
    let incarnation = upstream.incarnation();
    let known = node.quotas().beliefs.limits(&incarnation);
    let limits = belief::Limits {
        requests: readable(node, upstream, limits.requests, known.requests),
        rejections: readable(node, upstream, limits.rejections, known.rejections),
    };
    let now = clock::now_with_suspension();
    let answer = Answer {
        limits,
        sent_at: now.checked_sub(sent_at.elapsed()).unwrap_or(now),
        id: rand::random(),
    };
    let is_change = {
        let mut quotas = node.quotas();
        let is_change = quotas
            .beliefs
            .record_answer(&incarnation, &upstream.zone, answer, now);
        if is_change {
            quotas.apply_limits(now);
        }
        is_change
    };
    if is_change {
        slog::info!(node.logger(), "rate_limit"; "upstream" => %incarnation,
            "rate" => limits.requests.map(|it| it.to_string()),
            "rejections" => limits.rejections.map(|it| it.to_string()), "source" => "answer");
        node.telemetry.count("rate_limits.changes", 1);
        node.quota_wakers.wake();
        node.quota_wakers.announce.notify_one();
    }
}

/// The limit that an answer states, or the one known before if it cannot be read.
fn readable(
    node: &Node,
    upstream: &Upstream,
    limit: RateLimit,
    known: Option<Rate>,
) -> Option<Rate> {
    match limit {
        RateLimit::Unlimited => None,
        RateLimit::Limited(rate) => Some(rate),
        RateLimit::Unreadable(err) => {
            slog::warn!(node.logger(), "rate_limit_unreadable";
                "upstream" => upstream.name.as_str(), "reason" => %err);
            known
        }
        RateLimit::Unknown => known,
    }
}

/// Merges what another instance knows.
pub(crate) fn merge(node: &Node, observations: &[Observation]) {
    let now = clock::now_with_suspension();
    let changed: Vec<&Observation> = {
        let mut quotas = node.quotas();
        let changed = observations.iter();
        let changed: Vec<_> = changed.filter(|it| quotas.beliefs.merge(it, now)).collect();
        if !changed.is_empty() {
            quotas.apply_limits(now);
        }
        changed
    };
    for it in &changed {
        slog::info!(node.logger(), "rate_limit"; "upstream" => %it.upstream,
            "rate" => it.limits.requests.map(|it| it.to_string()),
            "rejections" => it.limits.rejections.map(|it| it.to_string()), "source" => "peer",
            "age_ms" => it.age.as_millis() as u64);
        node.telemetry.count("rate_limits.changes", 1);
    }
    if !changed.is_empty() {
        node.quota_wakers.wake();
    }
}

/// All that this instance knows of rate limits.
pub(crate) fn observations(node: &Node) -> Vec<Observation> {
    let now = clock::now_with_suspension();
    node.quotas().beliefs.observations(now)
}

/// The rate limits that this instance has learnt recently.
pub(crate) fn recent_observations(node: &Node) -> Vec<Observation> {
    let now = clock::now_with_suspension();
    node.quotas().beliefs.recent_observations(now)
}

/// Exchanges the known limits with the readers, which the other instances follow: after the start,
/// and when this instance's own answers show a change. Never returns.
pub(crate) async fn exchange(node: Arc<Node>) {
    let mut has_learnt = false;
    loop {
        tokio::select! {
            () = node.quota_wakers.announce.notified() => {}
            () = tokio::time::sleep(START_INTERVAL), if !has_learnt => {}
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let readers = follow::other_readers(&node);
        let exchanges = readers.iter().map(|it| exchange_with(&node, it));
        has_learnt |= join_all(exchanges).await.contains(&true);
    }
}

/// Exchanges the known limits with one instance; returns whether it answered.
async fn exchange_with(node: &Node, member: &Member) -> bool {
    let request = Request::RateLimits(observations(node));
    // An instance that is just starting must not be suspected for it.
    let Some(Reply::RateLimits(known)) = quota::try_call(node, member, request).await else {
        slog::info!(node.logger(), "rate_limits_not_exchanged"; "instance" => %member.instance);
        return false;
    };
    merge(node, &known);
    true
}
