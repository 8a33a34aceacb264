//! The graceful stop.

use std::time::Duration;

use crate::fixture::Fixture;
use crate::fixture::eventually;

#[tokio::test]
async fn a_stop_cuts_no_request_and_tells_the_balancer_at_once() {
    let mut fixture = Fixture::start(2).await;
    let mut node = fixture.nodes.remove(0);
    let front = node.front;
    node.begin_stop();
    let not_ready = || async { !node.is_ready().await };
    eventually("not ready", Duration::from_secs(1), not_ready).await;
    let headers = ["authorization: Bearer key-1", "x-request-id: r1"];
    let answer = platform_standin::client::send_request(front, "GET /read/1", &headers, b"").await;
    assert_eq!(answer.status, 200);
    assert!(answer.head.contains("connection: close"));
    // A request that could not end before the process must is refused, as not run.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let headers = ["authorization: Bearer key-1", "x-request-id: r2"];
    let answer = platform_standin::client::send_request(front, "GET /read/1", &headers, b"").await;
    assert_eq!(answer.status, 503);
    assert!(fixture.runs("r2").is_empty());
    let keys = fixture.site.store.keys("catkinvane");
    assert!(
        !keys.contains(&"member/n0".to_owned()),
        "it has left the members"
    );
    tokio::time::timeout(Duration::from_secs(4), node.ended())
        .await
        .expect("it ends within its grace time");
}
