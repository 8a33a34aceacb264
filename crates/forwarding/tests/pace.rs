//! Detection of slow and unresponsive engines that serve requests of different kinds.

use std::time::Duration;

use base::id;
use forwarding::choice;
use forwarding::choice::Candidate;
use forwarding::health::Health;
use forwarding::pace::LatencyModel;
use forwarding::pace::PromptSize;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Latency goal of questions, whose prompts of 800 tokens are answered in about 30 ms.
const QUESTION_GOAL: Duration = Duration::from_millis(2_500);
/// Latency goal of reports, whose prompts of 12,000 tokens are answered in 50 ms to 1.1 s.
const REPORT_GOAL: Duration = Duration::from_millis(1_700);

/// A prompt of ordinary size.
const SIZE: PromptSize = PromptSize::from_tokens(700);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Draws a prompt size and the time to the first event, modelled on a day without faults at the
/// site flue-hearth: the sizes are long-tailed, and the time follows the size within a factor of
/// two.
fn draw(random: &mut SmallRng, is_report: bool) -> (PromptSize, Duration) {
    let tail = 0.4 + 0.6 / (1.0 - random.random::<f64>() * 0.9);
    let tokens = tail * if is_report { 9_000.0 } else { 700.0 };
    let factor = 2.0_f64.powf(random.random_range(-1.0..1.0));
    let took = (20.0 + tokens / 50.0) * factor;
    (PromptSize::from_tokens(tokens as u64), ms(took as u64))
}

struct Traffic {
    model: LatencyModel,
    random: SmallRng,
    /// Requests that timed out although their answer came.
    timed_out: usize,
}

impl Traffic {
    fn new(seed: u64) -> Traffic {
        Traffic {
            model: LatencyModel::default(),
            random: SmallRng::seed_from_u64(seed),
            timed_out: 0,
        }
    }

    fn send(&mut self, health: &mut Health, send: u64, now: Instant) -> Instant {
        let is_report = send.is_multiple_of(5);
        let (route, goal) = match is_report {
            true => ("report", REPORT_GOAL),
            false => ("question", QUESTION_GOAL),
        };
        let (size, took) = draw(&mut self.random, is_report);
        let timeout = self.model.first_byte_timeout(route, size, goal);
        let expected = self.model.expected(route, size).unwrap_or(goal / 2);
        health.record_send(send, expected, timeout, now);
        self.timed_out += usize::from(took > timeout);
        let answered = now + took;
        assert!(!health.is_paused(answered) || took > timeout);
        health.record_first_byte(send, false, answered);
        health.record_end(send);
        self.model.record_sample(route, size, took);
        answered
    }
}

/// Guards against long prompts that time out because the expected time averages over all kinds of
/// requests. One prompt in five is long, as in an hour of one instance's share of the traffic.
#[test]
fn long_prompts_among_short_ones_do_not_time_out() {
    let mut traffic = Traffic::new(17);
    let mut health = Health::default();
    let mut now = Instant::now();
    for send in 0..10_000 {
        now = traffic.send(&mut health, send, now);
    }
    assert_eq!(traffic.timed_out, 0);
}

/// Guards against avoiding an engine as slow only because it has processed the long prompts; its
/// cached prompts would have to be processed again elsewhere.
#[test]
fn an_engine_with_long_prompts_is_not_avoided() {
    let mut model = LatencyModel::default();
    let mut now = Instant::now();
    let names = ["a", "b", "c"].map(|it| it.parse::<id::Upstream>().expect("a name"));
    let mut healths = [Health::default(), Health::default(), Health::default()];
    for send in 0..60 {
        let idx = (send % 3) as usize;
        let (route, took) = if idx == 0 {
            ("report", ms(200))
        } else {
            ("question", ms(30))
        };
        let expected = model.expected(route, SIZE).unwrap_or(took);
        healths[idx].record_send(send, expected, ms(2_000), now);
        healths[idx].record_first_byte(send, false, now + took);
        model.record_sample(route, SIZE, took);
        now += took;
    }
    let candidates: Vec<Candidate<'_>> = names
        .iter()
        .zip(&healths)
        .map(|(name, it)| Candidate {
            name,
            is_near: true,
            is_paused: it.is_paused(now),
            is_within_cold_limit: true,
            in_flight: 0,
            slots: 64,
            failure_rate: it.failure_rate(now),
            latency_ratio: it.latency_ratio(now),
        })
        .collect();
    for prompt in 0..64 {
        let measured = choice::order(&candidates[..], ms(200), Some(prompt), 0);
        let unmeasured: Vec<Candidate<'_>> = candidates
            .iter()
            .map(|it| Candidate {
                latency_ratio: None,
                ..it.clone()
            })
            .collect();
        assert_eq!(
            measured,
            choice::order(&unmeasured, ms(200), Some(prompt), 0)
        );
    }
}

/// Guards against an unresponsive engine that goes unnoticed: it must be detected within the
/// latency goal once the routes have expected times.
#[test]
fn an_unresponsive_engine_is_detected_within_the_goal() {
    let mut traffic = Traffic::new(18);
    let mut health = Health::default();
    let mut now = Instant::now();
    for send in 0..500 {
        now = traffic.send(&mut health, send, now);
    }
    for (route, goal) in [("report", REPORT_GOAL), ("question", QUESTION_GOAL)] {
        let timeout = traffic.model.first_byte_timeout(route, SIZE, goal);
        assert!(timeout <= goal, "{route}: {timeout:?}");
        let mut health = Health::default();
        health.record_send(1, ms(30), timeout, now);
        assert!(health.is_paused(now + goal + ms(1)));
    }
}

/// Guards against one slow upstream that raises the expected time for all.
#[test]
fn a_few_slow_answers_do_not_raise_the_expected_time() {
    let mut model = LatencyModel::default();
    for _ in 0..50 {
        model.record_sample("question", SIZE, ms(30));
    }
    for _ in 0..3 {
        model.record_sample("question", SIZE, ms(5_000));
    }
    let expected = model.expected("question", SIZE).expect("a time");
    assert!(expected < ms(100), "{expected:?}");
}

/// Guards against timing out the longest prompts of a route although they take no longer per token
/// than the others.
#[test]
fn the_timeout_grows_with_the_prompt() {
    let mut model = LatencyModel::default();
    for _ in 0..50 {
        model.record_sample("report", PromptSize::from_tokens(9_000), ms(150));
    }
    // 54,000 tokens, read at the same rate.
    let long = PromptSize::from_tokens(54_000);
    assert!(model.first_byte_timeout("report", long, REPORT_GOAL) > ms(2 * 860));
    assert_eq!(
        model.first_byte_timeout("report", SIZE, REPORT_GOAL),
        REPORT_GOAL / 2
    );
}

/// Guards against a duration overflow by the prompt size, which the client states.
#[test]
fn an_oversized_prompt_does_not_overflow_the_timeout() {
    let mut model = LatencyModel::default();
    let oversized = PromptSize::from_tokens(u64::MAX);
    model.record_sample("report", SIZE, ms(5_000));
    model.record_sample("report", oversized, ms(1));
    let timeout = model.first_byte_timeout("report", oversized, REPORT_GOAL);
    assert!(Instant::now().checked_add(timeout).is_some(), "{timeout:?}");
    let mut health = Health::default();
    health.record_send(1, timeout, timeout, Instant::now());
}

/// Guards against unbounded growth: samples kept for the routes of all past configurations.
#[test]
fn the_number_of_routes_is_bounded() {
    let mut model = LatencyModel::default();
    for route in 0..10_000 {
        model.record_sample(&format!("r-{route}"), SIZE, ms(30));
    }
    let known = (0..10_000).filter(|it| model.expected(&format!("r-{it}"), SIZE).is_some());
    assert!(known.count() <= 256);
    assert!(model.expected("r-9999", SIZE).is_some());
}
