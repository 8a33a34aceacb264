//! Runs a command.

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

const FORCE_POLL: Duration = Duration::from_millis(100);

/// Runs a parsed command line and returns what to print.
///
/// # Errors
///
/// Fails with what the operator must know.
pub async fn run(invocation: Invocation) -> Result<String, Failure> {
    let format = invocation.format;
    match &invocation.command {
        Command::Help => Ok(command::HELP.to_owned()),
        Command::Check(file) => {
            let text = read(file)?;
            check(file, &text)?;
            Ok(done(format, "no faults"))
        }
        Command::Keys(dir) => {
            let tls =
                wire::tls::generate_files(dir).map_err(|err| Failure::Setup(err.to_string()))?;
            Ok(done(format, &tls.authority.display().to_string()))
        }
        Command::Show => {
            let document = session(&invocation)?.document().await?;
            Ok(match format {
                Format::Text => output::document(&document),
                Format::Json => format!("{}\n", json!(document)),
            })
        }
        Command::Diff(file) => {
            let document = session(&invocation)?.document().await?;
            Ok(output::difference(&document.text, &read(file)?))
        }
        Command::Apply { file, expect } => apply(&invocation, file, *expect).await,
        Command::Drain(target) => change(&invocation, Action::Drain(target.clone())).await,
        Command::Return(target) => change(&invocation, Action::Return(target.clone())).await,
        Command::Status => {
            let statuses = session(&invocation)?.statuses().await?;
            Ok(match format {
                Format::Text => output::statuses(&statuses),
                Format::Json => format!("{}\n", output::statuses_json(&statuses)),
            })
        }
        Command::Timeline(trace) => {
            let events = session(&invocation)?.timeline(*trace).await?;
            Ok(match format {
                Format::Text => output::timeline(&events),
                Format::Json => format!("{}\n", json!(events)),
            })
        }
    }
}

fn session(invocation: &Invocation) -> Result<Session, Failure> {
    let text = read(&invocation.settings)?;
    let settings = settings::parse_client(&text)
        .map_err(|faults| Failure::Faults(listed(&invocation.settings, &faults)))?;
    Session::open(settings)
}

fn read(path: &Path) -> Result<String, Failure> {
    let display = path.display().to_string();
    std::fs::read_to_string(path).map_err(|err| Failure::File(display, err))
}

fn check(path: &Path, text: &str) -> Result<(), Failure> {
    match config::document::parse_deployment(text) {
        Ok(_) => Ok(()),
        Err(faults) => Err(Failure::Faults(listed(path, &faults))),
    }
}

fn listed(path: &Path, faults: &[config::Diagnostic]) -> String {
    let lines = faults.iter().map(|it| format!("{}:{it}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

fn done(format: Format, message: &str) -> String {
    match format {
        Format::Text => format!("{message}\n"),
        Format::Json => format!("{}\n", json!({"result": message})),
    }
}

async fn apply(
    invocation: &Invocation,
    file: &Path,
    expect: Option<u64>,
) -> Result<String, Failure> {
    let text = read(file)?;
    check(file, &text)?;
    let expect = match expect {
        Some(expect) => expect,
        None => session(invocation)?.document().await?.version,
    };
    change(invocation, Action::Apply { text, expect }).await
}

async fn change(invocation: &Invocation, action: Action) -> Result<String, Failure> {
    let session = session(invocation)?;
    let drained = match &action {
        Action::Drain(target) => Some(target.clone()),
        Action::Apply { .. } | Action::Return(_) => None,
    };
    match session.change(action).await? {
        ChangeResult::Committed(version) => {
            let is_in_force = |status: &Status| has_version(status, version);
            let count = wait_for(&session, invocation.wait, is_in_force).await?;
            let message = format!("version {version} in force at {count} instances");
            Ok(done(invocation.format, &message))
        }
        ChangeResult::Spreading => {
            let is_in_force = |status: &Status| {
                let target = drained.as_ref();
                target.is_some_and(|target| is_drained(status, target))
            };
            let count = wait_for(&session, invocation.wait, is_in_force).await?;
            let message = format!("in force at {count} instances, not yet kept in the table");
            Ok(done(invocation.format, &message))
        }
        ChangeResult::Conflict { version, author } => Err(Failure::Conflict { version, author }),
        ChangeResult::Faults(faults) => Err(Failure::Faults(faults.join("\n"))),
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

/// Waits until every instance satisfies `is_in_force`; returns how many there are.
async fn wait_for(
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
        tokio::time::sleep(FORCE_POLL).await;
    }
}
