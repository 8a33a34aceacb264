//! Requests that are suspected of crashing the upstreams that run them.

use std::sync::Arc;

use base::id;
use tokio::time::Instant;

use crate::ask::Ask;
use crate::follow;
use crate::state::Node;

/// Puts a request under suspicion, here and at the other instances.
pub(crate) fn crashed(node: &Arc<Node>, fingerprint: id::Fingerprint, upstream: &id::Upstream) {
    let now = Instant::now();
    let quarantine = &mut node.limits().quarantine;
    if !quarantine.crashed(fingerprint, upstream.clone(), now) {
        return;
    }
    follow::report_crash(node, fingerprint, upstream);
}

/// Ends the suspicion against a request: an upstream has answered it and lives.
pub(crate) fn survived(node: &Node, fingerprint: id::Fingerprint) {
    let quarantine = &mut node.limits().quarantine;
    quarantine.answered(fingerprint, Instant::now());
}

/// Whether the request has crashed too many upstreams.
pub(crate) fn is_quarantined(node: &Node, ask: &Ask) -> bool {
    let view = node.view();
    let is_registered = |it: &id::Upstream| view.upstreams.contains_key(it);
    let quarantine = &node.limits().quarantine;
    quarantine.is_refused(ask.fingerprint, is_registered, Instant::now())
}
