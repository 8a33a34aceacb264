//! Simulation of 1 to 350 instances that divide the cold limit of an upstream while they stop, are
//! killed, start again and join.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use forwarding::cold::Delays;
use forwarding::cold::Listing;
use forwarding::cold::RateLimit;
use forwarding::cold::Roster;
use forwarding::cold::SendWindow;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

/// Largest deployment that the users plan, in instances.
const MEMBERS_MAX: usize = 350;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 120;
/// Steps after which every process has started and is known.
const SETTLED_STEP: u64 = 45;
const DELAYS: Delays = Delays {
    propagation: Duration::from_secs(2),
    stop_grace: Duration::from_secs(3),
};

/// What happens to instances.
#[derive(Clone, Debug)]
enum Event {
    /// One stops, sends until its grace is over, and starts again.
    Stop(usize),
    /// Some stop, one after the other, with this many steps between them.
    Roll(u64),
    /// One of each so many is killed, and starts again after so many steps. Those that others do not
    /// know of yet are left out: the next process cannot tell how long the row has been there.
    Kill(usize, u64),
    /// Instances with new names join.
    Join(usize),
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        3 => any::<usize>().prop_map(Event::Stop),
        2 => (1_u64..12).prop_map(Event::Roll),
        2 => (1_usize..4, 0_u64..8).prop_map(|it| Event::Kill(it.0, it.1)),
        1 => (1_usize..4).prop_map(Event::Join),
    ];
    vec((SETTLED_STEP..STEPS, event), 0..8)
}

fn sizes() -> impl Strategy<Value = usize> {
    prop_oneof![24 => 1_usize..24, 2 => 24_usize..100, 1 => Just(MEMBERS_MAX)]
}

struct Process {
    roster: Roster,
    window: SendWindow,
    /// Time until it knows of a change of the members.
    delay: Duration,
    /// When it ends, once it stops.
    ends_at: Option<u64>,
}

#[derive(Default)]
struct World {
    /// Whether there is a row of each instance.
    rows: BTreeMap<id::Instance, bool>,
    /// Rows at each step.
    history: Vec<Vec<id::Instance>>,
    processes: BTreeMap<id::Instance, Process>,
    /// Steps at which instances start.
    starts: Vec<(u64, id::Instance)>,
    /// Steps at which instances stop.
    stops: Vec<(u64, id::Instance)>,
    delays: Vec<u64>,
    draws: usize,
}

impl World {
    fn delay(&mut self) -> Duration {
        self.draws += 1;
        let drawn = self.delays[self.draws % self.delays.len()];
        // One step less, since rows are looked at once a step.
        Duration::from_millis(drawn).min(DELAYS.propagation - STEP)
    }

    fn start(&mut self, name: id::Instance, now: Instant) {
        let mut roster = Roster::new(&name, DELAYS, now);
        let own = match self.rows.get(&name) {
            Some(true) => Listing::Earlier,
            _ => Listing::Absent,
        };
        roster.set_members(&self.listed(), own, now);
        self.rows.insert(name.clone(), true);
        let process = Process {
            roster,
            window: SendWindow::default(),
            delay: self.delay(),
            ends_at: None,
        };
        self.processes.insert(name, process);
    }

    fn listed(&self) -> Vec<id::Instance> {
        let rows = self.rows.iter().filter(|it| *it.1);
        rows.map(|it| it.0.clone()).collect()
    }

    fn stop(&mut self, name: &id::Instance, step: u64) {
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        let grace = DELAYS.stop_grace.as_millis() / STEP.as_millis();
        process.ends_at.get_or_insert(step + grace as u64);
        self.rows.insert(name.clone(), false);
    }

    fn play(&mut self, event: &Event, step: u64, now: Instant) {
        let names: Vec<id::Instance> = self.processes.keys().cloned().collect();
        match event {
            Event::Stop(idx) if !names.is_empty() => self.stop(&names[idx % names.len()], step),
            Event::Stop(_) => {}
            Event::Roll(gap) => {
                let stops = names.into_iter().zip(0..);
                self.stops
                    .extend(stops.map(|(name, idx)| (step + gap * idx, name)));
            }
            Event::Kill(each, after) => {
                let is_known = |it: &id::Instance| self.processes[it].roster.is_known(now);
                let names: Vec<id::Instance> = names.into_iter().filter(is_known).collect();
                for name in names.into_iter().step_by(*each) {
                    self.processes.remove(&name);
                    self.starts.push((step + after, name));
                }
            }
            Event::Join(count) => {
                let first = self.rows.len();
                let names = (first..first + count).map(instance);
                self.starts.extend(names.map(|it| (step, it)));
            }
        }
    }

    /// Ends and starts what is due, and lets each process send as much as it may; returns the number
    /// of requests.
    fn run(&mut self, step: u64, now: Instant, limit: RateLimit) -> usize {
        let is_due = |it: &mut (u64, id::Instance)| it.0 <= step;
        let stops: Vec<(u64, id::Instance)> = self.stops.extract_if(.., is_due).collect();
        for (_, name) in stops {
            self.stop(&name, step);
        }
        let ended = self
            .processes
            .extract_if(.., |_, it| it.ends_at.is_some_and(|at| at <= step));
        let ended: Vec<id::Instance> = ended.map(|it| it.0).collect();
        self.starts
            .extend(ended.into_iter().map(|it| (step + 1, it)));
        let starts: Vec<(u64, id::Instance)> = self.starts.extract_if(.., is_due).collect();
        for (_, name) in starts {
            self.start(name, now);
        }
        self.history.push(self.listed());
        let mut sends = 0;
        for (name, process) in &mut self.processes {
            let behind = process.delay.as_millis() / STEP.as_millis();
            let seen = self.history.len().saturating_sub(1 + behind as usize);
            let listed = &self.history[seen];
            let own = match listed.contains(name) && process.ends_at.is_none() {
                true => Listing::Own,
                false => Listing::Absent,
            };
            process.roster.set_members(listed, own, now);
            let Some(share) = process.roster.share(limit, now) else {
                continue;
            };
            while process.window.allows(share, now) {
                process.window.record(now);
                sends += 1;
            }
        }
        sends
    }
}

fn instance(idx: usize) -> id::Instance {
    format!("n{idx}").parse().expect("a name")
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(44),
        cases: 48,
        ..Config::default()
    })]

    /// Guards against more requests to a cold upstream than it bears, as members that stop are no
    /// longer counted and still send, processes forget what those before them sent, and others do not
    /// know of one that has joined (FAILBACK); and against a limit of which too little is used.
    #[test]
    fn the_cold_limit_holds_over_all_members_and_lifetimes(
        members in sizes(),
        limit in 12.0_f64..400.0,
        events in events(),
        delays in vec(0_u64..4_000, 1..20),
    ) {
        let limit = RateLimit(limit);
        let start = Instant::now();
        let mut world = World { delays, ..World::default() };
        (0..members).for_each(|it| world.start(instance(it), start));
        let mut sends = Vec::new();
        for step in 0..STEPS {
            let now = start + STEP * step as u32;
            for (_, event) in events.iter().filter(|it| it.0 == step) {
                world.play(event, step, now);
            }
            sends.push(world.run(step, now, limit));
        }
        for second in sends.windows(10) {
            let count = second.iter().sum::<usize>();
            prop_assert!(count as f64 <= limit.0, "{count} of {}", limit.0);
        }
        let is_divided = members <= (limit.0 * 0.9) as usize;
        if is_divided {
            let settled = &sends[(SETTLED_STEP - 11) as usize..SETTLED_STEP as usize];
            let used = settled.iter().sum::<usize>();
            prop_assert!(used >= (limit.0 * 0.9) as usize, "{used} of {}", limit.0);
        }
    }
}
