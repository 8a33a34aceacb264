//! Streams: complete, resumed, or visibly incomplete.

use std::time::Duration;

use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Headers of a request with steps.
const DRAFT_HEADERS: [&str; 3] = [
    "x-prompt-prefix: a:2000,b:3000,c:100",
    "x-chunks: 2",
    "x-chunk-key: k",
];

#[tokio::test]
async fn a_stream_with_steps_is_complete_and_its_results_are_freed() {
    let fixture = Fixture::start(2).await;
    let response = fixture.send("POST /draft/1", "r1", &DRAFT_HEADERS).await;
    assert_eq!(response.status, 200, "{}", response.head);
    assert!(response.is_complete);
    assert_eq!(response.body, fixture.expected_body("engine", "r1"));
    let run = &fixture.runs("r1")[0];
    let results = run.headers.get("x-inputs").expect("handles of results");
    assert_eq!(results.split(',').count(), 2);
    let are_freed = || async {
        let upstreams = fixture.site.upstreams.iter();
        let results = upstreams.map(|it| it.0.step_results());
        let (made, freed) = results.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        made == 2 && freed == 2
    };
    eventually("results are freed", Duration::from_secs(5), are_freed).await;
}

#[tokio::test]
async fn pieces_from_all_nodes_are_batched_into_calls() {
    let fixture = Fixture::start(2).await;
    let client_addresses: Vec<_> = fixture.nodes.iter().map(|it| it.client_address).collect();
    let requests = (0..12).map(|idx| {
        let client_address = client_addresses[idx % 2];
        async move {
            let id = format!("x-request-id: r{idx}");
            let mut headers = vec!["authorization: Bearer key-1", &id, "x-deadline-ms: 3000"];
            headers.extend(DRAFT_HEADERS);
            platform_standin::client::send_request(client_address, "POST /draft/1", &headers, b"")
                .await
        }
    });
    let responses = futures_util::future::join_all(requests).await;
    assert!(
        responses
            .iter()
            .all(|it| it.status == 200 && it.is_complete)
    );
    let upstreams = fixture.site.upstreams.iter();
    let calls: Vec<usize> = upstreams.flat_map(|it| it.0.step_results().2).collect();
    assert_eq!(calls.iter().sum::<usize>(), 24);
    assert!(
        calls.len() <= 8,
        "{} calls for twelve requests",
        calls.len()
    );
}

#[tokio::test]
async fn a_resumable_stream_is_resumed_elsewhere() {
    let fixture = Fixture::start(1).await;
    let prompt = ["x-prompt-prefix: a:300,b:200,c:100"];
    fixture.set_fault("engine", Fault::CutAnswer, Some(1));
    let response = fixture.send("POST /summary/1", "r1", &prompt).await;
    // The first cut stream is resumed; the second upstream cuts it too, and no attempt is left.
    assert_eq!(response.status, 200);
    assert!(!response.is_complete);
    let response = fixture.send("POST /summary/1", "r2", &prompt).await;
    assert!(response.is_complete);
    let first_engine = fixture.site.upstreams[2].0.clone();
    first_engine.set_fault(Fault::CutAnswer, None);
    for request in 3..9 {
        let id = format!("r{request}");
        let response = fixture.send("POST /summary/1", &id, &prompt).await;
        assert!(response.is_complete);
        assert_eq!(response.body, fixture.expected_body("engine", &id));
    }
}

#[tokio::test]
async fn a_cut_stream_that_may_not_be_resumed_is_visibly_incomplete() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("engine", Fault::CutAnswer, None);
    let response = fixture.send("POST /draft/1", "r1", &DRAFT_HEADERS).await;
    assert!(!response.is_complete);
    assert_eq!(fixture.runs("r1").len(), 1);
    let text = String::from_utf8(response.body).expect("text");
    assert!(
        text.is_empty() || text.ends_with("\n\n"),
        "only complete events are passed on"
    );
    assert!(text.matches("id: ").count() < EVENTS_PER_STREAM as usize);
}

#[tokio::test]
async fn a_killed_owner_is_replaced() {
    let mut fixture = Fixture::start(3).await;
    // Any of the other nodes may own the step service; the request is sent to the first node.
    for idx in [2, 1] {
        let node = fixture.nodes.remove(idx);
        node.kill();
        let id = format!("r{idx}");
        let response = fixture.send("POST /draft/1", &id, &DRAFT_HEADERS).await;
        assert_eq!(response.status, 200, "{}", response.head);
        assert!(response.is_complete);
    }
}

/// Guards against treating an engine that reads a long prompt as unresponsive because it answers
/// other requests at once: the requests were cut off, their prompts were read again by another
/// engine, and the answers came late (flue-hearth, `quiet-1`).
#[tokio::test]
async fn an_engine_that_reads_a_long_prompt_is_not_unresponsive() {
    let fixture = Fixture::start(1).await;
    let short = ["x-prompt-prefix: a:3,b:2,c:1", "x-token-count: 6,6"];
    for request in 0..12 {
        let id = format!("s{request}");
        let response = fixture.send("POST /summary/1", &id, &short).await;
        assert!(response.is_complete);
    }
    // The engine reads it in 600 ms.
    let long = ["x-prompt-prefix: a:3,b:2,d:11995", "x-token-count: 12000,6"];
    let response = fixture.send("POST /report/1", "l", &long).await;
    assert!(response.is_complete, "{}", response.head);
    assert_eq!(fixture.runs("l").len(), 1);
}

/// Guards against a stalled stream that never ends because comments keep it from timing out.
#[tokio::test]
async fn a_stalled_stream_with_comments_ends_at_the_deadline() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("engine", Fault::Trickle, None);
    let start = std::time::Instant::now();
    let response = fixture.send("POST /draft/1", "r1", &DRAFT_HEADERS).await;
    // Requests of the fixture have a deadline of 3 s.
    assert!(start.elapsed() < Duration::from_millis(3_500));
    assert_eq!(response.status, 200);
    assert!(!response.is_complete);
    assert_eq!(fixture.runs("r1").len(), 1);
}

/// Guards against an overflow in the token counts that a client states: it drops the request and,
/// with it, the connection.
#[tokio::test]
async fn a_prompt_with_overflowing_token_counts_is_served() {
    let fixture = Fixture::start(1).await;
    let tokens = u64::MAX;
    let prompt = format!("x-prompt-prefix: a:{tokens},b:{tokens},c:{tokens}");
    for id in ["r1", "r2"] {
        let response = fixture.send("POST /summary/1", id, &[&prompt]).await;
        assert!(response.is_complete, "{}", response.head);
    }
}
