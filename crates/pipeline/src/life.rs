//! Life of a request as types: only a request of which nothing was sent can be refused as not run.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::Executed;
use base::invariant;
use base::invariant::Invariant;

use crate::outcome::Failure;
use crate::outcome::FailureReason;
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

/// Shared account of what was sent of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sending(Arc<Mutex<Account>>);

#[derive(Debug, Default)]
struct Account {
    /// Attempts whose owner has neither refused nor finished them.
    outstanding: u32,
    /// Whether any attempt was sent, or may have been.
    is_sent: bool,
    /// Whether the request was declared unsent, so that nothing may be sent any more.
    is_closed: bool,
}

/// An attempt on its way. Unless its owner refuses it, it counts as sent, also when its future is
/// dropped.
#[derive(Debug)]
pub(crate) struct Outstanding {
    sending: Sending,
    is_refused: bool,
}

impl Sending {
    fn lock(&self) -> MutexGuard<'_, Account> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an attempt; `None` when the request was declared unsent.
    pub(crate) fn begin(&self) -> Option<Outstanding> {
        let mut account = self.lock();
        if account.is_closed {
            return None;
        }
        account.outstanding += 1;
        Some(Outstanding {
            sending: self.clone(),
            is_refused: false,
        })
    }

    /// Notes that something was sent, or may have been, by this request or another one with its
    /// key.
    pub(crate) fn mark(&self) {
        self.lock().is_sent = true;
    }

    /// Declares the request unsent, if it is; nothing can be sent afterwards.
    fn close(&self) -> bool {
        let mut account = self.lock();
        account.is_closed = !account.is_sent && account.outstanding == 0;
        account.is_closed
    }

    fn is_unsent(&self) -> bool {
        let account = self.lock();
        !account.is_sent && account.outstanding == 0
    }
}

impl Outstanding {
    /// The owner refused the attempt: nothing was sent.
    pub(crate) fn refused(mut self) {
        self.is_refused = true;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let mut account = self.sending.lock();
        account.outstanding -= 1;
        account.is_sent |= !self.is_refused;
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
    /// The account that attempts keep.
    pub(crate) fn sending(&self) -> Sending {
        self.sending.clone()
    }

    /// Ends the work of the request. Attempts in the background may go on only if one was sent.
    pub(crate) fn close(self) -> Closed {
        let is_unsent = self.sending.close();
        if is_unsent {
            return Closed::Unsent(Life {
                sending: self.sending,
                state: PhantomData,
            });
        }
        Closed::Running(Life {
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
        reason: FailureReason,
        executed: Executed,
        retry_after: Duration,
    ) -> Failure {
        Failure {
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
        invariant::check(Invariant::NotRunNeverSent, sending.is_unsent());
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
