//! Simulated instances that send to one upstream, with messages that take time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use forwarding::quota::Permit;
use forwarding::quota::Urgency;
use forwarding::quota::belief::Answer;
use forwarding::quota::belief::Beliefs;
use forwarding::quota::belief::Limits;
use forwarding::quota::belief::Observation;
use forwarding::quota::loan::Action;
use forwarding::quota::loan::JOIN_TIME;
use forwarding::quota::loan::Lender;
use forwarding::quota::loan::RENEWAL_INTERVAL;
use forwarding::quota::loan::Stamp;
use forwarding::quota::pool::Decision;
use forwarding::quota::pool::Pool;
use forwarding::quota::pool::Share;
use forwarding::quota::room::Ask;
use forwarding::quota::room::GrantId;
use forwarding::quota::room::Holding;
use forwarding::quota::room::Rooms;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::slots::Arrived;
use crate::slots::Slots;

/// Time after which an unanswered message counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an instance that did not answer is skipped.
const SUSPICION: Duration = Duration::from_millis(500);
/// Longest time until a change of the members is known everywhere.
const MEMBERS_DELAY: Duration = Duration::from_millis(2_000);
/// Longest time until news of a limit have spread.
const NEWS_DELAY: Duration = Duration::from_millis(400);
/// Longest time until a request that was granted is sent.
const CONNECT_TIME: Duration = Duration::from_millis(140);
/// The same for most requests to an upstream with slots, which a longer time would leave unused.
const USUAL_CONNECT_TIME: Duration = Duration::from_millis(8);
const USUAL_CONNECTS: f64 = 0.95;
/// Time after which the end of a process or a cut is noticed, as its connections end.
const CONNECTION_IDLE_TIME: Duration = Duration::from_secs(4);
/// Time that a process needs to start again.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// A fault, with the index of the instance that it affects.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Restart(usize),
    Freeze(usize, Duration),
    /// Cuts an instance off from all others; it still reaches the upstream.
    Cut(usize, Duration),
    Join,
    /// Changes of the members reach nobody.
    StoreAway(Duration),
}

/// Demand for the upstream over all instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    per_second: f64,
}

impl Load {
    pub(crate) fn per_second(per_second: f64) -> Load {
        Load { per_second }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Demand,
    /// An instance that was granted a request sends it, once it is connected to the upstream.
    Send {
        from: usize,
        process: u64,
        asked_at: Duration,
        grant: Option<Grant>,
    },
    /// A request has run.
    End(u64),
    /// A process has ended, and with it the connection of a request.
    Close(u64),
    /// The connection that a grant belonged to has ended.
    Lapse(Grant),
    Fault(Fault),
    Back(usize, u64),
    Members(usize, usize),
    Message(Message),
    Arrival {
        send: u64,
        is_told: bool,
    },
    Answer {
        to: usize,
        process: u64,
        sent_at: Duration,
        limits: (Option<f64>, Option<f64>),
        send: u64,
        is_rejected: bool,
    },
}

/// A grant at a fragile upstream: the coordinator, its process, and the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    coordinator: usize,
    process: u64,
    id: GrantId,
}

/// A request that is under way.
#[derive(Clone, Copy, Debug)]
struct Sent {
    from: usize,
    process: u64,
    sent_at: Duration,
    is_told: bool,
    grant: Option<Grant>,
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    /// Process of the receiver that the connection belongs to.
    process: u64,
    body: Body,
}

#[derive(Clone, Debug)]
enum Body {
    /// Also tells how many requests the sender has in flight without a grant of the receiver.
    Lend(Option<Stamp>, Share, u32),
    Lent(Stamp),
    Recall,
    Recalled,
    /// Asks for a permit at this time, and tells what the sender knows of the limit.
    Ask(Duration, Option<Observation>),
    Decided(Duration, Decision, Option<GrantId>),
    Release(GrantId),
    /// Tells of a rejection, and releases its grant after that.
    Rejected(Option<GrantId>),
    News(Observation),
}

struct Instance {
    name: id::Instance,
    process: u64,
    started: Duration,
    is_up: bool,
    frozen_until: Duration,
    cut_until: Duration,
    members: usize,
    pool: Pool,
    rooms: Rooms,
    lender: Lender,
    beliefs: Beliefs,
    /// Unanswered message to each instance, by when it counts as lost.
    waiting: BTreeMap<usize, Duration>,
    suspected_until: BTreeMap<usize, Duration>,
    denied_until: Duration,
}

impl Instance {
    fn holding(&self) -> Holding {
        Holding {
            held: self.pool.held(),
            lenders: self.pool.lender_count(),
        }
    }

    /// Decides, as the coordinator, on a request.
    fn decide(
        &mut self,
        upstream: &id::Incarnation,
        slots: u32,
        now: Instant,
    ) -> (Decision, Option<GrantId>) {
        let urgency = Urgency::Priority(0);
        let ask = Ask {
            upstream,
            slots,
            urgency,
        };
        if !self.pool.wait(upstream, urgency, now).is_zero() {
            return (self.pool.decide(upstream, urgency, now), None);
        }
        let holding = self.holding();
        match self.rooms.decide(ask, holding, now) {
            Ok(grant) => (self.pool.decide(upstream, urgency, now), grant),
            Err(wait) => (Decision::Denied(wait), None),
        }
    }
}

/// The simulation.
pub(crate) struct World {
    start: Instant,
    now: Duration,
    rng: SmallRng,
    load: Load,
    upstream: id::Incarnation,
    zone: id::Zone,
    rate: Option<f64>,
    /// Rejections a second that the upstream bears.
    bearable: Option<f64>,
    slots: Option<Slots>,
    sent: BTreeMap<u64, Sent>,
    instances: Vec<Instance>,
    /// Number of instances that have joined; changes of it reach the instances late.
    store_away_until: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: BTreeMap<u64, Event>,
    last_event: u64,
    arrivals: Vec<(Duration, bool)>,
    denied: usize,
    last_fault_end: Duration,
    /// When an answer first showed that there is no limit any more.
    ended_at: Option<Duration>,
}

impl World {
    pub(crate) fn new(instances: usize, seed: u64, load: Load) -> World {
        let mut world = World {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            load,
            upstream: "up@1".parse().expect("an incarnation"),
            zone: "z".parse().expect("a zone"),
            rate: None,
            bearable: None,
            slots: None,
            sent: BTreeMap::new(),
            instances: Vec::new(),
            store_away_until: Duration::ZERO,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            last_event: 0,
            arrivals: Vec::new(),
            denied: 0,
            last_fault_end: Duration::ZERO,
            ended_at: None,
        };
        for idx in 0..instances {
            world.add_instance(instances);
            // These have been members for long.
            world.instances[idx].started = Duration::ZERO;
        }
        world.push(Duration::ZERO, Event::Demand);
        world
    }

    /// Changes the limit that the upstream announces.
    pub(crate) fn announce(&mut self, rate: Option<f64>) {
        self.rate = rate;
        self.ended_at = None;
    }

    /// Gives the upstream slots and a queue.
    pub(crate) fn set_slots(&mut self, slots: Slots) {
        self.slots = Some(slots);
    }

    /// Changes the rejections that the upstream announces to bear.
    pub(crate) fn announce_fragile(&mut self, bearable: Option<f64>) {
        self.bearable = bearable;
        self.ended_at = None;
    }

    /// The upstream's slots.
    ///
    /// # Panics
    ///
    /// Panics if it has none.
    pub(crate) fn slots(&mut self) -> &mut Slots {
        self.slots.as_mut().expect("slots")
    }

    pub(crate) fn schedule(&mut self, at: Duration, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Runs until an answer shows that the limit has ended; returns when it arrived.
    pub(crate) fn run_until_ended(&mut self) -> Duration {
        loop {
            if let Some(at) = self.ended_at {
                return at;
            }
            self.run_until(self.now + Duration::from_millis(10));
        }
    }

    /// Arrivals from instances that knew of the limit when they sent.
    pub(crate) fn arrivals_of_told(&self) -> impl Iterator<Item = Duration> {
        self.arrivals.iter().filter(|it| it.1).map(|it| it.0)
    }

    /// Number of requests that were denied so far.
    pub(crate) fn denied(&self) -> usize {
        self.denied
    }

    /// When the last fault was over.
    pub(crate) fn last_fault_end(&self) -> Duration {
        self.last_fault_end
    }

    fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event)));
        self.bodies.insert(self.last_event, event);
    }

    fn add_instance(&mut self, members: usize) {
        let idx = self.instances.len();
        let name: id::Instance = format!("n{idx}").parse().expect("a name");
        self.instances.push(Instance {
            pool: Pool::new(name.clone()),
            rooms: Rooms::default(),
            name,
            process: self.rng.random(),
            started: self.now,
            is_up: true,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            members,
            lender: Lender::default(),
            beliefs: Beliefs::default(),
            waiting: BTreeMap::new(),
            suspected_until: BTreeMap::new(),
            denied_until: Duration::ZERO,
        });
        let at = self.now + self.millis(700);
        self.push(at, Event::Tick(idx));
    }

    fn connect_time(&mut self) -> Duration {
        let is_usual = self.slots.is_some() && self.rng.random_bool(USUAL_CONNECTS);
        let longest = if is_usual {
            USUAL_CONNECT_TIME
        } else {
            CONNECT_TIME
        };
        self.millis(longest.as_millis() as u64)
    }

    fn millis(&mut self, below: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..below))
    }

    fn handle(&mut self, event: Event) {
        let receiver = match &event {
            Event::Tick(idx) | Event::Members(idx, _) => Some(*idx),
            Event::Send { from, .. } => Some(*from),
            Event::Message(message) => Some(message.to),
            Event::Answer { to, .. } => Some(*to),
            _ => None,
        };
        // A frozen process handles what has arrived once it wakes.
        if let Some(until) = receiver.map(|it| self.instances[it].frozen_until)
            && until > self.now
        {
            return self.push(until, event);
        }
        match event {
            Event::Tick(idx) => self.tick(idx),
            Event::Demand => self.demand(),
            Event::Send {
                from,
                process,
                asked_at,
                grant,
            } => {
                let instance = &self.instances[from];
                if instance.is_up && instance.process == process {
                    self.send_request(from, asked_at, grant);
                } else if let Some(grant) = grant {
                    self.push(self.now + CONNECTION_IDLE_TIME, Event::Lapse(grant));
                }
            }
            Event::End(send) => self.end_request(send),
            Event::Close(send) => {
                let next = self.slots.as_mut().and_then(|it| it.end(send));
                self.run_request(next);
            }
            Event::Lapse(grant) => self.release(grant),
            Event::Fault(fault) => self.apply(fault),
            Event::Back(idx, process) => self.start(idx, process),
            Event::Members(idx, members) => {
                if self.store_away_until > self.now {
                    let at = self.store_away_until + self.millis(500);
                    return self.push(at, Event::Members(idx, members));
                }
                let instance = &mut self.instances[idx];
                instance.members = instance.members.max(members);
            }
            Event::Message(message) => self.receive(message),
            Event::Arrival { send, is_told } => {
                self.arrivals.push((self.now, is_told));
                match self.slots.is_some() {
                    true => self.arrive(send),
                    false => self.answer_after(Duration::from_millis(20), send, false),
                }
            }
            Event::Answer {
                to,
                process,
                sent_at,
                limits,
                send,
                is_rejected,
            } => {
                let instance = &self.instances[to];
                if instance.is_up && instance.process == process {
                    self.finish(send, is_rejected);
                    self.answer(to, sent_at, limits);
                }
            }
        }
    }

    fn apply(&mut self, fault: Fault) {
        let count = self.instances.len();
        let end = match fault {
            Fault::Restart(idx) => {
                let idx = idx % count;
                self.instances[idx].is_up = false;
                self.close_requests(idx);
                let process = self.rng.random();
                self.push(self.now + RESTART_TIME, Event::Back(idx, process));
                self.now + RESTART_TIME
            }
            Fault::Freeze(idx, time) => {
                let end = self.now + time;
                self.instances[idx % count].frozen_until = end;
                end
            }
            Fault::Cut(idx, time) => {
                let end = self.now + time;
                self.instances[idx % count].cut_until = end;
                end
            }
            Fault::Join => {
                self.add_instance(count + 1);
                // It reads what the others know soon after its start.
                let source = self.rng.random_range(0..count);
                self.pass_news(source, count);
                for idx in 0..count {
                    let at = self.now + self.millis(MEMBERS_DELAY.as_millis() as u64);
                    self.push(at, Event::Members(idx, count + 1));
                }
                self.now + MEMBERS_DELAY
            }
            Fault::StoreAway(time) => {
                self.store_away_until = self.now + time;
                self.now + time + MEMBERS_DELAY
            }
        };
        self.last_fault_end = self.last_fault_end.max(end);
    }

    fn start(&mut self, idx: usize, process: u64) {
        self.close_requests(idx);
        let (now, instance) = (self.now, &mut self.instances[idx]);
        instance.is_up = true;
        instance.process = process;
        instance.started = now;
        instance.pool = Pool::new(instance.name.clone());
        instance.rooms = Rooms::default();
        instance.lender = Lender::default();
        instance.beliefs = Beliefs::default();
        instance.waiting.clear();
        instance.suspected_until.clear();
        instance.denied_until = Duration::ZERO;
        // It reads what the others know soon after its start.
        let others = self.instances.len();
        let source = self.rng.random_range(0..others);
        self.pass_news(source, idx);
        self.push(now + Duration::from_millis(50), Event::Tick(idx));
    }

    /// Whether a message between two instances arrives.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        let is_cut = |idx: usize| self.instances[idx].cut_until > self.now;
        from == to || (!is_cut(from) && !is_cut(to) && self.instances[to].is_up)
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if !self.is_connected(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(700..4_000));
        let message = Message {
            from,
            to,
            process: self.instances[to].process,
            body,
        };
        self.push(self.now + delay, Event::Message(message));
    }

    fn coordinator(&self, idx: usize) -> usize {
        let instance = &self.instances[idx];
        let members = instance.members.min(self.instances.len());
        let is_suspected = |it: &usize| {
            let until = instance.suspected_until.get(it);
            until.is_some_and(|it| *it > self.now)
        };
        let mut order = 0..members;
        order.find(|it| !is_suspected(it)).unwrap_or(idx)
    }

    /// Counts messages without an answer as lost.
    fn check_timeouts(&mut self, idx: usize) {
        let now = self.now;
        let instance = &mut self.instances[idx];
        let lost: Vec<usize> = instance
            .waiting
            .iter()
            .filter(|it| *it.1 <= now)
            .map(|it| *it.0)
            .collect();
        for peer in lost {
            instance.waiting.remove(&peer);
            instance.suspected_until.insert(peer, now + SUSPICION);
        }
    }

    fn expect_answer(&mut self, idx: usize, peer: usize) {
        let deadline = self.now + ANSWER_TIMEOUT;
        if peer != idx {
            self.instances[idx].waiting.entry(peer).or_insert(deadline);
        }
    }

    fn tick(&mut self, idx: usize) {
        if !self.instances[idx].is_up {
            return;
        }
        self.check_timeouts(idx);
        if self.instances[idx].beliefs.limits(&self.upstream).is_any() {
            self.lend(idx);
        }
        let at = self.now + RENEWAL_INTERVAL;
        self.push(at, Event::Tick(idx));
    }

    fn lend(&mut self, idx: usize) {
        let coordinator = self.coordinator(idx);
        let name = self.instances[coordinator].name.clone();
        let now = self.instant(self.now);
        let is_member = self.now >= self.instances[idx].started + JOIN_TIME
            || self.instances[idx].started.is_zero();
        if !is_member {
            return;
        }
        let instance = &mut self.instances[idx];
        let share = Share::of(instance.members);
        let action = instance.lender.next(&name, now);
        match action {
            Action::Lend(stamp) => {
                self.expect_answer(idx, coordinator);
                let foreign = self.not_granted_by(idx, coordinator);
                self.send(idx, coordinator, Body::Lend(stamp, share, foreign));
            }
            Action::Recall(holder) => {
                let holder = self.index(&holder);
                self.send(idx, holder, Body::Recall);
            }
        }
    }

    fn index(&self, name: &id::Instance) -> usize {
        let found = self.instances.iter().position(|it| it.name == *name);
        found.expect("a known instance")
    }

    fn receive(&mut self, message: Message) {
        let Message {
            from,
            to,
            process,
            body,
        } = message;
        let instance = &self.instances[to];
        if !instance.is_up || instance.process != process {
            return;
        }
        let now = self.instant(self.now);
        let epoch = self.instant(instance.started);
        let sender = self.instances[from].name.clone();
        let upstream = self.upstream.clone();
        self.update_pool(to);
        let elapsed = self.now.saturating_sub(self.instances[to].started);
        let slots = self.slots.as_ref().map_or(0, |it| it.count);
        let instance = &mut self.instances[to];
        match body {
            Body::Lend(stamp, share, foreign) => {
                let foreign = [(upstream, foreign)];
                instance.rooms.record_in_flight(&sender, &foreign, now);
                let end = stamp.and_then(|it| it.loan_end(instance.process, epoch));
                if let Some(end) = end {
                    instance.pool.accept(&sender, share, end, now);
                }
                self.check_single_loan(&sender);
                let stamp = Stamp {
                    process: self.instances[to].process,
                    issued: elapsed,
                };
                self.send(to, from, Body::Lent(stamp));
            }
            Body::Lent(stamp) => {
                instance.waiting.remove(&from);
                instance.suspected_until.remove(&from);
                let is_first = instance.lender.next(&sender, now) == Action::Lend(None);
                instance.lender.record_stamp(&sender, stamp, now);
                if is_first {
                    self.lend(to);
                }
            }
            Body::Recall => {
                instance.pool.end_loan(&sender, now);
                self.send(to, from, Body::Recalled);
            }
            Body::Recalled => {
                instance.lender.record_recall(&sender);
                self.lend(to);
            }
            Body::Ask(asked_at, known) => {
                if known.is_some_and(|it| instance.beliefs.merge(&it, now)) {
                    self.update_pool(to);
                }
                let instance = &mut self.instances[to];
                let (decision, grant) = instance.decide(&upstream, slots, now);
                let body = Body::Decided(asked_at, decision, grant);
                match grant.filter(|_| !self.is_connected(to, from)) {
                    Some(grant) => {
                        let grant = self.grant(to, grant);
                        self.push(self.now + ANSWER_TIMEOUT, Event::Lapse(grant));
                    }
                    None => self.send(to, from, body),
                }
            }
            Body::Release(grant) => instance.rooms.release(&upstream, grant, now),
            Body::Rejected(grant) => {
                let holding = instance.holding();
                let rooms = &mut instance.rooms;
                rooms.record_rejection(&upstream, slots, holding, now);
                if let Some(grant) = grant {
                    rooms.release(&upstream, grant, now);
                }
            }
            Body::Decided(asked_at, decision, grant) => {
                let grant = grant.map(|it| self.grant(from, it));
                let instance = &mut self.instances[to];
                instance.waiting.remove(&from);
                match decision {
                    Decision::Granted => {
                        let connect_time = self.connect_time();
                        let send = Event::Send {
                            from: to,
                            process,
                            asked_at,
                            grant,
                        };
                        self.push(self.now + connect_time, send);
                    }
                    Decision::Denied(wait) => {
                        instance.denied_until = self.now + wait;
                        self.denied += 1;
                    }
                }
            }
            Body::News(news) => {
                if instance.beliefs.merge(&news, now) {
                    self.lend(to);
                }
            }
        }
    }

    /// Checks that a share is lent to one coordinator at a time.
    fn check_single_loan(&self, lender: &id::Instance) {
        let now = self.instant(self.now);
        let running = self.instances.iter().filter(|it| it.is_up);
        let holders = running.filter(|it| it.pool.holds_loan(lender, now));
        assert!(holders.count() <= 1, "the share of {lender} is lent twice");
    }

    /// Applies what an instance knows of the limit to its pool.
    fn update_pool(&mut self, idx: usize) {
        let now = self.instant(self.now);
        let instance = &mut self.instances[idx];
        instance
            .pool
            .set_limits(instance.beliefs.limited_in(&self.zone), now);
        let fragile = instance.beliefs.fragile_in(&self.zone);
        instance.rooms.set_limits(fragile);
    }

    fn demand(&mut self) {
        // Clients are spread unevenly.
        let spread: f64 = self.rng.random();
        let idx = (spread * spread * self.instances.len() as f64) as usize;
        self.request(idx);
        let pause = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.load.per_second;
        self.push(self.now + Duration::from_secs_f64(pause), Event::Demand);
    }

    fn request(&mut self, idx: usize) {
        let instance = &self.instances[idx];
        if !instance.is_up || instance.frozen_until > self.now {
            return;
        }
        self.check_timeouts(idx);
        if !self.instances[idx].beliefs.limits(&self.upstream).is_any() {
            return self.send_request(idx, self.now, None);
        }
        if self.instances[idx].denied_until > self.now {
            return;
        }
        let coordinator = self.coordinator(idx);
        self.expect_answer(idx, coordinator);
        let known = &self.instances[idx].beliefs;
        let known = known.observation(&self.upstream, self.instant(self.now));
        self.send(idx, coordinator, Body::Ask(self.now, known));
    }

    fn send_request(&mut self, idx: usize, asked_at: Duration, grant: Option<Grant>) {
        if !Permit::granted(self.instant(asked_at)).is_valid(self.instant(self.now)) {
            if let Some(grant) = grant {
                self.tell_release(idx, grant, false);
            }
            return;
        }
        let is_told = self.instances[idx].beliefs.limits(&self.upstream).is_any();
        let delay = Duration::from_micros(self.rng.random_range(700..6_000));
        self.last_event += 1;
        let send = self.last_event;
        let sent = Sent {
            from: idx,
            process: self.instances[idx].process,
            sent_at: self.now,
            is_told,
            grant,
        };
        self.sent.insert(send, sent);
        self.push(self.now + delay, Event::Arrival { send, is_told });
    }

    fn grant(&self, coordinator: usize, id: GrantId) -> Grant {
        Grant {
            coordinator,
            process: self.instances[coordinator].process,
            id,
        }
    }

    /// Requests that an instance has in flight without a grant of this coordinator.
    fn not_granted_by(&self, idx: usize, coordinator: usize) -> u32 {
        let process = self.instances[coordinator].process;
        let own = self.sent.values().filter(|it| it.from == idx);
        let others = own.filter(|it| it.grant.is_none_or(|it| it.process != process));
        others.count() as u32
    }

    /// A request reaches the upstream's slots.
    fn arrive(&mut self, send: u64) {
        // The process that sent it has ended meanwhile.
        let Some(sent) = self.sent.get(&send).copied() else {
            return;
        };
        let now = self.now;
        match self.slots().arrive(send) {
            Arrived::Runs => self.run_request(Some(send)),
            Arrived::Waits => {}
            Arrived::Rejected => {
                self.slots().rejections.push((now, sent.is_told));
                self.answer_after(Duration::ZERO, send, true);
            }
        }
    }

    fn run_request(&mut self, send: Option<u64>) {
        if let Some(send) = send {
            let at = self.now + self.slots().service_time;
            self.push(at, Event::End(send));
        }
    }

    fn end_request(&mut self, send: u64) {
        if !self.slots().is_running(send) {
            return;
        }
        let now = self.now;
        self.slots().served.push(now);
        let next = self.slots().end(send);
        self.run_request(next);
        self.answer_after(Duration::ZERO, send, false);
    }

    fn answer_after(&mut self, time: Duration, send: u64, is_rejected: bool) {
        let Some(sent) = self.sent.get(&send).copied() else {
            return;
        };
        let delay = match self.slots {
            Some(_) => self.millis(6),
            None => self.millis(30),
        };
        let answer = Event::Answer {
            to: sent.from,
            process: sent.process,
            sent_at: sent.sent_at,
            limits: (self.rate, self.bearable),
            send,
            is_rejected,
        };
        self.push(self.now + time + delay, answer);
    }

    /// Ends a request at its sender.
    fn finish(&mut self, send: u64, is_rejected: bool) {
        let Some(sent) = self.sent.remove(&send) else {
            return;
        };
        match sent.grant {
            Some(grant) => self.tell_release(sent.from, grant, is_rejected),
            None if is_rejected && sent.is_told => {
                let coordinator = self.coordinator(sent.from);
                self.send(sent.from, coordinator, Body::Rejected(None));
            }
            None => {}
        }
    }

    fn tell_release(&mut self, from: usize, grant: Grant, is_rejected: bool) {
        if self.instances[grant.coordinator].process != grant.process {
            return;
        }
        if !self.is_connected(from, grant.coordinator) {
            return self.push(self.now + CONNECTION_IDLE_TIME, Event::Lapse(grant));
        }
        let body = match is_rejected {
            true => Body::Rejected(Some(grant.id)),
            false => Body::Release(grant.id),
        };
        self.send(from, grant.coordinator, body);
    }

    fn release(&mut self, grant: Grant) {
        let now = self.instant(self.now);
        let instance = &mut self.instances[grant.coordinator];
        if instance.process == grant.process {
            instance.rooms.release(&self.upstream, grant.id, now);
        }
    }

    /// Closes the connections of a process that has ended.
    fn close_requests(&mut self, idx: usize) {
        let own = self.sent.iter().filter(|it| it.1.from == idx);
        let own: Vec<(u64, Option<Grant>)> = own.map(|it| (*it.0, it.1.grant)).collect();
        for (send, grant) in own {
            self.sent.remove(&send);
            let at = self.now + self.millis(6);
            self.push(at, Event::Close(send));
            if let Some(grant) = grant {
                self.push(self.now + CONNECTION_IDLE_TIME, Event::Lapse(grant));
            }
        }
    }

    fn answer(&mut self, idx: usize, sent_at: Duration, limits: (Option<f64>, Option<f64>)) {
        if limits == (None, None) {
            self.ended_at.get_or_insert(self.now);
        }
        let parse = |it: Option<f64>| it.map(|it| it.to_string().parse::<Rate>().expect("a rate"));
        let answer = Answer {
            limits: Limits {
                requests: parse(limits.0),
                rejections: parse(limits.1),
            },
            sent_at: self.instant(sent_at),
            id: self.rng.random(),
        };
        let now = self.instant(self.now);
        let beliefs = &mut self.instances[idx].beliefs;
        if !beliefs.record_answer(&self.upstream, &self.zone, answer, now) {
            return;
        }
        for other in 0..self.instances.len() {
            if other != idx {
                self.pass_news(idx, other);
            }
        }
        self.lend(idx);
    }

    fn pass_news(&mut self, from: usize, to: usize) {
        let now = self.instant(self.now);
        if !self.is_connected(from, to) {
            return;
        }
        for news in self.instances[from].beliefs.observations(now) {
            let delay = self.millis(NEWS_DELAY.as_millis() as u64);
            let message = Message {
                from,
                to,
                process: self.instances[to].process,
                body: Body::News(Observation {
                    age: news.age + delay,
                    ..news
                }),
            };
            self.push(self.now + delay, Event::Message(message));
        }
    }
}
