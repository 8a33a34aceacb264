//! The planner: batching, order and placement of calls, and recovery from failed ones.

use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use stages::Call;
use stages::Handle;
use stages::Input;
use stages::ItemFailure;
use stages::Outcome;
use stages::PIECES_MAX;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Refusal;
use stages::Replica;
use stages::Step;
use tokio::time::Instant;

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    batch_max: 4,
    call_overhead: Duration::from_millis(200),
    piece_time: Duration::from_millis(10),
    result_capacity: 1_000_000,
    result_ttl: Duration::from_secs(4),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service(name: &str) -> id::Service {
    name.parse().expect("a valid name")
}

fn replica(name: &str, zone: &str) -> Replica {
    Replica {
        name: name.parse().expect("a valid name"),
        zone: zone.parse().expect("a valid name"),
        started_ms: 1,
        is_usable: true,
    }
}

fn planner(now: Instant) -> Planner {
    let mut planner = Planner::new();
    let first = vec![replica("f1", "a"), replica("f2", "b")];
    planner.configure(&service("first"), LIMITS, first, now);
    let second = vec![replica("s1", "a"), replica("s2", "b")];
    planner.configure(&service("second"), LIMITS, second, now);
    planner
}

fn step(service_: &str, number: usize, after: &[usize], pieces: usize, bytes: u64) -> Step {
    Step {
        number,
        service: service(service_),
        after: after.to_vec(),
        pieces,
        result_bytes: bytes,
    }
}

fn plan(request: &str, steps: Vec<Step>, now: Instant) -> Plan {
    Plan {
        request: request.to_owned(),
        fingerprint: id::Fingerprint(0),
        key: "key".to_owned(),
        zone: None,
        priority: 1,
        workspace: None,
        soft_deadline: now + ms(2_000),
        deadline: now + ms(6_000),
        time_after_steps: ms(100),
        steps,
    }
}

fn all_done(call: &Call) -> Outcome {
    let handles = call.items.iter().map(|it| {
        let name = format!(
            "{}/{}-{}-{}",
            call.upstream, it.request, it.route_step, it.piece
        );
        Ok(Handle(name))
    });
    Outcome::Done(handles.collect())
}

fn single_call(calls: Vec<Call>) -> Call {
    let [call] = <[Call; 1]>::try_from(calls).expect("one call");
    call
}

fn submit(planner: &mut Planner, plan: Plan, now: Instant) -> PlanId {
    planner.submit(plan, now).expect("accepted")
}

/// Submits a request with one step at the first service and small results.
fn submit_first(planner: &mut Planner, request: &str, pieces: usize, now: Instant) -> PlanId {
    let steps = vec![step("first", 0, &[], pieces, 10)];
    submit(planner, plan(request, steps, now), now)
}

/// Guards against a plan of another instance that ends the task of the owner: its steps read the
/// results of steps that do not exist, of themselves or of later ones.
#[test]
fn a_plan_whose_steps_do_not_follow_each_other_is_refused() {
    for after in [0, 1, 7, usize::MAX] {
        let now = Instant::now();
        let steps = vec![step("first", 0, &[after], 1, 10)];
        let refusal = planner(now).submit(plan("r", steps, now), now);
        assert_eq!(refusal, Err(Refusal::Failed), "after {after}");
    }
}

/// Guards against a request whose pieces no memory holds, and that ends the process of its owner, then
/// that of the next owner.
#[test]
fn a_plan_with_more_pieces_than_memory_holds_is_refused() {
    let now = Instant::now();
    for pieces in [PIECES_MAX + 1, 2_000_000_000, usize::MAX] {
        let steps = vec![
            step("first", 0, &[], 1, 10),
            step("first", 1, &[], pieces, 10),
        ];
        let refusal = planner(now).submit(plan("r", steps, now), now);
        assert_eq!(refusal, Err(Refusal::Failed));
    }
}

#[test]
fn pieces_of_several_requests_share_a_call() {
    let now = Instant::now();
    let mut planner = planner(now);
    // Both upstreams are busy when the last two requests arrive.
    let mut busy = Vec::new();
    for request in ["a", "b"] {
        submit_first(&mut planner, request, 1, now);
        busy.extend(planner.dispatch(now));
    }
    for request in ["c", "d"] {
        submit_first(&mut planner, request, 2, now);
    }
    assert!(planner.dispatch(now).is_empty());
    for call in busy {
        planner.finish(call.id, Outcome::Rejected, now);
    }
    let later = now + ms(60);
    let calls = planner.dispatch(later);
    let sizes: Vec<usize> = calls.iter().map(|it| it.items.len()).collect();
    assert_eq!(sizes.iter().sum::<usize>(), 6);
    assert!(sizes.iter().all(|it| *it <= LIMITS.batch_max));
}

#[test]
fn a_later_step_reads_all_results_of_the_earlier_ones() {
    let now = Instant::now();
    let mut planner = planner(now);
    let steps = vec![step("first", 0, &[], 2, 10), step("second", 1, &[0], 1, 10)];
    let id = submit(&mut planner, plan("r", steps, now), now);
    let call = single_call(planner.dispatch(now));
    assert!(
        call.items
            .iter()
            .all(|it| it.input == Input::Key("key".to_owned()))
    );
    planner.finish(call.id, all_done(&call), now + ms(220));
    let call = single_call(planner.dispatch(now + ms(220)));
    let Input::Results(read) = &call.items[0].input else {
        panic!("the second step reads results");
    };
    assert_eq!(read.len(), 2);
    planner.finish(call.id, all_done(&call), now + ms(440));
    let ended = planner.take_ended();
    let [(ended, Ok(prepared))] = &ended[..] else {
        panic!("one plan ended with results");
    };
    assert_eq!((*ended, prepared.handles.len()), (id, 1));
    // Results that only finished steps read are freed at once, the others with the plan.
    assert_eq!(planner.take_unused_results().len(), 2);
    planner.release(id);
    assert_eq!(planner.take_unused_results().len(), 1);
}

#[test]
fn a_rejected_call_is_retried_on_another_upstream() {
    let now = Instant::now();
    let mut planner = planner(now);
    submit_first(&mut planner, "r", 1, now);
    let call = single_call(planner.dispatch(now));
    planner.finish(call.id, Outcome::Rejected, now);
    let again = single_call(planner.dispatch(now));
    assert_ne!(
        again.upstream, call.upstream,
        "the upstream that rejected the call is in backoff"
    );
}

#[test]
fn a_lost_call_is_retried_on_another_upstream() {
    let now = Instant::now();
    let mut planner = planner(now);
    submit_first(&mut planner, "r", 1, now);
    let call = single_call(planner.dispatch(now));
    planner.finish(call.id, Outcome::Lost, now + call.timeout);
    let again = single_call(planner.dispatch(now + call.timeout));
    assert_ne!(again.upstream, call.upstream);
}

/// Guards against back-offs of upstreams because the owner has lost its own paths.
#[test]
fn a_call_that_was_interrupted_by_a_lost_path_is_made_again_at_once() {
    let now = Instant::now();
    let mut planner = planner(now);
    submit_first(&mut planner, "a", 8, now);
    let calls = planner.dispatch(now);
    assert_eq!(calls.len(), 2);
    for call in &calls {
        planner.finish(call.id, Outcome::Interrupted, now + ms(500));
    }
    assert_eq!(planner.dispatch(now + ms(500)).len(), 2);
}

#[test]
fn a_missing_input_is_recomputed() {
    let now = Instant::now();
    let mut planner = planner(now);
    let steps = vec![step("first", 0, &[], 1, 10), step("second", 1, &[0], 1, 10)];
    submit(&mut planner, plan("r", steps, now), now);
    let call = single_call(planner.dispatch(now));
    planner.finish(call.id, all_done(&call), now);
    let call = single_call(planner.dispatch(now));
    let outcome = Outcome::Done(vec![Err(ItemFailure::InputGone)]);
    planner.finish(call.id, outcome, now);
    let again = single_call(planner.dispatch(now));
    assert_eq!(again.items[0].route_step, 0, "the first step runs again");
}

#[test]
fn results_of_an_upstream_that_left_are_recomputed() {
    let now = Instant::now();
    let mut planner = planner(now);
    let steps = vec![step("first", 0, &[], 1, 10), step("second", 1, &[0], 1, 10)];
    submit(&mut planner, plan("r", steps, now), now);
    let call = single_call(planner.dispatch(now));
    planner.finish(call.id, all_done(&call), now);
    let remaining = vec![replica("f1", "a"), replica("f2", "b")];
    let remaining = remaining.into_iter().filter(|it| it.name != call.upstream);
    planner.configure(&service("first"), LIMITS, remaining.collect(), now);
    let again = single_call(planner.dispatch(now));
    assert_eq!(again.items[0].route_step, 0);
    assert_ne!(again.upstream, call.upstream);
}

/// Guards against immediate retries of pieces that an upstream had no memory for: 5,035 pieces of
/// one run were rejected that way.
#[test]
fn an_upstream_without_memory_gets_no_calls_during_the_backoff() {
    let now = Instant::now();
    let mut planner = planner(now);
    submit_first(&mut planner, "r", 1, now);
    let call = single_call(planner.dispatch(now));
    planner.finish(call.id, Outcome::Done(vec![Err(ItemFailure::NoRoom)]), now);
    let again = single_call(planner.dispatch(now));
    assert_ne!(again.upstream, call.upstream);
    planner.finish(again.id, Outcome::Done(vec![Err(ItemFailure::NoRoom)]), now);
    assert!(planner.dispatch(now).is_empty());
    assert_eq!(planner.dispatch(now + ms(201)).len(), 1);
}

/// Guards against an owner that ignores the results left by a crashed one: 5,000 of 7,800 pieces
/// were computed in vain within 2 s, as the upstreams had no memory for their results.
#[test]
fn results_of_a_former_owner_take_up_memory_until_they_expire() {
    let now = Instant::now();
    let mut planner = planner(now);
    let large = vec![step("first", 0, &[], 1, 300_000)];
    submit(&mut planner, plan("large", large, now), now);
    for _ in 0..2 {
        let call = single_call(planner.dispatch(now));
        planner.finish(call.id, Outcome::Done(vec![Err(ItemFailure::NoRoom)]), now);
    }
    assert!(planner.dispatch(now + ms(300)).is_empty());
    let small = vec![step("first", 0, &[], 1, 10)];
    submit(&mut planner, plan("small", small, now), now);
    let call = single_call(planner.dispatch(now + ms(300)));
    assert_eq!(call.items[0].request, "small");
    planner.finish(call.id, all_done(&call), now + ms(510));
    assert!(planner.dispatch(now + ms(1_000)).is_empty());
    let call = single_call(planner.dispatch(now + ms(1_900)));
    assert_eq!(call.items[0].request, "large");
}

#[test]
fn the_backoff_doubles_while_an_upstream_rejects_calls() {
    let mut now = Instant::now();
    let mut planner = Planner::new();
    let service = service("first");
    planner.configure(&service, LIMITS, vec![replica("f1", "a")], now);
    let steps = vec![step("first", 0, &[], 1, 10)];
    submit(&mut planner, plan("r", steps, now), now);
    for pause in [50, 100, 200, 400, 400] {
        let call = single_call(planner.dispatch(now));
        planner.finish(call.id, Outcome::Rejected, now);
        assert!(planner.dispatch(now + ms(pause - 1)).is_empty());
        now += ms(pause);
    }
}

#[test]
fn results_stay_within_the_usable_memory() {
    let now = Instant::now();
    let mut planner = planner(now);
    for request in 0..6 {
        let steps = vec![step("first", 0, &[], 1, 300_000)];
        submit(&mut planner, plan(&request.to_string(), steps, now), now);
    }
    let calls = planner.dispatch(now);
    assert!(
        calls.iter().all(|it| it.items.len() <= 2),
        "850,000 usable bytes hold two results"
    );
}

#[test]
fn a_step_stays_in_the_zone_of_large_inputs() {
    let now = Instant::now();
    let mut planner = planner(now);
    let steps = vec![
        step("first", 0, &[], 2, 400_000),
        step("second", 1, &[0], 1, 10),
    ];
    submit(&mut planner, plan("r", steps, now), now);
    let first = single_call(planner.dispatch(now));
    // The upstream in the same zone is busy; the other one is not used for 120 ms.
    let same_zone = if first.upstream.as_str() == "f1" {
        "s1"
    } else {
        "s2"
    };
    let busy = vec![step("second", 0, &[], 4, 10)];
    submit(&mut planner, plan("b1", busy.clone(), now), now);
    submit(&mut planner, plan("b2", busy, now), now);
    let calls = planner.dispatch(now);
    let other = calls
        .iter()
        .find(|it| it.upstream.as_str() != same_zone)
        .expect("a call at each upstream");
    planner.finish(other.id, all_done(other), now + ms(10));
    planner.finish(first.id, all_done(&first), now + ms(20));
    assert!(planner.dispatch(now + ms(20)).is_empty());
    let call = single_call(planner.dispatch(now + ms(145)));
    assert_ne!(call.upstream.as_str(), same_zone);
}

#[test]
fn a_plan_that_cannot_end_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut planner = planner(now);
    let mut plan = plan("r", vec![step("first", 0, &[], 1, 10)], now);
    plan.deadline = now + ms(250);
    assert!(matches!(
        planner.submit(plan, now),
        Err(Refusal::TooLate(_))
    ));
}

#[test]
fn a_service_without_upstreams_is_refused_at_once() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.configure(&service("first"), LIMITS, Vec::new(), now);
    let refusal = planner.submit(plan("r", vec![step("first", 0, &[], 1, 10)], now), now);
    assert_eq!(refusal, Err(Refusal::NoUpstream));
}

#[test]
fn results_of_a_disconnected_client_are_freed() {
    let now = Instant::now();
    let mut planner = planner(now);
    let id = submit_first(&mut planner, "r", 1, now);
    let call = single_call(planner.dispatch(now));
    planner.release(id);
    planner.finish(call.id, all_done(&call), now + ms(210));
    assert_eq!(planner.take_unused_results().len(), 1);
    assert!(planner.take_ended().is_empty());
}

#[test]
fn urgent_work_goes_first_and_late_work_last() {
    let now = Instant::now();
    let mut planner = planner(now);
    for request in ["x", "y"] {
        submit_first(&mut planner, request, 4, now);
    }
    let busy = planner.dispatch(now);
    let mut late = plan("late", vec![step("first", 0, &[], 4, 10)], now);
    late.soft_deadline = now;
    late.priority = 0;
    submit(&mut planner, late, now);
    for (request, priority) in [("slow", 2), ("urgent", 0)] {
        let mut plan = plan(request, vec![step("first", 0, &[], 4, 10)], now);
        plan.priority = priority;
        submit(&mut planner, plan, now);
    }
    let mut order = Vec::new();
    let mut in_flight = busy;
    for _ in 0..3 {
        let call = in_flight.pop().expect("a call in progress");
        planner.finish(call.id, all_done(&call), now + ms(240));
        for call in planner.dispatch(now + ms(240)) {
            order.push(call.items[0].request.clone());
            in_flight.insert(0, call);
        }
    }
    assert_eq!(
        order,
        ["urgent", "slow"],
        "late work leaves one upstream available"
    );
}

/// Guards against starting requests that will wait for a later step until they are late: in a burst
/// of one kind of request, the first step ran for many more requests than the second service could
/// take.
#[test]
fn work_that_a_later_queue_makes_late_does_not_go_first() {
    let now = Instant::now();
    let mut planner = planner(now);
    for request in ["x", "y"] {
        let steps = vec![step("first", 0, &[], 4, 10)];
        submit(&mut planner, plan(request, steps, now), now);
    }
    for idx in 0..20 {
        let steps = vec![step("second", 0, &[], 4, 10)];
        let mut waiting = plan(&format!("q{idx}"), steps, now);
        waiting.priority = 0;
        submit(&mut planner, waiting, now);
    }
    let calls = planner.dispatch(now);
    let steps = vec![step("first", 0, &[], 4, 10), step("second", 1, &[0], 4, 10)];
    let mut urgent = plan("urgent", steps, now);
    urgent.priority = 0;
    submit(&mut planner, urgent, now);
    let steps = vec![step("first", 0, &[], 4, 10)];
    submit(&mut planner, plan("in time", steps, now), now);
    let first = calls.iter().find(|it| it.items[0].request == "x");
    let first = first.expect("a call of the first service");
    planner.finish(first.id, all_done(first), now + ms(240));
    let call = single_call(planner.dispatch(now + ms(240)));
    assert_eq!(call.items[0].request, "in time");
}

/// Submits a request with two steps and finishes the first; returns the call of the second.
fn second_call(planner: &mut Planner, request: &str, now: Instant) -> (PlanId, Call) {
    let steps = vec![step("first", 0, &[], 2, 10), step("second", 1, &[0], 2, 10)];
    let id = submit(planner, plan(request, steps, now), now);
    let first = single_call(planner.dispatch(now));
    planner.finish(first.id, all_done(&first), now);
    (id, single_call(planner.dispatch(now)))
}

/// Guards against inputs that are kept until the call which reads them ends: they took up two
/// thirds of a service's result memory, and calls held 38 of 60 pieces while hundreds of requests
/// waited.
#[test]
fn inputs_are_freed_when_the_call_has_read_them() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.configure(&service("second"), LIMITS, vec![replica("s1", "a")], now);
    let (_, call) = second_call(&mut planner, "r", now);
    planner.dispatch(now + ms(150));
    assert!(
        planner.take_unused_results().is_empty(),
        "the call may be queued behind those of another owner"
    );
    planner.finish(call.id, all_done(&call), now + ms(210));
    let later = now + ms(2_210);
    assert_eq!(planner.take_unused_results().len(), 2);
    planner.take_ended();

    let (id, call) = second_call(&mut planner, "s", later);
    planner.dispatch(later + ms(90));
    assert!(
        planner.take_unused_results().is_empty(),
        "the call may still read its inputs"
    );
    planner.dispatch(later + ms(100));
    assert_eq!(planner.take_unused_results().len(), 2);
    planner.finish(call.id, all_done(&call), later + ms(210));
    let ended = planner.take_ended();
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, id);
    assert!(ended[0].1.is_ok());
}

#[test]
fn freed_inputs_are_recomputed_for_a_lost_call() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.configure(&service("second"), LIMITS, vec![replica("s1", "a")], now);
    let (_, call) = second_call(&mut planner, "a", now);
    planner.finish(call.id, all_done(&call), now + ms(210));
    planner.take_ended();
    let later = now + ms(2_210);
    let (_, call) = second_call(&mut planner, "r", later);
    planner.dispatch(later + ms(100));
    assert_eq!(planner.take_unused_results().len(), 4);
    planner.finish(call.id, Outcome::Lost, later + ms(300));
    let call = single_call(planner.dispatch(later + ms(300)));
    assert_eq!(call.items[0].route_step, 0);
    planner.finish(call.id, all_done(&call), later + ms(520));
    let call = single_call(planner.dispatch(later + ms(1_301)));
    let Input::Results(inputs) = &call.items[0].input else {
        panic!("the second step reads results");
    };
    assert_eq!(inputs.len(), 2);
    planner.finish(call.id, all_done(&call), later + ms(1_520));
    assert!(matches!(&planner.take_ended()[..], [(_, Ok(_))]));
}

/// Guards against calls to an upstream that asked for none.
#[test]
fn a_held_off_upstream_gets_no_call_until_its_time_is_over() {
    let now = Instant::now();
    let mut planner = planner(now);
    let first: id::Upstream = "f1".parse().expect("a valid name");
    planner.hold_off(&first, now + ms(700));
    submit_first(&mut planner, "a", 2, now);
    assert_eq!(single_call(planner.dispatch(now)).upstream.as_str(), "f2");
    submit_first(&mut planner, "b", 2, now);
    assert!(planner.dispatch(now + ms(690)).is_empty());
    let call = single_call(planner.dispatch(now + ms(700)));
    assert_eq!(call.upstream, first);
}

/// Guards against plans that wait until their deadline because all upstreams are held off.
#[test]
fn work_that_cannot_wait_for_held_off_upstreams_is_refused_at_once() {
    let now = Instant::now();
    let mut planner = planner(now);
    for name in ["f1", "f2"] {
        let name = name.parse().expect("a valid name");
        planner.hold_off(&name, now + ms(6_000));
    }
    let steps = vec![step("first", 0, &[], 1, 10)];
    let refusal = planner.submit(plan("a", steps, now), now);
    let Err(Refusal::TooLate(drain)) = refusal else {
        panic!("{refusal:?}");
    };
    assert!(drain >= ms(6_000), "{drain:?}");
}

/// Guards against upstreams that an owner avoids, and plans that it refuses, because calls hung when
/// it lost its own paths.
#[test]
fn upstreams_whose_calls_were_lost_with_their_paths_are_not_avoided() {
    let now = Instant::now();
    let mut planner = planner(now);
    submit_first(&mut planner, "a", 8, now);
    let calls = planner.dispatch(now);
    assert_eq!(calls.len(), 2);
    let later = now + ms(1_000);
    for call in &calls {
        planner.finish(call.id, Outcome::Lost, later);
    }
    assert!(planner.dispatch(later).is_empty());
    for call in &calls {
        planner.forget_failures(&call.upstream);
    }
    assert_eq!(planner.dispatch(later).len(), 2);
}
