//! Instances of which only some reach the store, or whose connections to it have gone silent.

use std::sync::Arc;
use std::time::Duration;

use platform_standin::proxy::Proxy;
use platform_standin::site::Site;
use platform_standin::store::Gate;

use crate::fixture::Fixture;
use crate::fixture::Node;
use crate::fixture::configure_route;
use crate::fixture::eventually;
use crate::fixture::serves_route;

/// The users' bound on the time until a configuration is in force at all instances, and by how much
/// it is longer while the store turns some away.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
const OUTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a fault from which on the users' bounds hold again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const NODES: usize = 6;

/// Starts nodes, each with its own way to the store.
async fn start_gated() -> (Fixture, Vec<Arc<Gate>>) {
    let site = Site::start().await.expect("ports for the site");
    let mut fixture = Fixture::start_at(site, 0).await;
    let mut gates = Vec::new();
    for idx in 0..NODES {
        let (gate, address) = Gate::start(&fixture.site.store).await.expect("a port");
        gates.push(gate);
        fixture
            .nodes
            .push(Node::start(&format!("n{idx}"), "a", address));
    }
    for node in &fixture.nodes {
        eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    }
    (fixture, gates)
}

/// Guards against instances that follow readers which the store turns away, while another instance
/// has newer rows.
#[tokio::test(flavor = "multi_thread")]
async fn one_instance_with_the_store_is_enough_for_all() {
    for served in 0..NODES {
        let (fixture, gates) = start_gated().await;
        let closed = gates.iter().enumerate().filter(|it| it.0 != served);
        closed.for_each(|it| it.1.close());
        configure_route(&fixture.site, 2);
        for node in &fixture.nodes {
            let timeout = CONFIG_TIMEOUT + OUTER_TIMEOUT;
            eventually("configuration 2", timeout, || {
                serves_route(node.client_address, 2)
            })
            .await;
        }
        configure_route(&fixture.site, 3);
        for node in &fixture.nodes {
            let timeout = CONFIG_TIMEOUT + OUTER_TIMEOUT;
            eventually("configuration 3", timeout, || {
                serves_route(node.client_address, 3)
            })
            .await;
        }
    }
}

/// Guards against feeds that wait on connections which have gone silent, at all instances at once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_store_delay_a_configuration_only_shortly() {
    let mut site = Site::start().await.expect("ports for the site");
    let proxy = Proxy::start(site.store_address).await.expect("a port");
    site.store_address = proxy.address;
    let fixture = Fixture::start_at(site, NODES).await;
    for version in 2..5 {
        proxy.silence_open_connections();
        configure_route(&fixture.site, version);
        for node in &fixture.nodes {
            let timeout = CONTACT_TIME + CONFIG_TIMEOUT;
            eventually("the configuration", timeout, || {
                serves_route(node.client_address, version)
            })
            .await;
        }
    }
}

/// Starts an instance that reaches the store while all others do not, after a configuration that
/// only the store has.
async fn start_beside_others_that_are_behind() -> Fixture {
    let (mut fixture, gates) = start_gated().await;
    gates.iter().for_each(|it| it.close());
    configure_route(&fixture.site, 2);
    let newcomer = Node::start("n9", "a", fixture.site.store_address);
    eventually("ready", Duration::from_secs(20), || newcomer.is_ready()).await;
    fixture.nodes.push(newcomer);
    fixture
}

/// Guards against an instance that starts and takes the older configuration of the others.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_does_not_go_back_to_what_others_have() {
    let fixture = start_beside_others_that_are_behind().await;
    let newcomer = fixture.nodes.last().expect("a node");
    for _ in 0..60 {
        assert!(serves_route(newcomer.client_address, 2).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against instances that lack the store and do not learn from one that has just started, as
/// they cannot read its registration.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_brings_news_to_others_that_are_behind() {
    let fixture = start_beside_others_that_are_behind().await;
    for node in &fixture.nodes {
        let timeout = CONFIG_TIMEOUT + OUTER_TIMEOUT;
        eventually("configuration 2", timeout, || {
            serves_route(node.client_address, 2)
        })
        .await;
    }
}
