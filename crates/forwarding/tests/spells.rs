//! Upstreams and engines that share their machines: one in seven is 2.5 times slower for 600 ms, then
//! another. A spell is no fault, as it ends before anything that is done about it takes effect.

use std::time::Duration;

use base::id;
use forwarding::board::EngineBalancer;
use forwarding::choice;
use forwarding::choice::Candidate;
use forwarding::health::Health;
use forwarding::pace::LatencyModel;
use forwarding::pace::PromptSize;
use tokio::time::Instant;

const SIZE: PromptSize = PromptSize::from_tokens(500);
const GOAL: Duration = Duration::from_millis(150);
const USUAL: Duration = Duration::from_millis(30);
const UPSTREAMS: usize = 7;
const SPELL_MS: u64 = 600;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Load: one in seven slow for 600 ms, seen by an instance that sends to each of them 50 times a
/// second. No upstream is paused and none is avoided, though all answers of a spell are slow.
#[test]
fn a_plain_upstream_in_a_spell_is_neither_paused_nor_avoided() {
    let names: Vec<id::Upstream> = (0..UPSTREAMS)
        .map(|it| format!("u{it}").parse().expect("a name"))
        .collect();
    let mut healths: Vec<Health> = names.iter().map(|_| Health::default()).collect();
    let mut model = LatencyModel::default();
    let start = Instant::now();
    for round in 0..1_500_u64 {
        let time = round * 20;
        let now = start + ms(time);
        // Without a spell at first: the expected time is learnt from answers.
        let slow = (time / SPELL_MS)
            .checked_sub(1)
            .map(|it| it as usize % UPSTREAMS);
        for (idx, health) in healths.iter_mut().enumerate() {
            let factor = if Some(idx) == slow { 2.5 } else { 1.0 };
            let took = USUAL.mul_f64(factor);
            let expected = model.expected("read", SIZE).unwrap_or(USUAL);
            let timeout = model.first_byte_timeout("read", SIZE, GOAL);
            health.record_send(round, expected, timeout, now);
            assert!(!health.is_paused(now + took));
            health.record_first_byte(round, false, now + took);
            health.record_end(round);
            model.record_sample("read", SIZE, took);
        }
        let now = now + USUAL.mul_f64(2.5);
        let candidates = names.iter().zip(&healths).map(|(name, it)| Candidate {
            name,
            is_near: true,
            is_paused: it.is_paused(now),
            is_within_cold_limit: true,
            in_flight: 0,
            slots: 6,
            failure_rate: it.failure_rate(now),
            latency_ratio: it.latency_ratio(now),
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let unmeasured: Vec<Candidate<'_>> = candidates
            .iter()
            .map(|it| Candidate {
                latency_ratio: None,
                ..it.clone()
            })
            .collect();
        assert_eq!(
            choice::order(&candidates, USUAL, None, round),
            choice::order(&unmeasured, USUAL, None, round),
            "at {time} ms"
        );
    }
}

/// Load: an engine in a spell, with prompts that take 200 ms. They stay where they are cached during
/// the spell, or come back as it ends: elsewhere thousands of tokens are read again.
#[test]
fn prompts_stay_at_an_engine_in_a_spell() {
    let engines = ["home", "other"].map(|it| it.parse::<id::Upstream>().expect("a name"));
    let mut balancer = EngineBalancer::default();
    let start = Instant::now();
    for round in 0..40_u64 {
        let now = start + ms(round * 200);
        let is_spell = (round * 200) % 4_000 < SPELL_MS;
        let ticket = balancer.place(&engines, ms(200), |_| None, now);
        let ticket = ticket.expect("an engine");
        assert_eq!(ticket.engine, engines[0], "round {round}");
        let took = if is_spell { ms(500) } else { ms(200) };
        // Requests overlap in a spell; the answer is recorded before the next is placed.
        balancer.record_first_event(&ticket, now + took);
    }
}
