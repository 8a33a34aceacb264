//! Model of instances, a store and engines on a simulated clock.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use forwarding::poison::Loss;
use forwarding::poison::Quarantine;
use forwarding::poison::Source;
use forwarding::poison::Subject;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

pub(crate) const DURATION_MS: u64 = 20_000;
/// Requirement: time from the fifth crash until no instance sends a request with the part, and for
/// which an instance is exempt after a fault.
const DETECTION_MS: u64 = 3_000;
const STEP_MS: u64 = 10;
/// Parts of prompts: one of the whole route, a few of documents, and the deadly one.
const COMMON: id::Fingerprint = id::Fingerprint(1);
const DOCUMENTS: u64 = 8;
const DEADLY: id::Fingerprint = id::Fingerprint(99);
/// Time from the begin of an answer to the crash or to the end of a sound run.
const CRASH_DELAY_MS: u64 = 60;
const RUN_MS: u64 = 300;
/// Time from a crash until a connection probe fails, and until the engine is back.
const PROBE_MS: u64 = 40;
const DOWN_MS: u64 = 3_000;
const GOSSIP_INTERVAL_MS: u64 = 400;
/// Members that read the store for the others, and members that pass on what the readers know.
const READERS: usize = 4;
const RELAYS: usize = 20;
/// Members up to which all ask the readers.
const DIRECT_MEMBERS_MAX: usize = 64;
const SAVE_INTERVAL_MS: u64 = 250;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// One instance is down for a second and knows nothing then.
    Restart(usize),
    RestartAll,
    /// For three seconds.
    CutFromPeers(usize),
    StoreOutage,
    /// One in so many engines crashes by itself.
    Crash(u32),
}

#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    /// Milliseconds between two requests of a kind.
    pub(crate) ordinary_interval: u64,
    pub(crate) deadly_interval: u64,
    /// When each fault begins.
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) seed: u64,
}

struct Member {
    quarantine: Quarantine,
    rows: usize,
    disturbed_at: u64,
    down_until: u64,
    cut_until: u64,
}

struct Engine {
    started_ms: u64,
    down_until: u64,
}

struct InFlight {
    member: usize,
    send: u64,
    engine: usize,
    started_ms: u64,
    begins_at: u64,
    is_deadly: bool,
}

pub(crate) struct World {
    schedule: Schedule,
    rng: SmallRng,
    start: Instant,
    pub(crate) now: u64,
    members: Vec<Member>,
    engines: Vec<Engine>,
    in_flight: Vec<InFlight>,
    /// Members that probe an engine, and when the probe fails.
    probes: Vec<(u64, usize, id::Incarnation)>,
    rows: BTreeMap<(id::Fingerprint, id::Incarnation), Loss>,
    store_down_until: u64,
    sends: u64,
    pub(crate) crashes: Vec<u64>,
    deadly_sends: Vec<u64>,
    /// When each ordinary request came, and whether it was sent.
    ordinary: Vec<(u64, bool)>,
}

impl World {
    pub(crate) fn new(schedule: Schedule) -> World {
        let member = |_| Member {
            quarantine: Quarantine::default(),
            rows: 0,
            disturbed_at: 0,
            down_until: 0,
            cut_until: 0,
        };
        let engine = |_| Engine {
            started_ms: 1,
            down_until: 0,
        };
        World {
            rng: SmallRng::seed_from_u64(schedule.seed),
            start: Instant::now(),
            now: 0,
            members: (0..schedule.instances).map(member).collect(),
            engines: (0..schedule.upstreams).map(engine).collect(),
            in_flight: Vec::new(),
            probes: Vec::new(),
            rows: BTreeMap::new(),
            store_down_until: 0,
            sends: 0,
            crashes: Vec::new(),
            deadly_sends: Vec::new(),
            ordinary: Vec::new(),
            schedule,
        }
    }

    /// Sends of requests with the deadly part, by undisturbed instances, that the requirement counts.
    pub(crate) fn late_sends(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let sends = self.deadly_sends.iter();
        sends.filter(|it| **it > fifth + DETECTION_MS).count()
    }

    /// Ordinary requests that were sent and those that came, at undisturbed instances after the
    /// detection time.
    pub(crate) fn ordinary_after_detection(&self) -> (usize, usize) {
        let Some(last) = self.crashes.get(4).or(self.crashes.last()) else {
            return (0, 0);
        };
        let later = self.ordinary.iter();
        let later = later.filter(|it| it.0 > last + 2 * DETECTION_MS);
        let sent = later.clone().filter(|it| it.1).count();
        (sent, later.count())
    }

    pub(crate) fn step(&mut self) {
        self.begin_faults();
        self.finish_runs();
        self.finish_probes();
        for member in 0..self.members.len() {
            if self.members[member].down_until <= self.now {
                self.sync(member);
            }
        }
        if self.now % self.schedule.ordinary_interval < STEP_MS {
            self.request(false);
        }
        if self.now > 2_000 && self.now % self.schedule.deadly_interval < STEP_MS {
            self.request(true);
        }
        self.now += STEP_MS;
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn incarnation(&self, engine: usize) -> id::Incarnation {
        id::Incarnation {
            upstream: format!("u{engine}").parse().expect("a name"),
            started_ms: self.engines[engine].started_ms,
        }
    }

    fn begin_faults(&mut self) {
        let count = self.members.len();
        for (at, fault) in self.schedule.faults.clone() {
            if at / STEP_MS != self.now / STEP_MS {
                continue;
            }
            match fault {
                Fault::Restart(member) => self.restart(member % count),
                Fault::RestartAll => (0..count).for_each(|it| self.restart(it)),
                Fault::CutFromPeers(member) => {
                    self.members[member % count].cut_until = self.now + 3_000;
                }
                Fault::StoreOutage => self.store_down_until = self.now + 4_000,
                Fault::Crash(one_in) => {
                    for engine in 0..self.engines.len() {
                        if self.rng.random_ratio(1, one_in) {
                            self.crash(engine);
                        }
                    }
                }
            }
        }
        let is_store_down = self.store_down_until > self.now;
        for member in &mut self.members {
            if is_store_down || member.cut_until > self.now || member.down_until > self.now {
                member.disturbed_at = self.now;
            }
        }
    }

    fn restart(&mut self, member: usize) {
        let it = &mut self.members[member];
        it.quarantine = Quarantine::default();
        it.rows = 0;
        it.down_until = self.now + 1_000;
        self.in_flight.retain(|it| it.member != member);
        self.probes.retain(|it| it.1 != member);
    }

    fn crash(&mut self, engine: usize) {
        if self.engines[engine].down_until > self.now {
            return;
        }
        let incarnation = self.incarnation(engine);
        self.engines[engine].down_until = self.now + DOWN_MS;
        let now = self.instant();
        let (lost, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it| it.engine == engine);
        self.in_flight = left;
        for it in lost {
            let quarantine = &mut self.members[it.member].quarantine;
            quarantine.record_loss(it.send, now);
            let probe = (self.now + PROBE_MS, it.member, incarnation.clone());
            self.probes.push(probe);
        }
    }

    fn finish_runs(&mut self) {
        let now = self.instant();
        for engine in &mut self.engines {
            if engine.down_until != 0 && engine.down_until <= self.now {
                engine.down_until = 0;
                engine.started_ms = self.now;
            }
        }
        let due = self.in_flight.iter();
        let due = due.filter(|it| it.is_deadly && it.begins_at + CRASH_DELAY_MS <= self.now);
        let due: Vec<usize> = due.map(|it| it.engine).collect();
        for engine in due {
            if self.engines[engine].down_until == 0 {
                self.crashes.push(self.now);
            }
            self.crash(engine);
        }
        let (ended, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it| !it.is_deadly && it.begins_at + RUN_MS <= self.now);
        self.in_flight = left;
        for it in ended {
            debug_assert_eq!(it.started_ms, self.engines[it.engine].started_ms);
            let quarantine = &mut self.members[it.member].quarantine;
            quarantine.record_sound_run(it.send, now);
            quarantine.record_answer(it.send);
        }
    }

    fn finish_probes(&mut self) {
        let now = self.instant();
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|it| it.0 <= self.now);
        self.probes = left;
        for (_, member, incarnation) in due {
            let quarantine = &mut self.members[member].quarantine;
            quarantine.mark_unreachable(&incarnation, now);
        }
    }

    /// Reads the store, gossips, announces and writes losses.
    fn sync(&mut self, member: usize) {
        let now = self.instant();
        let phase = self.now + member as u64 * STEP_MS;
        let is_store_up = self.store_down_until <= self.now;
        if is_store_up && self.members[member].rows < self.rows.len() {
            self.members[member].rows = self.rows.len();
            for loss in self.rows.values() {
                let quarantine = &mut self.members[member].quarantine;
                quarantine.merge_loss(loss, Source::Store, now);
            }
        }
        let is_cut = self.members[member].cut_until > self.now;
        if phase.is_multiple_of(GOSSIP_INTERVAL_MS) && !is_cut {
            self.gossip(member);
        }
        let losses = {
            let quarantine = &mut self.members[member].quarantine;
            quarantine.take_announcements(now)
        };
        for reader in 0..self.members.len().min(READERS) {
            let it = &mut self.members[reader];
            if reader != member && !is_cut && it.down_until <= self.now && it.cut_until <= self.now
            {
                for loss in &losses {
                    it.quarantine.merge_loss(loss, Source::Peer, now);
                }
            }
        }
        if phase.is_multiple_of(SAVE_INTERVAL_MS) && is_store_up {
            let quarantine = &mut self.members[member].quarantine;
            let losses = quarantine.unsaved_losses(now);
            quarantine.mark_saved(&losses);
            for loss in losses {
                let key = (loss.fingerprint, loss.incarnation.clone());
                let age = Duration::ZERO;
                self.rows.insert(key, Loss { age, ..loss });
            }
        }
    }

    /// Asks a reader or, of many members, a relay that asks the readers.
    fn gossip(&mut self, member: usize) {
        let now = self.instant();
        let count = self.members.len();
        let is_direct = count <= DIRECT_MEMBERS_MAX || member < RELAYS;
        let sources = if is_direct { READERS } else { RELAYS };
        let other = self.rng.random_range(0..count.min(sources));
        let it = &self.members[other];
        if other == member || it.down_until > self.now || it.cut_until > self.now {
            return;
        }
        let losses = it.quarantine.recent_losses(now);
        let cleared = it.quarantine.recently_cleared(now);
        let quarantine = &mut self.members[member].quarantine;
        for loss in &losses {
            quarantine.merge_loss(loss, Source::Peer, now);
        }
        for (fingerprint, age) in cleared {
            quarantine.merge_success(fingerprint, now - age, now);
        }
    }

    /// Sends a request of a client to a random instance, and from there to a random engine.
    fn request(&mut self, is_deadly: bool) {
        let member = self.rng.random_range(0..self.members.len());
        let engines = 0..self.engines.len();
        let up: Vec<usize> = engines
            .filter(|it| self.engines[*it].down_until == 0)
            .collect();
        if self.members[member].down_until > self.now || up.is_empty() {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let document = id::Fingerprint(10 + self.rng.random_range(0..DOCUMENTS));
        let mut parts = vec![COMMON, document];
        if is_deadly {
            parts.push(DEADLY);
        }
        let now = self.instant();
        let it = &mut self.members[member];
        let is_refused = it.quarantine.assess_parts(&parts, now).is_refused;
        if self.now >= it.disturbed_at + DETECTION_MS {
            match is_deadly {
                true if !is_refused => self.deadly_sends.push(self.now),
                true => {}
                false => self.ordinary.push((self.now, !is_refused)),
            }
        }
        if is_refused {
            return;
        }
        self.sends += 1;
        let subject = Subject {
            fingerprint: id::Fingerprint(1_000 + self.sends),
            parts: &parts,
        };
        let incarnation = self.incarnation(engine);
        let it = &mut self.members[member];
        it.quarantine
            .track_send(self.sends, subject, incarnation, now);
        self.in_flight.push(InFlight {
            member,
            send: self.sends,
            engine,
            started_ms: self.engines[engine].started_ms,
            begins_at: self.now + self.rng.random_range(50..600),
            is_deadly,
        });
    }
}
