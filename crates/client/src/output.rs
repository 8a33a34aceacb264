//! Formatting of the client's output.

use std::collections::BTreeMap;
use std::fmt::Write;

use base::id;
use config::Document;
use serde_json::Value;
use serde_json::json;
use telemetry::timeline::Event;
use wire::status::Status;

/// Formats the status of all members as text.
pub(crate) fn format_statuses(statuses: &BTreeMap<id::Instance, Option<Status>>) -> String {
    let mut text = String::new();
    for (instance, status) in statuses {
        // Writing to a `String` cannot fail.
        let _ = match status {
            Some(status) => write_status(&mut text, status),
            None => writeln!(text, "{instance}: no answer"),
        };
    }
    text
}

fn write_status(text: &mut String, status: &Status) -> std::fmt::Result {
    let gateway = status.gateway_version.map(|it| it.to_string());
    writeln!(
        text,
        "{} zone={} config={} gateway={} fence={} store={} violations={}",
        status.instance,
        status.zone,
        status.config_version,
        gateway.as_deref().unwrap_or("-"),
        if status.is_unfenced { "open" } else { "closed" },
        if status.is_store_up { "up" } else { "down" },
        status.violations,
    )?;
    for it in &status.upstreams {
        writeln!(
            text,
            "  {:24} zone={:10} {:8} limit={} in_flight={} queued={} inherited={}{}",
            it.name.as_str(),
            it.zone.as_str(),
            it.warmth,
            it.load.limit,
            it.load.in_flight,
            it.load.queued,
            it.inherited,
            if it.is_drained { " drained" } else { "" },
        )?;
    }
    Ok(())
}

/// Converts the status of all members to JSON; `null` for a member that did not answer.
pub(crate) fn statuses_to_json(statuses: &BTreeMap<id::Instance, Option<Status>>) -> Value {
    let entries = statuses
        .iter()
        .map(|(instance, status)| (instance.to_string(), json!(status)));
    Value::Object(entries.collect())
}

/// Formats the configuration in force as YAML, with version and drained targets in comments.
pub(crate) fn format_document(document: &Document) -> String {
    let mut text = format!("# version {} by {}\n", document.version, document.author);
    for zone in &document.drained.zones {
        text.push_str(&format!("# drained zone {zone}\n"));
    }
    for upstream in &document.drained.upstreams {
        text.push_str(&format!("# drained upstream {upstream}\n"));
    }
    text.push_str(&document.text);
    text
}

/// Returns the unified diff between the text in force and the text of a file.
pub(crate) fn unified_diff(in_force: &str, file: &str) -> String {
    let diff = similar::TextDiff::from_lines(in_force, file);
    let mut unified = diff.unified_diff();
    unified.header("in force", "file").to_string()
}

/// Formats a timeline as text, with times relative to its first event.
pub(crate) fn format_timeline(events: &[Event]) -> String {
    let start = events.first().map_or(0, |it| it.at_us);
    let lines = events.iter().map(|event| {
        let millis = (event.at_us - start) as f64 / 1000.0;
        format!("t={millis:.1}ms {event}\n")
    });
    lines.collect()
}
