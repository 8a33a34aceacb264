//! The gate of one upstream: who may be sent, who waits, who is refused.

use std::time::Duration;

use base::id;
use base::invariant;
use base::invariant::Invariant;
use config::model::Priority;
use tokio::time::Instant;

use crate::fair::FairQueue;
use crate::limiter::FinishedCall;
use crate::limiter::Limiter;

/// Tickets that wait at one upstream; more are refused at once.
const QUEUE_MAX: usize = 512;
/// Time left that a call needs, over its expected time: one that ends just too late is all waste.
const DEADLINE_MARGIN: f64 = 1.15;
/// Longest wait for the calls of a previous owner to end.
const TAKEOVER_PATIENCE: Duration = Duration::from_millis(300);

/// Settings of a gate, from the configuration of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Calls in flight that a cold upstream bears.
    pub cold_limit: u32,
    /// Calls in flight that are never exceeded.
    pub ceiling: u32,
    /// Time of good answers after which a warming limit doubles.
    pub warm_window: Duration,
    /// Expected service time before one was measured.
    pub typical: Duration,
}

/// A call that asks to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Identifies the ticket at its gate.
    pub id: u64,
    /// Workspace, for fair shares.
    pub workspace: id::Workspace,
    /// Weight of the workspace.
    pub weight: u32,
    /// Priority class.
    pub priority: Priority,
    /// Time by which the call must have ended.
    pub deadline: Instant,
    /// Whether it was running on an upstream that crashed.
    pub is_suspect: bool,
}

/// Why a ticket is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Too many wait.
    QueueFull,
    /// The wait would exceed the deadline.
    DeadlineTooShort,
    /// Calls of a previous owner may fill the upstream for a while yet.
    TakingOver,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct AdmissionController {
    /// Limit and in-flight count.
    pub limiter: Limiter,
    queue: FairQueue,
    suspects_in_flight: u32,
    queueing: QueuePolicy,
}

/// Queueing policies that can be switched for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Whether a ticket that cannot meet its deadline is refused or dropped at once.
    pub rejects_early: bool,
    /// Whether workspaces get weighted fair shares.
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
    /// The gate of an upstream that is taken to be cold.
    #[must_use]
    pub fn new(settings: Settings, queueing: QueuePolicy, now: Instant) -> AdmissionController {
        AdmissionController {
            limiter: Limiter::new(settings, now),
            queue: FairQueue::default(),
            suspects_in_flight: 0,
            queueing,
        }
    }

    /// Tickets that wait.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Expected wait of a new ticket.
    #[must_use]
    pub fn expected_wait(
        &self,
        priority: Priority,
        workspace: &id::Workspace,
        weight: u32,
        now: Instant,
    ) -> Duration {
        let ahead = self.queue.ahead(priority, workspace, weight) as f64;
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
    /// Refuses a ticket that finds the queue full or cannot meet its deadline.
    pub fn enqueue(&mut self, ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        if self.queue.len() >= QUEUE_MAX {
            return Err(Refusal::QueueFull);
        }
        if self.limiter.inherited_block_duration(now) > TAKEOVER_PATIENCE {
            return Err(Refusal::TakingOver);
        }
        let wait = self.expected_wait(ticket.priority, &ticket.workspace, ticket.weight, now);
        let needed = wait + self.needed(now);
        if self.queueing.rejects_early && now + needed > ticket.deadline {
            return Err(Refusal::DeadlineTooShort);
        }
        self.queue.push(ticket, self.queueing.uses_fair_shares);
        Ok(())
    }

    /// Takes the next ticket that may be sent now and counts it as in flight.
    pub fn admit(&mut self, now: Instant) -> Option<Ticket> {
        if !self.limiter.has_capacity(now) {
            return None;
        }
        // Two suspects on one upstream could not be told apart if it crashed.
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

    /// Counts the end of an admitted ticket.
    pub fn finish(&mut self, is_suspect: bool, finish: FinishedCall, now: Instant) {
        self.suspects_in_flight -= u32::from(is_suspect && self.suspects_in_flight > 0);
        self.limiter.finish(finish, now);
    }

    /// Removes a ticket whose asker has gone.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Time that a call must have left to be worth sending.
    fn needed(&self, now: Instant) -> Duration {
        self.limiter.expected_duration(now).mul_f64(DEADLINE_MARGIN)
    }

    /// Removes the tickets that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let needed = match self.queueing.rejects_early {
            true => self.needed(now),
            false => Duration::ZERO,
        };
        self.queue.drain_if(|ticket| now + needed > ticket.deadline)
    }

    /// Removes every waiting ticket.
    pub fn clear(&mut self) -> Vec<Ticket> {
        self.queue.drain_if(|_| true)
    }
}
