//! The tree by which rows spread, over 1 to 350 instances of which any may be lost.

use std::collections::BTreeSet;

use base::id;
use mirror::tree;
use mirror::tree::Role;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

/// Instances that the users plan for.
const MEMBERS_MAX: usize = 350;
/// Other instances that each one follows.
const FOLLOWED: usize = 2;
/// A step of the schedule, in milliseconds.
const STEP: u64 = 100;
/// A feed without news answers after this time.
const FEED: u64 = 700;
/// A question to another instance is answered after this time at the latest.
const ROWS_WAIT: u64 = 400;
/// One that is not answered is given up after this time; the asked instance is passed over then.
const ASK_TIMEOUT: u64 = 900;
const PASSED_OVER: u64 = 1_000;
/// Part of the time for which rows are fresh after which the next source is asked.
const FRESH_PART: f64 = 0.7;
/// Time kept for an instance that has to read the store by itself.
const READ_TIME: u64 = 700;

fn order(count: usize) -> Vec<id::Instance> {
    let names = (0..count).map(|it| format!("n{it}"));
    names.map(|it| it.parse().expect("a name")).collect()
}

/// The numbers of instances in the order of all.
fn numbers(of: &[id::Instance]) -> Vec<usize> {
    let numbers = of.iter().map(|it| it.as_str()[1..].parse());
    numbers.map(|it| it.expect("a number")).collect()
}

/// Bound of the users on a change at a size, in milliseconds.
fn bound(members: usize) -> u64 {
    match members {
        0..=16 => 2_000,
        17..=100 => 3_000,
        _ => 4_000,
    }
}

/// One instance in the schedule.
#[derive(Clone, Default)]
struct Instance {
    is_lost: bool,
    has_change: bool,
    /// When its rows were last known to be complete.
    complete: u64,
    feed_ends: u64,
    /// What it waits for, of each question: whom it asked, and until when.
    asked: [Option<(usize, u64)>; FOLLOWED],
    next: [usize; FOLLOWED],
    /// Instances that are passed over, and until when.
    silent: Vec<(usize, u64)>,
}

/// A deployment in which the store takes a change at some moment.
struct World {
    names: Vec<id::Instance>,
    /// Sources of each instance that passes nobody over, by their numbers.
    sources: Vec<Vec<usize>>,
    instances: Vec<Instance>,
    now: u64,
    is_changed: bool,
    /// Calls to the store, and questions that each instance was asked at once at most.
    calls: u64,
    questions_max: usize,
}

impl World {
    fn new(count: usize) -> World {
        let names = order(count);
        let numbers = |own| numbers(&tree::sources(names.clone(), own));
        World {
            sources: names.iter().map(numbers).collect(),
            names,
            instances: vec![Instance::default(); count],
            now: 0,
            is_changed: false,
            calls: 0,
            questions_max: 0,
        }
    }

    fn seen_by(&self, idx: usize) -> Vec<id::Instance> {
        let silent = &self.instances[idx].silent;
        let is_silent = |it: usize| {
            silent
                .iter()
                .any(|(at, until)| *at == it && *until > self.now)
        };
        let seen = (0..self.names.len()).filter(|it| !is_silent(*it));
        seen.map(|it| self.names[it].clone()).collect()
    }

    fn is_undisturbed(&self, idx: usize) -> bool {
        let silent = &self.instances[idx].silent;
        silent.iter().all(|it| it.1 <= self.now)
    }

    fn source(&self, idx: usize, next: usize) -> Option<usize> {
        if self.is_undisturbed(idx) {
            return self.sources[idx].get(next).copied();
        }
        let sources = tree::sources(self.seen_by(idx), &self.names[idx]);
        numbers(&sources).get(next).copied()
    }

    fn role(&self, idx: usize) -> Role {
        if self.is_undisturbed(idx) {
            return tree::role(&self.names, &self.names[idx]);
        }
        tree::role(&self.seen_by(idx), &self.names[idx])
    }

    fn step(&mut self) {
        self.now += STEP;
        for idx in 0..self.instances.len() {
            if self.instances[idx].is_lost {
                continue;
            }
            self.follow_store(idx);
            for question in 0..FOLLOWED {
                self.follow(idx, question);
            }
        }
        let mut questions = vec![0; self.instances.len()];
        for instance in self.instances.iter().filter(|it| !it.is_lost) {
            for (of, _) in instance.asked.iter().flatten() {
                questions[*of] += 1;
            }
        }
        let most = questions.into_iter().max().unwrap_or_default();
        self.questions_max = self.questions_max.max(most);
    }

    fn follow_store(&mut self, idx: usize) {
        let role = self.role(idx);
        let age = self.now - self.instances[idx].complete;
        let is_fresh = age < bound(self.names.len()) - READ_TIME;
        if role != Role::Reader && is_fresh {
            return;
        }
        let (now, is_changed) = (self.now, self.is_changed);
        let instance = &mut self.instances[idx];
        let has_news = is_changed && !instance.has_change;
        if now >= instance.feed_ends || has_news {
            self.calls += 1;
            instance.complete = now;
            instance.has_change = is_changed;
            instance.feed_ends = now + FEED;
        }
    }

    fn follow(&mut self, idx: usize, question: usize) {
        let now = self.now;
        let fresh = bound(self.names.len()) - READ_TIME;
        let Some((of, since)) = self.instances[idx].asked[question] else {
            let next = question + self.instances[idx].next[question];
            let Some(of) = self.source(idx, next) else {
                self.instances[idx].next[question] = 0;
                return;
            };
            self.instances[idx].asked[question] = Some((of, now));
            return;
        };
        let (is_lost, has_change, complete) = {
            let source = &self.instances[of];
            (source.is_lost, source.has_change, source.complete)
        };
        let instance = &mut self.instances[idx];
        if is_lost {
            if now >= since + ASK_TIMEOUT {
                instance.silent.push((of, now + PASSED_OVER));
                instance.asked[question] = None;
            }
            return;
        }
        let has_news = has_change && !instance.has_change;
        if has_news || now >= since + ROWS_WAIT {
            instance.has_change |= has_change;
            instance.complete = instance.complete.max(complete);
            instance.asked[question] = None;
            let is_stale = (now - complete) as f64 >= fresh as f64 * FRESH_PART;
            instance.next[question] = if is_stale {
                instance.next[question] + 1
            } else {
                0
            };
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        cases: 24,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against a change that instances miss whose sources were lost with it: a change that the
    /// store takes at any moment is known to every living instance within the users' bound.
    #[test]
    fn a_change_is_known_in_time_whoever_is_lost(
        members in 1..=MEMBERS_MAX,
        lost in vec(any::<proptest::sample::Index>(), 0..40),
        above in 0..25_usize,
        gap in 0..1_500_u64,
    ) {
        let mut world = World::new(members);
        world.run(4_000);
        // Those that the others follow, and some that anybody may be.
        let lost: BTreeSet<usize> = lost.iter().map(|it| it.index(members)).chain(0..above).collect();
        for idx in lost {
            if let Some(instance) = world.instances.get_mut(idx) {
                instance.is_lost = true;
            }
        }
        let start = world.now + gap / STEP * STEP;
        world.run(start);
        world.is_changed = true;
        world.run(start + bound(members));
        for (idx, instance) in world.instances.iter().enumerate() {
            assert!(instance.is_lost || instance.has_change, "instance {idx} of {members}");
        }
    }
}

/// Guards against calls to the store that grow with the instances, and against instances that too
/// many others ask.
#[test]
fn calls_and_questions_do_not_grow() {
    for members in [1, 2, 7, 16, 64, 65, 80, 195, MEMBERS_MAX] {
        let mut world = World::new(members);
        world.run(4_000);
        let before = world.calls;
        world.run(14_000);
        let per_second = (world.calls - before) as f64 / 10.0;
        // Four readers, each with a feed that answers every 0.7 s.
        assert!(
            per_second <= 4.0 / 0.7 + 0.5,
            "{members}: {per_second} calls a second"
        );
        let questions = world.questions_max;
        assert!(questions <= 56, "{members}: {questions} questions at once");
    }
}

/// Guards against a relay that follows instances below it, which would not hear of anything.
#[test]
fn everybody_follows_somebody_above() {
    for members in 1..=MEMBERS_MAX {
        let order = order(members);
        for own in &order {
            let role = tree::role(&order, own);
            let sources = tree::sources(order.clone(), own);
            assert_eq!(sources.len(), members - 1);
            let above = sources.iter().take(FOLLOWED.min(members - 1));
            for source in above.filter(|_| role != Role::Reader) {
                assert_ne!(tree::role(&order, source), Role::Follower, "{members}");
                assert!(role == Role::Follower || tree::role(&order, source) == Role::Reader);
            }
        }
    }
}
