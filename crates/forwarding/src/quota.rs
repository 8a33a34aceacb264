//! Rate limits that upstreams announce, kept over all instances.
//!
//! An overloaded upstream states in its answers how many requests per second it accepts from all
//! instances together. Each instance owns an equal share of every such limit and lends it, for a
//! short time, to one coordinator ([`loan`]). The coordinator grants single requests within the
//! shares that it holds ([`pool`]). A fragile upstream states how many rejections per second it
//! bears, and the coordinator counts what is in flight there ([`room`]). If two instances act as
//! coordinator for a while, each holds other shares, so that the sum stays within the limit without
//! an election or a call to the store. [`belief`] holds what each instance knows of the limits.

pub mod belief;
pub mod gate;
pub mod loan;
pub mod pool;
pub mod room;

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a permit is valid. It has to cover the opening of a connection; sends that are
/// delayed longer would add up with later ones.
const PERMIT_VALIDITY: Duration = Duration::from_millis(150);

/// Permission to send one request to an upstream. Every way to send one takes a permit, so that
/// none bypasses the limits.
#[derive(Debug)]
pub struct Permit {
    expires_at: Instant,
}

impl Permit {
    /// A permit that was asked for at `asked_at` and has been granted, or needs no grant because
    /// the upstream has no limit.
    #[must_use]
    pub fn granted(asked_at: Instant) -> Permit {
        Permit {
            expires_at: asked_at + PERMIT_VALIDITY,
        }
    }

    /// Whether the permit may still be used.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// How long a request leaves capacity to others that are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Urgency {
    /// A client request or a step call with this priority; 0 is the most urgent.
    Priority(u8),
    /// Work that may be left undone.
    Deferrable,
}

impl Urgency {
    /// Time by which a more urgent request is ahead when the next one may be sent.
    const PRIORITY_STEP: Duration = Duration::from_millis(5);
    /// Priorities from this one on count as equal.
    const PRIORITY_MAX: u8 = 5;
    /// The same for work that may be left undone.
    const DEFERRABLE_DELAY: Duration = Duration::from_millis(40);

    /// Time by which requests of the highest priority are ahead.
    #[must_use]
    pub fn delay(self) -> Duration {
        match self {
            Urgency::Priority(it) => Self::PRIORITY_STEP * u32::from(it.min(Self::PRIORITY_MAX)),
            Urgency::Deferrable => Self::DEFERRABLE_DELAY,
        }
    }
}
