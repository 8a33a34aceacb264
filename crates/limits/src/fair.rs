//! Fair queue of waiting calls: strict priority between classes, start-time fair queueing between
//! the workspaces of a class by weight, and earliest deadline first within a workspace.

use std::collections::BTreeMap;

use base::id;
use config::model::Priority;
use tokio::time::Instant;

use crate::gate::Ticket;

/// Virtual time charged for one ticket of weight one.
const VIRTUAL_TICKET_COST: u64 = 1 << 20;

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual start time of the next ticket.
    virtual_start: u64,
    /// Weight of the latest ticket.
    weight: u32,
    tickets: BTreeMap<(Instant, u64), Ticket>,
}

/// The queues of one priority class.
#[derive(Debug, Default)]
struct PriorityClass {
    /// Virtual start time of the ticket served last.
    virtual_time: u64,
    /// Queues by workspace; `None` is the queue that all workspaces share without fair queueing.
    queues: BTreeMap<Option<id::Workspace>, WorkspaceQueue>,
}

/// Tickets that wait at one upstream.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<Priority, PriorityClass>,
    len: usize,
}

impl FairQueue {
    /// Number of queued tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no ticket is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimates how many queued tickets would be served before a new one of `workspace`.
    #[must_use]
    pub fn count_ahead(&self, priority: Priority, workspace: &id::Workspace, weight: u32) -> usize {
        let before = self.classes.range(..priority);
        let before: usize = before.map(|(_, class)| class.len()).sum();
        let own = self.classes.get(&priority);
        before + own.map_or(0, |class| class.count_ahead(workspace, weight))
    }

    /// Adds a ticket to the queue of its workspace, or to the shared queue without fair shares.
    pub fn push(&mut self, ticket: Ticket, uses_fair_shares: bool) {
        let class = self.classes.entry(ticket.priority).or_default();
        let virtual_time = class.virtual_time;
        let name = uses_fair_shares.then(|| ticket.workspace.clone());
        let queue = class.queues.entry(name).or_default();
        if queue.tickets.is_empty() {
            // A workspace accumulates no credit while it is idle.
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        queue.weight = ticket.weight.max(1);
        queue.tickets.insert((ticket.deadline, ticket.id), ticket);
        self.len += 1;
    }

    /// Removes and returns the next ticket that `is_eligible` accepts.
    pub fn pop(&mut self, is_eligible: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        for class in self.classes.values_mut() {
            if let Some(ticket) = class.pop(&is_eligible) {
                self.len -= 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Removes the ticket with `id`, whose caller has given up.
    pub fn remove(&mut self, id: u64) -> Option<Ticket> {
        let mut queues = self
            .classes
            .values_mut()
            .flat_map(|class| class.queues.values_mut());
        let removed = queues.find_map(|queue| {
            let key = *queue.tickets.keys().find(|(_, it)| *it == id)?;
            queue.tickets.remove(&key)
        });
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Removes and returns every ticket that `should_remove` accepts.
    pub fn drain_if(&mut self, should_remove: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut drained = Vec::new();
        for class in self.classes.values_mut() {
            for queue in class.queues.values_mut() {
                let is_removed = |_: &(Instant, u64), ticket: &mut Ticket| should_remove(ticket);
                drained.extend(queue.tickets.extract_if(.., is_removed).map(|(_, it)| it));
            }
            class.queues.retain(|_, queue| !queue.tickets.is_empty());
        }
        self.len -= drained.len();
        drained
    }
}

impl PriorityClass {
    fn len(&self) -> usize {
        self.queues.values().map(|it| it.tickets.len()).sum()
    }

    /// Estimates the tickets ahead of a new one of `workspace`: those of its own queue and of the
    /// shared queue, and from each other queue a number in proportion to its weight, at most its
    /// length.
    fn count_ahead(&self, workspace: &id::Workspace, weight: u32) -> usize {
        let shared_len = self.queues.get(&None).map_or(0, |it| it.tickets.len());
        let is_own = |name: &Option<id::Workspace>| name.as_ref() == Some(workspace);
        let own_len = self.queues.iter().find(|(name, _)| is_own(name));
        let own_len = own_len.map_or(0, |(_, queue)| queue.tickets.len());
        let turns = own_len as f64 + 1.0;
        let others = self.queues.iter();
        let others = others.filter(|(name, _)| name.is_some() && !is_own(name));
        let served_before: f64 = others
            .map(|(_, queue)| {
                let proportional = turns * f64::from(queue.weight) / f64::from(weight.max(1));
                proportional.min(queue.tickets.len() as f64)
            })
            .sum();
        shared_len + own_len + served_before.ceil() as usize
    }

    fn pop(&mut self, is_eligible: &impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let first_eligible = |queue: &WorkspaceQueue| {
            let mut tickets = queue.tickets.iter();
            tickets.find(|(_, it)| is_eligible(it)).map(|(key, _)| *key)
        };
        let (workspace, key) = self
            .queues
            .iter()
            .filter_map(|(name, queue)| Some((queue.virtual_start, name, first_eligible(queue)?)))
            .min_by_key(|(virtual_start, name, _)| (*virtual_start, (*name).clone()))
            .map(|(_, name, key)| (name.clone(), key))?;
        let queue = self.queues.get_mut(&workspace)?;
        let ticket = queue.tickets.remove(&key)?;
        self.virtual_time = queue.virtual_start;
        queue.virtual_start += VIRTUAL_TICKET_COST / u64::from(ticket.weight.max(1));
        if queue.tickets.is_empty() && queue.virtual_start <= self.virtual_time {
            self.queues.remove(&workspace);
        }
        Some(ticket)
    }
}
