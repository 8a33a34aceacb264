//! When refused clients return, and the turn that they keep.

use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use stages::Call;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::Planner;
use stages::Refusal;
use stages::Replica;
use stages::Step;
use stages::returns::Refused;
use stages::returns::Returns;
use stages::returns::TURNS_MAX;
use tokio::time::Instant;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn refused(fingerprint: u64, priority: u8, now: Instant) -> Refused {
    Refused {
        fingerprint: id::Fingerprint(fingerprint),
        priority,
        sort_time: now,
        deadline: now + ms(6_000),
        drain: ms(500),
    }
}

/// A planner's returns after it has served 100 requests per second for ten seconds.
fn busy(start: Instant) -> (Returns, Instant) {
    let mut returns = Returns::default();
    for idx in 0..1_000 {
        returns.record_served(start + ms(idx * 10));
    }
    (returns, start + ms(10_000))
}

/// Answers: 200 clients that are refused within 100 ms return in one second.
#[test]
fn a_cohort_returns_at_the_rate_that_is_served() {
    let (mut returns, now) = busy(Instant::now());
    let mut times = Vec::new();
    for idx in 0..200 {
        let at = now + ms(idx / 2);
        times.push(at + returns.refuse(refused(idx, 1, at), at) - now);
    }
    println!("from {:?} to {:?}", times[0], times[199]);
    assert!(times[0] >= ms(500), "none before the queue has drained");
    for tenth in 0..100 {
        let from = ms(tenth * 100);
        let count = times
            .iter()
            .filter(|it| **it >= from && **it < from + ms(100));
        // Twice what is served in that time.
        assert!(count.count() <= 20, "{tenth}: {times:?}");
    }
}

/// Answers: many less urgent clients are refused before a more urgent one, and put it off.
#[test]
fn a_more_urgent_client_is_not_put_off_by_less_urgent_ones() {
    let (mut returns, now) = busy(Instant::now());
    for idx in 0..200 {
        let _ = returns.refuse(refused(idx, 2, now), now);
    }
    assert_eq!(returns.refuse(refused(300, 0, now), now), ms(500));
    assert!(returns.refuse(refused(301, 2, now), now) >= ms(2_000));
}

/// Answers: a single refusal is told another time than before.
#[test]
fn a_single_client_returns_when_the_queue_has_drained() {
    let now = Instant::now();
    let mut returns = Returns::default();
    assert_eq!(returns.refuse(refused(1, 1, now), now), ms(500));
    let later = now + ms(2_000);
    assert_eq!(returns.refuse(refused(2, 1, later), later), ms(500));
}

/// Answers: clients that repeat at once take the turns of those that wait, and a turn is used twice.
#[test]
fn a_turn_is_kept_for_the_client_that_returns_in_time() {
    let now = Instant::now();
    let mut returns = Returns::default();
    let wait = returns.refuse(refused(1, 1, now), now);
    let turn = id::Fingerprint(1);
    assert_eq!(returns.take_turn(turn, 1, now + ms(10)), None, "too early");
    assert_eq!(returns.take_turn(turn, 1, now + wait), Some(now));
    assert_eq!(returns.take_turn(turn, 1, now + wait), None, "used");
    let wait = returns.refuse(refused(1, 1, now), now);
    assert_eq!(returns.take_turn(turn, 0, now + wait), None, "another rank");
    let wait = returns.refuse(refused(1, 1, now), now);
    assert_eq!(
        returns.take_turn(turn, 1, now + wait + ms(5_000)),
        None,
        "too late"
    );
}

/// Answers: refusals in a flood fill the memory of an owner.
#[test]
fn turns_are_bounded_and_expire() {
    let now = Instant::now();
    let mut returns = Returns::default();
    for idx in 0..2 * TURNS_MAX as u64 {
        let _ = returns.refuse(refused(idx, 1, now), now);
    }
    assert_eq!(returns.turn_count(), TURNS_MAX);
    let later = now + ms(20_000);
    let _ = returns.refuse(refused(9_999, 1, later), later);
    assert_eq!(returns.turn_count(), 1);
}

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    batch_max: 1,
    call_overhead: Duration::from_millis(500),
    piece_time: Duration::from_millis(0),
    result_capacity: 1_000_000,
    result_ttl: Duration::from_secs(4),
};

fn plan(fingerprint: u64, now: Instant) -> Plan {
    Plan {
        request: fingerprint.to_string(),
        fingerprint: id::Fingerprint(fingerprint),
        key: "key".to_owned(),
        zone: None,
        priority: 1,
        workspace: None,
        soft_deadline: now + ms(4_000),
        deadline: now + ms(5_000),
        time_after_steps: ms(10),
        steps: vec![Step {
            number: 0,
            service: "press".parse().expect("a valid name"),
            after: Vec::new(),
            pieces: 1,
            result_bytes: 10,
        }],
    }
}

fn finish(planner: &mut Planner, call: &Call, now: Instant) {
    let handles = call.items.iter().map(|it| Ok(Handle(it.request.clone())));
    planner.finish(call.id, Outcome::Done(handles.collect()), now);
}

/// Answers: a client that was refused and returns as told is refused again, as later ones of the
/// same rank are before it.
#[test]
fn a_returning_client_goes_ahead_of_later_ones() {
    let now = Instant::now();
    let mut planner = Planner::new();
    let replica = Replica {
        name: "p1".parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        started_ms: 1,
        is_usable: true,
    };
    let service: id::Service = "press".parse().expect("a valid name");
    planner.configure(&service, LIMITS, vec![replica], now);
    let refusal = (0..20).find_map(|it| planner.submit(plan(it, now), now).err().zip(Some(it)));
    let Some((Refusal::TooLate(wait), fingerprint)) = refusal else {
        panic!("{refusal:?}");
    };
    println!("{fingerprint} is told {wait:?}");
    // It accepts 30% of its time, and returns then.
    let returns_at = now + ms(1_500);
    let newer = 100;
    let mut order = Vec::new();
    let mut running: Option<(Instant, Call)> = None;
    for tick in 0..80 {
        let time = now + ms(tick * 100);
        if let Some((_, call)) = running.take_if(|it| it.0 <= time) {
            finish(&mut planner, &call, time);
        }
        if time == returns_at {
            planner.submit(plan(newer, time), time).expect("room");
            planner.submit(plan(fingerprint, time), time).expect("room");
        }
        for call in planner.dispatch(time) {
            order.extend(call.items.iter().map(|it| it.fingerprint.0));
            running = Some((time + LIMITS.call_overhead, call));
        }
    }
    println!("{order:?}");
    let place = |it: u64| order.iter().position(|other| *other == it);
    let returned = place(fingerprint).expect("the client that returned is served");
    assert!(place(newer).is_none_or(|it| returned < it), "{order:?}");
}
