//! Repeats of requests that upstreams reject, against the users' bound on repeated arrivals.

use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use tokio::time::Instant;

use crate::fixture::Fixture;
use crate::fixture::Node;
use crate::fixture::eventually;

/// Number of requests, all within one window of the retry budget.
const REQUESTS: u64 = 80;
/// The users' bound on repeats as a ratio of the requests, from the settings of the site.
const REPEATS_RATIO: f64 = 0.2;
/// The users' bound on repeats in addition to the ratio, from the settings of the site.
const REPEATS_EXTRA: f64 = 50.0;

/// The users' window in which repeats are counted, from the settings of the site.
const WINDOW: Duration = Duration::from_secs(10);

/// Longer than a node takes until it has its whole share of the budget.
const SETTLING_TIME: Duration = Duration::from_secs(17);

/// Sends `count` requests, which all upstreams reject, to each of `nodes`; returns how many.
async fn send_rejected(nodes: &[Node], label: &str, count: u64) -> u64 {
    let key = format!("authorization: Bearer {API_KEY}");
    for idx in 0..count {
        for (node_idx, node) in nodes.iter().enumerate() {
            let id = format!("x-request-id: {label}{node_idx}x{idx}");
            let headers = [key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
            let target = format!("GET /read/{idx}");
            let response = client::send_request(node.client_address, &target, &headers, b"").await;
            assert_eq!(response.status, 503, "{}", response.head);
        }
    }
    count * nodes.len() as u64
}

/// Guards against a whole extra for each process that stops with others and serves on, and for each
/// that has just started.
#[tokio::test]
async fn restarts_of_all_nodes_keep_the_retry_budget() {
    let mut fixture = Fixture::start_limited(3).await;
    tokio::time::sleep(SETTLING_TIME).await;
    fixture.set_fault("ledger", Fault::Full, None);
    let begun_at = Instant::now();
    let mut requests = send_rejected(&fixture.nodes, "a", 8).await;
    for node in &mut fixture.nodes {
        node.begin_shutdown();
    }
    // The others' rows are gone, and clients still use their connections.
    tokio::time::sleep(Duration::from_millis(700)).await;
    requests += send_rejected(&fixture.nodes, "b", 12).await;
    for node in std::mem::take(&mut fixture.nodes) {
        node.kill();
    }
    for idx in 0..3 {
        let node = Node::start_limited(&format!("n{idx}"), "a", fixture.site.store_address);
        fixture.nodes.push(node);
    }
    for node in &fixture.nodes {
        eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    }
    requests += send_rejected(&fixture.nodes, "c", 12).await;
    let elapsed = begun_at.elapsed();
    assert!(
        elapsed < WINDOW,
        "requests took {elapsed:?}, longer than one window"
    );
    let upstreams = fixture.site.upstreams.iter();
    let upstreams = upstreams.filter(|it| it.1 == "ledger");
    let arrivals: u64 = upstreams.map(|it| it.0.arrivals()).sum();
    let repeats = arrivals.saturating_sub(requests);
    let repeats_max = requests as f64 * REPEATS_RATIO + REPEATS_EXTRA;
    assert!(
        repeats as f64 <= repeats_max,
        "{repeats} repeated arrivals, {repeats_max} allowed"
    );
}

async fn check(path: &str, fault: Fault) {
    let fixture = Fixture::start_limited(1).await;
    fixture.set_fault("ledger", fault, None);
    for idx in 0..REQUESTS {
        let id = format!("r{idx}");
        let response = fixture.send(&format!("{path}{idx}"), &id, &[]).await;
        assert_eq!(response.status, 503, "{}", response.head);
    }
    let upstreams = fixture.site.upstreams.iter();
    let upstreams = upstreams.filter(|it| it.1 == "ledger");
    let arrivals: u64 = upstreams.map(|it| it.0.arrivals()).sum();
    let repeats = arrivals.saturating_sub(REQUESTS);
    let repeats_max = REQUESTS as f64 * REPEATS_RATIO + REPEATS_EXTRA;
    assert!(
        repeats as f64 <= repeats_max,
        "{repeats} repeated arrivals, {repeats_max} allowed"
    );
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $path:literal, $fault:ident;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check($path, Fault::$fault).await;
            }
        )*
    };
}

cases! {
    /// Guards against sending on without a budget after upstreams were full.
    rejected_reads_keep_the_retry_budget: "GET /read/", Full;
    /// Guards against sending on without a budget after another upstream had the address.
    misdirected_reads_keep_the_retry_budget: "GET /read/", Misdirected;
    rejected_payments_keep_the_retry_budget: "POST /post/", Full;
    misdirected_payments_keep_the_retry_budget: "POST /post/", Misdirected;
}
