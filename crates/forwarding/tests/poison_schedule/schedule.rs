//! Random schedules of faults.

use proptest::prelude::Strategy;
use proptest::prop_oneof;

/// Simulated length of a run.
pub(crate) const DURATION_MS: u64 = 30_000;

/// A fault; instances are given by index, modulo their number.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The instance is killed and restarts.
    Restart(usize),
    RestartAll,
    /// The instance is partitioned from the store.
    CutFromStore(usize),
    /// The instance is partitioned from all others.
    CutFromPeers(usize),
    StoreOutage,
    /// One upstream in this many crashes, at random.
    Crash(usize),
    /// Some answers of upstreams are lost.
    AnswerLoss,
}

/// A fault with its start and end, in simulated milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct TimedFault {
    pub(crate) fault: Fault,
    pub(crate) at: u64,
    pub(crate) until: u64,
}

/// Parameters of a run; times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    /// Time between two poison requests.
    pub(crate) poison_interval: u64,
    /// Whether connections to a crashed upstream time out instead of being reset.
    pub(crate) is_silent: bool,
    pub(crate) restart_delay: u64,
    pub(crate) faults: Vec<TimedFault>,
}

fn faults() -> impl Strategy<Value = Vec<TimedFault>> {
    let fault = prop_oneof![
        (0..64_usize).prop_map(Fault::Restart),
        proptest::strategy::Just(Fault::RestartAll),
        (0..64_usize).prop_map(Fault::CutFromStore),
        (0..64_usize).prop_map(Fault::CutFromPeers),
        proptest::strategy::Just(Fault::StoreOutage),
        (2..6_usize).prop_map(Fault::Crash),
        proptest::strategy::Just(Fault::AnswerLoss),
    ];
    let timed = (fault, 1_000..DURATION_MS, 500..8_000_u64);
    let timed = timed.prop_map(|(fault, at, duration)| TimedFault {
        fault,
        at,
        until: at + duration,
    });
    proptest::collection::vec(timed, 0..8)
}

pub(crate) fn schedules(is_silent: bool) -> impl Strategy<Value = Schedule> {
    let sizes = (3..24_usize, 4..16_usize, 60..2_500_u64);
    (0..u64::MAX, sizes, 300..9_000_u64, faults()).prop_map(
        move |(seed, (instances, upstreams, poison_interval), restart_delay, faults)| Schedule {
            seed,
            instances,
            upstreams,
            poison_interval,
            is_silent,
            restart_delay,
            faults,
        },
    )
}
