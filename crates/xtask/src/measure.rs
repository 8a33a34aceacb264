//! Compares the default policies with simpler alternatives in simulation, on the same seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use fakes::Cluster;
use fakes::platform;
use fakes::upstream;
use pipeline::AttemptCost;
use pipeline::Options;
use pipeline::Outcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wire::message::Action;
use wire::message::Target;

const SEEDS: [u64; 3] = [1, 2, 3];
/// Time of load before anything is counted, in which the upstreams warm up.
const WARM_UP_DURATION: Duration = Duration::from_secs(40);
/// Time of load whose requests are counted.
const MEASURED_DURATION: Duration = Duration::from_secs(30);
/// Capacity of the deployment in requests per second. It has three encoders with 16 calls in flight
/// of 10 ms and three engines with 8 of 200 ms; the engines are the bottleneck.
const CAPACITY_PER_SECOND: f64 = 3.0 * 8.0 / 0.2;
const DEADLINE: Duration = Duration::from_secs(2);

/// Load and fault while requests are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Scenario {
    /// Half of the capacity, without faults.
    Calm,
    /// Twice the capacity.
    Burst,
    /// Half of the capacity; one engine takes ten times as long.
    SlowUpstream,
    /// Half of the capacity; a zone is drained and returned.
    ZoneDrain,
    /// Half of the capacity; the instances and upstreams of a zone crash.
    ZoneLoss,
    /// Half of the capacity; the store is unavailable, and a fifth of the requests have an idempotency
    /// key.
    StoreOutage,
    /// Twice the capacity; one workspace sends 95% of the requests and another 5%.
    Flood,
}

/// The default policies, or these with one of them replaced by a simpler one.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum PolicySet {
    /// The default policies.
    Choice,
    /// Routes to a random upstream instead of the less loaded of two.
    RandomRouting,
    /// Sends no hedged requests.
    NoHedge,
    /// Retries without a retry budget.
    NoRetryBudget,
    /// Queues requests that cannot meet their deadline instead of rejecting them.
    NoEarlyRefusal,
    /// Serves all workspaces first come, first served instead of by fair shares.
    NoFairShares,
}

/// Totals over all seeds.
#[derive(Clone, Debug, Default)]
struct Totals {
    requests: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    /// Answered and submitted requests of the workspace with the small load.
    small_workspace: (u64, u64),
    latencies_ms: Vec<u64>,
    /// Number of attempts by whether and why they were wasted.
    costs: BTreeMap<AttemptCost, u64>,
    /// Calls beyond the in-flight limit of an upstream.
    overruns: u32,
    executed_twice: usize,
}

/// Prints one line of results for each set of policies in `scenario`.
pub(crate) fn run(scenario: Scenario) -> eyre::Result<()> {
    println!(
        "{scenario}: {} seeds, {MEASURED_DURATION:?} each",
        SEEDS.len()
    );
    println!(
        "{:16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>6}",
        "way",
        "requests",
        "whole%",
        "good/s",
        "refused",
        "failed",
        "p50ms",
        "p95ms",
        "wasted%",
        "overruns",
        "small%"
    );
    for policy_set in <PolicySet as strum::IntoEnumIterator>::iter() {
        let mut totals = Totals::default();
        for seed in SEEDS {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()?;
            runtime.block_on(measure(scenario, policy_set, seed, &mut totals));
        }
        print_row(policy_set, &mut totals);
    }
    Ok(())
}

fn print_row(policy_set: PolicySet, totals: &mut Totals) {
    totals.latencies_ms.sort_unstable();
    let quantile = |share: f64| {
        let idx = (totals.latencies_ms.len() as f64 * share) as usize;
        totals.latencies_ms.get(idx).copied().unwrap_or_default()
    };
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    let attempts: u64 = totals.costs.values().sum();
    let useful = totals
        .costs
        .get(&AttemptCost::Useful)
        .copied()
        .unwrap_or_default();
    let seconds = MEASURED_DURATION.as_secs_f64() * SEEDS.len() as f64;
    println!(
        "{:16} {:8} {:8.2} {:8.1} {:7} {:7} {:8} {:8} {:9.2} {:8} {:6.1}",
        policy_set.to_string(),
        totals.requests,
        percent(totals.answered, totals.requests),
        totals.answered as f64 / seconds,
        totals.refused,
        totals.failed,
        quantile(0.5),
        quantile(0.95),
        percent(attempts - useful, attempts),
        totals.overruns,
        percent(totals.small_workspace.0, totals.small_workspace.1),
    );
    if totals.executed_twice > 0 {
        println!("  executed twice: {}", totals.executed_twice);
    }
}

fn options(policy_set: PolicySet) -> Options {
    let defaults = Options::default();
    match policy_set {
        PolicySet::RandomRouting => Options {
            routing: routing::Policy::Random,
            ..defaults
        },
        PolicySet::NoHedge => Options {
            is_hedging: false,
            ..defaults
        },
        PolicySet::NoRetryBudget => Options {
            is_retry_budgeted: false,
            ..defaults
        },
        PolicySet::Choice | PolicySet::NoEarlyRefusal | PolicySet::NoFairShares => defaults,
    }
}

fn queueing(policy_set: PolicySet) -> limits::QueuePolicy {
    let defaults = limits::QueuePolicy::default();
    match policy_set {
        PolicySet::NoEarlyRefusal => limits::QueuePolicy {
            rejects_early: false,
            ..defaults
        },
        PolicySet::NoFairShares => limits::QueuePolicy {
            uses_fair_shares: false,
            ..defaults
        },
        _ => defaults,
    }
}

/// Runs one seed and adds its results to `totals`.
async fn measure(scenario: Scenario, policy_set: PolicySet, seed: u64, totals: &mut Totals) {
    let policies = fakes::cluster::Policies {
        options: options(policy_set),
        queueing: queueing(policy_set),
    };
    let text = fakes::schedule::DEPLOYMENT;
    let mut cluster = Cluster::start_with(text, 2, seed, policies).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    submit_load(
        &mut cluster,
        &mut rng,
        Scenario::Calm,
        WARM_UP_DURATION,
        0.7,
    )
    .await;
    let overruns_before = cluster.fleet.overruns();
    let costs_before = attempt_costs(&cluster);

    let capacity_share = match scenario {
        Scenario::Burst | Scenario::Flood => 2.0,
        _ => 0.5,
    };
    start_fault(&mut cluster, scenario).await;
    let mut in_flight = submit_load(
        &mut cluster,
        &mut rng,
        scenario,
        MEASURED_DURATION / 2,
        capacity_share,
    )
    .await;
    end_fault(&mut cluster, scenario).await;
    in_flight.extend(
        submit_load(
            &mut cluster,
            &mut rng,
            scenario,
            MEASURED_DURATION / 2,
            capacity_share,
        )
        .await,
    );
    tokio::time::sleep(DEADLINE * 4).await;

    for request in in_flight {
        let (outcome, elapsed) = request
            .outcome_task
            .await
            .expect("the request task does not panic");
        totals.requests += 1;
        totals.small_workspace.1 += u64::from(request.is_small_workspace);
        match outcome {
            Outcome::Answered(_) => {
                totals.answered += 1;
                totals.small_workspace.0 += u64::from(request.is_small_workspace);
                totals.latencies_ms.push(elapsed.as_millis() as u64);
            }
            Outcome::NotRun(_) => totals.refused += 1,
            Outcome::Failed(_) => totals.failed += 1,
        }
    }
    totals.overruns += cluster.fleet.overruns() - overruns_before;
    let executions = cluster.fleet.executions();
    totals.executed_twice += executions.values().filter(|it| **it > 1).count();
    for (cost, count) in self::attempt_costs(&cluster) {
        let before = costs_before.get(&cost).copied().unwrap_or_default();
        *totals.costs.entry(cost).or_default() += count.saturating_sub(before);
    }
}

/// Number of attempts of all instances, by cost.
fn attempt_costs(cluster: &Cluster) -> BTreeMap<AttemptCost, u64> {
    let mut costs = BTreeMap::new();
    for instance in &cluster.instances {
        for ((_, cost), count) in instance.runner.attempt_costs() {
            *costs.entry(cost).or_default() += count;
        }
    }
    costs
}

/// Starts the fault of a scenario.
async fn start_fault(cluster: &mut Cluster, scenario: Scenario) {
    match scenario {
        Scenario::Calm | Scenario::Burst | Scenario::Flood => {}
        Scenario::SlowUpstream => {
            let slow = upstream::Faults {
                slow_factor: 10,
                ..upstream::Faults::default()
            };
            cluster.fleet.set_faults("llm-a", slow);
        }
        Scenario::ZoneDrain => {
            cluster.change(0, Action::Drain(drained_zone())).await;
        }
        Scenario::ZoneLoss => {
            cluster.kill(2);
            cluster.kill(3);
            for name in ["llm-b", "encoder-b", "ledger-b"] {
                cluster.fleet.crash(name);
            }
        }
        Scenario::StoreOutage => cluster.store.set_faults(platform::Faults {
            outage: true,
            ..platform::Faults::default()
        }),
    }
}

/// Ends the fault of a scenario.
async fn end_fault(cluster: &mut Cluster, scenario: Scenario) {
    match scenario {
        Scenario::ZoneDrain => {
            cluster.change(0, Action::Return(drained_zone())).await;
        }
        Scenario::ZoneLoss => {
            cluster.restart(2);
            cluster.restart(3);
        }
        Scenario::StoreOutage => cluster.store.set_faults(platform::Faults::default()),
        _ => {}
    }
}

fn drained_zone() -> Target {
    Target::Zone("b".parse().expect("a valid name"))
}

/// A submitted request.
struct InFlightRequest {
    is_small_workspace: bool,
    outcome_task: JoinHandle<(Outcome, Duration)>,
}

/// Submits requests to random live gateways for `duration`, as a Poisson process whose rate is
/// `capacity_share` of the capacity.
async fn submit_load(
    cluster: &mut Cluster,
    rng: &mut SmallRng,
    scenario: Scenario,
    duration: Duration,
    capacity_share: f64,
) -> Vec<InFlightRequest> {
    let rate = CAPACITY_PER_SECOND * capacity_share;
    let end = Instant::now() + duration;
    let mut in_flight = Vec::new();
    let mut next = Instant::now();
    while next < end {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / rate);
        tokio::time::sleep_until(next).await;
        let live: Vec<usize> = (0..cluster.instances.len())
            .filter(|it| !cluster.instances[*it].gateway.is_dead())
            .collect();
        let idx = live[rng.random_range(0..live.len())];
        let number: u64 = rng.random();
        let is_small_workspace = scenario == Scenario::Flood && rng.random_bool(0.05);
        let mut request = cluster.request("answer", None, json!(number));
        if scenario == Scenario::StoreOutage && rng.random_bool(0.2) {
            let key = format!("k{number}");
            request = cluster.request("pay", Some(&key), json!(number));
        }
        if is_small_workspace {
            request.workspace = "counters".parse().expect("a valid name");
        }
        request.deadline = Some(DEADLINE);
        let start = Instant::now();
        let outcome = cluster.submit(idx, request);
        let outcome_task = tokio::spawn(async move {
            let outcome = outcome.await.expect("the request task does not panic");
            (outcome, start.elapsed())
        });
        in_flight.push(InFlightRequest {
            is_small_workspace,
            outcome_task,
        });
    }
    in_flight
}
