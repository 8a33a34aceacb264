//! Retry budgets over all instances, under random faults.

mod world;

use std::time::Duration;

use forwarding::retry::BudgetLimit;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;

use world::Fault;
use world::World;

/// The users' bound on repeats, from the settings of the site.
const LIMIT: BudgetLimit = BudgetLimit {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};
/// Part of the allowed retries that has to be had on a steady day.
const USED_FRACTION_MIN: f64 = 0.9;
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time after the start until a steady day is measured.
const SETTLING_TIME: Duration = Duration::from_secs(30);
/// Most requests a second of all clients.
const RATE_MAX: f64 = 600.0;

fn instance_counts() -> impl Strategy<Value = usize> {
    prop_oneof![5 => 1..=12_usize, 3 => 13..=80_usize, 1 => 81..=350_usize]
}

fn durations(millis: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    millis.prop_map(Duration::from_millis)
}

fn faults() -> impl Strategy<Value = Vec<(Duration, Fault)>> {
    let fault = prop_oneof![
        3 => (0.1..1.0, durations(100..3_000)).prop_map(|it| Fault::Kill(it.0, it.1)),
        3 => (1..9_usize, durations(0..1_500)).prop_map(|it| Fault::Roll(it.0, it.1)),
        2 => (0.1..0.9).prop_map(Fault::Leave),
        2 => (0.1..1.0).prop_map(Fault::Join),
        2 => (0.1..1.0, durations(500..20_000)).prop_map(|it| Fault::Cut(it.0, it.1)),
        1 => (0.1..1.0, durations(500..8_000)).prop_map(|it| Fault::Freeze(it.0, it.1)),
        1 => (1.2..3.0, durations(2_000..8_000)).prop_map(|it| Fault::Burst(it.0, it.1)),
        1 => (0.0..1.0).prop_map(Fault::Reject),
    ];
    proptest::collection::vec((durations(2_000..50_000), fault), 0..7)
}

fn check_windows(world: &World) {
    for (repeats, allowed) in world.windows(Duration::ZERO) {
        assert!(
            repeats as f64 <= allowed,
            "{repeats} repeats, {allowed} allowed"
        );
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        cases: 48,
        max_shrink_iters: 100,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against retries beyond the limit while instances restart, join, leave or know few of
    /// the others.
    #[test]
    fn repeats_stay_within_the_limit_under_any_faults(
        count in instance_counts(),
        rate_each in 0.3..15.0_f64,
        rejected in 0.1..1.0_f64,
        faults in faults(),
        seed in proptest::num::u64::ANY,
    ) {
        let rate = (rate_each * count as f64).min(RATE_MAX);
        let mut world = World::new(LIMIT, count, rate, rejected, seed);
        world.run(&faults, RUN_TIME);
        check_windows(&world);
    }
}

/// Guards against the whole extra at each process that has removed its row and still serves.
#[test]
fn instances_that_stop_at_once_keep_the_limit() {
    let mut world = World::new(LIMIT, 8, 90.0, 0.8, 1);
    let roll = Fault::Roll(2, Duration::from_millis(500));
    world.run(&[(Duration::from_secs(20), roll)], RUN_TIME);
    check_windows(&world);
}

/// Guards against a whole share for each process of an instance.
#[test]
fn instances_that_are_killed_repeatedly_keep_the_limit() {
    let mut world = World::new(LIMIT, 8, 90.0, 0.8, 2);
    let kill = || Fault::Kill(1.0, Duration::from_millis(200));
    let kills: Vec<_> = (0..8)
        .map(|it| (Duration::from_secs(20 + 2 * it), kill()))
        .collect();
    world.run(&kills, RUN_TIME);
    check_windows(&world);
}

/// Guards against a share at an instance that has no news of members that have joined.
#[test]
fn an_instance_without_news_has_no_share() {
    let mut world = World::new(LIMIT, 1, 6.0, 0.9, 4);
    let cut = Fault::Cut(1.0, Duration::from_secs(30));
    let faults = [
        (Duration::from_secs(17), cut),
        (Duration::from_secs(18), Fault::Join(1.0)),
    ];
    world.run(&faults, RUN_TIME);
    check_windows(&world);
}

/// Guards against retries that are saved up while nothing is rejected.
#[test]
fn requests_of_a_calm_time_save_no_retries() {
    let mut world = World::new(LIMIT, 8, 90.0, 0.0, 5);
    world.run(&[(Duration::from_secs(30), Fault::Reject(0.9))], RUN_TIME);
    check_windows(&world);
}

fn check_steady(count: usize, rate: f64) {
    let mut world = World::new(LIMIT, count, rate, 0.9, 3);
    world.run(&[], RUN_TIME);
    check_windows(&world);
    let since = |times: &[Duration]| times.iter().filter(|it| **it >= SETTLING_TIME).count() as f64;
    let windows = (RUN_TIME - SETTLING_TIME).div_duration_f64(LIMIT.window);
    let allowed = LIMIT.ratio * since(&world.requests) + LIMIT.extra * windows;
    let had = since(&world.repeats) / allowed;
    assert!(
        had >= USED_FRACTION_MIN,
        "{had:.3} of {allowed} allowed retries"
    );
}

macro_rules! steady_cases {
    ($($(#[$doc:meta])* $name:ident: $count:literal, $rate:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check_steady($count, $rate);
            }
        )*
    };
}

steady_cases! {
    /// Guards against retries that are allowed and can't be had.
    nine_tenths_can_be_had_by_one: 1, 20.0;
    nine_tenths_can_be_had_by_8: 8, 90.0;
    nine_tenths_can_be_had_by_58: 58, 280.0;
    nine_tenths_can_be_had_by_350: 350, 1_400.0;
}
