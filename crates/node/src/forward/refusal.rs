//! Failures of requests that ran nowhere, and when their clients should come back.

use std::time::Duration;

use base::id;
use forwarding::life::Cause;
use forwarding::life::Failure;
use forwarding::life::Pending;
use forwarding::returns;
use stages::Refusal;
use tokio::time::Instant;

use crate::client_request::ClientRequest;
use crate::state::Node;
use crate::suspicion;

/// `Retry-After` of failures that give no better estimate.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` of a quarantined request, which is refused until its losses expire.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// `Retry-After` of a quarantined request while another instance may still report an answer that
/// clears it.
const UNSETTLED_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` during a shutdown: another instance accepts the request at once.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` of a request that is refused for `cause`.
pub(super) fn suggested_retry_after(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    cause: Cause,
) -> Duration {
    if cause != Cause::Quarantined {
        return request
            .clamp_retry_after(shortest_hold_off(node, service).max(DEFAULT_RETRY_AFTER));
    }
    if suspicion::is_unsettled(node, request) {
        return request.clamp_retry_after(UNSETTLED_QUARANTINE_RETRY_AFTER);
    }
    QUARANTINE_RETRY_AFTER
}

pub(super) fn not_run_failure(request: &ClientRequest, pending: Pending, cause: Cause) -> Failure {
    pending.into_failure(cause, request.clamp_retry_after(DEFAULT_RETRY_AFTER))
}

pub(super) fn steps_failure(
    request: &ClientRequest,
    pending: Pending,
    refusal: &Refusal,
) -> Failure {
    let (cause, retry_after) = match refusal {
        Refusal::TooLate(drain) => (Cause::StepsTooLate, (*drain).max(DEFAULT_RETRY_AFTER)),
        Refusal::NoUpstream => (Cause::NoUpstream, DEFAULT_RETRY_AFTER),
        Refusal::Failed => (Cause::StepsFailed, DEFAULT_RETRY_AFTER),
    };
    let accepted = request.clamp_retry_after(Duration::MAX);
    pending.into_failure(cause, returns::spread(retry_after, accepted, &request.id))
}

/// Time until the first upstream of a service accepts requests again; zero if one does now or none
/// is usable.
fn shortest_hold_off(node: &Node, service: &id::Service) -> Duration {
    let view = node.view();
    let now = Instant::now();
    let quotas = node.quotas();
    let mut limits = node.limits();
    let until = view.usable(service).map(|it| {
        let health = limits.health(&it.name);
        let held_off_until = health.held_off_until(now).unwrap_or(now);
        let denial = quotas.denial(&it.incarnation()).unwrap_or_default();
        held_off_until.max(now + denial)
    });
    let first = until.min().unwrap_or(now);
    first.saturating_duration_since(now)
}
