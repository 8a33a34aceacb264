//! Eras of the store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Number of the store's copy. It rises by one each time that the store comes back from an older
/// copy of its rows, after which it gives out versions again. Versions can be compared only within
/// an era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Era, ParseIntError> {
        text.parse().map(Era)
    }
}
