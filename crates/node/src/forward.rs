//! Forwards a client request: has its steps run, sends it to an upstream, retries, and returns the
//! response.

mod refusal;
mod response;
pub(crate) mod resume;

use std::sync::Arc;
use std::time::Duration;

use base::id;
use bytes::Bytes;
use forwarding::life::Cause;
use forwarding::life::Failure;
use forwarding::life::Lifecycle;
use forwarding::life::Pending;
use forwarding::life::Sent;
use forwarding::origin::Continuation;
use http::HeaderMap;
use http::StatusCode;
use platform::upstream;
use platform::upstream::ResponseHead;
use stages::Handle;
use stages::Refusal;
use tokio::time::Instant;

use self::refusal::DEFAULT_RETRY_AFTER;
use self::refusal::STOPPING_RETRY_AFTER;
use self::refusal::not_run_failure;
use self::refusal::steps_failure;
use self::refusal::suggested_retry_after;
use self::response::handle_not_run;
use self::response::read_whole_response;
use self::response::record_announcements;
use self::response::record_loss;
use crate::client_request::ClientRequest;
use crate::client_request::RESPONSE_MARGIN;
use crate::connection;
use crate::origin;
use crate::prepare;
use crate::prepare::Preparation;
use crate::quota;
use crate::relay;
use crate::relay::Relay;
use crate::routing;
use crate::routing::Connected;
use crate::routing::RoutingHints;
use crate::routing::UNSENT_ATTEMPTS_MAX;
use crate::routing::connect;
use crate::routing::prepare_request;
use crate::send_guard::build_outgoing;
use crate::state::Node;
use crate::suspicion;

/// Most engines that the owner chooses for one attempt while their rate limits deny it.
const PLACEMENTS_MAX: u32 = 3;

/// The response that the client gets.
pub struct ClientResponse {
    /// Status of the upstream's response.
    pub status: StatusCode,
    /// Headers of the upstream's response, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body, buffered or streamed.
    pub body: Body,
}

/// Body of a response.
pub enum Body {
    /// A complete body.
    Whole(Bytes),
    /// Events of a stream, relayed as they arrive.
    Events(Box<Relay>),
}

/// Outcome of one attempt to send a request.
enum Attempt {
    Answered(ClientResponse),
    /// A whole response with a server error, which is returned unless the request is retried.
    Failed(ClientResponse, Lifecycle<Sent>),
    /// No upstream received the request.
    Unsent(Pending, Cause),
    /// An upstream received the request and ran nothing. Sending it again is a repeat.
    Rejected(Pending, Cause),
    /// The upstream ran nothing, as the step results that it was to read no longer exist.
    ResultsGone(Pending),
    Lost(Lifecycle<Sent>, Cause),
}

/// Serves a request, with retries within the retry budget and the request's time limit.
///
/// # Errors
///
/// The failure that is reported to the client if no upstream's response can be returned.
pub async fn run(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
) -> Result<ClientResponse, Failure> {
    let mut pending = Pending::default();
    let Some(service) = request.service() else {
        return Err(pending.into_failure(Cause::NoUpstream, DEFAULT_RETRY_AFTER));
    };
    let shutdown = request.shutdown.get();
    let ends_by = request.received_at + request.time_limit();
    if shutdown.is_some_and(|it| !it.accepts(ends_by, Instant::now())) {
        return Err(pending.into_failure(Cause::Stopping, STOPPING_RETRY_AFTER));
    }
    node.limits().record_request(service, Instant::now());
    if let Some(mut rollouts) = node.rollouts() {
        rollouts.ledger.record_request(service);
    }
    let continuation = tokio::select! {
        biased;
        continuation = origin::resolve(node, request) => continuation,
        () = request.expired() => None,
    };
    let Some(continuation) = continuation else {
        return Err(not_run_failure(request, pending, Cause::UnknownOrigin));
    };
    let service = continuation.service().unwrap_or(service).clone();
    if !routing::has_usable_upstream(node, &service, &continuation) {
        let cause = routing::no_upstream(&continuation);
        return Err(not_run_failure(request, pending, cause));
    }
    let mut preparation: Option<Preparation> = None;
    let mut tries = 0;
    let mut last_upstream: Option<id::Upstream> = None;
    loop {
        if suspicion::is_quarantined(node, request) {
            let cause = Cause::Quarantined;
            return Err(
                pending.into_failure(cause, suggested_retry_after(node, request, &service, cause))
            );
        }
        if let Some(prepare_request) = prepare_request(node, request, &service, &continuation)
            .filter(|_| preparation.is_none())
        {
            let has_steps = !prepare_request.prepare.steps.is_empty();
            if has_steps && !quota::accept(node, &service) {
                slog::info!(node.logger(), "not_accepted"; "request" => &request.id,
                    "service" => service.as_str());
                let cause = Cause::RateLimit;
                let retry_after = suggested_retry_after(node, request, &service, cause);
                return Err(pending.into_failure(cause, retry_after));
            }
            let prepared = tokio::select! {
                biased;
                prepared = prepare::run(node, &prepare_request) => prepared,
                () = request.expired() => Err(Refusal::TooLate(Duration::ZERO)),
            };
            match prepared {
                Ok(prepared) => preparation = Some(prepared),
                Err(refusal) => return Err(steps_failure(request, pending, &refusal)),
            }
        }
        tries += 1;
        let attempt = attempt(
            node,
            request,
            &service,
            &continuation,
            pending,
            &mut preparation,
            &mut last_upstream,
        )
        .await;
        pending = match attempt {
            Err(failure) => return Err(failure),
            Ok(Attempt::Answered(client_response)) => return Ok(client_response),
            Ok(Attempt::Failed(client_response, lifecycle)) => {
                let is_allowed =
                    lifecycle.sends() < request.route.attempts_max && request.is_repeatable();
                if !is_allowed || !take_retry(node, &service) {
                    return Ok(client_response);
                }
                Pending::Unknown(lifecycle.outcome_unknown())
            }
            Ok(Attempt::Unsent(pending, cause)) => {
                if !may_try_again(request, tries) {
                    return Err(not_run_failure(request, pending, cause));
                }
                pending
            }
            Ok(Attempt::Rejected(pending, cause)) => {
                if !may_try_again(request, tries) {
                    return Err(not_run_failure(request, pending, cause));
                }
                if !take_retry(node, &service) {
                    return Err(not_run_failure(request, pending, Cause::RetryBudget));
                }
                pending
            }
            Ok(Attempt::ResultsGone(pending)) => {
                preparation = None;
                if tries >= UNSENT_ATTEMPTS_MAX || !take_retry(node, &service) {
                    return Err(not_run_failure(request, pending, Cause::StepsFailed));
                }
                pending
            }
            Ok(Attempt::Lost(lifecycle, cause)) => {
                let is_allowed =
                    lifecycle.sends() < request.route.attempts_max && request.is_repeatable();
                let is_in_time = request.time_left() > RESPONSE_MARGIN;
                let lifecycle = lifecycle.outcome_unknown();
                if !is_allowed || !is_in_time || !take_retry(node, &service) {
                    return Err(lifecycle.fail(cause));
                }
                Pending::Unknown(lifecycle)
            }
        };
        slog::info!(node.logger(), "retried"; "request" => &request.id, "tries" => tries,
            "sends" => pending.sends(), "left_ms" => request.time_left().as_millis() as u64);
    }
}

/// Whether a request that ran nowhere may be tried again.
fn may_try_again(request: &ClientRequest, tries: u32) -> bool {
    request.time_left() > RESPONSE_MARGIN && tries < UNSENT_ATTEMPTS_MAX
}

fn take_retry(node: &Node, service: &id::Service) -> bool {
    let decision = node.limits().take_retry(service, Instant::now());
    let is_taken = decision.source.is_some();
    slog::info!(node.logger(), "retry_budget"; "service" => service.as_str(), "taken" => is_taken,
        "from" => decision.source.map(|it| it.to_string()), "members" => decision.members,
        "share" => decision.share, "share_used" => decision.share_used);
    if !is_taken {
        node.telemetry
            .count_tagged("retry_budget.empty", service.as_str(), 1);
    }
    is_taken
}

async fn attempt(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    service: &id::Service,
    continuation: &Continuation,
    pending: Pending,
    preparation: &mut Option<Preparation>,
    last_upstream: &mut Option<id::Upstream>,
) -> Result<Attempt, Failure> {
    let prepared = preparation.as_ref().map(|it| &it.prepared);
    let handles: Vec<Handle> = prepared.map_or_else(Vec::new, |it| it.handles.clone());
    let is_repeat = last_upstream.is_some();
    let excluded = last_upstream.as_slice();
    let connect_result =
        connect_placed(node, request, service, continuation, preparation, excluded).await;
    let engine = preparation.as_ref().and_then(|it| it.engine.clone());
    let Connected {
        upstream,
        mut connection,
        permit,
        lease,
    } = match connect_result {
        Ok(connected) => connected,
        Err(cause) => {
            if cause == Cause::RateLimit {
                quota::record_accepted(node, service, false);
            }
            let counts = node.paths().counts();
            slog::info!(node.logger(), "not_sent"; "request" => &request.id, "cause" => %cause,
                "reached" => counts.reached, "unreached" => counts.unreached,
                "placed_at" => engine.as_ref().map(id::Upstream::as_str),
                "prompt" => request.prompt_prefix_hash().map(|it| format!("{it:x}")));
            return Err(
                pending.into_failure(cause, suggested_retry_after(node, request, service, cause))
            );
        }
    };
    *last_upstream = Some(upstream.name.clone());
    let time_left = request.time_left();
    if time_left <= RESPONSE_MARGIN {
        return Err(pending.into_failure(
            Cause::Deadline,
            request.clamp_retry_after(DEFAULT_RETRY_AFTER),
        ));
    }
    let may_repeat = request.is_repeatable() && pending.sends() + 1 < request.route.attempts_max;
    let head_timeout = response_head_timeout(node, request, time_left, may_repeat);
    let (outgoing, send_guard) = build_outgoing(node, request, &upstream, &handles, None, lease);
    let lifecycle = pending.send();
    quota::record_accepted(node, service, true);
    slog::info!(node.logger(), "sent"; "request" => &request.id,
        "upstream" => upstream.name.as_str(), "upstream_version" => upstream.version,
        "software" => upstream.software.as_str(),
        "resumed_request" => request.head.resumed_request.as_deref(),
        "last_event" => request.head.last_event,
        "kept" => connection.is_reused, "detour" => connection.is_detour,
        "repeat" => is_repeat, "results" => handles.len(),
        "placed" => engine.as_ref() == Some(&upstream.name),
        "prompt" => request.prompt_prefix_hash().map(|it| format!("{it:x}")),
        "parts" => request.shared_parts_text(),
        "left_ms" => time_left.as_millis() as u64);
    let response = tokio::select! {
        biased;
        response = connection.send(outgoing, permit) => response,
        () = tokio::time::sleep(head_timeout) => Err(connection::Error::Silent),
        () = request.expired() => Err(connection::Error::Silent),
    };
    let response = match response {
        Ok(response) => response,
        Err(connection::Error::Lost) => {
            return Ok(record_loss(
                node,
                request,
                &send_guard,
                lifecycle,
                Cause::ConnectionLost,
            ));
        }
        Err(connection::Error::Silent) => {
            return Ok(record_loss(
                node,
                request,
                &send_guard,
                lifecycle,
                Cause::Deadline,
            ));
        }
        Err(_) => {
            send_guard.record_unsent();
            return Ok(Attempt::Unsent(lifecycle.not_run(), Cause::NoUpstream));
        }
    };
    if !connection.is_detour {
        node.paths().record_answered(&upstream.name);
    }
    let head = ResponseHead::read(response.status(), response.headers());
    let is_for_request = head.request_id.as_deref() == Some(&request.id);
    record_announcements(node, &send_guard, &head, is_for_request);
    if !is_for_request && !head.is_not_run {
        slog::warn!(node.logger(), "foreign_answer"; "request" => &request.id,
            "upstream" => upstream.name.as_str(), "answer_to" => head.request_id.as_deref());
        return Ok(record_loss(
            node,
            request,
            &send_guard,
            lifecycle,
            Cause::BadAnswer,
        ));
    }
    if head.is_not_run && is_for_request {
        return Ok(handle_not_run(
            node, request, send_guard, lifecycle, connection, &head, response,
        )
        .await);
    }
    if !is_for_request {
        return Ok(record_loss(
            node,
            request,
            &send_guard,
            lifecycle,
            Cause::BadAnswer,
        ));
    }
    let is_success = head.status.is_success();
    if is_success && (!head.is_signed || head.is_encoded) {
        return Ok(record_loss(
            node,
            request,
            &send_guard,
            lifecycle,
            Cause::BadAnswer,
        ));
    }
    if is_success && request.route.kind.is_stream() {
        send_guard.record_first_byte(false);
        let sends = lifecycle.sends();
        let status = response.status();
        let headers = upstream::response_headers(response.headers());
        let held_preparation = preparation.take();
        let source = relay::Source {
            connection,
            body: response.into_body(),
            send_guard,
            is_framed: head.is_framed,
        };
        let mut relay = Relay::new(node, request, source, sends, held_preparation);
        return Ok(match relay.wait_first_event().await {
            true => {
                origin::record(node, request, &upstream);
                Attempt::Answered(ClientResponse {
                    status,
                    headers,
                    body: Body::Events(Box::new(relay)),
                })
            }
            false => {
                *preparation = relay.take_preparation();
                Attempt::Lost(lifecycle, Cause::ConnectionLost)
            }
        });
    }
    read_whole_response(
        node, request, connection, send_guard, lifecycle, &head, response,
    )
    .await
}

/// Connects to the engine that the owner chose or to another upstream. If the rate limit of the
/// engine denies the request, the owner is asked for another one where it keeps the cold limits.
async fn connect_placed(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    service: &id::Service,
    continuation: &Continuation,
    preparation: &mut Option<Preparation>,
    excluded: &[id::Upstream],
) -> Result<Connected, Cause> {
    let mut placements = 1;
    loop {
        let prepared = preparation.as_ref().map(|it| &it.prepared);
        let hints = RoutingHints {
            zone: prepared.and_then(|it| it.zone.as_ref()),
            engine: preparation.as_ref().and_then(|it| it.engine.as_ref()),
            excluded,
        };
        let has_engine = hints.engine.is_some();
        let result = connect(node, request, service, continuation, &hints).await;
        let is_denied = matches!(result, Err(Cause::RateLimit)) && has_engine;
        if !is_denied || placements == PLACEMENTS_MAX {
            return result;
        }
        let prepare_request = prepare_request(node, request, service, continuation);
        let Some((preparation, prepare_request)) = preparation.as_mut().zip(prepare_request) else {
            return result;
        };
        placements += 1;
        preparation.place_again(node, prepare_request).await;
    }
}

/// Time to wait for the head of a response: until the deadline, or at most the answer timeout if
/// the request may be sent again.
fn response_head_timeout(
    node: &Node,
    request: &ClientRequest,
    time_left: Duration,
    may_repeat: bool,
) -> Duration {
    let until_deadline = time_left.saturating_sub(RESPONSE_MARGIN);
    if !may_repeat {
        return until_deadline;
    }
    until_deadline.min(node.limits().answer_timeout(request))
}
