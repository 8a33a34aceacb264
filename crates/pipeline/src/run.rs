//! The runner, which takes each request from its arrival to its outcome.

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

use crate::lifecycle::Admitted;
use crate::lifecycle::ClosedLifecycle;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Received;
use crate::outcome::Answer;
use crate::outcome::FailureReason;
use crate::outcome::NotRunReason;
use crate::outcome::Outcome;
use crate::outcome::RecordedOutcome;
use crate::properties;
use crate::route::Options;
use crate::route::RoutingState;
use crate::stage;
use crate::stage::AttemptCost;
use crate::stages::PipelineRun;
use crate::stages::RequestProgress;
use crate::view::View;

const RETRY_AFTER_NOT_READY: Duration = Duration::from_secs(1);
const RETRY_AFTER_INVALID_REQUEST: Duration = Duration::from_secs(60);
const RETRY_AFTER_QUARANTINE: Duration = Duration::from_secs(600);
const RETRY_AFTER_RATE_LIMIT: Duration = Duration::from_secs(1);
const RETRY_AFTER_DEADLINE: Duration = Duration::from_secs(1);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Trace id of the request's timeline events.
    pub trace: id::Trace,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Pipeline to run.
    pub pipeline: id::Pipeline,
    /// Idempotency key.
    pub key: Option<id::IdempotencyKey>,
    /// Input of the pipeline.
    pub input: Value,
    /// Maximum number of tokens of each generation; a default applies if it is absent.
    pub max_tokens: Option<u32>,
    /// Deadline from the caller, counted from the admission; the pipeline's applies if it is
    /// shorter or this one is absent.
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
    routing_state: Mutex<RoutingState>,
    rate_limits: Mutex<BTreeMap<id::Workspace, (TokenBucket, Instant)>>,
    attempt_costs: Mutex<BTreeMap<(id::Service, AttemptCost), u64>>,
    stopping: watch::Sender<bool>,
    active: watch::Sender<u64>,
}

/// Counts a request or background task as active until it is dropped.
struct ActivityGuard(watch::Sender<u64>);

impl ActivityGuard {
    fn new(count: &watch::Sender<u64>) -> ActivityGuard {
        count.send_modify(|count| *count += 1);
        ActivityGuard(count.clone())
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

#[bon]
impl Runner {
    /// Creates a runner that serves requests according to the latest `view`.
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
            routing_state: Mutex::new(RoutingState::new(seed)),
            rate_limits: Mutex::default(),
            attempt_costs: Mutex::default(),
            stopping: watch::Sender::new(false),
            active: watch::Sender::new(0),
        }
    }
}

impl Runner {
    /// The latest view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    pub(crate) fn routing_state(&self) -> MutexGuard<'_, RoutingState> {
        lock(&self.routing_state)
    }

    /// Number of attempts by service and cost.
    #[must_use]
    pub fn attempt_costs(&self) -> BTreeMap<(id::Service, AttemptCost), u64> {
        lock(&self.attempt_costs).clone()
    }

    pub(crate) fn count_attempt(&self, service: &id::Service, cost: AttemptCost) {
        let mut attempt_costs = lock(&self.attempt_costs);
        *attempt_costs.entry((service.clone(), cost)).or_default() += 1;
    }

    /// Number of requests and background tasks that have not ended.
    #[must_use]
    pub fn active_count(&self) -> u64 {
        *self.active.borrow()
    }

    /// Refuses new requests from now on.
    pub fn begin_shutdown(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits until no request and no background task is active.
    pub async fn wait_until_idle(&self) {
        let mut active = self.active.subscribe();
        // The sender lives as long as this runner.
        let _ = active.wait_for(|count| *count == 0).await;
    }

    /// Spawns a task that may outlive its request; a graceful shutdown waits for it.
    pub(crate) fn in_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let active_guard = ActivityGuard::new(&self.active);
        tokio::spawn(async move {
            work.await;
            drop(active_guard);
        });
    }

    /// Runs one request. Sends the tokens of the last stage to `output` as they arrive. Dropping
    /// the receiver cancels the request. A non-idempotent stage that has started continues in the
    /// background if an attempt of the request was sent, or may have been.
    pub async fn run(
        self: &Arc<Runner>,
        request: Request,
        output: Option<mpsc::Sender<String>>,
    ) -> Outcome {
        let _active_guard = ActivityGuard::new(&self.active);
        let start = Instant::now();
        let trace = request.trace;
        let event = Event::new(Kind::Received)
            .trace(trace)
            .with("pipeline", &request.pipeline)
            .with("workspace", &request.workspace);
        self.telemetry.event(event);
        let outcome = self.serve(request, output).await;
        self.record_outcome(trace, start, &outcome);
        outcome
    }

    fn record_outcome(&self, trace: id::Trace, start: Instant, outcome: &Outcome) {
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
            Outcome::Failed(failure) => {
                let event = Event::new(Kind::Failed)
                    .with("reason", failure.reason)
                    .with("executed", failure.executed);
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
        let lifecycle = Lifecycle::<Received>::new();
        let pipeline = match self.admit(&view, &request) {
            Ok(pipeline) => pipeline,
            Err((reason, retry_after)) => {
                return Outcome::NotRun(lifecycle.refuse(reason, retry_after));
            }
        };
        let deadline = pipeline
            .deadline
            .min(request.deadline.unwrap_or(pipeline.deadline));
        let deadline = Instant::now() + deadline;
        let lifecycle = lifecycle.admit();
        let has_non_idempotent_stage = properties::has_non_idempotent_stage(&view, &pipeline);
        let mut progress = RequestProgress {
            results: BTreeMap::new(),
            is_replayed: false,
            non_idempotent_stages_left: properties::non_idempotent_stages(&view, &pipeline).count(),
            has_non_idempotent_stage,
        };
        let pipeline_run = PipelineRun {
            runner: self,
            view: &view,
            pipeline: &pipeline,
            request: &request,
            deadline,
            send_tracker: lifecycle.send_tracker(),
            output,
        };
        let run = pipeline_run.run(&mut progress);
        let run_result = match tokio::time::timeout_at(deadline, run).await {
            Ok(run_result) => run_result,
            Err(_) => Err(stage::Error::Deadline),
        };
        match run_result {
            Ok(result) => Outcome::Answered(Answer {
                result,
                is_replayed: progress.is_replayed,
            }),
            Err(err) => error_outcome(lifecycle, err, &progress),
        }
    }

    /// Makes all checks that are possible before the first stage is started.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal and the retry-after time.
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
            .ok_or((NotRunReason::UnknownPipeline, RETRY_AFTER_INVALID_REQUEST))?;
        let workspace = deployment
            .workspaces
            .get(&request.workspace)
            .ok_or((NotRunReason::UnknownWorkspace, RETRY_AFTER_INVALID_REQUEST))?;
        if request.key.is_none() && properties::has_non_idempotent_stage(view, pipeline) {
            return Err((NotRunReason::MissingKey, RETRY_AFTER_INVALID_REQUEST));
        }
        if view.quarantine.contains(&properties::fingerprint(request)) {
            return Err((NotRunReason::Quarantined, RETRY_AFTER_QUARANTINE));
        }
        let deadline = request.deadline.unwrap_or(pipeline.deadline);
        if deadline < properties::critical_path_duration(view, pipeline) {
            return Err((NotRunReason::DeadlineTooShort, RETRY_AFTER_DEADLINE));
        }
        if !self.try_take_rate_token(workspace) {
            return Err((NotRunReason::RateLimited, RETRY_AFTER_RATE_LIMIT));
        }
        Ok(pipeline.clone())
    }

    fn try_take_rate_token(&self, workspace: &model::Workspace) -> bool {
        let now = Instant::now();
        let mut rate_limits = lock(&self.rate_limits);
        let burst = workspace.rate.per_second().max(1.0);
        let (bucket, refilled_at) = rate_limits
            .entry(workspace.name.clone())
            .or_insert_with(|| (TokenBucket::new(burst), now));
        bucket.refill(workspace.rate, now.duration_since(*refilled_at));
        *refilled_at = now;
        bucket.try_take()
    }

    /// Looks up the outcome that is recorded under an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if a claim cannot be read or is malformed.
    pub async fn recorded_outcome(
        &self,
        workspace: &id::Workspace,
        pipeline: &id::Pipeline,
        key: &id::IdempotencyKey,
    ) -> Result<RecordedOutcome, table::Error> {
        let view = self.view();
        let Some(pipeline_model) = view.snapshot.deployment.pipelines.get(pipeline) else {
            return Ok(RecordedOutcome::NotRun);
        };
        let mut recorded = RecordedOutcome::NotRun;
        for stage in properties::non_idempotent_stages(&view, pipeline_model) {
            let claim_key = ClaimKey {
                workspace: workspace.clone(),
                pipeline: pipeline.clone(),
                key: key.clone(),
                stage: stage.name.clone(),
            };
            recorded = match self.registry.lookup(&claim_key).await? {
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

/// Returns the outcome of a request that was admitted and ended with `err`.
fn error_outcome(
    lifecycle: Lifecycle<Admitted>,
    err: stage::Error,
    progress: &RequestProgress,
) -> Outcome {
    if let stage::Error::AttemptsFailed(..) = err {
        lifecycle.send_tracker().mark_sent();
    }
    let is_executed = progress.has_non_idempotent_stage && progress.non_idempotent_stages_left == 0;
    let executed = if is_executed {
        Executed::Yes
    } else {
        Executed::Unknown
    };
    match lifecycle.close() {
        ClosedLifecycle::Unsent(lifecycle) => {
            let (reason, retry_after) = match err {
                stage::Error::Refused(reason, retry_after) => (reason, retry_after),
                _ => (NotRunReason::DeadlineTooShort, RETRY_AFTER_DEADLINE),
            };
            Outcome::NotRun(lifecycle.refuse(reason, retry_after))
        }
        ClosedLifecycle::PossiblySent(lifecycle) => {
            let (reason, retry_after) = match err {
                stage::Error::Refused(reason, retry_after) => {
                    (FailureReason::StageRefused(reason), retry_after)
                }
                stage::Error::AttemptsFailed(_, retry_after)
                    if progress.has_non_idempotent_stage && !is_executed =>
                {
                    (FailureReason::OutcomeUnknown, retry_after)
                }
                stage::Error::AttemptsFailed(_, retry_after) => {
                    (FailureReason::StageFailed, retry_after)
                }
                stage::Error::Deadline => (FailureReason::Deadline, RETRY_AFTER_DEADLINE),
            };
            Outcome::Failed(lifecycle.fail(reason, executed, retry_after))
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
