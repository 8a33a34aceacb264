//! What is taken for slow or silent where requests of different kinds share upstreams.

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

/// Goal of questions, whose prompts of 800 tokens are answered in about 30 ms.
const QUESTION_GOAL: Duration = Duration::from_millis(2_500);
/// Goal of reports, whose prompts of 12,000 tokens are answered in 50 ms to 1.1 s.
const REPORT_GOAL: Duration = Duration::from_millis(1_700);

/// A prompt of ordinary size.
const SIZE: PromptSize = PromptSize::from_tokens(700);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Size of a prompt and time to its first event, as a calm day of flue-hearth has them: sizes have
/// a long tail, and the time follows the size with a factor of two either way.
fn draw(random: &mut SmallRng, is_report: bool) -> (PromptSize, Duration) {
    let tail = 0.4 + 0.6 / (1.0 - random.random::<f64>() * 0.9);
    let tokens = tail * if is_report { 9_000.0 } else { 700.0 };
    let factor = 2.0_f64.powf(random.random_range(-1.0..1.0));
    let took = (20.0 + tokens / 50.0) * factor;
    (PromptSize::from_tokens(tokens as u64), ms(took as u64))
}

struct Traffic {
    pace: LatencyModel,
    random: SmallRng,
    /// Requests that were taken for unanswered though their answer came.
    cut: usize,
}

impl Traffic {
    fn new(seed: u64) -> Traffic {
        Traffic {
            pace: LatencyModel::default(),
            random: SmallRng::seed_from_u64(seed),
            cut: 0,
        }
    }

    fn send(&mut self, health: &mut Health, send: u64, now: Instant) -> Instant {
        let is_report = send.is_multiple_of(5);
        let (route, goal) = match is_report {
            true => ("report", REPORT_GOAL),
            false => ("question", QUESTION_GOAL),
        };
        let (size, took) = draw(&mut self.random, is_report);
        let silence = self.pace.first_byte_timeout(route, size, goal);
        let usual = self.pace.expected(route, size).unwrap_or(goal / 2);
        health.record_send(send, usual, silence, now);
        self.cut += usize::from(took > silence);
        let answered = now + took;
        assert!(!health.is_paused(answered) || took > silence);
        health.record_first_byte(send, false, answered);
        health.record_end(send);
        self.pace.record_sample(route, size, took);
        answered
    }
}

/// Guards against an engine whose average of all kinds makes each long prompt a silence. The
/// pattern: four short prompts for each long one, for an hour of an instance's share.
#[test]
fn long_prompts_among_short_ones_are_not_cut() {
    let mut traffic = Traffic::new(17);
    let mut health = Health::default();
    let mut now = Instant::now();
    for send in 0..10_000 {
        now = traffic.send(&mut health, send, now);
    }
    assert_eq!(traffic.cut, 0);
}

/// Guards against an engine that is avoided, and its prompts read again elsewhere, because it
/// happens to have read the long ones.
#[test]
fn an_engine_with_the_long_prompts_is_not_avoided() {
    let mut pace = LatencyModel::default();
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
        let usual = pace.expected(route, SIZE).unwrap_or(took);
        healths[idx].record_send(send, usual, ms(2_000), now);
        healths[idx].record_first_byte(send, false, now + took);
        pace.record_sample(route, SIZE, took);
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
        let sound = choice::order(&candidates[..], ms(200), Some(prompt), 0);
        let fresh: Vec<Candidate<'_>> = candidates
            .iter()
            .map(|it| Candidate {
                latency_ratio: None,
                ..it.clone()
            })
            .collect();
        assert_eq!(sound, choice::order(&fresh, ms(200), Some(prompt), 0));
    }
}

/// Guards against a silence that stays unnoticed: an engine that has fallen silent is found within
/// its users' goals, as soon as kinds of requests have usual times.
#[test]
fn a_silent_engine_is_found_within_the_goal() {
    let mut traffic = Traffic::new(18);
    let mut health = Health::default();
    let mut now = Instant::now();
    for send in 0..500 {
        now = traffic.send(&mut health, send, now);
    }
    for (route, goal) in [("report", REPORT_GOAL), ("question", QUESTION_GOAL)] {
        let silence = traffic.pace.first_byte_timeout(route, SIZE, goal);
        assert!(silence <= goal, "{route}: {silence:?}");
        let mut health = Health::default();
        health.record_send(1, ms(30), silence, now);
        assert!(health.is_paused(now + goal + ms(1)));
    }
}

/// Guards against one slow upstream whose times become the usual ones.
#[test]
fn a_few_slow_answers_do_not_become_usual() {
    let mut pace = LatencyModel::default();
    for _ in 0..50 {
        pace.record_sample("question", SIZE, ms(30));
    }
    for _ in 0..3 {
        pace.record_sample("question", SIZE, ms(5_000));
    }
    let usual = pace.expected("question", SIZE).expect("a time");
    assert!(usual < ms(100), "{usual:?}");
}

/// Guards against the longest prompts of a kind, which are taken for a silence though they take no
/// longer for each token than the others.
#[test]
fn silence_grows_with_the_prompt() {
    let mut pace = LatencyModel::default();
    for _ in 0..50 {
        pace.record_sample("report", PromptSize::from_tokens(9_000), ms(150));
    }
    // 54,000 tokens, read at the same rate.
    let long = PromptSize::from_tokens(54_000);
    assert!(pace.first_byte_timeout("report", long, REPORT_GOAL) > ms(2 * 860));
    assert_eq!(
        pace.first_byte_timeout("report", SIZE, REPORT_GOAL),
        REPORT_GOAL / 2
    );
}

/// Guards against a prompt whose size, which its client states, overflows a time.
#[test]
fn an_absurd_size_has_a_time() {
    let mut pace = LatencyModel::default();
    let absurd = PromptSize::from_tokens(u64::MAX);
    pace.record_sample("report", SIZE, ms(5_000));
    pace.record_sample("report", absurd, ms(1));
    let silence = pace.first_byte_timeout("report", absurd, REPORT_GOAL);
    assert!(Instant::now().checked_add(silence).is_some(), "{silence:?}");
    let mut health = Health::default();
    health.record_send(1, silence, silence, Instant::now());
}

/// Guards against times that are kept for routes of all configurations there ever were.
#[test]
fn times_of_many_routes_are_bounded() {
    let mut pace = LatencyModel::default();
    for route in 0..10_000 {
        pace.record_sample(&format!("r-{route}"), SIZE, ms(30));
    }
    let known = (0..10_000).filter(|it| pace.expected(&format!("r-{it}"), SIZE).is_some());
    assert!(known.count() <= 256);
    assert!(pace.expected("r-9999", SIZE).is_some());
}
