//! At-most-once execution of non-idempotent stages: the stage is claimed in the table before it is
//! sent, and its answer is recorded under the claim.

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

use crate::attempt::AttemptResult;
use crate::outcome::NotRunReason;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::RetryState;
use crate::stage::StageRun;

/// Interval at which a duplicate request polls the claim for the answer of the first one.
const DUPLICATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the stage's remaining time that claiming may take.
const CLAIM_TIME_FRACTION: f64 = 0.5;
/// Time for which recording the outcome of an execution is retried while the store is down.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);
const RETRY_AFTER_STORE_DOWN: Duration = Duration::from_secs(5);
const RETRY_AFTER_UNKNOWN_OUTCOME: Duration = Duration::from_secs(2);
const RETRY_AFTER_KEY_REUSED: Duration = Duration::from_secs(60);

/// Result of a non-idempotent stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) answer: String,
    /// Whether the answer was recorded by an earlier request with the same idempotency key.
    pub(crate) is_replayed: bool,
}

impl StageRun {
    /// Claims `claim_key` and runs the stage, or returns what an earlier request with the same key
    /// has recorded. `input_digest` covers the caller's input alone, since the results of earlier
    /// stages may differ from one request to the next.
    pub(crate) async fn run_at_most_once(
        &self,
        claim_key: ClaimKey,
        input_digest: u64,
        body: Body,
    ) -> Result<Execution, Error> {
        let token = id::Token::random(&mut self.runner.routing_state().rng);
        let claim_deadline = Instant::now() + self.remaining_time().mul_f64(CLAIM_TIME_FRACTION);
        loop {
            let registry = &self.runner.registry;
            let claim_result = registry
                .claim(claim_key.clone(), input_digest, token, claim_deadline)
                .await;
            let claim_outcome = claim_result.map_err(|failure| {
                self.record_claim_failure(failure);
                Error::Refused(NotRunReason::StoreDown, RETRY_AFTER_STORE_DOWN)
            })?;
            match claim_outcome {
                ClaimOutcome::Granted(held_claim) => {
                    return self.run_claimed(held_claim, body).await;
                }
                ClaimOutcome::Answered(answer) => return Ok(self.replay(answer)),
                ClaimOutcome::DigestMismatch => {
                    return Err(Error::Refused(
                        NotRunReason::KeyReused,
                        RETRY_AFTER_KEY_REUSED,
                    ));
                }
                ClaimOutcome::Unknown => return Err(outcome_unknown_error()),
                ClaimOutcome::Running(holder) => {
                    if !self.runner.view().is_live(&holder) {
                        // The gateway that holds the claim is gone: the stage may have run, but
                        // its outcome will never be recorded.
                        return Err(outcome_unknown_error());
                    }
                    if Instant::now() + DUPLICATE_POLL_INTERVAL >= self.deadline {
                        // The claim's holder may still run the stage, so this request must not be
                        // reported as not run.
                        return Err(outcome_unknown_error());
                    }
                    tokio::time::sleep(DUPLICATE_POLL_INTERVAL).await;
                }
            }
        }
    }

    fn record_claim_failure(&self, failure: registry::ClaimError) {
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

    /// Runs a claimed stage. A refused attempt is retried at another upstream; an attempt that was
    /// sent, or may have been, is never retried.
    async fn run_claimed(&self, held_claim: HeldClaim, body: Body) -> Result<Execution, Error> {
        let event = Event::new(Kind::Claimed)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        let start = Instant::now();
        let mut retry_state = RetryState::new();
        loop {
            let route = match self.next_route(&mut retry_state, None).await {
                Ok(route) => route,
                Err(err) => return Err(self.release_claim(held_claim, err)),
            };
            let attempt = self.attempt(&route, body.clone(), None);
            // By this time the owner itself has cancelled the call.
            let attempt_deadline = self.deadline + LATE_ANSWER_GRACE;
            let attempt_result = tokio::time::timeout_at(attempt_deadline, attempt).await;
            match attempt_result {
                Ok(AttemptResult::Completed(parts)) => {
                    let answer = parts.concat();
                    self.record_success(start.elapsed());
                    self.record_cost(AttemptCost::Useful);
                    self.record_answer(held_claim, answer.clone()).await;
                    return Ok(Execution {
                        answer,
                        is_replayed: false,
                    });
                }
                Ok(AttemptResult::Refused(refusal)) => {
                    if let Err(err) = self.handle_refusal(&mut retry_state, refusal) {
                        return Err(self.release_claim(held_claim, err));
                    }
                }
                Ok(AttemptResult::Failed(_)) | Err(_) => {
                    self.record_cost(AttemptCost::Failed);
                    let record_deadline = Instant::now() + RECORD_TIMEOUT;
                    let registry = self.runner.registry.clone();
                    self.runner.in_background(async move {
                        registry.record_unknown(held_claim, record_deadline).await;
                    });
                    return Err(outcome_unknown_error());
                }
            }
        }
    }

    /// Records an answer in the background: the caller has the complete answer and does not wait
    /// for a slow store.
    async fn record_answer(&self, held_claim: HeldClaim, answer: String) {
        let record_deadline = Instant::now() + RECORD_TIMEOUT;
        let registry = self.runner.registry.clone();
        let telemetry = self.runner.telemetry.clone();
        self.runner.in_background(async move {
            if !registry
                .record_answer(held_claim, answer, record_deadline)
                .await
            {
                telemetry.count("claims.unrecorded", 1);
            }
        });
    }

    /// Releases the claim of a stage that was never sent, and returns `err`.
    fn release_claim(&self, held_claim: HeldClaim, err: Error) -> Error {
        self.runner.registry.release(held_claim);
        err
    }
}

fn outcome_unknown_error() -> Error {
    Error::AttemptsFailed(Executed::Unknown, RETRY_AFTER_UNKNOWN_OUTCOME)
}
