//! Prints how many pieces a planner handles per second of processor time while plans wait.
//!
//! `cargo run --release -p stages --example backlog`

use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::Planner;
use stages::Replica;
use stages::Step;
use tokio::time::Instant;

const LIMITS: BatchLimits = BatchLimits {
    call_overhead: Duration::from_millis(200),
    piece_time: Duration::from_millis(10),
    batch_max: 16,
    slots: 1,
    result_capacity: 1_000_000_000,
    result_ttl: Duration::from_secs(30),
};
const UPSTREAMS: usize = 20;
const EVENTS: usize = 2_000;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("a valid name")
}

fn plan(number: usize, now: Instant) -> Plan {
    let step = |number, service, after: &[usize]| Step {
        number,
        service: name(service),
        after: after.to_vec(),
        pieces: 4,
        result_bytes: 1_000,
    };
    Plan {
        request: number.to_string(),
        fingerprint: id::Fingerprint(number as u64),
        key: "key".to_owned(),
        zone: None,
        priority: (number % 3) as u8,
        workspace: None,
        soft_deadline: now + Duration::from_secs(100_000),
        deadline: now + Duration::from_secs(200_000),
        time_after_steps: Duration::from_millis(100),
        steps: vec![step(0, "first", &[]), step(1, "second", &[0])],
    }
}

fn run(backlog: usize) {
    let mut now = Instant::now();
    let mut planner = Planner::new();
    for service in ["first", "second"] {
        let replicas = (0..UPSTREAMS).map(|it| Replica {
            name: name(&format!("{service}-{it}")),
            zone: name("a"),
            started_ms: 1,
            is_usable: true,
        });
        planner.configure(&name(service), LIMITS, replicas.collect(), now);
    }
    for number in 0..backlog {
        planner.submit(plan(number, now), now).expect("accepted");
    }
    let mut calls = std::collections::VecDeque::from(planner.dispatch(now));
    let mut pieces = 0;
    let started = std::time::Instant::now();
    for number in 0..EVENTS {
        now += Duration::from_millis(1);
        // A plan, and the outcome of a call for every second plan: eight pieces need half a call.
        let submitted = planner.submit(plan(backlog + number, now), now);
        submitted.expect("accepted");
        calls.extend(planner.dispatch(now));
        if number % 2 == 0
            && let Some(call) = calls.pop_front()
        {
            pieces += call.items.len();
            let handles = call.items.iter().map(|it| {
                let handle = format!("{}-{}-{}", it.request, it.step, it.piece);
                Ok(Handle(handle))
            });
            planner.finish(call.id, Outcome::Done(handles.collect()), now);
            calls.extend(planner.dispatch(now));
        }
        for (id, _) in planner.take_ended() {
            planner.release(id);
        }
        planner.take_unused_results();
        std::hint::black_box(planner.next_wakeup(now));
        std::hint::black_box(planner.waiting_pieces());
    }
    let elapsed = started.elapsed();
    println!(
        "backlog of {backlog} plans: {:.0} pieces/s, {:.1} us an event",
        pieces as f64 / elapsed.as_secs_f64(),
        elapsed.as_secs_f64() * 1e6 / EVENTS as f64
    );
}

fn main() {
    for backlog in [50, 500, 5_000] {
        run(backlog);
    }
}
