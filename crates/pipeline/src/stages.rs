//! The stages of one request: their order, their inputs and their time.

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

use crate::generate::Prompt;
use crate::life::Sending;
use crate::once::Execution;
use crate::outcome::NotRunReason;
use crate::run::Request;
use crate::run::Runner;
use crate::shape;
use crate::stage;
use crate::stage::Stage;
use crate::view::View;

const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest part of a later stage's time, over its typical time, that is kept back for it.
const RESERVE_FACTOR: f64 = 2.0;
const RETRY_AFTER_MISTAKE: Duration = Duration::from_secs(60);
const RETRY_AFTER_PANIC: Duration = Duration::from_secs(1);

/// Result of one stage, and how it came about.
struct Done {
    idx: usize,
    result: Result<Value, stage::Error>,
    is_replayed: bool,
}

/// What is known of a running request.
pub(crate) struct Progress {
    pub(crate) results: BTreeMap<id::Stage, Value>,
    pub(crate) is_replayed: bool,
    /// Non-idempotent stages that have not completed.
    pub(crate) once_left: usize,
    pub(crate) has_once: bool,
}

/// The running stages of one request.
pub(crate) struct Stages<'a> {
    pub(crate) runner: &'a Arc<Runner>,
    pub(crate) view: &'a Arc<View>,
    pub(crate) pipeline: &'a model::Pipeline,
    pub(crate) request: &'a Request,
    pub(crate) deadline: Instant,
    pub(crate) sending: Sending,
    pub(crate) output: Option<mpsc::Sender<String>>,
}

impl Stages<'_> {
    /// Runs every stage as soon as those it needs are done; gives the last one's result.
    pub(crate) async fn run(&self, progress: &mut Progress) -> Result<Value, stage::Error> {
        let mut running = FuturesUnordered::new();
        let mut started = vec![false; self.pipeline.stages.len()];
        loop {
            for (idx, stage) in self.pipeline.stages.iter().enumerate() {
                let is_ready = stage
                    .needs
                    .iter()
                    .all(|it| progress.results.contains_key(it));
                if !started[idx] && is_ready {
                    started[idx] = true;
                    let needs = needed(stage, &progress.results);
                    running.push(self.stage(idx, stage, needs));
                }
            }
            let done = tokio::select! {
                biased;
                Some(done) = running.next() => done,
                () = self.abandoned() => return Err(stage::Error::Deadline),
                // Stages are in topological order, so one is always running.
                else => return Err(stage::Error::Deadline),
            };
            let stage = &self.pipeline.stages[done.idx];
            let result = done.result?;
            progress.is_replayed |= done.is_replayed;
            if shape::is_once(self.view, stage) {
                progress.once_left -= 1;
            }
            if done.idx + 1 == self.pipeline.stages.len() {
                return Ok(result);
            }
            progress.results.insert(stage.name.clone(), result);
        }
    }

    /// Completes when a streaming caller has gone.
    async fn abandoned(&self) {
        match &self.output {
            Some(output) => output.closed().await,
            None => std::future::pending().await,
        }
    }

    async fn stage(&self, idx: usize, stage: &model::Stage, needs: Value) -> Done {
        let service = self.view.snapshot.deployment.services.get(&stage.service);
        let Some(service) = service.cloned() else {
            // The configuration check rejects stages without a service.
            let result = Err(stage::Error::Refused(
                NotRunReason::NoUpstream,
                RETRY_AFTER_MISTAKE,
            ));
            return Done {
                idx,
                result,
                is_replayed: false,
            };
        };
        let running = Stage {
            runner: self.runner.clone(),
            view: self.view.clone(),
            trace: self.request.trace,
            fingerprint: shape::fingerprint(self.request),
            workspace: self.request.workspace.clone(),
            priority: self.pipeline.priority,
            name: stage.name.clone(),
            service: service.clone(),
            deadline: self.deadline - self.reserve(stage),
            sending: self.sending.clone(),
            crashes: Arc::default(),
        };
        let mut is_replayed = false;
        let result = match (service.protocol, service.idempotent) {
            (model::Protocol::Plain, true) => running
                .run_idempotent(self.plain_body(needs))
                .await
                .map(|text| parse(&text)),
            (model::Protocol::Plain, false) => {
                let execution = self.once(running, needs).await;
                is_replayed = execution.as_ref().is_ok_and(|it| it.is_replayed);
                execution.map(|it| parse(&it.answer))
            }
            (model::Protocol::Engine, _) => {
                let is_last = idx + 1 == self.pipeline.stages.len();
                let output = self.output.as_ref().filter(|_| is_last);
                let text = running.run_generate(self.prompt(&needs), output).await;
                text.map(Value::String)
            }
        };
        Done {
            idx,
            result,
            is_replayed,
        }
    }

    /// A non-idempotent stage runs on when its request is given up, so that its answer is recorded.
    async fn once(&self, running: Stage, needs: Value) -> Result<Execution, stage::Error> {
        let Some(key) = self.request.key.clone() else {
            return Err(stage::Error::Refused(
                NotRunReason::MissingKey,
                RETRY_AFTER_MISTAKE,
            ));
        };
        let name = ClaimKey {
            workspace: self.request.workspace.clone(),
            pipeline: self.pipeline.name.clone(),
            key,
            stage: running.name.clone(),
        };
        let digest = base::hash::hash_strs([self.request.input.to_string().as_str()]);
        let body = self.plain_body(needs);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let sending = running.sending.clone();
        self.runner.in_background(async move {
            let execution = running.run_once(name, digest, body).await;
            // A request that was given up does not take the result; it is recorded.
            let _ = sender.send(execution);
        });
        receiver.await.unwrap_or_else(|_| {
            // The task panicked; whether it sent anything is not known.
            sending.mark();
            Err(stage::Error::Broken(Executed::Unknown, RETRY_AFTER_PANIC))
        })
    }

    fn plain_body(&self, needs: Value) -> Body {
        let key = self.request.key.as_ref().map(id::IdempotencyKey::as_str);
        let body = json!({
            "workspace": self.request.workspace.as_str(),
            "input": self.request.input,
            "results": needs,
            "key": key,
        });
        Body::Plain(body.to_string())
    }

    fn prompt(&self, needs: &Value) -> Prompt {
        let text = match &self.request.input {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let has_needs = needs.as_object().is_some_and(|it| !it.is_empty());
        let text = match has_needs {
            true => format!("{text}\n\n{needs}"),
            false => text,
        };
        Prompt {
            text,
            max_tokens: self.request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        }
    }

    /// Time that the stages after `stage` need.
    fn reserve(&self, stage: &model::Stage) -> Duration {
        let followers = self.pipeline.stages.iter();
        let followers = followers.filter(|it| it.needs.contains(&stage.name));
        followers
            .map(|it| self.reserved_for(it) + self.reserve(it))
            .max()
            .unwrap_or_default()
    }

    fn reserved_for(&self, stage: &model::Stage) -> Duration {
        let services = &self.view.snapshot.deployment.services;
        let Some(service) = services.get(&stage.service) else {
            return Duration::ZERO;
        };
        let measured = self.runner.knowledge().latencies.p95(&service.name);
        let most = service.typical_duration.mul_f64(RESERVE_FACTOR);
        measured.unwrap_or(service.typical_duration).min(most)
    }
}

fn needed(stage: &model::Stage, results: &BTreeMap<id::Stage, Value>) -> Value {
    let mut needs = serde_json::Map::new();
    for need in &stage.needs {
        if let Some(result) = results.get(need) {
            needs.insert(need.to_string(), result.clone());
        }
    }
    Value::Object(needs)
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
