//! Simulation of how rows spread over 1 to 350 instances, any of which may be lost or turned away by the
//! store.

use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use mirror::Table;
use mirror::duty::Duty;
use mirror::freshness::Freshness;
use mirror::freshness::Proof;
use mirror::search::Search;
use mirror::tree;
use mirror::tree::Role;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Largest deployment that the users plan, in instances.
const MEMBERS_MAX: usize = 350;
/// Number of searches of each instance.
const SEARCHES: usize = 2;
/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a change feed without changes returns, and after which a feed that is not answered
/// is given up.
const FEED_TIMEOUT: Duration = Duration::from_millis(700);
const FEED_SLACK: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time within which a source answers a poll, even without changes: one of the tree, another one, and
/// while the rows are outdated.
const TREE_POLL: Duration = Duration::from_millis(400);
const FOUND_POLL: Duration = Duration::from_millis(200);
const SEARCH_POLL: Duration = Duration::from_millis(100);
/// By how much later the rows of a source must have been complete for an answer at once.
const PROOF_STEP: Duration = Duration::from_millis(200);
/// Time beyond that after which a poll is given up and its source suspected.
const PEER_SLACK: Duration = Duration::from_millis(500);
const SUSPICION: Duration = Duration::from_secs(1);
/// Longest time that a message or its handling takes, one way.
const TRANSIT_MAX: Duration = Duration::from_millis(60);
/// Age of a source's rows, as a fraction of the freshness period, from which on the next source is
/// polled instead; the age for sources outside the tree that bring nothing newer.
const FRESH_FRACTION: f64 = 0.7;
const FOUND_AGE_MAX: Duration = Duration::from_millis(800);
/// Part of the propagation bound reserved for an instance that has to read the store itself.
const READ_TIME: Duration = Duration::from_millis(700);
/// Age of the rows from which on an instance takes the store to be away.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time before that by which it begins to read for itself.
const OUTAGE_RESERVE: Duration = Duration::from_millis(800);
/// How much longer a follower waits before that.
const OWN_READ_DELAY: std::ops::Range<u64> = 50..200;
const TABLES: [Table; 1] = [Table::Operators];

fn order(count: usize) -> Vec<id::Instance> {
    let names = (0..count).map(|it| format!("n{it}"));
    names.map(|it| it.parse().expect("a valid name")).collect()
}

/// The instances' indices, taken from their names.
fn indices(names: &[id::Instance]) -> Vec<usize> {
    let indices = names.iter().map(|it| it.as_str()[1..].parse());
    indices.map(|it| it.expect("an index")).collect()
}

/// The users' bound on the time within which a change reaches all of `members` instances.
fn propagation_bound(members: usize) -> Duration {
    Duration::from_secs(match members {
        0..=16 => 2,
        17..=100 => 3,
        _ => 4,
    })
}

/// Age below which the rows of an instance count as fresh.
fn fresh_age_max(members: usize) -> Duration {
    let by_bound = propagation_bound(members) - READ_TIME;
    by_bound.min(OUTAGE - OUTAGE_RESERVE)
}

/// What the store does with the calls of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Access {
    #[default]
    Served,
    Refused,
    Silent,
}

/// An answer of an instance that is on its way.
#[derive(Clone, Debug)]
struct Answer {
    arrives_at: Instant,
    /// When the rows that it brings were complete in truth.
    complete_at: Instant,
    waited: Duration,
    age: Option<Duration>,
    has_change: bool,
    readers: Vec<(id::Instance, Duration)>,
}

/// A response of the store.
#[derive(Clone, Copy, Debug)]
struct Response {
    made_at: Instant,
    arrives_at: Instant,
    /// Whether it brings the change, and whether it was made because of that.
    has_change: bool,
    is_news: bool,
}

/// A call to the store.
#[derive(Clone, Debug)]
struct Call {
    sent_at: Instant,
    wait: Duration,
    response: Option<Response>,
}

/// A poll of a source.
#[derive(Clone, Debug)]
struct Poll {
    source: usize,
    sent_at: Instant,
    arrives_at: Instant,
    ends_at: Instant,
    gives_up_at: Instant,
    /// Until when the requester's rows are known to be complete, as the source takes it.
    complete_at: Instant,
    is_fresh: bool,
    answer: Option<Answer>,
}

/// One search of an instance.
#[derive(Clone, Debug)]
struct Slot {
    search: Search,
    poll: Option<Poll>,
    resumes_at: Instant,
}

/// A simulated instance.
#[derive(Clone, Debug)]
struct Instance {
    is_lost: bool,
    access: Access,
    has_change: bool,
    /// When its rows were complete in truth.
    complete_at: Instant,
    freshness: Freshness,
    duty: Duty,
    call: Option<Call>,
    calls_at: Instant,
    own_read_delay: Duration,
    slots: Vec<Slot>,
    /// Suspected instances, and until when they are left out.
    suspected: Vec<(usize, Instant)>,
}

/// A deployment in which the store takes a change at some time.
struct Simulation {
    names: Vec<id::Instance>,
    instances: Vec<Instance>,
    rng: SmallRng,
    now: Instant,
    changed_at: Option<Instant>,
    /// Number of calls to the store, and the largest number of concurrent requests to one instance.
    store_calls: u64,
    concurrent_requests_max: usize,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Simulation {
        let now = Instant::now() + Duration::from_secs(60);
        let slots = (0..SEARCHES).map(|it| Slot {
            search: Search::new(it),
            poll: None,
            resumes_at: now,
        });
        let mut freshness = Freshness::default();
        freshness.record(&TABLES, Proof::by_store(now, Duration::ZERO, now));
        let instance = Instance {
            is_lost: false,
            access: Access::Served,
            has_change: false,
            complete_at: now,
            freshness,
            duty: Duty::default(),
            call: None,
            calls_at: now,
            own_read_delay: Duration::ZERO,
            slots: slots.collect(),
            suspected: Vec::new(),
        };
        Simulation {
            names: order(count),
            instances: vec![instance; count],
            rng: SmallRng::seed_from_u64(seed),
            now,
            changed_at: None,
            store_calls: 0,
            concurrent_requests_max: 0,
        }
    }

    fn transit(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..TRANSIT_MAX)
    }

    fn order_of(&self, idx: usize) -> Vec<id::Instance> {
        let suspected = self.instances[idx].suspected.iter();
        let suspected = suspected.filter(|it| it.1 > self.now);
        let suspected: BTreeSet<usize> = suspected.map(|it| it.0).collect();
        let names = self.names.iter().enumerate();
        let present = names.filter(|(it, _)| !suspected.contains(it));
        present.map(|it| it.1.clone()).collect()
    }

    fn age(&self, idx: usize) -> Duration {
        let freshness = &self.instances[idx].freshness;
        freshness.age(&TABLES, self.now).expect("a proof")
    }

    fn is_fresh(&self, idx: usize) -> bool {
        self.age(idx) < fresh_age_max(self.names.len())
    }

    fn has_changed(&self, at: Instant) -> bool {
        self.changed_at.is_some_and(|it| it <= at)
    }

    fn tick(&mut self) {
        self.now += TICK;
        for idx in 0..self.instances.len() {
            if !self.instances[idx].is_lost {
                self.follow_store(idx);
            }
            for slot in 0..SEARCHES {
                self.follow_source(idx, slot);
            }
        }
        let mut requests = vec![0; self.instances.len()];
        for instance in self.instances.iter().filter(|it| !it.is_lost) {
            for poll in instance.slots.iter().filter_map(|it| it.poll.as_ref()) {
                requests[poll.source] += 1;
            }
        }
        let most = requests.into_iter().max().unwrap_or_default();
        self.concurrent_requests_max = self.concurrent_requests_max.max(most);
        // No instance takes its rows to be newer than they are.
        for instance in &self.instances {
            let believed_at = instance.freshness.complete_at(&TABLES);
            assert!(believed_at.is_none_or(|it| it <= instance.complete_at));
        }
    }

    /// Whether an instance reads the store, and whether because its rows are outdated.
    fn reads_store(&mut self, idx: usize) -> (bool, bool) {
        let instance = &self.instances[idx];
        let is_plain = instance.suspected.is_empty() && !instance.duty.has_begun();
        let is_below = idx >= tree::top_count(self.names.len());
        if is_plain && is_below && self.is_fresh(idx) {
            return (false, false);
        }
        let (order, own, now) = (self.order_of(idx), self.names[idx].clone(), self.now);
        let role = tree::role(&order, &own);
        if role == Role::Reader || self.instances[idx].duty.is_active(&order, &own, now) {
            return (true, false);
        }
        let delay = match role {
            Role::Follower => self.instances[idx].own_read_delay,
            Role::Reader | Role::Relay => Duration::ZERO,
        };
        let is_outdated = self.age(idx) >= fresh_age_max(self.names.len()) + delay;
        (is_outdated, is_outdated)
    }

    fn follow_store(&mut self, idx: usize) {
        let now = self.now;
        if let Some(call) = self.instances[idx].call.clone() {
            return self.await_call(idx, &call);
        }
        if now < self.instances[idx].calls_at {
            return;
        }
        let (reads, is_outdated) = self.reads_store(idx);
        if !reads {
            return;
        }
        self.store_calls += 1;
        let wait = match self.is_fresh(idx) {
            true => FEED_TIMEOUT,
            false => Duration::ZERO,
        };
        let instance = &mut self.instances[idx];
        instance.call = Some(Call {
            sent_at: now,
            wait,
            response: None,
        });
        if is_outdated && instance.access == Access::Served {
            instance.duty.begin();
        }
    }

    fn await_call(&mut self, idx: usize, call: &Call) {
        let now = self.now;
        let ends_at = call.sent_at + call.wait;
        if let Some(response) = call.response {
            if now >= response.arrives_at {
                self.end_call(idx, call, response);
            }
            return;
        }
        let is_news = self.has_changed(now) && !self.instances[idx].has_change;
        let access = self.instances[idx].access;
        if access == Access::Served && (is_news || now >= ends_at) {
            let arrives_at = now + self.transit();
            let response = Response {
                made_at: now,
                arrives_at,
                has_change: self.has_changed(now),
                is_news,
            };
            let known = self.instances[idx].call.as_mut().expect("a call");
            known.response = Some(response);
        } else if access == Access::Refused || now >= ends_at + FEED_SLACK {
            let instance = &mut self.instances[idx];
            instance.call = None;
            instance.calls_at = now + RETRY_PAUSE;
            instance.duty.end();
        }
    }

    fn end_call(&mut self, idx: usize, call: &Call, response: Response) {
        let (now, name) = (self.now, self.names[idx].clone());
        let delay = Duration::from_millis(self.rng.random_range(OWN_READ_DELAY));
        let instance = &mut self.instances[idx];
        let waited = match response.is_news || now < call.sent_at + call.wait {
            true => Duration::ZERO,
            false => call.wait,
        };
        let proof = Proof::by_store(call.sent_at, waited, now);
        instance.complete_at = response.made_at.max(instance.complete_at);
        instance.has_change |= response.has_change;
        instance.freshness.record(&TABLES, proof);
        instance.duty.record_reader(name, proof.at(), now);
        instance.call = None;
        instance.calls_at = now;
        instance.own_read_delay = delay;
    }

    fn follow_source(&mut self, idx: usize, slot: usize) {
        let Some(poll) = self.instances[idx].slots[slot].poll.clone() else {
            if !self.instances[idx].is_lost
                && self.now >= self.instances[idx].slots[slot].resumes_at
            {
                self.send_poll(idx, slot);
            }
            return;
        };
        match &poll.answer {
            None => self.answer_poll(idx, slot, &poll),
            Some(answer) if self.now >= answer.arrives_at && !self.instances[idx].is_lost => {
                self.take_answer(idx, slot, &poll, answer);
            }
            Some(_) => {}
        }
        if self.now >= poll.gives_up_at && self.instances[idx].slots[slot].poll.is_some() {
            let until = self.now + SUSPICION;
            self.instances[idx].suspected.push((poll.source, until));
            self.leave(idx, slot);
        }
    }

    fn send_poll(&mut self, idx: usize, slot: usize) {
        let (order, own, now) = (self.order_of(idx), self.names[idx].clone(), self.now);
        let is_fresh = self.is_fresh(idx);
        let complete_at = self.instances[idx].freshness.complete_at(&TABLES);
        let outdated_since = complete_at.filter(|_| !is_fresh);
        let readers = self.instances[idx].duty.sources(outdated_since, now);
        let transit = self.transit();
        let age = self.age(idx);
        let state = &mut self.instances[idx].slots[slot];
        let source = state
            .search
            .source(order, &own, &readers, is_fresh, &mut self.rng);
        let Some(source) = source else {
            state.search.restart();
            return;
        };
        let wait = match (is_fresh, state.search.is_in_tree()) {
            (false, _) => SEARCH_POLL,
            (true, true) => TREE_POLL,
            (true, false) => FOUND_POLL,
        };
        state.poll = Some(Poll {
            source: indices(&[source])[0],
            sent_at: now,
            arrives_at: now + transit,
            ends_at: now + transit + wait,
            gives_up_at: now + wait + PEER_SLACK,
            complete_at: now + transit - age,
            is_fresh,
            answer: None,
        });
    }

    fn answer_poll(&mut self, idx: usize, slot: usize, poll: &Poll) {
        let now = self.now;
        let source = &self.instances[poll.source];
        let has_news = source.has_change && !self.instances[idx].has_change;
        let proven_at = source.freshness.complete_at(&TABLES);
        let is_later = proven_at > Some(poll.complete_at + PROOF_STEP);
        let is_due = now >= poll.ends_at || self.is_fresh(poll.source) != poll.is_fresh || is_later;
        if source.is_lost || now < poll.arrives_at || !has_news && !is_due {
            return;
        }
        let readers = source.duty.readers(now).into_iter();
        let readers = readers.map(|it| (it.0, now.saturating_duration_since(it.1)));
        let answer = Answer {
            arrives_at: now,
            complete_at: source.complete_at,
            waited: now.saturating_duration_since(poll.arrives_at),
            age: source.freshness.age(&TABLES, now),
            has_change: source.has_change,
            readers: readers.collect(),
        };
        let arrives_at = now + self.transit();
        let state = &mut self.instances[idx].slots[slot];
        state.poll.as_mut().expect("a poll").answer = Some(Answer {
            arrives_at,
            ..answer
        });
    }

    fn take_answer(&mut self, idx: usize, slot: usize, poll: &Poll, answer: &Answer) {
        let now = self.now;
        let age = answer.age.expect("a proof");
        let proof = Proof::by_instance(poll.sent_at, answer.waited, age, now).expect("a proof");
        let had_proof = self.instances[idx].freshness.complete_at(&TABLES);
        let instance = &mut self.instances[idx];
        instance.has_change |= answer.has_change;
        instance.complete_at = answer.complete_at.max(instance.complete_at);
        instance.freshness.record(&TABLES, proof);
        for (name, age) in &answer.readers {
            let at = Proof::by_instance(poll.sent_at, answer.waited, *age, now);
            instance
                .duty
                .record_reader(name.clone(), at.expect("a proof").at(), now);
        }
        let age = now.saturating_duration_since(proof.at());
        let is_useful = match instance.slots[slot].search.is_in_tree() {
            true => age < fresh_age_max(self.names.len()).mul_f64(FRESH_FRACTION),
            false => age < FOUND_AGE_MAX || Some(proof.at()) > had_proof && self.is_fresh(idx),
        };
        match is_useful {
            true => self.instances[idx].slots[slot].poll = None,
            false => self.leave(idx, slot),
        }
    }

    fn leave(&mut self, idx: usize, slot: usize) {
        let now = self.now;
        let state = &mut self.instances[idx].slots[slot];
        let sent_at = state.poll.take().expect("a poll").sent_at;
        state.search.leave();
        state.resumes_at = now.max(sent_at + SEARCH_POLL);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Writes a change and checks that it is known in time at all instances that are left.
    fn check_change(&mut self) {
        self.changed_at = Some(self.now);
        for instance in &mut self.instances {
            instance.has_change = false;
        }
        let members = self.names.len();
        self.run(propagation_bound(members));
        for (idx, instance) in self.instances.iter().enumerate() {
            let is_known = instance.is_lost || instance.has_change;
            assert!(is_known, "instance {idx} of {members}");
        }
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        cases: 24,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against a change that instances miss because their sources were lost at the same
    /// time: every living instance receives a change within the users' bound.
    #[test]
    fn a_change_is_known_in_time_whoever_is_lost(
        members in 1..=MEMBERS_MAX,
        lost in vec(any::<proptest::sample::Index>(), 0..40),
        above in 0..25_usize,
        gap in 0..1_500_u64,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(members, seed);
        simulation.run(Duration::from_secs(4));
        // The instances at the top of the tree, and arbitrary others.
        let lost: BTreeSet<usize> = lost.iter().map(|it| it.index(members)).chain(0..above).collect();
        for idx in lost {
            if let Some(instance) = simulation.instances.get_mut(idx) {
                instance.is_lost = true;
            }
        }
        simulation.run(Duration::from_millis(gap));
        simulation.check_change();
    }

    /// Guards against readers that keep their role without the store, and against instances that never
    /// ask the few that have it.
    #[test]
    fn a_change_is_known_in_time_wherever_few_have_the_store(
        members in 2..=MEMBERS_MAX,
        served in vec(any::<proptest::sample::Index>(), 2..10),
        is_silent in any::<bool>(),
        gap in 0..4_000_u64,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(members, seed);
        simulation.run(Duration::from_secs(4));
        let served: BTreeSet<usize> = served.iter().map(|it| it.index(members)).collect();
        for (idx, instance) in simulation.instances.iter_mut().enumerate() {
            instance.access = match (served.contains(&idx), is_silent) {
                (true, _) => Access::Served,
                (false, true) => Access::Silent,
                (false, false) => Access::Refused,
            };
        }
        simulation.run(Duration::from_millis(gap));
        simulation.check_change();
        simulation.run(Duration::from_secs(1));
        simulation.check_change();
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        cases: 24,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against instances that take the store to be away although others reach it, and keep
    /// upstreams in use whose registrations were removed: the store turned the readers away, and
    /// all others began to read for themselves too late.
    #[test]
    fn no_instance_takes_a_store_that_serves_others_to_be_away(
        members in 8..=MEMBERS_MAX,
        refused in vec(any::<proptest::sample::Index>(), 0..40),
        above in 0..=4_usize,
        gap in 0..1_500_u64,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(members, seed);
        simulation.run(Duration::from_secs(4) + Duration::from_millis(gap));
        // The readers, and up to a third of all.
        let others = refused.iter().take(members / 3).map(|it| it.index(members));
        for idx in others.chain(0..above) {
            simulation.instances[idx].access = Access::Refused;
        }
        let until = simulation.now + Duration::from_secs(10);
        while simulation.now < until {
            simulation.tick();
            let oldest = (0..members).map(|it| simulation.age(it)).max();
            let oldest = oldest.expect("an instance");
            assert!(oldest < OUTAGE, "{oldest:?} old, of {members} instances");
        }
    }
}

/// Guards against store calls that grow with the number of instances, and against too many requests
/// to one instance.
#[test]
fn store_calls_and_requests_per_instance_are_bounded() {
    for members in [1, 2, 7, 16, 64, 65, 80, 195, MEMBERS_MAX] {
        let mut simulation = Simulation::new(members, 1);
        simulation.run(Duration::from_secs(4));
        let before = simulation.store_calls;
        simulation.run(Duration::from_secs(10));
        let per_second = (simulation.store_calls - before) as f64 / 10.0;
        // Four readers, each with a feed that returns every 0.7 s.
        assert!(
            per_second <= 4.0 / 0.7 + 0.5,
            "{members}: {per_second} store calls a second"
        );
        let requests = simulation.concurrent_requests_max;
        assert!(
            requests <= 56,
            "{members}: {requests} concurrent requests to one instance"
        );
    }
}

/// Guards against instances that all go on to read the store once those above them have lost it.
#[test]
fn store_calls_stay_bounded_once_the_readers_have_lost_the_store() {
    for members in [7, 16, 64, 87, 195, MEMBERS_MAX] {
        let mut simulation = Simulation::new(members, 1);
        simulation.run(Duration::from_secs(4));
        for instance in &mut simulation.instances[..4] {
            instance.access = Access::Refused;
        }
        simulation.run(Duration::from_secs(6));
        let before = simulation.store_calls;
        simulation.run(Duration::from_secs(10));
        let per_second = (simulation.store_calls - before) as f64 / 10.0;
        // Four readers that try twice a second, four that stand in for them, and as many again that
        // do not know of the four yet.
        let per_second_max = 4.0 / 0.5 + 8.0 / 0.7 + 0.5;
        assert!(
            per_second <= per_second_max,
            "{members}: {per_second} store calls a second"
        );
    }
}

/// Guards against a relay that follows instances below it in the tree and would not receive any
/// changes.
#[test]
fn every_instance_follows_one_above_it() {
    for members in 1..=MEMBERS_MAX {
        let order = order(members);
        for own in &order {
            let role = tree::role(&order, own);
            let sources = tree::sources(order.clone(), own);
            assert_eq!(sources.len(), members - 1);
            let above = sources.iter().take(SEARCHES.min(members - 1));
            for source in above.filter(|_| role != Role::Reader) {
                assert_ne!(tree::role(&order, source), Role::Follower, "{members}");
                assert!(role == Role::Follower || tree::role(&order, source) == Role::Reader);
            }
        }
    }
}
