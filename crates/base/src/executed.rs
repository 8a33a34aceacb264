//! Whether a request that got no successful answer was executed.

use serde::Deserialize;
use serde::Serialize;

/// Execution state reported to a caller with every answer that is not a success.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Executed {
    /// No byte of the request was sent to any upstream.
    No,
    /// An upstream completed the request.
    Yes,
    /// At least one upstream may have run the request.
    Unknown,
}
