//! Runs random fault schedules in simulation.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fakes::schedule;
use fakes::schedule::Report;

/// Number of failing schedules that are printed in full.
const MAX_PRINTED: usize = 5;

/// Runs the schedules of seeds `first..first + runs` on all cores and prints totals and failures.
///
/// # Errors
///
/// Fails when a schedule violates an invariant.
pub(crate) fn run(first: u64, runs: u64) -> eyre::Result<()> {
    let next = AtomicU64::new(first);
    let end = first + runs;
    let workers = std::thread::available_parallelism()?.get();
    let (totals, failures) = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..workers)
            .map(|_| scope.spawn(|| run_worker(&next, end)))
            .collect();
        let mut totals = Report::default();
        let mut failures = Vec::new();
        for handle in handles {
            let (worker_totals, worker_failures) = handle.join().expect("workers catch panics");
            add_report(&mut totals, &worker_totals);
            failures.extend(worker_failures);
        }
        (totals, failures)
    });
    println!(
        "schedules {runs} from seed {first}: requests {} answered {} not run {} failed {} lost {}; failing schedules {}",
        totals.requests,
        totals.answered,
        totals.not_run,
        totals.failed,
        totals.lost,
        failures.len(),
    );
    for (seed, failure) in failures.iter().take(MAX_PRINTED) {
        println!("seed {seed}: {failure}\n{:#?}", schedule::generate(*seed));
    }
    let seeds: Vec<u64> = failures.iter().map(|(seed, _)| *seed).collect();
    eyre::ensure!(failures.is_empty(), "failing seeds {seeds:?}");
    Ok(())
}

/// Runs the schedule of `seed` and prints the merged timeline of all processes.
pub(crate) fn trace(seed: u64) -> eyre::Result<()> {
    let steps = schedule::generate(seed);
    let (report, events) = schedule::run_traced(seed, &steps);
    for event in events {
        println!("t={:.1}ms {event}", event.at_us as f64 / 1000.0);
    }
    println!("{report:?}");
    Ok(())
}

/// Takes seeds from `next` until `end` and runs their schedules; returns the totals, and the seed and
/// cause of each failure.
fn run_worker(next: &AtomicU64, end: u64) -> (Report, Vec<(u64, String)>) {
    let mut totals = Report::default();
    let mut failures = Vec::new();
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return (totals, failures);
        }
        let steps = schedule::generate(seed);
        match std::panic::catch_unwind(|| schedule::run(seed, &steps)) {
            Ok(report) => {
                add_report(&mut totals, &report);
                if !report.violations.is_empty() {
                    failures.push((seed, format!("{:?}", report.violations)));
                }
            }
            Err(_) => failures.push((seed, "the schedule panicked".to_owned())),
        }
    }
}

fn add_report(totals: &mut Report, report: &Report) {
    totals.requests += report.requests;
    totals.answered += report.answered;
    totals.not_run += report.not_run;
    totals.failed += report.failed;
    totals.lost += report.lost;
}
