//! A parsed client request with its route, deadlines and fingerprint.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use base::hash;
use base::id;
use bytes::Bytes;
use catalog::Route;
use catalog::RouteKind;
use catalog::Workspace;
use forwarding::pace::PromptSize;
use forwarding::poison::Subject;
use forwarding::stop::Shutdown;
use http::HeaderMap;
use http::Method;
use platform::request::PromptPart;
use platform::request::RequestHead;
use tokio::time::Instant;

use crate::buffer::Reservation;
use crate::clock;

/// Longest idle time of a pooled connection that is reused for a request that can't be retried: a
/// reset after the first byte was sent would leave its outcome unknown.
const NON_REPEATABLE_IDLE_MAX: Duration = Duration::from_millis(200);
/// Longest idle time of a pooled connection that is reused for a request that can be retried.
const REPEATABLE_IDLE_MAX: Duration = Duration::from_millis(900);
/// Interval at which [`ClientRequest::expired`] recomputes the remaining time.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Length of a shared prompt prefix, in tokens, from which on recomputing it costs more than
/// moving step results to the zone of the engine that caches it: 2.5 results of 1.5 MB compared
/// with 2,500 tokens, at the prices of both users.
const LONG_PREFIX_TOKENS_MIN: u64 = 1_000;
/// Most prompt parts that are hashed for a request, which bounds the memory that it takes.
const SHARED_PARTS_MAX: usize = 32;
/// Keeps hashes of prompt parts apart from those of requests.
const PROMPT_PART_DOMAIN: &str = "prompt-part";
/// Keeps hashes of the ids of requests that begin streams apart from those of requests.
const STREAM_DOMAIN: &str = "stream";
/// Time reserved before the deadline for sending the response to the client.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Which resumable stream a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resumption {
    /// A new one.
    New,
    /// One that an earlier request of the client began, by the hash of that request's id; `None` if
    /// the client names no request.
    Stream(Option<id::Fingerprint>),
}

/// A request as its client sent it, with the route and workspace that the configuration assigns.
#[derive(Debug)]
pub struct ClientRequest {
    /// Request id from the client's headers, empty if absent; a client retry has a new one.
    pub id: String,
    /// Values parsed from the headers.
    pub head: RequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query, not normalised.
    pub path_and_query: String,
    /// Headers as received, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the body takes of the instance's memory budget.
    pub(crate) _body_memory: Reservation,
    /// Route that matched the host and path.
    pub route: Route,
    /// Workspace that the API key belongs to; `None` without a valid key on a public route, or if
    /// no workspaces are configured.
    pub workspace: Option<Workspace>,
    /// Whether the configuration has workspaces, so that the headers may contain an API key.
    pub has_workspaces: bool,
    /// Priority of the workspace or else of the route; 0 is the most urgent.
    pub priority: u8,
    /// When the header had been read.
    pub received_at: Instant,
    /// Time for which the machine had been suspended since boot at `received_at`.
    pub suspended_at_receipt: Duration,
    /// Hash of path and query, workspace and body: equal for retries of the same request.
    pub fingerprint: id::Fingerprint,
    /// Hashes of the prompt parts that other requests may share.
    pub shared_parts: Vec<id::Fingerprint>,
    /// The graceful shutdown of this process, once it has begun.
    pub shutdown: Arc<OnceLock<Shutdown>>,
}

impl ClientRequest {
    /// Time limit from `received_at`: the client's deadline, at most the route's timeout.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        let client_limit = self.head.deadline.unwrap_or(self.route.timeout);
        client_limit.min(self.route.timeout)
    }

    /// Time left until the time limit, or until the answer deadline of a graceful shutdown. Time
    /// for which the machine was suspended counts as elapsed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let suspended = clock::time_suspended().saturating_sub(self.suspended_at_receipt);
        let left = self.time_limit();
        let left = left.saturating_sub(self.received_at.elapsed() + suspended);
        let answer_deadline = self.shutdown.get().map(Shutdown::answer_deadline);
        let until_shutdown = answer_deadline.map(|it| it.saturating_duration_since(Instant::now()));
        left.min(until_shutdown.unwrap_or(left))
    }

    /// Completes when at most [`RESPONSE_MARGIN`] is left. The remaining time is recomputed at
    /// intervals, since a shutdown or a suspension of the machine shortens it.
    pub async fn expired(&self) {
        loop {
            let left = self.time_left().saturating_sub(RESPONSE_MARGIN);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(EXPIRY_CHECK_INTERVAL)).await;
        }
    }

    /// Instant by which the response must have been sent.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }

    /// Instant until which the response, or the first event of a stream, is of full use.
    #[must_use]
    pub fn soft_deadline(&self) -> Instant {
        self.received_at + self.route.goal
    }

    /// Hash of the prompt's prefix, which requests of one session or document share: all parts but
    /// the last, or the only one. `None` without a prompt.
    #[must_use]
    pub fn prompt_prefix_hash(&self) -> Option<u64> {
        let parts = &self.head.prompt;
        let last_shared = parts.len().checked_sub(2).or(parts.len().checked_sub(1))?;
        let ids = parts[..=last_shared].iter().map(|it| it.id.as_str());
        Some(hash::hash_strs(ids))
    }

    /// Hashes of the shared prompt parts, for the log.
    #[must_use]
    pub fn shared_parts_text(&self) -> String {
        let parts: Vec<String> = self.shared_parts.iter().map(|it| it.to_string()).collect();
        parts.join(",")
    }

    /// Size of the prompt, with which the time to first byte grows.
    #[must_use]
    pub fn prompt_size(&self) -> PromptSize {
        PromptSize::from_tokens(token_count(&self.head.prompt))
    }

    /// Name of the client's workspace; `None` if the deployment has none, or if the name is not one
    /// that messages may carry.
    #[must_use]
    pub(crate) fn workspace_id(&self) -> Option<id::Workspace> {
        self.workspace.as_ref()?.name.parse().ok()
    }

    /// Whether the prompt's shared prefix is long enough to prefer the engine that caches it even
    /// in another zone.
    #[must_use]
    pub fn has_long_prefix(&self) -> bool {
        let parts = &self.head.prompt;
        let shared = &parts[..parts.len().saturating_sub(1)];
        token_count(shared) >= LONG_PREFIX_TOKENS_MIN
    }

    /// What the request may be refused for.
    #[must_use]
    pub fn subject(&self) -> Subject<'_> {
        Subject {
            fingerprint: self.fingerprint,
            parts: &self.shared_parts,
        }
    }

    /// Which resumable stream the request asks for; `None` if its route has no such streams.
    #[must_use]
    pub(crate) fn continuation_kind(&self) -> Option<Resumption> {
        if self.route.kind != RouteKind::ResumableStream {
            return None;
        }
        match (&self.head.resumed_request, self.head.has_last_event) {
            (Some(request), _) => Some(Resumption::Stream(Some(stream_hash(request)))),
            (None, true) => Some(Resumption::Stream(None)),
            (None, false) => Some(Resumption::New),
        }
    }

    /// Identifies the stream that this request begins.
    #[must_use]
    pub(crate) fn stream(&self) -> id::Fingerprint {
        stream_hash(&self.id)
    }

    /// The service that the request is sent to, as long as the origin of the stream that it resumes
    /// does not decide it: the one that the request which began the stream was sent to.
    #[must_use]
    pub(crate) fn service(&self) -> Option<&id::Service> {
        let resumed = self.head.resumed_request.as_ref();
        let resumed = resumed.filter(|_| self.route.kind == RouteKind::ResumableStream);
        self.route.target(resumed.unwrap_or(&self.id))
    }

    /// Whether the request may run more than once, by the kind of its route.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Longest idle time of a pooled connection that may be reused for this request.
    #[must_use]
    pub fn connection_idle_max(&self) -> Duration {
        if self.is_repeatable() {
            REPEATABLE_IDLE_MAX
        } else {
            NON_REPEATABLE_IDLE_MAX
        }
    }

    /// Caps a `Retry-After` time at 30% of the remaining time: clients ignore one that exceeds a
    /// third of it.
    #[must_use]
    pub fn clamp_retry_after(&self, retry_after: Duration) -> Duration {
        retry_after.min(self.time_left().mul_f64(0.3))
    }
}

fn stream_hash(request_id: &str) -> id::Fingerprint {
    id::Fingerprint(hash::hash_strs([STREAM_DOMAIN, request_id]))
}

/// Hashes of the parts of a prompt that other requests may share: all but the last, which belongs
/// to the request or its session. Parts beyond the first [`SHARED_PARTS_MAX`] are left out.
#[must_use]
pub fn hash_shared_parts(prompt: &[PromptPart]) -> Vec<id::Fingerprint> {
    let shared = prompt.len().saturating_sub(1);
    let shared = prompt.iter().take(shared.min(SHARED_PARTS_MAX));
    let hashes = shared.map(|it| hash::hash_strs([PROMPT_PART_DOMAIN, &it.id]));
    hashes.map(id::Fingerprint).collect()
}

/// Sum of the token counts that the client states for `parts`; saturates, as they are unchecked.
fn token_count(parts: &[PromptPart]) -> u64 {
    let counts = parts.iter().map(|it| it.tokens);
    counts.fold(0, u64::saturating_add)
}
