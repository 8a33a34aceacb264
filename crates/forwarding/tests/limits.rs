//! Limits that hold over all instances, and the decisions of one instance by its own sends.

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

/// Expected time to the first byte of an answer.
const EXPECTED: Duration = Duration::from_millis(20);

/// Expected time to the first event.
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

    /// For any number of members, the sends of all together stay within the cold limit of an
    /// upstream, also while two members both act as the owner.
    #[test]
    fn cold_limits_hold_over_all_members(
        members in 1..80_usize,
        times in proptest::collection::vec((0..80_usize, 0..4_000_u64, proptest::bool::ANY), 0..900),
    ) {
        let limit = cold::RateLimit(24.5);
        let start = Instant::now();
        let windows = |count| (0..count).map(|_| cold::SendWindow::default()).collect();
        let mut member_windows: Vec<cold::SendWindow> = windows(members);
        let mut owner_windows: Vec<cold::SendWindow> = windows(2);
        let mut times = times;
        times.sort_by_key(|it| it.1);
        let mut sends = Vec::new();
        for (member, at, is_placed) in times {
            let now = start + ms(at);
            let share = limit.per_member(members, member % members);
            let (window, share) = match (share, limit.fallback_shares()) {
                (Some(share), _) => (&mut member_windows[member % members], share),
                (None, _) if is_placed => (&mut owner_windows[member % 2], limit.owner_share()),
                (None, (count, share)) => (&mut member_windows[member % count], share),
            };
            if window.allows(share, now) {
                window.record(now);
                sends.push(at);
            }
        }
        for (idx, at) in sends.iter().enumerate() {
            let within = sends[idx..].iter().take_while(|it| **it < at + 1_000);
            assert!(within.count() as f64 <= limit.0);
        }
    }

    /// For any number of members, the retries of all stay within the ratio and the constant.
    #[test]
    fn retry_budgets_hold_over_all_members(
        members in 1..80_usize,
        events in proptest::collection::vec((0..80_usize, proptest::bool::ANY), 0..2_000),
    ) {
        let limit = retry::BudgetLimit {
            ratio: 0.2,
            extra: 56.0,
            window: Duration::from_secs(10),
        };
        let start = Instant::now();
        let names: Vec<id::Instance> = (0..members)
            .map(|it| format!("n{it}").parse().expect("a name"))
            .collect();
        let settled_roster = |name: &id::Instance| {
            let mut roster = retry::Roster::new(name);
            roster.set_members(&names, true, start);
            for secs in 0..=15 {
                roster.confirm(start + Duration::from_secs(secs), limit.window);
            }
            roster
        };
        let rosters: Vec<retry::Roster> = names.iter().map(settled_roster).collect();
        let now = start + Duration::from_secs(15);
        let mut budgets: Vec<retry::Budget> =
            (0..members).map(|_| retry::Budget::new(limit)).collect();
        let mut requests = 0;
        let mut retries = 0;
        for (member, is_retry) in events {
            let budget = &mut budgets[member % members];
            if is_retry {
                let share = rosters[member % members].share(&limit, now);
                retries += u32::from(budget.try_take(share, now).is_some());
            } else {
                budget.record_request(now);
                requests += 1;
            }
        }
        assert!(f64::from(retries) <= limit.ratio * f64::from(requests) + limit.extra);
    }
}

#[test]
fn a_single_member_uses_most_of_the_cold_limit() {
    let mut window = cold::SendWindow::default();
    let now = Instant::now();
    let sent = (0..100).filter(|_| {
        let share = cold::RateLimit(24.5).per_member(1, 0).expect("one member");
        let is_allowed = window.allows(share, now);
        if is_allowed {
            window.record(now);
        }
        is_allowed
    });
    assert_eq!(sent.count(), 23);
}

/// Guards against a window that keeps fewer sends than the limit allows, so that a limit above 64
/// requests a second was none.
#[test]
fn a_large_cold_limit_holds() {
    let limit = cold::RateLimit(200.0);
    let mut window = cold::SendWindow::default();
    let now = Instant::now();
    let sent = (0..500).filter(|_| {
        let share = limit.per_member(1, 0).expect("one member");
        let is_allowed = window.allows(share, now);
        if is_allowed {
            window.record(now);
        }
        is_allowed
    });
    assert!(sent.count() <= 200);
}

#[test]
fn an_unsent_request_is_refused_as_not_run() {
    let pending = Pending::default();
    let failure = pending.into_failure(Cause::Full, ms(100));
    assert_eq!(failure.executed, Executed::No);
    assert_eq!(failure.retry_after, Some(ms(100)));
}

#[test]
fn a_request_that_no_upstream_ran_is_refused_as_not_run() {
    let pending = Pending::default().send().not_run();
    assert_eq!(
        pending.into_failure(Cause::Full, ms(1)).executed,
        Executed::No
    );
}

#[test]
fn a_request_with_a_lost_send_is_not_refused_as_not_run() {
    let lost = Pending::Unknown(Pending::default().send().outcome_unknown());
    let failure = lost.send().not_run().into_failure(Cause::Full, ms(1));
    assert_eq!(failure.executed, Executed::Unknown);
    assert_eq!(failure.retry_after, None);
}

#[test]
fn an_upstream_with_an_overdue_send_is_paused() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record_send(1, EXPECTED, ms(600), now);
    assert!(!health.is_paused(now + ms(500)));
    assert!(health.is_paused(now + ms(700)));
    health.record_first_byte(1, false, now + ms(800));
    assert!(!health.is_paused(now + ms(800)));
}

#[test]
fn the_backoff_of_an_unreachable_upstream_grows() {
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

fn check_first(modify: impl Fn(&mut Candidate<'_>)) {
    let names = ["a", "b", "c"].map(upstream);
    let unchanged: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&unchanged, EXPECTED, Some(1), 0)[0].clone();
    let mut changed = unchanged;
    for it in &mut changed {
        if *it.name == first {
            modify(it);
        }
    }
    assert_ne!(choice::order(&changed, EXPECTED, Some(1), 0)[0], &first);
}

macro_rules! passed_over {
    ($($name:ident: $modify:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_first($modify);
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
    an_upstream_in_another_zone_is_passed_over: |it| it.is_near = false;
}

/// Guards against an engine that is avoided for good after one long prompt, because it gets no
/// requests that would correct its latency ratio. It moved three in five sends of a prompt to
/// another engine than the send before (run trouble-2 of the site ccfao-fees-grown).
#[test]
fn an_old_latency_ratio_expires() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_send(1, ms(70), ms(2_000), now);
    health.record_first_byte(1, false, now + ms(700));
    let ratio = health
        .latency_ratio(now + ms(800))
        .expect("a recent answer");
    assert!((ratio - 10.0).abs() < 1e-9, "{ratio}");
    assert_eq!(health.latency_ratio(now + ms(3_700)), None);
}

#[test]
fn requests_with_one_prompt_go_to_one_engine() {
    let names = ["a", "b", "c", "d"].map(upstream);
    let candidates: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&candidates, EXPECTED, Some(7), 1)[0];
    let again = choice::order(&candidates, EXPECTED, Some(7), 2)[0];
    assert_eq!(first, again);
}

#[test]
fn a_failure_rate_common_to_all_changes_no_order() {
    let names = ["a", "b"].map(upstream);
    let mut candidates: Vec<Candidate<'_>> = names.iter().map(candidate).collect();
    let first = choice::order(&candidates, EXPECTED, Some(3), 0)[0].clone();
    candidates.iter_mut().for_each(|it| it.failure_rate = 0.4);
    assert_eq!(choice::order(&candidates, EXPECTED, Some(3), 0)[0], &first);
}

#[test]
fn the_owner_avoids_an_engine_with_an_overdue_request() {
    let engines = ["home", "other"].map(upstream);
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let first = balancer
        .place(&engines, FIRST_EVENT, |_| None, now)
        .expect("an engine");
    assert_eq!(first.engine, engines[0]);
    let second = balancer
        .place(&engines, FIRST_EVENT, |_| None, now + ms(600))
        .expect("an engine");
    assert_eq!(second.engine, engines[1]);
    balancer.record_first_event(&first, now + ms(700));
}

#[test]
fn the_owner_returns_to_an_engine_that_was_slow() {
    let engines = ["home", "other"].map(upstream);
    let mut balancer = EngineBalancer::default();
    let now = Instant::now();
    let ticket = balancer
        .place(&engines, FIRST_EVENT, |_| None, now)
        .expect("an engine");
    balancer.record_first_event(&ticket, now + ms(2_000));
    let soon = balancer
        .place(&engines, FIRST_EVENT, |_| None, now + ms(2_000))
        .expect("an engine");
    assert_eq!(soon.engine, engines[1]);
    let later = balancer
        .place(&engines, FIRST_EVENT, |_| None, now + ms(12_000))
        .expect("an engine");
    assert_eq!(later.engine, engines[0]);
}

/// Guards against moving prompts off an engine because it has processed long ones in the time that
/// such prompts take: each move processes thousands of tokens again (run quiet-1 of the site
/// flue-hearth).
#[test]
fn the_owner_keeps_prompts_at_an_engine_that_processes_long_ones() {
    let engines = ["home", "other"].map(upstream);
    let mut balancer = EngineBalancer::default();
    let mut now = Instant::now();
    for _ in 0..5 {
        let long = balancer.place(&engines, ms(1_100), |_| None, now);
        let long = long.expect("an engine");
        assert_eq!(long.engine, engines[0]);
        now += ms(1_100);
        balancer.record_first_event(&long, now);
    }
    let next = balancer.place(&engines, ms(30), |_| None, now);
    assert_eq!(next.expect("an engine").engine, engines[0]);
}

/// Whether a request that has been read at `now` and has `limit` left is accepted.
fn accepts(shutdown: &Shutdown, now: Instant, limit: Duration) -> bool {
    shutdown.accepts(now + limit, now)
}

/// Guards against accepting a long request late in the shutdown: one accepted 6 s after SIGTERM was
/// cut off when the process had to exit (run 56a4 of the site ccfao-fees, seed 817977185716).
#[test]
fn a_stopping_instance_rejects_requests_that_may_end_too_late() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(Duration::from_secs(8), now);
    let long = Duration::from_secs(15);
    assert!(accepts(&shutdown, now + ms(2_000), long));
    assert!(!accepts(&shutdown, now + ms(6_000), long));
    assert!(shutdown.answer_deadline() < shutdown.exit_deadline());
    assert!(shutdown.exit_deadline() < now + Duration::from_secs(8));
}

/// Guards against refusing short requests for seconds while streams keep the process alive: the
/// balancer still sends it clients if few instances of a zone are ready (run inc-94b0 of the site
/// flue-hearth).
#[test]
fn a_stopping_instance_accepts_requests_that_end_in_time() {
    let now = Instant::now();
    let shutdown = Shutdown::begin(Duration::from_secs(8), now);
    let plain = Duration::from_secs(1);
    assert!(accepts(&shutdown, now + ms(6_000), plain));
    assert!(!accepts(&shutdown, now + ms(6_500), plain));
    assert!(now + ms(6_000) + plain <= shutdown.answer_deadline());
}

/// Guards against interrupting a stream too early: one that began 1.8 s after SIGTERM was cut off
/// 6.5 s after it although the upstream was still working (run 1b01 of the site ccfao-fees, seed
/// 758036182331).
#[test]
fn a_stopping_instance_serves_into_the_last_sixth_of_its_time() {
    let now = Instant::now();
    let grace = Duration::from_secs(8);
    let shutdown = Shutdown::begin(grace, now);
    assert!(shutdown.answer_deadline() >= now + grace * 5 / 6);
}
