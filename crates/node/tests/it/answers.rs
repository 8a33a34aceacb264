//! Plain requests under every fault of an answer: whole or failed, and run as often as allowed.

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;

struct Case {
    target: &'static str,
    fault: Fault,
    /// Requests at each upstream that meet the fault.
    count: Option<u32>,
    status: u16,
    runs: usize,
}

async fn check(case: Case) {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", case.fault, case.count);
    let answer = fixture.ask(case.target, "r1", &[]).await;
    assert_eq!(answer.status, case.status, "{}", answer.head);
    assert_eq!(fixture.runs("r1").len(), case.runs);
    if case.status == 200 {
        assert_eq!(answer.body, fixture.body("ledger", "r1"));
        assert!(answer.is_complete);
    }
    // Whatever a connection was left with belongs to no later request.
    fixture.set_fault("ledger", Fault::None, None);
    let next = fixture.ask("GET /read/next", "r2", &[]).await;
    assert_eq!(
        (next.status, next.body),
        (200, fixture.body("ledger", "r2"))
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
    a_payment_with_another_answer_runs_once: "POST /post/1", ForeignAnswer x None => 502, 1;
    a_payment_without_a_signature_fails: "POST /post/1", Unsigned x None => 502, 1;
    a_signed_failure_is_passed_on: "POST /post/1", Error x None => 500, 1;
    a_payment_that_one_upstream_refused_runs_at_the_other: "POST /post/1", Full x Some(1) => 200, 1;
    a_payment_that_all_refuse_has_not_run: "POST /post/1", Full x None => 503, 0;
    an_address_with_another_upstream_runs_nothing: "POST /post/1", Misdirected x None => 503, 0;
    a_silent_payment_is_given_up_in_time: "POST /post/1", Silent x None => 504, 1;
    a_second_answer_is_dropped: "POST /post/1", ExtraAnswer x None => 200, 1;
    an_answer_without_a_length_is_whole: "POST /post/1", Unframed x None => 200, 1;
    a_read_with_a_lost_answer_is_repeated_once: "GET /read/1", AnswerLost x None => 502, 2;
    a_read_that_fails_everywhere_keeps_its_failure: "GET /read/1", Error x None => 500, 2;
}

#[tokio::test]
async fn a_read_that_one_upstream_fails_is_answered_by_the_other() {
    let fixture = Fixture::start(1).await;
    fixture.site.upstreams[0]
        .0
        .set_fault(Fault::AnswerLost, None);
    for request in 0..6 {
        let id = format!("r{request}");
        let answer = fixture.ask("GET /read/1", &id, &[]).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_silent_read_is_repeated_elsewhere() {
    let fixture = Fixture::start(1).await;
    fixture.site.upstreams[0].0.set_fault(Fault::Silent, None);
    for request in 0..4 {
        let id = format!("r{request}");
        let answer = fixture.ask("GET /read/1", &id, &[]).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_refusal_tells_when_to_come_back() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", Fault::Full, None);
    let answer = fixture.ask("POST /post/1", "r1", &[]).await;
    let line = answer
        .head
        .lines()
        .find_map(|it| it.strip_prefix("retry-after: "));
    let seconds: f64 = line.expect("a time").parse().expect("seconds");
    assert!(
        seconds > 0.0 && seconds <= 1.0,
        "a third of what the client has left"
    );
}

#[tokio::test]
async fn an_upstream_gets_the_request_as_it_was_sent() {
    let fixture = Fixture::start(1).await;
    let target = "GET /read/a%2e%2e/./b//c";
    let more = [
        "x-tenant: other",
        "x-expect-replica: i-9",
        "x-kv-hold: 1",
        "x-request-priority: 0",
        "x-own: kept",
        "connection: x-hop",
        "x-hop: dropped",
    ];
    let answer = fixture.ask(target, "r1", &more).await;
    assert_eq!(answer.status, 200);
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
        .expect("a time");
    assert!(left <= 2_000, "the route allows less than the client");
}

/// Guards against the answer of a request that came before on the same connection: its late copy
/// arrives where the next answer is expected.
#[tokio::test]
async fn a_late_copy_reaches_no_other_request() {
    let fixture = Fixture::start(1).await;
    for request in 0..8 {
        let id = format!("s{request}");
        assert_eq!(fixture.ask("GET /read/1", &id, &[]).await.status, 200);
    }
    fixture.set_fault("ledger", Fault::LateCopy, None);
    for request in 0..8 {
        let id = format!("p{request}");
        let answer = fixture.ask("POST /post/1", &id, &[]).await;
        assert_eq!((answer.status, fixture.runs(&id).len()), (502, 1));
    }
    fixture.set_fault("ledger", Fault::None, None);
    let answer = fixture.ask("GET /read/1", "r", &[]).await;
    assert_eq!(
        (answer.status, answer.body),
        (200, fixture.body("ledger", "r"))
    );
}
