//! Life cycle of a forwarded request as a typestate.
//!
//! A request may be refused with the guarantee that it has not run only if no upstream can have run
//! it. [`Lifecycle::refuse`] therefore exists in the state [`Unsent`] alone. A sent request returns
//! to that state only if no byte reached the upstream, or the upstream stated that it ran nothing.

use std::marker::PhantomData;
use std::time::Duration;

use base::Executed;

/// Nothing has been sent, or no upstream that was sent to ran anything.
#[derive(Clone, Copy, Debug)]
pub enum Unsent {}
/// Bytes are in transit or have arrived at an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Sent {}
/// An upstream may have run the request, and its answer is lost.
#[derive(Clone, Copy, Debug)]
pub enum Unknown {}

/// Why a request was not answered by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// This instance has no configuration yet.
    NotReady,
    /// This instance is shutting down.
    Stopping,
    /// The request's steps cannot finish before its deadline.
    StepsTooLate,
    /// The request's steps failed.
    StepsFailed,
    /// No owner answered for the request's steps.
    NoOwner,
    /// The service has no usable upstream.
    NoUpstream,
    /// The request resumes a stream, and the software version that began it is not known or not in
    /// service.
    UnknownOrigin,
    /// Every usable upstream has asked for no requests, or the upstream ran nothing because it was
    /// full.
    Full,
    /// The rate limits that the upstreams announced are exhausted.
    RateLimit,
    /// The cold limit of every upstream is exhausted.
    ColdLimit,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The deadline passed.
    Deadline,
    /// The connection to the upstream broke.
    ConnectionLost,
    /// The answer is too large, unsigned, encoded or for another request.
    BadAnswer,
    /// The request is quarantined because it crashed several upstreams.
    Quarantined,
}

/// A failure that this system answers a request with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub cause: Cause,
    /// Whether the request ran.
    pub executed: Executed,
    /// Time after which the client may retry; set exactly if nothing ran.
    pub retry_after: Option<Duration>,
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Lifecycle<S> {
    sends: u32,
    /// Whether an earlier send ended with an unknown outcome.
    may_have_run: bool,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    /// Number of upstreams that the request may have run on.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    fn into_state<T>(self) -> Lifecycle<T> {
        Lifecycle {
            sends: self.sends,
            may_have_run: self.may_have_run,
            state: PhantomData,
        }
    }
}

impl Default for Lifecycle<Unsent> {
    fn default() -> Lifecycle<Unsent> {
        Lifecycle {
            sends: 0,
            may_have_run: false,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Unsent> {
    /// Marks the request as sent, just before its first byte.
    #[must_use]
    pub fn send(self) -> Lifecycle<Sent> {
        let life = Lifecycle {
            sends: self.sends + 1,
            ..self
        };
        life.into_state()
    }

    /// Refuses the request with the guarantee that it has not run.
    #[must_use]
    pub fn refuse(self, cause: Cause, retry_after: Duration) -> Failure {
        Failure {
            cause,
            executed: Executed::No,
            retry_after: Some(retry_after),
        }
    }
}

/// A request that is not in flight to an upstream.
#[derive(Debug)]
pub enum Pending {
    /// No upstream has run the request.
    Unsent(Lifecycle<Unsent>),
    /// An upstream may have run the request.
    Unknown(Lifecycle<Unknown>),
}

impl Pending {
    /// Number of upstreams that the request may have run on.
    #[must_use]
    pub fn sends(&self) -> u32 {
        match self {
            Pending::Unsent(life) => life.sends(),
            Pending::Unknown(life) => life.sends(),
        }
    }

    /// Marks the request as sent, just before its first byte. A request that may have run already
    /// must be safe to repeat.
    #[must_use]
    pub fn send(self) -> Lifecycle<Sent> {
        match self {
            Pending::Unsent(life) => life.send(),
            Pending::Unknown(life) => life.send_again(),
        }
    }

    /// Ends the request with a failure; `retry_after` is set only if nothing has run.
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
    /// Takes the send back: the upstream stated that it ran nothing, or no byte reached it.
    #[must_use]
    pub fn not_run(self) -> Pending {
        let life = Lifecycle {
            sends: self.sends.saturating_sub(1),
            ..self
        };
        if life.may_have_run {
            return Pending::Unknown(life.into_state());
        }
        Pending::Unsent(life.into_state())
    }

    /// Marks the outcome of the send as unknown.
    #[must_use]
    pub fn outcome_unknown(self) -> Lifecycle<Unknown> {
        let life = Lifecycle {
            may_have_run: true,
            ..self
        };
        life.into_state()
    }
}

impl Lifecycle<Unknown> {
    /// Marks the request as sent again; only for requests that are safe to repeat.
    #[must_use]
    pub fn send_again(self) -> Lifecycle<Sent> {
        let life = Lifecycle {
            sends: self.sends + 1,
            ..self
        };
        life.into_state()
    }

    /// Ends the request without a guarantee that it has not run.
    #[must_use]
    pub fn fail(self, cause: Cause) -> Failure {
        Failure {
            cause,
            executed: Executed::Unknown,
            retry_after: None,
        }
    }
}
