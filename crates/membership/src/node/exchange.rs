//! Heartbeats: what is sent, what is heard, and when everything is told anew.

use base::id;
use tokio::time::Instant;
use wire::member::GossipEntry;
use wire::member::Heartbeat;
use wire::member::State;

use crate::node::Node;
use crate::node::OutgoingHeartbeat;

/// Consecutive heartbeats with a foreign digest after which everything is sent.
const MISMATCHES_BEFORE_SYNC: u32 = 3;
/// Heartbeats whose send time is kept while an acknowledgement may still come.
const SENT_KEPT: usize = 8;

impl Node {
    /// Heartbeats that are due: to every neighbour, with its pending news.
    pub fn tick(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        if self.rumors.expire(now) {
            self.refresh_digest();
        }
        self.watch_neighbours(now);
        self.suspect_silent(now);
        self.declare_lost(now);
        let neighbours = self.neighbours.clone();
        self.send_to(neighbours, now)
    }

    /// Heartbeats with news that cannot wait for the next tick.
    pub fn flush_gossip(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let with_news = |it: &&id::Instance| self.pending.get(*it).is_some_and(|it| !it.is_empty());
        let receivers = self.neighbours.iter().filter(with_news).cloned().collect();
        self.send_to(receivers, now)
    }

    /// Heartbeats to all neighbours outside the tick, to announce a configuration version.
    pub fn announce_config(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let neighbours = self.neighbours.clone();
        self.send_to(neighbours, now)
    }

    /// A heartbeat for a process of which only the address is known. It introduces this member, and
    /// its acknowledgement tells everything that the receiver knows.
    pub fn join_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        Heartbeat {
            from: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            members: self.digest(),
            config_version: self.config_version,
            news: vec![GossipEntry::Member(self.own.clone())],
        }
    }

    /// Takes a heartbeat and returns its acknowledgement.
    pub fn receive(&mut self, heartbeat: Heartbeat, now: Instant) -> Heartbeat {
        let sequence = heartbeat.sequence;
        let from = heartbeat.from.clone();
        let known = self.members.get(&from);
        let is_new = known.is_none_or(|it| it.incarnation < heartbeat.incarnation);
        self.hear(heartbeat, now);
        if is_new {
            let all = self.everything();
            self.pending.insert(from.clone(), all);
        }
        self.compose(&from, sequence)
    }

    /// Takes the acknowledgement of a heartbeat.
    pub fn receive_ack(&mut self, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.from.clone();
        let incarnation = self.own.incarnation;
        let sent = self.sent.get(&heartbeat.sequence).copied();
        self.hear(heartbeat, now);
        // The news may have told that this member was replaced; then nothing vouches for it.
        if self.own.incarnation != incarnation {
            return;
        }
        if let Some(sent) = sent {
            self.fence.acknowledge(&from, sent);
        }
    }

    fn hear(&mut self, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.from;
        self.heard.insert(from.clone(), now);
        for news in heartbeat.news {
            self.learn(news, Some(&from), now);
        }
        self.clear_suspicion(&from, heartbeat.incarnation, now);
        self.correct_stale(&from, heartbeat.incarnation);
        if heartbeat.members == self.digest() {
            self.mismatches.remove(&from);
            return;
        }
        let mismatches = self.mismatches.entry(from.clone()).or_default();
        *mismatches += 1;
        if *mismatches >= MISMATCHES_BEFORE_SYNC {
            self.mismatches.remove(&from);
            let all = self.everything();
            self.pending.insert(from, all);
        }
    }

    /// Tells a sender that it was declared lost, so that it comes back as a new incarnation.
    fn correct_stale(&mut self, from: &id::Instance, incarnation: u64) {
        let Some(known) = self.members.get(from) else {
            return;
        };
        let is_stale = known.incarnation > incarnation || known.state >= State::Lost;
        if is_stale {
            let news = GossipEntry::Member(known.clone());
            self.queue(from.clone(), &news);
        }
    }

    fn everything(&self) -> Vec<GossipEntry> {
        let members = self.members.values().cloned().map(GossipEntry::Member);
        members.chain(self.rumors.all()).collect()
    }

    fn compose(&mut self, to: &id::Instance, sequence: u64) -> Heartbeat {
        Heartbeat {
            from: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            sequence,
            members: self.digest(),
            config_version: self.config_version,
            news: self.pending.remove(to).unwrap_or_default(),
        }
    }

    fn send_to(&mut self, receivers: Vec<id::Instance>, now: Instant) -> Vec<OutgoingHeartbeat> {
        if receivers.is_empty() {
            return Vec::new();
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.sent.insert(sequence, now);
        while self.sent.len() > SENT_KEPT {
            self.sent.pop_first();
        }
        let mut outgoing = Vec::with_capacity(receivers.len());
        for to in receivers {
            let Some(address) = self.members.get(&to).map(|it| it.address) else {
                continue;
            };
            let heartbeat = self.compose(&to, sequence);
            outgoing.push(OutgoingHeartbeat {
                to,
                address,
                heartbeat,
            });
        }
        outgoing
    }
}
