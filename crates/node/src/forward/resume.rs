//! Resumes a broken stream at another upstream.

use std::sync::Arc;

use catalog::RouteKind;
use catalog::Upstream;
use forwarding::origin::Continuation;
use forwarding::origin::Origin;
use http::StatusCode;
use platform::upstream::ResponseHead;

use super::connect_placed;
use super::response::record_announcements;
use super::take_retry;
use crate::client_request::ClientRequest;
use crate::prepare;
use crate::relay;
use crate::routing::Connected;
use crate::routing::has_usable_upstream;
use crate::routing::prepare_request;
use crate::send_guard::build_outgoing;
use crate::state::Node;
use crate::suspicion;

/// Resumes a broken stream at an upstream other than `lost`, if another is usable, after the last
/// event that the client received. `None` if that isn't allowed or fails.
pub(crate) async fn resume_stream(
    node: &Arc<Node>,
    request: &Arc<ClientRequest>,
    lost: &Upstream,
    sends: u32,
    last_event: Option<u64>,
) -> Option<relay::Source> {
    if suspicion::is_quarantined(node, request) {
        return None;
    }
    let continuation = Continuation::Resumes(Origin::of(lost));
    if sends >= request.route.attempts_max
        || !has_usable_upstream(node, &lost.service, &continuation)
        || !take_retry(node, &lost.service)
    {
        return None;
    }
    // The step results were freed at the first event, so the steps run again.
    let mut preparation = match prepare_request(node, request, &lost.service, &continuation) {
        Some(prepare_request) => Some(prepare::run(node, &prepare_request).await.ok()?),
        None => None,
    };
    let excluded = std::slice::from_ref(&lost.name);
    let connect_result = connect_placed(
        node,
        request,
        &lost.service,
        &continuation,
        &mut preparation,
        excluded,
    )
    .await;
    let Connected {
        upstream,
        mut connection,
        permit,
        lease,
    } = connect_result.ok()?;
    let prepared = preparation.as_ref().map(|it| &it.prepared);
    let handles = prepared.map_or(&[][..], |it| &it.handles);
    let (outgoing, mut send_guard) =
        build_outgoing(node, request, &upstream, handles, last_event, lease);
    slog::info!(node.logger(), "stream_resumed"; "request" => &request.id,
        "from" => %lost.name, "to" => %upstream.name, "last_event" => last_event,
        "from_software" => lost.software.as_str(), "to_software" => upstream.software.as_str());
    let response = tokio::time::timeout(request.time_left(), connection.send(outgoing, permit));
    let response = response.await.ok()?.ok()?;
    let head = ResponseHead::read(response.status(), response.headers());
    let is_for_request = head.request_id.as_deref() == Some(&request.id);
    record_announcements(node, &send_guard, &head, is_for_request);
    let is_usable = head.status.is_success() && head.is_signed && is_for_request;
    if head.is_not_run {
        send_guard.record_not_run();
    }
    send_guard.record_first_byte(!is_usable);
    if head.is_not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
        send_guard.record_rejected();
    }
    is_usable.then(|| relay::Source {
        connection,
        body: response.into_body(),
        send_guard,
        is_framed: head.is_framed,
    })
}

/// Whether a broken stream of this route kind may be resumed at another upstream.
#[must_use]
pub(crate) fn is_resumable(kind: RouteKind) -> bool {
    kind == RouteKind::ResumableStream
}
