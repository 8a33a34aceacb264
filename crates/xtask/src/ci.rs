//! Runs the checks of CI.

use std::path::Path;
use std::process::Command;

const KNOWN_RED_PATH: &str = "KNOWN-RED.txt";

/// Runs formatter, linter and tests. Tests listed in KNOWN-RED.txt are printed and skipped.
pub(crate) fn run() -> eyre::Result<()> {
    run_cargo(&["fmt", "--all", "--check"])?;
    run_cargo(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "--deny",
        "warnings",
    ])?;
    // Integration tests start these executables.
    run_cargo(&["build", "--workspace", "--bins", "--locked"])?;
    let known_red = known_red_tests()?;
    let mut test = vec!["test", "--workspace", "--locked", "--"];
    for name in &known_red {
        println!("known red, passed over: {name}");
        test.extend(["--skip", name]);
    }
    run_cargo(&test)
}

/// Names of the tests that KNOWN-RED.txt lists as failing, each on a line `test: NAME`.
fn known_red_tests() -> eyre::Result<Vec<String>> {
    if !Path::new(KNOWN_RED_PATH).exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(KNOWN_RED_PATH)?;
    let names = text.lines().filter_map(|it| it.strip_prefix("test: "));
    Ok(names.map(|it| it.trim().to_owned()).collect())
}

fn run_cargo(args: &[&str]) -> eyre::Result<()> {
    println!("cargo {}", args.join(" "));
    let status = Command::new("cargo").args(args).status()?;
    eyre::ensure!(status.success(), "cargo {} failed", args.join(" "));
    Ok(())
}
