//! One send to an upstream: the outgoing request, and the record of its outcome.

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
use crate::quota::lease::Lease;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;

/// Records the outcome of one send: in the health of its upstream, in the latency model and in the
/// quarantine. A send whose guard is dropped before an outcome was recorded counts as a loss.
pub struct SendGuard {
    /// Node that sends the request.
    pub(crate) node: Arc<Node>,
    /// Upstream that the request is sent to.
    pub upstream: Arc<Upstream>,
    /// Identifies the send within this process.
    pub(crate) send_id: u64,
    /// When the send began.
    pub(crate) sent_at: Instant,
    request: Arc<ClientRequest>,
    /// Counts the send as under way; `None` once it was rejected.
    lease: Option<Lease>,
}

impl SendGuard {
    fn begin(
        node: &Arc<Node>,
        request: &Arc<ClientRequest>,
        upstream: &Arc<Upstream>,
        lease: Lease,
    ) -> SendGuard {
        let sent_at = Instant::now();
        let mut limits = node.limits();
        let send_id = limits.record_send(&upstream.name, request, sent_at);
        let quarantine = &mut limits.quarantine;
        quarantine.track_send(send_id, request.subject(), upstream.incarnation(), sent_at);
        drop(limits);
        if let Some(mut rollouts) = node.rollouts() {
            rollouts.record_send(send_id, &request.route.name, upstream, sent_at);
        }
        SendGuard {
            node: node.clone(),
            upstream: upstream.clone(),
            send_id,
            sent_at,
            request: request.clone(),
            lease: Some(lease),
        }
    }

    /// Records an answer of the upstream: for a stream or a refusal when its head has arrived, for
    /// any other response when it has been read to its end.
    pub(crate) fn record_first_byte(&self, is_failure: bool) {
        let now = Instant::now();
        let first_byte = FirstByte {
            send_id: self.send_id,
            latency: now.saturating_duration_since(self.sent_at),
            is_failure,
            now,
        };
        let mut limits = self.node.limits();
        limits.record_answer(&self.upstream.name, &self.request, first_byte);
        drop(limits);
        if let Some(mut rollouts) = self.node.rollouts() {
            match is_failure {
                true => rollouts.ledger.record_failure(self.send_id),
                false => rollouts.ledger.record_answer(self.send_id, now),
            }
        }
    }

    /// Records that the upstream asked to receive no requests for `duration`.
    pub(crate) fn record_hold_off(&self, duration: Duration) {
        slog::info!(self.node.logger(), "held_off"; "upstream" => self.upstream.name.as_str(),
            "time_ms" => duration.as_millis() as u64);
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.hold_off(duration, Instant::now());
    }

    /// Records that the upstream rejected the request for want of room.
    pub(crate) fn record_rejected(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.reject();
        }
    }

    /// Records that the upstream did not run the request. To be called before any answer is recorded.
    pub(crate) fn record_not_run(&self) {
        if let Some(mut rollouts) = self.node.rollouts() {
            rollouts.ledger.record_not_run(self.send_id);
        }
    }

    /// Records that no byte of the request reached the intended upstream.
    pub(crate) fn record_unsent(&self) {
        self.node.limits().quarantine.cancel_send(self.send_id);
    }

    /// Records that the send ended with a response of the upstream, so that it isn't a loss.
    pub(crate) fn record_completed(&self) {
        self.node.limits().quarantine.record_answer(self.send_id);
    }

    /// Records that the answer has proved sound, which clears the prompt parts of the request.
    pub(crate) fn record_sound_run(&self) {
        let quarantine = &mut self.node.limits().quarantine;
        quarantine.record_sound_run(self.send_id, Instant::now());
    }

    /// Records that the connection broke or no valid response came in time.
    pub fn record_broken(&self) {
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.record_failure(self.send_id, Instant::now());
        drop(limits);
        if let Some(mut rollouts) = self.node.rollouts() {
            rollouts.ledger.record_failure(self.send_id);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        // If no end was recorded, the client has disconnected, the request has expired or a stream
        // could not be resumed.
        suspicion::record_loss(self, LossKind::Silent);
        let mut limits = self.node.limits();
        limits.health(&self.upstream.name).record_end(self.send_id);
        drop(limits);
        if let Some(mut rollouts) = self.node.rollouts() {
            rollouts.ledger.record_end(self.send_id, Instant::now());
        }
    }
}

/// Builds the request that is sent to `upstream` and starts to record its send.
pub(crate) fn build_outgoing(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    upstream: &Arc<Upstream>,
    handles: &[Handle],
    last_event: Option<u64>,
    lease: Lease,
) -> (Request<Full<Bytes>>, SendGuard) {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let is_engine = service.is_some_and(|it| it.engine.is_some());
    let added_headers = AddedHeaders::builder()
        .upstream(upstream.name.as_str())
        .remaining(request.time_left())
        .maybe_workspace(request.workspace.as_ref().map(|it| it.name.as_str()))
        .strip_authorization(request.has_workspaces)
        .maybe_priority(is_engine.then_some(request.priority))
        .results(handles)
        .maybe_last_event(last_event)
        .build();
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.headers_mut() = upstream::request_headers(&request.headers, &added_headers);
    // Always parses: it comes from the client's own parsed request line.
    if let Ok(target) = request.path_and_query.parse() {
        *outgoing.uri_mut() = target;
    }
    (outgoing, SendGuard::begin(node, request, upstream, lease))
}
