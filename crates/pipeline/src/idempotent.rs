//! Idempotent plain stages: retries within the retry budget, and a hedged attempt if the first one
//! is slow.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use wire::dispatch::Body;

use crate::attempt::AttemptResult;
use crate::route::Route;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::RetryState;
use crate::stage::StageRun;

/// Minimum delay before an attempt is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(30);
/// Delay before an attempt is hedged, as a multiple of the stage's expected duration.
const HEDGE_DELAY_FACTOR: f64 = 1.5;

impl StageRun {
    /// Runs the stage within its deadline.
    pub(crate) async fn run_idempotent(&self, body: Body) -> Result<String, Error> {
        let run = self.run_with_hedge(body);
        match tokio::time::timeout_at(self.deadline, run).await {
            Ok(result) => result,
            Err(_) => {
                self.record_cost(AttemptCost::Late);
                Err(Error::Deadline)
            }
        }
    }

    async fn run_with_hedge(&self, body: Body) -> Result<String, Error> {
        let start = Instant::now();
        let mut retry_state = RetryState::new();
        let mut running_attempts = FuturesUnordered::new();
        let first = self.next_route(&mut retry_state, None).await?;
        running_attempts.push(self.attempt_owned(first, body.clone()));
        let hedge_timer = tokio::time::sleep(self.hedge_delay());
        tokio::pin!(hedge_timer);
        let mut may_hedge = self.runner.options.is_hedging;
        loop {
            let attempt_result = tokio::select! {
                biased;
                Some(attempt_result) = running_attempts.next() => attempt_result,
                () = &mut hedge_timer, if may_hedge => {
                    may_hedge = false;
                    if let Some(route) = self.hedge_route(&mut retry_state) {
                        running_attempts.push(self.attempt_owned(route, body.clone()));
                    }
                    continue;
                }
            };
            match attempt_result {
                AttemptResult::Completed(parts) => {
                    self.record_success(start.elapsed());
                    self.record_cost(AttemptCost::Useful);
                    for _ in 0..running_attempts.len() {
                        self.record_cost(AttemptCost::Hedged);
                    }
                    return Ok(parts.concat());
                }
                AttemptResult::Refused(refusal) => {
                    let refusal_check = self.handle_refusal(&mut retry_state, refusal);
                    if !running_attempts.is_empty() {
                        continue;
                    }
                    refusal_check?;
                }
                AttemptResult::Failed(failure) => {
                    self.prepare_retry(failure).await?;
                    if !running_attempts.is_empty() {
                        continue;
                    }
                }
            }
            let route = self.next_route(&mut retry_state, None).await?;
            running_attempts.push(self.attempt_owned(route, body.clone()));
        }
    }

    async fn attempt_owned(&self, route: Route, body: Body) -> AttemptResult {
        self.attempt(&route, body, None).await
    }

    fn hedge_delay(&self) -> Duration {
        self.expected_duration()
            .mul_f64(HEDGE_DELAY_FACTOR)
            .max(HEDGE_DELAY_MIN)
    }

    /// Chooses the upstream of the hedged attempt; `None` if no other upstream is left or the retry
    /// budget is empty.
    fn hedge_route(&self, retry_state: &mut RetryState) -> Option<Route> {
        let route = self.choose_route(retry_state, None)?;
        if !self.try_withdraw_retry() {
            return None;
        }
        retry_state.tried.insert(route.upstream.clone());
        let event = Event::new(Kind::Hedged)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        Some(route)
    }
}
