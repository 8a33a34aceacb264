//! Event rates and a token bucket that enforces them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Events per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Rate(f64);

/// Why a text is not a rate: a finite, non-negative number with an optional `/s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum ParseError {
    /// Not a number.
    #[strum(to_string = "not a number of events per second")]
    NotANumber,
    /// Negative or not finite.
    #[strum(to_string = "a rate must be finite and not negative")]
    OutOfRange,
}

impl std::error::Error for ParseError {}

impl Rate {
    /// The rate in events per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(value: f64) -> Result<Rate, ParseError> {
        if !value.is_finite() || value < 0.0 {
            return Err(ParseError::OutOfRange);
        }
        Ok(Rate(value))
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Rate, ParseError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let value: f64 = digits.parse().map_err(|_| ParseError::NotANumber)?;
        Rate::try_from(value)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A token bucket. The caller supplies the elapsed time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    burst: f64,
}

impl TokenBucket {
    /// Creates a full bucket with a capacity of `burst` tokens.
    #[must_use]
    pub fn new(burst: f64) -> TokenBucket {
        TokenBucket {
            tokens: burst,
            burst,
        }
    }

    /// Adds `amount` tokens, up to the capacity.
    pub fn add(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(self.burst);
    }

    /// Adds the tokens that accrue at `rate` during `elapsed`, up to the capacity.
    pub fn refill(&mut self, rate: Rate, elapsed: Duration) {
        self.add(rate.per_second() * elapsed.as_secs_f64());
    }

    /// Takes one token; returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
