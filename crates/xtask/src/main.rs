//! Chores: the demonstration and the checks of CI.

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

  demo   build and start a small deployment on loopback, and try it
  ci     formatter, linter and all tests
  measure SCENARIO
         policies against simpler ones: calm, burst, slow-upstream, zone-drain,
         zone-loss, store-outage, flood
  experiment [--seeds N] [--detail]
         orders of waiting work, on the model of both sites under several loads
  bench  what the processes add to a stage, and what a request costs them
  slopes cost of control by number of instances
  soak [--seed N] [--runs M]
         M random fault schedules from seed N on
  soak --seed N --trace
         the merged time line of schedule N
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
