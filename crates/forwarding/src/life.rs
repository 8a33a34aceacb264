//! Life cycle of a request towards its upstreams, as a typestate.
//!
//! Only a request of which nothing can have run may be refused with a promise that it has not run.
//! [`Lifecycle::refuse`] exists in the state [`Unsent`] alone, which is reached again only by the word of
//! the upstream that it ran nothing.

use std::marker::PhantomData;
use std::time::Duration;

use base::Executed;

/// Nothing has been sent, or every upstream stated that it ran nothing.
#[derive(Clone, Copy, Debug)]
pub enum Unsent {}
/// Bytes are on their way or have arrived.
#[derive(Clone, Copy, Debug)]
pub enum Sent {}
/// An upstream may have run the request, and its answer is lost.
#[derive(Clone, Copy, Debug)]
pub enum Unknown {}

/// Why a request got no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No configuration is in force yet.
    NotReady,
    /// The process is stopping.
    Stopping,
    /// Its steps cannot end in time.
    StepsTooLate,
    /// Its steps failed.
    StepsFailed,
    /// No owner of its steps answers.
    NoOwner,
    /// No upstream of its service may be used.
    NoUpstream,
    /// Every upstream is full.
    Full,
    /// The cold limit of every upstream is used up.
    ColdLimit,
    /// The retry budget is used up.
    RetryBudget,
    /// The time is up.
    Deadline,
    /// The connection to the upstream broke.
    ConnectionLost,
    /// The answer is not a whole answer to this request.
    BadAnswer,
    /// It crashed several upstreams.
    Quarantined,
}

/// A final answer of this system's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub cause: Cause,
    /// Whether the request ran.
    pub executed: Executed,
    /// When the client may come back; set exactly when nothing ran.
    pub retry_after: Option<Duration>,
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Lifecycle<S> {
    sends: u32,
    /// An earlier send ended without a known outcome.
    is_tainted: bool,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    /// Upstreams that the request may have run on.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    fn into_state<T>(self) -> Lifecycle<T> {
        Lifecycle {
            sends: self.sends,
            is_tainted: self.is_tainted,
            state: PhantomData,
        }
    }
}

impl Default for Lifecycle<Unsent> {
    fn default() -> Lifecycle<Unsent> {
        Lifecycle {
            sends: 0,
            is_tainted: false,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Unsent> {
    /// The first byte is about to be sent.
    #[must_use]
    pub fn send(self) -> Lifecycle<Sent> {
        let life = Lifecycle {
            sends: self.sends + 1,
            ..self
        };
        life.into_state()
    }

    /// Ends the request with the promise that it has not run.
    #[must_use]
    pub fn refuse(self, cause: Cause, retry_after: Duration) -> Failure {
        Failure {
            cause,
            executed: Executed::No,
            retry_after: Some(retry_after),
        }
    }
}

/// A request that is not on its way to an upstream.
#[derive(Debug)]
pub enum Pending {
    /// Nothing has run at all.
    Unsent(Lifecycle<Unsent>),
    /// An earlier send may have run.
    Unknown(Lifecycle<Unknown>),
}

impl Pending {
    /// Upstreams that the request may have run on.
    #[must_use]
    pub fn sends(&self) -> u32 {
        match self {
            Pending::Unsent(life) => life.sends(),
            Pending::Unknown(life) => life.sends(),
        }
    }

    /// The first byte is about to be sent. One that may have run before must be repeatable.
    #[must_use]
    pub fn send(self) -> Lifecycle<Sent> {
        match self {
            Pending::Unsent(life) => life.send(),
            Pending::Unknown(life) => life.send_again(),
        }
    }

    /// Ends the request; `retry_after` is told where nothing has run.
    #[must_use]
    pub fn into_failure(self, cause: Cause, retry_after: Duration) -> Failure {
        match self {
            Pending::Unsent(life) => life.refuse(cause, retry_after),
            Pending::Unknown(life) => life.fail(cause),
        }
    }
}

impl Default for Pending {
    fn default() -> Pending {
        Pending::Unsent(Lifecycle::default())
    }
}

impl Lifecycle<Sent> {
    /// The upstream stated that it ran nothing, or no byte reached it.
    #[must_use]
    pub fn not_run(self) -> Pending {
        let life = Lifecycle {
            sends: self.sends.saturating_sub(1),
            ..self
        };
        if life.is_tainted {
            return Pending::Unknown(life.into_state());
        }
        Pending::Unsent(life.into_state())
    }

    /// The outcome cannot be known.
    #[must_use]
    pub fn outcome_unknown(self) -> Lifecycle<Unknown> {
        let life = Lifecycle {
            is_tainted: true,
            ..self
        };
        life.into_state()
    }
}

impl Lifecycle<Unknown> {
    /// Sends again; only for requests that may run more than once.
    #[must_use]
    pub fn send_again(self) -> Lifecycle<Sent> {
        let life = Lifecycle {
            sends: self.sends + 1,
            ..self
        };
        life.into_state()
    }

    /// Ends the request without a promise.
    #[must_use]
    pub fn fail(self, cause: Cause) -> Failure {
        Failure {
            cause,
            executed: Executed::Unknown,
            retry_after: None,
        }
    }
}
