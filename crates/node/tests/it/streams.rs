//! Streams: whole, continued, or visibly broken.

use std::time::Duration;

use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

const DRAFT: [&str; 3] = [
    "x-prompt-prefix: a:2000,b:3000,c:100",
    "x-chunks: 2",
    "x-chunk-key: k",
];

#[tokio::test]
async fn a_stream_with_steps_is_whole_and_its_results_are_freed() {
    let fixture = Fixture::start(2).await;
    let answer = fixture.ask("POST /draft/1", "r1", &DRAFT).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
    assert!(answer.is_complete);
    assert_eq!(answer.body, fixture.body("engine", "r1"));
    let run = &fixture.runs("r1")[0];
    let results = run.headers.get("x-inputs").expect("results");
    assert_eq!(results.split(',').count(), 2);
    let freed = || async {
        let upstreams = fixture.site.upstreams.iter();
        let results = upstreams.map(|it| it.0.step_results());
        let (made, freed) = results.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        made == 2 && freed == 2
    };
    eventually("results are freed", Duration::from_secs(5), freed).await;
}

#[tokio::test]
async fn pieces_of_all_nodes_share_calls() {
    let fixture = Fixture::start(2).await;
    let fronts: Vec<_> = fixture.nodes.iter().map(|it| it.front).collect();
    let asks = (0..12).map(|idx| {
        let front = fronts[idx % 2];
        async move {
            let id = format!("x-request-id: r{idx}");
            let mut headers = vec!["authorization: Bearer key-1", &id, "x-deadline-ms: 3000"];
            headers.extend(DRAFT);
            platform_standin::client::send_request(front, "POST /draft/1", &headers, b"").await
        }
    });
    let answers = futures_util::future::join_all(asks).await;
    assert!(answers.iter().all(|it| it.status == 200 && it.is_complete));
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
async fn a_resumable_stream_goes_on_elsewhere() {
    let fixture = Fixture::start(1).await;
    let prompt = ["x-prompt-prefix: a:300,b:200,c:100"];
    fixture.set_fault("engine", Fault::CutAnswer, Some(1));
    let answer = fixture.ask("POST /summary/1", "r1", &prompt).await;
    // The first cut is continued; the second upstream cuts as well and the attempts are used up.
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete);
    let answer = fixture.ask("POST /summary/1", "r2", &prompt).await;
    assert!(answer.is_complete);
    let first = fixture.site.upstreams[2].0.clone();
    first.set_fault(Fault::CutAnswer, None);
    for request in 3..9 {
        let id = format!("r{request}");
        let answer = fixture.ask("POST /summary/1", &id, &prompt).await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, fixture.body("engine", &id));
    }
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_visibly_broken() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("engine", Fault::CutAnswer, None);
    let answer = fixture.ask("POST /draft/1", "r1", &DRAFT).await;
    assert!(!answer.is_complete);
    assert_eq!(fixture.runs("r1").len(), 1);
    let text = String::from_utf8(answer.body).expect("text");
    assert!(
        text.is_empty() || text.ends_with("\n\n"),
        "only whole events pass"
    );
    assert!(text.matches("id: ").count() < EVENTS_PER_STREAM as usize);
}

#[tokio::test]
async fn an_owner_that_is_gone_is_replaced() {
    let mut fixture = Fixture::start(3).await;
    // Any of the others may be the owner; the request lives at the first node.
    for idx in [2, 1] {
        let node = fixture.nodes.remove(idx);
        node.kill();
        let id = format!("r{idx}");
        let answer = fixture.ask("POST /draft/1", &id, &DRAFT).await;
        assert_eq!(answer.status, 200, "{}", answer.head);
        assert!(answer.is_complete);
    }
}

/// Guards against long prompts that are taken for a silence of their engine, whose other requests are
/// answered at once: they were cut, read again elsewhere, and came late (flue-hearth, `quiet-1`).
#[tokio::test]
async fn a_long_prompt_is_no_silence() {
    let fixture = Fixture::start(1).await;
    let short = ["x-prompt-prefix: a:3,b:2,c:1", "x-token-count: 6,6"];
    for request in 0..12 {
        let id = format!("s{request}");
        let answer = fixture.ask("POST /summary/1", &id, &short).await;
        assert!(answer.is_complete);
    }
    // Read in 600 ms.
    let long = ["x-prompt-prefix: a:3,b:2,d:11995", "x-token-count: 12000,6"];
    let answer = fixture.ask("POST /report/1", "l", &long).await;
    assert!(answer.is_complete, "{}", answer.head);
    assert_eq!(fixture.runs("l").len(), 1);
}

/// Guards against a stalled stream that sends a comment now and then and never ends.
#[tokio::test]
async fn a_stream_that_trickles_ends_at_its_time_limit() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("engine", Fault::Trickle, None);
    let began = std::time::Instant::now();
    let answer = fixture.ask("POST /draft/1", "r1", &DRAFT).await;
    // The client of the fixture waits for 3 s.
    assert!(began.elapsed() < Duration::from_millis(3_500));
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete);
    assert_eq!(fixture.runs("r1").len(), 1);
}

/// Guards against a request that is dropped, and with it its connection, because the sizes that its
/// client states overflow.
#[tokio::test]
async fn an_absurd_prompt_is_served() {
    let fixture = Fixture::start(1).await;
    let part = u64::MAX;
    let prompt = format!("x-prompt-prefix: a:{part},b:{part},c:{part}");
    for id in ["r1", "r2"] {
        let answer = fixture.ask("POST /summary/1", id, &[&prompt]).await;
        assert!(answer.is_complete, "{}", answer.head);
    }
}
