//! Requests that crash the upstreams that run them.

use std::time::Duration;

use platform_standin::client;
use platform_standin::client::Response;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Service time of the added upstreams.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Sends a request to the second node, `n1`.
async fn send_to_n1(fixture: &Fixture, target: &str, id: &str) -> Response {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
    client::send_request(fixture.nodes[1].client_address, target, &headers, b"").await
}

/// Replaces every upstream of the ledger service by one without a fault, as after crashes.
async fn replace_ledgers(fixture: &mut Fixture) {
    let upstreams = fixture.site.upstreams.iter().enumerate();
    let old: Vec<usize> = upstreams
        .filter(|(_, it)| it.1 == "ledger")
        .map(|(idx, _)| idx)
        .collect();
    for idx in old {
        fixture.site.deregister(idx);
        let added = fixture.site.add("ledger", 0, SERVICE_TIME).await;
        added.expect("a port for an upstream");
    }
}

/// Guards against losses that only the instance that saw them knows: requests to the first instance
/// crash the upstreams, and the second instance must refuse the request too.
#[tokio::test]
async fn a_request_that_crashed_three_upstreams_is_refused_everywhere() {
    let mut fixture = Fixture::start(2).await;
    for _ in 0..2 {
        let added = fixture.site.add("ledger", 0, SERVICE_TIME).await;
        added.expect("a port for an upstream");
    }
    fixture.set_fault("ledger", Fault::AnswerLost, None);
    let count_crashed = |fixture: &Fixture| {
        let upstreams = fixture.site.upstreams.iter();
        let ran = upstreams.filter(|it| it.1 == "ledger" && !it.0.runs().is_empty());
        ran.count()
    };
    for idx in 0..40 {
        let response = fixture
            .send("GET /read/poison", &format!("p{idx}"), &[])
            .await;
        assert_eq!(response.status, 502, "{}", response.head);
        if count_crashed(&fixture) >= 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(count_crashed(&fixture) >= 3);
    replace_ledgers(&mut fixture).await;
    let is_served = async || send_to_n1(&fixture, "GET /read/other", "o").await.status == 200;
    eventually(
        "another request is served",
        Duration::from_secs(5),
        is_served,
    )
    .await;

    let is_refused = async || send_to_n1(&fixture, "GET /read/poison", "q").await.status == 503;
    eventually("the refusal", Duration::from_secs(5), is_refused).await;
    let runs = fixture.runs("last").len();
    let response = send_to_n1(&fixture, "GET /read/poison", "last").await;
    assert_eq!((response.status, fixture.runs("last").len()), (503, runs));
}

/// Guards against quarantining a request that many clients send because upstreams that are still
/// alive lost some of its answers.
#[tokio::test]
async fn lost_answers_of_live_upstreams_quarantine_no_request() {
    let mut fixture = Fixture::start(1).await;
    for _ in 0..2 {
        let added = fixture.site.add("ledger", 0, SERVICE_TIME).await;
        added.expect("a port for an upstream");
    }
    fixture.set_fault("ledger", Fault::AnswerLost, Some(4));
    for idx in 0..12 {
        let response = fixture
            .send("GET /read/popular", &format!("p{idx}"), &[])
            .await;
        assert_ne!(response.status, 503, "{}", response.head);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fixture.set_fault("ledger", Fault::None, None);
    let response = fixture.send("GET /read/popular", "r", &[]).await;
    assert_eq!(response.status, 200, "{}", response.head);
}
