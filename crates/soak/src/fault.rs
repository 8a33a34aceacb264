//! Faults of a run, generated from its seed.

use std::time::Duration;

use platform_standin::proxy;
use platform_standin::store;
use platform_standin::upstream;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use strum::IntoEnumIterator;

/// A fault that is started and, after its duration, ended. Nodes and upstreams are given by index.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Sends SIGKILL to a node; restarts it at the end.
    Kill(usize),
    /// Sends SIGTERM to a node; restarts it at the end, once it has exited.
    Terminate(usize),
    /// Sends SIGSTOP to a node, and SIGCONT at the end.
    Freeze(usize),
    /// Sets a fault of the store.
    Store(store::Mode),
    /// Compacts the store: nodes can no longer read changes since an older version. Has no end.
    Compact,
    /// Sets a fault of the connections between nodes and store.
    StorePath(proxy::Mode),
    /// The same for all nodes but one.
    OtherStorePaths(usize, proxy::Mode),
    /// Sets a fault of an upstream.
    Upstream(usize, upstream::Fault),
    /// Sets a fault of the connections to an upstream.
    UpstreamPath(usize, proxy::Mode),
    /// Registers an upstream as draining, and as ready at the end.
    Drain(usize),
    /// Writes an operator's evacuation of a zone, and deletes it at the end.
    Evacuate(&'static str),
    /// Writes a newer version of the configuration. Has no end.
    Configure,
    /// Writes a configuration with [`LARGE_ROUTES`] routes more, which later ones keep. Has no end.
    ConfigureLarge,
    /// Copies the store. Has no end.
    CopyStore,
    /// Lets the store come back from its last copy. Operators write again what it lost, or go on from
    /// the copy and give out the numbers of lost configurations again. Has no end.
    ReturnStore { operators_go_on: bool },
    /// Sends SIGKILL to all nodes; restarts them at the end.
    KillAll,
    /// Starts an engine with a software version under a new name. Has no end.
    Release(&'static str),
    /// Starts an engine again with a software version under its name. Has no end.
    Replace(&'static str),
    /// Deregisters the oldest engine, which serves on. Has no end.
    Retire,
    /// Orders a roll-out of the plain service. Has no end.
    OrderRollout { is_bad: bool },
}

impl Fault {
    /// Whether nodes cannot reach the store meanwhile.
    pub(crate) fn is_of_store(&self) -> bool {
        matches!(
            self,
            Fault::Store(_) | Fault::StorePath(_) | Fault::OtherStorePaths(..)
        )
    }
}

/// A fault with its start, relative to that of the load, and its duration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScheduledFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// Bounds of the duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(200);
pub(crate) const MAX_DURATION: Duration = Duration::from_millis(2_500);

/// Routes of a large configuration.
pub(crate) const LARGE_ROUTES: usize = 1_400;

/// Generates a large configuration and changes of it, which reach the nodes through few, in half of the
/// runs; sorted by start.
pub(crate) fn generate_changes(
    rng: &mut SmallRng,
    load_duration: Duration,
    nodes: usize,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    if rng.random_bool(0.5) {
        return faults;
    }
    let mut at = load_duration.mul_f64(rng.random_range(0.05..0.3));
    let mut add = |rng: &mut SmallRng, fault| {
        let duration = random_duration(rng);
        faults.push(ScheduledFault {
            at,
            duration,
            fault,
        });
        at += duration / 2;
    };
    add(rng, Fault::ConfigureLarge);
    let served = rng.random_range(0..nodes);
    let mode = random_variant(rng);
    add(rng, Fault::OtherStorePaths(served, mode));
    for _ in 0..rng.random_range(1..4) {
        add(rng, Fault::Configure);
    }
    faults
}

/// Generates the faults of a run, sorted by start.
pub(crate) fn generate(
    rng: &mut SmallRng,
    load_duration: Duration,
    nodes: usize,
    upstreams: usize,
) -> Vec<ScheduledFault> {
    let count = rng.random_range(4..=10);
    let mut faults: Vec<ScheduledFault> = (0..count)
        .map(|_| ScheduledFault {
            at: load_duration.mul_f64(rng.random_range(0.05..0.75)),
            duration: random_duration(rng),
            fault: random_fault(rng, nodes, upstreams),
        })
        .collect();
    faults.sort_by_key(|it| it.at);
    faults
}

/// Generates returns of the store from an older copy, in half of the runs, sorted by start.
pub(crate) fn generate_returns(rng: &mut SmallRng, load_duration: Duration) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at = load_duration.mul_f64(rng.random_range(0.05..0.5));
    while rng.random_bool(0.5) && at < load_duration {
        let operators_go_on = rng.random_bool(0.5);
        let returned = Fault::ReturnStore { operators_go_on };
        for fault in [Fault::CopyStore, Fault::Configure, returned] {
            faults.push(ScheduledFault {
                at,
                duration: Duration::ZERO,
                fault,
            });
            at += random_duration(rng);
        }
    }
    faults
}

/// A random duration of a fault.
pub(crate) fn random_duration(rng: &mut SmallRng) -> Duration {
    rng.random_range(MIN_DURATION..MAX_DURATION)
}

fn random_fault(rng: &mut SmallRng, nodes: usize, upstreams: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let upstream = rng.random_range(0..upstreams);
    match rng.random_range(0..11) {
        0 => Fault::Kill(node),
        1 => Fault::Terminate(node),
        2 => Fault::Freeze(node),
        3 => Fault::Store(random_variant(rng)),
        4 => Fault::Compact,
        5 => Fault::StorePath(random_variant(rng)),
        6 | 7 => Fault::Upstream(upstream, random_variant(rng)),
        8 => Fault::UpstreamPath(upstream, random_variant(rng)),
        9 => Fault::Drain(upstream),
        _ if rng.random_bool(0.5) => Fault::Evacuate(if rng.random_bool(0.5) { "a" } else { "b" }),
        _ => Fault::Configure,
    }
}

/// A random variant other than the first, which is the default and stands for no fault.
fn random_variant<T: IntoEnumIterator + Default>(rng: &mut SmallRng) -> T {
    T::iter().skip(1).choose(rng).unwrap_or_default()
}
