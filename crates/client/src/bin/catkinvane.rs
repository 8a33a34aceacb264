//! Command-line client for operators.

use std::process::ExitCode;

use client::Failure;

fn main() -> ExitCode {
    match run() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run() -> Result<String, Failure> {
    let invocation = client::command::parse(pico_args::Arguments::from_env())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| Failure::Setup(err.to_string()))?;
    runtime.block_on(client::run(invocation))
}
