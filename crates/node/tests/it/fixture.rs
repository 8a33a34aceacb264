//! A site and its nodes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use platform_standin::site;
use platform_standin::site::API_KEY;
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

pub(crate) struct Node {
    pub(crate) front: SocketAddr,
    ready: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<eyre::Result<()>>,
}

pub(crate) struct Fixture {
    pub(crate) site: Site,
    pub(crate) nodes: Vec<Node>,
}

impl Node {
    pub(crate) fn start(name: &str, zone: &str, store: SocketAddr) -> Node {
        let text = site::settings(name, zone, store, site::reserve_ports().expect("ports"));
        let settings = platform::settings::parse(&text).expect("settings");
        let (stop, stopped) = oneshot::channel();
        let (front, ready) = (settings.client_address, settings.readiness_address);
        let path = PathBuf::from("/nonexistent");
        let telemetry = Telemetry::events_only(name);
        let run = node::serve::run(settings, path, telemetry, Registry::default(), async {
            // A dropped sender stops the node as well.
            let _ = stopped.await;
        });
        Node {
            front,
            ready,
            stop: Some(stop),
            task: tokio::spawn(run),
        }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        if TcpStream::connect(self.ready).await.is_err() {
            return false;
        }
        let Ok(answer) = tokio::time::timeout(
            Duration::from_secs(1),
            client::send_request(self.ready, "GET /api/readyz", &[], b""),
        )
        .await
        else {
            return false;
        };
        answer.status == 200
    }

    pub(crate) fn begin_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // A node that has ended needs no signal.
            let _ = stop.send(());
        }
    }

    /// Ends the node without a stop.
    pub(crate) fn kill(self) {
        self.task.abort();
    }

    pub(crate) async fn ended(self) {
        self.task.await.expect("no panic").expect("a clean end");
    }
}

/// Waits until `holds`, for at most `limit`.
pub(crate) async fn eventually<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut holds: impl FnMut() -> F,
) {
    let until = tokio::time::Instant::now() + limit;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Fixture {
    /// A site with `count` nodes that are ready.
    pub(crate) async fn start(count: usize) -> Fixture {
        let site = Site::start().await.expect("a site");
        let mut nodes = Vec::new();
        for idx in 0..count {
            let zone = if idx.is_multiple_of(2) { "a" } else { "b" };
            nodes.push(Node::start(&format!("n{idx}"), zone, site.store_address));
        }
        for node in &nodes {
            // Longer than any start takes; a node that is not ready by then never is.
            eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
        }
        Fixture { site, nodes }
    }

    /// Sends a request with the site's key to the first node.
    pub(crate) async fn ask(&self, target: &str, id: &str, more: &[&str]) -> Response {
        let key = format!("authorization: Bearer {API_KEY}");
        let id = format!("x-request-id: {id}");
        let mut headers = vec![key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
        headers.extend(more);
        client::send_request(self.nodes[0].front, target, &headers, b"").await
    }

    pub(crate) fn set_fault(&self, service: &str, fault: Fault, count: Option<u32>) {
        for (upstream, _, _) in self.site.upstreams.iter().filter(|it| it.1 == service) {
            upstream.set_fault(fault, count);
        }
    }

    /// Runs of one request at all upstreams.
    pub(crate) fn runs(&self, id: &str) -> Vec<RecordedRequest> {
        let upstreams = self.site.upstreams.iter();
        let runs = upstreams.flat_map(|it| it.0.runs());
        runs.filter(|it| it.0 == id).map(|it| it.1).collect()
    }

    /// The body that belongs to a request of a service.
    pub(crate) fn body(&self, service: &str, id: &str) -> Vec<u8> {
        let mut upstreams = self.site.upstreams.iter();
        let upstream = upstreams.find(|it| it.1 == service).expect("an upstream");
        upstream.0.body(id)
    }
}
