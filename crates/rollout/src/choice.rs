//! Which upstreams a request may be sent to during a roll-out.

use std::collections::BTreeSet;

use base::hash;
use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::evidence::PARTS;
use crate::order::Order;
use crate::order::Stage;
use crate::order::State;

/// Fewest upstreams of the new version that get its share, so that a fault of one can be told from a
/// fault of the version.
const LEADERS_MIN: usize = 2;

/// What the coordinator of a roll-out allows an instance for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// [`Order::version`] of the order.
    pub order: u64,
    /// The stage.
    pub stage: Stage,
    /// Share of the requests that go to the new version.
    pub share: f64,
}

/// What a choice depends on.
#[derive(Clone, Debug)]
pub struct Facts<'a> {
    /// The order in force.
    pub order: Option<&'a Order>,
    /// The newest stored state, of this order or an earlier one.
    pub state: Option<&'a State>,
    /// The newest grant.
    pub grant: Option<Grant>,
    /// Whether the grant is still in force.
    pub is_granted: bool,
    /// Between 0 and 1, by a hash of the request.
    pub fraction: f64,
    /// Whether the request failed or was rejected before.
    pub is_repeat: bool,
}

/// Upstreams that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// All.
    Any,
    /// Those of other versions than these.
    Not(BTreeSet<id::Software>),
    /// Those of this version.
    Only {
        /// The version.
        to: id::Software,
        /// Whether other versions must not get the request even if this one can't take it.
        is_final: bool,
        /// Share of the version's upstreams that get requests.
        share: f64,
    },
}

impl Choice {
    /// Whether an upstream of this version may get the request.
    #[must_use]
    pub fn allows(&self, software: &id::Software) -> bool {
        match self {
            Choice::Any => true,
            Choice::Not(barred) => !barred.contains(software),
            Choice::Only { to, .. } => to == software,
        }
    }

    /// Where the request may go if the upstreams chosen can't take it.
    #[must_use]
    pub fn fallback(&self, facts: &Facts<'_>) -> Option<Choice> {
        match self {
            Choice::Only {
                to,
                is_final: false,
                ..
            } => Some(Choice::Not(barred(facts, to))),
            _ => None,
        }
    }
}

/// The state that holds for the order in force, or for one that was removed.
#[must_use]
pub fn current<'a>(order: Option<&Order>, state: Option<&'a State>) -> Option<&'a State> {
    state.filter(|state| order.is_none_or(|it| it.version == state.order))
}

/// Versions of unfinished roll-outs other than `to`.
#[must_use]
pub fn unfinished(state: Option<&State>, to: &id::Software) -> BTreeSet<id::Software> {
    let mut versions = BTreeSet::new();
    if let Some(state) = state {
        versions.extend(state.barred.iter().cloned());
        if state.stage < Stage::Sealed || state.stage == Stage::Reverted {
            versions.insert(state.to.clone());
        }
    }
    versions.remove(to);
    versions
}

fn barred(facts: &Facts<'_>, to: &id::Software) -> BTreeSet<id::Software> {
    let mut barred = unfinished(facts.state, to);
    barred.insert(to.clone());
    barred
}

/// Chooses the version for a request. An instance that does not know the newest stage sends nothing to
/// the new version.
#[must_use]
pub fn choose(facts: &Facts<'_>) -> Choice {
    let state = current(facts.order, facts.state);
    let to = match (facts.order, state) {
        (Some(order), _) => &order.to,
        (None, Some(state)) => &state.to,
        (None, None) => return Choice::Any,
    };
    let grant = facts.grant.filter(|grant| match (facts.order, state) {
        (Some(order), _) => order.version == grant.order,
        (None, state) => state.is_some_and(|it| it.order == grant.order),
    });
    let stored = state.map(|it| it.stage);
    let stage = stored.max(grant.map(|it| it.stage));
    let only = |is_final, share| Choice::Only {
        to: to.clone(),
        is_final,
        share,
    };
    match stage {
        Some(Stage::Ended) => Choice::Any,
        Some(Stage::Sealed | Stage::Complete) => only(true, 1.0),
        Some(Stage::Step(_) | Stage::Whole) if facts.is_granted && !facts.is_repeat => {
            let share = grant.map_or(0.0, |it| it.share);
            match facts.fraction < share {
                true => only(false, share),
                false => Choice::Not(barred(facts, to)),
            }
        }
        _ => Choice::Not(barred(facts, to)),
    }
}

/// Where an upstream of the new version counts, below [`PARTS`].
#[must_use]
pub fn part(upstream: &id::Upstream) -> u8 {
    (rank(upstream) % u64::from(PARTS)) as u8
}

fn rank(upstream: &id::Upstream) -> u64 {
    hash::hash_strs(["rollout", upstream.as_str()])
}

/// The upstreams that get a share of the traffic: so few that each is under the load that it will have
/// with all of it, and of different parts.
#[must_use]
pub fn leaders(mut upstreams: Vec<&id::Upstream>, share: f64) -> BTreeSet<id::Upstream> {
    let count = (upstreams.len() as f64 * share).ceil() as usize;
    let count = count.max(LEADERS_MIN);
    upstreams.sort_by_cached_key(|it| rank(it));
    let mut in_part = [0; PARTS as usize];
    let mut order: Vec<(usize, &id::Upstream)> = Vec::with_capacity(upstreams.len());
    for upstream in upstreams {
        let before = &mut in_part[usize::from(part(upstream))];
        order.push((*before, upstream));
        *before += 1;
    }
    order.sort_by_key(|it| it.0);
    let leaders = order.into_iter().take(count);
    leaders.map(|it| it.1.clone()).collect()
}
