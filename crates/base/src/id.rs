//! Identifier newtypes.
//!
//! Names are short, cheaply cloned strings; numbers are random 64-bit values. Each kind has its own
//! type, so that they cannot be confused.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Maximum length of a name in bytes.
pub const NAME_BYTES_MAX: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum ParseError {
    /// The text is empty.
    #[strum(to_string = "name is empty")]
    Empty,
    /// The text is longer than [`NAME_BYTES_MAX`].
    #[strum(to_string = "name is longer than 128 bytes")]
    TooLong,
    /// The text has a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    #[strum(to_string = "name has a character other than letters, digits, '-', '_', '.', ':'")]
    InvalidCharacter,
    /// The text is not a hexadecimal 64-bit number.
    #[strum(to_string = "not a hexadecimal 64-bit number")]
    InvalidNumber,
    /// The text does not end with `@` and the start time in Unix milliseconds.
    #[strum(to_string = "missing '@' with the start time in Unix milliseconds")]
    MissingStartTime,
}

impl std::error::Error for ParseError {}

fn check_name(text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(ParseError::TooLong);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if !text.chars().all(is_allowed) {
        return Err(ParseError::InvalidCharacter);
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $Name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $Name(Arc<str>);

        impl $Name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $Name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $Name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $Name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$Name, ParseError> {
                check_name(text)?;
                Ok($Name(text.into()))
            }
        }

        impl Serialize for $Name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $Name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$Name, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name! {
    /// An instance of this system.
    Instance
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A workspace: the unit of fairness and isolation between callers.
    Workspace
}
name! {
    /// One upstream: a replica of a service.
    Upstream
}
name! {
    /// A named set of interchangeable upstreams.
    Service
}
name! {
    /// A version of the software that upstreams run.
    Software
}
name! {
    /// A pipeline: the stages that a request runs through.
    Pipeline
}
name! {
    /// A stage within a pipeline.
    Stage
}
name! {
    /// A caller's idempotency key.
    IdempotencyKey
}

macro_rules! number {
    ($(#[$doc:meta])* $Name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $Name(pub u64);

        impl $Name {
            /// Generates a random identifier.
            pub fn random(rng: &mut impl rand::Rng) -> $Name {
                $Name(rng.random())
            }
        }

        impl fmt::Display for $Name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl fmt::Debug for $Name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $Name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$Name, ParseError> {
                u64::from_str_radix(text, 16)
                    .map($Name)
                    .map_err(|_| ParseError::InvalidNumber)
            }
        }
    };
}

/// One run of an upstream, from a start to the next: a restarted upstream keeps its name.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.upstream, self.started_ms)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Incarnation, ParseError> {
        let (upstream, started_ms) = text.split_once('@').ok_or(ParseError::MissingStartTime)?;
        Ok(Incarnation {
            upstream: upstream.parse()?,
            started_ms: started_ms
                .parse()
                .map_err(|_| ParseError::MissingStartTime)?,
        })
    }
}

number! {
    /// One attempt of one stage at one upstream.
    Attempt
}
number! {
    /// Trace id of a request, which links the events of all processes that served it.
    Trace
}
number! {
    /// One write to the platform's table. It shows whether a commit whose answer was lost took
    /// effect.
    Token
}
number! {
    /// Fingerprint of a request: workspace, pipeline and body hash.
    Fingerprint
}
