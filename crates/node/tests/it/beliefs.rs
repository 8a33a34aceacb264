//! The nodes' view while the store fails and rows of the store change.

use std::time::Duration;

use platform_standin::store::Mode;
use serde_json::json;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Longest time from the store's acceptance of a change until it takes effect.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// A route that the site's first configuration doesn't have.
fn added_route() -> serde_json::Value {
    json!([{"name": "new", "host": "site.example", "prefix": "/new/", "type": "idempotent",
        "service": "ledger", "attempts": 1}])
}

/// Whether the added route is in effect at the first node.
async fn is_served(fixture: &Fixture) -> bool {
    fixture.send("GET /new/1", "r", &[]).await.status == 200
}

#[tokio::test]
async fn a_change_takes_effect_in_time() {
    let fixture = Fixture::start(2).await;
    assert!(!is_served(&fixture).await);
    fixture.site.configure(2, added_route());
    eventually("the change", PROPAGATION_MAX, || is_served(&fixture)).await;
    // An older version that is written later is ignored.
    fixture.site.configure(1, json!([]));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(is_served(&fixture).await);
}

/// Guards against a feed request that was sent during an outage of the store and still waits after
/// it: when the store had been silent for 8 s, a change that it accepted afterwards had not taken
/// effect 2 s later (ccfao-fees trouble-3, seed 44973083).
#[tokio::test]
async fn a_change_after_a_silence_of_the_store_takes_effect_in_time() {
    let fixture = Fixture::start(2).await;
    fixture.site.store.set_mode(Mode::Silent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fixture.site.store.set_mode(Mode::Up);
    fixture.site.configure(2, added_route());
    eventually("the change", PROPAGATION_MAX, || is_served(&fixture)).await;
}

#[tokio::test]
async fn a_change_takes_effect_although_the_store_has_compacted_it() {
    let fixture = Fixture::start(1).await;
    fixture.site.configure(2, added_route());
    fixture.site.store.compact();
    eventually("the change", PROPAGATION_MAX, || is_served(&fixture)).await;
}

#[tokio::test]
async fn a_deregistered_or_draining_upstream_gets_no_requests() {
    let fixture = Fixture::start(1).await;
    fixture.site.deregister(0);
    fixture.site.register(1, "draining");
    let is_refused = || async { fixture.send("GET /read/1", "r", &[]).await.status == 503 };
    eventually("a refusal without upstreams", PROPAGATION_MAX, is_refused).await;
}

#[tokio::test]
async fn an_upstream_that_lapsed_during_a_store_outage_stays_in_use() {
    let fixture = Fixture::start(1).await;
    fixture.site.store.set_mode(Mode::Busy);
    // Longer than the shortest outage in which registrations lapse.
    tokio::time::sleep(Duration::from_millis(3_600)).await;
    fixture.site.deregister(0);
    fixture.site.deregister(1);
    fixture.site.store.set_mode(Mode::Up);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(fixture.send("GET /read/1", "r", &[]).await.status, 200);
    let is_refused = || async { fixture.send("GET /read/1", "r", &[]).await.status == 503 };
    eventually(
        "removal of the lapsed upstreams",
        Duration::from_secs(4),
        is_refused,
    )
    .await;
}

#[tokio::test]
async fn an_evacuated_zone_gets_no_requests_until_it_returns() {
    let fixture = Fixture::start(1).await;
    fixture.site.store.put("op", "evacuate/a", b"{}");
    fixture.site.store.put("op", "evacuate/b", b"{}");
    let is_refused = || async { fixture.send("GET /read/1", "r", &[]).await.status == 503 };
    eventually("both zones evacuated", PROPAGATION_MAX, is_refused).await;
    fixture.site.store.delete("op", "evacuate/b");
    let is_answered = || async { fixture.send("GET /read/1", "r", &[]).await.status == 200 };
    eventually("zone b in use again", PROPAGATION_MAX, is_answered).await;
}

#[tokio::test]
async fn rows_that_cannot_be_decoded_change_nothing_else() {
    let fixture = Fixture::start(1).await;
    let store = &fixture.site.store;
    store.put("servers", "i-bad", b"\xff not json");
    store.put("servers", "i-odd", br#"{"service": 4}"#);
    store.put("op", "config", b"{}");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(fixture.send("GET /read/1", "r", &[]).await.status, 200);
}
