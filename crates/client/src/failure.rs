//! Errors of the client and their exit codes.

use base::id;

/// Why a command failed.
#[derive(Debug, strum::Display)]
pub enum Failure {
    /// The command line is invalid.
    #[strum(to_string = "{0}\nTry 'catkinvane --help'.")]
    Usage(String),
    /// A file cannot be read; holds its path and the error.
    #[strum(to_string = "cannot read {0}: {1}")]
    File(String, std::io::Error),
    /// A configuration or settings file is invalid. Each line is `file:line:column: error`, without
    /// the file if the dispatcher found the errors.
    #[strum(to_string = "{0}")]
    Invalid(String),
    /// Another change was committed before this one.
    #[strum(to_string = "version {version} by {author} came first; compare with 'catkinvane diff'")]
    Conflict {
        /// Version in force.
        version: u64,
        /// Author of that version.
        author: String,
    },
    /// The zone or upstream is not in the configuration.
    #[strum(to_string = "no such zone or upstream in the configuration")]
    UnknownTarget,
    /// The platform's table is unavailable, so nothing was changed.
    #[strum(to_string = "the platform's table is down; nothing was changed")]
    StoreDown,
    /// The change is accepted, but not in force at the listed instances when the wait ended.
    #[strum(to_string = "accepted, but not in force yet at: {0}")]
    NotInForce(String),
    /// No dispatcher answered, or one sent an unexpected reply.
    #[strum(to_string = "no dispatcher answers")]
    Unreachable,
    /// The certificates, the QUIC transport or the async runtime cannot be set up.
    #[strum(to_string = "setup failed: {0}")]
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
            Failure::Invalid(_) => 3,
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
