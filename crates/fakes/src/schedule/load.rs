//! A load of mixed requests, some of them duplicates of earlier payments.

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
use crate::upstream::POISON;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(70);
/// Tokens of each generated answer.
const TOKENS: u32 = 20;
/// Latest payments that may be tapped again.
const TAPPABLE: usize = 8;

/// A request that was submitted.
pub(super) struct Submitted {
    pub(super) key: Option<String>,
    pub(super) expected: Expected,
    pub(super) gateway: usize,
    pub(super) at: Instant,
    pub(super) running: JoinHandle<(Outcome, Instant)>,
}

/// What a whole answer must be.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Expected {
    /// Exactly this text.
    Text(String),
    /// An answer to this input.
    Input(Value),
    /// Nothing: it is poison.
    Nothing,
}

/// The load.
pub(super) struct Load {
    pub(super) submitted: Vec<Submitted>,
    keys: Vec<(String, Value)>,
    rng: SmallRng,
    number: u64,
}

impl Load {
    pub(super) fn new(seed: u64) -> Load {
        Load {
            submitted: Vec::new(),
            keys: Vec::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x10ad),
            number: 0,
        }
    }

    /// Submits requests for `time`.
    pub(super) async fn run(&mut self, cluster: &mut Cluster, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() + INTERVAL <= end {
            self.submit_one(cluster);
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep_until(end).await;
    }

    fn submit_one(&mut self, cluster: &mut Cluster) {
        self.number += 1;
        let number = self.number;
        let gateway = self.rng.random_range(0..cluster.instances.len());
        let process = &cluster.instances[gateway].gateway;
        // The balancer sends nothing to a gateway that does not answer.
        if process.is_dead() || process.is_frozen() {
            return;
        }
        match self.rng.random_range(0..5) {
            0 => {
                let prompt = format!("question {number}");
                let expected = Expected::Text(crate::tokens::answer(&prompt, TOKENS));
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
                self.keys.push((key.clone(), input.clone()));
                let expected = Expected::Input(input.clone());
                self.submit(cluster, gateway, "pay", Some(key), input, expected);
            }
            _ => self.tap_again(cluster, gateway),
        }
    }

    /// Sends an earlier payment again.
    fn tap_again(&mut self, cluster: &mut Cluster, gateway: usize) {
        let latest = self.keys.len().saturating_sub(TAPPABLE);
        let latest = &self.keys[latest..];
        if latest.is_empty() {
            return;
        }
        let (key, input) = latest[self.rng.random_range(0..latest.len())].clone();
        let expected = Expected::Input(input.clone());
        self.submit(cluster, gateway, "pay", Some(key), input, expected);
    }

    /// Sends a request that crashes what runs it.
    pub(super) fn poison(&mut self, cluster: &mut Cluster, gateway: usize) {
        if cluster.instances[gateway].gateway.is_dead() {
            return;
        }
        self.number += 1;
        let input = json!(format!("{POISON} {}", self.number));
        self.submit(cluster, gateway, "chat", None, input, Expected::Nothing);
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
        let running = cluster.submit(gateway, request);
        let running = tokio::spawn(async move {
            let outcome = running.await.expect("requests do not panic");
            (outcome, Instant::now())
        });
        self.submitted.push(Submitted {
            key,
            expected,
            gateway,
            at: Instant::now(),
            running,
        });
    }
}
