//! Fair parts of workspaces: the order of waiting work of several workspaces, and its admission.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use stages::Call;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Replica;
use stages::SchedulingPolicy;
use stages::Step;
use stages::fairness;
use stages::fairness::Demand;
use stages::fairness::Ledger;
use tokio::time::Instant;

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    batch_max: 10,
    call_overhead: Duration::from_millis(50),
    piece_time: Duration::from_millis(5),
    result_capacity: 1_000_000,
    result_ttl: Duration::from_secs(4),
};
/// Pieces that the two upstreams run per second: 10 in 100 ms each.
const CAPACITY: usize = 200;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn workspace(name: &str) -> id::Workspace {
    name.parse().expect("a valid name")
}

fn service() -> id::Service {
    "press".parse().expect("a valid name")
}

/// Requests of one piece that a workspace sends per second, in equal intervals.
struct Sender {
    name: &'static str,
    rate: usize,
    priority: u8,
    /// Whether each refused request is sent again at once, and again.
    repeats: bool,
}

const fn sender(name: &'static str, rate: usize) -> Sender {
    Sender {
        name,
        rate,
        priority: 1,
        repeats: false,
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    sent: usize,
    on_time: usize,
}

impl Tally {
    fn share(self) -> f64 {
        self.on_time as f64 / self.sent as f64
    }
}

fn request(id: usize, sender: &Sender, now: Instant) -> Plan {
    Plan {
        request: id.to_string(),
        fingerprint: id::Fingerprint(id as u64),
        key: "key".to_owned(),
        zone: None,
        priority: sender.priority,
        workspace: Some(workspace(sender.name)),
        soft_deadline: now + ms(1_000),
        deadline: now + ms(4_000),
        time_after_steps: ms(10),
        steps: vec![Step {
            number: 0,
            service: service(),
            after: Vec::new(),
            pieces: 1,
            result_bytes: 10,
        }],
    }
}

fn all_done(call: &Call) -> Outcome {
    let handles = call.items.iter();
    let handles = handles.map(|it| Ok(Handle(format!("{}/{}", call.upstream, it.request))));
    Outcome::Done(handles.collect())
}

/// Plays 20 seconds in steps of 5 ms; returns the requests of each workspace, those of the first
/// five seconds left out.
fn play(policy: SchedulingPolicy, senders: &[Sender]) -> BTreeMap<&'static str, Tally> {
    let start = Instant::now();
    let mut planner = Planner::with_policy(policy);
    let replicas = ["p1", "p2"].map(|it| Replica {
        name: it.parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        started_ms: 1,
        is_usable: true,
    });
    planner.configure(&service(), LIMITS, replicas.into(), start);
    let mut tallies: BTreeMap<&'static str, Tally> = BTreeMap::new();
    let mut plans: BTreeMap<PlanId, (usize, Instant)> = BTreeMap::new();
    let mut calls: Vec<(Instant, Call)> = Vec::new();
    let mut sent = 0;
    for tick in 0..4_000_usize {
        let now = start + ms(5 * tick as u64);
        let is_counted = tick >= 1_000;
        let (done, running) = calls.into_iter().partition(|it| it.0 <= now);
        calls = running;
        let done: Vec<(Instant, Call)> = done;
        for (_, call) in done {
            planner.finish(call.id, all_done(&call), now);
        }
        let mut arrivals = Vec::new();
        for (idx, sender) in senders.iter().enumerate() {
            let due = (tick + 1) * sender.rate / 200 - tick * sender.rate / 200;
            arrivals.extend(std::iter::repeat_n(idx, due));
        }
        for (id, result) in planner.take_ended() {
            let Some((idx, arrived)) = plans.remove(&id) else {
                continue;
            };
            let sender = &senders[idx];
            if result.is_ok() {
                planner.release(id);
                let is_on_time = now + ms(10) <= arrived + ms(1_000);
                tallies.entry(sender.name).or_default().on_time +=
                    usize::from(is_counted && is_on_time);
            } else if sender.repeats {
                arrivals.extend([idx; 2]);
            }
        }
        for idx in arrivals {
            sent += 1;
            tallies.entry(senders[idx].name).or_default().sent += usize::from(is_counted);
            if let Ok(id) = planner.submit(request(sent, &senders[idx], now), now) {
                plans.insert(id, (idx, now));
            }
        }
        for call in planner.dispatch(now) {
            let time = LIMITS.call_overhead + LIMITS.piece_time * call.items.len() as u32;
            calls.push((now + time, call));
        }
        planner.take_unused_results();
    }
    tallies
}

/// Answers: one workspace sends ten times its part, and takes the room of all others.
#[test]
fn a_workspace_at_ten_times_its_part_leaves_the_others_theirs() {
    let senders = [
        sender("large", CAPACITY * 2),
        sender("b", CAPACITY / 5),
        sender("c", CAPACITY / 5),
        sender("d", CAPACITY / 5),
        sender("e", CAPACITY / 10),
    ];
    let before = play(SchedulingPolicy::Unshared, &senders);
    let after = play(SchedulingPolicy::Urgency, &senders);
    println!("before {before:?}\nafter {after:?}");
    for name in ["b", "c", "d", "e"] {
        assert!(before[name].share() < 0.9, "the load is no contention");
        assert!(after[name].share() >= 0.99, "{name}: {:?}", after[name]);
    }
    // What the others leave is lent: 0.3 of the capacity, nine tenths of which is in full batches.
    let lent = after["large"].on_time as f64 / (CAPACITY as f64 * 15.0);
    assert!(lent >= 0.3 * 0.9, "{lent}");
}

/// Answers: a single busy workspace is held to its part while others are idle.
#[test]
fn the_unused_part_is_lent() {
    let senders = [sender("busy", CAPACITY * 2), sender("quiet", 2)];
    let before = play(SchedulingPolicy::Unshared, &senders);
    let after = play(SchedulingPolicy::Urgency, &senders);
    println!("before {before:?}\nafter {after:?}");
    assert!(after["quiet"].share() >= 0.99);
    let busy = |tallies: &BTreeMap<&str, Tally>| tallies["busy"].on_time as f64;
    assert!(busy(&after) >= 0.95 * busy(&before));
}

/// Answers: clients of one workspace repeat at once and often what was refused.
#[test]
fn a_workspace_that_repeats_pays_from_its_own_part() {
    let repeating = Sender {
        repeats: true,
        ..sender("repeating", CAPACITY)
    };
    let senders = [
        repeating,
        sender("b", CAPACITY / 4),
        sender("c", CAPACITY / 4),
    ];
    let after = play(SchedulingPolicy::Urgency, &senders);
    println!("after {after:?}");
    assert!(
        after["repeating"].sent > CAPACITY * 15,
        "nothing is repeated"
    );
    for name in ["b", "c"] {
        assert!(after[name].share() >= 0.99, "{name}: {:?}", after[name]);
    }
}

/// Answers: work within its part goes before more urgent work of a workspace that exceeds its own.
#[test]
fn a_less_urgent_request_never_goes_before_a_more_urgent_one() {
    let urgent = Sender {
        priority: 0,
        ..sender("urgent", CAPACITY * 3 / 4)
    };
    let senders = [urgent, sender("b", CAPACITY / 2), sender("c", CAPACITY / 2)];
    let before = play(SchedulingPolicy::Unshared, &senders);
    let after = play(SchedulingPolicy::Urgency, &senders);
    println!("before {before:?}\nafter {after:?}");
    assert!(after["urgent"].share() >= 0.99);
}

/// Answers: fair parts change which request is served in calm.
#[test]
fn in_calm_all_calls_are_the_same() {
    let senders = [sender("a", CAPACITY / 2), sender("b", CAPACITY / 10)];
    let before = play(SchedulingPolicy::Unshared, &senders);
    let after = play(SchedulingPolicy::Urgency, &senders);
    assert_eq!(before, after);
    assert!(after.values().all(|it| it.on_time + 200 >= it.sent));
}

/// Answers: requests of many made-up workspaces fill the memory of an owner.
#[test]
fn accounts_are_bounded_and_dropped_when_idle() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for idx in 0..fairness::ACCOUNTS_MAX * 4 {
        ledger.charge(0, Some(&workspace(&format!("w{idx}"))), 8, now);
    }
    assert!(ledger.usage(now).len() <= fairness::ACCOUNTS_MAX + 1);
    let later = now + ms(60_000);
    let names = [workspace("a"), workspace("b")];
    let demands = names.each_ref().map(|it| Demand {
        is_late: false,
        priority: 0,
        workspace: Some(it),
        pieces: 20,
    });
    assert!(ledger.tags(&demands, 10, later).is_some());
    assert!(ledger.usage(later).is_empty());
}

/// Answers: the backlog of one workspace lets the requests of others be refused at the entry.
#[test]
fn the_backlog_of_another_workspace_is_not_ahead() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let names = [workspace("large"), workspace("small")];
    let pieces = [990, 10];
    let demands = names.iter().zip(pieces).map(|(name, pieces)| Demand {
        is_late: false,
        priority: 1,
        workspace: Some(name),
        pieces,
    });
    let demands: Vec<Demand<'_>> = demands.collect();
    assert!(ledger.tags(&demands, 10, now).is_some());
    let small = ledger.part_ahead(1, Some(&names[1]), 10);
    assert!((small - 0.03).abs() < 1e-9, "{small}");
    let large = ledger.part_ahead(1, Some(&names[0]), 10);
    assert!((large - 1.0).abs() < 1e-9, "{large}");
    let parts = ["small", "absent", "large"].map(workspace);
    let parts = parts.map(|it| ledger.queue_part(1, Some(&it)));
    let expected = [0.02, 0.02, 1.0];
    let differs = |(part, expected): (f64, f64)| (part - expected).abs() > 1e-9;
    assert!(!parts.into_iter().zip(expected).any(differs), "{parts:?}");
    assert!((ledger.queue_part(0, Some(&names[1])) - 1.0).abs() < 1e-9);
}
