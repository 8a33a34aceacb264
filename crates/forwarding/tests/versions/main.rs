//! Streams go on only at the software version that began them, and as often as new ones begin.

mod world;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::proptest;

use crate::world::DURATION_MS;
use crate::world::Fault;
use crate::world::Release;
use crate::world::Schedule;
use crate::world::World;

/// Requirement: take-ups from which on their share of successes counts.
const TAKE_UPS_MIN: usize = 12;
/// Requirement: their share of successes, as a part of that of new streams.
const TAKE_UP_SHARE_MIN: f64 = 0.5;

fn schedules() -> impl Strategy<Value = Schedule> {
    let instances = prop_oneof![1_usize..4, 4_usize..24, 24_usize..=350];
    let releases = prop::collection::vec(releases(), 0..4);
    let faults = prop::collection::vec((1_000_u64..DURATION_MS, faults()), 0..6);
    (instances, 40_u64..200, releases, faults, 0_u64..u64::MAX).prop_map(
        |(instances, interval, releases, faults, seed)| Schedule {
            instances,
            interval,
            releases,
            faults,
            seed,
        },
    )
}

fn releases() -> impl Strategy<Value = Release> {
    let retire_after = prop::option::weighted(0.8, 0_u64..6_000);
    (
        1_000_u64..30_000,
        0_usize..4,
        1_usize..5,
        retire_after,
        0_u64..15_000,
    )
        .prop_map(|(at, version, engines, retire_after, drain)| Release {
            at,
            version,
            engines,
            retire_after,
            drain,
        })
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..350).prop_map(Fault::Restart),
        Just(Fault::RestartAll),
        (0_usize..350, 100_u64..DURATION_MS).prop_map(|(idx, ms)| Fault::Cut(idx, ms)),
        (100_u64..5_000).prop_map(Fault::StoreOutage),
    ]
}

fn config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        cases: 64,
        max_shrink_iters: 60,
        ..proptest::test_runner::Config::default()
    }
}

/// Panics if a stream has events of two versions.
fn run(schedule: Schedule) -> World {
    let mut world = World::new(schedule);
    while world.now < DURATION_MS {
        world.step();
    }
    let joined = world.joined();
    assert!(
        joined.is_empty(),
        "{} streams joined, the first: {:?}",
        joined.len(),
        joined[0]
    );
    world
}

fn check(schedule: Schedule) {
    let world = run(schedule);
    let (begun, asked) = world.begins;
    let share = |(count, all): (usize, usize)| count as f64 / all as f64;
    let begins = share(world.begins);
    let (_, take_ups) = world.take_ups;
    assert!(
        take_ups < TAKE_UPS_MIN || share(world.take_ups) >= begins * TAKE_UP_SHARE_MIN,
        "{:?} take-ups go on, {begun} of {asked} new streams begin",
        world.take_ups
    );
    let (_, take_ups) = world.settled_take_ups;
    assert!(
        take_ups < TAKE_UPS_MIN || share(world.settled_take_ups) >= begins,
        "{:?} take-ups go on, {begun} of {asked} new streams begin",
        world.settled_take_ups
    );
}

proptest! {
    #![proptest_config(config())]

    /// Guards against streams with events of two software versions, and against take-ups that are
    /// refused though two upstreams of their version are in service.
    #[test]
    fn streams_go_on_only_at_their_version(schedule in schedules()) {
        check(schedule);
    }
}

/// Guards against taking another version for the only one that was in service while an instance that
/// is cut off, and engines that serve on without a registration, begin streams at a version that
/// the others have forgotten.
#[test]
fn streams_that_an_instance_began_which_was_cut_off_are_not_joined() {
    run(Schedule {
        instances: 3,
        interval: 20,
        releases: vec![Release {
            at: 5_000,
            version: 1,
            engines: 3,
            retire_after: Some(1_000),
            drain: 15_000,
        }],
        faults: vec![(4_000, Fault::Cut(0, 80_000))],
        seed: 1,
    });
}

/// Guards against streams that begin at a version which is not recorded yet: others would take the
/// version before it for the only one.
#[test]
fn streams_do_not_begin_at_a_version_that_is_not_recorded() {
    run(Schedule {
        instances: 24,
        interval: 2,
        releases: vec![Release {
            at: 5_000,
            version: 1,
            engines: 3,
            retire_after: None,
            drain: 0,
        }],
        faults: vec![(4_990, Fault::Cut(0, 1_000)), (4_990, Fault::Cut(1, 1_000))],
        seed: 1,
    });
}
