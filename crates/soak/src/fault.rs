//! The faults of a run, drawn from its seed.

use std::time::Duration;

use platform_standin::store;
use platform_standin::upstream;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use strum::IntoEnumIterator;

use crate::proxy;

/// A fault that begins, and ends after a while.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// SIGKILL, and a new start.
    Kill(usize),
    /// SIGTERM, and a new start once the process has ended.
    Terminate(usize),
    /// SIGSTOP, later SIGCONT.
    Freeze(usize),
    /// The store misbehaves.
    Store(store::Mode),
    /// The store's history is dropped.
    Compact,
    /// Connections to the store misbehave.
    StorePath(proxy::Mode),
    /// An upstream misbehaves.
    Upstream(usize, upstream::Fault),
    /// Connections to an upstream misbehave.
    UpstreamPath(usize, proxy::Mode),
    /// An upstream drains and comes back.
    Drain(usize),
    /// A zone is emptied and taken back.
    Evacuate(&'static str),
    /// A newer configuration.
    Configure,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Timed {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) fault: Fault,
}

/// Shortest and longest time of a fault.
const LASTS_MIN: Duration = Duration::from_millis(200);
pub(crate) const LASTS_MAX: Duration = Duration::from_millis(2_500);

/// Draws the faults of a run, in order of time.
pub(crate) fn draw(
    rng: &mut SmallRng,
    length: Duration,
    nodes: usize,
    upstreams: usize,
) -> Vec<Timed> {
    let count = rng.random_range(4..=10);
    let mut faults: Vec<Timed> = (0..count)
        .map(|_| Timed {
            at: length.mul_f64(rng.random_range(0.05..0.75)),
            lasts: rng.random_range(LASTS_MIN..LASTS_MAX),
            fault: one(rng, nodes, upstreams),
        })
        .collect();
    faults.sort_by_key(|it| it.at);
    faults
}

fn one(rng: &mut SmallRng, nodes: usize, upstreams: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let upstream = rng.random_range(0..upstreams);
    match rng.random_range(0..11) {
        0 => Fault::Kill(node),
        1 => Fault::Terminate(node),
        2 => Fault::Freeze(node),
        3 => Fault::Store(any(rng)),
        4 => Fault::Compact,
        5 => Fault::StorePath(any(rng)),
        6 | 7 => Fault::Upstream(upstream, any(rng)),
        8 => Fault::UpstreamPath(upstream, any(rng)),
        9 => Fault::Drain(upstream),
        _ if rng.random_bool(0.5) => Fault::Evacuate(if rng.random_bool(0.5) { "a" } else { "b" }),
        _ => Fault::Configure,
    }
}

fn any<T: IntoEnumIterator + Default>(rng: &mut SmallRng) -> T {
    T::iter().skip(1).choose(rng).unwrap_or_default()
}
