//! Routes, and what their handlers share.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::id;
use futures_util::StreamExt;
use pipeline::Outcome;
use pipeline::Recorded;
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

use crate::chat::Chat;
use crate::failure::BadRequest;
use crate::failure::Failure;
use crate::pipelines::Pipelines;

/// Largest request body in bytes.
const BODY_MAX: usize = 1024 * 1024;
/// Most bytes of an oversized body that are read and thrown away.
const DISCARD_MAX: usize = 16 * 1024 * 1024;
const WORKSPACE_HEADER: &str = "x-workspace";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const TRACE_HEADER: &str = "x-trace-id";

/// State shared by the handlers.
pub struct Gateway {
    /// Runs the requests.
    pub runner: Arc<Runner>,
    is_leaving: AtomicBool,
}

impl Gateway {
    /// A gateway over `runner`.
    #[must_use]
    pub fn new(runner: Arc<Runner>) -> Gateway {
        Gateway {
            runner,
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Tells the balancer to send no more requests; those that come are still served.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }
}

/// All routes of the gateway.
#[must_use]
pub fn router(gateway: Arc<Gateway>) -> Router {
    Router::new()
        .push(Router::with_path("v1/pipelines/{pipeline}").post(Pipelines(gateway.clone())))
        .push(Router::with_path("v1/chat/completions").post(Chat(gateway.clone())))
        .push(Router::with_path("v1/outcomes/{pipeline}/{key}").get(Outcomes(gateway.clone())))
        .push(Router::with_path("ready").get(Ready(gateway)))
}

struct Ready(Arc<Gateway>);

#[salvo::async_trait]
impl Handler for Ready {
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

struct Outcomes(Arc<Gateway>);

#[salvo::async_trait]
impl Handler for Outcomes {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.look(request).await {
            Ok(recorded) => response.render(Json(recorded_body(&recorded))),
            Err(failure) => failure.write(response),
        }
    }
}

impl Outcomes {
    async fn look(&self, request: &Request) -> Result<Recorded, Failure> {
        let workspace = workspace(request)?;
        let pipeline = path_part::<id::Pipeline>(request, "pipeline")?;
        let key = path_part::<id::IdempotencyKey>(request, "key")?;
        let recorded = self.0.runner.recorded(&workspace, &pipeline, &key).await?;
        Ok(recorded)
    }
}

fn recorded_body(recorded: &Recorded) -> serde_json::Value {
    match recorded {
        Recorded::Answered(answer) => {
            let value: serde_json::Value =
                serde_json::from_str(answer).unwrap_or_else(|_| json!(answer));
            json!({"outcome": "answered", "executed": "yes", "answer": value})
        }
        Recorded::NotRun => json!({"outcome": "not_run", "executed": "no"}),
        Recorded::Running => json!({"outcome": "running", "executed": "unknown"}),
        Recorded::Unknown => json!({"outcome": "unknown", "executed": "unknown"}),
    }
}

/// What the headers of a request say.
pub(crate) struct Head {
    pub(crate) trace: id::Trace,
    pub(crate) workspace: id::Workspace,
    pub(crate) key: Option<id::IdempotencyKey>,
    pub(crate) deadline: Option<Duration>,
}

impl Head {
    pub(crate) fn read(request: &Request) -> Result<Head, BadRequest> {
        let trace = optional_header::<id::Trace>(request, TRACE_HEADER)?;
        let millis = optional_header::<u64>(request, DEADLINE_HEADER)?;
        Ok(Head {
            trace: trace.unwrap_or_else(|| id::Trace::random(&mut rand::rng())),
            workspace: workspace(request)?,
            key: optional_header(request, KEY_HEADER)?,
            deadline: millis.map(Duration::from_millis),
        })
    }
}

/// The workspace, from its header or, for model clients, from the bearer token.
fn workspace(request: &Request) -> Result<id::Workspace, BadRequest> {
    if let Some(workspace) = optional_header(request, WORKSPACE_HEADER)? {
        return Ok(workspace);
    }
    let bad = BadRequest::BadHeader(WORKSPACE_HEADER);
    let authorization: Option<String> = optional_header(request, "authorization")?;
    let token = authorization
        .as_deref()
        .and_then(|it| it.strip_prefix("Bearer "));
    token.and_then(|it| it.parse().ok()).ok_or(bad)
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

pub(crate) fn path_part<T: FromStr>(request: &Request, name: &str) -> Result<T, BadRequest> {
    let text: Option<String> = request.param(name);
    let parsed = text.and_then(|it| it.parse().ok());
    parsed.ok_or(BadRequest::BadPath)
}

/// Reads a JSON body.
pub(crate) async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, BadRequest> {
    let length = request.headers().get("content-length");
    let length: Option<usize> = length.and_then(|it| it.to_str().ok()?.parse().ok());
    if length.is_some_and(|it| it > BODY_MAX) {
        discard(request).await;
        return Err(BadRequest::BodyTooLarge);
    }
    let bytes = request
        .payload_with_max_size(BODY_MAX)
        .await
        .map_err(|_| BadRequest::BodyTooLarge)?;
    serde_json::from_slice(bytes).map_err(|err| BadRequest::MalformedBody(err.to_string()))
}

/// Reads the rest of an oversized body, up to a limit: a caller that is still sending would not see
/// the answer.
async fn discard(request: &mut Request) {
    let mut body = request.take_body();
    let mut left = DISCARD_MAX;
    while let Some(Ok(frame)) = body.next().await {
        let length = frame.data_ref().map_or(0, |it| it.len());
        left = left.saturating_sub(length);
        if left == 0 {
            return;
        }
    }
}

/// The failure of an outcome that is not an answer.
pub(crate) fn answer(outcome: Outcome) -> Result<pipeline::Answer, Failure> {
    match outcome {
        Outcome::Answered(answer) => Ok(answer),
        Outcome::NotRun(refusal) => Err(Failure::from(&refusal)),
        Outcome::Failed(failed) => Err(Failure::from(&failed)),
    }
}
