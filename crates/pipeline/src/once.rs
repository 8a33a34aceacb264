//! Non-idempotent stages: a claim before the first byte, at most one execution, and a recorded
//! answer.

use std::time::Duration;

use base::Executed;
use base::id;
use claims::registry;
use claims::registry::ClaimOutcome;
use claims::registry::HeldClaim;
use claims::row::ClaimKey;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use wire::dispatch::Body;
use wire::dispatch::LATE_ANSWER_GRACE;

use crate::attempt::Attempted;
use crate::outcome::NotRunReason;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::Stage;
use crate::stage::Tries;

/// Interval at which a duplicate looks for the answer of the first attempt.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the stage's time that a claim may take.
const CLAIM_SHARE: f64 = 0.5;
/// Time for which the answer of an execution is offered to a store that is down.
const RECORD_PATIENCE: Duration = Duration::from_secs(120);
const RETRY_AFTER_STORE: Duration = Duration::from_secs(5);
const RETRY_AFTER_RUNNING: Duration = Duration::from_secs(2);
const RETRY_AFTER_CONFLICT: Duration = Duration::from_secs(60);

/// Result of a non-idempotent stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) answer: String,
    pub(crate) is_replayed: bool,
}

impl Stage {
    /// Runs the stage under `name`, or finds what an earlier attempt left. `digest` is that of the
    /// caller's input: what earlier stages add may differ from one attempt to the next.
    pub(crate) async fn run_once(
        &self,
        name: ClaimKey,
        digest: u64,
        body: Body,
    ) -> Result<Execution, Error> {
        let token = id::Token::random(&mut self.runner.knowledge().rng);
        let claim_by = Instant::now() + self.remaining().mul_f64(CLAIM_SHARE);
        loop {
            let registry = &self.runner.registry;
            let claimed = registry.claim(name.clone(), digest, token, claim_by).await;
            let found = claimed.map_err(|failure| {
                self.note_claim_failure(failure);
                Error::Refused(NotRunReason::StoreDown, RETRY_AFTER_STORE)
            })?;
            match found {
                ClaimOutcome::Granted(held) => return self.run_claimed(held, body).await,
                ClaimOutcome::Answered(answer) => return Ok(self.replay(answer)),
                ClaimOutcome::DigestMismatch => {
                    return Err(Error::Refused(
                        NotRunReason::KeyReused,
                        RETRY_AFTER_CONFLICT,
                    ));
                }
                ClaimOutcome::Unknown => return Err(unknown()),
                ClaimOutcome::Running(holder) => {
                    if !self.runner.view().is_live(&holder) {
                        // Its gateway is gone: the attempt may have run, and nobody will know.
                        return Err(unknown());
                    }
                    if Instant::now() + WAIT_INTERVAL >= self.deadline {
                        // The other attempt may still run, so this one cannot say "not run".
                        return Err(unknown());
                    }
                    tokio::time::sleep(WAIT_INTERVAL).await;
                }
            }
        }
    }

    fn note_claim_failure(&self, failure: registry::ClaimError) {
        let event = Event::new(Kind::Refused)
            .trace(self.trace)
            .with("stage", &self.name)
            .with("claim", failure);
        self.runner.telemetry.event(event);
    }

    fn replay(&self, answer: String) -> Execution {
        let event = Event::new(Kind::Replayed)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        Execution {
            answer,
            is_replayed: true,
        }
    }

    /// Sends a claimed stage. Refusals may be tried elsewhere; anything sent is final.
    async fn run_claimed(&self, held: HeldClaim, body: Body) -> Result<Execution, Error> {
        let event = Event::new(Kind::Claimed)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        let start = Instant::now();
        let mut tries = Tries::new();
        loop {
            let route = match self.next_route(&mut tries, None).await {
                Ok(route) => route,
                Err(err) => return Err(self.release(held, err)),
            };
            let attempt = self.attempt(&route, body.clone(), None);
            // Past this time the call itself has been given up by its owner.
            let last = self.deadline + LATE_ANSWER_GRACE;
            let attempted = tokio::time::timeout_at(last, attempt).await;
            match attempted {
                Ok(Attempted::Whole(parts)) => {
                    let answer = parts.concat();
                    self.succeeded(start.elapsed());
                    self.charge(AttemptCost::Useful);
                    self.record(held, answer.clone()).await;
                    return Ok(Execution {
                        answer,
                        is_replayed: false,
                    });
                }
                Ok(Attempted::Refused(refusal)) => {
                    if let Err(err) = self.refused(&mut tries, refusal) {
                        return Err(self.release(held, err));
                    }
                }
                Ok(Attempted::Broken(_)) | Err(_) => {
                    self.charge(AttemptCost::Failed);
                    let give_up = Instant::now() + RECORD_PATIENCE;
                    let registry = self.runner.registry.clone();
                    self.runner.in_background(async move {
                        registry.record_unknown(held, give_up).await;
                    });
                    return Err(unknown());
                }
            }
        }
    }

    /// Records an answer. A slow store does not hold the caller up: the answer is whole already.
    async fn record(&self, held: HeldClaim, answer: String) {
        let give_up = Instant::now() + RECORD_PATIENCE;
        let registry = self.runner.registry.clone();
        let telemetry = self.runner.telemetry.clone();
        self.runner.in_background(async move {
            if !registry.record_answer(held, answer, give_up).await {
                telemetry.count("claims.unrecorded", 1);
            }
        });
    }

    /// Releases the claim of a stage that was never sent.
    fn release(&self, held: HeldClaim, err: Error) -> Error {
        self.runner.registry.release(held);
        err
    }
}

fn unknown() -> Error {
    Error::Broken(Executed::Unknown, RETRY_AFTER_RUNNING)
}
