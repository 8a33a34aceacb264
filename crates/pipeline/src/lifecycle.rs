//! Lifecycle of a request as a type state: only a request of which nothing was sent can be reported
//! as not run.

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
/// The request was admitted; its stages may be sent.
#[derive(Debug)]
pub(crate) struct Admitted;
/// The request has ended; nothing was sent, and nothing will be.
#[derive(Debug)]
pub(crate) struct Unsent;
/// The request has ended; an attempt was sent, or may have been.
#[derive(Debug)]
pub(crate) struct PossiblySent;

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Lifecycle<S> {
    send_tracker: SendTracker,
    state: PhantomData<S>,
}

/// Tracks whether any attempt of a request was sent. Clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendTracker(Arc<Mutex<SendState>>);

#[derive(Debug, Default)]
struct SendState {
    /// Number of attempts that have neither been refused nor ended otherwise.
    pending_attempts: u32,
    /// Whether any attempt was sent, or may have been.
    is_sent: bool,
    /// Whether the request was closed as unsent; no attempt may begin any more.
    is_closed: bool,
}

/// Guard of one attempt. When it is dropped, the attempt counts as sent unless the owner has
/// refused it; this includes an attempt whose future is dropped before it ends.
#[derive(Debug)]
pub(crate) struct SendGuard {
    send_tracker: SendTracker,
    is_refused: bool,
}

impl SendTracker {
    fn lock(&self) -> MutexGuard<'_, SendState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an attempt; `None` if the request was closed as unsent.
    pub(crate) fn begin_attempt(&self) -> Option<SendGuard> {
        let mut state = self.lock();
        if state.is_closed {
            return None;
        }
        state.pending_attempts += 1;
        Some(SendGuard {
            send_tracker: self.clone(),
            is_refused: false,
        })
    }

    /// Records that an attempt was sent, or may have been, by this request or by another one with
    /// the same idempotency key.
    pub(crate) fn mark_sent(&self) {
        self.lock().is_sent = true;
    }

    /// Closes the request if nothing was sent, so that no attempt can begin afterwards; returns
    /// whether it did.
    fn close_if_unsent(&self) -> bool {
        let mut state = self.lock();
        state.is_closed = !state.is_sent && state.pending_attempts == 0;
        state.is_closed
    }

    fn is_unsent(&self) -> bool {
        let state = self.lock();
        !state.is_sent && state.pending_attempts == 0
    }
}

impl SendGuard {
    /// Ends the attempt as refused by its owner: nothing was sent.
    pub(crate) fn mark_refused(mut self) {
        self.is_refused = true;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let mut state = self.send_tracker.lock();
        state.pending_attempts -= 1;
        state.is_sent |= !self.is_refused;
    }
}

/// Final state of a request.
pub(crate) enum ClosedLifecycle {
    Unsent(Lifecycle<Unsent>),
    PossiblySent(Lifecycle<PossiblySent>),
}

impl Lifecycle<Received> {
    pub(crate) fn new() -> Lifecycle<Received> {
        Lifecycle {
            send_tracker: SendTracker::default(),
            state: PhantomData,
        }
    }

    /// Admits the request.
    pub(crate) fn admit(self) -> Lifecycle<Admitted> {
        Lifecycle {
            send_tracker: self.send_tracker,
            state: PhantomData,
        }
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) -> NotRun {
        NotRun::new(&self.send_tracker, reason, retry_after)
    }
}

impl Lifecycle<Admitted> {
    /// The tracker in which attempts of this request register.
    pub(crate) fn send_tracker(&self) -> SendTracker {
        self.send_tracker.clone()
    }

    /// Ends the request. Background attempts may continue only if an attempt was sent, or may have
    /// been.
    pub(crate) fn close(self) -> ClosedLifecycle {
        let is_unsent = self.send_tracker.close_if_unsent();
        if is_unsent {
            return ClosedLifecycle::Unsent(Lifecycle {
                send_tracker: self.send_tracker,
                state: PhantomData,
            });
        }
        ClosedLifecycle::PossiblySent(Lifecycle {
            send_tracker: self.send_tracker,
            state: PhantomData,
        })
    }
}

impl Lifecycle<Unsent> {
    /// Refuses the request.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) -> NotRun {
        NotRun::new(&self.send_tracker, reason, retry_after)
    }
}

impl Lifecycle<PossiblySent> {
    /// Makes the failure of a request of which an attempt was sent, or may have been.
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

/// A refusal of a request of which nothing was sent. Only a [`Lifecycle`] can construct one.
#[derive(Debug)]
pub struct NotRun {
    reason: NotRunReason,
    retry_after: Duration,
}

impl NotRun {
    fn new(send_tracker: &SendTracker, reason: NotRunReason, retry_after: Duration) -> NotRun {
        invariant::check(Invariant::NotRunNeverSent, send_tracker.is_unsent());
        NotRun {
            reason,
            retry_after,
        }
    }

    /// Why the request was refused.
    #[must_use]
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// Time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}
