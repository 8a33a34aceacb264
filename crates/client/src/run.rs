//! Execution of the client's commands.

use std::path::Path;
use std::time::Duration;

use base::id;
use config::settings;
use serde_json::json;
use tokio::time::Instant;
use wire::message::Action;
use wire::message::ChangeResult;
use wire::status::Status;

use crate::command;
use crate::command::Command;
use crate::command::Format;
use crate::command::Invocation;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a parsed command line and returns its output.
///
/// # Errors
///
/// Fails if a file is unreadable or invalid, if no dispatcher answers, or if a change is rejected
/// or is not in force in time.
pub async fn run(invocation: Invocation) -> Result<String, Failure> {
    let format = invocation.format;
    match &invocation.command {
        Command::Help => Ok(command::HELP.to_owned()),
        Command::Check(file) => {
            let text = read_file(file)?;
            validate(file, &text)?;
            Ok(format_result(format, "no faults"))
        }
        Command::Keys(dir) => {
            let tls =
                wire::tls::generate_files(dir).map_err(|err| Failure::Setup(err.to_string()))?;
            Ok(format_result(format, &tls.authority.display().to_string()))
        }
        Command::Show => {
            let document = open_session(&invocation)?.document().await?;
            Ok(match format {
                Format::Text => output::format_document(&document),
                Format::Json => format!("{}\n", json!(document)),
            })
        }
        Command::Diff(file) => {
            let document = open_session(&invocation)?.document().await?;
            Ok(output::unified_diff(&document.text, &read_file(file)?))
        }
        Command::Apply { file, expect } => apply_file(&invocation, file, *expect).await,
        Command::Drain(target) => submit_change(&invocation, Action::Drain(target.clone())).await,
        Command::Return(target) => submit_change(&invocation, Action::Return(target.clone())).await,
        Command::Status => {
            let statuses = open_session(&invocation)?.statuses().await?;
            Ok(match format {
                Format::Text => output::format_statuses(&statuses),
                Format::Json => format!("{}\n", output::statuses_to_json(&statuses)),
            })
        }
        Command::Timeline(trace) => {
            let events = open_session(&invocation)?.timeline(*trace).await?;
            Ok(match format {
                Format::Text => output::format_timeline(&events),
                Format::Json => format!("{}\n", json!(events)),
            })
        }
    }
}

fn open_session(invocation: &Invocation) -> Result<Session, Failure> {
    let text = read_file(&invocation.settings)?;
    let settings = settings::parse_client(&text)
        .map_err(|errors| Failure::Invalid(format_diagnostics(&invocation.settings, &errors)))?;
    Session::open(settings)
}

fn read_file(path: &Path) -> Result<String, Failure> {
    let display = path.display().to_string();
    std::fs::read_to_string(path).map_err(|err| Failure::File(display, err))
}

fn validate(path: &Path, text: &str) -> Result<(), Failure> {
    match config::document::parse_deployment(text) {
        Ok(_) => Ok(()),
        Err(diagnostics) => Err(Failure::Invalid(format_diagnostics(path, &diagnostics))),
    }
}

fn format_diagnostics(path: &Path, diagnostics: &[config::Diagnostic]) -> String {
    let lines = diagnostics
        .iter()
        .map(|it| format!("{}:{it}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

fn format_result(format: Format, message: &str) -> String {
    match format {
        Format::Text => format!("{message}\n"),
        Format::Json => format!("{}\n", json!({"result": message})),
    }
}

async fn apply_file(
    invocation: &Invocation,
    file: &Path,
    expect: Option<u64>,
) -> Result<String, Failure> {
    let text = read_file(file)?;
    validate(file, &text)?;
    let expect = match expect {
        Some(expect) => expect,
        None => open_session(invocation)?.document().await?.version,
    };
    submit_change(invocation, Action::Apply { text, expect }).await
}

async fn submit_change(invocation: &Invocation, action: Action) -> Result<String, Failure> {
    let session = open_session(invocation)?;
    let drained = match &action {
        Action::Drain(target) => Some(target.clone()),
        Action::Apply { .. } | Action::Return(_) => None,
    };
    match session.change(action).await? {
        ChangeResult::Committed(version) => {
            let is_in_force = |status: &Status| has_version(status, version);
            let count = wait_for_rollout(&session, invocation.wait, is_in_force).await?;
            let message = format!("version {version} in force at {count} instances");
            Ok(format_result(invocation.format, &message))
        }
        ChangeResult::Spreading => {
            let is_in_force = |status: &Status| {
                let target = drained.as_ref();
                target.is_some_and(|target| is_drained(status, target))
            };
            let count = wait_for_rollout(&session, invocation.wait, is_in_force).await?;
            let message = format!("in force at {count} instances, not yet kept in the table");
            Ok(format_result(invocation.format, &message))
        }
        ChangeResult::Conflict { version, author } => Err(Failure::Conflict { version, author }),
        ChangeResult::Faults(diagnostics) => Err(Failure::Invalid(diagnostics.join("\n"))),
        ChangeResult::UnknownTarget => Err(Failure::UnknownTarget),
        ChangeResult::StoreDown => Err(Failure::StoreDown),
    }
}

fn has_version(status: &Status, version: u64) -> bool {
    let is_gateway_current = status.gateway_version.is_none_or(|it| it >= version);
    status.config_version >= version && is_gateway_current
}

fn is_drained(status: &Status, target: &wire::message::Target) -> bool {
    match target {
        wire::message::Target::Zone(zone) => status.drained.zones.contains(zone),
        wire::message::Target::Upstream(name) => status.drained.upstreams.contains(name),
    }
}

/// Polls until the status of every instance satisfies `is_in_force`; returns their number.
async fn wait_for_rollout(
    session: &Session,
    wait: Duration,
    is_in_force: impl Fn(&Status) -> bool,
) -> Result<usize, Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let statuses = session.statuses().await?;
        let is_lagging = |status: &Option<Status>| !status.as_ref().is_some_and(&is_in_force);
        let lagging: Vec<&id::Instance> = statuses
            .iter()
            .filter(|(_, status)| is_lagging(status))
            .map(|(instance, _)| instance)
            .collect();
        if lagging.is_empty() {
            return Ok(statuses.len());
        }
        if Instant::now() >= deadline {
            let names: Vec<String> = lagging.iter().map(ToString::to_string).collect();
            return Err(Failure::NotInForce(names.join(", ")));
        }
        tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
    }
}
