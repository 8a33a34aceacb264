//! A stand-in site and its nodes, all running as tasks of the test.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use node::connection::Dial;
use platform_standin::link::Link;
use platform_standin::site;
use platform_standin::site::API_KEY;
use platform_standin::site::RetryLimit;
use platform_standin::site::Site;
use platform_standin::upstream::Fault;
use platform_standin::upstream::RecordedRequest;
use telemetry::Telemetry;
use telemetry::registry::Registry;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use platform_standin::client;
use platform_standin::client::Response;

/// A running node.
pub(crate) struct Node {
    pub(crate) client_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    shutdown: Option<oneshot::Sender<()>>,
    task: JoinHandle<eyre::Result<()>>,
    /// Its network to the upstreams.
    pub(crate) link: Arc<Link>,
}

/// Connects a node to the upstreams over a [`Link`].
struct LinkDialer(Arc<Link>);

impl Dial for LinkDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>> {
        Box::pin(self.0.connect(address))
    }
}

/// A site and the nodes that serve its clients.
pub(crate) struct Fixture {
    pub(crate) site: Site,
    pub(crate) nodes: Vec<Node>,
}

impl Node {
    /// Starts a node with an ample retry budget, so that tests show what may be repeated rather
    /// than how often.
    pub(crate) fn start(name: &str, zone: &str, store: SocketAddr) -> Node {
        Node::start_with(name, zone, store, RetryLimit::AMPLE, Link::default())
    }

    /// Starts a node whose paths to upstreams can be cut under its open connections.
    pub(crate) fn start_cuttable(name: &str, zone: &str, store: SocketAddr) -> Node {
        Node::start_with(name, zone, store, RetryLimit::AMPLE, Link::relayed())
    }

    /// Starts a node with the site's retry budget.
    pub(crate) fn start_limited(name: &str, zone: &str, store: SocketAddr) -> Node {
        Node::start_with(name, zone, store, RetryLimit::SITE, Link::default())
    }

    /// Starts a node of a deployment whose operators order roll-outs.
    pub(crate) fn start_with_rollouts(name: &str, zone: &str, store: SocketAddr) -> Node {
        let ports = site::reserve_ports().expect("ports");
        let text = site::settings(name, zone, store, ports, RetryLimit::AMPLE);
        let bounds = "contracts: [rollout]\nbounds:\n  exposure_share: 0.1\n  exposure_extra: 20\n";
        Node::start_from(name, &text.replace("bounds:\n", bounds), Link::default())
    }

    /// Starts a node of a deployment in which changes of the configuration and of upstreams take effect
    /// within `timeout`.
    pub(crate) fn start_bounded(
        name: &str,
        zone: &str,
        store: SocketAddr,
        timeout: Duration,
    ) -> Node {
        let ports = site::reserve_ports().expect("ports");
        let text = site::settings(name, zone, store, ports, RetryLimit::AMPLE);
        let millis = timeout.as_millis();
        let bounds = format!("drain_ms: {millis}\n  config_ms: {millis}\n");
        Node::start_from(
            name,
            &text.replace("drain_ms: 2000\n", &bounds),
            Link::default(),
        )
    }

    fn start_with(
        name: &str,
        zone: &str,
        store: SocketAddr,
        retries: RetryLimit,
        link: Link,
    ) -> Node {
        let ports = site::reserve_ports().expect("ports");
        let text = site::settings(name, zone, store, ports, retries);
        Node::start_from(name, &text, link)
    }

    fn start_from(name: &str, text: &str, link: Link) -> Node {
        let settings = platform::settings::parse(text).expect("valid settings");
        let (shutdown, shutdown_signal) = oneshot::channel();
        let (client_address, readiness_address) =
            (settings.client_address, settings.readiness_address);
        let path = PathBuf::from("/nonexistent");
        let telemetry = Telemetry::events_only(name);
        let link = Arc::new(link);
        let dialer = Arc::new(LinkDialer(link.clone()));
        let stop = async {
            // A dropped sender shuts the node down as well.
            let _ = shutdown_signal.await;
        };
        let run = node::serve::run(settings, path, telemetry, Registry::default(), dialer, stop);
        Node {
            client_address,
            readiness_address,
            shutdown: Some(shutdown),
            task: tokio::spawn(run),
            link,
        }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        if TcpStream::connect(self.readiness_address).await.is_err() {
            return false;
        }
        let Ok(response) = tokio::time::timeout(
            Duration::from_secs(1),
            client::send_request(self.readiness_address, "GET /api/readyz", &[], b""),
        )
        .await
        else {
            return false;
        };
        response.status == 200
    }

    /// Starts a graceful shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            // Fails if the node has already exited.
            let _ = shutdown.send(());
        }
    }

    /// Aborts the node without a graceful shutdown.
    pub(crate) fn kill(self) {
        self.task.abort();
    }

    /// Waits for the node's exit after a graceful shutdown.
    pub(crate) async fn wait_for_exit(self) {
        self.task
            .await
            .expect("a node that does not panic")
            .expect("an exit without an error");
    }
}

/// Writes configuration `version` with a route of its own.
pub(crate) fn configure_route(site: &Site, version: u64) {
    configure_routes(site, version, 0);
}

/// The same, with other routes that stay.
pub(crate) fn configure_routes(site: &Site, version: u64, others: usize) {
    let others = (0..others).map(|it| format!("o{it}"));
    site.configure_paths(version, others.chain([format!("v{version}")]));
}

/// Whether a node serves the route of [`configure_route`].
pub(crate) async fn serves_route(client_address: SocketAddr, version: u64) -> bool {
    status(client_address, &format!("/v{version}/")).await == 200
}

/// Status of a node's response to a read under `prefix`.
pub(crate) async fn status(client_address: SocketAddr, prefix: &str) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let headers = [
        key.as_str(),
        "host: site.example",
        "x-request-id: q",
        "x-deadline-ms: 1500",
    ];
    let target = format!("GET {prefix}x");
    let response = client::send_request(client_address, &target, &headers, b"").await;
    response.status
}

/// Polls `condition` until it holds. Panics after `timeout`, naming `what` was waited for.
pub(crate) async fn eventually<F: Future<Output = bool>>(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> F,
) {
    let deadline = tokio::time::Instant::now() + timeout;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Fixture {
    /// Starts a site and `count` nodes, and waits until the nodes are ready. Their retry budget is
    /// ample.
    pub(crate) async fn start(count: usize) -> Fixture {
        Fixture::start_with(count, Node::start).await
    }

    /// Like [`Fixture::start`], with paths that can be cut under open connections.
    pub(crate) async fn start_cuttable(count: usize) -> Fixture {
        Fixture::start_with(count, Node::start_cuttable).await
    }

    /// Like [`Fixture::start`], with the site's retry budget.
    pub(crate) async fn start_limited(count: usize) -> Fixture {
        Fixture::start_with(count, Node::start_limited).await
    }

    async fn start_with(
        count: usize,
        start_node: impl Fn(&str, &str, SocketAddr) -> Node,
    ) -> Fixture {
        let site = Site::start().await.expect("ports for the site");
        Fixture::start_nodes(site, count, start_node).await
    }

    /// Like [`Fixture::start`], in a deployment whose operators order roll-outs.
    pub(crate) async fn start_with_rollouts(count: usize) -> Fixture {
        Fixture::start_with(count, Node::start_with_rollouts).await
    }

    /// Starts `count` nodes of a site and waits until they are ready. Their retry budget is ample.
    pub(crate) async fn start_at(site: Site, count: usize) -> Fixture {
        Fixture::start_nodes(site, count, Node::start).await
    }

    async fn start_nodes(
        site: Site,
        count: usize,
        start_node: impl Fn(&str, &str, SocketAddr) -> Node,
    ) -> Fixture {
        let mut nodes = Vec::new();
        for idx in 0..count {
            let zone = if idx.is_multiple_of(2) { "a" } else { "b" };
            nodes.push(start_node(&format!("n{idx}"), zone, site.store_address));
        }
        for node in &nodes {
            // Longer than any start takes: a node that isn't ready by then never will be.
            eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
        }
        Fixture { site, nodes }
    }

    /// Sends a request to the first node, with the site's API key and a deadline of 3 s.
    pub(crate) async fn send(&self, target: &str, id: &str, extra_headers: &[&str]) -> Response {
        self.send_to(0, target, id, extra_headers).await
    }

    /// Sends a request to a node, with the site's API key and a deadline of 3 s.
    pub(crate) async fn send_to(
        &self,
        node: usize,
        target: &str,
        id: &str,
        extra_headers: &[&str],
    ) -> Response {
        let key = format!("authorization: Bearer {API_KEY}");
        let id = format!("x-request-id: {id}");
        let mut headers = vec![key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
        headers.extend(extra_headers);
        client::send_request(self.nodes[node].client_address, target, &headers, b"").await
    }

    /// Makes the next `count` requests, or all, meet a fault at each upstream of a service.
    pub(crate) fn set_fault(&self, service: &str, fault: Fault, count: Option<u32>) {
        for (upstream, _, _) in self.site.upstreams.iter().filter(|it| it.1 == service) {
            upstream.set_fault(fault, count);
        }
    }

    /// Runs of the request `id` at all upstreams.
    pub(crate) fn runs(&self, id: &str) -> Vec<RecordedRequest> {
        let upstreams = self.site.upstreams.iter();
        let runs = upstreams.flat_map(|it| it.0.runs());
        runs.filter(|it| it.0 == id).map(|it| it.1).collect()
    }

    /// Body of a correct response of `service` to the request `id`.
    pub(crate) fn expected_body(&self, service: &str, id: &str) -> Vec<u8> {
        let mut upstreams = self.site.upstreams.iter();
        let upstream = upstreams
            .find(|it| it.1 == service)
            .expect("an upstream of the service");
        upstream.0.body(id)
    }
}
