//! An owned upstream: admission control and the calls that wait for a permit.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use limits::AdmissionController;
use limits::FinishedCall;
use limits::Ticket;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::dispatch::Load;
use wire::dispatch::Reason;

/// An upstream that this dispatcher owns, or owned before and still has calls in flight at.
pub(crate) struct OwnedUpstream {
    pub(crate) upstream: config::model::Upstream,
    inner: Mutex<Inner>,
}

struct Inner {
    admission: AdmissionController,
    is_owner: bool,
    last_ticket_id: u64,
    waiters: BTreeMap<u64, oneshot::Sender<Result<(), Reason>>>,
}

/// State of an upstream that a handover passes to the new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HandoverSummary {
    pub(crate) in_flight: u32,
    pub(crate) limit: u32,
    pub(crate) is_warm: bool,
    /// Whether the sender owned the upstream until it gave it up.
    pub(crate) is_last_owner: bool,
}

/// A call in the queue; dropping it removes the call.
pub(crate) struct QueuedCall<'a> {
    owned: &'a OwnedUpstream,
    id: u64,
    is_suspect: bool,
    decision: oneshot::Receiver<Result<(), Reason>>,
    is_decided: bool,
}

/// The right to send one call; dropping it without [`Permit::finish`] counts as cancelled.
pub(crate) struct Permit<'a> {
    owned: &'a OwnedUpstream,
    is_suspect: bool,
    is_finished: bool,
}

impl OwnedUpstream {
    pub(crate) fn new(
        upstream: config::model::Upstream,
        admission: AdmissionController,
    ) -> OwnedUpstream {
        OwnedUpstream {
            upstream,
            inner: Mutex::new(Inner {
                admission,
                is_owner: true,
                last_ticket_id: 0,
                waiters: BTreeMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a call, with a ticket made by `ticket` for the given id.
    pub(crate) fn enqueue(
        &self,
        ticket: impl FnOnce(u64) -> Ticket,
        now: Instant,
    ) -> Result<QueuedCall<'_>, Reason> {
        let mut inner = self.lock();
        if !inner.is_owner {
            return Err(Reason::NotOwner);
        }
        inner.last_ticket_id += 1;
        let id = inner.last_ticket_id;
        let ticket = ticket(id);
        let is_suspect = ticket.is_suspect;
        inner
            .admission
            .enqueue(ticket, now)
            .map_err(|refusal| match refusal {
                limits::Refusal::QueueFull => Reason::QueueFull,
                limits::Refusal::DeadlineTooShort => Reason::DeadlineTooShort,
                limits::Refusal::TakingOver => Reason::TakingOver,
            })?;
        let (sender, decision) = oneshot::channel();
        inner.waiters.insert(id, sender);
        inner.admit_queued(now);
        Ok(QueuedCall {
            owned: self,
            id,
            is_suspect,
            decision,
            is_decided: false,
        })
    }

    /// Refuses queued calls whose deadline can no longer be met and admits those that the limit
    /// allows.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut inner = self.lock();
        for ticket in inner.admission.expire(now) {
            inner.notify_waiter(ticket.id, Err(Reason::Expired));
        }
        inner.admit_queued(now);
    }

    /// Refuses all queued calls.
    pub(crate) fn refuse_queued(&self, reason: Reason) {
        let mut inner = self.lock();
        for ticket in inner.admission.clear() {
            inner.notify_waiter(ticket.id, Err(reason));
        }
    }

    /// Ends ownership and refuses all queued calls; calls in flight continue.
    pub(crate) fn disown(&self) {
        self.lock().is_owner = false;
        self.refuse_queued(Reason::NotOwner);
    }

    /// Returns whether this dispatcher owns the upstream.
    pub(crate) fn is_owner(&self) -> bool {
        self.lock().is_owner
    }

    /// Takes ownership again, assuming that other owners have up to `ceiling` calls in flight, for
    /// at most `longest_call`.
    pub(crate) fn reacquire(&self, ceiling: u32, longest_call: Duration, now: Instant) {
        let mut inner = self.lock();
        inner.is_owner = true;
        inner.admission.limiter.reset_to_cold(now);
        inner
            .admission
            .limiter
            .assume_inherited(ceiling, longest_call, now);
    }

    /// Applies a handover: counts the calls that the previous owner has in flight. If that owner's
    /// count is complete and the upstream was warm, resumes its slow start.
    pub(crate) fn apply_handover(
        &self,
        from: &id::Instance,
        summary: HandoverSummary,
        now: Instant,
    ) {
        let mut inner = self.lock();
        let limiter = &mut inner.admission.limiter;
        let replaces_assumption =
            limiter.record_inherited(from.clone(), summary.in_flight, summary.is_last_owner);
        if replaces_assumption && summary.is_warm {
            limiter.resume_warming(summary.limit, now);
        }
        inner.admit_queued(now);
    }

    /// Applies a load report and returns whether it changed the warmth.
    pub(crate) fn apply_load_report(&self, report: limits::LoadReport, now: Instant) -> bool {
        let mut inner = self.lock();
        let before = inner.admission.limiter.warmth();
        inner.admission.limiter.apply_load_report(report, now);
        inner.admit_queued(now);
        inner.admission.limiter.warmth() != before
    }

    /// Restarts the slow start, for example when a zone returns to service.
    pub(crate) fn reset_to_cold(&self, now: Instant) {
        self.lock().admission.limiter.reset_to_cold(now);
    }

    pub(crate) fn load(&self) -> Load {
        let inner = self.lock();
        let limiter = &inner.admission.limiter;
        Load {
            in_flight: limiter.occupied_slots(Instant::now()),
            queued: inner.admission.queued(),
            limit: inner.admission.limiter.limit(),
        }
    }

    /// Calls that this dispatcher has in flight, without inherited ones.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().admission.limiter.in_flight()
    }

    pub(crate) fn warmth(&self) -> limits::Warmth {
        self.lock().admission.limiter.warmth()
    }

    pub(crate) fn inherited(&self, now: Instant) -> u32 {
        self.lock().admission.limiter.inherited(now)
    }

    /// Returns the state that a new owner needs.
    pub(crate) fn summary(&self, is_last_owner: bool, now: Instant) -> HandoverSummary {
        let inner = self.lock();
        let limiter = &inner.admission.limiter;
        HandoverSummary {
            in_flight: limiter.in_flight() + limiter.inherited(now),
            limit: limiter.limit(),
            is_warm: limiter.warmth() != limits::Warmth::Cold,
            is_last_owner,
        }
    }

    /// Retry delay for a refused call, after which the upstream is expected to have capacity.
    pub(crate) fn retry_after(&self, now: Instant) -> Duration {
        let inner = self.lock();
        let limiter = &inner.admission.limiter;
        let rounds = f64::from(inner.admission.queued()) / f64::from(limiter.limit());
        let wait = limiter.expected_duration(now).mul_f64(rounds);
        wait.max(limiter.inherited_block_duration(now))
            .max(MIN_RETRY_AFTER)
    }
}

/// Lower bound of the retry delay after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Inner {
    /// Grants permits to queued calls as far as the limit allows.
    fn admit_queued(&mut self, now: Instant) {
        while let Some(ticket) = self.admission.admit(now) {
            let is_taken = self.notify_waiter(ticket.id, Ok(()));
            if !is_taken {
                let finish = FinishedCall::cancelled();
                self.admission.finish(ticket.is_suspect, finish, now);
            }
        }
    }

    /// Sends the decision on a queued call; returns whether the call was still waiting for it.
    fn notify_waiter(&mut self, id: u64, decision: Result<(), Reason>) -> bool {
        let waiter = self.waiters.remove(&id);
        waiter.is_some_and(|it| it.send(decision).is_ok())
    }
}

impl<'a> QueuedCall<'a> {
    /// Waits for a permit or a refusal.
    pub(crate) async fn permit(mut self) -> Result<Permit<'a>, Reason> {
        let decision = (&mut self.decision).await;
        self.is_decided = true;
        decision.unwrap_or(Err(Reason::Stopping))?;
        Ok(Permit {
            owned: self.owned,
            is_suspect: self.is_suspect,
            is_finished: false,
        })
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let now = Instant::now();
        let mut inner = self.owned.lock();
        inner.waiters.remove(&self.id);
        let was_queued = inner.admission.cancel(self.id);
        // The permit may have been granted just before the drop and has to be returned.
        let was_granted = !was_queued && matches!(self.decision.try_recv(), Ok(Ok(())));
        if was_granted {
            let finish = FinishedCall::cancelled();
            inner.admission.finish(self.is_suspect, finish, now);
        }
        inner.admit_queued(now);
    }
}

impl Permit<'_> {
    /// Frees the call's in-flight slot and feeds its outcome to the limiter.
    pub(crate) fn finish(mut self, finish: FinishedCall) {
        self.end(finish);
    }

    fn end(&mut self, finish: FinishedCall) {
        self.is_finished = true;
        let now = Instant::now();
        let mut inner = self.owned.lock();
        inner.admission.finish(self.is_suspect, finish, now);
        inner.admit_queued(now);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.end(FinishedCall::cancelled());
    }
}
