//! The store comes back from an older copy of its rows and gives out versions again.

use std::time::Duration;

use platform_standin::client;
use platform_standin::store::Copy;
use platform_standin::store::Gate;
use platform_standin::store::Mode;
use platform_standin::store::Store;
use serde_json::json;

use crate::fixture::Fixture;
use crate::fixture::Node;
use crate::fixture::eventually;
use crate::fixture::status;

/// The users' bound on the time until a configuration is in force at all instances.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a fault of the store from which on the users' bounds hold again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the store is away at a return.
const AWAY: Duration = Duration::from_millis(500);
/// Calls to the store in two seconds after a return, of three nodes. Each table is read once by each
/// node, and written to by it; all else is the usual long polls.
const CALLS_MAX: u64 = 100;
/// Writes that are lost in a return, so that it takes the store a while to pass their versions again.
const LOST_WRITES: u64 = 200;

/// Writes configuration `version` with a route for each of `prefixes`.
fn configure(fixture: &Fixture, version: u64, prefixes: &[&str]) {
    let routes = prefixes.iter().map(|prefix| {
        json!({"name": prefix, "host": "site.example", "prefix": prefix, "type": "idempotent",
            "timeout_ms": 2_000, "goal_ms": 100, "priority": 1, "service": "ledger", "attempts": 2})
    });
    fixture.site.configure(version, routes.collect());
}

/// Waits until every node serves `path`, no longer than a change may take.
async fn wait_until_served(nodes: &[Node], path: &str) {
    for (idx, node) in nodes.iter().enumerate() {
        let what = format!("{path} served at node {idx}");
        eventually(&what, CONFIG_TIMEOUT, || async {
            status(node.client_address, path).await == 200
        })
        .await;
    }
}

/// Copies the store. The versions that follow are given out after a return to the copy, up to those
/// of rows that are written until then.
fn copy(store: &Store) -> Copy {
    let copy = store.copy();
    for idx in 0..LOST_WRITES {
        store.put("other", &format!("{idx}"), b"");
    }
    copy
}

/// Lets the store be away for a moment and return from `older`.
async fn return_from(store: &Store, older: Copy) {
    store.set_mode(Mode::Busy);
    tokio::time::sleep(AWAY).await;
    store.restore(older);
}

/// Starts nodes, of which all have configuration 2, with route `/lost/`, which the store then loses.
async fn start_and_return(count: usize) -> Fixture {
    let fixture = Fixture::start(count).await;
    let older = copy(&fixture.site.store);
    configure(&fixture, 2, &["/lost/"]);
    wait_until_served(&fixture.nodes, "/lost/").await;
    return_from(&fixture.site.store, older).await;
    fixture
}

/// Guards against a configuration that the store acknowledges at a version that it gave out before
/// and that never comes into force (saffron-leaf, CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_after_a_return_comes_into_force() {
    let fixture = start_and_return(3).await;
    configure(&fixture, 2, &["/lost/"]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    configure(&fixture, 3, &["/lost/", "/added/"]);
    wait_until_served(&fixture.nodes, "/added/").await;
}

/// Guards against a configuration that is undone while the operator has not written it again.
#[tokio::test(flavor = "multi_thread")]
async fn no_node_goes_back_to_an_older_configuration() {
    let fixture = start_and_return(2).await;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(3);
    while tokio::time::Instant::now() < deadline {
        for node in &fixture.nodes {
            assert_eq!(status(node.client_address, "/lost/").await, 200);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against nodes that read the store again and again after a return.
#[tokio::test(flavor = "multi_thread")]
async fn a_return_costs_few_calls() {
    let fixture = start_and_return(3).await;
    let before = fixture.site.store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = fixture.site.store.calls() - before;
    assert!(calls <= CALLS_MAX, "{calls} calls in 2 s");
}

/// Guards against two returns of which the second is taken for the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_after_two_returns_comes_into_force() {
    let fixture = start_and_return(3).await;
    let older = copy(&fixture.site.store);
    configure(&fixture, 2, &["/lost/"]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    return_from(&fixture.site.store, older).await;
    configure(&fixture, 2, &["/lost/"]);
    configure(&fixture, 3, &["/lost/", "/added/"]);
    wait_until_served(&fixture.nodes, "/added/").await;
}

/// Guards against rows of an earlier era that a node which starts later gets from others.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_after_a_return_takes_later_configurations() {
    let mut fixture = start_and_return(3).await;
    let node = Node::start("n9", "a", fixture.site.store_address);
    eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    fixture.nodes.push(node);
    configure(&fixture, 2, &["/lost/"]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    configure(&fixture, 3, &["/lost/", "/added/"]);
    wait_until_served(&fixture.nodes, "/added/").await;
}

/// Guards against a node that reaches no store, follows others, and takes their newer rows for
/// older ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_hears_of_a_return_from_others() {
    let mut fixture = Fixture::start(3).await;
    let (gate, address) = Gate::start(&fixture.site.store).await.expect("a port");
    let node = Node::start("n9", "a", address);
    eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    fixture.nodes.push(node);
    let older = copy(&fixture.site.store);
    configure(&fixture, 2, &["/lost/"]);
    wait_until_served(&fixture.nodes, "/lost/").await;
    gate.close();
    return_from(&fixture.site.store, older).await;
    configure(&fixture, 2, &["/lost/"]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    configure(&fixture, 3, &["/lost/", "/added/"]);
    wait_until_served(&fixture.nodes, "/added/").await;
}

/// Guards against a final 404 or 401 from an instance that cannot know the newest configuration.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_with_old_rows_denies_nothing_for_good() {
    let fixture = Fixture::start(1).await;
    let node = &fixture.nodes[0];
    assert_eq!(status(node.client_address, "/unknown/").await, 404);
    fixture.site.store.set_mode(Mode::Silent);
    tokio::time::sleep(CONFIG_TIMEOUT + Duration::from_millis(800)).await;
    let response = fixture.send("GET /unknown/x", "r1", &[]).await;
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "), "{}", response.head);
    let headers = ["authorization: Bearer other", "x-request-id: r2"];
    let response = client::send_request(node.client_address, "GET /read/x", &headers, b"").await;
    assert_eq!(response.status, 503);
    assert_eq!(status(node.client_address, "/read/").await, 200);
    fixture.site.store.set_mode(Mode::Up);
    let is_denied = || async { status(node.client_address, "/unknown/").await == 404 };
    let timeout = CONTACT_TIME + CONFIG_TIMEOUT;
    eventually("a final answer", timeout, is_denied).await;
}

/// Guards against instances that vanish from the store and are no longer known, and against keys of
/// the deployment and software versions that stay lost.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_the_nodes_are_written_again() {
    let fixture = {
        let site = platform_standin::site::Site::start();
        let site = site.await.expect("ports for the site");
        let older = copy(&site.store);
        let fixture = Fixture::start_at(site, 3).await;
        let rows = fixture.site.store.keys("catkinvane");
        assert!(rows.len() >= 5, "{rows:?}");
        return_from(&fixture.site.store, older).await;
        let is_restored = || async { fixture.site.store.keys("catkinvane") == rows };
        eventually("rows of nodes", Duration::from_secs(3), is_restored).await;
        fixture
    };
    for node in &fixture.nodes {
        assert_eq!(status(node.client_address, "/read/").await, 200);
    }
}

/// Guards against requests to an evacuated zone while the operator has not written the evacuation
/// again, and against an evacuation that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_return() {
    let fixture = Fixture::start(2).await;
    let older = copy(&fixture.site.store);
    fixture.site.store.put("op", "evacuate/a", b"{}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    return_from(&fixture.site.store, older).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let runs = |fixture: &Fixture| {
        let upstreams = fixture.site.upstreams.iter().enumerate();
        let in_zone = upstreams.filter(|it| it.0.is_multiple_of(2));
        in_zone.map(|it| it.1.0.runs().len()).sum::<usize>()
    };
    let before = runs(&fixture);
    for _ in 0..20 {
        for node in &fixture.nodes {
            assert_eq!(status(node.client_address, "/read/").await, 200);
        }
    }
    assert_eq!(runs(&fixture), before, "requests in the evacuated zone");
    fixture.site.store.put("op", "evacuate/a", b"{}");
    fixture.site.store.delete("op", "evacuate/a");
    let is_used = || async {
        status(fixture.nodes[0].client_address, "/read/").await;
        runs(&fixture) > before
    };
    eventually("the zone used again", CONFIG_TIMEOUT, is_used).await;
}

/// Guards against an upstream that is leaving and that the older copy calls ready, and against one
/// that is gone and registered there.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_have_left_get_no_requests_after_a_return() {
    let fixture = Fixture::start(2).await;
    let older = copy(&fixture.site.store);
    fixture.site.register(0, "draining");
    fixture.site.deregister(1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let runs = |idx: usize| fixture.site.upstreams[idx].0.runs().len();
    return_from(&fixture.site.store, older).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = (runs(0), runs(1));
    for _ in 0..20 {
        for node in &fixture.nodes {
            status(node.client_address, "/read/").await;
        }
    }
    assert_eq!((runs(0), runs(1)), before);
    // It was not gone for good.
    fixture.site.register(1, "ready");
    let is_used = || async {
        status(fixture.nodes[0].client_address, "/read/").await;
        runs(1) > before.1
    };
    eventually("the upstream used again", CONFIG_TIMEOUT, is_used).await;
}

/// Names a case in which an operator goes on from the older copy: the number and the delay after the
/// return of a configuration that it writes then. Configuration 5 was in force before.
macro_rules! operator_goes_on {
    ($($(#[$doc:meta])* $name:ident: $number:literal after $delay_ms:literal ms;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let delay = Duration::from_millis($delay_ms);
            check_that_the_operator_goes_on($number, delay).await;
        }
    )*};
}

operator_goes_on! {
    /// Guards against a configuration that no node uses, as its number was given out before the
    /// return (ccfao-fees, CONFIG and DENIED).
    a_lost_number_that_is_given_out_again_comes_into_force: 5 after 3_000 ms;
    /// Guards against one that no node uses, as a lost one has a greater number.
    a_number_below_a_lost_one_comes_into_force: 4 after 3_000 ms;
    /// Guards against one that counts as a row of the copy, as it is there at the first read.
    a_lost_number_that_is_given_out_at_the_return_comes_into_force: 5 after 0 ms;
    /// Guards against the same with a lower number.
    a_number_below_a_lost_one_comes_into_force_at_the_return: 4 after 0 ms;
}

async fn check_that_the_operator_goes_on(number: u64, delay: Duration) {
    let mut fixture = Fixture::start(3).await;
    configure(&fixture, 3, &["/kept/"]);
    wait_until_served(&fixture.nodes, "/kept/").await;
    let older = copy(&fixture.site.store);
    configure(&fixture, 5, &["/kept/", "/lost/"]);
    wait_until_served(&fixture.nodes, "/lost/").await;
    return_from(&fixture.site.store, older).await;
    tokio::time::sleep(delay).await;
    configure(&fixture, number, &["/kept/", "/added/"]);
    // Instances that the return kept from the store have longer.
    tokio::time::sleep(CONTACT_TIME.saturating_sub(delay)).await;
    wait_until_served(&fixture.nodes, "/added/").await;
    let node = Node::start("n9", "a", fixture.site.store_address);
    eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    fixture.nodes.push(node);
    for node in &fixture.nodes {
        assert_eq!(status(node.client_address, "/lost/").await, 404);
        assert_eq!(status(node.client_address, "/added/").await, 200);
    }
    // The order of the store holds from then on.
    configure(&fixture, number + 1, &["/kept/", "/next/"]);
    wait_until_served(&fixture.nodes, "/next/").await;
}

/// Guards against requests that an older configuration decides while an operator writes lost ones
/// again, the oldest first.
#[tokio::test(flavor = "multi_thread")]
async fn lost_configurations_that_are_written_again_in_order_undo_nothing() {
    let mut fixture = Fixture::start(2).await;
    let older = copy(&fixture.site.store);
    configure(&fixture, 4, &["/fourth/"]);
    wait_until_served(&fixture.nodes, "/fourth/").await;
    let node = Node::start("n9", "a", fixture.site.store_address);
    eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    fixture.nodes.push(node);
    configure(&fixture, 5, &["/fifth/"]);
    wait_until_served(&fixture.nodes, "/fifth/").await;
    return_from(&fixture.site.store, older).await;
    let written = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        configure(&fixture, 4, &["/fourth/"]);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        configure(&fixture, 5, &["/fifth/"]);
        tokio::time::sleep(Duration::from_millis(500)).await;
    };
    let checked = async {
        loop {
            for node in &fixture.nodes {
                assert_eq!(status(node.client_address, "/fifth/").await, 200);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = written => {}
        () = checked => {}
    }
    configure(&fixture, 6, &["/sixth/"]);
    wait_until_served(&fixture.nodes, "/sixth/").await;
}
