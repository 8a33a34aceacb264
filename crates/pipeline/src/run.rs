//! One request from its admission to its outcome, and the runner that serves them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Executed;
use base::id;
use base::rate::Bucket;
use bon::bon;
use claims::Book;
use claims::book::Found;
use claims::row::Name;
use config::model;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::Value;
use serde_json::json;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::dispatch::Body;
use wire::peer::Peer;

use crate::generate::Prompt;
use crate::life::Closed;
use crate::life::Life;
use crate::life::Received;
use crate::life::Sending;
use crate::outcome::Answer;
use crate::outcome::FailedReason;
use crate::outcome::NotRunReason;
use crate::outcome::Outcome;
use crate::outcome::Recorded;
use crate::route::Knowledge;
use crate::route::Options;
use crate::stage;
use crate::stage::Cost;
use crate::stage::Stage;
use crate::view::View;

const DEFAULT_MAX_TOKENS: u32 = 256;
const RETRY_AFTER_NOT_READY: Duration = Duration::from_secs(1);
const RETRY_AFTER_MISTAKE: Duration = Duration::from_secs(60);
const RETRY_AFTER_QUARANTINE: Duration = Duration::from_secs(600);
const RETRY_AFTER_RATE: Duration = Duration::from_secs(1);
const RETRY_AFTER_DEADLINE: Duration = Duration::from_secs(1);
/// Largest part of a later stage's time, over its typical time, that is kept back for it.
const RESERVE_FACTOR: f64 = 2.0;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Joins its events.
    pub trace: id::Trace,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Pipeline to run.
    pub pipeline: id::Pipeline,
    /// Idempotency key.
    pub key: Option<id::Key>,
    /// Input of the pipeline.
    pub input: Value,
    /// Most tokens of each generation.
    pub max_tokens: Option<u32>,
    /// Deadline that the caller names; the pipeline's is the longest.
    pub deadline: Option<Duration>,
}

/// Runs requests on one instance.
pub struct Runner {
    pub(crate) peer: Arc<dyn Peer>,
    pub(crate) book: Book,
    pub(crate) telemetry: Telemetry,
    pub(crate) zone: id::Zone,
    pub(crate) options: Options,
    view: watch::Receiver<Arc<View>>,
    knowledge: Mutex<Knowledge>,
    rates: Mutex<BTreeMap<id::Workspace, (Bucket, Instant)>>,
    tallies: Mutex<BTreeMap<(id::Service, Cost), u64>>,
    stopping: watch::Sender<bool>,
    busy: watch::Sender<u64>,
}

/// Counts a request or background task for as long as it lives.
struct Busy(watch::Sender<u64>);

impl Busy {
    fn new(count: &watch::Sender<u64>) -> Busy {
        count.send_modify(|busy| *busy += 1);
        Busy(count.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.send_modify(|busy| *busy -= 1);
    }
}

/// Result of one stage, and how it came about.
struct Done {
    idx: usize,
    result: Result<Value, stage::Error>,
    is_replayed: bool,
}

/// What is known of a running request.
struct Course {
    results: BTreeMap<id::Stage, Value>,
    is_replayed: bool,
    /// Non-idempotent stages that have not completed.
    once_left: usize,
    has_once: bool,
}

#[bon]
impl Runner {
    /// A runner that follows `view`.
    #[builder]
    pub fn new(
        peer: Arc<dyn Peer>,
        book: Book,
        telemetry: Telemetry,
        zone: id::Zone,
        view: watch::Receiver<Arc<View>>,
        seed: u64,
        #[builder(default)] options: Options,
    ) -> Runner {
        Runner {
            peer,
            book,
            telemetry,
            zone,
            options,
            view,
            knowledge: Mutex::new(Knowledge::new(seed)),
            rates: Mutex::default(),
            tallies: Mutex::default(),
            stopping: watch::Sender::new(false),
            busy: watch::Sender::new(0),
        }
    }
}

impl Runner {
    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    pub(crate) fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }

    /// Attempts by service and what they were good for.
    #[must_use]
    pub fn costs(&self) -> BTreeMap<(id::Service, Cost), u64> {
        lock(&self.tallies).clone()
    }

    pub(crate) fn tally(&self, service: &id::Service, cost: Cost) {
        let mut tallies = lock(&self.tallies);
        *tallies.entry((service.clone(), cost)).or_default() += 1;
    }

    /// Requests and background work that have not ended.
    #[must_use]
    pub fn busy(&self) -> u64 {
        *self.busy.borrow()
    }

    /// Refuses new requests from now on.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Completes when no request and no background work is left.
    pub async fn idle(&self) {
        let mut busy = self.busy.subscribe();
        // The sender lives as long as this runner.
        let _ = busy.wait_for(|busy| *busy == 0).await;
    }

    /// Runs work that outlives its request; a graceful stop waits for it.
    pub(crate) fn in_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let busy = Busy::new(&self.busy);
        tokio::spawn(async move {
            work.await;
            drop(busy);
        });
    }

    /// Runs one request. Tokens of the last stage go to `output` as they come; a receiver that is
    /// dropped cancels what may be cancelled.
    pub async fn run(
        self: &Arc<Runner>,
        request: Request,
        output: Option<mpsc::Sender<String>>,
    ) -> Outcome {
        let _busy = Busy::new(&self.busy);
        let start = Instant::now();
        let trace = request.trace;
        let event = Event::new(Kind::Received)
            .trace(trace)
            .with("pipeline", &request.pipeline)
            .with("workspace", &request.workspace);
        self.telemetry.event(event);
        let outcome = self.serve(request, output).await;
        self.report(trace, start, &outcome);
        outcome
    }

    fn report(&self, trace: id::Trace, start: Instant, outcome: &Outcome) {
        let elapsed = start.elapsed().as_millis() as u64;
        let (event, metric) = match outcome {
            Outcome::Answered(answer) => {
                let event = Event::new(Kind::Answered).with("replayed", answer.is_replayed);
                (event, "requests.answered")
            }
            Outcome::NotRun(refusal) => {
                let event = Event::new(Kind::Refused).with("reason", refusal.reason());
                (event, "requests.not_run")
            }
            Outcome::Failed(failed) => {
                let event = Event::new(Kind::Failed)
                    .with("reason", failed.reason)
                    .with("executed", failed.executed);
                (event, "requests.failed")
            }
        };
        self.telemetry.event(event.trace(trace));
        self.telemetry.count(metric, 1);
        self.telemetry.time_ms("requests.time", elapsed);
    }

    async fn serve(
        self: &Arc<Runner>,
        request: Request,
        output: Option<mpsc::Sender<String>>,
    ) -> Outcome {
        let view = self.view();
        let life = Life::<Received>::new();
        let pipeline = match self.admit(&view, &request) {
            Ok(pipeline) => pipeline,
            Err((reason, retry_after)) => {
                return Outcome::NotRun(life.refuse(reason, retry_after));
            }
        };
        let deadline = pipeline
            .deadline
            .min(request.deadline.unwrap_or(pipeline.deadline));
        let deadline = Instant::now() + deadline;
        let life = life.admit();
        let has_once = has_once(&view, &pipeline);
        let mut course = Course {
            results: BTreeMap::new(),
            is_replayed: false,
            once_left: count_once(&view, &pipeline),
            has_once,
        };
        let stages = Stages {
            runner: self,
            view: &view,
            pipeline: &pipeline,
            request: &request,
            deadline,
            sending: life.sending(),
            output,
        };
        let run = stages.run(&mut course);
        let ended = match tokio::time::timeout_at(deadline, run).await {
            Ok(ended) => ended,
            Err(_) => Err(stage::Error::Deadline),
        };
        match ended {
            Ok(result) => Outcome::Answered(Answer {
                result,
                is_replayed: course.is_replayed,
            }),
            Err(err) => conclude(life, err, &course),
        }
    }

    /// Checks everything that can be checked before the first stage.
    fn admit(
        &self,
        view: &View,
        request: &Request,
    ) -> Result<model::Pipeline, (NotRunReason, Duration)> {
        if *self.stopping.borrow() {
            return Err((NotRunReason::Stopping, RETRY_AFTER_NOT_READY));
        }
        if !view.is_ready() {
            return Err((NotRunReason::NotReady, RETRY_AFTER_NOT_READY));
        }
        let deployment = &view.snapshot.deployment;
        let pipeline = deployment
            .pipelines
            .get(&request.pipeline)
            .ok_or((NotRunReason::UnknownPipeline, RETRY_AFTER_MISTAKE))?;
        let workspace = deployment
            .workspaces
            .get(&request.workspace)
            .ok_or((NotRunReason::UnknownWorkspace, RETRY_AFTER_MISTAKE))?;
        if request.key.is_none() && has_once(view, pipeline) {
            return Err((NotRunReason::MissingKey, RETRY_AFTER_MISTAKE));
        }
        if view.quarantine.contains(&fingerprint(request)) {
            return Err((NotRunReason::Quarantined, RETRY_AFTER_QUARANTINE));
        }
        let deadline = request.deadline.unwrap_or(pipeline.deadline);
        if deadline < typical_time(view, pipeline) {
            return Err((NotRunReason::DeadlineTooShort, RETRY_AFTER_DEADLINE));
        }
        if !self.takes_rate(workspace) {
            return Err((NotRunReason::RateLimited, RETRY_AFTER_RATE));
        }
        Ok(pipeline.clone())
    }

    fn takes_rate(&self, workspace: &model::Workspace) -> bool {
        let now = Instant::now();
        let mut rates = lock(&self.rates);
        let burst = workspace.rate.per_second().max(1.0);
        let (bucket, refilled) = rates
            .entry(workspace.name.clone())
            .or_insert_with(|| (Bucket::new(burst), now));
        bucket.refill(workspace.rate, now.duration_since(*refilled));
        *refilled = now;
        bucket.take()
    }

    /// What is recorded under an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails as the table does.
    pub async fn recorded(
        &self,
        workspace: &id::Workspace,
        pipeline: &id::Pipeline,
        key: &id::Key,
    ) -> Result<Recorded, table::Error> {
        let view = self.view();
        let Some(model) = view.snapshot.deployment.pipelines.get(pipeline) else {
            return Ok(Recorded::NotRun);
        };
        let mut recorded = Recorded::NotRun;
        for stage in once_stages(&view, model) {
            let name = Name {
                workspace: workspace.clone(),
                pipeline: pipeline.clone(),
                key: key.clone(),
                stage: stage.name.clone(),
            };
            recorded = match self.book.look(&name).await? {
                None => recorded,
                Some(Found::Answered(answer)) => Recorded::Answered(answer),
                Some(Found::Running(holder)) if view.is_live(&holder) => Recorded::Running,
                Some(_) => Recorded::Unknown,
            };
        }
        Ok(recorded)
    }
}

/// The running stages of one request.
struct Stages<'a> {
    runner: &'a Arc<Runner>,
    view: &'a Arc<View>,
    pipeline: &'a model::Pipeline,
    request: &'a Request,
    deadline: Instant,
    sending: Sending,
    output: Option<mpsc::Sender<String>>,
}

impl Stages<'_> {
    /// Runs every stage as soon as those it needs are done; gives the last one's result.
    async fn run(&self, course: &mut Course) -> Result<Value, stage::Error> {
        let mut running = FuturesUnordered::new();
        let mut started = vec![false; self.pipeline.stages.len()];
        loop {
            for (idx, stage) in self.pipeline.stages.iter().enumerate() {
                let is_ready = stage.needs.iter().all(|it| course.results.contains_key(it));
                if !started[idx] && is_ready {
                    started[idx] = true;
                    let needs = needed(stage, &course.results);
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
            course.is_replayed |= done.is_replayed;
            if is_once(self.view, stage) {
                course.once_left -= 1;
            }
            if done.idx + 1 == self.pipeline.stages.len() {
                return Ok(result);
            }
            course.results.insert(stage.name.clone(), result);
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
            fingerprint: fingerprint(self.request),
            workspace: self.request.workspace.clone(),
            priority: self.pipeline.priority,
            name: stage.name.clone(),
            service: service.clone(),
            deadline: self.deadline - self.reserve(stage),
            sending: self.sending.clone(),
            crashes: Arc::default(),
        };
        let mut is_replayed = false;
        let result = match (service.kind, service.idempotent) {
            (model::Kind::Plain, true) => running
                .run_idempotent(self.plain_body(needs))
                .await
                .map(|text| parse(&text)),
            (model::Kind::Plain, false) => {
                let execution = self.once(running, needs).await;
                is_replayed = execution.as_ref().is_ok_and(|it| it.is_replayed);
                execution.map(|it| parse(&it.answer))
            }
            (model::Kind::Engine, _) => {
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
    async fn once(
        &self,
        running: Stage,
        needs: Value,
    ) -> Result<crate::once::Execution, stage::Error> {
        let Some(key) = self.request.key.clone() else {
            return Err(stage::Error::Refused(
                NotRunReason::MissingKey,
                RETRY_AFTER_MISTAKE,
            ));
        };
        let name = Name {
            workspace: self.request.workspace.clone(),
            pipeline: self.pipeline.name.clone(),
            key,
            stage: running.name.clone(),
        };
        let digest = base::hash::of_strs([self.request.input.to_string().as_str()]);
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
            Err(stage::Error::Broken(
                Executed::Unknown,
                RETRY_AFTER_DEADLINE,
            ))
        })
    }

    fn plain_body(&self, needs: Value) -> Body {
        let key = self.request.key.as_ref().map(id::Key::as_str);
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
        let most = service.typical.mul_f64(RESERVE_FACTOR);
        measured.unwrap_or(service.typical).min(most)
    }
}

/// Turns a stage's failure into what the caller learns.
fn conclude(life: Life<crate::life::Admitted>, err: stage::Error, course: &Course) -> Outcome {
    if let stage::Error::Broken(..) = err {
        life.sending().mark();
    }
    let is_done = course.has_once && course.once_left == 0;
    let executed = if is_done {
        Executed::Yes
    } else {
        Executed::Unknown
    };
    match life.close() {
        Closed::Unsent(life) => {
            let (reason, retry_after) = match err {
                stage::Error::Refused(reason, retry_after) => (reason, retry_after),
                _ => (NotRunReason::DeadlineTooShort, RETRY_AFTER_DEADLINE),
            };
            Outcome::NotRun(life.refuse(reason, retry_after))
        }
        Closed::Running(life) => {
            let (reason, retry_after) = match err {
                stage::Error::Refused(reason, retry_after) => {
                    (FailedReason::StageRefused(reason), retry_after)
                }
                stage::Error::Broken(_, retry_after) if course.has_once && !is_done => {
                    (FailedReason::OutcomeUnknown, retry_after)
                }
                stage::Error::Broken(_, retry_after) => (FailedReason::StageFailed, retry_after),
                stage::Error::Deadline => (FailedReason::Deadline, RETRY_AFTER_DEADLINE),
            };
            Outcome::Failed(life.fail(reason, executed, retry_after))
        }
    }
}

fn fingerprint(request: &Request) -> id::Fingerprint {
    let body = request.input.to_string();
    id::Fingerprint(base::hash::of_strs([
        request.workspace.as_str(),
        request.pipeline.as_str(),
        body.as_str(),
    ]))
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

fn is_once(view: &View, stage: &model::Stage) -> bool {
    let services = &view.snapshot.deployment.services;
    services
        .get(&stage.service)
        .is_some_and(|it| !it.idempotent)
}

fn once_stages<'a>(
    view: &View,
    pipeline: &'a model::Pipeline,
) -> impl Iterator<Item = &'a model::Stage> {
    pipeline.stages.iter().filter(move |it| is_once(view, it))
}

fn has_once(view: &View, pipeline: &model::Pipeline) -> bool {
    once_stages(view, pipeline).next().is_some()
}

fn count_once(view: &View, pipeline: &model::Pipeline) -> usize {
    once_stages(view, pipeline).count()
}

/// Typical time of the pipeline's longest path.
fn typical_time(view: &View, pipeline: &model::Pipeline) -> Duration {
    let services = &view.snapshot.deployment.services;
    let mut ends: BTreeMap<&id::Stage, Duration> = BTreeMap::new();
    for stage in &pipeline.stages {
        let starts = stage.needs.iter().filter_map(|it| ends.get(it));
        let start = starts.max().copied().unwrap_or_default();
        let typical = services.get(&stage.service).map(|it| it.typical);
        ends.insert(&stage.name, start + typical.unwrap_or_default());
    }
    ends.values().max().copied().unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
