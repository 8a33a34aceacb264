//! Requests that are suspected of crashing the upstreams that run them.

use std::sync::Arc;

use base::id;
use tokio::time::Instant;

use crate::ask::Ask;
use crate::follow;
use crate::state::Node;

/// Puts a request under suspicion, here and at the other instances.
pub(crate) fn crashed(node: &Arc<Node>, fingerprint: id::Fingerprint, upstream: &id::Upstream) {
    let is_news = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.crashed(fingerprint, upstream.clone(), Instant::now())
    };
    if !is_news {
        return;
    }
    log_suspicion(node, fingerprint, upstream, "own");
    follow::report_crash(node, fingerprint, upstream);
}

/// Takes over a loss that another instance has seen.
pub(crate) fn learned(node: &Node, fingerprint: id::Fingerprint, upstream: id::Upstream) {
    let is_news = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.crashed(fingerprint, upstream.clone(), Instant::now())
    };
    if is_news {
        log_suspicion(node, fingerprint, &upstream, "peer");
    }
}

/// Ends the suspicion against a request: an upstream has answered it and lives.
pub(crate) fn survived(node: &Node, fingerprint: id::Fingerprint, source: &str) {
    let was_suspect = {
        let quarantine = &mut node.limits().quarantine;
        quarantine.answered(fingerprint, Instant::now())
    };
    if was_suspect {
        node.telemetry.count("suspects.cleared", 1);
        slog::info!(node.logger(), "suspect_cleared"; "fingerprint" => %fingerprint,
            "source" => source);
    }
}

/// Whether the request has crashed too many upstreams.
pub(crate) fn is_quarantined(node: &Node, ask: &Ask) -> bool {
    let view = node.view();
    let is_registered = |it: &id::Upstream| view.upstreams.contains_key(it);
    let losses = node.limits().quarantine.losses(ask.fingerprint);
    if losses.is_empty() {
        return false;
    }
    let is_refused = {
        let quarantine = &node.limits().quarantine;
        quarantine.is_refused(ask.fingerprint, is_registered, Instant::now())
    };
    let registered = losses.iter().filter(|it| is_registered(it)).count();
    slog::info!(node.logger(), "suspect_checked"; "request" => &ask.request,
        "fingerprint" => %ask.fingerprint, "losses" => losses.len(), "registered" => registered,
        "rows_age_ms" => node.rows_age().map(|it| it.as_millis() as u64), "refused" => is_refused);
    is_refused
}

fn log_suspicion(node: &Node, fingerprint: id::Fingerprint, upstream: &id::Upstream, source: &str) {
    let losses = node.limits().quarantine.losses(fingerprint).len();
    let view = node.view();
    let registered = view.upstreams.get(upstream);
    node.telemetry.count_of("suspects.losses", source, 1);
    slog::info!(node.logger(), "suspected"; "fingerprint" => %fingerprint, "source" => source,
        "upstream" => upstream.as_str(), "started_ms" => registered.map(|it| it.started_ms),
        "losses" => losses);
}
