//! Model of instances, a store, engines of several software versions and clients that take their
//! streams up, on a simulated clock.

mod streams;
mod upkeep;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Catalog;
use catalog::Phase;
use catalog::Route;
use catalog::RouteKind;
use catalog::Target;
use catalog::Upstream;
use catalog::View;
use forwarding::origin::Continuation;
use forwarding::origin::Origin;
use forwarding::origin::Origins;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use self::streams::Next;
use self::streams::Stream;

pub(crate) const DURATION_MS: u64 = 90_000;
const STEP_MS: u64 = 20;
/// Requirement: time for which an instance is exempt after a fault.
const EXEMPT_MS: u64 = 3_000;
/// Time in which instances learn of a registration.
const NOTICE_MS: u64 = 500;
/// Time from the first event of a stream in which the loss of its instance, or of all instances,
/// may keep it from going on.
const HAND_OVER_MS: u64 = 50;
const RECORDING_MS: u64 = 1_000;
/// Time that an instance takes to restart.
const RESTART_MS: u64 = 1_000;
/// Longest pause of a client between two attempts.
const PAUSE_MS_MAX: u64 = 500;
/// Time until the others take a member for lost.
const SUSPICION_MS: u64 = 1_000;
/// Engines of the first version at the start.
const FIRST_ENGINES: usize = 3;
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// One instance is down for a second and knows nothing then.
    Restart(usize),
    RestartAll,
    /// One instance reaches neither the store nor other instances, for so many milliseconds.
    Cut(usize, u64),
    /// The store is away for so many milliseconds.
    StoreOutage(u64),
}

/// Engines of a version that are started, and the departure of those that were there before.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    pub(crate) at: u64,
    pub(crate) version: usize,
    pub(crate) engines: usize,
    /// Time from the start to the end of the registrations of all engines that are older.
    pub(crate) retire_after: Option<u64>,
    /// Time for which these serve on.
    pub(crate) drain: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) instances: usize,
    /// Milliseconds between two new streams.
    pub(crate) interval: u64,
    pub(crate) releases: Vec<Release>,
    /// When each fault begins.
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) seed: u64,
}

struct Member {
    origins: Origins,
    view: Arc<View>,
    is_ready: bool,
    down_until: u64,
    cut_until: u64,
    /// When it was last lost to the others.
    lost_at: u64,
    disturbed_at: Option<u64>,
    missing_since: Option<u64>,
    /// Member that it hands its streams to.
    custodian: Option<usize>,
    gone_since: BTreeMap<id::Software, u64>,
}

impl Member {
    fn is_reachable(&self, now: u64) -> bool {
        now >= self.down_until.max(self.cut_until)
    }
}

struct Engine {
    upstream: Arc<Upstream>,
    registered_at: u64,
    /// When its registration ended.
    retired_at: Option<u64>,
    serves_until: u64,
}

pub(crate) struct World {
    schedule: Schedule,
    rng: SmallRng,
    start: Instant,
    pub(crate) now: u64,
    members: Vec<Member>,
    /// Members that are up and not cut off.
    reachable: Vec<usize>,
    /// The same and those of which the others do not know yet that they are not.
    readers: Vec<usize>,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    ended: Vec<Stream>,
    /// What the store holds.
    stored: Arc<View>,
    rows: BTreeMap<id::Fingerprint, Origin>,
    /// Members that streams were handed to.
    custodians: BTreeMap<id::Fingerprint, usize>,
    store_down_until: u64,
    store_disturbed_at: Option<u64>,
    next_stream_at: u64,
    streams_begun: u64,
    /// New streams at undisturbed instances that began, and all.
    pub(crate) begins: (usize, usize),
    /// Take-ups at undisturbed instances, while two engines of the version were in service, that
    /// went on, and all.
    pub(crate) take_ups: (usize, usize),
    /// The same without those that came while streams from before a release were being recorded.
    pub(crate) settled_take_ups: (usize, usize),
}

fn service() -> id::Service {
    "s".parse().expect("a name")
}

fn software(version: usize) -> id::Software {
    format!("v{version}").parse().expect("a name")
}

fn catalog() -> Catalog {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout: ROUTE_TIMEOUT,
        goal: ROUTE_TIMEOUT,
        priority: 0,
        targets: vec![Target {
            service: service(),
            weight: 1.0,
        }],
        attempts_max: 2,
        steps: Vec::new(),
        is_public: true,
    };
    Catalog::default().with_routes(vec![route])
}

impl World {
    pub(crate) fn new(schedule: Schedule) -> World {
        let stored = Arc::new(View {
            catalog: Some(Arc::new(catalog())),
            ..View::default()
        });
        let member = |_| Member {
            origins: Origins::default(),
            view: stored.clone(),
            is_ready: false,
            down_until: 0,
            cut_until: 0,
            lost_at: 0,
            disturbed_at: None,
            missing_since: None,
            custodian: None,
            gone_since: BTreeMap::new(),
        };
        let mut world = World {
            rng: SmallRng::seed_from_u64(schedule.seed),
            start: Instant::now(),
            now: 0,
            members: (0..schedule.instances).map(member).collect(),
            reachable: Vec::new(),
            readers: Vec::new(),
            engines: Vec::new(),
            streams: Vec::new(),
            ended: Vec::new(),
            stored,
            rows: BTreeMap::new(),
            custodians: BTreeMap::new(),
            store_down_until: 0,
            store_disturbed_at: None,
            next_stream_at: EXEMPT_MS,
            streams_begun: 0,
            begins: (0, 0),
            take_ups: (0, 0),
            settled_take_ups: (0, 0),
            schedule,
        };
        world.add_engines(0, FIRST_ENGINES);
        world
    }

    /// Streams with events of two versions.
    pub(crate) fn joined(&self) -> Vec<&Stream> {
        let streams = self.streams.iter().chain(&self.ended);
        let joined = streams.filter(|it| {
            let versions: BTreeSet<&id::Software> = it.writers.iter().map(|it| &it.0).collect();
            versions.len() > 1
        });
        joined.collect()
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        self.apply_releases();
        self.apply_faults();
        let (now, members) = (self.now, self.members.iter().enumerate());
        let reachable = members.clone().filter(|it| it.1.is_reachable(now));
        self.reachable = reachable.map(|it| it.0).collect();
        let readers =
            members.filter(|it| it.1.is_reachable(now) || it.1.lost_at + SUSPICION_MS > now);
        self.readers = readers.map(|it| it.0).collect();
        for idx in 0..self.members.len() {
            self.step_member(idx);
        }
        while self.next_stream_at <= self.now {
            self.next_stream_at += self.schedule.interval;
            self.begin_stream();
        }
        let mut streams = std::mem::take(&mut self.streams);
        let now = self.now;
        for stream in streams.iter_mut().filter(|it| it.next_at <= now) {
            self.step_stream(stream);
        }
        let (ended, streams) = streams.into_iter().partition(|it| it.next == Next::End);
        self.ended.extend::<Vec<Stream>>(ended);
        self.streams = streams;
    }

    fn is_store_up(&self) -> bool {
        self.now >= self.store_down_until
    }

    /// Changes what the store holds.
    fn store(&mut self, change: impl FnOnce(&mut View)) {
        let mut stored = View::clone(&self.stored);
        change(&mut stored);
        self.stored = Arc::new(stored);
    }

    fn add_engines(&mut self, version: usize, count: usize) {
        for _ in 0..count {
            let name: id::Upstream = format!("i-{}", self.engines.len()).parse().expect("a name");
            let upstream = Arc::new(Upstream {
                name: name.clone(),
                service: service(),
                address: "10.0.0.1:80".parse().expect("an address"),
                zone: "a".parse().expect("a name"),
                slots: 8,
                phase: Phase::Ready,
                started_ms: 1,
                software: software(version),
                version: 1,
            });
            self.engines.push(Engine {
                upstream: upstream.clone(),
                registered_at: self.now,
                retired_at: None,
                serves_until: u64::MAX,
            });
            self.store(|it| drop(it.upstreams.insert(name, upstream)));
        }
    }

    /// Registrations begin and end once the store is up.
    fn apply_releases(&mut self) {
        if !self.is_store_up() {
            return;
        }
        let mut releases = std::mem::take(&mut self.schedule.releases);
        for release in &mut releases {
            if release.engines > 0 && release.at <= self.now {
                self.add_engines(release.version, release.engines);
                release.engines = 0;
                release.at = self.now;
            } else if release.engines == 0
                && let Some(after) = release.retire_after
                && release.at + after <= self.now
            {
                release.retire_after = None;
                self.retire(release.at, release.drain);
            }
        }
        self.schedule.releases = releases;
    }

    /// Ends the registrations of engines that were registered before a time.
    fn retire(&mut self, before: u64, drain: u64) {
        let mut retired = Vec::new();
        for engine in &mut self.engines {
            if engine.retired_at.is_none() && engine.registered_at < before {
                engine.retired_at = Some(self.now);
                engine.serves_until = self.now + drain;
                retired.push(engine.upstream.name.clone());
            }
        }
        self.store(|it| it.upstreams.retain(|name, _| !retired.contains(name)));
    }

    fn apply_faults(&mut self) {
        let due = |it: &(u64, Fault)| it.0 <= self.now;
        let (due, rest) = self.schedule.faults.iter().partition(|it| due(it));
        self.schedule.faults = rest;
        let due: Vec<(u64, Fault)> = due;
        for (_, fault) in due {
            match fault {
                Fault::Restart(idx) => self.restart(idx % self.members.len()),
                Fault::RestartAll => {
                    self.excuse_streams(RECORDING_MS, |_| true);
                    (0..self.members.len()).for_each(|it| self.restart(it));
                }
                Fault::Cut(idx, duration) => {
                    let idx = idx % self.members.len();
                    let member = &mut self.members[idx];
                    member.lost_at = self.now;
                    member.cut_until = member.cut_until.max(self.now + duration);
                    self.excuse_unsaved(idx);
                }
                Fault::StoreOutage(duration) => {
                    self.store_down_until = self.store_down_until.max(self.now + duration);
                    self.excuse_streams(RECORDING_MS, |_| true);
                }
            }
        }
        if !self.is_store_up() {
            self.store_disturbed_at = Some(self.now);
        }
    }

    fn excuse_streams(&mut self, age_ms: u64, is_hit: impl Fn(&Stream) -> bool) {
        let from = self.now.saturating_sub(age_ms);
        let streams = self.streams.iter_mut();
        for stream in streams.filter(|it| it.began_at >= from && is_hit(it)) {
            stream.is_excused = true;
        }
    }

    /// Excuses the streams that a lost member may not have saved or handed over yet.
    fn excuse_unsaved(&mut self, idx: usize) {
        let custodians = std::mem::take(&mut self.custodians);
        self.excuse_streams(RECORDING_MS, |it| custodians.get(&it.id) == Some(&idx));
        self.excuse_streams(HAND_OVER_MS, |it| it.beginner == idx);
        if !self.stored.has_several_versions(&service()) {
            let streams = self.streams.iter_mut();
            let own = streams.filter(|it| it.beginner == idx && !custodians.contains_key(&it.id));
            own.for_each(|it| it.is_forgotten = true);
        }
        self.custodians = custodians;
    }

    fn restart(&mut self, idx: usize) {
        self.excuse_unsaved(idx);
        // A single instance hands its streams to nobody.
        if self.members.len() == 1 {
            self.excuse_streams(RECORDING_MS, |_| true);
        }
        let now = self.now;
        let empty = Arc::new(View::default());
        let member = &mut self.members[idx];
        member.origins = Origins::default();
        member.view = empty;
        member.is_ready = false;
        member.gone_since.clear();
        member.missing_since = None;
        member.custodian = None;
        member.lost_at = now;
        member.down_until = now + RESTART_MS;
        for stream in self.streams.iter_mut().filter(|it| it.member == idx) {
            if stream.next == Next::Break {
                stream.next = Next::TakeUp;
                stream.next_at = now + self.rng.random_range(0..PAUSE_MS_MAX);
            }
        }
    }

    fn step_member(&mut self, idx: usize) {
        let (now, is_store_up) = (self.now, self.is_store_up());
        let at = self.start + Duration::from_millis(now);
        let member = &mut self.members[idx];
        if now < member.down_until || now < member.cut_until || !is_store_up {
            member.disturbed_at = Some(now);
        }
        if now < member.down_until {
            return;
        }
        member.origins.expire(at);
        if now >= member.cut_until {
            if is_store_up && self.rng.random_bool(0.3) {
                member.view = self.stored.clone();
            }
            self.hand_over(idx);
            if is_store_up {
                self.save(idx);
                self.record_versions(idx);
            }
        }
        let member = &mut self.members[idx];
        if !member.is_ready {
            let has_view = !member.view.upstreams.is_empty();
            member.is_ready = has_view && member.view.unrecorded_software().is_empty();
        }
    }

    /// An engine that serves and that a member may send a request to.
    fn choose(&mut self, member: usize, continuation: &Continuation) -> Option<Arc<Upstream>> {
        let view = self.members[member].view.clone();
        let service = service();
        let usable = view.usable(&service);
        let usable = usable.filter(|it| continuation.allows(&view, it));
        let serving = usable.filter(|upstream| {
            let mut engines = self.engines.iter();
            let engine = engines.find(|it| it.upstream.name == upstream.name);
            engine.is_some_and(|it| self.now < it.serves_until)
        });
        let serving: Vec<&Arc<Upstream>> = serving.collect();
        serving.choose(&mut self.rng).copied().cloned()
    }
}
