//! HTTP routes, and request parsing shared by their handlers.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::id;
use futures_util::StreamExt;
use pipeline::Outcome;
use pipeline::RecordedOutcome;
use pipeline::Runner;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::chat::ChatHandler;
use crate::failure::BadRequest;
use crate::failure::ErrorResponse;
use crate::pipelines::PipelineHandler;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Most bytes of an oversized request body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
const WORKSPACE_HEADER: &str = "x-workspace";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const TRACE_HEADER: &str = "x-trace-id";

/// State shared by the handlers.
pub struct Gateway {
    /// Runs pipeline requests.
    pub runner: Arc<Runner>,
    is_leaving: AtomicBool,
}

impl Gateway {
    /// Creates a gateway that runs requests on `runner`.
    #[must_use]
    pub fn new(runner: Arc<Runner>) -> Gateway {
        Gateway {
            runner,
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Makes `GET /ready` fail, so that the load balancer sends no new requests. Requests that
    /// still arrive are served.
    pub fn fail_readiness(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }
}

/// Returns all routes of the gateway.
#[must_use]
pub fn router(gateway: Arc<Gateway>) -> Router {
    Router::new()
        .push(Router::with_path("v1/pipelines/{pipeline}").post(PipelineHandler(gateway.clone())))
        .push(Router::with_path("v1/chat/completions").post(ChatHandler(gateway.clone())))
        .push(
            Router::with_path("v1/outcomes/{pipeline}/{key}").get(OutcomeHandler(gateway.clone())),
        )
        .push(Router::with_path("ready").get(ReadinessHandler(gateway)))
}

/// `GET /ready`: readiness for the load balancer.
struct ReadinessHandler(Arc<Gateway>);

#[salvo::async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let is_leaving = self.0.is_leaving.load(Ordering::Acquire);
        let view = self.0.runner.view();
        let is_ready = !is_leaving && view.is_ready();
        if !is_ready {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        response.render(Json(json!({
            "ready": is_ready,
            "config_version": view.snapshot.version,
        })));
    }
}

/// `GET /v1/outcomes/{pipeline}/{key}`: the recorded outcome of a request by its idempotency key.
struct OutcomeHandler(Arc<Gateway>);

#[salvo::async_trait]
impl Handler for OutcomeHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.lookup(request).await {
            Ok(recorded) => response.render(Json(recorded_body(&recorded))),
            Err(error) => error.write(response),
        }
    }
}

impl OutcomeHandler {
    async fn lookup(&self, request: &Request) -> Result<RecordedOutcome, ErrorResponse> {
        let workspace = workspace(request)?;
        let pipeline = path_param::<id::Pipeline>(request, "pipeline")?;
        let key = path_param::<id::IdempotencyKey>(request, "key")?;
        let recorded = self
            .0
            .runner
            .recorded_outcome(&workspace, &pipeline, &key)
            .await?;
        Ok(recorded)
    }
}

fn recorded_body(recorded: &RecordedOutcome) -> serde_json::Value {
    match recorded {
        RecordedOutcome::Answered(answer) => {
            let value: serde_json::Value =
                serde_json::from_str(answer).unwrap_or_else(|_| json!(answer));
            json!({"outcome": "answered", "executed": "yes", "answer": value})
        }
        RecordedOutcome::NotRun => json!({"outcome": "not_run", "executed": "no"}),
        RecordedOutcome::Running => json!({"outcome": "running", "executed": "unknown"}),
        RecordedOutcome::Unknown => json!({"outcome": "unknown", "executed": "unknown"}),
    }
}

/// Values from the headers of a request.
pub(crate) struct RequestHeaders {
    pub(crate) trace: id::Trace,
    pub(crate) workspace: id::Workspace,
    pub(crate) key: Option<id::IdempotencyKey>,
    pub(crate) deadline: Option<Duration>,
}

impl RequestHeaders {
    pub(crate) fn parse(request: &Request) -> Result<RequestHeaders, BadRequest> {
        let trace = optional_header::<id::Trace>(request, TRACE_HEADER)?;
        let millis = optional_header::<u64>(request, DEADLINE_HEADER)?;
        Ok(RequestHeaders {
            trace: trace.unwrap_or_else(|| id::Trace::random(&mut rand::rng())),
            workspace: workspace(request)?,
            key: optional_header(request, IDEMPOTENCY_KEY_HEADER)?,
            deadline: millis.map(Duration::from_millis),
        })
    }
}

/// Returns the workspace, from its header or, for chat API clients, from the bearer token.
fn workspace(request: &Request) -> Result<id::Workspace, BadRequest> {
    if let Some(workspace) = optional_header(request, WORKSPACE_HEADER)? {
        return Ok(workspace);
    }
    let bad_request = BadRequest::BadHeader(WORKSPACE_HEADER);
    let authorization: Option<String> = optional_header(request, "authorization")?;
    let token = authorization
        .as_deref()
        .and_then(|it| it.strip_prefix("Bearer "));
    token.and_then(|it| it.parse().ok()).ok_or(bad_request)
}

fn optional_header<T: FromStr>(
    request: &Request,
    name: &'static str,
) -> Result<Option<T>, BadRequest> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadRequest::BadHeader(name))?;
    let parsed = text.parse().map_err(|_| BadRequest::BadHeader(name))?;
    Ok(Some(parsed))
}

pub(crate) fn path_param<T: FromStr>(request: &Request, name: &str) -> Result<T, BadRequest> {
    let text: Option<String> = request.param(name);
    let parsed = text.and_then(|it| it.parse().ok());
    parsed.ok_or(BadRequest::BadPath)
}

/// Reads and parses a JSON request body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, BadRequest> {
    let length = request.headers().get("content-length");
    let length: Option<usize> = length.and_then(|it| it.to_str().ok()?.parse().ok());
    if length.is_some_and(|it| it > MAX_BODY_BYTES) {
        discard_body(request).await;
        return Err(BadRequest::BodyTooLarge);
    }
    let bytes = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|_| BadRequest::BodyTooLarge)?;
    serde_json::from_slice(bytes).map_err(|err| BadRequest::MalformedBody(err.to_string()))
}

/// Reads and discards up to [`MAX_DISCARDED_BYTES`] of an oversized body: a caller that is still
/// sending its body would not see the response.
async fn discard_body(request: &mut Request) {
    let mut body = request.take_body();
    let mut remaining = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.next().await {
        let length = frame.data_ref().map_or(0, |it| it.len());
        remaining = remaining.saturating_sub(length);
        if remaining == 0 {
            return;
        }
    }
}

/// Returns the answer, or the error response of a request that was refused or has failed.
pub(crate) fn into_answer(outcome: Outcome) -> Result<pipeline::Answer, ErrorResponse> {
    match outcome {
        Outcome::Answered(answer) => Ok(answer),
        Outcome::NotRun(refusal) => Err(ErrorResponse::from(&refusal)),
        Outcome::Failed(failure) => Err(ErrorResponse::from(&failure)),
    }
}
