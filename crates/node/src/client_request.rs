//! A request as its client sent it, and the time that it has.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use base::hash;
use base::id;
use bytes::Bytes;
use catalog::Route;
use catalog::Workspace;
use forwarding::pace::PromptSize;
use forwarding::stop::Shutdown;
use http::HeaderMap;
use http::Method;
use platform::front::PromptPart;
use platform::front::RequestHead;
use tokio::time::Instant;

use crate::clock;

/// Kept connections idle for longer are not used for requests that cannot be repeated: a reset
/// after the first byte would leave their outcome unknown.
const NON_REPEATABLE_IDLE_MAX: Duration = Duration::from_millis(200);
/// The same for requests that can be repeated.
const REPEATABLE_IDLE_MAX: Duration = Duration::from_millis(900);
/// Time between looks at what a waiting request has left.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shared tokens of a prompt from which on reading them again costs more than moving results
/// between zones: 2.5 results of 1.5 MB against 2,500 tokens at the prices of both users.
const LONG_PREFIX_TOKENS_MIN: u64 = 1_000;
/// Time kept back from the deadline to answer within it.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// A request as its client sent it, with what the configuration says of it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Id of the client attempt.
    pub id: String,
    /// What its headers say.
    pub head: RequestHead,
    /// Method.
    pub method: Method,
    /// Path and query, byte by byte.
    pub path_and_query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Route,
    /// Workspace of its key.
    pub workspace: Option<Workspace>,
    /// Whether the configuration has workspaces.
    pub has_keys: bool,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When its header had been read.
    pub received_at: Instant,
    /// Suspension of the machine until then.
    pub suspended_at_receipt: Duration,
    /// Path, workspace and body.
    pub fingerprint: id::Fingerprint,
    /// The stop of this process, once it has begun.
    pub stop: Arc<OnceLock<Shutdown>>,
}

impl ClientRequest {
    /// Longest time that the request takes, from when it was received.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        let client_limit = self.head.deadline.unwrap_or(self.route.timeout);
        client_limit.min(self.route.timeout)
    }

    /// Time that the request has left, within this process's stop and without the time in which the machine was suspended.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let suspended = clock::time_suspended().saturating_sub(self.suspended_at_receipt);
        let left = self.time_limit();
        let left = left.saturating_sub(self.received_at.elapsed() + suspended);
        let stop = self.stop.get().map(Shutdown::answer_deadline);
        let until_stop = stop.map(|it| it.saturating_duration_since(Instant::now()));
        left.min(until_stop.unwrap_or(left))
    }

    /// Completes when the request has less than [`RESPONSE_MARGIN`] left. A stop that begins, or a
    /// suspension, shortens the time on the way.
    pub async fn expired(&self) {
        loop {
            let left = self.time_left().saturating_sub(RESPONSE_MARGIN);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(EXPIRY_CHECK_INTERVAL)).await;
        }
    }

    /// When the answer must have been given.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }

    /// When the answer is of full use.
    #[must_use]
    pub fn soft_deadline(&self) -> Instant {
        self.received_at + self.route.goal
    }

    /// Identifies the part of the prompt that requests of one session or document share.
    #[must_use]
    pub fn prompt_prefix_hash(&self) -> Option<u64> {
        let parts = &self.head.prompt;
        let last_shared = parts.len().checked_sub(2).or(parts.len().checked_sub(1))?;
        let ids = parts[..=last_shared].iter().map(|it| it.id.as_str());
        Some(hash::of_strs(ids))
    }

    /// What the time to its first byte grows with.
    #[must_use]
    pub fn prompt_size(&self) -> PromptSize {
        PromptSize::from_tokens(token_count(&self.head.prompt))
    }

    /// Whether the engine that keeps the shared part of the prompt is worth going to in any zone.
    #[must_use]
    pub fn has_long_prefix(&self) -> bool {
        let parts = &self.head.prompt;
        let shared = &parts[..parts.len().saturating_sub(1)];
        token_count(shared) >= LONG_PREFIX_TOKENS_MIN
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// How long a kept connection may have been idle.
    #[must_use]
    pub fn connection_idle_max(&self) -> Duration {
        if self.is_repeatable() {
            REPEATABLE_IDLE_MAX
        } else {
            NON_REPEATABLE_IDLE_MAX
        }
    }

    /// A time to come back that the client honours: within a third of what it has left.
    #[must_use]
    pub fn clamp_retry_after(&self, retry_after: Duration) -> Duration {
        retry_after.min(self.time_left().mul_f64(0.3))
    }
}

/// Tokens of some parts of a prompt. The counts are the client's.
fn token_count(parts: &[PromptPart]) -> u64 {
    let counts = parts.iter().map(|it| it.tokens);
    counts.fold(0, u64::saturating_add)
}
