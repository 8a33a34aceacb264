//! Placement at engines by their slots and memory.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use forwarding::board::EngineBalancer;
use forwarding::board::Ticket;
use forwarding::engine_memory::Fit;
use forwarding::engine_memory::Need;
use forwarding::engine_memory::RUN_TIME_MAX;
use forwarding::engine_memory::Room;
use forwarding::engine_memory::TOKEN_TIME;
use tokio::time::Instant;

const ROOM: Room = Room {
    slots: 8,
    tokens: Some(100_000),
};
const USUAL: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(name: &str) -> id::Upstream {
    name.parse().expect("a valid name")
}

fn need(prompt_tokens: u64, output_tokens: u64) -> Need {
    Need {
        prompt_tokens,
        output_tokens,
    }
}

fn place(balancer: &mut EngineBalancer, names: &[&str], need: Need, now: Instant) -> Ticket {
    let engines: Vec<id::Upstream> = names.iter().map(|it| upstream(it)).collect();
    let ticket = balancer.place_within(&engines, USUAL, need, |_| Some(ROOM), |_| None, now);
    ticket.expect("an engine")
}

/// Answers: the largest tenth of the prompts come together, and an engine that holds the shared
/// part of all of them gets more than its memory.
#[test]
fn long_prompts_that_come_together_exceed_no_memory() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let mut held: BTreeMap<id::Upstream, u64> = BTreeMap::new();
    for idx in 0..30 {
        let need = if idx % 10 < 3 {
            need(40_000, 500)
        } else {
            need(3_000, 200)
        };
        let ticket = place(&mut balancer, &["home", "b", "c", "d", "e"], need, now);
        if ticket.fit <= Fit::NoSlot {
            *held.entry(ticket.engine).or_default() += need.tokens();
        }
    }
    println!("{held:?}");
    let memory = ROOM.tokens.expect("a limit");
    assert!(held.values().all(|it| *it <= memory), "{held:?}");
    assert_eq!(held.values().sum::<u64>(), 9 * 40_500 + 21 * 3_200);
}

/// Answers: an engine that is nearly full crashes on one more long prompt while another has room.
#[test]
fn a_nearly_full_engine_gets_only_what_fits() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    assert_eq!(
        place(&mut balancer, &["home"], need(90_000, 1_000), now).fit,
        Fit::Free
    );
    let long = place(&mut balancer, &["home", "other"], need(20_000, 1_000), now);
    assert_eq!((long.engine.as_str(), long.fit), ("other", Fit::Free));
    let mut later = now;
    for _ in 0..20 {
        // Even if it answers much more slowly than the full one.
        later += ms(100);
        let long = place(
            &mut balancer,
            &["home", "other"],
            need(20_000, 1_000),
            later,
        );
        assert_eq!(long.engine.as_str(), "other");
        balancer.record_first_event(&long, later);
        later += RUN_TIME_MAX;
    }
    let short = place(&mut balancer, &["home"], need(1_000, 100), later);
    assert_eq!(short.fit, Fit::Free);
}

/// Answers: a request that fits nowhere makes the fullest engine preempt most.
#[test]
fn the_least_overfull_engine_is_chosen_if_none_has_room() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    place(&mut balancer, &["home"], need(90_000, 0), now);
    place(&mut balancer, &["other"], need(60_000, 0), now);
    let ticket = place(&mut balancer, &["home", "other"], need(50_000, 0), now);
    assert_eq!(ticket.engine.as_str(), "other");
    assert_eq!(ticket.fit, Fit::Overfull(10_000));
}

/// Answers: requests wait for a slot at the engine that caches their prompt while others idle.
#[test]
fn an_engine_with_a_free_slot_is_preferred() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let short = need(100, 1_000);
    for _ in 0..ROOM.slots {
        let ticket = place(&mut balancer, &["home"], short, now);
        balancer.record_first_event(&ticket, now + ms(100));
    }
    let during = now + ms(200);
    assert_eq!(
        place(&mut balancer, &["home", "other"], short, during)
            .engine
            .as_str(),
        "other"
    );
    assert_eq!(
        place(&mut balancer, &["home"], short, during).fit,
        Fit::NoSlot
    );
}

/// Answers: an engine counts as full after its requests have ended.
#[test]
fn a_request_counts_until_its_estimated_end() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let large = need(80_000, 400);
    let first = place(&mut balancer, &["home", "other"], large, now);
    assert_eq!(first.engine.as_str(), "home");
    balancer.record_first_event(&first, now + ms(100));
    let end = now + ms(100) + TOKEN_TIME * 400;
    let before = place(
        &mut balancer,
        &["home", "other"],
        need(50_000, 0),
        end - ms(1),
    );
    assert_eq!(before.engine.as_str(), "other");
    balancer.record_first_event(&before, end);
    let after = place(&mut balancer, &["home", "other"], large, end);
    assert_eq!(after.engine.as_str(), "home");
}

/// Answers: a client that states an absurd length keeps an engine full for ever.
#[test]
fn stated_lengths_neither_overflow_nor_count_for_ever() {
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let absurd = need(u64::MAX, u64::MAX);
    let ticket = place(&mut balancer, &["home"], absurd, now);
    assert_eq!(ticket.fit, Fit::Overfull(u64::MAX - 100_000));
    balancer.record_first_event(&ticket, now + ms(50));
    let later = now + ms(50) + RUN_TIME_MAX;
    assert_eq!(
        place(&mut balancer, &["home"], need(90_000, 0), later).fit,
        Fit::Free
    );
}

/// Answers: memory changes where requests run although all of them fit.
#[test]
fn in_calm_the_placement_is_the_same() {
    let now = Instant::now();
    let mut before = EngineBalancer::default();
    let mut after = EngineBalancer::default();
    let engines = ["home", "b", "c"].map(upstream);
    for idx in 0..100_u64 {
        let at = now + ms(idx * 70);
        let plain = before
            .place(&engines, USUAL, |_| None, at)
            .expect("an engine");
        let fitting = place(&mut after, &["home", "b", "c"], need(8_000, 60), at);
        assert_eq!(plain.engine, fitting.engine);
        before.record_first_event(&plain, at + ms(60 + idx % 7 * 20));
        after.record_first_event(&fitting, at + ms(60 + idx % 7 * 20));
    }
}
