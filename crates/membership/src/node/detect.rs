//! Failure detection: neighbours gossip votes on silent members, and a member is declared lost by a
//! majority of the votes of its neighbours.

use std::collections::BTreeSet;

use base::id;
use tokio::time::Instant;
use wire::member::GossipEntry;
use wire::member::Record;
use wire::member::State;
use wire::member::Suspicion;

use crate::node::Node;
use crate::overlay;

impl Node {
    pub(super) fn apply_suspicion(&mut self, suspicion: &Suspicion) -> bool {
        let known = self.members.get(&suspicion.about);
        if known.is_none_or(|it| it.incarnation != suspicion.incarnation) {
            return false;
        }
        let key = (suspicion.about.clone(), suspicion.by.clone());
        if self
            .suspicions
            .get(&key)
            .is_some_and(|it| it.sequence >= suspicion.sequence)
        {
            return false;
        }
        self.suspicions.insert(key, suspicion.clone());
        true
    }

    pub(super) fn track_neighbours(&mut self, now: Instant) {
        for neighbour in &self.neighbours {
            self.last_heard.entry(neighbour.clone()).or_insert(now);
        }
        self.last_heard.retain(|it, _| self.neighbours.contains(it));
    }

    pub(super) fn suspect_silent_neighbours(&mut self, now: Instant) {
        let is_silent = |at: &Instant| now.duration_since(*at) >= self.timing.suspect_timeout;
        let silent = self.last_heard.iter().filter(|(_, at)| is_silent(at));
        let silent: Vec<id::Instance> = silent.map(|(it, _)| it.clone()).collect();
        for about in silent {
            self.set_vote(&about, true, now);
        }
    }

    pub(super) fn clear_suspicion(&mut self, about: &id::Instance, incarnation: u64, now: Instant) {
        let is_current = self
            .members
            .get(about)
            .is_some_and(|it| it.incarnation == incarnation);
        if is_current {
            self.set_vote(about, false, now);
        }
    }

    /// Sets this member's vote on `about`, and gossips it if it has changed.
    fn set_vote(&mut self, about: &id::Instance, is_silent: bool, now: Instant) {
        let key = (about.clone(), self.own.instance.clone());
        let was_silent = self.suspicions.get(&key).is_some_and(|it| it.is_silent);
        let Some(record) = self.members.get(about) else {
            return;
        };
        if was_silent == is_silent || record.state >= State::Lost {
            return;
        }
        self.suspicion_sequence += 1;
        let suspicion = Suspicion {
            about: about.clone(),
            incarnation: record.incarnation,
            by: self.own.instance.clone(),
            sequence: self.suspicion_sequence,
            is_silent,
        };
        self.apply_gossip(GossipEntry::Suspicion(suspicion), None, now);
    }

    /// Declares each member lost that more than half of its neighbours suspect.
    pub(super) fn declare_lost(&mut self, now: Instant) {
        let suspects: BTreeSet<id::Instance> = self
            .suspicions
            .values()
            .filter(|it| it.is_silent)
            .map(|it| it.about.clone())
            .collect();
        for about in suspects {
            if self.has_lost_majority(&about) {
                self.declare_state(&about, State::Lost, now);
            }
        }
    }

    fn has_lost_majority(&self, about: &id::Instance) -> bool {
        let present = self.members.values().filter(|it| it.state != State::Gone);
        let neighbours = overlay::neighbours(about, present.map(|it| &it.instance));
        let is_silent_to = |by: &&id::Instance| {
            let key = (about.clone(), (*by).clone());
            self.suspicions.get(&key).is_some_and(|it| it.is_silent)
        };
        let votes = neighbours.iter().filter(is_silent_to).count();
        votes > neighbours.len() / 2
    }

    pub(super) fn declare_state(&mut self, about: &id::Instance, state: State, now: Instant) {
        let Some(record) = self.members.get(about) else {
            return;
        };
        if record.state >= state || *about == self.own.instance {
            return;
        }
        let declared = Record {
            state,
            ..record.clone()
        };
        self.apply_gossip(GossipEntry::Member(declared), None, now);
    }
}
