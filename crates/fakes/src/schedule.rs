//! Random fault schedules: a load, faults at random moments, and the checks that must hold.

mod check;
mod load;
mod step;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use telemetry::timeline::Event;
use tokio::time::Instant;

use crate::cluster::Cluster;

pub use check::Violation;
pub use step::Fault;
pub use step::Step;

/// Configuration of the deployment that schedules run on.
pub const DEPLOYMENT: &str = include_str!("schedule/deployment.yaml");

/// Most steps of a generated schedule.
const STEPS_MAX: usize = 12;
/// Time after the last step in which everything heals.
const HEAL_TIME: Duration = Duration::from_secs(40);
/// Time in which healed members find each other again.
const RECONNECT_TIME: Duration = Duration::from_secs(10);
/// Time after which no request is still running.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// What a schedule did to its callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were submitted.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals before anything was sent.
    pub not_run: u64,
    /// Failures after something may have run.
    pub failed: u64,
    /// Requests that were lost with their gateway.
    pub lost: u64,
    /// What did not hold.
    pub violations: Vec<Violation>,
}

/// A random schedule.
#[must_use]
pub fn generate(seed: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(1..=STEPS_MAX);
    (0..count).map(|_| step::generate(&mut rng)).collect()
}

/// Runs `steps` on [`DEPLOYMENT`] with a runtime and clock of its own.
///
/// # Panics
///
/// Panics when a program invariant is violated or no runtime can be had.
#[must_use]
pub fn run(seed: u64, steps: &[Step]) -> Report {
    run_traced(seed, steps).0
}

/// Like [`run`], with the merged time line of all processes.
///
/// # Panics
///
/// Panics when a program invariant is violated or no runtime can be had.
#[must_use]
pub fn run_traced(seed: u64, steps: &[Step]) -> (Report, Vec<Event>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built");
    runtime.block_on(run_steps(seed, steps))
}

async fn run_steps(seed: u64, steps: &[Step]) -> (Report, Vec<Event>) {
    let mut cluster = Cluster::start(DEPLOYMENT, 2, seed).await;
    let mut load = load::Load::new(seed);
    let mut faults = step::Faults::default();
    for step in steps {
        load.run(&mut cluster, step.after).await;
        faults.apply(&mut cluster, &mut load, &step.fault).await;
    }
    let end = Instant::now() + HEAL_TIME;
    faults.heal(&mut cluster).await;
    load.run(&mut cluster, RECONNECT_TIME).await;
    faults.return_all(&mut cluster).await;
    load.run(&mut cluster, end.saturating_duration_since(Instant::now()))
        .await;
    tokio::time::sleep(DRAIN_TIME).await;
    let report = check::report(&mut cluster, load, &faults).await;
    (report, cluster.timeline())
}
