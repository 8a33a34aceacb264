//! Graceful shutdown.

use std::time::Duration;

use crate::fixture::Fixture;
use crate::fixture::eventually;

#[tokio::test]
async fn a_shutdown_cuts_no_request_and_ends_readiness_at_once() {
    let mut fixture = Fixture::start(2).await;
    let mut node = fixture.nodes.remove(0);
    let client_address = node.client_address;
    node.begin_shutdown();
    let not_ready = || async { !node.is_ready().await };
    eventually("not ready", Duration::from_secs(1), not_ready).await;
    let headers = ["authorization: Bearer key-1", "x-request-id: r1"];
    let response =
        platform_standin::client::send_request(client_address, "GET /read/1", &headers, b"").await;
    assert_eq!(response.status, 200);
    assert!(response.head.contains("connection: close"));
    // A request whose time limit ends after the answer deadline of the shutdown is refused, as not
    // run.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let headers = ["authorization: Bearer key-1", "x-request-id: r2"];
    let response =
        platform_standin::client::send_request(client_address, "GET /read/1", &headers, b"").await;
    assert_eq!(response.status, 503);
    assert!(fixture.runs("r2").is_empty());
    let keys = fixture.site.store.keys("catkinvane");
    assert!(
        !keys.contains(&"member/n0".to_owned()),
        "the node has deregistered"
    );
    tokio::time::timeout(Duration::from_secs(4), node.wait_for_exit())
        .await
        .expect("an exit within the grace period");
}
