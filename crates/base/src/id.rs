//! Identifier newtypes.
//!
//! Names are short interned strings, numbers are random 64-bit values. Mixing two kinds up is a
//! type error.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Longest accepted name in bytes.
pub const NAME_BYTES_MAX: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum ParseError {
    /// The text is empty.
    #[strum(to_string = "empty name")]
    Empty,
    /// The text is longer than [`NAME_BYTES_MAX`].
    #[strum(to_string = "name longer than 128 bytes")]
    TooLong,
    /// The text holds a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    #[strum(to_string = "name holds a character other than letters, digits, '-', '_', '.', ':'")]
    InvalidCharacter,
    /// The text is not a hexadecimal number of 64 bits.
    #[strum(to_string = "not a hexadecimal number of 64 bits")]
    InvalidNumber,
    /// The text does not end with the time of a start.
    #[strum(to_string = "no '@' with the Unix milliseconds of a start")]
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
    /// An entry instance of this system.
    Instance
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A workspace, the unit of fairness and isolation among callers.
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
    /// A pipeline of stages.
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
            /// Draws a new random identifier.
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

/// One start of an upstream: it may come back under the name that it had.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation {
    /// Name.
    pub upstream: Upstream,
    /// Unix milliseconds of the start.
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
    /// Joins the events of all processes that served one request.
    Trace
}
number! {
    /// One accepted write to the platform's table, used to resolve ambiguous commits.
    Token
}
number! {
    /// Fingerprint of a request: workspace, pipeline and body hash.
    Fingerprint
}
