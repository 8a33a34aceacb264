//! Upstreams whose answers have no end: the connection is closed after a bounded number of bytes,
//! and the client is told the truth at once.

use std::time::Duration;
use std::time::Instant;

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Bytes of one answer that a node may take: what it holds of one, and what the sockets hold.
const TAKEN_MAX: u64 = 16 * 1024 * 1024;
/// The client is told at once, not at its deadline of two seconds.
const ANSWER_MAX: Duration = Duration::from_millis(1_000);

const DRAFT: [&str; 3] = [
    "x-prompt-prefix: a:2000,b:3000,c:100",
    "x-chunks: 2",
    "x-chunk-key: k",
];

struct Case {
    service: &'static str,
    target: &'static str,
    headers: &'static [&'static str],
    fault: Fault,
    /// Upstreams of the service whose answers have no end.
    faulty: usize,
    status: u16,
    runs: usize,
}

fn floods(fixture: &Fixture) -> Vec<u64> {
    let upstreams = fixture.site.upstreams.iter();
    upstreams.flat_map(|it| it.0.endless_bytes()).collect()
}

async fn check(case: Case) {
    let fixture = Fixture::start(1).await;
    let of_service = |it: &&(_, String, _)| it.1 == case.service;
    for upstream in fixture
        .site
        .upstreams
        .iter()
        .filter(of_service)
        .take(case.faulty)
    {
        upstream.0.set_fault(case.fault, None);
    }
    let began = Instant::now();
    let answer = fixture.ask(case.target, "r1", case.headers).await;
    assert!(began.elapsed() < ANSWER_MAX, "{:?}", began.elapsed());
    assert_eq!(answer.status, case.status, "{}", answer.head);
    assert_eq!(fixture.runs("r1").len(), case.runs);
    let is_closed = || async { !floods(&fixture).is_empty() };
    eventually("a closed connection", Duration::from_secs(2), is_closed).await;
    for taken in floods(&fixture) {
        assert!(taken <= TAKEN_MAX, "{taken} bytes taken");
    }
    // The service serves others, and no byte of the flood reaches them.
    fixture.set_fault(case.service, Fault::None, None);
    let next = fixture.ask("GET /read/next", "r2", &[]).await;
    let body = fixture.body("ledger", "r2");
    assert_eq!((next.status, next.body), (200, body));
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $service:literal $target:literal $headers:expr,
        $fault:ident x $faulty:literal => $status:literal, $runs:literal;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check(Case {
                    service: $service,
                    target: $target,
                    headers: $headers,
                    fault: Fault::$fault,
                    faulty: $faulty,
                    status: $status,
                    runs: $runs,
                })
                .await;
            }
        )*
    };
}

cases! {
    /// Guards against headers that are collected for as long as they come.
    a_payment_with_an_endless_head_fails: "ledger" "POST /post/1" &[], EndlessHead x 2 => 502, 1;
    /// Guards against a node that reads interim answers until the deadline.
    a_payment_with_endless_interim_answers_fails:
        "ledger" "POST /post/1" &[], EndlessInterim x 2 => 502, 1;
    /// Guards against bytes that are searched for an answer for as long as they come.
    a_payment_with_endless_noise_fails: "ledger" "POST /post/1" &[], EndlessNoise x 2 => 502, 1;
    /// Guards against a body that is held until memory runs out.
    a_payment_with_an_endless_body_fails: "ledger" "POST /post/1" &[], EndlessBody x 2 => 502, 1;
    /// Guards against a body without a length that is held until memory runs out.
    a_payment_with_an_unframed_endless_body_fails:
        "ledger" "POST /post/1" &[], EndlessUnframed x 2 => 502, 1;
    /// Guards against a refusal whose body is read until the deadline before another upstream is
    /// tried.
    a_payment_with_an_endless_refusal_runs_elsewhere:
        "ledger" "POST /post/1" &[], EndlessRefusal x 1 => 200, 1;
    /// Guards against an event that is held until memory runs out.
    a_stream_with_an_endless_event_fails: "engine" "POST /draft/1" &DRAFT, EndlessBody x 2 => 502, 1;
    /// Guards against a stream that is lost though another engine may run it.
    a_repeatable_stream_with_an_endless_event_runs_elsewhere:
        "engine" "POST /summary/1" &["x-prompt-prefix: a:3,b:2,c:1"], EndlessBody x 2 => 502, 2;
    /// Guards against answers to calls of steps that are held until memory runs out.
    a_step_with_an_endless_body_fails: "steps" "POST /draft/1" &DRAFT, EndlessBody x 1 => 200, 1;
    /// Guards against heads of answers to calls of steps that have no end.
    a_step_with_an_endless_head_fails: "steps" "POST /draft/1" &DRAFT, EndlessHead x 1 => 200, 1;
}
