//! What every daemon's `main` does: arguments, settings and the runtime.

use std::fmt::Display;
use std::path::PathBuf;

use eyre::WrapErr;

/// Runs a daemon that takes `--settings FILE`, and `--check` to stop after checking it.
///
/// # Errors
///
/// Fails when the settings have faults, each of which is printed, or when `serve` does.
pub fn run<S, E, F>(
    help: &str,
    read: impl FnOnce(&str) -> Result<S, Vec<E>>,
    serve: impl FnOnce(S) -> F,
) -> eyre::Result<()>
where
    E: Display,
    F: Future<Output = eyre::Result<()>>,
{
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{help}");
        return Ok(());
    }
    let is_check = args.contains("--check");
    let path: PathBuf = args.value_from_str("--settings")?;
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    let settings = match read(&text) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{}:{fault}", path.display());
            }
            eyre::bail!("{} faults in {}", faults.len(), path.display());
        }
    };
    if is_check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}
