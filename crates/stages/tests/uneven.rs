//! Placement of calls on upstreams that share their machines.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::BatchLimits;
use stages::Call;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::Planner;
use stages::Replica;
use stages::Step;
use stages::speed::Percent;
use tokio::time::Instant;

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    batch_max: 10,
    call_overhead: Duration::from_millis(200),
    piece_time: Duration::from_millis(10),
    result_capacity: 1_000_000,
    result_ttl: Duration::from_secs(4),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(number: usize) -> id::Upstream {
    format!("u{number}").parse().expect("a valid name")
}

fn service() -> id::Service {
    "steps".parse().expect("a valid name")
}

fn planner(upstreams: usize, now: Instant) -> Planner {
    let mut planner = Planner::new();
    let replicas = (0..upstreams).map(|number| Replica {
        name: name(number),
        zone: "a".parse().expect("a valid name"),
        started_ms: 1,
        is_usable: true,
    });
    planner.configure(&service(), LIMITS, replicas.collect(), now);
    planner
}

fn submit(planner: &mut Planner, request: &str, pieces: usize, now: Instant) {
    let step = Step {
        number: 0,
        service: service(),
        after: Vec::new(),
        pieces,
        result_bytes: 10,
    };
    let plan = Plan {
        request: request.to_owned(),
        fingerprint: id::Fingerprint(hash::hash_strs([request])),
        key: "key".to_owned(),
        zone: None,
        priority: 1,
        workspace: None,
        soft_deadline: now + ms(2_000),
        deadline: now + ms(6_000),
        time_after_steps: ms(100),
        steps: vec![step],
    };
    planner.submit(plan, now).expect("accepted");
}

fn done(call: &Call) -> Outcome {
    let handles = call.items.iter();
    let handles = handles.map(|it| Ok(Handle(format!("{}/{}", call.upstream, it.request))));
    Outcome::Done(handles.collect())
}

fn percent(figure: u64) -> Percent {
    Percent::new(figure).expect("a speed")
}

/// Load: one in seven slow for 600 ms. While it says so it gets no call that another can take, and a
/// smaller batch if it is the only one; when the news is stale it is served like the others.
#[test]
fn an_upstream_in_a_spell_is_chosen_last_and_gets_a_smaller_batch() {
    let now = Instant::now();
    for slow in 0..7 {
        let mut planner = planner(7, now);
        planner.record_speed(&name(slow), percent(250), now);
        for request in 0..7 {
            submit(&mut planner, &format!("r{request}"), 10, now);
        }
        let calls = planner.dispatch(now);
        let (last, others) = calls.split_last().expect("calls");
        assert_eq!((others.len(), &last.upstream), (6, &name(slow)));
        assert!(others.iter().all(|it| it.items.len() == 10));
        assert_eq!(last.items.len(), 4);
        let later = now + ms(700);
        let mut planner = self::planner(1, now);
        planner.record_speed(&name(0), percent(250), now);
        submit(&mut planner, "r", 10, later);
        assert!(planner.dispatch(later)[0].items.len() >= 9);
    }
}

/// Load: a spell that begins as a call of an upstream starts, after others told of theirs. The call
/// isn't given up, and one that no spell explains still is.
#[test]
fn a_call_that_a_spell_prolongs_does_not_time_out() {
    let now = Instant::now();
    let mut planner = planner(2, now);
    planner.record_speed(&name(0), percent(250), now);
    submit(&mut planner, "r", 1, now);
    let call = planner.dispatch(now).pop().expect("a call");
    assert_eq!(call.upstream, name(1));
    // Pieces of some steps take half as long again.
    assert!(call.timeout >= ms(210).mul_f64(2.5 * 1.5));
    assert!(call.timeout < ms(210) * 5);
}

/// Load: upstreams without the figure, one of which was slow once. It's used again as soon as a spell
/// is over, while the others are busy.
#[test]
fn an_upstream_that_was_slow_once_is_used_after_the_spell() {
    let now = Instant::now();
    let mut planner = planner(2, now);
    submit(&mut planner, "a", 1, now);
    let call = planner.dispatch(now).pop().expect("a call");
    let end = now + ms(210).mul_f64(2.5);
    planner.finish(call.id, done(&call), end);
    let later = end + ms(600);
    submit(&mut planner, "b", 10, later);
    submit(&mut planner, "c", 10, later);
    let calls = planner.dispatch(later);
    assert_eq!(calls.len(), 2);
    assert!(calls.iter().any(|it| it.upstream == call.upstream));
}

/// Load: stale figures read by 60 owners at once. Upstreams that are equally fast get about equally
/// many of their calls, and the slow one none.
#[test]
fn owners_with_the_same_news_do_not_choose_the_same_upstream() {
    let now = Instant::now();
    let mut counts: BTreeMap<id::Upstream, usize> = BTreeMap::new();
    for owner in 0..60 {
        let mut planner = planner(7, now);
        for number in 0..7 {
            let figure = if number == 3 { 250 } else { 100 };
            planner.record_speed(&name(number), percent(figure), now);
        }
        submit(&mut planner, &format!("r{owner}"), 1, now + ms(100));
        for call in planner.dispatch(now + ms(100)) {
            *counts.entry(call.upstream).or_default() += 1;
        }
    }
    assert_eq!(counts.get(&name(3)), None, "{counts:?}");
    assert_eq!(counts.len(), 6, "{counts:?}");
    // Ten each, if the calls were dealt out.
    assert!(counts.values().all(|it| *it <= 20), "{counts:?}");
}
