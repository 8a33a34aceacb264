//! Keys for which a member is among the first ones of [`preference_order`](crate::preference_order).
//!
//! The registry of a large deployment changes many times a second and its members hardly ever. The
//! answer for a key depends on the members alone, so it is kept until these change.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use base::id;
use catalog::Member;

use crate::compare;
use crate::score;

/// The keys of which one member decided whether it is among the first.
#[derive(Debug)]
pub struct Shortlist {
    own: id::Instance,
    members: Vec<Member>,
    /// Number of members before the own one, by key.
    ranks: BTreeMap<id::Upstream, usize>,
    computed: u64,
}

impl Shortlist {
    /// The shortlist of `own`, which knows no members yet.
    #[must_use]
    pub fn new(own: id::Instance) -> Shortlist {
        Shortlist {
            own,
            members: Vec::new(),
            ranks: BTreeMap::new(),
            computed: 0,
        }
    }

    /// Sets the members and the keys that may be asked for; forgets what the former members decided
    /// if they differ.
    pub fn update<'a>(
        &mut self,
        members: impl IntoIterator<Item = &'a Member>,
        is_key: impl Fn(&id::Upstream) -> bool,
    ) {
        let members: Vec<&Member> = members.into_iter().collect();
        let is_same = members.len() == self.members.len()
            && members.iter().zip(&self.members).all(|(a, b)| {
                a.instance == b.instance && a.cpu_share.to_bits() == b.cpu_share.to_bits()
            });
        if is_same {
            return self.ranks.retain(|key, _| is_key(key));
        }
        self.members = members.into_iter().cloned().collect();
        self.ranks.clear();
    }

    /// Whether the own member is among the first `count` for `key`.
    pub fn includes(&mut self, key: &id::Upstream, count: usize) -> bool {
        if let Some(rank) = self.ranks.get(key) {
            return *rank < count;
        }
        let own = self.members.iter().find(|it| it.instance == self.own);
        let Some(own) = own else {
            return false;
        };
        let own_score = score(key.as_str(), own);
        let before = self.members.iter().filter(|it| {
            let score = score(key.as_str(), it);
            compare((score, it), (own_score, own)) == Ordering::Less
        });
        let rank = before.count();
        self.computed += 1;
        self.ranks.insert(key.clone(), rank);
        rank < count
    }

    /// Number of keys whose order was computed since the start.
    #[must_use]
    pub fn computed(&self) -> u64 {
        self.computed
    }
}
