//! What the ways to run a stage have in common: its context and its handling of refusals.

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

use crate::attempt::Break;
use crate::life::Sending;
use crate::outcome::NotRunReason;
use crate::route::Route;
use crate::run::Runner;
use crate::view::View;

/// Refusals for reasons of load after which a stage is given up.
const LOAD_REFUSALS_MAX: u32 = 3;
/// First pause after every upstream has refused; it doubles.
const PAUSE_MIN: Duration = Duration::from_millis(40);
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// Seen and possible crashes under one stage after which it is given up.
const CRASHES_MAX: u32 = 2;
const CRASH_PAUSE: Duration = Duration::from_millis(100);
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(2);
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Context of a running stage.
#[derive(Clone)]
pub(crate) struct Stage {
    pub(crate) runner: Arc<Runner>,
    pub(crate) view: Arc<View>,
    pub(crate) trace: id::Trace,
    pub(crate) fingerprint: id::Fingerprint,
    pub(crate) workspace: id::Workspace,
    pub(crate) priority: Priority,
    pub(crate) name: id::Stage,
    pub(crate) service: Arc<Service>,
    pub(crate) deadline: Instant,
    pub(crate) sending: Sending,
    /// Seen and possible crashes under the attempts of this stage.
    pub(crate) crashes: Arc<AtomicU32>,
}

/// Why a stage has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// Nothing of this stage was sent.
    Refused(NotRunReason, Duration),
    /// Its attempts broke and may not be repeated.
    Broken(Executed, Duration),
    /// The stage's deadline passed.
    Deadline,
}

/// Progress through the upstreams of a service.
pub(crate) struct Tries {
    pub(crate) tried: BTreeSet<id::Upstream>,
    load_refusals: u32,
    refusal: Option<Refusal>,
    pause: Duration,
}

impl Tries {
    pub(crate) fn new() -> Tries {
        Tries {
            tried: BTreeSet::new(),
            load_refusals: 0,
            refusal: None,
            pause: PAUSE_MIN,
        }
    }
}

impl Stage {
    /// Time left until the stage's deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Expected time of the stage.
    pub(crate) fn expected(&self) -> Duration {
        let measured = self.runner.knowledge().latencies.p95(&self.service.name);
        measured.unwrap_or(self.service.typical_duration)
    }

    /// Chooses the next upstream. When every one has refused for reasons that pass soon, it pauses
    /// and begins again while the deadline allows.
    pub(crate) async fn next_route(
        &self,
        tries: &mut Tries,
        prefix: Option<u64>,
    ) -> Result<Route, Error> {
        loop {
            if let Some(route) = self.route(tries, prefix) {
                tries.tried.insert(route.upstream.clone());
                return Ok(route);
            }
            let pause = self.runner.knowledge().jitter(tries.pause);
            if Instant::now() + pause + self.service.typical_duration >= self.deadline {
                return Err(self.give_up(tries));
            }
            tokio::time::sleep(pause).await;
            tries.pause = (tries.pause * 2).min(PAUSE_MAX);
            tries.tried.clear();
        }
    }

    /// Chooses the next upstream, if one is left.
    pub(crate) fn route(&self, tries: &Tries, prefix: Option<u64>) -> Option<Route> {
        let runner = &self.runner;
        let view = runner.view();
        runner.knowledge().choose(
            runner.options.routing,
            &view,
            &runner.zone,
            &self.service,
            &tries.tried,
            prefix,
        )
    }

    /// Takes a refusal.
    ///
    /// # Errors
    ///
    /// Gives the stage up when trying elsewhere makes no sense.
    pub(crate) fn refused(&self, tries: &mut Tries, refusal: Refusal) -> Result<(), Error> {
        let reason = refusal.reason;
        tries.refusal = Some(refusal);
        match reason {
            Reason::Quarantined => Err(self.give_up(tries)),
            Reason::QueueFull | Reason::DeadlineTooShort | Reason::Expired => {
                tries.load_refusals += 1;
                if tries.load_refusals >= LOAD_REFUSALS_MAX {
                    return Err(self.give_up(tries));
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn give_up(&self, tries: &Tries) -> Error {
        let Some(refusal) = &tries.refusal else {
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

    /// Decides whether a stage goes on after a broken attempt.
    ///
    /// # Errors
    ///
    /// Gives the stage up when its retries are used up, or when it may have crashed too many
    /// upstreams.
    pub(crate) async fn go_on_after(&self, broken: Break) -> Result<(), Error> {
        let crashes = match broken {
            Break::Observed(_) => self.crashes.load(Ordering::Relaxed),
            Break::Unseen | Break::Crashed => self.crashes.fetch_add(1, Ordering::Relaxed) + 1,
        };
        if crashes >= CRASHES_MAX || !self.may_retry() {
            self.charge(AttemptCost::Failed);
            let executed = match broken {
                Break::Observed(executed) => executed,
                Break::Unseen | Break::Crashed => Executed::Unknown,
            };
            return Err(Error::Broken(executed, RETRY_AFTER_FAILURE));
        }
        self.charge(AttemptCost::Retried);
        let event = Event::new(Kind::Retried)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        if broken == Break::Crashed {
            // The pause lets the news reach every owner, so that no two of them take the request
            // for harmless.
            tokio::time::sleep(CRASH_PAUSE).await;
        }
        Ok(())
    }

    /// Spends from the service's retry budget; returns whether another attempt may be made.
    pub(crate) fn may_retry(&self) -> bool {
        if !self.runner.options.is_retry_budgeted {
            return true;
        }
        let mut knowledge = self.runner.knowledge();
        knowledge.budgets.spend(&self.service.name)
    }

    /// Notes a whole answer.
    pub(crate) fn succeeded(&self, elapsed: Duration) {
        let mut knowledge = self.runner.knowledge();
        knowledge.budgets.earn(&self.service.name);
        knowledge.latencies.record(&self.service.name, elapsed);
    }

    /// Counts an attempt's cost against its stage.
    pub(crate) fn charge(&self, cost: AttemptCost) {
        let metric = format!("cost.{cost}");
        let service = self.service.name.as_str();
        self.runner.telemetry.count_tagged(&metric, service, 1);
        self.runner.tally(&self.service.name, cost);
    }
}

/// What an attempt was good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptCost {
    /// Its answer was used.
    Useful,
    /// It broke and was repeated.
    Retried,
    /// It lost against its hedge.
    Hedged,
    /// It broke for good.
    Failed,
    /// It was given up at its deadline.
    Late,
}
