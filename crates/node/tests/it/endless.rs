//! Upstreams with endless responses: the node closes the connection after a bounded number of bytes
//! and answers the client at once.

use std::time::Duration;
use std::time::Instant;

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Most bytes of one response that an upstream can send: those that the node buffers, and those in
/// the socket buffers.
const RECEIVED_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// Longest time to the client's response, well below the deadline of two seconds.
const RESPONSE_TIME_MAX: Duration = Duration::from_millis(1_000);

/// Headers of a request with steps.
const DRAFT_HEADERS: [&str; 3] = [
    "x-prompt-prefix: a:2000,b:3000,c:100",
    "x-chunks: 2",
    "x-chunk-key: k",
];

struct Case {
    service: &'static str,
    target: &'static str,
    headers: &'static [&'static str],
    fault: Fault,
    /// Number of upstreams of the service that have the fault.
    faulty_upstreams: usize,
    status: u16,
    runs: usize,
}

/// Bytes received of each endless response whose connection was closed.
fn endless_bytes(fixture: &Fixture) -> Vec<u64> {
    let upstreams = fixture.site.upstreams.iter();
    upstreams.flat_map(|it| it.0.endless_bytes()).collect()
}

async fn check(case: Case) {
    let fixture = Fixture::start(1).await;
    let is_of_service = |it: &&(_, String, _)| it.1 == case.service;
    for upstream in fixture
        .site
        .upstreams
        .iter()
        .filter(is_of_service)
        .take(case.faulty_upstreams)
    {
        upstream.0.set_fault(case.fault, None);
    }
    let start = Instant::now();
    let response = fixture.send(case.target, "r1", case.headers).await;
    assert!(start.elapsed() < RESPONSE_TIME_MAX, "{:?}", start.elapsed());
    assert_eq!(response.status, case.status, "{}", response.head);
    assert_eq!(fixture.runs("r1").len(), case.runs);
    let is_closed = || async { !endless_bytes(&fixture).is_empty() };
    eventually("a closed connection", Duration::from_secs(2), is_closed).await;
    for received in endless_bytes(&fixture) {
        assert!(received <= RECEIVED_BYTES_MAX, "{received} bytes received");
    }
    // Later requests are served, and no byte of the endless response reaches them.
    fixture.set_fault(case.service, Fault::None, None);
    let next = fixture.send("GET /read/next", "r2", &[]).await;
    let body = fixture.expected_body("ledger", "r2");
    assert_eq!((next.status, next.body), (200, body));
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $service:literal $target:literal $headers:expr,
        $fault:ident x $faulty_upstreams:literal => $status:literal, $runs:literal;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check(Case {
                    service: $service,
                    target: $target,
                    headers: $headers,
                    fault: Fault::$fault,
                    faulty_upstreams: $faulty_upstreams,
                    status: $status,
                    runs: $runs,
                })
                .await;
            }
        )*
    };
}

cases! {
    /// Guards against collecting headers without a limit.
    a_payment_with_an_endless_head_fails: "ledger" "POST /post/1" &[], EndlessHead x 2 => 502, 1;
    /// Guards against reading interim (1xx) responses until the deadline.
    a_payment_with_endless_interim_answers_fails:
        "ledger" "POST /post/1" &[], EndlessInterim x 2 => 502, 1;
    /// Guards against searching an unlimited number of bytes for the start of a response.
    a_payment_with_endless_noise_fails: "ledger" "POST /post/1" &[], EndlessNoise x 2 => 502, 1;
    /// Guards against buffering a body until memory runs out.
    a_payment_with_an_endless_body_fails: "ledger" "POST /post/1" &[], EndlessBody x 2 => 502, 1;
    /// Guards against buffering a body without a length until memory runs out.
    a_payment_with_an_unframed_endless_body_fails:
        "ledger" "POST /post/1" &[], EndlessUnframed x 2 => 502, 1;
    /// Guards against collecting trailers without a limit.
    a_payment_with_endless_trailers_fails:
        "ledger" "POST /post/1" &[], EndlessTrailers x 2 => 502, 1;
    /// Guards against reading the extension of a chunk without a limit.
    a_payment_with_an_endless_chunk_extension_fails:
        "ledger" "POST /post/1" &[], EndlessExtension x 2 => 502, 1;
    /// Guards against reading trailers or the extension of a chunk of a stream without a limit.
    a_stream_with_endless_trailers_fails:
        "engine" "POST /draft/1" &DRAFT_HEADERS, EndlessTrailers x 2 => 502, 1;
    a_stream_with_an_endless_chunk_extension_fails:
        "engine" "POST /draft/1" &DRAFT_HEADERS, EndlessExtension x 2 => 502, 1;
    /// Guards against reading trailers of a step call without a limit.
    a_step_call_with_endless_trailers_does_not_fail_the_request:
        "steps" "POST /draft/1" &DRAFT_HEADERS, EndlessTrailers x 1 => 200, 1;
    /// Guards against reading the body of a refusal until the deadline before another upstream is
    /// tried.
    a_payment_with_an_endless_refusal_runs_elsewhere:
        "ledger" "POST /post/1" &[], EndlessRefusal x 1 => 200, 1;
    /// Guards against buffering an event until memory runs out.
    a_stream_with_an_endless_event_fails:
        "engine" "POST /draft/1" &DRAFT_HEADERS, EndlessBody x 2 => 502, 1;
    /// Guards against failing a stream that may be retried on another engine.
    a_resumable_stream_with_an_endless_event_is_retried_elsewhere:
        "engine" "POST /summary/1" &["x-prompt-prefix: a:3,b:2,c:1"], EndlessBody x 2 => 502, 2;
    /// Guards against buffering the response to a step call until memory runs out.
    a_step_call_with_an_endless_body_does_not_fail_the_request:
        "steps" "POST /draft/1" &DRAFT_HEADERS, EndlessBody x 1 => 200, 1;
    /// Guards against reading the head of a response to a step call without a limit.
    a_step_call_with_an_endless_head_does_not_fail_the_request:
        "steps" "POST /draft/1" &DRAFT_HEADERS, EndlessHead x 1 => 200, 1;
}
