//! One request: its steps, its sends and its answer.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use bytes::Bytes;
use catalog::RouteKind;
use catalog::Upstream;
use forwarding::life::Cause;
use forwarding::life::Failure;
use forwarding::life::Lifecycle;
use forwarding::life::Pending;
use forwarding::life::Sent;
use forwarding::poison::Source;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use platform::upstream;
use platform::upstream::Answer;
use stages::Handle;
use stages::Refusal;
use tokio::time::Instant;

use crate::ask::ClientRequest;
use crate::ask::RESPONSE_MARGIN;
use crate::buffer;
use crate::buffer::REFUSAL_BODY_BYTES_MAX;
use crate::buffer::RESPONSE_BYTES_MAX;
use crate::channel;
use crate::channel::PooledConnection;
use crate::prepare;
use crate::prepare::Ready;
use crate::relay::Relay;
use crate::sending::SendGuard;
use crate::sending::outgoing;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;
use crate::target::UNSENT_TRIES_MAX;
use crate::target::Wish;
use crate::target::connect;
use crate::target::wanted;

/// Time to come back that is told where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// A quarantined request is of no use again before its crashes are forgotten.
const QUARANTINE_RETRY: Duration = Duration::from_secs(60);
/// The same while another instance may yet tell of an answer that clears the request.
const ACQUITTAL_RETRY: Duration = Duration::from_secs(1);
/// Another instance takes the request at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// The answer to a client.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

/// Body of an answer.
pub enum Body {
    /// A whole body.
    Whole(Bytes),
    /// Events as they arrive.
    Events(Box<Relay>),
}

/// How one send ended.
enum Attempt {
    Answered(Reply),
    /// A signed failure, and the request as it would be sent again.
    Failed(Reply, Lifecycle<Sent>),
    NotRun(Pending, Cause),
    /// Results of its steps no longer exist.
    ResultsGone(Pending),
    Lost(Lifecycle<Sent>, Cause),
}

/// Serves a request.
///
/// # Errors
///
/// Fails with an answer of this system's own.
pub async fn run(node: &Arc<Node>, ask: &Arc<ClientRequest>) -> Result<Reply, Failure> {
    let mut pending = Pending::default();
    let service = match ask.route.target(&ask.request) {
        Some(service) => service.clone(),
        None => return Err(pending.into_failure(Cause::NoUpstream, RETRY_AFTER)),
    };
    let stop = ask.stop.get();
    if stop.is_some_and(|it| !it.accepts(ask.limit(), ask.received)) {
        return Err(pending.into_failure(Cause::Stopping, STOPPING_RETRY));
    }
    node.limits().record_request(&service, Instant::now());
    let mut results: Option<Ready> = None;
    let mut tries = 0;
    let mut last: Option<id::Upstream> = None;
    loop {
        if suspicion::check_quarantine(node, &ask.request, ask.fingerprint).is_some() {
            let cause = Cause::Quarantined;
            return Err(pending.into_failure(cause, retry_after(node, ask, &service, cause)));
        }
        if let Some(wanted) = wanted(node, ask, &service).filter(|_| results.is_none()) {
            let prepared = tokio::select! {
                biased;
                prepared = prepare::run(node, &wanted) => prepared,
                () = ask.expired() => Err(Refusal::TooLate(Duration::ZERO)),
            };
            match prepared {
                Ok(prepared) => results = Some(prepared),
                Err(refusal) => return Err(give_up(ask, pending, &refusal)),
            }
        }
        tries += 1;
        let attempt = attempt(node, ask, &service, pending, &mut results, &mut last).await;
        pending = match attempt {
            Err(failure) => return Err(failure),
            Ok(Attempt::Answered(reply)) => return Ok(reply),
            Ok(Attempt::Failed(reply, life)) => {
                let is_allowed = life.sends() < ask.route.attempts_max && ask.is_repeatable();
                if !is_allowed || !take_retry(node, &service) {
                    return Ok(reply);
                }
                Pending::Unknown(life.outcome_unknown())
            }
            Ok(Attempt::NotRun(pending, cause)) => {
                let is_in_time = ask.left() > RESPONSE_MARGIN && tries < UNSENT_TRIES_MAX;
                if !is_in_time {
                    return Err(pending.into_failure(cause, ask.retry_after(RETRY_AFTER)));
                }
                pending
            }
            Ok(Attempt::ResultsGone(pending)) => {
                results = None;
                if tries >= UNSENT_TRIES_MAX || !take_retry(node, &service) {
                    return Err(
                        pending.into_failure(Cause::StepsFailed, ask.retry_after(RETRY_AFTER))
                    );
                }
                pending
            }
            Ok(Attempt::Lost(life, cause)) => {
                let is_allowed = life.sends() < ask.route.attempts_max && ask.is_repeatable();
                let is_in_time = ask.left() > RESPONSE_MARGIN;
                let life = life.outcome_unknown();
                if !is_allowed || !is_in_time || !take_retry(node, &service) {
                    return Err(life.fail(cause));
                }
                Pending::Unknown(life)
            }
        };
        slog::info!(node.logger(), "retried"; "request" => &ask.request, "tries" => tries,
            "sends" => pending.sends(), "left_ms" => ask.left().as_millis() as u64);
    }
}

/// Continues a stream that broke, at another upstream, after the event that the client has.
pub async fn resume(
    node: &Arc<Node>,
    ask: &Arc<ClientRequest>,
    lost: &Upstream,
    sends: u32,
    last_event: Option<u64>,
) -> Option<(PooledConnection, Incoming, SendGuard)> {
    if suspicion::check_quarantine(node, &ask.request, ask.fingerprint).is_some() {
        return None;
    }
    if sends >= ask.route.attempts_max || !take_retry(node, &lost.service) {
        return None;
    }
    // The results of its steps were freed at the first event.
    let ready = match wanted(node, ask, &lost.service) {
        Some(wanted) => Some(prepare::run(node, &wanted).await.ok()?),
        None => None,
    };
    let prepared = ready.as_ref().map(|it| &it.prepared);
    let handles = prepared.map_or(&[][..], |it| &it.handles);
    let wish = Wish {
        zone: prepared.and_then(|it| it.zone.as_ref()),
        engine: ready.as_ref().and_then(|it| it.engine.as_ref()),
        except: std::slice::from_ref(&lost.name),
    };
    let connected = connect(node, ask, &lost.service, &wish).await;
    let (upstream, mut channel) = connected.ok()?;
    let (request, send_guard) = outgoing(node, ask, &upstream, handles, last_event);
    slog::info!(node.logger(), "stream_resumed"; "request" => &ask.request,
        "from" => %lost.name, "to" => %upstream.name, "last_event" => last_event);
    let response = tokio::time::timeout(ask.left(), channel.send(request));
    let response = response.await.ok()?.ok()?;
    let answer = Answer::read(response.status(), response.headers());
    if answer.is_leaving {
        node.mark_upstream_leaving(&upstream.incarnation());
    }
    if let Some(time) = answer.hold_off {
        send_guard.hold_off(time);
    }
    let is_usable = answer.status.is_success()
        && answer.is_signed
        && answer.request.as_deref() == Some(&ask.request);
    send_guard.answered(!is_usable);
    is_usable.then(|| (channel, response.into_body(), send_guard))
}

/// When a client that is refused for `cause` may come back.
fn retry_after(node: &Node, ask: &ClientRequest, service: &id::Service, cause: Cause) -> Duration {
    if cause != Cause::Quarantined {
        return ask.retry_after(hold_time(node, service).max(RETRY_AFTER));
    }
    let standing = suspicion::standing(node, ask.fingerprint);
    if standing.is_fresh {
        return ask.retry_after(ACQUITTAL_RETRY);
    }
    QUARANTINE_RETRY
}

/// Time until an upstream of a service may be asked again, where all of them want nothing for now.
fn hold_time(node: &Node, service: &id::Service) -> Duration {
    let view = node.view();
    let now = Instant::now();
    let mut limits = node.limits();
    let until = view.usable(service).map(|it| {
        let health = limits.health(&it.name);
        health.held_off_until(now).unwrap_or(now)
    });
    let first = until.min().unwrap_or(now);
    first.saturating_duration_since(now)
}

fn take_retry(node: &Node, service: &id::Service) -> bool {
    let members = node.member_count();
    let is_taken = node.limits().take_retry(service, members, Instant::now());
    if !is_taken {
        node.telemetry
            .count_of("retry_budget.empty", service.as_str(), 1);
    }
    is_taken
}

fn give_up(ask: &ClientRequest, pending: Pending, refusal: &Refusal) -> Failure {
    let (cause, wanted) = match refusal {
        Refusal::TooLate(drain) => (Cause::StepsTooLate, (*drain).max(RETRY_AFTER)),
        Refusal::NoUpstream => (Cause::NoUpstream, RETRY_AFTER),
        Refusal::Failed => (Cause::StepsFailed, RETRY_AFTER),
    };
    pending.into_failure(cause, ask.retry_after(wanted))
}

async fn attempt(
    node: &Arc<Node>,
    ask: &Arc<ClientRequest>,
    service: &id::Service,
    pending: Pending,
    results: &mut Option<Ready>,
    last: &mut Option<id::Upstream>,
) -> Result<Attempt, Failure> {
    let prepared = results.as_ref().map(|it| &it.prepared);
    let zone = prepared.and_then(|it| it.zone.clone());
    let handles: Vec<Handle> = prepared.map_or_else(Vec::new, |it| it.handles.clone());
    let is_repeat = last.is_some();
    let engine = results.as_ref().and_then(|it| it.engine.clone());
    let wish = Wish {
        zone: zone.as_ref(),
        engine: engine.as_ref(),
        except: last.as_slice(),
    };
    let connected = connect(node, ask, service, &wish).await;
    let (upstream, mut channel) = match connected {
        Ok(connected) => connected,
        Err(cause) => {
            slog::info!(node.logger(), "not_sent"; "request" => &ask.request, "cause" => %cause,
                "placed_at" => engine.as_ref().map(id::Upstream::as_str),
                "prompt" => ask.prompt().map(|it| format!("{it:x}")));
            return Err(pending.into_failure(cause, retry_after(node, ask, service, cause)));
        }
    };
    *last = Some(upstream.name.clone());
    let left = ask.left();
    if left <= RESPONSE_MARGIN {
        return Err(pending.into_failure(Cause::Deadline, ask.retry_after(RETRY_AFTER)));
    }
    let may_repeat = ask.is_repeatable() && pending.sends() + 1 < ask.route.attempts_max;
    let patience = patience(node, ask, left, may_repeat);
    let (request, send_guard) = outgoing(node, ask, &upstream, &handles, None);
    let life = pending.send();
    slog::info!(node.logger(), "sent"; "request" => &ask.request,
        "upstream" => upstream.name.as_str(), "upstream_version" => upstream.version,
        "kept" => channel.is_reused, "repeat" => is_repeat, "results" => handles.len(),
        "placed" => engine.as_ref() == Some(&upstream.name),
        "prompt" => ask.prompt().map(|it| format!("{it:x}")),
        "left_ms" => left.as_millis() as u64);
    let response = tokio::select! {
        biased;
        response = channel.send(request) => response,
        () = tokio::time::sleep(patience) => Err(channel::Error::Silent),
        () = ask.expired() => Err(channel::Error::Silent),
    };
    let response = match response {
        Ok(response) => response,
        Err(channel::Error::Lost) => {
            return Ok(lost(node, ask, &send_guard, life, Cause::ConnectionLost));
        }
        Err(channel::Error::Silent) => {
            return Ok(lost(node, ask, &send_guard, life, Cause::Deadline));
        }
        Err(_) => {
            send_guard.unsent();
            return Ok(Attempt::NotRun(life.not_run(), Cause::NoUpstream));
        }
    };
    let answer = Answer::read(response.status(), response.headers());
    if answer.is_leaving {
        node.mark_upstream_leaving(&upstream.incarnation());
    }
    if let Some(time) = answer.hold_off {
        send_guard.hold_off(time);
    }
    let is_own = answer.request.as_deref() == Some(&ask.request);
    if !is_own && !answer.is_not_run {
        slog::warn!(node.logger(), "foreign_answer"; "request" => &ask.request,
            "upstream" => upstream.name.as_str(), "answer_to" => answer.request.as_deref());
        return Ok(lost(node, ask, &send_guard, life, Cause::BadAnswer));
    }
    if answer.is_not_run && is_own {
        return Ok(not_run(node, ask, &send_guard, life, channel, &answer, response).await);
    }
    if !is_own {
        return Ok(lost(node, ask, &send_guard, life, Cause::BadAnswer));
    }
    let is_success = answer.status.is_success();
    if is_success && (!answer.is_signed || answer.is_encoded) {
        return Ok(lost(node, ask, &send_guard, life, Cause::BadAnswer));
    }
    if is_success && ask.route.kind.is_stream() {
        send_guard.answered(false);
        let sends = life.sends();
        let status = response.status();
        let headers = upstream::answer_headers(response.headers());
        let lease = results.take();
        let mut relay = Relay::new(
            node,
            ask,
            channel,
            response.into_body(),
            send_guard,
            sends,
            lease,
        );
        return Ok(match relay.begin().await {
            true => Attempt::Answered(Reply {
                status,
                headers,
                body: Body::Events(Box::new(relay)),
            }),
            false => {
                *results = relay.take_results();
                Attempt::Lost(life, Cause::ConnectionLost)
            }
        });
    }
    whole(node, ask, channel, send_guard, life, &answer, response).await
}

/// Time to wait for the head of an answer.
fn patience(node: &Node, ask: &ClientRequest, left: Duration, may_repeat: bool) -> Duration {
    let until_deadline = left.saturating_sub(RESPONSE_MARGIN);
    if !may_repeat {
        return until_deadline;
    }
    until_deadline.min(node.limits().answer_timeout(ask))
}

fn lost(
    node: &Arc<Node>,
    ask: &ClientRequest,
    send_guard: &SendGuard,
    life: Lifecycle<Sent>,
    cause: Cause,
) -> Attempt {
    send_guard.broke();
    slog::warn!(node.logger(), "lost"; "request" => &ask.request,
        "fingerprint" => %ask.fingerprint, "upstream" => send_guard.upstream.name.as_str(),
        "started_ms" => send_guard.upstream.started_ms, "cause" => %cause);
    let ending = match cause {
        Cause::Deadline => LossKind::Silent,
        _ => LossKind::Broken,
    };
    suspicion::record_loss(send_guard, ending);
    Attempt::Lost(life, cause)
}

async fn not_run(
    node: &Node,
    ask: &ClientRequest,
    send_guard: &SendGuard,
    life: Lifecycle<Sent>,
    channel: PooledConnection,
    answer: &Answer,
    response: Response<Incoming>,
) -> Attempt {
    slog::info!(node.logger(), "not_run"; "request" => &ask.request,
        "upstream" => send_guard.upstream.name.as_str(), "status" => answer.status.as_u16());
    send_guard.answered(true);
    // Another upstream may answer that it is not the one that was meant.
    match answer.status {
        StatusCode::MISDIRECTED_REQUEST => send_guard.unsent(),
        _ => send_guard.concluded(),
    }
    let body = buffer::collect(response.into_body(), &node.memory, REFUSAL_BODY_BYTES_MAX);
    let body = tokio::time::timeout(ask.left(), body).await;
    if matches!(body, Ok(Ok(_))) && !answer.is_last {
        channel.return_to_pool(answer.keep_alive).await;
    }
    let pending = life.not_run();
    match answer.status {
        StatusCode::CONFLICT => Attempt::ResultsGone(pending),
        StatusCode::MISDIRECTED_REQUEST => {
            // Another upstream has its address.
            suspicion::record_unreachable(node, &send_guard.upstream);
            Attempt::NotRun(pending, Cause::NoUpstream)
        }
        _ if take_retry(node, &send_guard.upstream.service) => {
            Attempt::NotRun(pending, Cause::Full)
        }
        _ => Attempt::NotRun(pending, Cause::RetryBudget),
    }
}

/// Holds a plain answer until it is whole.
async fn whole(
    node: &Arc<Node>,
    ask: &Arc<ClientRequest>,
    channel: PooledConnection,
    send_guard: SendGuard,
    life: Lifecycle<Sent>,
    answer: &Answer,
    response: Response<Incoming>,
) -> Result<Attempt, Failure> {
    let status = response.status();
    let headers = upstream::answer_headers(response.headers());
    let body = buffer::collect(response.into_body(), &node.memory, RESPONSE_BYTES_MAX);
    let left = ask.left().saturating_sub(RESPONSE_MARGIN);
    let bytes = match tokio::time::timeout(left, body).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(buffer::Error::Broken)) => {
            return Ok(lost(node, ask, &send_guard, life, Cause::ConnectionLost));
        }
        Ok(Err(buffer::Error::TooLarge)) => {
            return Ok(lost(node, ask, &send_guard, life, Cause::BadAnswer));
        }
        Err(_) => return Ok(lost(node, ask, &send_guard, life, Cause::Deadline)),
    };
    send_guard.answered(status.is_server_error());
    send_guard.concluded();
    // A failure may come from an upstream that never began to run the request.
    if answer.is_signed && !status.is_server_error() {
        suspicion::record_survival(node, ask.fingerprint, Duration::ZERO, Source::Own);
    }
    if !answer.is_last {
        channel.return_to_pool(answer.keep_alive).await;
    }
    let reply = Reply {
        status,
        headers,
        body: Body::Whole(bytes),
    };
    if status.is_server_error() {
        return Ok(Attempt::Failed(reply, life));
    }
    Ok(Attempt::Answered(reply))
}

/// Whether a stream of this kind may be continued elsewhere.
#[must_use]
pub fn is_resumable(kind: RouteKind) -> bool {
    kind == RouteKind::ResumableStream
}
