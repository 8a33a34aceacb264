//! State machine of the membership protocol.

mod detect;
mod exchange;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::hash;
use base::id;
use tokio::time::Instant;
use wire::member::Crash;
use wire::member::GossipEntry;
use wire::member::Heartbeat;
use wire::member::Record;
use wire::member::Restriction;
use wire::member::State;
use wire::member::Suspicion;

use crate::Timing;
use crate::fence::Fence;
use crate::gossip::GossipState;
use crate::overlay;

/// A heartbeat to send to one neighbour.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingHeartbeat {
    /// Receiving instance.
    pub to: id::Instance,
    /// Address of the receiver's dispatcher.
    pub address: SocketAddr,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// One member's state of the membership protocol: its view of all members, its fence and the gossip
/// to send.
#[derive(Debug)]
pub struct Node {
    timing: Timing,
    own: Record,
    members: BTreeMap<id::Instance, Record>,
    gossip_state: GossipState,
    fence: Fence,
    config_version: u64,
    /// Time of the last message from each neighbour, or of the start of its observation.
    last_heard: BTreeMap<id::Instance, Instant>,
    /// Votes by the member that they are about and the member that votes.
    suspicions: BTreeMap<(id::Instance, id::Instance), Suspicion>,
    suspicion_sequence: u64,
    heartbeat_sequence: u64,
    /// Send times of recent heartbeats by sequence number.
    sent_at: BTreeMap<u64, Instant>,
    /// Gossip to send with the next heartbeat to each neighbour.
    pending_gossip: BTreeMap<id::Instance, Vec<GossipEntry>>,
    /// Number of consecutive heartbeats of each neighbour with another digest.
    digest_mismatches: BTreeMap<id::Instance, u32>,
    neighbours: Vec<id::Instance>,
    /// Digest of members, restrictions and crashes, cached so that a tick without changes costs the
    /// same whatever the number of members.
    digest: u64,
}

impl Node {
    /// Creates a member that knows only itself.
    #[must_use]
    pub fn new(own: Record, timing: Timing, now: Instant) -> Node {
        let members = BTreeMap::from([(own.instance.clone(), own.clone())]);
        Node {
            timing,
            own,
            members,
            gossip_state: GossipState::default(),
            fence: Fence::new(timing, now),
            config_version: 0,
            last_heard: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            suspicion_sequence: 0,
            heartbeat_sequence: 0,
            sent_at: BTreeMap::new(),
            pending_gossip: BTreeMap::new(),
            digest_mismatches: BTreeMap::new(),
            neighbours: Vec::new(),
            digest: 0,
        }
        .with_digest()
    }

    fn with_digest(mut self) -> Node {
        self.refresh_digest();
        self
    }

    /// This member's own record.
    #[must_use]
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// All known members, including those that are lost or gone.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.values()
    }

    /// Restrictions that the configuration in force does not include yet.
    pub fn restrictions(&self) -> impl Iterator<Item = &Restriction> {
        self.gossip_state.restrictions.values()
    }

    /// Quarantined fingerprints.
    #[must_use]
    pub fn quarantine(&self) -> BTreeSet<id::Fingerprint> {
        self.gossip_state.quarantine()
    }

    /// Whether `fingerprint` was running on an upstream that crashed, and has not completed since.
    #[must_use]
    pub fn is_crash_suspect(&self, fingerprint: id::Fingerprint) -> bool {
        !self.gossip_state.uncleared_crashes(fingerprint).is_empty()
    }

    /// Whether `fingerprint` is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.gossip_state.is_quarantined(fingerprint)
    }

    /// Clears the crashes recorded against `fingerprint`, after it has completed; returns whether
    /// there were any.
    pub fn clear_crash_suspect(&mut self, fingerprint: id::Fingerprint, now: Instant) -> bool {
        let crashes = self.gossip_state.uncleared_crashes(fingerprint);
        let was_suspect = !crashes.is_empty();
        for crash in crashes {
            let cleared = Crash {
                is_cleared: true,
                ..crash
            };
            self.apply_gossip(GossipEntry::Crash(cleared), None, now);
        }
        was_suspect
    }

    /// The record of one member, if it is known.
    #[must_use]
    pub fn member(&self, instance: &id::Instance) -> Option<&Record> {
        self.members.get(instance)
    }

    /// Order-independent digest of the members, restrictions and crashes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn refresh_digest(&mut self) {
        let members = self.members.values().fold(0u64, |digest, it| {
            let incarnation = it.incarnation.to_le_bytes();
            let state = [it.state as u8];
            let name = it.instance.as_str().as_bytes();
            let gateway = it.gateway.to_le_bytes();
            digest ^ hash::hash_bytes([name, &incarnation[..], &state[..], &gateway[..]])
        });
        self.digest = members ^ self.gossip_state.digest();
    }

    /// Whether the fence is open, so that this member may admit new work.
    pub fn is_unfenced(&mut self, now: Instant) -> bool {
        self.fence.is_open(now, &self.neighbours)
    }

    /// Sets the configuration version in force, which heartbeats announce, and the tokens of the
    /// restrictions that it includes.
    pub fn set_config(&mut self, version: u64, included_tokens: &[id::Token]) {
        self.config_version = version;
        self.gossip_state
            .set_configured_restrictions(included_tokens);
        self.refresh_digest();
    }

    /// Records the incarnation of the gateway that watches this member; returns whether it is newer
    /// than the known one.
    pub fn set_gateway(&mut self, incarnation: u64) -> bool {
        if incarnation <= self.own.gateway {
            return false;
        }
        self.own.gateway = incarnation;
        let own = self.own.clone();
        self.set_member(own.clone());
        self.disseminate(&GossipEntry::Member(own), None);
        true
    }

    /// Begins a graceful leave: gossips this member as leaving.
    pub fn begin_leave(&mut self) {
        self.own.state = State::Leaving;
        let own = self.own.clone();
        self.set_member(own.clone());
        self.disseminate(&GossipEntry::Member(own), None);
    }

    /// Ends a graceful leave: gossips this member as gone, in the last record that the neighbours
    /// receive from it.
    pub fn finish_leave(&mut self) {
        self.own.state = State::Gone;
        let own = self.own.clone();
        self.set_member(own.clone());
        self.disseminate(&GossipEntry::Member(own), None);
    }

    /// Applies and gossips a restriction, which takes its target out of service before the
    /// configuration in the table does.
    pub fn restrict(&mut self, restriction: Restriction, now: Instant) {
        self.apply_gossip(GossipEntry::Restriction(restriction), None, now);
    }

    /// Records and gossips an upstream crash during a request.
    pub fn report_crash(&mut self, crash: Crash, now: Instant) {
        self.apply_gossip(GossipEntry::Crash(crash), None, now);
    }

    /// Merges the platform's instance list into the members. A member that is in `previous` but not
    /// in `listing` is declared gone.
    pub fn apply_listing(
        &mut self,
        listing: &table::Listing,
        previous: &table::Listing,
        now: Instant,
    ) {
        for listed in &listing.instances {
            let known = self.members.get(&listed.instance);
            let incarnation = known.map_or(0, |it| it.incarnation);
            let state = match listed.is_leaving {
                true => State::Leaving,
                false => State::Alive,
            };
            if known.is_some_and(|it| it.state >= state) {
                continue;
            }
            let record = Record {
                instance: listed.instance.clone(),
                zone: listed.zone.clone(),
                address: listed.address,
                incarnation,
                state,
                gateway: known.map_or(0, |it| it.gateway),
            };
            self.last_heard
                .entry(listed.instance.clone())
                .or_insert(now);
            self.apply_gossip(GossipEntry::Member(record), None, now);
        }
        let is_listed = |instance: &id::Instance| {
            let mut listed = listing.instances.iter();
            listed.any(|it| it.instance == *instance)
        };
        for gone in &previous.instances {
            if !is_listed(&gone.instance) {
                self.declare_state(&gone.instance, State::Gone, now);
            }
        }
    }

    /// Merges a gossip entry and, if it is new, queues it for all neighbours except `from`.
    fn apply_gossip(&mut self, entry: GossipEntry, from: Option<&id::Instance>, now: Instant) {
        let is_new = match &entry {
            GossipEntry::Member(record) => self.apply_member(record, now),
            GossipEntry::Suspicion(suspicion) => self.apply_suspicion(suspicion),
            GossipEntry::Restriction(restriction) => {
                self.gossip_state.merge_restriction(restriction)
            }
            GossipEntry::Crash(crash) => self.gossip_state.merge_crash(crash, now),
        };
        if is_new {
            self.refresh_digest();
            self.disseminate(&entry, from);
        }
    }

    fn apply_member(&mut self, record: &Record, now: Instant) -> bool {
        if record.instance == self.own.instance {
            return self.refute(record, now);
        }
        let is_new = match self.members.get(&record.instance) {
            Some(known) => record.supersedes(known),
            None => true,
        };
        if is_new {
            self.set_member(record.clone());
        }
        is_new
    }

    /// Handles a gossiped record of this member itself. If it declares this member lost or gone, or
    /// has a newer incarnation, refutes it by starting an incarnation above it.
    fn refute(&mut self, record: &Record, now: Instant) -> bool {
        if record.incarnation < self.own.incarnation {
            return false;
        }
        if record.state == State::Leaving && self.own.state == State::Alive {
            // The platform is about to remove this instance.
            self.begin_leave();
            return false;
        }
        let is_declared_lost = record.state >= State::Lost && self.own.state != State::Gone;
        if !is_declared_lost && record.incarnation == self.own.incarnation {
            return false;
        }
        self.own.incarnation = record.incarnation + 1;
        // Earlier acknowledgements belong to the incarnation that was declared lost.
        self.fence.reset(now);
        let own = self.own.clone();
        self.set_member(own.clone());
        self.disseminate(&GossipEntry::Member(own), None);
        false
    }

    fn set_member(&mut self, record: Record) {
        let about = record.instance.clone();
        self.suspicions.retain(|(it, _), _| *it != about);
        self.members.insert(about, record);
        self.refresh_neighbours();
        self.refresh_digest();
    }

    fn refresh_neighbours(&mut self) {
        let present = self.members.values().filter(|it| it.state != State::Gone);
        let instances = present.map(|it| &it.instance);
        self.neighbours = overlay::neighbours(&self.own.instance, instances);
        self.pending_gossip
            .retain(|it, _| self.neighbours.contains(it));
    }

    fn disseminate(&mut self, entry: &GossipEntry, except: Option<&id::Instance>) {
        for neighbour in self.neighbours.clone() {
            if Some(&neighbour) != except {
                self.queue_gossip(neighbour, entry);
            }
        }
    }

    fn queue_gossip(&mut self, to: id::Instance, entry: &GossipEntry) {
        let pending_gossip = self.pending_gossip.entry(to).or_default();
        if !pending_gossip.contains(entry) {
            pending_gossip.push(entry.clone());
        }
    }
}
