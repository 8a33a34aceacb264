//! Policies against their simpler alternatives, on the same seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use fakes::Cluster;
use fakes::platform;
use fakes::upstream;
use pipeline::Cost;
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
/// Time of load before anything is counted: the upstreams warm up.
const WARM_UP: Duration = Duration::from_secs(40);
const COUNTED: Duration = Duration::from_secs(30);
/// Requests a second that the deployment bears: three encoders of 16 calls in flight at 10 ms and
/// three engines of 8 calls at 200 ms, of which engines are the narrowest.
const CAPACITY_PER_SECOND: f64 = 3.0 * 8.0 / 0.2;
const DEADLINE: Duration = Duration::from_secs(2);

/// What happens while requests are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Scenario {
    /// Half of the capacity, no faults.
    Calm,
    /// Twice the capacity.
    Burst,
    /// One engine at a tenth of its speed, at half of the capacity.
    SlowUpstream,
    /// A zone is drained and returned, at half of the capacity.
    ZoneDrain,
    /// A zone dies without warning, at half of the capacity.
    ZoneLoss,
    /// The store is down, at half of the capacity.
    StoreOutage,
    /// One workspace sends twice the capacity, another a tenth.
    Flood,
}

/// A way to run the system.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Way {
    /// The choice.
    Choice,
    /// Any upstream instead of the less loaded of two.
    RandomRouting,
    /// No hedges.
    NoHedge,
    /// Retries without a budget.
    NoRetryBudget,
    /// Tickets are queued although they cannot meet their deadline.
    NoEarlyRefusal,
    /// First come, first served over all workspaces.
    NoFairShares,
}

/// What callers got.
#[derive(Clone, Debug, Default)]
struct Counts {
    requests: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    small: (u64, u64),
    latencies_ms: Vec<u64>,
    costs: BTreeMap<Cost, u64>,
    overruns: u32,
    executed_twice: usize,
}

/// Prints every way for `scenario`.
pub(crate) fn run(scenario: Scenario) -> eyre::Result<()> {
    println!("{scenario}: {} seeds, {COUNTED:?} each", SEEDS.len());
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
    for way in <Way as strum::IntoEnumIterator>::iter() {
        let mut counts = Counts::default();
        for seed in SEEDS {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()?;
            runtime.block_on(measure(scenario, way, seed, &mut counts));
        }
        print(way, &mut counts);
    }
    Ok(())
}

fn print(way: Way, counts: &mut Counts) {
    counts.latencies_ms.sort_unstable();
    let quantile = |share: f64| {
        let idx = (counts.latencies_ms.len() as f64 * share) as usize;
        counts.latencies_ms.get(idx).copied().unwrap_or_default()
    };
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    let attempts: u64 = counts.costs.values().sum();
    let useful = counts.costs.get(&Cost::Useful).copied().unwrap_or_default();
    let seconds = COUNTED.as_secs_f64() * SEEDS.len() as f64;
    println!(
        "{:16} {:8} {:8.2} {:8.1} {:7} {:7} {:8} {:8} {:9.2} {:8} {:6.1}",
        way.to_string(),
        counts.requests,
        percent(counts.answered, counts.requests),
        counts.answered as f64 / seconds,
        counts.refused,
        counts.failed,
        quantile(0.5),
        quantile(0.95),
        percent(attempts - useful, attempts),
        counts.overruns,
        percent(counts.small.0, counts.small.1),
    );
    if counts.executed_twice > 0 {
        println!("  executed twice: {}", counts.executed_twice);
    }
}

fn options(way: Way) -> Options {
    let choice = Options::default();
    match way {
        Way::RandomRouting => Options {
            routing: routing::Policy::Random,
            ..choice
        },
        Way::NoHedge => Options {
            is_hedging: false,
            ..choice
        },
        Way::NoRetryBudget => Options {
            is_retry_budgeted: false,
            ..choice
        },
        Way::Choice | Way::NoEarlyRefusal | Way::NoFairShares => choice,
    }
}

fn queueing(way: Way) -> limits::QueuePolicy {
    let choice = limits::QueuePolicy::default();
    match way {
        Way::NoEarlyRefusal => limits::QueuePolicy {
            rejects_early: false,
            ..choice
        },
        Way::NoFairShares => limits::QueuePolicy {
            uses_fair_shares: false,
            ..choice
        },
        _ => choice,
    }
}

async fn measure(scenario: Scenario, way: Way, seed: u64, counts: &mut Counts) {
    let policies = fakes::cluster::Policies {
        options: options(way),
        queueing: queueing(way),
    };
    let text = fakes::schedule::DEPLOYMENT;
    let mut cluster = Cluster::start_with(text, 2, seed, policies).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    load(&mut cluster, &mut rng, Scenario::Calm, WARM_UP, 0.7).await;
    let overruns = cluster.fleet.overruns();
    let costs = costs(&cluster);

    let share = match scenario {
        Scenario::Burst | Scenario::Flood => 2.0,
        _ => 0.5,
    };
    disturb(&mut cluster, scenario).await;
    let mut running = load(&mut cluster, &mut rng, scenario, COUNTED / 2, share).await;
    settle(&mut cluster, scenario).await;
    running.extend(load(&mut cluster, &mut rng, scenario, COUNTED / 2, share).await);
    tokio::time::sleep(DEADLINE * 4).await;

    for request in running {
        let (outcome, elapsed) = request.ended.await.expect("requests do not panic");
        counts.requests += 1;
        counts.small.1 += u64::from(request.is_small);
        match outcome {
            Outcome::Answered(_) => {
                counts.answered += 1;
                counts.small.0 += u64::from(request.is_small);
                counts.latencies_ms.push(elapsed.as_millis() as u64);
            }
            Outcome::NotRun(_) => counts.refused += 1,
            Outcome::Failed(_) => counts.failed += 1,
        }
    }
    counts.overruns += cluster.fleet.overruns() - overruns;
    let executions = cluster.fleet.executions();
    counts.executed_twice += executions.values().filter(|it| **it > 1).count();
    for (cost, count) in self::costs(&cluster) {
        let before = costs.get(&cost).copied().unwrap_or_default();
        *counts.costs.entry(cost).or_default() += count.saturating_sub(before);
    }
}

fn costs(cluster: &Cluster) -> BTreeMap<Cost, u64> {
    let mut costs = BTreeMap::new();
    for instance in &cluster.instances {
        for ((_, cost), count) in instance.runner.costs() {
            *costs.entry(cost).or_default() += count;
        }
    }
    costs
}

/// Begins the trouble of a scenario.
async fn disturb(cluster: &mut Cluster, scenario: Scenario) {
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
            cluster.change(0, Action::Drain(zone())).await;
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

/// Ends the trouble of a scenario.
async fn settle(cluster: &mut Cluster, scenario: Scenario) {
    match scenario {
        Scenario::ZoneDrain => {
            cluster.change(0, Action::Return(zone())).await;
        }
        Scenario::ZoneLoss => {
            cluster.restart(2);
            cluster.restart(3);
        }
        Scenario::StoreOutage => cluster.store.set_faults(platform::Faults::default()),
        _ => {}
    }
}

fn zone() -> Target {
    Target::Zone("b".parse().expect("a name"))
}

struct Running {
    is_small: bool,
    ended: JoinHandle<(Outcome, Duration)>,
}

/// Submits `share` of the capacity for `time`, with exponential gaps, to gateways that live.
async fn load(
    cluster: &mut Cluster,
    rng: &mut SmallRng,
    scenario: Scenario,
    time: Duration,
    share: f64,
) -> Vec<Running> {
    let rate = CAPACITY_PER_SECOND * share;
    let end = Instant::now() + time;
    let mut running = Vec::new();
    let mut next = Instant::now();
    while next < end {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / rate);
        tokio::time::sleep_until(next).await;
        let living: Vec<usize> = (0..cluster.instances.len())
            .filter(|it| !cluster.instances[*it].gateway.is_dead())
            .collect();
        let idx = living[rng.random_range(0..living.len())];
        let number: u64 = rng.random();
        let is_small = scenario == Scenario::Flood && rng.random_bool(0.05);
        let mut request = cluster.request("answer", None, json!(number));
        if scenario == Scenario::StoreOutage && rng.random_bool(0.2) {
            let key = format!("k{number}");
            request = cluster.request("pay", Some(&key), json!(number));
        }
        if is_small {
            request.workspace = "counters".parse().expect("a name");
        }
        request.deadline = Some(DEADLINE);
        let start = Instant::now();
        let outcome = cluster.submit(idx, request);
        let ended = tokio::spawn(async move {
            let outcome = outcome.await.expect("requests do not panic");
            (outcome, start.elapsed())
        });
        running.push(Running { is_small, ended });
    }
    running
}
