//! Faults and the moments at which they happen.

use std::time::Duration;

use base::id;
use rand::Rng;
use tokio::time::Instant;
use wire::message::Action;
use wire::message::ChangeResult;
use wire::message::Target;

use crate::cluster::Cluster;
use crate::platform;
use crate::schedule::load::Load;
use crate::upstream;

/// A fault after a time of load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the step before.
    pub after: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Faults. Numbers choose an instance, upstream or zone modulo how many there are.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Kills both processes of an instance.
    Kill(usize),
    /// Kills a gateway alone.
    KillGateway(usize),
    /// Kills a dispatcher alone.
    KillDispatcher(usize),
    /// Starts a dead instance again.
    Restart(usize),
    /// Freezes a dispatcher.
    FreezeDispatcher(usize),
    /// Freezes a gateway.
    FreezeGateway(usize),
    /// Wakes every frozen process.
    Thaw,
    /// Cuts the instances of a bit mask off from the others.
    Partition(u8),
    /// Heals the network.
    HealNet,
    /// The platform's store goes down.
    StoreDown,
    /// The store answers after this many milliseconds.
    StoreSlow(u64),
    /// The store loses the answers of this many writes.
    StoreLoses(u32),
    /// The store serves old reads.
    StoreStale,
    /// The store works again.
    StoreUp,
    /// An upstream crashes.
    Crash(usize),
    /// An upstream turns cold without warning.
    Chill(usize),
    /// An upstream becomes this many times slower.
    Slow(usize, u32),
    /// An upstream cuts this many streams.
    CutStreams(usize, u32),
    /// An upstream crosses this many answers.
    CrossAnswers(usize, u32),
    /// An operator takes a zone out.
    Drain(usize),
    /// An operator brings a zone back.
    Return(usize),
    /// Two operators apply at once.
    Race(usize, usize),
    /// A graceful stop of an instance.
    Stop(usize),
    /// A caller sends a poison request.
    Poison(usize),
}

/// Longest time between two steps, in milliseconds.
const AFTER_MAX_MS: u64 = 6000;

pub(super) fn generate(rng: &mut impl Rng) -> Step {
    let after = Duration::from_millis(rng.random_range(0..AFTER_MAX_MS));
    Step {
        after,
        fault: fault(rng),
    }
}

fn fault(rng: &mut impl Rng) -> Fault {
    let one = rng.random_range(0..64usize);
    let count = rng.random_range(1..4u32);
    match rng.random_range(0..24) {
        0 => Fault::Kill(one),
        1 => Fault::KillGateway(one),
        2 => Fault::KillDispatcher(one),
        3 => Fault::Restart(one),
        4 => Fault::FreezeDispatcher(one),
        5 => Fault::FreezeGateway(one),
        6 => Fault::Thaw,
        7 => Fault::Partition(rng.random_range(1..63)),
        8 => Fault::HealNet,
        9 => Fault::StoreDown,
        10 => Fault::StoreSlow(rng.random_range(10..1500)),
        11 => Fault::StoreLoses(count),
        12 => Fault::StoreStale,
        13 => Fault::StoreUp,
        14 => Fault::Crash(one),
        15 => Fault::Chill(one),
        16 => Fault::Slow(one, rng.random_range(2..50)),
        17 => Fault::CutStreams(one, count),
        18 => Fault::CrossAnswers(one, count),
        19 => Fault::Drain(one),
        20 => Fault::Return(one),
        21 => Fault::Race(one, rng.random_range(0..64)),
        22 => Fault::Stop(one),
        _ => Fault::Poison(one),
    }
}

/// What has been done to the cluster.
#[derive(Default)]
pub(super) struct Faults {
    /// Silent changes to cold, of which an owner can only learn by an overrun.
    pub(super) chills: u32,
    /// Poison requests.
    pub(super) poisons: u32,
    /// Zones taken out, and since when.
    pub(super) drained: Vec<(id::Zone, Instant)>,
    /// Drained times that have ended: zone, from, to.
    pub(super) past_drains: Vec<(id::Zone, Instant, Instant)>,
}

impl Faults {
    pub(super) async fn apply(&mut self, cluster: &mut Cluster, load: &mut Load, fault: &Fault) {
        let count = cluster.instances.len();
        let at = |idx: &usize| *idx % count;
        match fault {
            Fault::Kill(idx) => cluster.kill(at(idx)),
            Fault::KillGateway(idx) => cluster.instances[at(idx)].gateway.kill(),
            Fault::KillDispatcher(idx) => cluster.instances[at(idx)].dispatcher.kill(),
            Fault::Restart(idx) => restart_if_dead(cluster, at(idx)),
            Fault::FreezeDispatcher(idx) => cluster.instances[at(idx)].dispatcher.freeze(),
            Fault::FreezeGateway(idx) => cluster.instances[at(idx)].gateway.freeze(),
            Fault::Thaw => thaw(cluster),
            Fault::Partition(mask) => {
                let side: Vec<usize> = (0..count).filter(|it| mask & (1 << it) != 0).collect();
                cluster.partition(&side);
            }
            Fault::HealNet => cluster.net.heal(),
            Fault::StoreDown => set_store(cluster, |it| it.outage = true),
            Fault::StoreSlow(ms) => set_store(cluster, |it| it.slow = Duration::from_millis(*ms)),
            Fault::StoreLoses(count) => set_store(cluster, |it| it.lose_answers = *count),
            Fault::StoreStale => set_store(cluster, |it| it.stale_reads = true),
            Fault::StoreUp => set_store(cluster, |_| {}),
            Fault::Crash(idx) => cluster.fleet.crash(name(cluster, *idx).as_str()),
            Fault::Chill(idx) => {
                self.chills += 1;
                cluster.fleet.chill(name(cluster, *idx).as_str());
            }
            Fault::Slow(idx, factor) => {
                set_upstream(cluster, *idx, |it| it.slow_factor = *factor);
            }
            Fault::CutStreams(idx, count) => {
                set_upstream(cluster, *idx, |it| it.cut_streams = *count);
            }
            Fault::CrossAnswers(idx, count) => {
                set_upstream(cluster, *idx, |it| it.cross_answers = *count);
            }
            Fault::Drain(idx) => self.drain(cluster, *idx).await,
            Fault::Return(idx) => self.give_back(cluster, *idx).await,
            Fault::Race(a, b) => race(cluster, at(a), at(b)).await,
            Fault::Stop(idx) => stop(cluster, at(idx)).await,
            Fault::Poison(idx) => {
                self.poisons += 1;
                load.poison(cluster, at(idx));
            }
        }
    }

    async fn drain(&mut self, cluster: &mut Cluster, idx: usize) {
        let zone = zone(cluster, idx);
        if self.drained.iter().any(|(it, _)| *it == zone) {
            return;
        }
        let Some(operator) = reachable(cluster) else {
            return;
        };
        // All zones at once cannot be out.
        if self.drained.len() >= 2 {
            return;
        }
        let change = wire::message::Change {
            author: "operator".to_owned(),
            token: id::Token::random(&mut cluster.rng),
            action: Action::Drain(Target::Zone(zone.clone())),
        };
        let result = cluster.change_with(operator, change.clone()).await;
        if result == Some(ChangeResult::Spreading) {
            // As the operators' client does.
            tell_all(cluster, &change).await;
        }
        if let Some(ChangeResult::Committed(_) | ChangeResult::Spreading) = result {
            self.drained.push((zone, Instant::now()));
        }
    }

    async fn give_back(&mut self, cluster: &mut Cluster, idx: usize) {
        let zone = zone(cluster, idx);
        let Some(operator) = reachable(cluster) else {
            return;
        };
        let asked = Instant::now();
        let action = Action::Return(Target::Zone(zone.clone()));
        // Whatever the answer is, the return may have taken effect.
        let _ = cluster.try_change(operator, action).await;
        let found = self.drained.iter().position(|(it, _)| *it == zone);
        if let Some(found) = found {
            let (zone, since) = self.drained.remove(found);
            self.past_drains.push((zone, since, asked));
        }
    }

    /// Brings every drained zone back.
    pub(super) async fn return_all(&mut self, cluster: &mut Cluster) {
        let drained = std::mem::take(&mut self.drained);
        for (zone, since) in drained {
            self.past_drains.push((zone.clone(), since, Instant::now()));
            let action = Action::Return(Target::Zone(zone));
            let _ = cluster.try_change(0, action).await;
        }
    }

    /// Ends every fault.
    pub(super) async fn heal(&mut self, cluster: &mut Cluster) {
        cluster.net.heal();
        set_store(cluster, |_| {});
        thaw(cluster);
        for name in cluster.fleet.names() {
            let none = upstream::Faults::default();
            cluster.fleet.set_faults(name.as_str(), none);
        }
        for idx in 0..cluster.instances.len() {
            restart_if_dead(cluster, idx);
        }
    }
}

async fn tell_all(cluster: &Cluster, change: &wire::message::Change) {
    for (idx, instance) in cluster.instances.iter().enumerate() {
        if !instance.dispatcher.is_dead() && !instance.dispatcher.is_frozen() {
            cluster.change_with(idx, change.clone()).await;
        }
    }
}

fn restart_if_dead(cluster: &mut Cluster, idx: usize) {
    let instance = &cluster.instances[idx];
    if instance.gateway.is_dead() || instance.dispatcher.is_dead() {
        cluster.kill(idx);
        cluster.restart(idx);
    }
}

fn thaw(cluster: &Cluster) {
    for instance in &cluster.instances {
        instance.gateway.thaw();
        instance.dispatcher.thaw();
    }
}

fn set_store(cluster: &Cluster, change: impl FnOnce(&mut platform::Faults)) {
    let mut faults = platform::Faults::default();
    change(&mut faults);
    cluster.store.set_faults(faults);
}

fn set_upstream(cluster: &Cluster, idx: usize, change: impl FnOnce(&mut upstream::Faults)) {
    let mut faults = upstream::Faults::default();
    change(&mut faults);
    cluster
        .fleet
        .set_faults(name(cluster, idx).as_str(), faults);
}

fn name(cluster: &Cluster, idx: usize) -> id::Upstream {
    let names = cluster.fleet.names();
    names[idx % names.len()].clone()
}

fn zone(cluster: &Cluster, idx: usize) -> id::Zone {
    cluster.instances[idx % cluster.instances.len()]
        .zone
        .clone()
}

/// An instance whose dispatcher an operator can use.
fn reachable(cluster: &Cluster) -> Option<usize> {
    let is_usable = |idx: &usize| {
        let dispatcher = &cluster.instances[*idx].dispatcher;
        !dispatcher.is_dead() && !dispatcher.is_frozen()
    };
    (0..cluster.instances.len()).find(is_usable)
}

async fn race(cluster: &mut Cluster, a: usize, b: usize) {
    let document = cluster.document();
    let Some(document) = document else {
        return;
    };
    let change = |token: u64, author: usize| wire::message::Change {
        author: format!("operator-{author}"),
        token: id::Token(token),
        action: Action::Apply {
            text: document.text.clone(),
            expect: document.version,
        },
    };
    let tokens: (u64, u64) = (cluster.rng.random(), cluster.rng.random());
    tokio::join!(
        cluster.change_with(a, change(tokens.0, a)),
        cluster.change_with(b, change(tokens.1, b)),
    );
}

async fn stop(cluster: &mut Cluster, idx: usize) {
    let instance = &cluster.instances[idx];
    let is_running = |it: &crate::Process| !it.is_dead() && !it.is_frozen();
    if is_running(&instance.gateway) && is_running(&instance.dispatcher) {
        // A stop takes as long as its requests, at most their deadline and the late grace.
        let limit = Duration::from_secs(30);
        let _ = tokio::time::timeout(limit, cluster.stop(idx)).await;
        cluster.kill(idx);
    }
}
