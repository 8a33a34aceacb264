//! Development tasks: CI checks, demonstration, benchmarks, simulations and randomized tests.

mod bench;
mod ci;
mod demo;
mod experiment;
mod measure;
mod slopes;
mod soak;

use std::process::ExitCode;

const HELP: &str = "\
cargo xtask COMMAND

  demo   build and start a small deployment on loopback and check it under load
  ci     run formatter, linter and all tests
  measure SCENARIO
         compare the default policies with simpler ones in simulation; SCENARIO is calm,
         burst, slow-upstream, zone-drain, zone-loss, store-outage or flood
  experiment [--seeds N] [--detail]
         compare scheduling policies of step services under several load patterns;
         N seeds, default 3; --detail prints a report for each policy
  bench  measure latency, CPU time and memory of real processes per request
  slopes measure the cost of the control plane by number of instances
  soak [--seed N] [--runs M]
         run M random fault schedules from seed N on; default 100 from seed 1
  soak --seed N --trace
         print the merged timeline of schedule N
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("demo") => demo::run(),
        Some("ci") => ci::run(),
        Some("bench") => bench::run(),
        Some("slopes") => slopes::run(),
        Some("experiment") => {
            let seeds = args.opt_value_from_str("--seeds")?;
            experiment::run(seeds.unwrap_or(3), args.contains("--detail"));
            Ok(())
        }
        Some("measure") => measure::run(args.free_from_str()?),
        Some("soak") => {
            let seed = args.opt_value_from_str("--seed")?;
            if args.contains("--trace") {
                return soak::trace(seed.unwrap_or(1));
            }
            let runs = args.opt_value_from_str("--runs")?;
            soak::run(seed.unwrap_or(1), runs.unwrap_or(100))
        }
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}
