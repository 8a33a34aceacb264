//! Exchange of heartbeats: sending, receiving, and full syncs after repeated digest mismatches.

use base::id;
use tokio::time::Instant;
use wire::member::GossipEntry;
use wire::member::Heartbeat;
use wire::member::State;

use crate::node::Node;
use crate::node::OutgoingHeartbeat;

/// Number of consecutive heartbeats whose members digest differs from the own one, after which the
/// sender gets a full sync.
const DIGEST_MISMATCHES_BEFORE_SYNC: u32 = 3;
/// Number of recent heartbeats whose send time is kept for their acknowledgements.
const SENT_HEARTBEATS_MAX: usize = 8;

impl Node {
    /// Expires old crashes, runs failure detection and returns the periodic heartbeats to all
    /// neighbours, with their pending gossip.
    pub fn tick(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        if self.gossip_state.expire_crashes(now) {
            self.refresh_digest();
        }
        self.track_neighbours(now);
        self.suspect_silent_neighbours(now);
        self.declare_lost(now);
        let neighbours = self.neighbours.clone();
        self.send_to(neighbours, now)
    }

    /// Returns heartbeats to the neighbours with pending gossip, without waiting for the next tick.
    pub fn flush_gossip(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let has_pending_gossip = |it: &&id::Instance| {
            self.pending_gossip
                .get(*it)
                .is_some_and(|it| !it.is_empty())
        };
        let receivers = self
            .neighbours
            .iter()
            .filter(has_pending_gossip)
            .cloned()
            .collect();
        self.send_to(receivers, now)
    }

    /// Returns heartbeats to all neighbours outside the tick, to announce a configuration version.
    pub fn announce_config(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let neighbours = self.neighbours.clone();
        self.send_to(neighbours, now)
    }

    /// Returns a heartbeat for a seed, of which only the address is known. It carries this member's
    /// record, and its acknowledgement brings everything that the receiver knows.
    pub fn join_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeat_sequence += 1;
        self.sent_at.insert(self.heartbeat_sequence, now);
        Heartbeat {
            from: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            sequence: self.heartbeat_sequence,
            members: self.digest(),
            config_version: self.config_version,
            news: vec![GossipEntry::Member(self.own.clone())],
        }
    }

    /// Processes a heartbeat and returns its acknowledgement. A sender that is unknown or has a new
    /// incarnation gets a full sync.
    pub fn receive(&mut self, heartbeat: Heartbeat, now: Instant) -> Heartbeat {
        let sequence = heartbeat.sequence;
        let from = heartbeat.from.clone();
        let known = self.members.get(&from);
        let is_new_incarnation = known.is_none_or(|it| it.incarnation < heartbeat.incarnation);
        self.process_heartbeat(heartbeat, now);
        if is_new_incarnation {
            let all = self.all_gossip();
            self.pending_gossip.insert(from.clone(), all);
        }
        self.build_heartbeat(&from, sequence)
    }

    /// Processes the acknowledgement of a heartbeat.
    pub fn receive_ack(&mut self, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.from.clone();
        let incarnation = self.own.incarnation;
        let sent_at = self.sent_at.get(&heartbeat.sequence).copied();
        self.process_heartbeat(heartbeat, now);
        // The gossip may have declared this member lost. Then the acknowledgement belongs to the
        // previous incarnation and does not count for the fence.
        if self.own.incarnation != incarnation {
            return;
        }
        if let Some(sent_at) = sent_at {
            self.fence.record_ack(&from, sent_at);
        }
    }

    fn process_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.from;
        self.last_heard.insert(from.clone(), now);
        for entry in heartbeat.news {
            self.apply_gossip(entry, Some(&from), now);
        }
        self.clear_suspicion(&from, heartbeat.incarnation, now);
        self.notify_stale_sender(&from, heartbeat.incarnation);
        if heartbeat.members == self.digest() {
            self.digest_mismatches.remove(&from);
            return;
        }
        let digest_mismatches = self.digest_mismatches.entry(from.clone()).or_default();
        *digest_mismatches += 1;
        if *digest_mismatches >= DIGEST_MISMATCHES_BEFORE_SYNC {
            self.digest_mismatches.remove(&from);
            let all = self.all_gossip();
            self.pending_gossip.insert(from, all);
        }
    }

    /// Queues a sender's own record for it if it was declared lost or uses an old incarnation, so
    /// that it learns of this and starts a new one.
    fn notify_stale_sender(&mut self, from: &id::Instance, incarnation: u64) {
        let Some(known) = self.members.get(from) else {
            return;
        };
        let is_stale = known.incarnation > incarnation || known.state >= State::Lost;
        if is_stale {
            let entry = GossipEntry::Member(known.clone());
            self.queue_gossip(from.clone(), &entry);
        }
    }

    fn all_gossip(&self) -> Vec<GossipEntry> {
        let members = self.members.values().cloned().map(GossipEntry::Member);
        members.chain(self.gossip_state.entries()).collect()
    }

    fn build_heartbeat(&mut self, to: &id::Instance, sequence: u64) -> Heartbeat {
        Heartbeat {
            from: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            sequence,
            members: self.digest(),
            config_version: self.config_version,
            news: self.pending_gossip.remove(to).unwrap_or_default(),
        }
    }

    fn send_to(&mut self, receivers: Vec<id::Instance>, now: Instant) -> Vec<OutgoingHeartbeat> {
        if receivers.is_empty() {
            return Vec::new();
        }
        self.heartbeat_sequence += 1;
        let sequence = self.heartbeat_sequence;
        self.sent_at.insert(sequence, now);
        while self.sent_at.len() > SENT_HEARTBEATS_MAX {
            self.sent_at.pop_first();
        }
        let mut outgoing = Vec::with_capacity(receivers.len());
        for to in receivers {
            let Some(address) = self.members.get(&to).map(|it| it.address) else {
                continue;
            };
            let heartbeat = self.build_heartbeat(&to, sequence);
            outgoing.push(OutgoingHeartbeat {
                to,
                address,
                heartbeat,
            });
        }
        outgoing
    }
}
