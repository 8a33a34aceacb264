//! Random fault schedules violate no invariant. Proptest shrinks a failing schedule and prints it.

use std::time::Duration;

use fakes::schedule;
use fakes::schedule::Fault;
use fakes::schedule::Step;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const CASES: u32 = 48;
const SEED: [u8; 32] = *b"catkinvane fault schedules, v. 1";

fn fault() -> impl Strategy<Value = Fault> {
    let instance = || 0..6usize;
    let upstream = || 0..8usize;
    prop_oneof![
        instance().prop_map(Fault::Kill),
        instance().prop_map(Fault::KillGateway),
        instance().prop_map(Fault::KillDispatcher),
        instance().prop_map(Fault::Restart),
        instance().prop_map(Fault::FreezeDispatcher),
        instance().prop_map(Fault::FreezeGateway),
        proptest::strategy::Just(Fault::Thaw),
        (1..63u8).prop_map(Fault::Partition),
        proptest::strategy::Just(Fault::HealNet),
        proptest::strategy::Just(Fault::StoreDown),
        (10..1500u64).prop_map(Fault::StoreSlow),
        (1..4u32).prop_map(Fault::StoreLoses),
        proptest::strategy::Just(Fault::StoreStale),
        proptest::strategy::Just(Fault::StoreUp),
        upstream().prop_map(Fault::Crash),
        upstream().prop_map(Fault::Chill),
        (upstream(), 2..50u32).prop_map(|(it, factor)| Fault::Slow(it, factor)),
        (upstream(), 1..4u32).prop_map(|(it, count)| Fault::CutStreams(it, count)),
        (upstream(), 1..4u32).prop_map(|(it, count)| Fault::CrossAnswers(it, count)),
        instance().prop_map(Fault::Drain),
        instance().prop_map(Fault::Return),
        (instance(), instance()).prop_map(|(a, b)| Fault::Race(a, b)),
        instance().prop_map(Fault::Stop),
        instance().prop_map(Fault::Poison),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    (0..6000u64, fault()).prop_map(|(after, fault)| Step {
        after: Duration::from_millis(after),
        fault,
    })
}

#[test]
fn random_schedules_violate_no_invariant() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..12);
    let result = runner.run(&steps, |steps| {
        let report = schedule::run(1, &steps);
        match report.violations.is_empty() {
            true => Ok(()),
            false => Err(TestCaseError::fail(format!("{:?}", report.violations))),
        }
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

#[test]
fn a_seed_always_gives_the_same_run() {
    let steps = schedule::generate(7);
    let first = schedule::run(7, &steps);
    assert_eq!(first, schedule::run(7, &steps));
}
