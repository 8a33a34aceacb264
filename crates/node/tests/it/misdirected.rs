//! Registrations at whose address another upstream answers, with 421.

use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use serde_json::json;
use tokio::task::JoinSet;

use crate::fixture::Fixture;

/// Number of instances.
const NODES: usize = 3;
/// Interval of the requests at each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// Registers an upstream of the ledger service at the address of an engine, and returns the number
/// of requests that arrived there under load, with the statuses that clients got.
async fn play(target: &'static str) -> (u64, Vec<u16>) {
    let fixture = Fixture::start_limited(NODES).await;
    let (engine, _, address) = fixture
        .site
        .upstreams
        .iter()
        .find(|it| it.1 == "engine")
        .expect("an engine");
    let row = json!({
        "service": "ledger", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "phase": "ready", "cold_left_ms": 0, "call_seq": 1, "born": 1,
    });
    fixture
        .site
        .store
        .put("servers", "i-ghost", row.to_string().as_bytes());
    let before = engine.arrivals();
    let mut requests = JoinSet::new();
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    let count = LOAD_TIME.as_millis() / REQUEST_INTERVAL.as_millis();
    for number in 0..count {
        interval.tick().await;
        for (idx, node) in fixture.nodes.iter().enumerate() {
            let address = node.client_address;
            requests.spawn(async move {
                let key = format!("authorization: Bearer {API_KEY}");
                let id = format!("x-request-id: r{idx}-{number}");
                let target = format!("{target}{idx}-{number}");
                let headers = [key.as_str(), &id];
                client::send_request(address, &target, &headers, b"")
                    .await
                    .status
            });
        }
    }
    let statuses = requests.join_all().await;
    (engine.arrivals() - before, statuses)
}

async fn check(target: &'static str) {
    let (arrivals, statuses) = play(target).await;
    // Each node meets it once, or twice by requests at the same time.
    assert!(arrivals <= 2 * NODES as u64, "{arrivals} requests");
    assert!(statuses.iter().all(|it| [200, 503].contains(it)));
    let refused = statuses.iter().filter(|it| **it == 503).count();
    assert!(refused as u64 <= arrivals, "{refused} refused");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $target:literal;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check($target).await;
            }
        )*
    };
}

cases! {
    /// Guards against instances that go on sending to an upstream which has said that it is another
    /// one, so that each such request needs a retry.
    reads_forget_a_misdirected_registration: "GET /read/";
    /// Guards against the same with requests that may run once.
    payments_forget_a_misdirected_registration: "POST /post/";
}
