//! The front for clients.

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
use platform::front::Head;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header;
use tokio::time::Instant;

use crate::ask::ClientRequest;
use crate::clock;
use crate::forward;
use crate::forward::Body;
use crate::forward::Reply;
use crate::state::Node;

/// Time to come back while no configuration is in force.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Longest wait for a body where the request states no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a request was not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration is in force.
    NotReady,
    /// No route has the host and path.
    NoRoute,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The headers are larger than allowed.
    HeaderTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The client broke off.
    BodyBroken,
}

impl Rejection {
    fn status(self) -> StatusCode {
        match self {
            Rejection::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
            Rejection::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Rejection::BodyBroken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Serves every request of clients.
pub struct ClientHandler(pub Arc<Node>);

#[salvo::async_trait]
impl Handler for ClientHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let node = &self.0;
        if request.uri().path() == platform::READY_PATH
            && node.settings.ready == node.settings.front
        {
            return ready(node, response);
        }
        let in_flight = node.track_request();
        let ask = match take_on(node, request).await {
            Ok(ask) => Arc::new(ask),
            Err(rejection) => return reject(node, request, response, rejection),
        };
        match forward::run(node, &ask).await {
            Ok(reply) => answer(node, &ask, response, reply, in_flight),
            Err(failure) => fail(node, &ask, response, failure),
        }
        if node.is_shutting_down() {
            close(response);
        }
    }
}

/// Answers the balancer.
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
        ready(&self.0, response);
    }
}

/// Serves metrics as text.
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

fn ready(node: &Node, response: &mut Response) {
    let status = if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response.status_code(status);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

async fn take_on(node: &Node, request: &mut Request) -> Result<ClientRequest, Rejection> {
    let received = Instant::now();
    let suspended = clock::suspended();
    let view = node.view();
    let catalog = view.catalog.as_ref().ok_or(Rejection::NotReady)?;
    check_header(catalog, request)?;
    let head = Head::read(request.headers());
    let path = request.uri().path();
    let route = catalog.route(&head.host, path).ok_or(Rejection::NoRoute)?;
    let workspace = workspace(catalog, route, head.key.as_deref())?;
    let target = request.uri().path_and_query();
    let target = target.map_or("/", |it| it.as_str()).to_owned();
    let timeout = head.deadline.unwrap_or(BODY_TIMEOUT);
    let body_max = catalog.limits.map_or(usize::MAX, |it| it.body_bytes);
    let body = tokio::time::timeout(timeout, body(request, body_max))
        .await
        .map_err(|_| Rejection::BodyTimeout)??;
    let name = workspace.as_ref().map_or("", |it| it.name.as_str());
    let fingerprint = hash::of([target.as_bytes(), name.as_bytes(), &body[..]]);
    let priority = workspace.as_ref().and_then(|it| it.priority);
    Ok(ClientRequest {
        request: head.request.clone().unwrap_or_default(),
        method: request.method().clone(),
        target,
        headers: request.headers().clone(),
        body,
        priority: priority.unwrap_or(route.priority),
        route: route.clone(),
        workspace,
        has_keys: catalog.workspaces.is_some(),
        received,
        suspended,
        fingerprint: id::Fingerprint(fingerprint),
        stop: node.stop(),
        head,
    })
}

fn check_header(catalog: &Catalog, request: &Request) -> Result<(), Rejection> {
    let headers = request.headers().iter();
    let sizes = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let size = sizes.sum::<usize>() + request.uri().path().len();
    let limit = catalog.limits.map_or(usize::MAX, |it| it.header_bytes);
    if size > limit {
        return Err(Rejection::HeaderTooLarge);
    }
    Ok(())
}

fn workspace(
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

async fn body(request: &mut Request, limit: usize) -> Result<Bytes, Rejection> {
    let stated = request.headers().get(header::CONTENT_LENGTH);
    let stated: Option<usize> = stated.and_then(|it| it.to_str().ok()?.parse().ok());
    if stated.is_some_and(|it| it > limit) {
        return Err(Rejection::BodyTooLarge);
    }
    let mut body = request.take_body();
    let mut bytes = BytesMut::with_capacity(stated.unwrap_or(0));
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| Rejection::BodyBroken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Rejection::BodyTooLarge);
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}

fn answer(
    node: &Arc<Node>,
    ask: &ClientRequest,
    response: &mut Response,
    reply: Reply,
    in_flight: crate::state::InFlightGuard,
) {
    let took = ask.received.elapsed();
    let status = reply.status;
    slog::info!(node.logger(), "answered"; "request" => &ask.request, "status" => status.as_u16(),
        "route" => &ask.route.name, "took_ms" => took.as_millis() as u64);
    node.telemetry.count_of("answers", status.as_str(), 1);
    node.telemetry
        .time_ms("answers.time", took.as_millis() as u64);
    response.status_code(status);
    *response.headers_mut() = reply.headers;
    match reply.body {
        Body::Whole(bytes) => {
            response.replace_body(salvo::http::ResBody::Once(bytes));
        }
        Body::Events(mut relay) => {
            relay.hold(in_flight);
            response.stream(relay.into_stream());
        }
    }
}

fn fail(node: &Node, ask: &ClientRequest, response: &mut Response, failure: Failure) {
    let status = status(&failure);
    let took = ask.received.elapsed();
    slog::info!(node.logger(), "failed"; "request" => &ask.request, "status" => status.as_u16(),
        "cause" => %failure.cause, "executed" => %failure.executed, "route" => &ask.route.name,
        "took_ms" => took.as_millis() as u64, "left_ms" => ask.left().as_millis() as u64);
    node.telemetry.count_of("failures", failure.cause.into(), 1);
    response.status_code(status);
    if let Some(retry_after) = failure.retry_after {
        set_retry_after(response, retry_after);
    }
    echo(response, &ask.request);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

fn status(failure: &Failure) -> StatusCode {
    match (failure.executed, failure.cause) {
        (Executed::No, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Cause::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn reject(node: &Node, request: &Request, response: &mut Response, rejection: Rejection) {
    let head = Head::read(request.headers());
    let id = head.request.unwrap_or_default();
    let status = rejection.status();
    let view = node.view();
    let version = view.catalog.as_ref().map(|it| it.version);
    slog::info!(node.logger(), "rejected"; "request" => &id, "status" => status.as_u16(),
        "reason" => %rejection, "host" => head.host, "path" => request.uri().path(),
        "config_version" => version);
    node.telemetry.count_of("rejections", rejection.into(), 1);
    response.status_code(status);
    if rejection == Rejection::NotReady {
        set_retry_after(response, NOT_READY_RETRY);
    }
    let is_unread = matches!(
        rejection,
        Rejection::BodyTooLarge | Rejection::BodyTimeout | Rejection::BodyBroken
    );
    if is_unread || node.is_shutting_down() {
        close(response);
    }
    echo(response, &id);
    response.replace_body(salvo::http::ResBody::Once(Bytes::new()));
}

fn echo(response: &mut Response, request: &str) {
    if let Ok(value) = HeaderValue::from_str(request) {
        platform::front::echo(response.headers_mut(), value);
    }
}

fn close(response: &mut Response) {
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn set_retry_after(response: &mut Response, retry_after: Duration) {
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
