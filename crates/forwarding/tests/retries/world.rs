//! Instances that share a retry budget, under restarts, joins, leaves and views of any age.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use forwarding::retry::Budget;
use forwarding::retry::BudgetLimit;
use forwarding::retry::Pulse;
use forwarding::retry::Roster;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time from the start of a process until it serves.
const START_TIME: Duration = Duration::from_millis(300);
/// Time for which a process that stops still gets requests of clients.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Longest time that a process that stops still works on requests.
const GRACE: Duration = Duration::from_secs(7);
/// Most repeats of one request.
const REPEATS_MAX: u32 = 4;
/// Part of the repeats that become due only some time after the request.
const LATE_FRACTION: f64 = 0.1;

/// What happens to instances, paths or load. Shares are parts of the instances.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Processes are killed and start again after the given time.
    Kill(f64, Duration),
    /// All processes are stopped gracefully, so many at a time, each start of a group the given time
    /// after the one before, and start again.
    Roll(usize, Duration),
    /// Instances stop gracefully and do not return.
    Leave(f64),
    /// So many new instances are added, as a part of those that exist.
    Join(f64),
    /// Processes get no news of the members for the given time.
    Cut(f64, Duration),
    /// Processes are suspended for the given time.
    Freeze(f64, Duration),
    /// The clients send so many times the requests for the given time.
    Burst(f64, Duration),
    /// Upstreams reject the given part of the requests from now on.
    Reject(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Down { start_at: Option<Duration> },
    Starting { until: Duration },
    Serving,
    Stopping { since: Duration },
}

/// One process of an instance, as it uses the budget.
struct Process {
    budget: Budget,
    roster: Roster,
    pulse: Pulse,
    limit: BudgetLimit,
}

impl Process {
    fn start(name: &id::Instance, limit: BudgetLimit, now: Instant) -> Process {
        Process {
            budget: Budget::new(limit),
            roster: Roster::new(name),
            pulse: Pulse::new(now),
            limit,
        }
    }

    /// Reads the complete list of members. `is_changed` tells whether it differs from the last one,
    /// `is_listed` whether this process is in it.
    fn read_members<'a>(
        &mut self,
        names: impl Iterator<Item = &'a id::Instance>,
        is_changed: bool,
        is_listed: bool,
        now: Instant,
    ) {
        if is_changed {
            self.roster.set_members(names, is_listed, now);
        }
        self.roster.confirm(now, self.limit.window);
    }

    fn record_request(&mut self, now: Instant) {
        if !self.pulse.is_catching_up(now) {
            self.budget.record_request(now);
        }
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let share = self.roster.share(&self.limit, now);
        self.budget.try_take(share, now).is_some()
    }
}

struct Instance {
    name: id::Instance,
    phase: Phase,
    process: Option<Process>,
    incarnation: u32,
    /// Whether it does not return once it has stopped.
    is_leaving: bool,
    cut_until: Duration,
    frozen_until: Duration,
    read_interval: Duration,
    read_at: Duration,
    seen_version: u64,
    /// Requests whose repeats become due later, and when.
    late: Vec<Duration>,
    /// Requests that wait for a suspended process.
    waiting: u32,
}

/// All instances, their clients and the store.
pub(crate) struct World {
    limit: BudgetLimit,
    rng: SmallRng,
    base: Instant,
    now: Duration,
    instances: Vec<Instance>,
    /// Registered incarnations by index of the instance.
    rows: BTreeMap<usize, u32>,
    version: u64,
    rate: f64,
    due: f64,
    burst: (f64, Duration),
    rejected: f64,
    /// When clients sent requests.
    pub(crate) requests: Vec<Duration>,
    /// When requests were sent to an upstream once more.
    pub(crate) repeats: Vec<Duration>,
}

impl World {
    /// A world of `count` instances that start at once. Clients send `rate` requests a second, of
    /// which upstreams reject the part `rejected`.
    pub(crate) fn new(
        limit: BudgetLimit,
        count: usize,
        rate: f64,
        rejected: f64,
        seed: u64,
    ) -> World {
        let mut world = World {
            limit,
            rng: SmallRng::seed_from_u64(seed),
            base: Instant::now(),
            now: Duration::ZERO,
            instances: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            rate,
            due: 0.0,
            burst: (1.0, Duration::ZERO),
            rejected,
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for _ in 0..count {
            world.add_instance();
        }
        world
    }

    /// Plays `faults`, in order of time, until `end`.
    pub(crate) fn run(&mut self, faults: &[(Duration, Fault)], end: Duration) {
        let mut faults = faults.to_vec();
        faults.sort_by_key(|it| it.0);
        let mut faults = faults.into_iter().peekable();
        let mut stops: Vec<(Duration, usize)> = Vec::new();
        while self.now < end {
            while let Some((_, fault)) = faults.next_if(|it| it.0 <= self.now) {
                self.apply(&fault, &mut stops);
            }
            let now = self.now;
            for (_, idx) in stops.extract_if(.., |it| it.0 <= now) {
                if self.instances[idx].phase == Phase::Serving {
                    self.stop(idx);
                }
            }
            for idx in 0..self.instances.len() {
                self.advance(idx);
            }
            self.send_requests();
            self.now += STEP;
        }
    }

    /// Repeats and allowed repeats of the window that begins with each repeat since `since`.
    pub(crate) fn windows(&self, since: Duration) -> impl Iterator<Item = (usize, f64)> {
        let window = self.limit.window;
        let count = |times: &[Duration], from: Duration, to: Duration| {
            times.partition_point(|it| *it < to) - times.partition_point(|it| *it < from)
        };
        let starts = self.repeats.iter().copied().filter(move |it| *it >= since);
        starts.map(move |start| {
            let repeats = count(&self.repeats, start, start + window);
            let requests = [Duration::ZERO, window / 2, window].map(|offset| {
                let from = start.saturating_sub(offset);
                count(
                    &self.requests,
                    from,
                    (start + window).saturating_sub(offset),
                )
            });
            let requests = requests.into_iter().max().unwrap_or_default() as f64;
            (repeats, self.limit.ratio * requests + self.limit.extra)
        })
    }

    fn add_instance(&mut self) {
        let name = format!("n{}", self.instances.len());
        let start_at = self.now + self.jitter(500);
        let read_interval = Duration::from_millis(200) + self.jitter(1_000);
        self.instances.push(Instance {
            name: name.parse().expect("a name"),
            phase: Phase::Down {
                start_at: Some(start_at),
            },
            process: None,
            incarnation: 0,
            is_leaving: false,
            cut_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            read_interval,
            read_at: Duration::ZERO,
            seen_version: 0,
            late: Vec::new(),
            waiting: 0,
        });
    }

    fn jitter(&mut self, millis: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..millis))
    }

    fn chosen(&mut self, share: f64) -> Vec<usize> {
        let count = self.instances.len();
        (0..count).filter(|_| self.rng.random_bool(share)).collect()
    }

    fn apply(&mut self, fault: &Fault, stops: &mut Vec<(Duration, usize)>) {
        match *fault {
            Fault::Kill(share, down) => {
                for idx in self.chosen(share) {
                    let instance = &mut self.instances[idx];
                    if instance.process.take().is_some() {
                        instance.phase = Phase::Down {
                            start_at: (!instance.is_leaving).then_some(self.now + down),
                        };
                    }
                }
            }
            Fault::Roll(at_once, gap) => {
                for idx in 0..self.instances.len() {
                    stops.push((self.now + gap * (idx / at_once) as u32, idx));
                }
            }
            Fault::Leave(share) => {
                for idx in self.chosen(share) {
                    if self.instances[idx].phase == Phase::Serving {
                        self.stop(idx);
                        self.instances[idx].is_leaving = true;
                    }
                }
            }
            Fault::Join(share) => {
                let count = (self.instances.len() as f64 * share).ceil() as usize;
                for _ in 0..count {
                    self.add_instance();
                }
            }
            Fault::Cut(share, time) => {
                for idx in self.chosen(share) {
                    self.instances[idx].cut_until = self.now + time;
                }
            }
            Fault::Freeze(share, time) => {
                for idx in self.chosen(share) {
                    self.instances[idx].frozen_until = self.now + time;
                }
            }
            Fault::Burst(factor, time) => self.burst = (factor, self.now + time),
            Fault::Reject(part) => self.rejected = part,
        }
    }

    fn stop(&mut self, idx: usize) {
        self.instances[idx].phase = Phase::Stopping { since: self.now };
        self.rows.remove(&idx);
        self.version += 1;
    }

    fn advance(&mut self, idx: usize) {
        let (now, base, limit) = (self.now, self.base, self.limit);
        let instance = &mut self.instances[idx];
        if instance.frozen_until > now {
            return;
        }
        match instance.phase {
            Phase::Down {
                start_at: Some(start_at),
            } if start_at <= now => {
                instance.process = Some(Process::start(&instance.name, limit, base + now));
                instance.incarnation += 1;
                instance.seen_version = 0;
                instance.read_at = now;
                instance.late.clear();
                instance.waiting = 0;
                let until = now + START_TIME;
                instance.phase = Phase::Starting { until };
            }
            Phase::Starting { until } if until <= now => instance.phase = Phase::Serving,
            Phase::Stopping { since } if since + GRACE <= now => {
                instance.process = None;
                instance.phase = Phase::Down {
                    start_at: (!instance.is_leaving).then_some(now + START_TIME),
                };
            }
            _ => {}
        }
        self.follow_members(idx);
        self.take_late_repeats(idx);
        if let Some(process) = &mut self.instances[idx].process {
            process.pulse.beat(base + now);
        }
    }

    fn follow_members(&mut self, idx: usize) {
        let instance = &mut self.instances[idx];
        if instance.process.is_none() {
            return;
        }
        let is_stopping = matches!(instance.phase, Phase::Stopping { .. });
        if instance.cut_until > self.now || instance.read_at > self.now {
            return;
        }
        instance.read_at = self.now + instance.read_interval;
        let is_new = self.rows.get(&idx) != Some(&instance.incarnation);
        if is_new && !is_stopping {
            self.rows.insert(idx, instance.incarnation);
            self.version += 1;
        }
        let is_changed = instance.seen_version != self.version;
        instance.seen_version = self.version;
        let is_listed = self.rows.get(&idx) == Some(&instance.incarnation);
        let mut process = instance.process.take();
        if let Some(process) = &mut process {
            let names = self.rows.keys().map(|it| &self.instances[*it].name);
            process.read_members(names, is_changed, is_listed, self.base + self.now);
        }
        self.instances[idx].process = process;
    }

    fn take_late_repeats(&mut self, idx: usize) {
        let now = self.now;
        let late = self.instances[idx].late.extract_if(.., |it| *it <= now);
        let due = late.count();
        for _ in 0..due {
            self.repeat(idx);
        }
        let waiting = std::mem::take(&mut self.instances[idx].waiting);
        for _ in 0..waiting {
            self.serve(idx);
        }
    }

    fn send_requests(&mut self) {
        let factor = if self.burst.1 > self.now {
            self.burst.0
        } else {
            1.0
        };
        self.due += self.rate * factor * STEP.as_secs_f64();
        let now = self.now;
        let takes_clients = |it: &Instance| match it.phase {
            Phase::Serving => true,
            Phase::Stopping { since } => since + DRAIN_TIME > now,
            Phase::Down { .. } | Phase::Starting { .. } => false,
        };
        let instances = self.instances.iter().enumerate();
        let serving: Vec<usize> = instances
            .filter(|it| takes_clients(it.1))
            .map(|it| it.0)
            .collect();
        while self.due > 0.0 {
            // Exponential distances: the requests of independent clients.
            self.due -= -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
            self.requests.push(self.now);
            if serving.is_empty() {
                continue;
            }
            let idx = serving[self.rng.random_range(0..serving.len())];
            if self.instances[idx].frozen_until > self.now {
                self.instances[idx].waiting += 1;
            } else {
                self.serve(idx);
            }
        }
    }

    fn serve(&mut self, idx: usize) {
        let now = self.base + self.now;
        if let Some(process) = &mut self.instances[idx].process {
            process.record_request(now);
        }
        if !self.rng.random_bool(self.rejected) {
            return;
        }
        if self.rng.random_bool(LATE_FRACTION) {
            let at = self.now + self.jitter(1_000);
            self.instances[idx].late.push(at);
            return;
        }
        self.repeat(idx);
    }

    /// Repeats a rejected request until it is run or the budget is used up.
    fn repeat(&mut self, idx: usize) {
        let now = self.base + self.now;
        for _ in 0..REPEATS_MAX {
            let instance = &mut self.instances[idx];
            let Some(process) = &mut instance.process else {
                return;
            };
            if !process.try_take(now) {
                return;
            }
            self.repeats.push(self.now);
            if !self.rng.random_bool(self.rejected) {
                return;
            }
        }
    }
}
