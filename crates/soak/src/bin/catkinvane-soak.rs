//! Command line of the soak: runs a range of seeds and prints the violations of each.

use std::time::Duration;

use soak::Options;

const HELP: &str = "\
catkinvane-soak: injects random faults into node processes on loopback

  --seed N      first seed; default 1
  --runs M      number of seeds; default 10
  --seconds S   duration of the load per seed; default 8
  --nodes K     number of node processes; default 3
";

fn main() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let runs: u64 = args.opt_value_from_str("--runs")?.unwrap_or(10);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(8);
    let options = Options {
        program: soak::node_program()?,
        dir: std::env::temp_dir().join(format!("catkinvane-soak-{}", std::process::id())),
        node_count: args.opt_value_from_str("--nodes")?.unwrap_or(3),
        load_duration: Duration::from_secs(seconds),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = 0;
    for seed in first..first + runs {
        let outcome = runtime.block_on(soak::run(&options, seed))?;
        println!(
            "seed {seed}: {} of {} requests succeeded, {} of {} take-ups, {} faults, {} violations",
            outcome.succeeded,
            outcome.requests,
            outcome.taken_up,
            outcome.take_ups,
            outcome.faults.len(),
            outcome.violations.len()
        );
        if outcome.violations.is_empty() {
            continue;
        }
        failed += 1;
        outcome.faults.iter().for_each(|it| println!("  {it}"));
        outcome
            .violations
            .iter()
            .for_each(|it| println!("  violated: {it}"));
    }
    println!("logs in {}", options.dir.display());
    eyre::ensure!(
        failed == 0,
        "{failed} of {runs} seeds violated an invariant"
    );
    Ok(())
}
