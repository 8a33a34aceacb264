//! One send to an upstream: what goes out, and the evidence that it leaves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::Upstream;
use http::Request;
use http_body_util::Full;
use platform::upstream;
use platform::upstream::Additions;
use stages::Handle;
use tokio::time::Instant;

use crate::ask::Ask;
use crate::limits::Answered;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::Ending;

/// Evidence about one send; ends with it. One that is dropped before its end counts as lost.
pub struct Sending {
    /// This instance.
    pub(crate) node: Arc<Node>,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Number of the send.
    pub(crate) send: u64,
    /// When it began.
    pub(crate) sent: Instant,
    ask: Arc<Ask>,
}

impl Sending {
    fn begin(node: &Arc<Node>, ask: &Arc<Ask>, upstream: &Arc<Upstream>) -> Sending {
        let sent = Instant::now();
        let mut limits = node.limits();
        let send = limits.sent(&upstream.name, ask, sent);
        limits
            .quarantine
            .begin(send, ask.fingerprint, upstream.incarnation(), sent);
        drop(limits);
        Sending {
            node: node.clone(),
            upstream: upstream.clone(),
            send,
            sent,
            ask: ask.clone(),
        }
    }

    /// Notes the first byte of an answer.
    pub(crate) fn answered(&self, is_failure: bool) {
        let now = Instant::now();
        let answer = Answered {
            send: self.send,
            took: now.saturating_duration_since(self.sent),
            is_failure,
            now,
        };
        let mut limits = self.node.limits();
        limits.answered(&self.upstream.name, &self.ask, answer);
    }

    /// Notes that the upstream wants nothing for a time.
    pub(crate) fn hold_off(&self, time: Duration) {
        slog::info!(self.node.logger(), "held_off"; "upstream" => self.upstream.name.as_str(),
            "time_ms" => time.as_millis() as u64);
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.hold_off(time, Instant::now());
    }

    /// Notes that nothing of the send reached the upstream.
    pub(crate) fn unsent(&self) {
        self.node.limits().quarantine.unsent(self.send);
    }

    /// Notes that the send has ended with an answer of the upstream.
    pub(crate) fn concluded(&self) {
        self.node.limits().quarantine.ended(self.send);
    }

    /// Notes that the send broke.
    pub fn broke(&self) {
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.broke(self.send, Instant::now());
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        // Its client has left, or its time is over.
        suspicion::lost(self, Ending::Silent);
        let mut limits = self.node.limits();
        limits.health(&self.upstream.name).ended(self.send);
    }
}

/// The request as an upstream gets it, and the evidence about its send.
pub(crate) fn outgoing(
    node: &Arc<Node>,
    ask: &Arc<Ask>,
    upstream: &Arc<Upstream>,
    handles: &[Handle],
    last_event: Option<u64>,
) -> (Request<Full<Bytes>>, Sending) {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let is_engine = service.is_some_and(|it| it.engine.is_some());
    let additions = Additions::builder()
        .upstream(upstream.name.as_str())
        .left(ask.left())
        .maybe_workspace(ask.workspace.as_ref().map(|it| it.name.as_str()))
        .has_keys(ask.has_keys)
        .maybe_priority(is_engine.then_some(ask.priority))
        .results(handles)
        .maybe_last_event(last_event)
        .build();
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.headers_mut() = upstream::headers(&ask.headers, &additions);
    // The target was parsed from the client's own request line.
    if let Ok(target) = ask.target.parse() {
        *request.uri_mut() = target;
    }
    (request, Sending::begin(node, ask, upstream))
}
