//! HTTP handlers for clients, readiness polls and metrics.

use std::sync::Arc;
use std::time::Duration;

use base::Executed;
use base::hash;
use base::id;
use bytes::Bytes;
use bytes::BytesMut;
use catalog::Catalog;
use catalog::Route;
use catalog::Workspace;
use forwarding::life::Cause;
use forwarding::life::Failure;
use futures_util::StreamExt;
use platform::request::RequestHead;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header;
use tokio::time::Instant;

use crate::buffer::BODY_BYTES_MAX;
use crate::buffer::Reservation;
use crate::client_request;
use crate::client_request::ClientRequest;
use crate::clock;
use crate::forward;
use crate::forward::Body;
use crate::forward::ClientResponse;
use crate::listener_connections::Connections;
use crate::listener_connections::RequestGuard;
use crate::state::InFlightGuard;
use crate::state::Node;

/// `Retry-After` while no configuration is in force, or perhaps not the newest one.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for reading the body of a request that states no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a request was rejected before it was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration is in force.
    NotReady,
    /// No route matches, or no workspace has the API key, in a configuration that may not be the
    /// newest one.
    Outdated,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no workspace.
    UnknownKey,
    /// The request asks for more pieces of its steps than an instance can keep.
    TooManyPieces,
    /// The headers and the path together are larger than allowed.
    HeaderTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The bodies of all requests together are larger than the memory allows.
    OutOfMemory,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The connection broke while the body was read.
    BodyBroken,
}

impl Rejection {
    fn status(self) -> StatusCode {
        match self {
            Rejection::NotReady | Rejection::Outdated | Rejection::OutOfMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
            Rejection::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Rejection::TooManyPieces | Rejection::BodyBroken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Handles all client requests, and the readiness polls if they arrive at the same address.
pub struct ClientHandler {
    /// The node that serves the requests.
    pub node: Arc<Node>,
    /// Connections on which they arrive.
    pub connections: Arc<Connections>,
}

#[salvo::async_trait]
impl Handler for ClientHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let node = &self.node;
        let remote = request.remote_addr().clone().into_std();
        let on_connection = remote.and_then(|it| self.connections.begin_request(it));
        if request.uri().path() == platform::READY_PATH
            && node.settings.readiness_address == node.settings.client_address
        {
            return write_readiness(node, response);
        }
        let in_flight = node.track_request();
        let client_request = match read_client_request(node, request).await {
            Ok(client_request) => Arc::new(client_request),
            Err(rejection) => return write_rejection(node, request, response, rejection),
        };
        if let Some(guard) = &on_connection {
            guard.record_body_end();
        }
        match forward::run(node, &client_request).await {
            Ok(client_response) => {
                let guards = (in_flight, on_connection);
                write_response(node, &client_request, response, client_response, guards)
            }
            Err(failure) => write_failure(node, &client_request, response, failure),
        }
        if node.is_shutting_down() {
            set_connection_close(response);
        }
    }
}

/// Answers the load balancer's readiness polls: 200 if this instance accepts clients, else 503.
pub struct ReadinessHandler(pub Arc<Node>);

#[salvo::async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        write_readiness(&self.0, response);
    }
}

/// Serves the metrics of the registry as plain text.
pub struct MetricsHandler(pub telemetry::registry::Registry);

#[salvo::async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        response.render(salvo::writing::Text::Plain(self.0.render()));
    }
}

fn write_readiness(node: &Node, response: &mut Response) {
    let status = if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response.status_code(status);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

async fn read_client_request(
    node: &Node,
    request: &mut Request,
) -> Result<ClientRequest, Rejection> {
    let received_at = Instant::now();
    let suspended_at_receipt = clock::time_suspended();
    let view = node.view();
    let catalog = view.catalog.as_ref().ok_or(Rejection::NotReady)?;
    check_header_size(catalog, request)?;
    let head = RequestHead::read(request.headers());
    let path = request.uri().path();
    // What a newer configuration may allow is not denied for good.
    let deny = |rejection| match node.may_lack_configuration() {
        true => Rejection::Outdated,
        false => rejection,
    };
    let route = catalog.route(&head.host, path);
    let route = route.ok_or_else(|| deny(Rejection::NoRoute))?;
    let workspace = find_workspace(catalog, route, head.api_key.as_deref()).map_err(deny)?;
    if stages::has_too_many_pieces(head.piece_counts.iter().copied()) {
        return Err(Rejection::TooManyPieces);
    }
    let path_and_query = request.uri().path_and_query();
    let path_and_query = path_and_query.map_or("/", |it| it.as_str()).to_owned();
    let timeout = head.deadline.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let body_max = catalog.limits.map_or(usize::MAX, |it| it.body_bytes);
    let reading = read_body(node, request, body_max.min(BODY_BYTES_MAX));
    let (body, body_memory) = tokio::time::timeout(timeout, reading)
        .await
        .map_err(|_| Rejection::BodyTimeout)??;
    let workspace_name = workspace.as_ref().map_or("", |it| it.name.as_str());
    let fingerprint = hash::hash_bytes([
        path_and_query.as_bytes(),
        workspace_name.as_bytes(),
        &body[..],
    ]);
    let priority = workspace.as_ref().and_then(|it| it.priority);
    Ok(ClientRequest {
        id: head.request_id.clone().unwrap_or_default(),
        method: request.method().clone(),
        path_and_query,
        headers: request.headers().clone(),
        body,
        _body_memory: body_memory,
        priority: priority.unwrap_or(route.priority),
        route: route.clone(),
        workspace,
        has_workspaces: catalog.workspaces.is_some(),
        received_at,
        suspended_at_receipt,
        fingerprint: id::Fingerprint(fingerprint),
        shared_parts: client_request::hash_shared_parts(&head.prompt),
        shutdown: node.shutdown_state(),
        head,
    })
}

fn check_header_size(catalog: &Catalog, request: &Request) -> Result<(), Rejection> {
    // On the wire each header has four more bytes: a colon, a space and CRLF.
    let headers = request.headers().iter();
    let sizes = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let size = sizes.sum::<usize>() + request.uri().path().len();
    let limit = catalog.limits.map_or(usize::MAX, |it| it.header_bytes);
    if size > limit {
        return Err(Rejection::HeaderTooLarge);
    }
    Ok(())
}

fn find_workspace(
    catalog: &Catalog,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Workspace>, Rejection> {
    let Some(workspaces) = &catalog.workspaces else {
        return Ok(None);
    };
    let workspace = key.and_then(|it| workspaces.get(it));
    if workspace.is_none() && !route.is_public {
        return Err(Rejection::UnknownKey);
    }
    Ok(workspace.cloned())
}

/// Reads a body of at most `limit` bytes to its end, within the memory budget of the instance.
async fn read_body(
    node: &Node,
    request: &mut Request,
    limit: usize,
) -> Result<(Bytes, Reservation), Rejection> {
    let content_length = request.headers().get(header::CONTENT_LENGTH);
    let content_length: Option<u64> = content_length.and_then(|it| it.to_str().ok()?.parse().ok());
    if content_length.is_some_and(|it| it > limit as u64) {
        return Err(Rejection::BodyTooLarge);
    }
    let mut reservation = node.memory.new_reservation();
    let mut body = request.take_body();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| Rejection::BodyBroken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let size = bytes.len() + data.len();
        if size > limit {
            return Err(Rejection::BodyTooLarge);
        }
        let reserved = reservation.resize(size);
        reserved.map_err(|_| Rejection::OutOfMemory)?;
        bytes.extend_from_slice(data);
    }
    Ok((bytes.freeze(), reservation))
}

fn write_response(
    node: &Arc<Node>,
    client_request: &ClientRequest,
    response: &mut Response,
    client_response: ClientResponse,
    (in_flight, on_connection): (InFlightGuard, Option<RequestGuard>),
) {
    let elapsed = client_request.received_at.elapsed();
    let status = client_response.status;
    let priority = client_request.priority;
    slog::info!(node.logger(), "answered"; "request" => &client_request.id,
        "status" => status.as_u16(), "route" => &client_request.route.name,
        "took_ms" => elapsed.as_millis() as u64);
    node.telemetry.count_tagged("answers", status.as_str(), 1);
    node.telemetry
        .time_ms("answers.time", elapsed.as_millis() as u64);
    response.status_code(status);
    *response.headers_mut() = client_response.headers;
    match client_response.body {
        Body::Whole(bytes) => {
            if let Some(guard) = on_connection {
                guard.record_response(bytes.len(), priority);
            }
            response.replace_body(salvo::http::ResBody::Once(bytes));
        }
        Body::Events(mut relay) => {
            relay.track_in_flight(in_flight);
            let events = relay.into_stream();
            // The request lasts as long as its stream.
            response.stream(events.inspect(move |events| {
                let size = events.as_ref().map_or(0, Bytes::len);
                if let Some(guard) = &on_connection {
                    guard.record_response(size, priority);
                }
            }));
        }
    }
}

fn write_failure(
    node: &Node,
    client_request: &ClientRequest,
    response: &mut Response,
    failure: Failure,
) {
    let status = failure_status(&failure);
    let elapsed = client_request.received_at.elapsed();
    slog::info!(node.logger(), "failed"; "request" => &client_request.id,
        "status" => status.as_u16(), "cause" => %failure.cause, "executed" => %failure.executed,
        "route" => &client_request.route.name, "took_ms" => elapsed.as_millis() as u64,
        "left_ms" => client_request.time_left().as_millis() as u64);
    node.telemetry
        .count_tagged("failures", failure.cause.into(), 1);
    response.status_code(status);
    if let Some(retry_after) = failure.retry_after {
        set_retry_after(response, retry_after);
    }
    echo_request_id(response, &client_request.id);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

fn failure_status(failure: &Failure) -> StatusCode {
    match (failure.executed, failure.cause) {
        (Executed::No, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Cause::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn write_rejection(node: &Node, request: &Request, response: &mut Response, rejection: Rejection) {
    let head = RequestHead::read(request.headers());
    let request_id = head.request_id.unwrap_or_default();
    let status = rejection.status();
    let view = node.view();
    let version = view.catalog.as_ref().map(|it| it.version);
    slog::info!(node.logger(), "rejected"; "request" => &request_id, "status" => status.as_u16(),
        "reason" => %rejection, "host" => head.host, "path" => request.uri().path(),
        "config_version" => version);
    node.telemetry
        .count_tagged("rejections", rejection.into(), 1);
    response.status_code(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(response, NOT_READY_RETRY_AFTER);
    }
    let is_body_unread = matches!(
        rejection,
        Rejection::BodyTooLarge
            | Rejection::OutOfMemory
            | Rejection::BodyTimeout
            | Rejection::BodyBroken
    );
    if is_body_unread || node.is_shutting_down() {
        set_connection_close(response);
    }
    echo_request_id(response, &request_id);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

fn echo_request_id(response: &mut Response, request: &str) {
    if let Ok(value) = HeaderValue::from_str(request) {
        platform::request::set_request_id(response.headers_mut(), value);
    }
}

fn set_connection_close(response: &mut Response) {
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn set_retry_after(response: &mut Response, retry_after: Duration) {
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
