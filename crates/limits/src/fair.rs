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
    /// Weight of the latest ticket.
    weight: u32,
    tickets: BTreeMap<(Instant, u64), Ticket>,
}

/// A class's shares and its virtual clock.
#[derive(Debug, Default)]
struct Class {
    clock: u64,
    shares: BTreeMap<Option<id::Workspace>, Share>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<Priority, Class>,
    len: usize,
}

impl FairQueue {
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

    /// Number of queued tickets that would be served before a new one of `workspace`.
    #[must_use]
    pub fn ahead(&self, priority: Priority, workspace: &id::Workspace, weight: u32) -> usize {
        let before = self.classes.range(..priority);
        let before: usize = before.map(|(_, class)| class.len()).sum();
        let own = self.classes.get(&priority);
        before + own.map_or(0, |class| class.ahead(workspace, weight))
    }

    /// Adds a ticket to its workspace's share, or to one share of all workspaces.
    pub fn push(&mut self, ticket: Ticket, uses_fair_shares: bool) {
        let class = self.classes.entry(ticket.priority).or_default();
        let clock = class.clock;
        let name = uses_fair_shares.then(|| ticket.workspace.clone());
        let share = class.shares.entry(name).or_default();
        if share.tickets.is_empty() {
            // An idle workspace does not save up credit.
            share.start = share.start.max(clock);
        }
        share.weight = ticket.weight.max(1);
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
    fn len(&self) -> usize {
        self.shares.values().map(|it| it.tickets.len()).sum()
    }

    /// While the new ticket waits behind those of its own share, each other share is served in
    /// proportion to its weight, as far as it has tickets.
    fn ahead(&self, workspace: &id::Workspace, weight: u32) -> usize {
        let common = self.shares.get(&None).map_or(0, |it| it.tickets.len());
        let is_own = |name: &Option<id::Workspace>| name.as_ref() == Some(workspace);
        let own = self.shares.iter().find(|(name, _)| is_own(name));
        let own = own.map_or(0, |(_, share)| share.tickets.len());
        let turns = own as f64 + 1.0;
        let others = self.shares.iter();
        let others = others.filter(|(name, _)| name.is_some() && !is_own(name));
        let served_before: f64 = others
            .map(|(_, share)| {
                let proportional = turns * f64::from(share.weight) / f64::from(weight.max(1));
                proportional.min(share.tickets.len() as f64)
            })
            .sum();
        common + own + served_before.ceil() as usize
    }

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
