//! One request from its admission to its outcome, and the runner that serves them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Executed;
use base::id;
use base::rate::TokenBucket;
use bon::bon;
use claims::Registry;
use claims::registry::ClaimOutcome;
use claims::row::ClaimKey;
use config::model;
use serde_json::Value;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::peer::Peer;

use crate::life::Admitted;
use crate::life::Closed;
use crate::life::Life;
use crate::life::Received;
use crate::outcome::Answer;
use crate::outcome::FailureReason;
use crate::outcome::NotRunReason;
use crate::outcome::Outcome;
use crate::outcome::RecordedOutcome;
use crate::route::Knowledge;
use crate::route::Options;
use crate::shape;
use crate::stage;
use crate::stage::AttemptCost;
use crate::stages::Progress;
use crate::stages::Stages;
use crate::view::View;

const RETRY_AFTER_NOT_READY: Duration = Duration::from_secs(1);
const RETRY_AFTER_MISTAKE: Duration = Duration::from_secs(60);
const RETRY_AFTER_QUARANTINE: Duration = Duration::from_secs(600);
const RETRY_AFTER_RATE: Duration = Duration::from_secs(1);
const RETRY_AFTER_DEADLINE: Duration = Duration::from_secs(1);

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
    pub key: Option<id::IdempotencyKey>,
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
    pub(crate) registry: Registry,
    pub(crate) telemetry: Telemetry,
    pub(crate) zone: id::Zone,
    pub(crate) options: Options,
    view: watch::Receiver<Arc<View>>,
    knowledge: Mutex<Knowledge>,
    rates: Mutex<BTreeMap<id::Workspace, (TokenBucket, Instant)>>,
    tallies: Mutex<BTreeMap<(id::Service, AttemptCost), u64>>,
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

#[bon]
impl Runner {
    /// A runner that follows `view`.
    #[builder]
    pub fn new(
        peer: Arc<dyn Peer>,
        registry: Registry,
        telemetry: Telemetry,
        zone: id::Zone,
        view: watch::Receiver<Arc<View>>,
        seed: u64,
        #[builder(default)] options: Options,
    ) -> Runner {
        Runner {
            peer,
            registry,
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
    pub fn attempt_costs(&self) -> BTreeMap<(id::Service, AttemptCost), u64> {
        lock(&self.tallies).clone()
    }

    pub(crate) fn tally(&self, service: &id::Service, cost: AttemptCost) {
        let mut tallies = lock(&self.tallies);
        *tallies.entry((service.clone(), cost)).or_default() += 1;
    }

    /// Requests and background work that have not ended.
    #[must_use]
    pub fn active_count(&self) -> u64 {
        *self.busy.borrow()
    }

    /// Refuses new requests from now on.
    pub fn begin_shutdown(&self) {
        self.stopping.send_replace(true);
    }

    /// Completes when no request and no background work is left.
    pub async fn wait_until_idle(&self) {
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
        let has_once = shape::has_once(&view, &pipeline);
        let mut progress = Progress {
            results: BTreeMap::new(),
            is_replayed: false,
            once_left: shape::once_stages(&view, &pipeline).count(),
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
        let run = stages.run(&mut progress);
        let ended = match tokio::time::timeout_at(deadline, run).await {
            Ok(ended) => ended,
            Err(_) => Err(stage::Error::Deadline),
        };
        match ended {
            Ok(result) => Outcome::Answered(Answer {
                result,
                is_replayed: progress.is_replayed,
            }),
            Err(err) => conclude(life, err, &progress),
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
        if request.key.is_none() && shape::has_once(view, pipeline) {
            return Err((NotRunReason::MissingKey, RETRY_AFTER_MISTAKE));
        }
        if view.quarantine.contains(&shape::fingerprint(request)) {
            return Err((NotRunReason::Quarantined, RETRY_AFTER_QUARANTINE));
        }
        let deadline = request.deadline.unwrap_or(pipeline.deadline);
        if deadline < shape::typical_time(view, pipeline) {
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
            .or_insert_with(|| (TokenBucket::new(burst), now));
        bucket.refill(workspace.rate, now.duration_since(*refilled));
        *refilled = now;
        bucket.try_take()
    }

    /// What is recorded under an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails as the table does.
    pub async fn recorded_outcome(
        &self,
        workspace: &id::Workspace,
        pipeline: &id::Pipeline,
        key: &id::IdempotencyKey,
    ) -> Result<RecordedOutcome, table::Error> {
        let view = self.view();
        let Some(model) = view.snapshot.deployment.pipelines.get(pipeline) else {
            return Ok(RecordedOutcome::NotRun);
        };
        let mut recorded = RecordedOutcome::NotRun;
        for stage in shape::once_stages(&view, model) {
            let name = ClaimKey {
                workspace: workspace.clone(),
                pipeline: pipeline.clone(),
                key: key.clone(),
                stage: stage.name.clone(),
            };
            recorded = match self.registry.lookup(&name).await? {
                None => recorded,
                Some(ClaimOutcome::Answered(answer)) => RecordedOutcome::Answered(answer),
                Some(ClaimOutcome::Running(holder)) if view.is_live(&holder) => {
                    RecordedOutcome::Running
                }
                Some(_) => RecordedOutcome::Unknown,
            };
        }
        Ok(recorded)
    }
}

/// Turns a stage's failure into what the caller learns.
fn conclude(life: Life<Admitted>, err: stage::Error, progress: &Progress) -> Outcome {
    if let stage::Error::Broken(..) = err {
        life.sending().mark();
    }
    let is_done = progress.has_once && progress.once_left == 0;
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
                    (FailureReason::StageRefused(reason), retry_after)
                }
                stage::Error::Broken(_, retry_after) if progress.has_once && !is_done => {
                    (FailureReason::OutcomeUnknown, retry_after)
                }
                stage::Error::Broken(_, retry_after) => (FailureReason::StageFailed, retry_after),
                stage::Error::Deadline => (FailureReason::Deadline, RETRY_AFTER_DEADLINE),
            };
            Outcome::Failed(life.fail(reason, executed, retry_after))
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
