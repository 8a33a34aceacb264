//! The lender's side: to which coordinator an instance has lent its share, and until when.
//!
//! A loan ends a fixed time after the coordinator issued the stamp that the lender returns with
//! it. The lender received the stamp later than it was issued, so the loan has ended at the
//! coordinator by the time at which the lender lends the share again, whatever happened to the
//! messages, and whichever of the two processes was paused.

use std::time::Duration;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Time from the issue of a stamp to the end of the loan that it is returned with.
pub const LOAN_TIME: Duration = Duration::from_secs(2);
/// Interval at which loans are renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which an instance that has just started lends nothing. Its former process may have lent
/// the same share, and the others may not yet count it as a member.
pub const JOIN_TIME: Duration = Duration::from_millis(2_500);

/// A point in time of a coordinator's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Incarnation of the process.
    pub process: u64,
    /// Time since the start of the process.
    pub issued: Duration,
}

impl Stamp {
    /// When a loan with this stamp ends at the coordinator, the process `process` that started at
    /// `epoch`; `None` if another process issued it.
    #[must_use]
    pub fn loan_end(&self, process: u64, epoch: Instant) -> Option<Instant> {
        let own = (self.process == process).then_some(self.issued)?;
        epoch.checked_add(own)?.checked_add(LOAN_TIME)
    }
}

/// What a lender does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Lends its share to the coordinator. Without a stamp nothing is lent, and the coordinator
    /// issues one.
    Lend(Option<Stamp>),
    /// Ends the loan at this instance, which is no longer the coordinator.
    Recall(id::Instance),
}

#[derive(Clone, Debug)]
struct Loan {
    to: id::Instance,
    ends_at: Instant,
}

#[derive(Clone, Debug)]
struct ReceivedStamp {
    from: id::Instance,
    stamp: Stamp,
    at: Instant,
}

/// Loan of one instance's share.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    loan: Option<Loan>,
    stamp: Option<ReceivedStamp>,
}

impl Lender {
    /// Decides what to do while `coordinator` is the coordinator. A returned stamp counts as lent
    /// with, whether or not the message arrives.
    pub fn next(&mut self, coordinator: &id::Instance, now: Instant) -> Action {
        let other = self.loan.as_ref().filter(|it| it.to != *coordinator);
        if let Some(loan) = other.filter(|it| it.ends_at > now) {
            return Action::Recall(loan.to.clone());
        }
        let stamp = self.stamp.as_ref().filter(|it| it.from == *coordinator);
        let Some(received) = stamp else {
            return Action::Lend(None);
        };
        let ends_at = received.at + LOAN_TIME;
        if ends_at <= now {
            return Action::Lend(None);
        }
        let previous_end = self.loan.as_ref().map(|it| it.ends_at);
        self.loan = Some(Loan {
            to: coordinator.clone(),
            ends_at: previous_end.map_or(ends_at, |it| it.max(ends_at)),
        });
        Action::Lend(Some(received.stamp))
    }

    /// Records the stamp of a coordinator's answer.
    pub fn record_stamp(&mut self, from: &id::Instance, stamp: Stamp, now: Instant) {
        self.stamp = Some(ReceivedStamp {
            from: from.clone(),
            stamp,
            at: now,
        });
    }

    /// Records that an instance has confirmed the end of the loan.
    pub fn record_recall(&mut self, from: &id::Instance) {
        self.loan = self.loan.take().filter(|it| it.to != *from);
        self.stamp = self.stamp.take().filter(|it| it.from != *from);
    }
}
