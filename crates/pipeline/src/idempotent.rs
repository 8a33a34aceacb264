//! Plain stages that may be repeated: retries within a budget, and a hedge when the first attempt
//! is slow.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use wire::dispatch::Body;

use crate::attempt::Attempted;
use crate::route::Route;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::Stage;
use crate::stage::Tries;

/// Shortest time after which an attempt is hedged.
const HEDGE_MIN: Duration = Duration::from_millis(30);
/// Hedge time over the measured 95th percentile.
const HEDGE_FACTOR: f64 = 1.5;

impl Stage {
    /// Runs the stage.
    pub(crate) async fn run_idempotent(&self, body: Body) -> Result<String, Error> {
        let run = self.race(body);
        match tokio::time::timeout_at(self.deadline, run).await {
            Ok(result) => result,
            Err(_) => {
                self.charge(AttemptCost::Late);
                Err(Error::Deadline)
            }
        }
    }

    async fn race(&self, body: Body) -> Result<String, Error> {
        let start = Instant::now();
        let mut tries = Tries::new();
        let mut running = FuturesUnordered::new();
        let first = self.next_route(&mut tries, None).await?;
        running.push(self.owned_attempt(first, body.clone()));
        let hedge = tokio::time::sleep(self.hedge_after());
        tokio::pin!(hedge);
        let mut may_hedge = self.runner.options.is_hedging;
        loop {
            let attempted = tokio::select! {
                biased;
                Some(attempted) = running.next() => attempted,
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    if let Some(route) = self.hedge(&mut tries) {
                        running.push(self.owned_attempt(route, body.clone()));
                    }
                    continue;
                }
            };
            match attempted {
                Attempted::Whole(parts) => {
                    self.succeeded(start.elapsed());
                    self.charge(AttemptCost::Useful);
                    for _ in 0..running.len() {
                        self.charge(AttemptCost::Hedged);
                    }
                    return Ok(parts.concat());
                }
                Attempted::Refused(refusal) => {
                    let verdict = self.refused(&mut tries, refusal);
                    if !running.is_empty() {
                        continue;
                    }
                    verdict?;
                }
                Attempted::Broken(broken) => {
                    self.go_on_after(broken).await?;
                    if !running.is_empty() {
                        continue;
                    }
                }
            }
            let route = self.next_route(&mut tries, None).await?;
            running.push(self.owned_attempt(route, body.clone()));
        }
    }

    async fn owned_attempt(&self, route: Route, body: Body) -> Attempted {
        self.attempt(&route, body, None).await
    }

    fn hedge_after(&self) -> Duration {
        self.expected().mul_f64(HEDGE_FACTOR).max(HEDGE_MIN)
    }

    /// Where a second attempt goes, if another upstream and the budget allow one.
    fn hedge(&self, tries: &mut Tries) -> Option<Route> {
        let route = self.route(tries, None)?;
        if !self.may_retry() {
            return None;
        }
        tries.tried.insert(route.upstream.clone());
        let event = Event::new(Kind::Hedged)
            .trace(self.trace)
            .with("stage", &self.name);
        self.runner.telemetry.event(event);
        Some(route)
    }
}
