//! Long runs of random fault schedules.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fakes::schedule;
use fakes::schedule::Report;

/// Failing schedules that are printed in full.
const PRINTED: usize = 5;

/// Runs schedules `first..first + runs` on every core and prints what they found.
pub(crate) fn run(first: u64, runs: u64) -> eyre::Result<()> {
    let next = AtomicU64::new(first);
    let end = first + runs;
    let workers = std::thread::available_parallelism()?.get();
    let (totals, failures) = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..workers)
            .map(|_| scope.spawn(|| work(&next, end)))
            .collect();
        let mut totals = Report::default();
        let mut failures = Vec::new();
        for handle in handles {
            let (of_worker, failed) = handle.join().expect("workers catch panics");
            add(&mut totals, &of_worker);
            failures.extend(failed);
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
    for (seed, what) in failures.iter().take(PRINTED) {
        println!("seed {seed}: {what}\n{:#?}", schedule::generate(*seed));
    }
    let seeds: Vec<u64> = failures.iter().map(|(seed, _)| *seed).collect();
    eyre::ensure!(failures.is_empty(), "failing seeds {seeds:?}");
    Ok(())
}

/// Prints the merged time line of schedule `seed`.
pub(crate) fn trace(seed: u64) -> eyre::Result<()> {
    let steps = schedule::generate(seed);
    let (report, events) = schedule::run_traced(seed, &steps);
    for event in events {
        println!("t={:.1}ms {event}", event.at_us as f64 / 1000.0);
    }
    println!("{report:?}");
    Ok(())
}

fn work(next: &AtomicU64, end: u64) -> (Report, Vec<(u64, String)>) {
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
                add(&mut totals, &report);
                if !report.violations.is_empty() {
                    failures.push((seed, format!("{:?}", report.violations)));
                }
            }
            Err(_) => failures.push((seed, "an invariant was violated".to_owned())),
        }
    }
}

fn add(totals: &mut Report, report: &Report) {
    totals.requests += report.requests;
    totals.answered += report.answered;
    totals.not_run += report.not_run;
    totals.failed += report.failed;
    totals.lost += report.lost;
}
