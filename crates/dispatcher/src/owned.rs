//! One upstream at its owner: the gate and those who wait at it.

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

/// An upstream that this dispatcher owns, or owned and still has calls at.
pub(crate) struct Owned {
    pub(crate) upstream: config::model::Upstream,
    inner: Mutex<Inner>,
}

struct Inner {
    gate: AdmissionController,
    is_owner: bool,
    next_ticket: u64,
    waiting: BTreeMap<u64, oneshot::Sender<Result<(), Reason>>>,
}

/// What a handover tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Summary {
    pub(crate) in_flight: u32,
    pub(crate) limit: u32,
    pub(crate) is_warm: bool,
    /// Whether the teller owned the upstream until it gave it up.
    pub(crate) is_last_owner: bool,
}

/// A place in the queue; dropping it gives the place up.
pub(crate) struct Waiting<'a> {
    owned: &'a Owned,
    id: u64,
    is_suspect: bool,
    decision: oneshot::Receiver<Result<(), Reason>>,
    is_decided: bool,
}

/// The right to send one call; dropping it without [`Permit::finish`] counts as cancelled.
pub(crate) struct Permit<'a> {
    owned: &'a Owned,
    is_suspect: bool,
    is_finished: bool,
}

impl Owned {
    pub(crate) fn new(upstream: config::model::Upstream, gate: AdmissionController) -> Owned {
        Owned {
            upstream,
            inner: Mutex::new(Inner {
                gate,
                is_owner: true,
                next_ticket: 0,
                waiting: BTreeMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a call.
    pub(crate) fn offer(
        &self,
        ticket: impl FnOnce(u64) -> Ticket,
        now: Instant,
    ) -> Result<Waiting<'_>, Reason> {
        let mut inner = self.lock();
        if !inner.is_owner {
            return Err(Reason::NotOwner);
        }
        inner.next_ticket += 1;
        let id = inner.next_ticket;
        let ticket = ticket(id);
        let is_suspect = ticket.is_suspect;
        inner
            .gate
            .enqueue(ticket, now)
            .map_err(|refusal| match refusal {
                limits::Refusal::QueueFull => Reason::QueueFull,
                limits::Refusal::DeadlineTooShort => Reason::DeadlineTooShort,
                limits::Refusal::TakingOver => Reason::TakingOver,
            })?;
        let (sender, decision) = oneshot::channel();
        inner.waiting.insert(id, sender);
        inner.pump(now);
        Ok(Waiting {
            owned: self,
            id,
            is_suspect,
            decision,
            is_decided: false,
        })
    }

    /// Answers those whose deadline can no longer be met and admits those who fit.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut inner = self.lock();
        for ticket in inner.gate.expire(now) {
            inner.decide(ticket.id, Err(Reason::Expired));
        }
        inner.pump(now);
    }

    /// Refuses everyone who waits.
    pub(crate) fn refuse_waiting(&self, reason: Reason) {
        let mut inner = self.lock();
        for ticket in inner.gate.clear() {
            inner.decide(ticket.id, Err(reason));
        }
    }

    /// Ends ownership; calls in flight go on.
    pub(crate) fn disown(&self) {
        self.lock().is_owner = false;
        self.refuse_waiting(Reason::NotOwner);
    }

    /// Whether this dispatcher owns the upstream.
    pub(crate) fn is_owner(&self) -> bool {
        self.lock().is_owner
    }

    /// Takes ownership back, assuming that others have up to `ceiling` calls in flight.
    pub(crate) fn own_again(&self, ceiling: u32, longest: Duration, now: Instant) {
        let mut inner = self.lock();
        inner.is_owner = true;
        inner.gate.limiter.reset_to_cold(now);
        inner.gate.limiter.assume_inherited(ceiling, longest, now);
    }

    /// Learns what the previous owner left.
    pub(crate) fn inherit(&self, from: &id::Instance, summary: Summary, now: Instant) {
        let mut inner = self.lock();
        let limiter = &mut inner.gate.limiter;
        let replaces =
            limiter.record_inherited(from.clone(), summary.in_flight, summary.is_last_owner);
        if replaces && summary.is_warm {
            limiter.resume_warming(summary.limit, now);
        }
        inner.pump(now);
    }

    /// Takes a load report and returns whether it changed the warmth.
    pub(crate) fn report(&self, report: limits::LoadReport, now: Instant) -> bool {
        let mut inner = self.lock();
        let before = inner.gate.limiter.warmth();
        inner.gate.limiter.apply_load_report(report, now);
        inner.pump(now);
        inner.gate.limiter.warmth() != before
    }

    /// Returns the upstream to cold, as after a zone comes back.
    pub(crate) fn turn_cold(&self, now: Instant) {
        self.lock().gate.limiter.reset_to_cold(now);
    }

    pub(crate) fn load(&self) -> Load {
        let inner = self.lock();
        let limiter = &inner.gate.limiter;
        Load {
            in_flight: limiter.occupied_slots(Instant::now()),
            queued: inner.gate.queued(),
            limit: inner.gate.limiter.limit(),
        }
    }

    /// Calls that this dispatcher itself has in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().gate.limiter.in_flight()
    }

    pub(crate) fn warmth(&self) -> limits::Warmth {
        self.lock().gate.limiter.warmth()
    }

    pub(crate) fn inherited(&self, now: Instant) -> u32 {
        self.lock().gate.limiter.inherited(now)
    }

    /// What a new owner must know.
    pub(crate) fn summary(&self, is_last_owner: bool, now: Instant) -> Summary {
        let inner = self.lock();
        let limiter = &inner.gate.limiter;
        Summary {
            in_flight: limiter.in_flight() + limiter.inherited(now),
            limit: limiter.limit(),
            is_warm: limiter.warmth() != limits::Warmth::Cold,
            is_last_owner,
        }
    }

    /// The refusal time after which room is likely.
    pub(crate) fn retry_after(&self, now: Instant) -> Duration {
        let inner = self.lock();
        let limiter = &inner.gate.limiter;
        let rounds = f64::from(inner.gate.queued()) / f64::from(limiter.limit());
        let wait = limiter.expected_duration(now).mul_f64(rounds);
        wait.max(limiter.inherited_block_duration(now))
            .max(RETRY_AFTER_MIN)
    }
}

const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

impl Inner {
    fn pump(&mut self, now: Instant) {
        while let Some(ticket) = self.gate.admit(now) {
            let is_taken = self.decide(ticket.id, Ok(()));
            if !is_taken {
                let finish = FinishedCall::cancelled();
                self.gate.finish(ticket.is_suspect, finish, now);
            }
        }
    }

    /// Tells a waiter; returns whether it still waits.
    fn decide(&mut self, id: u64, decision: Result<(), Reason>) -> bool {
        let waiter = self.waiting.remove(&id);
        waiter.is_some_and(|it| it.send(decision).is_ok())
    }
}

impl<'a> Waiting<'a> {
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

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let now = Instant::now();
        let mut inner = self.owned.lock();
        inner.waiting.remove(&self.id);
        let was_queued = inner.gate.cancel(self.id);
        // A permit may have been granted at the very moment of giving up.
        let was_granted = !was_queued && matches!(self.decision.try_recv(), Ok(Ok(())));
        if was_granted {
            let finish = FinishedCall::cancelled();
            inner.gate.finish(self.is_suspect, finish, now);
        }
        inner.pump(now);
    }
}

impl Permit<'_> {
    /// Counts the end of the call.
    pub(crate) fn finish(mut self, finish: FinishedCall) {
        self.end(finish);
    }

    fn end(&mut self, finish: FinishedCall) {
        self.is_finished = true;
        let now = Instant::now();
        let mut inner = self.owned.lock();
        inner.gate.finish(self.is_suspect, finish, now);
        inner.pump(now);
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
