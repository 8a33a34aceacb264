//! Counts what one instance sends during roll-outs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::evidence::Side;
use crate::evidence::Tally;

/// A send to an upstream.
#[derive(Clone, Debug)]
pub struct Send {
    /// Service of the upstream.
    pub service: id::Service,
    /// Name of the route.
    pub route: String,
    /// The upstream.
    pub upstream: id::Upstream,
    /// Version that it runs.
    pub software: id::Software,
    /// Whether the upstream has just started: its answers are slow whatever its version.
    pub is_cold: bool,
    /// When it began.
    pub sent_at: Instant,
}

#[derive(Debug)]
struct Open {
    send: Send,
    /// Where the send is counted; `None` if it began before the order.
    side: Option<Side>,
    is_answered: bool,
    is_failed: bool,
}

#[derive(Debug)]
struct Account {
    order: u64,
    to: id::Software,
    tally: Tally,
}

/// Sends of this instance that are under way, and the counts since the order for each service that has
/// one.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<id::Service, Account>,
    open: HashMap<u64, Open>,
}

impl Ledger {
    /// Begins to count for an order unless it does already.
    pub fn begin(&mut self, service: &id::Service, order: u64, to: &id::Software) {
        let known = self.accounts.get(service);
        if known.is_some_and(|it| it.order == order) {
            return;
        }
        for open in self.open.values_mut() {
            if open.send.service == *service {
                open.side = None;
            }
        }
        let account = Account {
            order,
            to: to.clone(),
            tally: Tally::default(),
        };
        self.accounts.insert(service.clone(), account);
    }

    /// Ends the counts of the services for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&id::Service) -> bool) {
        self.accounts.retain(|service, _| is_kept(service));
    }

    /// Whether sends to a service are counted.
    #[must_use]
    pub fn is_counted(&self, service: &id::Service) -> bool {
        self.accounts.contains_key(service)
    }

    /// Records a request of a client to a service.
    pub fn record_request(&mut self, service: &id::Service) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.tally.requests += 1;
        }
    }

    /// Records the begin of a send.
    pub fn record_send(&mut self, id: u64, send: Send) {
        let account = self.accounts.get_mut(&send.service);
        let side = account.map(|account| {
            let side = match send.software == account.to {
                true => Side::New(crate::choice::part(&send.upstream)),
                false => Side::Old,
            };
            let key = (send.route.clone(), side);
            account.tally.cells.entry(key).or_default().sends += 1;
            side
        });
        let open = Open {
            send,
            side,
            is_answered: false,
            is_failed: false,
        };
        self.open.insert(id, open);
    }

    /// Records that the answer has begun, or has come whole.
    pub fn record_answer(&mut self, id: u64, now: Instant) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if open.is_answered || open.is_failed {
            return;
        }
        open.is_answered = true;
        if open.send.is_cold {
            return;
        }
        let latency = now.saturating_duration_since(open.send.sent_at);
        if let Some(cell) = cell(&mut self.accounts, open) {
            cell.record_answer(latency);
        }
    }

    /// Records a failure: an error, a broken answer, or none in time.
    pub fn record_failure(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut open.is_failed, true) {
            return;
        }
        if let Some(cell) = cell(&mut self.accounts, open) {
            cell.failures += 1;
        }
    }

    /// Records that the upstream did not run the request, which says nothing about its version.
    pub fn record_not_run(&mut self, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.is_answered = true;
        }
    }

    /// Records the end of a send. Without an answer, it took at least as long as it was under way.
    pub fn record_end(&mut self, id: u64, now: Instant) {
        self.record_answer(id, now);
        self.open.remove(&id);
    }

    /// The counts of a service.
    #[must_use]
    pub fn tally(&self, service: &id::Service, now: Instant) -> Option<Tally> {
        let account = self.accounts.get(service)?;
        let mut tally = account.tally.clone();
        let open = self.open.values();
        for open in open.filter(|it| it.send.service == *service) {
            tally.old_open += u64::from(open.send.software != account.to);
            let is_waiting = !open.is_answered && !open.is_failed && !open.send.is_cold;
            if let Some(side) = open.side.filter(|_| is_waiting) {
                let age: Duration = now.saturating_duration_since(open.send.sent_at);
                let key = (open.send.route.clone(), side);
                tally.cells.entry(key).or_default().record_open(age);
            }
        }
        Some(tally)
    }
}

fn cell<'a>(
    accounts: &'a mut BTreeMap<id::Service, Account>,
    open: &Open,
) -> Option<&'a mut crate::evidence::Cell> {
    let account = accounts.get_mut(&open.send.service)?;
    let key = (open.send.route.clone(), open.side?);
    Some(account.tally.cells.entry(key).or_default())
}
