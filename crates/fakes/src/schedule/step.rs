//! Steps of a schedule: faults, and the times at which they are injected.

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

/// A fault, and the time of load before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the previous step.
    pub after: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// A fault, operator action or harmful request. A `usize` is the index of an instance or upstream,
/// modulo their number; a zone is that of an instance.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Kills both processes of an instance.
    Kill(usize),
    /// Kills the gateway of an instance.
    KillGateway(usize),
    /// Kills the dispatcher of an instance.
    KillDispatcher(usize),
    /// Restarts an instance of which a process was killed.
    Restart(usize),
    /// Freezes the dispatcher of an instance.
    FreezeDispatcher(usize),
    /// Freezes the gateway of an instance.
    FreezeGateway(usize),
    /// Lets all frozen processes run again.
    Thaw,
    /// Partitions the network between the instances of a bit mask and the others.
    Partition(u8),
    /// Restores all cut links of the network.
    HealNet,
    /// The store refuses all calls.
    StoreDown,
    /// The latency of the store rises by this many milliseconds.
    StoreSlow(u64),
    /// The store applies this many transactions, but their answers are lost.
    StoreLoses(u32),
    /// The store serves stale reads.
    StoreStale,
    /// Ends the faults of the store.
    StoreUp,
    /// An upstream crashes.
    Crash(usize),
    /// An upstream turns cold without notice.
    Chill(usize),
    /// The steps of an upstream take this many times as long.
    Slow(usize, u32),
    /// An upstream cuts this many streams.
    CutStreams(usize, u32),
    /// An upstream sends this many answers with the id of another attempt.
    CrossAnswers(usize, u32),
    /// An operator drains a zone.
    Drain(usize),
    /// An operator returns a drained zone.
    Return(usize),
    /// Two operators apply a configuration at the same time, through the dispatchers of two
    /// instances.
    Race(usize, usize),
    /// Stops an instance gracefully.
    Stop(usize),
    /// Submits a poison request to the gateway of an instance.
    Poison(usize),
}

/// Exclusive upper bound of the time between two steps.
const MAX_STEP_DELAY_MS: u64 = 6000;

/// Generates a random step.
pub(super) fn generate(rng: &mut impl Rng) -> Step {
    let after = Duration::from_millis(rng.random_range(0..MAX_STEP_DELAY_MS));
    Step {
        after,
        fault: random_fault(rng),
    }
}

fn random_fault(rng: &mut impl Rng) -> Fault {
    let idx = rng.random_range(0..64usize);
    let count = rng.random_range(1..4u32);
    match rng.random_range(0..24) {
        0 => Fault::Kill(idx),
        1 => Fault::KillGateway(idx),
        2 => Fault::KillDispatcher(idx),
        3 => Fault::Restart(idx),
        4 => Fault::FreezeDispatcher(idx),
        5 => Fault::FreezeGateway(idx),
        6 => Fault::Thaw,
        7 => Fault::Partition(rng.random_range(1..63)),
        8 => Fault::HealNet,
        9 => Fault::StoreDown,
        10 => Fault::StoreSlow(rng.random_range(10..1500)),
        11 => Fault::StoreLoses(count),
        12 => Fault::StoreStale,
        13 => Fault::StoreUp,
        14 => Fault::Crash(idx),
        15 => Fault::Chill(idx),
        16 => Fault::Slow(idx, rng.random_range(2..50)),
        17 => Fault::CutStreams(idx, count),
        18 => Fault::CrossAnswers(idx, count),
        19 => Fault::Drain(idx),
        20 => Fault::Return(idx),
        21 => Fault::Race(idx, rng.random_range(0..64)),
        22 => Fault::Stop(idx),
        _ => Fault::Poison(idx),
    }
}

/// Record of the injected faults, for the checks of the invariants.
#[derive(Default)]
pub(super) struct Faults {
    /// Number of resets of upstreams to cold, which an owner notices only by an overrun.
    pub(super) cold_resets: u32,
    /// Number of submitted poison requests.
    pub(super) poison_requests: u32,
    /// Drained zones, and the times of their drains.
    pub(super) drained: Vec<(id::Zone, Instant)>,
    /// Drains that have ended: zone, start and end.
    pub(super) ended_drains: Vec<(id::Zone, Instant, Instant)>,
}

impl Faults {
    /// Injects a fault and records it.
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
            Fault::StoreDown => set_store_faults(cluster, |it| it.outage = true),
            Fault::StoreSlow(ms) => {
                set_store_faults(cluster, |it| it.added_latency = Duration::from_millis(*ms))
            }
            Fault::StoreLoses(count) => set_store_faults(cluster, |it| it.lose_answers = *count),
            Fault::StoreStale => set_store_faults(cluster, |it| it.stale_reads = true),
            Fault::StoreUp => set_store_faults(cluster, |_| {}),
            Fault::Crash(idx) => cluster.fleet.crash(upstream_name(cluster, *idx).as_str()),
            Fault::Chill(idx) => {
                self.cold_resets += 1;
                cluster
                    .fleet
                    .reset_to_cold(upstream_name(cluster, *idx).as_str());
            }
            Fault::Slow(idx, factor) => {
                set_upstream_faults(cluster, *idx, |it| it.slow_factor = *factor);
            }
            Fault::CutStreams(idx, count) => {
                set_upstream_faults(cluster, *idx, |it| it.cut_streams = *count);
            }
            Fault::CrossAnswers(idx, count) => {
                set_upstream_faults(cluster, *idx, |it| it.cross_answers = *count);
            }
            Fault::Drain(idx) => self.drain(cluster, *idx).await,
            Fault::Return(idx) => self.return_zone(cluster, *idx).await,
            Fault::Race(a, b) => apply_concurrently(cluster, at(a), at(b)).await,
            Fault::Stop(idx) => stop_if_running(cluster, at(idx)).await,
            Fault::Poison(idx) => {
                self.poison_requests += 1;
                load.submit_poison(cluster, at(idx));
            }
        }
    }

    async fn drain(&mut self, cluster: &mut Cluster, idx: usize) {
        let zone = zone_of_instance(cluster, idx);
        if self.drained.iter().any(|(it, _)| *it == zone) {
            return;
        }
        let Some(operator) = first_running_dispatcher(cluster) else {
            return;
        };
        // Not all three zones may be drained at once.
        if self.drained.len() >= 2 {
            return;
        }
        let change = wire::message::Change {
            author: "operator".to_owned(),
            token: id::Token::random(&mut cluster.rng),
            action: Action::Drain(Target::Zone(zone.clone())),
        };
        let result = cluster.send_change(operator, change.clone()).await;
        if result == Some(ChangeResult::Spreading) {
            // The operators' client also sends a drain that is not stored yet to all instances.
            send_to_all(cluster, &change).await;
        }
        if let Some(ChangeResult::Committed(_) | ChangeResult::Spreading) = result {
            self.drained.push((zone, Instant::now()));
        }
    }

    async fn return_zone(&mut self, cluster: &mut Cluster, idx: usize) {
        let zone = zone_of_instance(cluster, idx);
        let Some(operator) = first_running_dispatcher(cluster) else {
            return;
        };
        let requested_at = Instant::now();
        let action = Action::Return(Target::Zone(zone.clone()));
        // The return may have taken effect even without a reply.
        let _ = cluster.try_change(operator, action).await;
        let found = self.drained.iter().position(|(it, _)| *it == zone);
        if let Some(found) = found {
            let (zone, since) = self.drained.remove(found);
            self.ended_drains.push((zone, since, requested_at));
        }
    }

    /// Returns all drained zones.
    pub(super) async fn return_all_zones(&mut self, cluster: &mut Cluster) {
        let drained = std::mem::take(&mut self.drained);
        for (zone, since) in drained {
            self.ended_drains
                .push((zone.clone(), since, Instant::now()));
            let action = Action::Return(Target::Zone(zone));
            let _ = cluster.try_change(0, action).await;
        }
    }

    /// Ends all faults and restarts the killed processes; drained zones stay drained.
    pub(super) async fn heal(&mut self, cluster: &mut Cluster) {
        cluster.net.heal();
        set_store_faults(cluster, |_| {});
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

/// Sends a change to all running dispatchers.
async fn send_to_all(cluster: &Cluster, change: &wire::message::Change) {
    for (idx, instance) in cluster.instances.iter().enumerate() {
        if !instance.dispatcher.is_dead() && !instance.dispatcher.is_frozen() {
            cluster.send_change(idx, change.clone()).await;
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

/// Replaces the faults of the store by those that `change` sets.
fn set_store_faults(cluster: &Cluster, change: impl FnOnce(&mut platform::Faults)) {
    let mut faults = platform::Faults::default();
    change(&mut faults);
    cluster.store.set_faults(faults);
}

/// Replaces the faults of an upstream by those that `change` sets.
fn set_upstream_faults(cluster: &Cluster, idx: usize, change: impl FnOnce(&mut upstream::Faults)) {
    let mut faults = upstream::Faults::default();
    change(&mut faults);
    cluster
        .fleet
        .set_faults(upstream_name(cluster, idx).as_str(), faults);
}

fn upstream_name(cluster: &Cluster, idx: usize) -> id::Upstream {
    let names = cluster.fleet.names();
    names[idx % names.len()].clone()
}

fn zone_of_instance(cluster: &Cluster, idx: usize) -> id::Zone {
    cluster.instances[idx % cluster.instances.len()]
        .zone
        .clone()
}

/// Index of the first instance whose dispatcher is neither dead nor frozen.
fn first_running_dispatcher(cluster: &Cluster) -> Option<usize> {
    let is_running = |idx: &usize| {
        let dispatcher = &cluster.instances[*idx].dispatcher;
        !dispatcher.is_dead() && !dispatcher.is_frozen()
    };
    (0..cluster.instances.len()).find(is_running)
}

/// Applies the current configuration at two instances at the same time, so that at most one change
/// can be committed.
async fn apply_concurrently(cluster: &mut Cluster, a: usize, b: usize) {
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
        cluster.send_change(a, change(tokens.0, a)),
        cluster.send_change(b, change(tokens.1, b)),
    );
}

async fn stop_if_running(cluster: &mut Cluster, idx: usize) {
    let instance = &cluster.instances[idx];
    let is_running = |it: &crate::Process| !it.is_dead() && !it.is_frozen();
    if is_running(&instance.gateway) && is_running(&instance.dispatcher) {
        // A stop waits for its requests, which end at the latest after their deadline and the grace
        // period for late answers.
        let limit = Duration::from_secs(30);
        let _ = tokio::time::timeout(limit, cluster.stop(idx)).await;
        cluster.kill(idx);
    }
}
