//! Failures of the client and their exit codes.

use base::id;

/// Why a command failed.
#[derive(Debug, strum::Display)]
pub enum Failure {
    /// The command line cannot be understood.
    #[strum(to_string = "{0}\nTry 'catkinvane --help'.")]
    Usage(String),
    /// A file cannot be read or written.
    #[strum(to_string = "{0}: {1}")]
    File(String, std::io::Error),
    /// A text has faults; each line is `file:line:column: problem`.
    #[strum(to_string = "{0}")]
    Faults(String),
    /// Another change came first.
    #[strum(to_string = "version {version} by {author} came first; compare with 'catkinvane diff'")]
    Conflict {
        /// Version in force.
        version: u64,
        /// Who made it.
        author: String,
    },
    /// The zone or upstream is not in the configuration.
    #[strum(to_string = "no such zone or upstream in the configuration")]
    UnknownTarget,
    /// The table is down; nothing was changed.
    #[strum(to_string = "the platform's table is down; nothing was changed")]
    StoreDown,
    /// The change is accepted and not in force at some instances yet.
    #[strum(to_string = "accepted, but not in force yet at: {0}")]
    NotInForce(String),
    /// No dispatcher answers.
    #[strum(to_string = "no dispatcher answers")]
    Unreachable,
    /// Certificates or transport cannot be set up.
    #[strum(to_string = "{0}")]
    Setup(String),
}

impl std::error::Error for Failure {}

impl Failure {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::File(..) | Failure::Setup(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Faults(_) => 3,
            Failure::Conflict { .. } => 4,
            Failure::UnknownTarget => 5,
            Failure::StoreDown => 6,
            Failure::NotInForce(_) => 7,
            Failure::Unreachable => 8,
        }
    }
}

impl From<id::ParseError> for Failure {
    fn from(err: id::ParseError) -> Failure {
        Failure::Usage(err.to_string())
    }
}

impl From<pico_args::Error> for Failure {
    fn from(err: pico_args::Error) -> Failure {
        Failure::Usage(err.to_string())
    }
}
