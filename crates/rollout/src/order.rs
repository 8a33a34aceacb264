//! What operators order, and how far it has come.

use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use base::time::Bounded;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Bounds on roll-outs, for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the requests of a service that a bad version may get between the order and its
    /// deadline.
    pub exposure_share: f64,
    /// Requests that a bad version may get in addition.
    pub exposure_extra: f64,
}

/// An order to move the traffic of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The software version that the traffic moves to.
    pub to: id::Software,
    /// The version as operators write it.
    pub text: String,
    /// Time from the order to its deadline.
    pub over: Duration,
    /// Store version of the order; identifies it.
    pub version: u64,
}

/// Stages of a roll-out, in order.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// A small share of the traffic goes to the new version, larger from step to step.
    Step(u8),
    /// Nearly all of the traffic goes to the new version, for a short time.
    Whole,
    /// The new version has proved good. Nothing is sent to the old one any more.
    Sealed,
    /// The old upstreams may stop.
    Complete,
    /// Nothing may be sent to the new version.
    Reverted,
    /// The upstreams that the roll-out ended for are gone, so that it restricts nothing any more.
    Ended,
}

/// Phase of a roll-out as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Under way.
    Running,
    /// All traffic goes to the new version.
    Complete,
    /// All traffic goes to the old version.
    Reverted,
}

impl Stage {
    /// The phase to report; `None` for [`Stage::Ended`], which leaves the phase as it is.
    #[must_use]
    pub fn phase(self) -> Option<Phase> {
        match self {
            Stage::Step(_) | Stage::Whole | Stage::Sealed => Some(Phase::Running),
            Stage::Complete => Some(Phase::Complete),
            Stage::Reverted => Some(Phase::Reverted),
            Stage::Ended => None,
        }
    }

    /// Whether the roll-out is under way.
    #[must_use]
    pub fn is_running(self) -> bool {
        self < Stage::Complete
    }
}

/// State of a roll-out, as stored.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// [`Order::version`] of the order.
    pub order: u64,
    /// The software version that the traffic moves to.
    pub to: id::Software,
    /// The stage.
    pub stage: Stage,
    /// Time from the order to the begin of the stage.
    #[serde_as(as = "Bounded")]
    pub elapsed: Duration,
    /// Versions of earlier roll-outs that were not completed: nothing may be sent to them.
    #[serde(default)]
    pub barred: BTreeSet<id::Software>,
}
