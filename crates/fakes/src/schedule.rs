//! Fault schedules: a load, faults injected at random times, and the invariants checked afterwards.

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

/// Configuration of the deployment on which schedules run.
pub const DEPLOYMENT: &str = include_str!("schedule/deployment.yaml");

/// Maximum number of steps of a generated schedule.
const MAX_STEPS: usize = 12;
/// Time from the last step to the end of the load, in which all faults end and the system recovers.
const HEAL_DURATION: Duration = Duration::from_secs(40);
/// Time after the end of the faults in which the members find each other again, before zones are
/// returned.
const RECONNECT_DURATION: Duration = Duration::from_secs(10);
/// Time after the end of the load by which every request must have ended.
const COMPLETION_DURATION: Duration = Duration::from_secs(30);

/// Numbers of requests of a schedule by outcome, and the violated invariants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Submitted requests.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests that failed and may have been run.
    pub failed: u64,
    /// Requests without an outcome, as their gateway was killed or they never ended.
    pub lost: u64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Generates the random schedule of `seed`.
#[must_use]
pub fn generate(seed: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(1..=MAX_STEPS);
    (0..count).map(|_| step::generate(&mut rng)).collect()
}

/// Runs `steps` on [`DEPLOYMENT`], in a runtime of its own with a paused clock.
///
/// # Panics
///
/// Panics when the deployment does not start, a program invariant is violated or the runtime cannot
/// be built.
#[must_use]
pub fn run(seed: u64, steps: &[Step]) -> Report {
    run_traced(seed, steps).0
}

/// Like [`run`], and returns the merged timeline of all processes.
///
/// # Panics
///
/// Panics when the deployment does not start, a program invariant is violated or the runtime cannot
/// be built.
#[must_use]
pub fn run_traced(seed: u64, steps: &[Step]) -> (Report, Vec<Event>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
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
    let end = Instant::now() + HEAL_DURATION;
    faults.heal(&mut cluster).await;
    load.run(&mut cluster, RECONNECT_DURATION).await;
    faults.return_all_zones(&mut cluster).await;
    load.run(&mut cluster, end.saturating_duration_since(Instant::now()))
        .await;
    tokio::time::sleep(COMPLETION_DURATION).await;
    let report = check::report(&mut cluster, load, &faults).await;
    (report, cluster.timeline())
}
