//! Logging in logfmt (`key=value`) format.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;

use crate::timeline::Event;

/// Maximum number of log lines that wait for standard output; `slog` drops and counts further ones.
const QUEUED_LINES_MAX: usize = 4096;

/// Creates a logger that writes one logfmt line per record to standard output.
pub fn stdout(process: &str) -> slog::Logger {
    let drain = slog_logfmt::Logfmt::new(std::io::stdout())
        .set_prefix(write_prefix)
        .print_msg(false)
        .print_level(false)
        .print_tag(false)
        .build()
        .fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES_MAX)
        .build()
        .fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

fn write_prefix(out: &mut dyn Write, record: &slog::Record<'_>) -> slog::Result {
    let level = record.level().as_short_str().to_ascii_lowercase();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    write!(out, "ts_ms={millis} level={level} event={} ", record.msg())?;
    Ok(())
}

/// Logs a timeline event.
pub(crate) fn event(logger: &slog::Logger, event: &Event) {
    let trace = event.trace.map(|it| it.to_string()).unwrap_or_default();
    let fields = slog::o!("trace" => trace);
    let logger = logger.new(fields);
    let detail: String = event
        .fields
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect::<Vec<_>>()
        .join(",");
    slog::info!(logger, "{}", event.kind; "detail" => detail);
}
