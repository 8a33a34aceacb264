//! One call to an upstream that runs steps, over the connections that all requests use.

use std::sync::Arc;
use std::time::Duration;

use base::hash;
use bytes::Bytes;
use catalog::Upstream;
use forwarding::path::Way;
use forwarding::quota::Permit;
use forwarding::quota::Urgency;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use platform::steps;
use platform::upstream::ResponseHead;
use stages::Call;
use stages::Handle;
use stages::Item;
use stages::Outcome;

use crate::buffer;
use crate::clock;
use crate::connection;
use crate::connection::PooledConnection;
use crate::detour;
use crate::quota;
use crate::state::Node;

/// Bounds a call that frees results. Freeing is best effort, since upstreams drop results after
/// some seconds anyway.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a batched call ended.
pub(super) struct Reply {
    /// Results of the pieces, or the failure of the whole call.
    pub(super) outcome: Outcome,
    /// Head of the response, if there was one.
    pub(super) head: Option<ResponseHead>,
}

impl From<Outcome> for Reply {
    fn from(outcome: Outcome) -> Reply {
        Reply {
            outcome,
            head: None,
        }
    }
}

/// Runs the items of `call` at `upstream`, as `permit` allows.
pub(super) async fn run(
    node: &Arc<Node>,
    upstream: &Arc<Upstream>,
    call: &Call,
    permit: Permit,
) -> Reply {
    let (authority, name) = (upstream.address.to_string(), upstream.name.as_str());
    let request = match steps::run_request(&authority, name, &call.items) {
        Ok(request) => request,
        Err(err) => {
            slog::error!(node.logger(), "call_unwritable"; "call" => call.id, "reason" => %err);
            return Outcome::Lost.into();
        }
    };
    let mut way = Way::Detour;
    let exchange = async {
        let urgency = Urgency::Priority(0);
        let mut response = exchange(node, upstream, request, urgency, permit, &mut way).await?;
        let (status, body) = (response.head.status, response.body.as_ref());
        let outcome = body.map_or(Outcome::Lost, |body| {
            steps::read_outcome(status, body, &call.items)
        });
        if !response
            .connection
            .record_results(&results(&outcome, &call.items))
        {
            slog::warn!(node.logger(), "foreign_answer"; "call" => call.id, "upstream" => name);
            return Ok((response.head, Outcome::Lost));
        }
        // Responses name no call. After a rejection or an unreadable response another copy of it
        // may follow, and would be taken for the response to the next call.
        match outcome {
            Outcome::Done(_) => Ok((response.release().await, outcome)),
            _ => Ok((response.head, outcome)),
        }
    };
    let result = tokio::time::timeout(call.timeout, exchange).await;
    match result {
        Ok(Ok((head, outcome))) => Reply {
            outcome,
            head: Some(head),
        },
        Ok(Err(connection::Error::Connect | connection::Error::CutOff)) => {
            Outcome::Unreachable.into()
        }
        Ok(Err(
            connection::Error::Unsent
            | connection::Error::TooMany
            | connection::Error::UnknownProcess,
        )) => Outcome::Unsent.into(),
        Ok(Err(connection::Error::Lost | connection::Error::Silent)) | Err(_) => {
            let is_path_lost = node.paths().way(&upstream.name) == Way::Detour;
            match way {
                Way::Direct if is_path_lost => Outcome::Interrupted.into(),
                _ => Outcome::Lost.into(),
            }
        }
    }
}

/// Frees results at the upstream that holds them, as `permit` allows; returns the head of its
/// response.
pub(super) async fn free(
    node: &Arc<Node>,
    upstream: &Arc<Upstream>,
    handles: &[Handle],
    permit: Permit,
) -> Option<ResponseHead> {
    let (authority, name) = (upstream.address.to_string(), upstream.name.as_str());
    let request = match steps::free_request(&authority, name, handles) {
        Ok(request) => request,
        Err(err) => {
            slog::error!(node.logger(), "free_unwritable"; "upstream" => name, "reason" => %err);
            return None;
        }
    };
    let mut way = Way::Direct;
    let exchange = exchange(
        node,
        upstream,
        request,
        Urgency::Deferrable,
        permit,
        &mut way,
    );
    let exchange = async {
        let response = exchange.await?;
        Ok::<_, connection::Error>(match response.head.status.is_success() {
            true => response.release().await,
            false => response.head,
        })
    };
    let result = tokio::time::timeout(FREE_TIMEOUT, exchange).await;
    result.ok()?.ok()
}

/// Hashes of the results that a call made, and of their pieces.
fn results(outcome: &Outcome, items: &[Item]) -> Vec<(u64, u64)> {
    let Outcome::Done(results) = outcome else {
        return Vec::new();
    };
    let results = results.iter().zip(items).filter_map(|(result, item)| {
        let numbers = [item.route_step, item.piece].map(|it| it.to_string());
        let piece = hash::hash_strs([item.request.as_str(), &numbers[0], &numbers[1]]);
        Some((hash::hash_strs([result.as_ref().ok()?.0.as_str()]), piece))
    });
    results.collect()
}

struct Response {
    head: ResponseHead,
    /// `None` if the body broke or was too large.
    body: Option<Bytes>,
    connection: PooledConnection,
}

impl Response {
    /// Returns the connection to the pool if it can be used again.
    async fn release(self) -> ResponseHead {
        if self.body.is_some() && !self.head.closes_connection {
            self.connection.return_to_pool(self.head.keep_alive).await;
        }
        self.head
    }
}

/// Sends a request and reads its response. Sets `way` before it sends.
async fn exchange(
    node: &Arc<Node>,
    upstream: &Arc<Upstream>,
    request: Request<Bytes>,
    urgency: Urgency,
    mut permit: Permit,
    way: &mut Way,
) -> Result<Response, connection::Error> {
    let request = request.map(Full::new);
    // The planner limits the calls to an upstream, and their connections with them.
    let mut connection = detour::acquire(node, upstream, Duration::MAX, usize::MAX).await?;
    *way = match connection.is_detour {
        true => Way::Detour,
        false => Way::Direct,
    };
    // Connecting can outlast the permit.
    let mut renewed_lease = None;
    if !permit.is_valid(clock::now_with_suspension()) {
        let admission = quota::admit(node, upstream, urgency).await;
        let admission = admission.map_err(|_| connection::Error::Unsent)?;
        permit = admission.permit;
        renewed_lease = Some(admission.lease);
    }
    // Connecting takes time, in which the upstream may have left.
    if !node.view().is_still_usable(upstream) {
        slog::info!(node.logger(), "call_not_sent"; "upstream" => upstream.name.as_str(),
            "reason" => "left");
        connection.return_to_pool(None).await;
        return Err(connection::Error::Unsent);
    }
    let response = connection.send(request, permit).await?;
    if !connection.is_detour {
        node.paths().record_answered(&upstream.name);
    }
    let head = ResponseHead::read(response.status(), response.headers());
    let max = match head.status {
        StatusCode::OK => steps::RESPONSE_BYTES_MAX,
        _ => buffer::REFUSAL_BODY_BYTES_MAX,
    };
    let body = buffer::collect(response.into_body(), &node.memory, max).await;
    drop(renewed_lease);
    Ok(Response {
        head,
        body: body.ok(),
        connection,
    })
}
