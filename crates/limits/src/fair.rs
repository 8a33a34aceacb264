//! Queue of tickets: priority class first, workspaces by weighted fair shares, earliest deadline
//! first within a workspace.

use std::collections::BTreeMap;

use base::id;
use config::model::Priority;
use tokio::time::Instant;

use crate::gate::Ticket;

/// Virtual time that one ticket of weight one costs.
const TICKET_COST: u64 = 1 << 20;

#[derive(Debug, Default)]
struct Share {
    /// Virtual start of the workspace's next ticket.
    start: u64,
    tickets: BTreeMap<(Instant, u64), Ticket>,
}

/// A class's shares and its virtual clock.
#[derive(Debug, Default)]
struct Class {
    clock: u64,
    shares: BTreeMap<id::Workspace, Share>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Priority, Class>,
    len: usize,
}

impl Queue {
    /// Number of queued tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued tickets of `priority` and the classes before it.
    #[must_use]
    pub fn len_up_to(&self, priority: Priority) -> usize {
        let classes = self.classes.range(..=priority);
        classes
            .flat_map(|(_, class)| class.shares.values())
            .map(|share| share.tickets.len())
            .sum()
    }

    /// Adds a ticket.
    pub fn push(&mut self, ticket: Ticket) {
        let class = self.classes.entry(ticket.priority).or_default();
        let clock = class.clock;
        let share = class.shares.entry(ticket.workspace.clone()).or_default();
        if share.tickets.is_empty() {
            // An idle workspace does not save up credit.
            share.start = share.start.max(clock);
        }
        share.tickets.insert((ticket.deadline, ticket.id), ticket);
        self.len += 1;
    }

    /// Takes the next ticket that `is_eligible` accepts.
    pub fn pop(&mut self, is_eligible: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        for class in self.classes.values_mut() {
            if let Some(ticket) = class.pop(&is_eligible) {
                self.len -= 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Removes a ticket that its asker gave up.
    pub fn remove(&mut self, id: u64) -> Option<Ticket> {
        let mut shares = self
            .classes
            .values_mut()
            .flat_map(|class| class.shares.values_mut());
        let removed = shares.find_map(|share| {
            let key = *share.tickets.keys().find(|(_, it)| *it == id)?;
            share.tickets.remove(&key)
        });
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Removes every ticket that `is_hopeless` accepts.
    pub fn drain_if(&mut self, is_hopeless: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut drained = Vec::new();
        for class in self.classes.values_mut() {
            for share in class.shares.values_mut() {
                let is_drained = |_: &(Instant, u64), ticket: &mut Ticket| is_hopeless(ticket);
                drained.extend(share.tickets.extract_if(.., is_drained).map(|(_, it)| it));
            }
            class.shares.retain(|_, share| !share.tickets.is_empty());
        }
        self.len -= drained.len();
        drained
    }
}

impl Class {
    fn pop(&mut self, is_eligible: &impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let first_of = |share: &Share| {
            let mut tickets = share.tickets.iter();
            tickets.find(|(_, it)| is_eligible(it)).map(|(key, _)| *key)
        };
        let (workspace, key) = self
            .shares
            .iter()
            .filter_map(|(name, share)| Some((share.start, name, first_of(share)?)))
            .min_by_key(|(start, name, _)| (*start, (*name).clone()))
            .map(|(_, name, key)| (name.clone(), key))?;
        let share = self.shares.get_mut(&workspace)?;
        let ticket = share.tickets.remove(&key)?;
        self.clock = share.start;
        share.start += TICKET_COST / u64::from(ticket.weight.max(1));
        if share.tickets.is_empty() && share.start <= self.clock {
            self.shares.remove(&workspace);
        }
        Some(ticket)
    }
}
