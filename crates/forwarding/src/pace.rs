//! Expected time to the first byte of an answer, by route and prompt size.
//!
//! An engine answers a short prompt in some tens of milliseconds and needs a second for a long one.
//! Whether it is slow or unresponsive can only be judged by requests of the same kind; with one
//! average over all requests, every long prompt would look unanswered.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples are capped at this multiple of the average, so that one slow upstream does not raise the
/// expected time for all.
const SAMPLE_CAP_FACTOR: f64 = 4.0;
/// A request counts as unanswered after this multiple of the expected time.
const TIMEOUT_FACTOR: f64 = 6.0;
/// Minimum time, as a fraction of the latency goal, after which a request counts as unanswered:
/// another engine takes as long to process its prompt again.
const GOAL_FRACTION: f64 = 0.5;
/// Minimum time after which a request counts as unanswered.
const TIMEOUT_MIN: Duration = Duration::from_millis(250);

/// Fixed cost of a request, expressed in prompt tokens: processing this many takes as long as
/// everything else before the first byte.
const BASE_TOKENS: u64 = 500;

/// Cap on the prompt size in tokens; larger than the context of any engine.
const TOKENS_MAX: u64 = 10_000_000;
/// Maximum number of routes with samples. New configurations bring new routes; when the map is
/// full, all samples are discarded.
const ROUTES_MAX: usize = 256;

/// Prompt size of a request, capped; the time to the first byte grows with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize(u64);

/// Moving averages of the time to the first byte, by route.
#[derive(Debug, Default)]
pub struct LatencyModel {
    /// Seconds per token, by route.
    seconds_per_token: BTreeMap<String, f64>,
}

impl PromptSize {
    /// Size of a prompt of `tokens` tokens; 0 for a request without a prompt.
    #[must_use]
    pub const fn from_tokens(tokens: u64) -> PromptSize {
        let is_below_cap = tokens < TOKENS_MAX;
        PromptSize(if is_below_cap { tokens } else { TOKENS_MAX })
    }

    fn tokens(self) -> f64 {
        (self.0 + BASE_TOKENS) as f64
    }
}

impl LatencyModel {
    /// Records the time to the first byte of a successful answer on a route.
    pub fn record_sample(&mut self, route: &str, size: PromptSize, took: Duration) {
        let per_token = took.as_secs_f64() / size.tokens();
        match self.seconds_per_token.get_mut(route) {
            Some(average) => {
                let sample = per_token.min(*average * SAMPLE_CAP_FACTOR);
                *average += SAMPLE_WEIGHT * (sample - *average);
            }
            None => {
                if self.seconds_per_token.len() >= ROUTES_MAX {
                    self.seconds_per_token.clear();
                }
                self.seconds_per_token.insert(route.to_owned(), per_token);
            }
        }
    }

    /// Expected time to the first byte on a route; `None` before the first sample.
    #[must_use]
    pub fn expected(&self, route: &str, size: PromptSize) -> Option<Duration> {
        let seconds = self.seconds_per_token.get(route)?;
        Some(Duration::from_secs_f64(seconds * size.tokens()))
    }

    /// Time without a byte of an answer after which a request counts as unanswered; `goal` is the
    /// latency goal of its route.
    #[must_use]
    pub fn first_byte_timeout(&self, route: &str, size: PromptSize, goal: Duration) -> Duration {
        let floor = goal.mul_f64(GOAL_FRACTION);
        let expected = self.expected(route, size).unwrap_or(floor);
        expected.mul_f64(TIMEOUT_FACTOR).max(floor).max(TIMEOUT_MIN)
    }
}
