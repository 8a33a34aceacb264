//! Command line of the client.

use std::path::PathBuf;
use std::time::Duration;

use base::id;
use config::check::HumanDuration;
use wire::message::Target;

use crate::failure::Failure;

/// Output of `--help`.
pub const HELP: &str = "\
catkinvane: operators' client

USAGE: catkinvane [OPTIONS] COMMAND

COMMANDS
  check FILE                  validate a configuration; reports every error
  apply FILE [--expect N]     put a configuration in force on all instances
  show                        print the configuration in force
  diff FILE                   compare a file with the configuration in force
  zone drain|return ZONE      drain an availability zone, or return it to service
  upstream drain|return NAME  drain an upstream, or return it to service
  status                      show instances and their upstreams
  timeline [--trace ID]       show the merged events of all processes
  keys DIR                    create a set of test certificates

OPTIONS
  --settings FILE   client settings (default: catkinvane.yaml)
  --wait DURATION   longest wait until a change is in force (default: 10s)
  --output FORMAT   text or json (default: text)
  -h, --help        show this help

EXIT CODES
  0 success   1 file or setup   2 usage   3 invalid file   4 conflict
  5 unknown zone or upstream   6 table down   7 not in force everywhere
  8 no dispatcher answers
";

const DEFAULT_SETTINGS: &str = "catkinvane.yaml";
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Human-readable text.
    Text,
    /// JSON for other programs.
    Json,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// Path of the client's settings file.
    pub settings: PathBuf,
    /// Longest wait until a change is in force.
    pub wait: Duration,
    /// Output format.
    pub format: Format,
    /// Command to run.
    pub command: Command,
}

/// A command of the client with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Validate a configuration file.
    Check(PathBuf),
    /// Put a configuration file in force.
    Apply {
        /// Path of the configuration file.
        file: PathBuf,
        /// Version that must be in force for the change to apply; by default the current one.
        expect: Option<u64>,
    },
    /// Print the configuration in force.
    Show,
    /// Compare a file with the configuration in force.
    Diff(PathBuf),
    /// Take a zone or an upstream out of service.
    Drain(Target),
    /// Return a zone or an upstream to service.
    Return(Target),
    /// Print the state of every instance and its upstreams.
    Status,
    /// Print the merged events of all processes, or those of one trace.
    Timeline(Option<id::Trace>),
    /// Create test certificates in a directory.
    Keys(PathBuf),
}

/// Parses the command line.
///
/// # Errors
///
/// Fails if a command, option or argument is unknown, missing or invalid.
pub fn parse(mut args: pico_args::Arguments) -> Result<Invocation, Failure> {
    let is_help = args.contains(["-h", "--help"]);
    let settings = args.opt_value_from_str("--settings")?;
    let wait: Option<HumanDuration> = args.opt_value_from_str("--wait")?;
    let format = args.opt_value_from_str("--output")?;
    let command = match is_help {
        true => Command::Help,
        false => parse_command(&mut args)?,
    };
    let rest = args.finish();
    if let Some(extra) = rest.first().filter(|_| !is_help) {
        let extra = extra.to_string_lossy();
        return Err(Failure::Usage(format!("unexpected argument '{extra}'")));
    }
    Ok(Invocation {
        settings: settings.unwrap_or_else(|| PathBuf::from(DEFAULT_SETTINGS)),
        wait: wait.map_or(DEFAULT_WAIT, |it| it.0),
        format: format.unwrap_or(Format::Text),
        command,
    })
}

fn parse_command(args: &mut pico_args::Arguments) -> Result<Command, Failure> {
    let Some(name) = args.subcommand()? else {
        return Ok(Command::Help);
    };
    match name.as_str() {
        "check" => Ok(Command::Check(args.free_from_str()?)),
        "apply" => {
            let expect = args.opt_value_from_str("--expect")?;
            let file = args.free_from_str()?;
            Ok(Command::Apply { file, expect })
        }
        "show" => Ok(Command::Show),
        "diff" => Ok(Command::Diff(args.free_from_str()?)),
        "zone" => {
            let is_drain = parse_drain_or_return(args)?;
            let zone = args.free_from_str()?;
            Ok(drain_command(is_drain, Target::Zone(zone)))
        }
        "upstream" => {
            let is_drain = parse_drain_or_return(args)?;
            let name = args.free_from_str()?;
            Ok(drain_command(is_drain, Target::Upstream(name)))
        }
        "status" => Ok(Command::Status),
        "timeline" => Ok(Command::Timeline(args.opt_value_from_str("--trace")?)),
        "keys" => Ok(Command::Keys(args.free_from_str()?)),
        other => Err(Failure::Usage(format!("unknown command '{other}'"))),
    }
}

fn parse_drain_or_return(args: &mut pico_args::Arguments) -> Result<bool, Failure> {
    match args.subcommand()?.as_deref() {
        Some("drain") => Ok(true),
        Some("return") => Ok(false),
        _ => Err(Failure::Usage("expected 'drain' or 'return'".to_owned())),
    }
}

fn drain_command(is_drain: bool, target: Target) -> Command {
    match is_drain {
        true => Command::Drain(target),
        false => Command::Return(target),
    }
}
