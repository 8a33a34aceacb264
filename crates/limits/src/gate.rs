//! Admission controller of one upstream: which calls are sent, queued or rejected.

use std::time::Duration;

use base::id;
use base::invariant;
use base::invariant::Invariant;
use config::model::Priority;
use tokio::time::Instant;

use crate::fair::FairQueue;
use crate::limiter::FinishedCall;
use crate::limiter::Limiter;

/// Longest queue of one upstream; further tickets are rejected at once.
const QUEUE_MAX: usize = 512;
/// Time a call must have left, as a multiple of its expected duration: a call that misses its
/// deadline only just wastes all of its work.
const DEADLINE_MARGIN: f64 = 1.15;
/// Longest wait for the calls of a previous owner to end; beyond it new tickets are rejected.
const TAKEOVER_WAIT_MAX: Duration = Duration::from_millis(300);

/// Limits of an upstream, from the configuration of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// In-flight limit of a cold upstream, and the minimum of the adaptive limit.
    pub cold_limit: u32,
    /// Maximum of the adaptive limit.
    pub ceiling: u32,
    /// Minimum time of successful calls before the limit of a warming upstream doubles.
    pub warm_window: Duration,
    /// Expected duration of a call until a measurement is available.
    pub typical_duration: Duration,
}

/// A call that waits for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier, unique within its admission controller.
    pub id: u64,
    /// Workspace whose fair share it uses.
    pub workspace: id::Workspace,
    /// Fair-share weight of the workspace.
    pub weight: u32,
    /// Priority class.
    pub priority: Priority,
    /// Time by which the call must have ended.
    pub deadline: Instant,
    /// Whether the request is suspected of crashing upstreams: it was running on one that crashed.
    pub is_suspect: bool,
}

/// Why a ticket is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The queue has its maximum length.
    QueueFull,
    /// The expected wait and duration exceed the deadline.
    DeadlineTooShort,
    /// Calls of a previous owner may occupy the whole limit for longer than the accepted wait.
    TakingOver,
}

/// Admits queued calls to one upstream within its in-flight limit.
#[derive(Debug)]
pub struct AdmissionController {
    /// Adaptive limit and in-flight count.
    pub limiter: Limiter,
    queue: FairQueue,
    suspects_in_flight: u32,
    policy: QueuePolicy,
}

/// Queueing policies that measurements can switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Whether a ticket that cannot meet its deadline is rejected, or removed from the queue,
    /// before the deadline passes.
    pub rejects_early: bool,
    /// Whether workspaces get weighted fair shares; if not, they share one queue.
    pub uses_fair_shares: bool,
}

impl Default for QueuePolicy {
    fn default() -> QueuePolicy {
        QueuePolicy {
            rejects_early: true,
            uses_fair_shares: true,
        }
    }
}

impl AdmissionController {
    /// Creates the controller of an upstream that is assumed to be cold.
    #[must_use]
    pub fn new(settings: Settings, policy: QueuePolicy, now: Instant) -> AdmissionController {
        AdmissionController {
            limiter: Limiter::new(settings, now),
            queue: FairQueue::default(),
            suspects_in_flight: 0,
            policy,
        }
    }

    /// Number of queued tickets.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Expected queueing time of a new ticket; zero if it would be admitted at once.
    #[must_use]
    pub fn expected_wait(
        &self,
        priority: Priority,
        workspace: &id::Workspace,
        weight: u32,
        now: Instant,
    ) -> Duration {
        let ahead = self.queue.count_ahead(priority, workspace, weight) as f64;
        let limit = self.limiter.limit();
        if ahead == 0.0 && self.limiter.has_capacity(now) {
            return Duration::ZERO;
        }
        let rounds = (ahead + 1.0) / f64::from(limit);
        self.limiter.expected_duration(now).mul_f64(rounds)
    }

    /// Queues a ticket.
    ///
    /// # Errors
    ///
    /// Rejects a ticket if the queue is full, if it cannot meet its deadline, or if calls of a
    /// previous owner occupy the limit for too long.
    pub fn enqueue(&mut self, ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        if self.queue.len() >= QUEUE_MAX {
            return Err(Refusal::QueueFull);
        }
        if self.limiter.inherited_block_duration(now) > TAKEOVER_WAIT_MAX {
            return Err(Refusal::TakingOver);
        }
        let wait = self.expected_wait(ticket.priority, &ticket.workspace, ticket.weight, now);
        let needed = wait + self.min_time_left(now);
        if self.policy.rejects_early && now + needed > ticket.deadline {
            return Err(Refusal::DeadlineTooShort);
        }
        self.queue.push(ticket, self.policy.uses_fair_shares);
        Ok(())
    }

    /// Removes the next ticket that may be sent now from the queue and counts it as in flight.
    pub fn admit(&mut self, now: Instant) -> Option<Ticket> {
        if !self.limiter.has_capacity(now) {
            return None;
        }
        // If the upstream crashed with two suspects in flight, neither could be identified as the
        // cause.
        let is_suspect_running = self.suspects_in_flight > 0;
        let ticket = self
            .queue
            .pop(|ticket| !(ticket.is_suspect && is_suspect_running))?;
        self.limiter.start();
        self.suspects_in_flight += u32::from(ticket.is_suspect);
        let is_within = self.limiter.in_flight() <= self.limiter.limit();
        invariant::check(Invariant::InFlightWithinLimit, is_within);
        Some(ticket)
    }

    /// Records the end of an admitted call.
    pub fn finish(&mut self, is_suspect: bool, call: FinishedCall, now: Instant) {
        self.suspects_in_flight -= u32::from(is_suspect && self.suspects_in_flight > 0);
        self.limiter.finish(call, now);
    }

    /// Removes the ticket of a caller that gave up; returns whether it was still queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Time that a call must have left before its deadline to be sent.
    fn min_time_left(&self, now: Instant) -> Duration {
        self.limiter.expected_duration(now).mul_f64(DEADLINE_MARGIN)
    }

    /// Removes and returns the tickets that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let needed = match self.policy.rejects_early {
            true => self.min_time_left(now),
            false => Duration::ZERO,
        };
        self.queue.drain_if(|ticket| now + needed > ticket.deadline)
    }

    /// Removes and returns every queued ticket.
    pub fn clear(&mut self) -> Vec<Ticket> {
        self.queue.drain_if(|_| true)
    }
}
