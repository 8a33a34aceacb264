//! What a planner's work costs while much waits, and the counts that keep it low.

use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use proptest::prelude::*;
use stages::Call;
use stages::Handle;
use stages::ItemFailure;
use stages::Outcome;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Replica;
use stages::Step;
use tokio::time::Instant;

const LIMITS: BatchLimits = BatchLimits {
    call_overhead: Duration::from_millis(200),
    piece_time: Duration::from_millis(10),
    batch_max: 8,
    slots: 1,
    result_capacity: 1_000_000_000,
    result_ttl: Duration::from_secs(30),
};
const SERVICES: [&str; 3] = ["first", "second", "third"];

fn service(idx: usize) -> id::Service {
    SERVICES[idx].parse().expect("a valid name")
}

fn replicas(idx: usize, count: usize, started_ms: u64) -> Vec<Replica> {
    let replicas = (0..count).map(|it| Replica {
        name: format!("{}-{it}", SERVICES[idx]).parse().expect("a name"),
        zone: ["a", "b"][it % 2].parse().expect("a valid name"),
        started_ms,
        is_usable: true,
    });
    replicas.collect()
}

fn planner(upstreams: usize, now: Instant) -> Planner {
    let mut planner = Planner::new();
    for idx in 0..SERVICES.len() {
        planner.configure(&service(idx), LIMITS, replicas(idx, upstreams, 1), now);
    }
    planner
}

/// A chain of `pieces.len()` steps, each at the next service.
fn plan(number: u64, priority: u8, pieces: &[usize], aim: Duration, now: Instant) -> Plan {
    let steps = pieces.iter().enumerate().map(|(idx, pieces)| Step {
        number: idx,
        service: service(idx),
        after: idx.checked_sub(1).into_iter().collect(),
        pieces: *pieces,
        result_bytes: 10,
    });
    Plan {
        request: number.to_string(),
        fingerprint: id::Fingerprint(number % 7),
        key: "key".to_owned(),
        zone: None,
        priority,
        workspace: None,
        soft_deadline: now + aim,
        deadline: now + aim * 3,
        time_after_steps: Duration::from_millis(100),
        steps: steps.collect(),
    }
}

fn all_done(call: &Call) -> Outcome {
    let handles = call.items.iter();
    let handles = handles.map(|it| Ok(Handle(format!("{}-{}-{}", it.request, it.step, it.piece))));
    Outcome::Done(handles.collect())
}

fn outcome(kind: u8, call: &Call) -> Outcome {
    let failed = |failure: ItemFailure| {
        let results = call.items.iter().enumerate();
        let results = results.map(|(idx, it)| match idx {
            0 => Err(failure),
            _ => Ok(Handle(it.request.clone())),
        });
        Outcome::Done(results.collect())
    };
    match kind {
        0 => Outcome::Rejected,
        1 => Outcome::Lost,
        2 => failed(ItemFailure::InputGone),
        3 => failed(ItemFailure::NoRoom),
        4 => failed(ItemFailure::Failed),
        5 => failed(ItemFailure::Late),
        6 => Outcome::Unsent,
        _ => all_done(call),
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Submit(u8, Vec<usize>, u64),
    Finish(usize, u8),
    Release(usize),
    Abort(u64),
    /// Sets the number of upstreams of a service and their start time.
    Configure(usize, usize, u64),
    Wait(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..4_u8, prop::collection::vec(1..12_usize, 1..4), 300..3_000_u64)
            .prop_map(|(priority, pieces, aim)| Operation::Submit(priority, pieces, aim)),
        8 => (any::<usize>(), 0..20_u8).prop_map(|(idx, kind)| Operation::Finish(idx, kind)),
        2 => any::<usize>().prop_map(Operation::Release),
        1 => (0..7_u64).prop_map(Operation::Abort),
        1 => (0..3_usize, 1..4_usize, 1..3_u64)
            .prop_map(|(idx, count, started)| Operation::Configure(idx, count, started)),
        4 => (1..400_u64).prop_map(Operation::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against counts that drift from the pieces: an owner would refuse work that it has room
    /// for, or accept work without end.
    #[test]
    fn the_counts_equal_a_full_recount(operations in prop::collection::vec(operation(), 1..120)) {
        let mut now = Instant::now();
        let mut planner = planner(2, now);
        let (mut calls, mut plans): (Vec<Call>, Vec<PlanId>) = (Vec::new(), Vec::new());
        for (number, operation) in operations.into_iter().enumerate() {
            match operation {
                Operation::Submit(priority, pieces, aim) => {
                    let aim = Duration::from_millis(aim);
                    let plan = plan(number as u64, priority, &pieces, aim, now);
                    plans.extend(planner.submit(plan, now));
                }
                Operation::Finish(idx, kind) if !calls.is_empty() => {
                    let call = calls.swap_remove(idx % calls.len());
                    planner.finish(call.id, outcome(kind, &call), now);
                }
                Operation::Release(idx) if !plans.is_empty() => {
                    let id = plans.swap_remove(idx % plans.len());
                    planner.release(id);
                }
                Operation::Abort(fingerprint) => planner.abort_request(id::Fingerprint(fingerprint)),
                Operation::Configure(idx, count, started) => {
                    planner.configure(&service(idx), LIMITS, replicas(idx, count, started), now);
                }
                Operation::Wait(millis) => now += Duration::from_millis(millis),
                Operation::Finish(..) | Operation::Release(_) => {}
            }
            calls.extend(planner.dispatch(now));
            planner.take_ended();
            planner.take_unused_results();
            let recount = planner.recount_all(now);
            prop_assert_eq!(planner.counts(), recount.clone());
            let waiting: usize = recount.values().map(|it| it.waiting).sum();
            prop_assert_eq!(planner.waiting_pieces(), waiting);
        }
    }
}

/// Plans visited by each of 1,000 submissions that arrive while all upstreams are busy and `backlog`
/// plans wait, within one scan of the queue.
fn visits_of_submissions(backlog: u64) -> u64 {
    let now = Instant::now();
    let mut planner = planner(2, now);
    let aim = Duration::from_secs(100_000);
    for number in 0..backlog {
        let accepted = planner.submit(plan(number, 1, &[4, 4], aim, now), now);
        accepted.expect("accepted");
    }
    planner.dispatch(now);
    planner.dispatch(now);
    let before = planner.visits();
    for number in 0..1_000 {
        let accepted = planner.submit(plan(backlog + number, 1, &[4, 4], aim, now), now);
        accepted.expect("accepted");
        assert!(planner.dispatch(now).is_empty(), "all upstreams are busy");
    }
    planner.visits() - before
}

/// Answers a burst in which owners of a tenth of a core fell behind, because each submission walked
/// all plans: it must cost the same whether 50 plans wait or 5,000.
#[test]
fn a_submission_costs_the_same_whatever_waits() {
    let few = visits_of_submissions(50);
    assert_eq!(visits_of_submissions(5_000), few);
    assert!(few <= 2 * 1_000, "{few} plans visited by 1,000 submissions");
}

/// The same for plans that have ended and whose requests still read their results.
#[test]
fn results_that_are_still_read_cost_no_event_anything() {
    let now = Instant::now();
    let mut planner = planner(2, now);
    let aim = Duration::from_secs(100_000);
    for number in 0..5_000 {
        let accepted = planner.submit(plan(number, 1, &[4], aim, now), now);
        accepted.expect("accepted");
    }
    let mut ended = 0;
    while ended < 5_000 {
        for call in planner.dispatch(now) {
            planner.finish(call.id, all_done(&call), now);
        }
        ended += planner.take_ended().len();
    }
    planner.dispatch(now);
    assert_eq!(planner.plan_count(), 5_000);
    let before = planner.visits();
    let accepted = planner.submit(plan(5_000, 1, &[4], aim, now), now);
    accepted.expect("accepted");
    let call = planner.dispatch(now).pop().expect("a call");
    planner.finish(call.id, all_done(&call), now);
    planner.dispatch(now);
    assert!(
        planner.visits() - before <= 8,
        "{}",
        planner.visits() - before
    );
}

/// A backlog is scanned for overdue plans once in 30 ms, not for each event; an overdue plan is
/// refused at the next scan.
#[test]
fn a_backlog_is_scanned_at_intervals() {
    let start = Instant::now();
    let mut planner = planner(2, start);
    let aim = Duration::from_millis(60_000);
    for number in 0..1_000 {
        let accepted = planner.submit(plan(number, 1, &[1, 1], aim, start), start);
        accepted.expect("accepted");
    }
    planner.dispatch(start);
    planner.dispatch(start);
    let before = planner.visits();
    for millis in 1..=300 {
        planner.dispatch(start + Duration::from_millis(millis));
    }
    let scans = (planner.visits() - before).div_ceil(1_000);
    assert!(scans <= 10, "{scans} scans in 300 ms");
    let late = start + aim + Duration::from_millis(2_500);
    planner.dispatch(late);
    let ended = planner.take_ended();
    assert!(ended.len() > 900, "{} plans refused", ended.len());
}
