//! Limits that hold over all instances, and what one instance concludes from its own sends.

use std::time::Duration;

use base::Executed;
use base::id;
use forwarding::board::EngineBalancer;
use forwarding::choice;
use forwarding::choice::Candidate;
use forwarding::cold;
use forwarding::health::Health;
use forwarding::life::Cause;
use forwarding::life::Pending;
use forwarding::retry;
use forwarding::stop::Shutdown;
use proptest::proptest;
use tokio::time::Instant;

/// Usual time to an answer.
const USUAL: Duration = Duration::from_millis(20);

/// Usual time to a first event.
const FIRST_EVENT: Duration = Duration::from_millis(150);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(name: &str) -> id::Upstream {
    name.parse().expect("a name")
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        cases: 64,
        ..proptest::test_runner::Config::default()
    })]

    /// Whatever the number of members, all together stay below what a cold upstream bears, also
    /// while two members take themselves for the owner.
    #[test]
    fn cold_limits_hold_over_all_members(
        members in 1..80_usize,
        times in proptest::collection::vec((0..80_usize, 0..4_000_u64, proptest::bool::ANY), 0..900),
    ) {
        let bound = cold::RateLimit(24.5);
        let start = Instant::now();
        let gates = |count| (0..count).map(|_| cold::SendWindow::default()).collect();
        let mut own: Vec<cold::SendWindow> = gates(members);
        let mut owners: Vec<cold::SendWindow> = gates(2);
        let mut times = times;
        times.sort_by_key(|it| it.1);
        let mut sends = Vec::new();
        for (member, at, is_placed) in times {
            let now = start + ms(at);
            let (gate, share) = match (bound.per_member(members), bound.fallback_shares()) {
                (Some(share), _) => (&mut own[member % members], share),
                (None, _) if is_placed => (&mut owners[member % 2], bound.owner_share()),
                (None, (count, share)) => (&mut own[member % count], share),
            };
            if gate.allows(share, now) {
                gate.record(now);
                sends.push(at);
            }
        }
        for (idx, at) in sends.iter().enumerate() {
            let within = sends[idx..].iter().take_while(|it| **it < at + 1_000);
            assert!(within.count() as f64 <= bound.0);
        }
    }

    /// Whatever the number of members, repeats stay within the ratio and the constant.
    #[test]
    fn retry_budgets_hold_over_all_members(
        members in 1..80_usize,
        events in proptest::collection::vec((0..80_usize, proptest::bool::ANY), 0..2_000),
    ) {
        let bound = retry::BudgetLimit {
            ratio: 0.2,
            extra: 56.0,
            window: Duration::from_secs(10),
        };
        let now = Instant::now();
        let mut budgets: Vec<retry::Budget> =
            (0..members).map(|_| retry::Budget::new(bound)).collect();
        let mut requests = 0;
        let mut repeats = 0;
        for (member, is_repeat) in events {
            let budget = &mut budgets[member % members];
            if is_repeat {
                repeats += u32::from(budget.try_take(members, now));
            } else {
                budget.record_request(now);
                requests += 1;
            }
        }
        assert!(f64::from(repeats) <= bound.ratio * f64::from(requests) + bound.extra);
    }
}

#[test]
fn a_single_member_uses_most_of_the_cold_limit() {
    let mut gate = cold::SendWindow::default();
    let now = Instant::now();
    let sent = (0..100).filter(|_| {
        let share = cold::RateLimit(24.5).per_member(1).expect("one member");
        let is_open = gate.allows(share, now);
        if is_open {
            gate.record(now);
        }
        is_open
    });
    assert_eq!(sent.count(), 22);
}

#[test]
fn only_what_never_ran_is_refused() {
    let unsent = Pending::default();
    let failure = unsent.into_failure(Cause::Full, ms(100));
    assert_eq!(failure.executed, Executed::No);
    assert_eq!(failure.retry_after, Some(ms(100)));
}

#[test]
fn a_request_that_upstreams_refused_may_be_refused() {
    let pending = Pending::default().send().not_run();
    assert_eq!(
        pending.into_failure(Cause::Full, ms(1)).executed,
        Executed::No
    );
}

#[test]
fn a_lost_send_taints_a_later_refusal() {
    let lost = Pending::Unknown(Pending::default().send().outcome_unknown());
    let failure = lost.send().not_run().into_failure(Cause::Full, ms(1));
    assert_eq!(failure.executed, Executed::Unknown);
    assert_eq!(failure.retry_after, None);
}

#[test]
fn an_upstream_that_keeps_silent_is_paused() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record_send(1, USUAL, ms(600), now);
    assert!(!health.is_paused(now + ms(500)));
    assert!(health.is_paused(now + ms(700)));
    health.record_first_byte(1, false, now + ms(800));
    assert!(!health.is_paused(now + ms(800)));
}

#[test]
fn pauses_of_an_unreachable_upstream_grow() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record_connect_failure(now);
    assert!(!health.is_paused(now + ms(501)));
    health.record_connect_failure(now);
    assert!(health.is_paused(now + ms(999)));
    assert!(!health.is_paused(now + ms(1_001)));
}

fn candidate(name: &id::Upstream) -> Candidate<'_> {
    Candidate {
        name,
        is_near: true,
        is_paused: false,
        is_within_cold_limit: true,
        in_flight: 0,
        slots: 4,
        failure_rate: 0.0,
        latency_ratio: Some(1.0),
    }
}

fn check_first(change: impl Fn(&mut Candidate<'_>)) {
    let names = ["a", "b", "c"].map(upstream);
    let usual: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&usual, USUAL, Some(1), 0)[0].clone();
    let mut changed = usual;
    for it in &mut changed {
        if *it.name == first {
            change(it);
        }
    }
    assert_ne!(choice::order(&changed, USUAL, Some(1), 0)[0], &first);
}

macro_rules! passed_over {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_first($change);
            }
        )*
    };
}

passed_over! {
    a_paused_upstream_is_passed_over: |it| it.is_paused = true;
    a_full_engine_is_passed_over: |it| it.in_flight = 2;
    an_upstream_over_its_cold_limit_is_passed_over: |it| it.is_within_cold_limit = false;
    an_upstream_that_fails_more_than_others_is_passed_over: |it| it.failure_rate = 0.5;
    an_upstream_slower_than_others_is_passed_over: |it| it.latency_ratio = Some(15.0);
    an_upstream_elsewhere_is_passed_over: |it| it.is_near = false;
}

/// An engine that had read one long prompt was avoided for good: three sends in five of a prompt
/// went to another engine than the one before (ccfao-fees-grown trouble-2).
#[test]
fn an_old_answer_time_does_not_count() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_send(1, ms(70), ms(2_000), now);
    health.record_first_byte(1, false, now + ms(700));
    let pace = health
        .latency_ratio(now + ms(800))
        .expect("a recent answer");
    assert!((pace - 10.0).abs() < 1e-9, "{pace}");
    assert_eq!(health.latency_ratio(now + ms(3_700)), None);
}

#[test]
fn requests_with_one_prompt_go_to_one_engine() {
    let names = ["a", "b", "c", "d"].map(upstream);
    let candidates: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&candidates, USUAL, Some(7), 1)[0];
    let again = choice::order(&candidates, USUAL, Some(7), 2)[0];
    assert_eq!(first, again);
}

#[test]
fn a_failure_rate_that_all_share_excludes_nobody() {
    let names = ["a", "b"].map(upstream);
    let mut candidates: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&candidates, USUAL, Some(3), 0)[0].clone();
    candidates.iter_mut().for_each(|it| it.failure_rate = 0.4);
    assert_eq!(choice::order(&candidates, USUAL, Some(3), 0)[0], &first);
}

#[test]
fn the_owner_leaves_an_engine_that_has_turned_silent() {
    let engines = ["home", "other"].map(upstream);
    let mut board = EngineBalancer::default();
    let now = Instant::now();
    let first = board
        .place(&engines, FIRST_EVENT, |_| None, now)
        .expect("an engine");
    assert_eq!(first.engine, engines[0]);
    let second = board
        .place(&engines, FIRST_EVENT, |_| None, now + ms(600))
        .expect("an engine");
    assert_eq!(second.engine, engines[1]);
    board.record_first_event(&first, now + ms(700));
}

#[test]
fn the_owner_returns_to_an_engine_that_was_slow() {
    let engines = ["home", "other"].map(upstream);
    let mut board = EngineBalancer::default();
    let now = Instant::now();
    let ticket = board
        .place(&engines, FIRST_EVENT, |_| None, now)
        .expect("an engine");
    board.record_first_event(&ticket, now + ms(2_000));
    let soon = board
        .place(&engines, FIRST_EVENT, |_| None, now + ms(2_000))
        .expect("an engine");
    assert_eq!(soon.engine, engines[1]);
    let later = board
        .place(&engines, FIRST_EVENT, |_| None, now + ms(12_000))
        .expect("an engine");
    assert_eq!(later.engine, engines[0]);
}

/// Guards against prompts that move because their engine has read long ones in the time that such
/// prompts take: each move reads thousands of tokens again (flue-hearth, `quiet-1`).
#[test]
fn the_owner_keeps_prompts_at_an_engine_that_reads_long_ones() {
    let engines = ["home", "other"].map(upstream);
    let mut board = EngineBalancer::default();
    let mut now = Instant::now();
    for _ in 0..5 {
        let long = board.place(&engines, ms(1_100), |_| None, now);
        let long = long.expect("an engine");
        assert_eq!(long.engine, engines[0]);
        now += ms(1_100);
        board.record_first_event(&long, now);
    }
    let next = board.place(&engines, ms(30), |_| None, now);
    assert_eq!(next.expect("an engine").engine, engines[0]);
}

/// A request taken 6 s after a SIGTERM was cut when the process had to exit (hunt 56a4 of
/// ccfao-fees, seed 817977185716).
#[test]
fn a_stopping_instance_takes_nothing_that_it_could_not_finish() {
    let now = Instant::now();
    let stop = Shutdown::begin(Duration::from_secs(8), now);
    let long = Duration::from_secs(15);
    assert!(stop.accepts(long, now + ms(2_000)));
    assert!(!stop.accepts(long, now + ms(6_000)));
    assert!(stop.answer_deadline() < stop.exit_deadline());
    assert!(stop.exit_deadline() < now + Duration::from_secs(8));
}

/// Guards against plain requests that are refused for seconds, though streams keep the process
/// alive and the balancer sends it clients where few instances of a zone are ready (flue-hearth,
/// inc-94b0).
#[test]
fn a_stopping_instance_takes_what_ends_by_itself() {
    let now = Instant::now();
    let stop = Shutdown::begin(Duration::from_secs(8), now);
    let plain = Duration::from_secs(1);
    assert!(stop.accepts(plain, now + ms(6_000)));
    assert!(!stop.accepts(plain, now + ms(6_500)));
    assert!(now + ms(6_000) + plain <= stop.answer_deadline());
}

/// A stream that began 1.8 s after a SIGTERM was broken off 6.5 s after it, while the upstream was
/// at work (hunt 1b01 of ccfao-fees, seed 758036182331).
#[test]
fn a_stopping_instance_serves_into_the_last_sixth_of_its_time() {
    let now = Instant::now();
    let grace = Duration::from_secs(8);
    let stop = Shutdown::begin(grace, now);
    assert!(stop.answer_deadline() >= now + grace * 5 / 6);
}
