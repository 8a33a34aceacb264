//! The parts that all kinds of stages share: context of a running stage, choice of upstreams,
//! handling of refusals and failed attempts, and accounting of attempts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Executed;
use base::id;
use config::model::Priority;
use config::model::Service;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use wire::dispatch::Reason;
use wire::dispatch::Refusal;

use crate::attempt::AttemptFailure;
use crate::lifecycle::SendTracker;
use crate::outcome::NotRunReason;
use crate::route::Route;
use crate::run::Runner;
use crate::view::View;

/// Number of refusals due to load after which a stage is refused.
const LOAD_REFUSALS_MAX: u32 = 3;
/// First delay of the exponential back-off after every upstream has been tried.
const BACKOFF_MIN: Duration = Duration::from_millis(40);
const BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Number of observed and possible upstream crashes during one stage after which it fails.
const CRASHES_MAX: u32 = 2;
/// Delay of the retry after an upstream crash.
const CRASH_RETRY_DELAY: Duration = Duration::from_millis(100);
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(2);
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Context of one running stage of one request.
#[derive(Clone)]
pub(crate) struct StageRun {
    pub(crate) runner: Arc<Runner>,
    pub(crate) view: Arc<View>,
    pub(crate) trace: id::Trace,
    pub(crate) fingerprint: id::Fingerprint,
    pub(crate) workspace: id::Workspace,
    pub(crate) priority: Priority,
    pub(crate) name: id::Stage,
    pub(crate) service: Arc<Service>,
    pub(crate) deadline: Instant,
    pub(crate) send_tracker: SendTracker,
    /// Observed and possible upstream crashes during the attempts of this stage.
    pub(crate) crashes: Arc<AtomicU32>,
}

/// Why a stage has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// No upstream accepts the stage, or it cannot be claimed. Holds the reason and the retry-after
    /// time.
    Refused(NotRunReason, Duration),
    /// The attempts failed and no further retry is allowed. Holds whether the stage was executed,
    /// and the retry-after time.
    AttemptsFailed(Executed, Duration),
    /// The stage's deadline passed.
    Deadline,
}

/// Upstreams tried so far by one stage, with the refusals and the back-off.
pub(crate) struct RetryState {
    pub(crate) tried: BTreeSet<id::Upstream>,
    load_refusals: u32,
    last_refusal: Option<Refusal>,
    backoff: Duration,
}

impl RetryState {
    pub(crate) fn new() -> RetryState {
        RetryState {
            tried: BTreeSet::new(),
            load_refusals: 0,
            last_refusal: None,
            backoff: BACKOFF_MIN,
        }
    }
}

impl StageRun {
    /// Time left until the stage's deadline.
    pub(crate) fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the 95th percentile of the service's measured latency, or the typical duration from
    /// the configuration if there is no measurement.
    pub(crate) fn expected_duration(&self) -> Duration {
        let measured = self
            .runner
            .routing_state()
            .latencies
            .p95(&self.service.name);
        measured.unwrap_or(self.service.typical_duration)
    }

    /// Chooses the next upstream. Once all have been tried, waits with exponential back-off and
    /// starts over, as long as the deadline leaves time for a typical call.
    pub(crate) async fn next_route(
        &self,
        retry_state: &mut RetryState,
        prefix: Option<u64>,
    ) -> Result<Route, Error> {
        loop {
            if let Some(route) = self.choose_route(retry_state, prefix) {
                retry_state.tried.insert(route.upstream.clone());
                return Ok(route);
            }
            let delay = self.runner.routing_state().jitter(retry_state.backoff);
            if Instant::now() + delay + self.service.typical_duration >= self.deadline {
                return Err(self.refusal_error(retry_state));
            }
            tokio::time::sleep(delay).await;
            retry_state.backoff = (retry_state.backoff * 2).min(BACKOFF_MAX);
            retry_state.tried.clear();
        }
    }

    /// Chooses among the upstreams that have not been tried, without waiting.
    pub(crate) fn choose_route(
        &self,
        retry_state: &RetryState,
        prefix: Option<u64>,
    ) -> Option<Route> {
        let runner = &self.runner;
        let view = runner.view();
        runner.routing_state().choose(
            runner.options.routing,
            &view,
            &runner.zone,
            &self.service,
            &retry_state.tried,
            prefix,
        )
    }

    /// Decides whether another upstream is tried after a refusal.
    ///
    /// # Errors
    ///
    /// Fails if the request is quarantined, or after [`LOAD_REFUSALS_MAX`] refusals due to load.
    pub(crate) fn handle_refusal(
        &self,
        retry_state: &mut RetryState,
        refusal: Refusal,
    ) -> Result<(), Error> {
        let reason = refusal.reason;
        retry_state.last_refusal = Some(refusal);
        match reason {
            Reason::Quarantined => Err(self.refusal_error(retry_state)),
            Reason::QueueFull | Reason::DeadlineTooShort | Reason::Expired => {
                retry_state.load_refusals += 1;
                if retry_state.load_refusals >= LOAD_REFUSALS_MAX {
                    return Err(self.refusal_error(retry_state));
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Returns the error of a stage that no upstream accepts, with the reason of the last refusal.
    pub(crate) fn refusal_error(&self, retry_state: &RetryState) -> Error {
        let Some(refusal) = &retry_state.last_refusal else {
            return Error::Refused(NotRunReason::NoUpstream, RETRY_AFTER_DEFAULT);
        };
        let reason = match refusal.reason {
            Reason::Quarantined => NotRunReason::Quarantined,
            Reason::QueueFull => NotRunReason::Overloaded,
            Reason::DeadlineTooShort | Reason::Expired => NotRunReason::DeadlineTooShort,
            _ => NotRunReason::NoUpstream,
        };
        Error::Refused(reason, refusal.retry_after)
    }

    /// Accounts for a failed attempt, and returns once the stage may be retried.
    ///
    /// # Errors
    ///
    /// Fails if the retry budget of the service is empty, or if the stage may have crashed
    /// [`CRASHES_MAX`] upstreams.
    pub(crate) async fn prepare_retry(&self, failure: AttemptFailure) -> Result<(), Error> {
        let crashes = match failure {
            AttemptFailure::Reported(_) => self.crashes.load(Ordering::Relaxed),
            AttemptFailure::Unobserved | AttemptFailure::Crashed => {
                self.crashes.fetch_add(1, Ordering::Relaxed) + 1
            }
        };
        if crashes >= CRASHES_MAX || !self.try_withdraw_retry() {
            self.record_cost(AttemptCost::Failed);
            let executed = match failure {
                AttemptFailure::Reported(executed) => executed,
                AttemptFailure::Unobserved | AttemptFailure::Crashed => Executed::Unknown,
            };
            return Err(Error::AttemptsFailed(executed, RETRY_AFTER_FAILURE));
        }
        self.record_cost(AttemptCost::Retried);
        let event = Event::new(Kind::Retried)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        if failure == AttemptFailure::Crashed {
            // Leaves time for gossip to tell all owners of the crash, so that no second owner
            // treats the request as harmless.
            tokio::time::sleep(CRASH_RETRY_DELAY).await;
        }
        Ok(())
    }

    /// Withdraws one retry from the service's budget; returns whether another attempt may be made.
    pub(crate) fn try_withdraw_retry(&self) -> bool {
        if !self.runner.options.is_retry_budgeted {
            return true;
        }
        let mut routing_state = self.runner.routing_state();
        routing_state.budgets.try_withdraw(&self.service.name)
    }

    /// Records a complete answer and its latency, and credits the service's retry budget.
    pub(crate) fn record_success(&self, elapsed: Duration) {
        let mut routing_state = self.runner.routing_state();
        routing_state.budgets.deposit(&self.service.name);
        routing_state.latencies.record(&self.service.name, elapsed);
    }

    /// Counts an attempt by service and cost.
    pub(crate) fn record_cost(&self, cost: AttemptCost) {
        let metric = format!("cost.{cost}");
        let service = self.service.name.as_str();
        self.runner.telemetry.count_tagged(&metric, service, 1);
        self.runner.count_attempt(&self.service.name, cost);
    }
}

/// Whether an attempt contributed to the result of its stage, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptCost {
    /// Its answer was used.
    Useful,
    /// It failed and was retried.
    Retried,
    /// The other attempt of a hedged stage answered first.
    Hedged,
    /// It failed and was not retried.
    Failed,
    /// It was cancelled at the deadline of its stage.
    Late,
}
