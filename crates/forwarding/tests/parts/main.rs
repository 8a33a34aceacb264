//! Refusal of requests with a prompt part that crashes upstreams, and of no others.

mod units;
mod world;

use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::proptest;

use crate::world::DURATION_MS;
use crate::world::Fault;
use crate::world::Schedule;
use crate::world::World;

/// Requirement: requests with the part that are sent later than the detection time after the fifth
/// crash.
const LATE_SENDS_MAX: usize = 3;
/// Requirement: share of the ordinary requests that are sent, from twice the detection time on.
const SENT_SHARE_MIN: f64 = 0.5;

fn schedules() -> impl Strategy<Value = Schedule> {
    let instances = prop_oneof![1_usize..4, 4_usize..24, 24_usize..=350];
    let faults = prop::collection::vec((500_u64..15_000, faults()), 0..5);
    let rates = (5_u64..60, 60_u64..1_000);
    (instances, 6_usize..24, rates, faults, 0_u64..u64::MAX).prop_map(
        |(instances, upstreams, (ordinary_interval, deadly_interval), faults, seed)| Schedule {
            instances,
            upstreams,
            ordinary_interval,
            deadly_interval,
            faults,
            seed,
        },
    )
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..350).prop_map(Fault::Restart),
        proptest::strategy::Just(Fault::RestartAll),
        (0_usize..350).prop_map(Fault::CutFromPeers),
        proptest::strategy::Just(Fault::StoreOutage),
        (2_u32..6).prop_map(Fault::Crash),
    ]
}

fn config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        cases: 64,
        max_shrink_iters: 0,
        ..proptest::test_runner::Config::default()
    }
}

fn check(schedule: Schedule) {
    let mut world = World::new(schedule);
    while world.now < DURATION_MS {
        world.step();
    }
    assert!(
        world.late_sends() <= LATE_SENDS_MAX,
        "{} late sends; crashes at {:?}",
        world.late_sends(),
        world.crashes
    );
    let (sent, asked) = world.ordinary_after_detection();
    assert!(
        sent as f64 >= asked as f64 * SENT_SHARE_MIN,
        "{sent} of {asked} ordinary requests were sent"
    );
}

proptest! {
    #![proptest_config(config())]

    /// Guards against sending requests on that have the deadly part, and against blaming parts that
    /// they share with ordinary requests.
    #[test]
    fn only_requests_with_the_deadly_part_are_refused(schedule in schedules()) {
        check(schedule);
    }
}

/// Guards against waiting for sequential crashes while every upstream of a service is down: those
/// that return are crashed by requests that could have been refused.
#[test]
fn a_deadly_part_is_refused_when_all_upstreams_crashed_at_once() {
    check(Schedule {
        instances: 269,
        upstreams: 6,
        ordinary_interval: 39,
        deadly_interval: 61,
        faults: vec![
            (8_142, Fault::Restart(262)),
            (8_876, Fault::CutFromPeers(161)),
        ],
        seed: 9_275_346_921_493_178_714,
    });
}

macro_rules! schedules {
    ($($(#[$doc:meta])* $name:ident: $upstreams:literal upstreams of $instances:literal instances,
        every $ordinary:literal and $deadly:literal ms, $faults:expr, seed $seed:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check(Schedule {
                    instances: $instances,
                    upstreams: $upstreams,
                    ordinary_interval: $ordinary,
                    deadly_interval: $deadly,
                    faults: $faults.to_vec(),
                    seed: $seed,
                });
            }
        )*
    };
}

schedules! {
    /// Guards against blaming the parts of ordinary requests for a failure of many upstreams that
    /// came shortly before or after crashes of a deadly part.
    a_failure_of_many_upstreams_before_the_first_sound_runs_blames_no_ordinary_part:
        20 upstreams of 261 instances, every 16 and 584 ms,
        [(1_395, Fault::Crash(2)), (1_840, Fault::RestartAll), (11_914, Fault::StoreOutage)],
        seed 3_487_381_191_057_467_323;
    a_failure_of_many_upstreams_before_the_deadly_part_blames_no_ordinary_part:
        16 upstreams of 176 instances, every 12 and 122 ms,
        [(10_761, Fault::CutFromPeers(232)), (11_234, Fault::Crash(4)), (1_708, Fault::Crash(3))],
        seed 18_041_373_643_180_443_793;
    a_failure_of_many_upstreams_after_the_blame_blames_no_ordinary_part:
        7 upstreams of 235 instances, every 50 and 66 ms,
        [(14_432, Fault::Restart(135)), (7_460, Fault::Crash(2))],
        seed 13_732_786_793_754_057_937;
    restarts_of_all_instances_blame_no_ordinary_part:
        7 upstreams of 257 instances, every 18 and 558 ms,
        [
            (7_744, Fault::Restart(16)),
            (11_511, Fault::Crash(4)),
            (5_340, Fault::RestartAll),
            (7_856, Fault::RestartAll),
        ],
        seed 2_241_537_654_149_520_312;
    /// Guards against sending a blamed part again because a failure of many upstreams blames another.
    a_failure_of_many_upstreams_does_not_end_the_blame:
        8 upstreams of 238 instances, every 10 and 131 ms,
        [(9_739, Fault::Crash(3))],
        seed 17_539_426_021_541_865_504;
}
