//! Life of a request as types: only a request of which nothing was sent can be refused as not run.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Executed;
use base::invariant;
use base::invariant::Invariant;

use crate::outcome::Failed;
use crate::outcome::FailedReason;
use crate::outcome::NotRunReason;

/// The request has arrived.
#[derive(Debug)]
pub(crate) struct Received;
/// The request may be sent.
#[derive(Debug)]
pub(crate) struct Admitted;
/// Nothing was sent, and nothing will be.
#[derive(Debug)]
pub(crate) struct Unsent;
/// Something was sent.
#[derive(Debug)]
pub(crate) struct Running;

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Life<S> {
    sending: Sending,
    state: PhantomData<S>,
}

/// Shared note whether anything of a request was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sending(Arc<AtomicBool>);

impl Sending {
    /// Notes that an attempt was sent, or may have been.
    pub(crate) fn mark(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_marked(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// What a request turned out to be when its work ended.
pub(crate) enum Closed {
    Unsent(Life<Unsent>),
    Running(Life<Running>),
}

impl Life<Received> {
    pub(crate) fn new() -> Life<Received> {
        Life {
            sending: Sending::default(),
            state: PhantomData,
        }
    }

    /// Lets the request through.
    pub(crate) fn admit(self) -> Life<Admitted> {
        Life {
            sending: self.sending,
            state: PhantomData,
        }
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) -> NotRun {
        NotRun::new(&self.sending, reason, retry_after)
    }
}

impl Life<Admitted> {
    /// The note that attempts mark.
    pub(crate) fn sending(&self) -> Sending {
        self.sending.clone()
    }

    /// Ends the work of the request; the caller holds no attempt any more.
    pub(crate) fn close(self) -> Closed {
        let is_sent = self.sending.is_marked();
        if is_sent {
            return Closed::Running(Life {
                sending: self.sending,
                state: PhantomData,
            });
        }
        Closed::Unsent(Life {
            sending: self.sending,
            state: PhantomData,
        })
    }
}

impl Life<Unsent> {
    /// Refuses the request.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) -> NotRun {
        NotRun::new(&self.sending, reason, retry_after)
    }
}

impl Life<Running> {
    /// Reports a failure of a request of which something was sent.
    pub(crate) fn fail(
        self,
        reason: FailedReason,
        executed: Executed,
        retry_after: Duration,
    ) -> Failed {
        Failed {
            reason,
            executed,
            retry_after,
        }
    }
}

/// A refusal of a request of which nothing was sent. Only a [`Life`] makes one.
#[derive(Debug)]
pub struct NotRun {
    reason: NotRunReason,
    retry_after: Duration,
}

impl NotRun {
    fn new(sending: &Sending, reason: NotRunReason, retry_after: Duration) -> NotRun {
        invariant::check(Invariant::NotRunNeverSent, !sending.is_marked());
        NotRun {
            reason,
            retry_after,
        }
    }

    /// Why.
    #[must_use]
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// When to come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}
