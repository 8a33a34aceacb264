//! Usual times to the first byte of an answer, by kind of request.
//!
//! An engine answers a short prompt in some tens of milliseconds and reads a long one for a second.
//! Whether it is slow or silent shows only against the usual time of the same kind of request; an
//! average over all kinds takes every long prompt for a silence.

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

/// Usual times of the kinds of requests that an instance has sent.
#[derive(Debug, Default)]
pub struct Pace {
    /// Seconds, by route.
    usual: BTreeMap<String, f64>,
}

impl Pace {
    /// Notes the time to the first byte of a sound answer on a route.
    pub fn answered(&mut self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.usual.get_mut(route) {
            Some(usual) => {
                let sample = took.min(*usual * SAMPLE_MAX);
                *usual += SAMPLE_WEIGHT * (sample - *usual);
            }
            None => {
                self.usual.insert(route.to_owned(), took);
            }
        }
    }

    /// Usual time of a route's requests, once one was answered.
    #[must_use]
    pub fn usual(&self, route: &str) -> Option<Duration> {
        self.usual.get(route).copied().map(Duration::from_secs_f64)
    }

    /// Time without a byte of an answer after which a request of a route is taken for unanswered;
    /// `goal` is the time within which its answer is of full use.
    #[must_use]
    pub fn silence(&self, route: &str, goal: Duration) -> Duration {
        let part = goal.mul_f64(GOAL_PART);
        let usual = self.usual(route).unwrap_or(part);
        usual.mul_f64(SILENCE_FACTOR).max(part).max(SILENCE_MIN)
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.usual.retain(|route, _| is_known(route));
    }
}
