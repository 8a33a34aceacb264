//! State machine of one member.

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
use crate::overlay;
use crate::rumor::Rumors;

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingHeartbeat {
    /// Receiver.
    pub to: id::Instance,
    /// Its address.
    pub address: SocketAddr,
    /// The message.
    pub heartbeat: Heartbeat,
}

/// Membership as one process sees it.
#[derive(Debug)]
pub struct Node {
    timing: Timing,
    own: Record,
    members: BTreeMap<id::Instance, Record>,
    rumors: Rumors,
    fence: Fence,
    config_version: u64,
    heard: BTreeMap<id::Instance, Instant>,
    suspicions: BTreeMap<(id::Instance, id::Instance), Suspicion>,
    suspicion_sequence: u64,
    sequence: u64,
    sent: BTreeMap<u64, Instant>,
    pending: BTreeMap<id::Instance, Vec<GossipEntry>>,
    mismatches: BTreeMap<id::Instance, u32>,
    neighbours: Vec<id::Instance>,
    /// Digest of everything that floods, kept so that a calm tick costs the same at any size.
    digest: u64,
}

impl Node {
    /// A member that knows only itself.
    #[must_use]
    pub fn new(own: Record, timing: Timing, now: Instant) -> Node {
        let members = BTreeMap::from([(own.instance.clone(), own.clone())]);
        Node {
            timing,
            own,
            members,
            rumors: Rumors::default(),
            fence: Fence::new(timing, now),
            config_version: 0,
            heard: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            suspicion_sequence: 0,
            sequence: 0,
            sent: BTreeMap::new(),
            pending: BTreeMap::new(),
            mismatches: BTreeMap::new(),
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

    /// Every known member, gone ones included.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.values()
    }

    /// Restrictions that the configuration in force does not keep yet.
    pub fn restrictions(&self) -> impl Iterator<Item = &Restriction> {
        self.rumors.restrictions.values()
    }

    /// Quarantined fingerprints.
    #[must_use]
    pub fn quarantine(&self) -> BTreeSet<id::Fingerprint> {
        self.rumors.quarantine()
    }

    /// Whether `fingerprint` was running on an upstream that crashed, and has not completed since.
    #[must_use]
    pub fn is_crash_suspect(&self, fingerprint: id::Fingerprint) -> bool {
        !self.rumors.crashes(fingerprint).is_empty()
    }

    /// Whether `fingerprint` is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.rumors.is_quarantined(fingerprint)
    }

    /// Notes that `fingerprint` has completed; returns whether it was a suspect.
    pub fn clear_crash_suspect(&mut self, fingerprint: id::Fingerprint, now: Instant) -> bool {
        let crashes = self.rumors.crashes(fingerprint);
        let was_suspect = !crashes.is_empty();
        for crash in crashes {
            let cleared = Crash {
                is_cleared: true,
                ..crash
            };
            self.learn(GossipEntry::Crash(cleared), None, now);
        }
        was_suspect
    }

    /// One member.
    #[must_use]
    pub fn member(&self, instance: &id::Instance) -> Option<&Record> {
        self.members.get(instance)
    }

    /// Order-independent digest of everything that floods.
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
        self.digest = members ^ self.rumors.digest();
    }

    /// Whether this member may admit new work.
    pub fn is_unfenced(&mut self, now: Instant) -> bool {
        self.fence.is_open(now, &self.neighbours)
    }

    /// Sets the configuration version in force, which heartbeats announce, and the changes that it
    /// includes.
    pub fn set_config(&mut self, version: u64, includes: &[id::Token]) {
        self.config_version = version;
        self.rumors.settle(includes);
        self.refresh_digest();
    }

    /// Notes the gateway that follows this member; returns whether it is a new one.
    pub fn set_gateway(&mut self, incarnation: u64) -> bool {
        if incarnation <= self.own.gateway {
            return false;
        }
        self.own.gateway = incarnation;
        let own = self.own.clone();
        self.adopt(own.clone());
        self.spread(&GossipEntry::Member(own), None);
        true
    }

    /// Begins an orderly leave.
    pub fn begin_leave(&mut self) {
        self.own.state = State::Leaving;
        let own = self.own.clone();
        self.adopt(own.clone());
        self.spread(&GossipEntry::Member(own), None);
    }

    /// Ends an orderly leave: the last record that the neighbours hear.
    pub fn finish_leave(&mut self) {
        self.own.state = State::Gone;
        let own = self.own.clone();
        self.adopt(own.clone());
        self.spread(&GossipEntry::Member(own), None);
    }

    /// Takes a target out of service ahead of the table.
    pub fn restrict(&mut self, restriction: Restriction, now: Instant) {
        self.learn(GossipEntry::Restriction(restriction), None, now);
    }

    /// Records a crash in which a request was running.
    pub fn report_crash(&mut self, crash: Crash, now: Instant) {
        self.learn(GossipEntry::Crash(crash), None, now);
    }

    /// Takes the platform's list of instances. Members that were listed and are no more are gone.
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
            self.heard.entry(listed.instance.clone()).or_insert(now);
            self.learn(GossipEntry::Member(record), None, now);
        }
        let is_listed = |instance: &id::Instance| {
            let mut listed = listing.instances.iter();
            listed.any(|it| it.instance == *instance)
        };
        for gone in &previous.instances {
            if !is_listed(&gone.instance) {
                self.declare(&gone.instance, State::Gone, now);
            }
        }
    }

    /// Takes a piece of news and passes it on if it is new.
    fn learn(&mut self, news: GossipEntry, from: Option<&id::Instance>, now: Instant) {
        let is_new = match &news {
            GossipEntry::Member(record) => self.learn_member(record, now),
            GossipEntry::Suspicion(suspicion) => self.learn_suspicion(suspicion),
            GossipEntry::Restriction(restriction) => self.rumors.restrict(restriction),
            GossipEntry::Crash(crash) => self.rumors.crash(crash, now),
        };
        if is_new {
            self.refresh_digest();
            self.spread(&news, from);
        }
    }

    fn learn_member(&mut self, record: &Record, now: Instant) -> bool {
        if record.instance == self.own.instance {
            return self.defend(record, now);
        }
        let is_new = match self.members.get(&record.instance) {
            Some(known) => record.supersedes(known),
            None => true,
        };
        if is_new {
            self.adopt(record.clone());
        }
        is_new
    }

    /// Someone speaks of this member. A claim that it is lost starts a new incarnation.
    fn defend(&mut self, record: &Record, now: Instant) -> bool {
        if record.incarnation < self.own.incarnation {
            return false;
        }
        if record.state == State::Leaving && self.own.state == State::Alive {
            // The platform takes this instance away.
            self.begin_leave();
            return false;
        }
        let is_replaced = record.state >= State::Lost && self.own.state != State::Gone;
        if !is_replaced && record.incarnation == self.own.incarnation {
            return false;
        }
        self.own.incarnation = record.incarnation + 1;
        // Evidence from before belongs to the lost incarnation.
        self.fence.lapse(now);
        let own = self.own.clone();
        self.adopt(own.clone());
        self.spread(&GossipEntry::Member(own), None);
        false
    }

    fn adopt(&mut self, record: Record) {
        let about = record.instance.clone();
        self.suspicions.retain(|(it, _), _| *it != about);
        self.members.insert(about, record);
        self.refresh_overlay();
        self.refresh_digest();
    }

    fn refresh_overlay(&mut self) {
        let present = self.members.values().filter(|it| it.state != State::Gone);
        let instances = present.map(|it| &it.instance);
        self.neighbours = overlay::neighbours(&self.own.instance, instances);
        self.pending.retain(|it, _| self.neighbours.contains(it));
    }

    fn spread(&mut self, news: &GossipEntry, except: Option<&id::Instance>) {
        for neighbour in self.neighbours.clone() {
            if Some(&neighbour) != except {
                self.queue(neighbour, news);
            }
        }
    }

    fn queue(&mut self, to: id::Instance, news: &GossipEntry) {
        let pending = self.pending.entry(to).or_default();
        if !pending.contains(news) {
            pending.push(news.clone());
        }
    }
}
