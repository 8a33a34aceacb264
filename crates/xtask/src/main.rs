//! Chores: the demonstration and the checks of CI.

mod ci;
mod cluster;
mod demo;
mod load;
mod process;

use std::process::ExitCode;

const HELP: &str = "\
cargo xtask COMMAND

  demo   build and start a small deployment on loopback, and try it
  ci     formatter, linter and all tests
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
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}
