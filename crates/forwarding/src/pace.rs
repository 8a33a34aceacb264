//! Usual times to the first byte of an answer, by kind of request and size of its prompt.
//!
//! An engine answers a short prompt in some tens of milliseconds and reads a long one for a second.
//! Whether it is slow or silent shows only against the usual time of such a request; an average over
//! all of them takes every long prompt for a silence.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A time counts as at most this multiple of the usual one, so that one slow upstream does not make
/// its slowness usual.
const SAMPLE_MAX: f64 = 4.0;
/// A request that has waited for this multiple of the usual time is taken for unanswered.
const SILENCE_FACTOR: f64 = 6.0;
/// Part of its goal that a request waits in any case: reading it again elsewhere takes as long.
const GOAL_PART: f64 = 0.5;
/// Shortest time that is taken for silence.
const SILENCE_MIN: Duration = Duration::from_millis(250);

/// Tokens of a prompt whose reading takes as long as everything else before the first byte.
const BASE_TOKENS: u64 = 500;

/// Largest prompt that is told apart from larger ones, in tokens: more than any engine holds.
const TOKENS_MAX: u64 = 10_000_000;
/// Routes whose times are kept. Configurations name new ones; beyond this many, all are learned anew.
const ROUTES_MAX: usize = 256;

/// Size of a request: what the time to its first byte grows with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize(u64);

/// Usual times of the kinds of requests that an instance has sent.
#[derive(Debug, Default)]
pub struct LatencyModel {
    /// Seconds for each token, by route.
    usual: BTreeMap<String, f64>,
}

impl PromptSize {
    /// A request with a prompt of this many tokens; none for requests without a prompt.
    #[must_use]
    pub const fn from_tokens(tokens: u64) -> PromptSize {
        let is_usual = tokens < TOKENS_MAX;
        PromptSize(if is_usual { tokens } else { TOKENS_MAX })
    }

    fn tokens(self) -> f64 {
        (self.0 + BASE_TOKENS) as f64
    }
}

impl LatencyModel {
    /// Notes the time to the first byte of a sound answer on a route.
    pub fn record_sample(&mut self, route: &str, size: PromptSize, took: Duration) {
        let took = took.as_secs_f64() / size.tokens();
        match self.usual.get_mut(route) {
            Some(usual) => {
                let sample = took.min(*usual * SAMPLE_MAX);
                *usual += SAMPLE_WEIGHT * (sample - *usual);
            }
            None => {
                if self.usual.len() >= ROUTES_MAX {
                    self.usual.clear();
                }
                self.usual.insert(route.to_owned(), took);
            }
        }
    }

    /// Usual time of a route's requests of a size, once one was answered.
    #[must_use]
    pub fn expected(&self, route: &str, size: PromptSize) -> Option<Duration> {
        let usual = self.usual.get(route)?;
        Some(Duration::from_secs_f64(usual * size.tokens()))
    }

    /// Time without a byte of an answer after which a request of a route is taken for unanswered;
    /// `goal` is the time within which its answer is of full use.
    #[must_use]
    pub fn first_byte_timeout(&self, route: &str, size: PromptSize, goal: Duration) -> Duration {
        let part = goal.mul_f64(GOAL_PART);
        let usual = self.expected(route, size).unwrap_or(part);
        usual.mul_f64(SILENCE_FACTOR).max(part).max(SILENCE_MIN)
    }
}
