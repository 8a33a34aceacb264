//! Arrivals and troubles over time.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::site::Site;

/// A multiple of the usual traffic for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// Kind of request; `None` for all.
    pub kind: Option<usize>,
    /// Multiple of the usual rate.
    pub times: f64,
    /// Begin.
    pub at: Duration,
    /// Length.
    pub lasts: Duration,
}

/// What goes wrong with upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The first upstreams of a service work slower.
    Slow {
        /// Index of the service.
        service: usize,
        /// Number of upstreams.
        count: usize,
        /// Multiple of the usual time.
        times: f64,
        /// Begin.
        at: Duration,
        /// Length.
        lasts: Duration,
    },
    /// The first upstreams of a service give no answers.
    Silent {
        /// Index of the service.
        service: usize,
        /// Number of upstreams.
        count: usize,
        /// Begin.
        at: Duration,
        /// Length.
        lasts: Duration,
    },
}

/// Load of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Length of the run.
    pub length: Duration,
    /// Bursts; they multiply where they overlap.
    pub bursts: Vec<Burst>,
    /// Troubles.
    pub troubles: Vec<Trouble>,
}

/// Resolution of the arrival process.
const TICK: Duration = Duration::from_millis(5);

impl Load {
    /// Arrivals, as times and kinds, in order.
    pub(crate) fn arrivals(&self, site: &Site, rng: &mut SmallRng) -> Vec<(Duration, usize)> {
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        while at < self.length {
            for (idx, kind) in site.kinds.iter().enumerate() {
                let rate = kind.rate * self.factor(idx, at);
                if rng.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    arrivals.push((at, idx));
                }
            }
            at += TICK;
        }
        arrivals
    }

    fn factor(&self, kind: usize, at: Duration) -> f64 {
        let is_on = |it: &&Burst| {
            let is_kind = it.kind.is_none_or(|it| it == kind);
            is_kind && at >= it.at && at < it.at + it.lasts
        };
        self.bursts
            .iter()
            .filter(is_on)
            .map(|it| it.times)
            .product()
    }

    /// How much slower an upstream of a service works at a time; `None` while it is silent.
    pub(crate) fn slowness(&self, service: usize, upstream: usize, at: Duration) -> Option<f64> {
        let mut slowness = 1.0;
        for trouble in &self.troubles {
            match *trouble {
                Trouble::Slow {
                    service: of,
                    count,
                    times,
                    at: begin,
                    lasts,
                } if of == service && upstream < count && at >= begin && at < begin + lasts => {
                    slowness *= times;
                }
                Trouble::Silent {
                    service: of,
                    count,
                    at: begin,
                    lasts,
                } if of == service && upstream < count && at >= begin && at < begin + lasts => {
                    return None;
                }
                _ => {}
            }
        }
        Some(slowness)
    }
}
