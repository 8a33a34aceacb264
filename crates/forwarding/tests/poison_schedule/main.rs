//! Simulation of many instances under random faults: a poison request is refused in time, and
//! ordinary requests are served.
//!
//! Instances, the store and upstreams are models on a simulated clock; the decisions are those of
//! the real code. A schedule restarts instances, partitions them from the store or from each other,
//! makes the store unavailable, and crashes upstreams, which restart under the same or a new name.

mod schedule;
mod world;

use proptest::proptest;

use crate::schedule::DURATION_MS;
use crate::schedule::Schedule;
use crate::schedule::schedules;
use crate::world::World;

/// Requirement: the maximum number of poison sends after the third crash had time to be detected.
const LATE_SENDS_MAX: usize = 3;

fn check(schedule: Schedule) {
    let mut world = World::new(schedule);
    while world.now < DURATION_MS {
        world.step();
    }
    assert!(
        world.late_poison_sends <= LATE_SENDS_MAX,
        "{} poison sends after the detection time; crashes at {:?}",
        world.late_poison_sends,
        world.crashes
    );
    assert!(
        world.refused.is_empty(),
        "ordinary requests refused: {:?}",
        world.refused
    );
}

fn config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(15),
        cases: 96,
        ..proptest::test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against sending a poison request on, and against refusing ordinary requests because
    /// of it.
    #[test]
    fn poison_that_resets_is_refused_and_others_are_served(schedule in schedules(false)) {
        check(schedule);
    }

    /// The same with crashes after which connections time out instead of being reset.
    #[test]
    fn poison_that_times_out_is_refused_and_others_are_served(schedule in schedules(true)) {
        check(schedule);
    }
}

/// A schedule without faults, in which only the poison request crashes upstreams.
fn fault_free(
    seed: u64,
    instances: usize,
    upstreams: usize,
    poison_interval: u64,
    restart_delay: u64,
) -> Schedule {
    Schedule {
        seed,
        instances,
        upstreams,
        poison_interval,
        is_silent: false,
        restart_delay,
        faults: Vec::new(),
    }
}

macro_rules! schedules {
    ($($(#[$doc:meta])* $name:ident: $schedule:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($schedule);
            }
        )*
    };
}

schedules! {
    /// Past failure: instances that had never answered a frequent request themselves refused it.
    frequent_requests_are_served_where_others_answered_them:
        fault_free(15_438_729_743_793_936_403, 23, 11, 106, 534);
    /// Past failure: losses that were detected late outweighed answers to later sends.
    losses_that_are_seen_late_refuse_nothing: Schedule {
        is_silent: true,
        ..fault_free(6_711_349_722_339_876_929, 22, 10, 69, 6_430)
    };
    /// Past failure: a loss kept the depth of others that an answer had cleared.
    one_loss_after_cleared_ones_refuses_nothing:
        fault_free(17_979_629_021_315_125_326, 23, 4, 64, 525);
}
