//! Runs the stages of one request: order, inputs and deadline of each stage.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::Executed;
use base::id;
use claims::row::ClaimKey;
use config::model;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::dispatch::Body;

use crate::at_most_once::Execution;
use crate::generate::Prompt;
use crate::lifecycle::SendTracker;
use crate::outcome::NotRunReason;
use crate::properties;
use crate::run::Request;
use crate::run::Runner;
use crate::stage;
use crate::stage::StageRun;
use crate::view::View;

const DEFAULT_MAX_TOKENS: u32 = 256;
/// Upper bound of the time reserved for a later stage, as a multiple of its typical duration.
const RESERVE_TYPICAL_FACTOR_MAX: f64 = 2.0;
const RETRY_AFTER_INVALID_REQUEST: Duration = Duration::from_secs(60);
const RETRY_AFTER_PANIC: Duration = Duration::from_secs(1);

/// A stage that has ended, by its index in the pipeline.
struct FinishedStage {
    idx: usize,
    result: Result<Value, stage::Error>,
    is_replayed: bool,
}

/// Stage results of a running request.
pub(crate) struct RequestProgress {
    pub(crate) results: BTreeMap<id::Stage, Value>,
    pub(crate) is_replayed: bool,
    /// Number of non-idempotent stages that have not completed.
    pub(crate) non_idempotent_stages_left: usize,
    pub(crate) has_non_idempotent_stage: bool,
}

/// One run of a pipeline, for one request.
pub(crate) struct PipelineRun<'a> {
    pub(crate) runner: &'a Arc<Runner>,
    pub(crate) view: &'a Arc<View>,
    pub(crate) pipeline: &'a model::Pipeline,
    pub(crate) request: &'a Request,
    pub(crate) deadline: Instant,
    pub(crate) send_tracker: SendTracker,
    pub(crate) output: Option<mpsc::Sender<String>>,
}

impl PipelineRun<'_> {
    /// Starts each stage as soon as the stages it needs have completed, and returns the result of
    /// the last one.
    pub(crate) async fn run(&self, progress: &mut RequestProgress) -> Result<Value, stage::Error> {
        let mut running_stages = FuturesUnordered::new();
        let mut started = vec![false; self.pipeline.stages.len()];
        loop {
            for (idx, stage) in self.pipeline.stages.iter().enumerate() {
                let is_ready = stage
                    .needs
                    .iter()
                    .all(|it| progress.results.contains_key(it));
                if !started[idx] && is_ready {
                    started[idx] = true;
                    let needed_results = collect_needed_results(stage, &progress.results);
                    running_stages.push(self.run_stage(idx, stage, needed_results));
                }
            }
            let finished = tokio::select! {
                biased;
                Some(finished) = running_stages.next() => finished,
                () = self.caller_gone() => return Err(stage::Error::Deadline),
                // Unreachable: stages are in topological order, so at least one is always running.
                else => return Err(stage::Error::Deadline),
            };
            let stage = &self.pipeline.stages[finished.idx];
            let result = finished.result?;
            progress.is_replayed |= finished.is_replayed;
            if properties::is_non_idempotent(self.view, stage) {
                progress.non_idempotent_stages_left -= 1;
            }
            if finished.idx + 1 == self.pipeline.stages.len() {
                return Ok(result);
            }
            progress.results.insert(stage.name.clone(), result);
        }
    }

    /// Waits until a streaming caller has disconnected; never completes without streaming.
    async fn caller_gone(&self) {
        match &self.output {
            Some(output) => output.closed().await,
            None => std::future::pending().await,
        }
    }

    async fn run_stage(
        &self,
        idx: usize,
        stage: &model::Stage,
        needed_results: Value,
    ) -> FinishedStage {
        let service = self.view.snapshot.deployment.services.get(&stage.service);
        let Some(service) = service.cloned() else {
            // The validation of the configuration rejects stages without a service.
            let result = Err(stage::Error::Refused(
                NotRunReason::NoUpstream,
                RETRY_AFTER_INVALID_REQUEST,
            ));
            return FinishedStage {
                idx,
                result,
                is_replayed: false,
            };
        };
        let stage_run = StageRun {
            runner: self.runner.clone(),
            view: self.view.clone(),
            trace: self.request.trace,
            fingerprint: properties::fingerprint(self.request),
            workspace: self.request.workspace.clone(),
            priority: self.pipeline.priority,
            name: stage.name.clone(),
            service: service.clone(),
            deadline: self.deadline - self.reserved_time_after(stage),
            send_tracker: self.send_tracker.clone(),
            crashes: Arc::default(),
        };
        let mut is_replayed = false;
        let result = match (service.protocol, service.idempotent) {
            (model::Protocol::Plain, true) => stage_run
                .run_idempotent(self.plain_body(needed_results))
                .await
                .map(|text| parse_json_or_string(&text)),
            (model::Protocol::Plain, false) => {
                let execution = self.run_non_idempotent(stage_run, needed_results).await;
                is_replayed = execution.as_ref().is_ok_and(|it| it.is_replayed);
                execution.map(|it| parse_json_or_string(&it.answer))
            }
            (model::Protocol::Engine, _) => {
                let is_last = idx + 1 == self.pipeline.stages.len();
                let output = self.output.as_ref().filter(|_| is_last);
                let text = stage_run
                    .run_generate(self.prompt(&needed_results), output)
                    .await;
                text.map(Value::String)
            }
        };
        FinishedStage {
            idx,
            result,
            is_replayed,
        }
    }

    /// Runs a non-idempotent stage in the background, so that it continues and its answer is
    /// recorded even if its request is cancelled.
    async fn run_non_idempotent(
        &self,
        stage_run: StageRun,
        needed_results: Value,
    ) -> Result<Execution, stage::Error> {
        let Some(key) = self.request.key.clone() else {
            return Err(stage::Error::Refused(
                NotRunReason::MissingKey,
                RETRY_AFTER_INVALID_REQUEST,
            ));
        };
        let claim_key = ClaimKey {
            workspace: self.request.workspace.clone(),
            pipeline: self.pipeline.name.clone(),
            key,
            stage: stage_run.name.clone(),
        };
        let input_digest = base::hash::hash_strs([self.request.input.to_string().as_str()]);
        let body = self.plain_body(needed_results);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let send_tracker = stage_run.send_tracker.clone();
        self.runner.in_background(async move {
            let execution = stage_run
                .run_at_most_once(claim_key, input_digest, body)
                .await;
            // A cancelled request does not receive the result, but it has been recorded.
            let _ = sender.send(execution);
        });
        receiver.await.unwrap_or_else(|_| {
            // The task has panicked; it may have sent the stage.
            send_tracker.mark_sent();
            Err(stage::Error::AttemptsFailed(
                Executed::Unknown,
                RETRY_AFTER_PANIC,
            ))
        })
    }

    fn plain_body(&self, needed_results: Value) -> Body {
        let key = self.request.key.as_ref().map(id::IdempotencyKey::as_str);
        let body = json!({
            "workspace": self.request.workspace.as_str(),
            "input": self.request.input,
            "results": needed_results,
            "key": key,
        });
        Body::Plain(body.to_string())
    }

    fn prompt(&self, needed_results: &Value) -> Prompt {
        let text = match &self.request.input {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let has_results = needed_results.as_object().is_some_and(|it| !it.is_empty());
        let text = match has_results {
            true => format!("{text}\n\n{needed_results}"),
            false => text,
        };
        Prompt {
            text,
            max_tokens: self.request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        }
    }

    /// Time reserved for the stages that depend on `stage`, along their longest path.
    fn reserved_time_after(&self, stage: &model::Stage) -> Duration {
        let dependents = self.pipeline.stages.iter();
        let dependents = dependents.filter(|it| it.needs.contains(&stage.name));
        dependents
            .map(|it| self.reserved_time(it) + self.reserved_time_after(it))
            .max()
            .unwrap_or_default()
    }

    fn reserved_time(&self, stage: &model::Stage) -> Duration {
        let services = &self.view.snapshot.deployment.services;
        let Some(service) = services.get(&stage.service) else {
            return Duration::ZERO;
        };
        let measured = self.runner.routing_state().latencies.p95(&service.name);
        let reserved_time_max = service.typical_duration.mul_f64(RESERVE_TYPICAL_FACTOR_MAX);
        measured
            .unwrap_or(service.typical_duration)
            .min(reserved_time_max)
    }
}

fn collect_needed_results(stage: &model::Stage, results: &BTreeMap<id::Stage, Value>) -> Value {
    let mut needed_results = serde_json::Map::new();
    for need in &stage.needs {
        if let Some(result) = results.get(need) {
            needed_results.insert(need.to_string(), result.clone());
        }
    }
    Value::Object(needed_results)
}

fn parse_json_or_string(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
