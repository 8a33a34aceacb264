//! The node process, which runs once per instance on the users' platform.

use std::path::PathBuf;
use std::sync::Arc;

use node::connection::Dialer;
use platform::settings;
use telemetry::Telemetry;
use telemetry::registry::Registry;
use tokio::signal::unix;

fn main() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", help());
        return Ok(());
    }
    let is_check = args.contains("--check");
    let path: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    let path = match path {
        Some(path) => path,
        None => settings::path()?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Until there is a handler, SIGHUP ends the process.
    let _hangup = {
        let _context = runtime.enter();
        unix::signal(unix::SignalKind::hangup())?
    };
    let settings = settings::read(&path)?;
    if is_check {
        return Ok(());
    }
    runtime.block_on(async {
        let signals = supervisor::shutdown_signal()?;
        let registry = Registry::default();
        let name = settings.instance.as_str();
        let telemetry = Telemetry::with_registry(name, registry.clone());
        let dialer = Arc::new(Dialer);
        node::serve::run(settings, path, telemetry, registry, dialer, signals).await
    })
}

fn help() -> String {
    format!(
        "\
catkinvane-node: serves clients on one instance

  --settings FILE   settings; by default the file that {} names
  --check           check the settings and exit
",
        settings::PATH_VARIABLE
    )
}
