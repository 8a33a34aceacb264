//! Plain requests at upstreams with various faults: the client gets the complete response or an
//! error, and the request runs no more often than its route allows.

use std::collections::BTreeSet;
use std::time::Duration;

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;

struct Case {
    target: &'static str,
    fault: Fault,
    /// Requests at each upstream that meet the fault; `None` for all.
    count: Option<u32>,
    status: u16,
    runs: usize,
}

async fn check(case: Case) {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", case.fault, case.count);
    let response = fixture.send(case.target, "r1", &[]).await;
    assert_eq!(response.status, case.status, "{}", response.head);
    assert_eq!(fixture.runs("r1").len(), case.runs);
    if case.status == 200 {
        assert_eq!(response.body, fixture.expected_body("ledger", "r1"));
        assert!(response.is_complete);
    }
    // Bytes that the fault left on a connection must not reach a later request.
    fixture.set_fault("ledger", Fault::None, None);
    let next = fixture.send("GET /read/next", "r2", &[]).await;
    assert_eq!(
        (next.status, next.body),
        (200, fixture.expected_body("ledger", "r2"))
    );
}

macro_rules! cases {
    ($($name:ident: $target:expr, $fault:ident x $count:expr => $status:expr, $runs:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                check(Case {
                    target: $target,
                    fault: Fault::$fault,
                    count: $count,
                    status: $status,
                    runs: $runs,
                })
                .await;
            }
        )*
    };
}

cases! {
    a_read_is_answered: "GET /read/1", None x None => 200, 1;
    a_payment_is_answered: "POST /post/1", None x None => 200, 1;
    a_payment_with_a_lost_answer_runs_once: "POST /post/1", AnswerLost x None => 502, 1;
    a_payment_with_a_cut_answer_runs_once: "POST /post/1", CutAnswer x None => 502, 1;
    a_payment_with_the_answer_to_another_request_runs_once:
        "POST /post/1", ForeignAnswer x None => 502, 1;
    a_payment_with_an_unsigned_answer_fails: "POST /post/1", Unsigned x None => 502, 1;
    a_signed_failure_is_passed_on: "POST /post/1", Error x None => 500, 1;
    a_payment_that_one_upstream_refused_runs_at_the_other: "POST /post/1", Full x Some(1) => 200, 1;
    a_payment_that_all_refuse_has_not_run: "POST /post/1", Full x None => 503, 0;
    a_payment_at_the_address_of_another_upstream_has_not_run:
        "POST /post/1", Misdirected x None => 503, 0;
    a_payment_without_an_answer_times_out: "POST /post/1", Silent x None => 504, 1;
    a_second_answer_is_dropped: "POST /post/1", ExtraAnswer x None => 200, 1;
    an_answer_without_a_length_is_complete: "POST /post/1", Unframed x None => 200, 1;
    a_read_with_a_lost_answer_is_retried_once: "GET /read/1", AnswerLost x None => 502, 2;
    a_failure_of_a_read_at_all_upstreams_is_passed_on: "GET /read/1", Error x None => 500, 2;
}

#[tokio::test]
async fn a_read_that_one_upstream_fails_is_answered_by_the_other() {
    let fixture = Fixture::start(1).await;
    fixture.site.upstreams[0]
        .0
        .set_fault(Fault::AnswerLost, None);
    for request in 0..6 {
        let id = format!("r{request}");
        let response = fixture.send("GET /read/1", &id, &[]).await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn a_read_without_an_answer_is_retried_elsewhere() {
    let fixture = Fixture::start(1).await;
    fixture.site.upstreams[0].0.set_fault(Fault::Silent, None);
    for request in 0..4 {
        let id = format!("r{request}");
        let response = fixture.send("GET /read/1", &id, &[]).await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn a_refusal_has_a_retry_after_header() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", Fault::Full, None);
    let response = fixture.send("POST /post/1", "r1", &[]).await;
    let line = response
        .head
        .lines()
        .find_map(|it| it.strip_prefix("retry-after: "));
    let seconds: f64 = line
        .expect("a retry-after header")
        .parse()
        .expect("seconds");
    assert!(
        seconds > 0.0 && seconds <= 1.0,
        "at most a third of the time that the client has left"
    );
}

#[tokio::test]
async fn a_request_keeps_its_path_and_loses_reserved_headers() {
    let fixture = Fixture::start(1).await;
    let target = "GET /read/a%2e%2e/./b//c";
    let extra_headers = [
        "x-tenant: other",
        "x-expect-replica: i-9",
        "x-kv-hold: 1",
        "x-request-priority: 0",
        "x-own: kept",
        "connection: x-hop",
        "x-hop: dropped",
    ];
    let response = fixture.send(target, "r1", &extra_headers).await;
    assert_eq!(response.status, 200);
    let run = &fixture.runs("r1")[0];
    assert_eq!(run.target, target);
    let header = |name: &str| run.headers.get(name).map(String::as_str);
    assert_eq!(header("x-tenant"), Some("office"));
    assert_eq!(header("x-own"), Some("kept"));
    for name in ["authorization", "x-kv-hold", "x-request-priority", "x-hop"] {
        assert_eq!(header(name), None, "{name}");
    }
    let left: u64 = header("x-deadline-ms")
        .and_then(|it| it.parse().ok())
        .expect("the remaining time");
    assert!(left <= 2_000, "the route allows less time than the client");
}

/// Guards against a late copy of the answer to an earlier request on the same connection: it
/// arrives where the answer to the next request is expected.
#[tokio::test]
async fn a_late_copy_is_not_passed_to_another_request() {
    let fixture = Fixture::start(1).await;
    for request in 0..8 {
        let id = format!("s{request}");
        assert_eq!(fixture.send("GET /read/1", &id, &[]).await.status, 200);
    }
    fixture.set_fault("ledger", Fault::LateCopy, None);
    for request in 0..8 {
        let id = format!("p{request}");
        let response = fixture.send("POST /post/1", &id, &[]).await;
        assert_eq!((response.status, fixture.runs(&id).len()), (502, 1));
    }
    fixture.set_fault("ledger", Fault::None, None);
    let response = fixture.send("GET /read/1", "r", &[]).await;
    assert_eq!(
        (response.status, response.body),
        (200, fixture.expected_body("ledger", "r"))
    );
}

/// Sends requests that each upstream rejects before it runs them.
async fn check_refused_twice(fault: Fault) {
    let fixture = Fixture::start(1).await;
    for request in 0..8 {
        let id = format!("s{request}");
        assert_eq!(fixture.send("GET /read/1", &id, &[]).await.status, 200);
    }
    fixture.set_fault("ledger", fault, None);
    for request in 0..8 {
        let id = format!("p{request}");
        let response = fixture.send("POST /post/1", &id, &[]).await;
        let runs = fixture.runs(&id).len();
        assert!(runs <= 1, "{runs} runs, {}", response.head);
        assert!(response.status != 503 || runs == 0, "{}", response.head);
    }
}

/// Guards against a copy of a rejection that arrives where the answer to the next send of the same
/// request is expected: the request would be reported as not run, or run at another upstream.
#[tokio::test]
async fn a_late_copy_of_a_refusal_is_not_taken_for_the_next_answer() {
    check_refused_twice(Fault::StaleRefusal).await;
}

/// Guards against a copy of a rejection that waits on the connection when the request is sent again.
#[tokio::test]
async fn a_second_refusal_is_not_taken_for_the_next_answer() {
    check_refused_twice(Fault::ExtraRefusal).await;
}

/// Guards against a copy of the rejection of an earlier request that arrives where the answer to
/// another one is expected.
#[tokio::test]
async fn a_refusal_of_another_request_does_not_say_that_this_one_has_not_run() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", Fault::Full, None);
    assert_eq!(fixture.send("POST /post/1", "r0", &[]).await.status, 503);
    fixture.set_fault("ledger", Fault::LateRefusal, None);
    for request in 0..8 {
        let id = format!("p{request}");
        let response = fixture.send("POST /post/1", &id, &[]).await;
        assert_eq!((response.status, fixture.runs(&id).len()), (502, 1));
    }
}

/// Guards against a late copy of the answer to an earlier step call, which names no request: a
/// request would be given the step results of another one.
#[tokio::test]
async fn a_late_copy_of_step_results_is_not_passed_to_another_request() {
    let fixture = Fixture::start(1).await;
    let mut results = BTreeSet::new();
    for request in 0..12 {
        if request == 4 {
            fixture.set_fault("steps", Fault::LateCopy, Some(4));
        }
        let id = format!("d{request}");
        let headers = ["x-chunks: 2", "x-chunk-key: k"];
        let response = fixture.send("POST /draft/1", &id, &headers).await;
        assert_eq!(response.status, 200, "{}", response.head);
        let run = &fixture.runs(&id)[0];
        let inputs = run.headers.get("x-inputs").expect("step results");
        for result in inputs.split(',') {
            assert!(results.insert(result.to_owned()), "{id} was given {result}");
        }
    }
}

/// Guards against a late copy of an upstream's refusal of a step call: from then on each answer on the
/// connection was taken for the call after it, and requests got the step results of others.
#[tokio::test]
async fn a_late_refusal_of_a_step_call_gives_no_request_the_results_of_another() {
    let fixture = Fixture::start(1).await;
    // The pieces of each request fill one call.
    let headers = ["x-chunks: 8", "x-chunk-key: k"];
    let ids: Vec<String> = (0..100).map(|it| format!("d{it}")).collect();
    let requests = ids.iter().enumerate().map(|(idx, id)| {
        let fixture = &fixture;
        async move {
            tokio::time::sleep(Duration::from_millis(40) * idx as u32).await;
            match idx % 30 {
                5 => fixture.set_fault("steps", Fault::Full, Some(1)),
                8 => fixture.set_fault("steps", Fault::LateRefusal, None),
                _ => {}
            }
            fixture.send("POST /draft/1", id, &headers).await
        }
    });
    let responses = futures_util::future::join_all(requests).await;
    let served = responses.iter().filter(|it| it.status == 200).count();
    assert!(served > ids.len() / 2, "{served} served");
    for id in &ids {
        let runs = fixture.runs(id);
        let inputs = runs.iter().filter_map(|it| it.headers.get("x-inputs"));
        for result in inputs.flat_map(|it| it.split(',')) {
            assert!(
                result.ends_with(&format!(".{id}")),
                "{id} was given {result}"
            );
        }
    }
}
