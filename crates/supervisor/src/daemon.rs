//! Common `main` of the daemons: parses arguments and settings and starts the Tokio runtime.

use std::fmt::Display;
use std::path::PathBuf;

use eyre::WrapErr;

/// Reads the settings file given by `--settings` and runs `serve` with its content. With
/// `--check`, returns after checking the settings; with `--help`, prints `help`.
///
/// # Errors
///
/// Fails if an argument or the file is missing, if the settings have faults, which are printed to
/// standard error, or if `serve` fails.
pub fn run<S, E, F>(
    help: &str,
    parse_settings: impl FnOnce(&str) -> Result<S, Vec<E>>,
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
    let is_check_only = args.contains("--check");
    let path: PathBuf = args.value_from_str("--settings")?;
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    let settings = match parse_settings(&text) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{}:{fault}", path.display());
            }
            eyre::bail!("{} faults in {}", faults.len(), path.display());
        }
    };
    if is_check_only {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}
