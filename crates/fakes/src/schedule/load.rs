//! A load of requests to several pipelines, in which some payments are submitted again.

use std::time::Duration;

use pipeline::Outcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::cluster::Cluster;
use crate::upstream::POISON_MARKER;

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(70);
/// Number of tokens of each generated answer.
const ANSWER_TOKENS: u32 = 20;
/// Number of latest payments from which the one to submit again is chosen.
const RESUBMIT_WINDOW: usize = 8;

/// A submitted request.
pub(super) struct Submitted {
    /// Idempotency key.
    pub(super) key: Option<String>,
    pub(super) expected: Expected,
    /// Index of the instance whose gateway got it.
    pub(super) gateway: usize,
    pub(super) submitted_at: Instant,
    /// Yields the outcome and its time.
    pub(super) outcome_task: JoinHandle<(Outcome, Instant)>,
}

/// What an answer to a request must be.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Expected {
    /// Exactly this text.
    Text(String),
    /// An answer that echoes this input.
    Input(Value),
    /// No answer at all, as the request is poison.
    NoAnswer,
}

/// Generator of the load, and the requests that it has submitted.
pub(super) struct Load {
    pub(super) submitted: Vec<Submitted>,
    /// Idempotency keys and inputs of all payments.
    payments: Vec<(String, Value)>,
    rng: SmallRng,
    number: u64,
}

impl Load {
    pub(super) fn new(seed: u64) -> Load {
        Load {
            submitted: Vec::new(),
            payments: Vec::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x10ad),
            number: 0,
        }
    }

    /// Submits requests at intervals for `duration`.
    pub(super) async fn run(&mut self, cluster: &mut Cluster, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() + INTERVAL <= end {
            self.submit_random(cluster);
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep_until(end).await;
    }

    /// Submits a random request to a random gateway, unless that is dead or frozen.
    fn submit_random(&mut self, cluster: &mut Cluster) {
        self.number += 1;
        let number = self.number;
        let gateway = self.rng.random_range(0..cluster.instances.len());
        let process = &cluster.instances[gateway].gateway;
        // The load balancer sends no requests to a gateway that does not respond.
        if process.is_dead() || process.is_frozen() {
            return;
        }
        match self.rng.random_range(0..5) {
            0 => {
                let prompt = format!("question {number}");
                let expected = Expected::Text(crate::tokens::answer(&prompt, ANSWER_TOKENS));
                self.submit(cluster, gateway, "chat", None, json!(prompt), expected);
            }
            1 | 2 => {
                let input = json!({"lookup": number});
                let expected = Expected::Input(input.clone());
                self.submit(cluster, gateway, "lookup", None, input, expected);
            }
            3 => {
                let key = format!("k{number}");
                let input = json!({"case": number});
                self.payments.push((key.clone(), input.clone()));
                let expected = Expected::Input(input.clone());
                self.submit(cluster, gateway, "pay", Some(key), input, expected);
            }
            _ => self.resubmit_payment(cluster, gateway),
        }
    }

    /// Submits a recent payment again, with the same idempotency key.
    fn resubmit_payment(&mut self, cluster: &mut Cluster, gateway: usize) {
        let first = self.payments.len().saturating_sub(RESUBMIT_WINDOW);
        let recent = &self.payments[first..];
        if recent.is_empty() {
            return;
        }
        let (key, input) = recent[self.rng.random_range(0..recent.len())].clone();
        let expected = Expected::Input(input.clone());
        self.submit(cluster, gateway, "pay", Some(key), input, expected);
    }

    /// Submits a request that crashes the upstream that runs it.
    pub(super) fn submit_poison(&mut self, cluster: &mut Cluster, gateway: usize) {
        if cluster.instances[gateway].gateway.is_dead() {
            return;
        }
        self.number += 1;
        let input = json!(format!("{POISON_MARKER} {}", self.number));
        self.submit(cluster, gateway, "chat", None, input, Expected::NoAnswer);
    }

    fn submit(
        &mut self,
        cluster: &mut Cluster,
        gateway: usize,
        pipeline: &str,
        key: Option<String>,
        input: Value,
        expected: Expected,
    ) {
        let request = cluster.request(pipeline, key.as_deref(), input);
        let outcome_task = cluster.submit(gateway, request);
        let outcome_task = tokio::spawn(async move {
            let outcome = outcome_task.await.expect("the request task does not panic");
            (outcome, Instant::now())
        });
        self.submitted.push(Submitted {
            key,
            expected,
            gateway,
            submitted_at: Instant::now(),
            outcome_task,
        });
    }
}
