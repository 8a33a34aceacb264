//! Requests that crash the upstreams that run them.

use std::time::Duration;

use platform_standin::client;
use platform_standin::client::Response;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

const WORK: Duration = Duration::from_millis(5);

async fn ask_second(fixture: &Fixture, target: &str, id: &str) -> Response {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
    client::send_request(fixture.nodes[1].front, target, &headers, b"").await
}

/// Replaces every upstream of the service by a sound one, as after crashes.
async fn replace(fixture: &mut Fixture) {
    let upstreams = fixture.site.upstreams.iter().enumerate();
    let old: Vec<usize> = upstreams
        .filter(|(_, it)| it.1 == "ledger")
        .map(|(idx, _)| idx)
        .collect();
    for idx in old {
        fixture.site.deregister(idx);
        let added = fixture.site.add("ledger", 0, WORK).await;
        added.expect("a port for an upstream");
    }
}

/// Crashes of four upstreams, seen by the first instance, and what the second then does.
#[tokio::test]
async fn a_request_that_crashed_three_upstreams_is_refused_everywhere() {
    let mut fixture = Fixture::start(2).await;
    for _ in 0..2 {
        let added = fixture.site.add("ledger", 0, WORK).await;
        added.expect("a port for an upstream");
    }
    fixture.set_fault("ledger", Fault::AnswerLost, None);
    let crashed = |fixture: &Fixture| {
        let upstreams = fixture.site.upstreams.iter();
        let ran = upstreams.filter(|it| it.1 == "ledger" && !it.0.runs().is_empty());
        ran.count()
    };
    for idx in 0..40 {
        let answer = fixture
            .ask("GET /read/poison", &format!("p{idx}"), &[])
            .await;
        assert_eq!(answer.status, 502, "{}", answer.head);
        if crashed(&fixture) >= 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(crashed(&fixture) >= 3);
    replace(&mut fixture).await;
    let is_served = async || ask_second(&fixture, "GET /read/other", "o").await.status == 200;
    eventually(
        "another request is served",
        Duration::from_secs(5),
        is_served,
    )
    .await;

    let is_refused = async || ask_second(&fixture, "GET /read/poison", "q").await.status == 503;
    eventually("the refusal", Duration::from_secs(5), is_refused).await;
    let runs = fixture.runs("last").len();
    let answer = ask_second(&fixture, "GET /read/poison", "last").await;
    assert_eq!((answer.status, fixture.runs("last").len()), (503, runs));
}

/// A read that many clients ask for is served again after answers of it were lost.
#[tokio::test]
async fn lost_answers_of_living_upstreams_refuse_nothing() {
    let mut fixture = Fixture::start(1).await;
    for _ in 0..2 {
        let added = fixture.site.add("ledger", 0, WORK).await;
        added.expect("a port for an upstream");
    }
    fixture.set_fault("ledger", Fault::AnswerLost, Some(4));
    for idx in 0..12 {
        let answer = fixture
            .ask("GET /read/popular", &format!("p{idx}"), &[])
            .await;
        assert_ne!(answer.status, 503, "{}", answer.head);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fixture.set_fault("ledger", Fault::None, None);
    let answer = fixture.ask("GET /read/popular", "r", &[]).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
}
