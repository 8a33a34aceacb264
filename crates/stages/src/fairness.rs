//! Fair parts of a step service's capacity among workspaces.
//!
//! Under contention each workspace gets the same part of what the service runs for a priority; what
//! a workspace leaves unused is lent to the others (max-min fairness). Waiting work gets tags in the
//! manner of start-time fair queueing: the tag of work within the fair part of its workspace is 0,
//! that of other work grows with the excess. What a workspace has used is forgotten within seconds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

/// Time after which half of what a workspace has used is forgotten.
pub const USAGE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Most accounts of one service. The work of further workspaces is charged to that without one.
pub const ACCOUNTS_MAX: usize = 256;
/// Usage in pieces below which an account is dropped.
const USAGE_MIN: f64 = 0.5;
/// Excess, as a fraction of the fair part, that raises a tag by one. Smaller differences are noise,
/// and leave the order to the soft deadlines.
const TAG_FRACTION: f64 = 0.25;

/// Whose work it is: a priority, and the workspace if it is known.
type Account = (u8, Option<id::Workspace>);

/// Waiting pieces of one step of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Whether the response is expected to miss its soft deadline.
    pub is_late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace, if it is known.
    pub workspace: Option<&'a id::Workspace>,
    /// Number of waiting pieces.
    pub pieces: usize,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    pieces: f64,
    at: Instant,
}

impl Usage {
    fn now(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.pieces * 0.5_f64.powf(age / USAGE_HALF_LIFE.as_secs_f64())
    }
}

/// What each workspace has used of one service lately, and how much it has waiting there.
#[derive(Debug, Default)]
pub struct Ledger {
    used: BTreeMap<Account, Usage>,
    /// Waiting pieces at the newest call of [`Ledger::tags`]; empty if they fit into one batch.
    waiting: BTreeMap<Account, usize>,
    /// By priority, computed from `waiting`.
    parts: BTreeMap<u8, Parts>,
}

/// See [`Ledger::queue_part`].
#[derive(Debug)]
struct Parts {
    by_workspace: BTreeMap<id::Workspace, f64>,
    /// Of a workspace that has nothing waiting, and of work without one.
    others: f64,
}

/// Pieces of one group of demands by workspace, and how many of them were tagged.
#[derive(Debug, Default)]
struct Group<'a> {
    waiting: BTreeMap<Option<&'a id::Workspace>, usize>,
    /// Pieces used and tagged so far.
    position: BTreeMap<Option<&'a id::Workspace>, f64>,
    fair_part: f64,
}

impl Ledger {
    /// Charges pieces that are being sent to the workspace that they belong to.
    pub fn charge(
        &mut self,
        priority: u8,
        workspace: Option<&id::Workspace>,
        pieces: usize,
        now: Instant,
    ) {
        let mut account = (priority, workspace.cloned());
        if !self.used.contains_key(&account) && self.used.len() >= ACCOUNTS_MAX {
            self.used.retain(|_, it| it.now(now) >= USAGE_MIN);
            if self.used.len() >= ACCOUNTS_MAX {
                account.1 = None;
            }
        }
        let before = self.used.get(&account).map_or(0.0, |it| it.now(now));
        let usage = Usage {
            pieces: before + pieces as f64,
            at: now,
        };
        self.used.insert(account, usage);
    }

    /// Tags of the demands, which are in the order in which they would be served without fair parts.
    /// Within a priority, smaller tags go first. `None` if the order stays: all that waits fits into one
    /// batch, or it belongs to one workspace.
    #[must_use]
    pub fn tags(
        &mut self,
        demands: &[Demand<'_>],
        batch_max: usize,
        now: Instant,
    ) -> Option<Vec<u32>> {
        self.waiting.clear();
        self.parts.clear();
        let pieces: usize = demands.iter().map(|it| it.pieces).sum();
        let first = demands.first()?.workspace;
        if pieces <= batch_max {
            return None;
        }
        for demand in demands {
            let account = (demand.priority, demand.workspace.cloned());
            *self.waiting.entry(account).or_default() += demand.pieces;
        }
        if demands.iter().all(|it| it.workspace == first) {
            return None;
        }
        self.update_parts(batch_max);
        self.used.retain(|_, it| it.now(now) >= USAGE_MIN);
        let mut groups: BTreeMap<(bool, u8), Group<'_>> = BTreeMap::new();
        for demand in demands {
            let group = groups.entry((demand.is_late, demand.priority)).or_default();
            *group.waiting.entry(demand.workspace).or_default() += demand.pieces;
        }
        for ((_, priority), group) in &mut groups {
            self.open(group, *priority, batch_max, now);
        }
        let tags = demands.iter().map(|demand| {
            let group = groups.get_mut(&(demand.is_late, demand.priority));
            group.map_or(0, |it| it.tag(demand))
        });
        Some(tags.collect())
    }

    /// Computes the fair part of a group.
    fn open(&self, group: &mut Group<'_>, priority: u8, batch_max: usize, now: Instant) {
        let mut demands = Vec::new();
        let mut capacity = batch_max as f64;
        for ((_, workspace), usage) in self.used.iter().filter(|it| it.0.0 == priority) {
            let used = usage.now(now);
            capacity += used;
            if !group.waiting.contains_key(&workspace.as_ref()) {
                demands.push(used);
            }
        }
        for (workspace, pieces) in &group.waiting {
            let account = (priority, workspace.cloned());
            let used = self.used.get(&account).map_or(0.0, |it| it.now(now));
            group.position.insert(*workspace, used);
            demands.push(used + *pieces as f64);
        }
        group.fair_part = fair_part(demands, capacity);
    }

    /// The part of the waiting work of this and more urgent priorities that is served before
    /// `pieces` more of a workspace: 1 without contention, less for a workspace that has less
    /// waiting than others.
    #[must_use]
    pub fn part_ahead(
        &self,
        priority: u8,
        workspace: Option<&id::Workspace>,
        pieces: usize,
    ) -> f64 {
        let own = self.waiting.get(&(priority, workspace.cloned()));
        let own = own.copied().unwrap_or_default() + pieces;
        let (mut all, mut ahead) = (0, 0);
        for ((other, _), waiting) in &self.waiting {
            if *other <= priority {
                all += waiting;
                ahead += match *other == priority {
                    true => own.min(*waiting),
                    false => *waiting,
                };
            }
        }
        match all {
            0 => 1.0,
            _ => ahead as f64 / all as f64,
        }
    }

    /// The part of the waiting work of this and more urgent priorities that is ahead of the next piece
    /// of a workspace, as of the newest call of [`Ledger::tags`]. Each workspace counts as if it had a
    /// batch waiting. 1 without contention.
    #[must_use]
    pub fn queue_part(&self, priority: u8, workspace: Option<&id::Workspace>) -> f64 {
        let Some(parts) = self.parts.get(&priority) else {
            return 1.0;
        };
        let own = workspace.and_then(|it| parts.by_workspace.get(it));
        own.copied().unwrap_or(parts.others)
    }

    fn update_parts(&mut self, batch_max: usize) {
        let mut more_urgent = 0;
        let priorities: BTreeSet<u8> = self.waiting.keys().map(|it| it.0).collect();
        for priority in priorities {
            let waiting = self.waiting.range((priority, None)..);
            let waiting = waiting.take_while(|it| it.0.0 == priority);
            let waiting: Vec<_> = waiting.map(|(account, it)| (&account.1, *it)).collect();
            let mut sorted: Vec<usize> = waiting.iter().map(|it| it.1).collect();
            sorted.sort_unstable();
            let all: usize = sorted.iter().sum();
            // Sums of the smallest, from none to all of them.
            let sums = sorted.iter().scan(0, |sum, it| {
                *sum += it;
                Some(*sum)
            });
            let sums: Vec<usize> = std::iter::once(0).chain(sums).collect();
            let part = |own: usize| {
                let own = own.max(batch_max);
                let smaller = sorted.partition_point(|it| *it < own);
                let ahead = sums[smaller] + own * (sorted.len() - smaller);
                (more_urgent + ahead) as f64 / (more_urgent + all).max(1) as f64
            };
            let none = waiting.iter().find(|it| it.0.is_none());
            let named = waiting
                .iter()
                .filter_map(|(name, it)| Some(((*name).clone()?, part(*it))));
            let parts = Parts {
                by_workspace: named.collect(),
                others: part(none.map_or(0, |it| it.1)),
            };
            self.parts.insert(priority, parts);
            more_urgent += all;
        }
    }

    /// Pieces used lately by each workspace, over all priorities.
    #[must_use]
    pub fn usage(&self, now: Instant) -> BTreeMap<Option<id::Workspace>, f64> {
        let mut usage = BTreeMap::new();
        for ((_, workspace), used) in &self.used {
            *usage.entry(workspace.clone()).or_default() += used.now(now);
        }
        usage
    }
}

impl<'a> Group<'a> {
    /// Tag of the next demand of the group.
    fn tag(&mut self, demand: &Demand<'a>) -> u32 {
        let position = self.position.entry(demand.workspace).or_default();
        let excess = *position - self.fair_part;
        *position += demand.pieces as f64;
        let unit = (self.fair_part * TAG_FRACTION).max(1.0);
        (excess / unit).ceil().max(0.0) as u32
    }
}

/// Largest part that every demand may take of the capacity, as long as all together take no more.
fn fair_part(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let count = demands.len();
    for (idx, demand) in demands.into_iter().enumerate() {
        let part = left / (count - idx) as f64;
        if demand > part {
            return part;
        }
        left -= demand;
    }
    f64::INFINITY
}
