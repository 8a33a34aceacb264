//! What disturbs a run, drawn at random.

use proptest::prelude::Strategy;
use proptest::prop_oneof;

/// Length of a run.
pub(crate) const LENGTH_MS: u64 = 30_000;

/// What goes wrong; an instance is given by its number, modulo their count.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The instance is killed and starts again.
    Restart(usize),
    RestartAll,
    /// The instance does not reach the store.
    CutFromStore(usize),
    /// The instance reaches no other one.
    CutFromPeers(usize),
    StoreAway,
    /// One upstream in this many crashes.
    Crash(usize),
    /// Upstreams lose some answers.
    AnswersLost,
}

/// A fault from one time, in milliseconds, to another.
#[derive(Clone, Debug)]
pub(crate) struct Timed {
    pub(crate) fault: Fault,
    pub(crate) at: u64,
    pub(crate) until: u64,
}

/// A run; times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) upstreams: usize,
    /// Time between two sends of the poison request.
    pub(crate) interval: u64,
    /// Crashes end in silence instead of a reset.
    pub(crate) is_silent: bool,
    pub(crate) back_after: u64,
    pub(crate) faults: Vec<Timed>,
}

fn faults() -> impl Strategy<Value = Vec<Timed>> {
    let fault = prop_oneof![
        (0..64_usize).prop_map(Fault::Restart),
        proptest::strategy::Just(Fault::RestartAll),
        (0..64_usize).prop_map(Fault::CutFromStore),
        (0..64_usize).prop_map(Fault::CutFromPeers),
        proptest::strategy::Just(Fault::StoreAway),
        (2..6_usize).prop_map(Fault::Crash),
        proptest::strategy::Just(Fault::AnswersLost),
    ];
    let timed = (fault, 1_000..LENGTH_MS, 500..8_000_u64);
    let timed = timed.prop_map(|(fault, at, lasts)| Timed {
        fault,
        at,
        until: at + lasts,
    });
    proptest::collection::vec(timed, 0..8)
}

pub(crate) fn schedules(is_silent: bool) -> impl Strategy<Value = Schedule> {
    let sizes = (3..24_usize, 4..16_usize, 60..2_500_u64);
    (0..u64::MAX, sizes, 300..9_000_u64, faults()).prop_map(
        move |(seed, (instances, upstreams, interval), back_after, faults)| Schedule {
            seed,
            instances,
            upstreams,
            interval,
            is_silent,
            back_after,
            faults,
        },
    )
}
