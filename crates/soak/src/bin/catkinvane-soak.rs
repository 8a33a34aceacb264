//! Runs seeds of the fault soak by hand.

use std::time::Duration;

use soak::Options;

const HELP: &str = "\
catkinvane-soak: random faults against node processes on loopback

  --seed N      first seed; 1 if absent
  --runs M      seeds to run; 10 if absent
  --seconds S   load of each run; 8 if absent
  --nodes K     node processes; 3 if absent
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
        program: soak::program()?,
        dir: std::env::temp_dir().join(format!("catkinvane-soak-{}", std::process::id())),
        nodes: args.opt_value_from_str("--nodes")?.unwrap_or(3),
        length: Duration::from_secs(seconds),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = 0;
    for seed in first..first + runs {
        let outcome = runtime.block_on(soak::run(&options, seed))?;
        println!(
            "seed {seed}: {} of {} whole, {} faults, {} violations",
            outcome.whole,
            outcome.asked,
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
    eyre::ensure!(failed == 0, "{failed} of {runs} seeds broke a promise");
    Ok(())
}
