//! Reads the response of an upstream to one send, and records what it shows.

use std::sync::Arc;
use std::time::Duration;

use forwarding::life::Cause;
use forwarding::life::Failure;
use forwarding::life::Lifecycle;
use forwarding::life::Sent;
use forwarding::poison::Source;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use platform::upstream;
use platform::upstream::ResponseHead;

use super::Attempt;
use super::Body;
use super::ClientResponse;
use crate::buffer;
use crate::buffer::BODY_BYTES_MAX;
use crate::buffer::REFUSAL_BODY_BYTES_MAX;
use crate::client_request::ClientRequest;
use crate::client_request::RESPONSE_MARGIN;
use crate::connection::PooledConnection;
use crate::quota;
use crate::send_guard::SendGuard;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;

/// Records what the head of a response announces of its upstream: that it leaves, asks for no
/// requests for a time, or limits their rate. The rate is taken only from the answer to this request.
pub(super) fn record_announcements(
    node: &Arc<Node>,
    send_guard: &SendGuard,
    head: &ResponseHead,
    is_for_request: bool,
) {
    let upstream = &send_guard.upstream;
    if head.is_leaving {
        node.mark_upstream_leaving(&upstream.incarnation());
    }
    if let Some(hold_off) = head.retry_after {
        send_guard.record_hold_off(hold_off);
    }
    if is_for_request {
        quota::news::record_answer(node, upstream, head.limits, send_guard.sent_at);
    }
}

pub(super) fn record_loss(
    node: &Arc<Node>,
    request: &ClientRequest,
    send_guard: &SendGuard,
    lifecycle: Lifecycle<Sent>,
    cause: Cause,
) -> Attempt {
    send_guard.record_broken();
    slog::warn!(node.logger(), "lost"; "request" => &request.id,
        "fingerprint" => %request.fingerprint, "upstream" => send_guard.upstream.name.as_str(),
        "started_ms" => send_guard.upstream.started_ms, "cause" => %cause,
        "parts" => request.shared_parts_text());
    let kind = match cause {
        Cause::Deadline => LossKind::Silent,
        _ => LossKind::Broken,
    };
    suspicion::record_loss(send_guard, kind);
    Attempt::Lost(lifecycle, cause)
}

pub(super) async fn handle_not_run(
    node: &Node,
    request: &ClientRequest,
    mut send_guard: SendGuard,
    lifecycle: Lifecycle<Sent>,
    mut connection: PooledConnection,
    head: &ResponseHead,
    response: Response<Incoming>,
) -> Attempt {
    connection.record_refusal(&request.id);
    slog::info!(node.logger(), "not_run"; "request" => &request.id,
        "upstream" => send_guard.upstream.name.as_str(), "status" => head.status.as_u16());
    send_guard.record_not_run();
    send_guard.record_first_byte(true);
    // Status 421 comes from another upstream, which now has the address of the intended one.
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => send_guard.record_unsent(),
        StatusCode::SERVICE_UNAVAILABLE => {
            send_guard.record_completed();
            send_guard.record_rejected();
        }
        _ => send_guard.record_completed(),
    }
    let body = buffer::collect(response.into_body(), &node.memory, REFUSAL_BODY_BYTES_MAX);
    let body = tokio::time::timeout(request.time_left(), body).await;
    if matches!(body, Ok(Ok(_))) && !head.closes_connection {
        connection.return_to_pool(head.keep_alive).await;
    }
    let pending = lifecycle.not_run();
    match head.status {
        StatusCode::CONFLICT => Attempt::ResultsGone(pending),
        StatusCode::MISDIRECTED_REQUEST => {
            // The intended upstream is no longer at this address.
            suspicion::record_unreachable(node, &send_guard.upstream);
            Attempt::Rejected(pending, Cause::NoUpstream)
        }
        _ => Attempt::Rejected(pending, Cause::Full),
    }
}

/// Reads a non-streaming response to its end and records the outcome of its send.
pub(super) async fn read_whole_response(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    connection: PooledConnection,
    send_guard: SendGuard,
    lifecycle: Lifecycle<Sent>,
    head: &ResponseHead,
    response: Response<Incoming>,
) -> Result<Attempt, Failure> {
    let status = response.status();
    let headers = upstream::response_headers(response.headers());
    let body = buffer::collect(response.into_body(), &node.memory, BODY_BYTES_MAX);
    let time_left = request.time_left().saturating_sub(RESPONSE_MARGIN);
    let bytes = match tokio::time::timeout(time_left, body).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(buffer::Error::Broken)) => {
            return Ok(record_loss(
                node,
                request,
                &send_guard,
                lifecycle,
                Cause::ConnectionLost,
            ));
        }
        Ok(Err(buffer::Error::TooLarge)) => {
            return Ok(record_loss(
                node,
                request,
                &send_guard,
                lifecycle,
                Cause::BadAnswer,
            ));
        }
        Err(_) => {
            return Ok(record_loss(
                node,
                request,
                &send_guard,
                lifecycle,
                Cause::Deadline,
            ));
        }
    };
    send_guard.record_first_byte(status.is_server_error());
    // A server error doesn't clear the request: the upstream may not have begun to run it.
    if head.is_signed && !status.is_server_error() {
        if status.is_success() && head.is_framed {
            send_guard.record_sound_run();
        }
        suspicion::record_success(node, request.fingerprint, Duration::ZERO, Source::Own);
    }
    send_guard.record_completed();
    if !head.closes_connection {
        connection.return_to_pool(head.keep_alive).await;
    }
    let client_response = ClientResponse {
        status,
        headers,
        body: Body::Whole(bytes),
    };
    if status.is_server_error() {
        return Ok(Attempt::Failed(client_response, lifecycle));
    }
    Ok(Attempt::Answered(client_response))
}
