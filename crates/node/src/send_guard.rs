//! One send to an upstream: what goes out, and the evidence that it leaves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::Upstream;
use http::Request;
use http_body_util::Full;
use platform::upstream;
use platform::upstream::AddedHeaders;
use stages::Handle;
use tokio::time::Instant;

use crate::client_request::ClientRequest;
use crate::limits::FirstByte;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;

/// Evidence about one send; ends with it. One that is dropped before its end counts as lost.
pub struct SendGuard {
    /// This instance.
    pub(crate) node: Arc<Node>,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Number of the send.
    pub(crate) send_id: u64,
    /// When it began.
    pub(crate) sent_at: Instant,
    request: Arc<ClientRequest>,
}

impl SendGuard {
    fn begin(
        node: &Arc<Node>,
        request: &Arc<ClientRequest>,
        upstream: &Arc<Upstream>,
    ) -> SendGuard {
        let sent_at = Instant::now();
        let mut limits = node.limits();
        let send_id = limits.record_send(&upstream.name, request, sent_at);
        limits.quarantine.track_send(
            send_id,
            request.fingerprint,
            upstream.incarnation(),
            sent_at,
        );
        drop(limits);
        SendGuard {
            node: node.clone(),
            upstream: upstream.clone(),
            send_id,
            sent_at,
            request: request.clone(),
        }
    }

    /// Notes the first byte of an answer.
    pub(crate) fn record_first_byte(&self, is_failure: bool) {
        let now = Instant::now();
        let answer = FirstByte {
            send_id: self.send_id,
            latency: now.saturating_duration_since(self.sent_at),
            is_failure,
            now,
        };
        let mut limits = self.node.limits();
        limits.record_answer(&self.upstream.name, &self.request, answer);
    }

    /// Notes that the upstream wants nothing for a time.
    pub(crate) fn record_hold_off(&self, duration: Duration) {
        slog::info!(self.node.logger(), "held_off"; "upstream" => self.upstream.name.as_str(),
            "time_ms" => duration.as_millis() as u64);
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.hold_off(duration, Instant::now());
    }

    /// Notes that nothing of the send reached the upstream.
    pub(crate) fn record_unsent(&self) {
        self.node.limits().quarantine.cancel_send(self.send_id);
    }

    /// Notes that the send has ended with an answer of the upstream.
    pub(crate) fn record_completed(&self) {
        self.node.limits().quarantine.record_answer(self.send_id);
    }

    /// Notes that the send broke.
    pub fn record_broken(&self) {
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.record_failure(self.send_id, Instant::now());
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        // Its client has left, or its time is over.
        suspicion::record_loss(self, LossKind::Silent);
        let mut limits = self.node.limits();
        limits.health(&self.upstream.name).record_end(self.send_id);
    }
}

/// The request as an upstream gets it, and the evidence about its send.
pub(crate) fn build_outgoing(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    upstream: &Arc<Upstream>,
    handles: &[Handle],
    last_event: Option<u64>,
) -> (Request<Full<Bytes>>, SendGuard) {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let is_engine = service.is_some_and(|it| it.engine.is_some());
    let additions = AddedHeaders::builder()
        .upstream(upstream.name.as_str())
        .remaining(request.time_left())
        .maybe_workspace(request.workspace.as_ref().map(|it| it.name.as_str()))
        .strip_authorization(request.has_keys)
        .maybe_priority(is_engine.then_some(request.priority))
        .results(handles)
        .maybe_last_event(last_event)
        .build();
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.headers_mut() = upstream::request_headers(&request.headers, &additions);
    // The target was parsed from the client's own request line.
    if let Ok(target) = request.path_and_query.parse() {
        *outgoing.uri_mut() = target;
    }
    (outgoing, SendGuard::begin(node, request, upstream))
}
