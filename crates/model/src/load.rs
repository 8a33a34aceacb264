//! Request arrivals and upstream faults over time. Times are relative to the start of the run.

use std::time::Duration;

use base::rate::Rate;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::site::Site;
use crate::spells::Spells;

/// A multiple of the usual request rate for a limited time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// Index of the kind of request; `None` for all kinds.
    pub kind: Option<usize>,
    /// Factor on the usual rate.
    pub rate_factor: f64,
    /// Start of the burst.
    pub start: Duration,
    /// Duration of the burst.
    pub duration: Duration,
}

/// A fault of some upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamFault {
    /// The first `count` upstreams process calls slower.
    Slow {
        /// Index of the service.
        service: usize,
        /// Number of faulty upstreams.
        count: usize,
        /// Factor on the usual time of a call.
        time_factor: f64,
        /// Start of the fault.
        start: Duration,
        /// Duration of the fault.
        duration: Duration,
    },
    /// The first `count` upstreams announce that they accept a limited rate of calls.
    Limited {
        /// Index of the service.
        service: usize,
        /// Number of limited upstreams.
        count: usize,
        /// Calls per second that each of them accepts.
        rate: Rate,
        /// Start of the limit.
        start: Duration,
        /// Duration of the limit.
        duration: Duration,
    },
    /// The first `count` upstreams send no responses.
    Silent {
        /// Index of the service.
        service: usize,
        /// Number of faulty upstreams.
        count: usize,
        /// Start of the fault.
        start: Duration,
        /// Duration of the fault.
        duration: Duration,
    },
    /// All upstreams work slower by turns, throughout the run.
    Spells(Spells),
}

/// Load and faults of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Time for which requests arrive.
    pub length: Duration,
    /// Bursts; the factors of overlapping ones multiply.
    pub bursts: Vec<Burst>,
    /// Faults of upstreams.
    pub upstream_faults: Vec<UpstreamFault>,
}

/// How the requests divide among workspaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workspaces {
    /// Number of workspaces, which send the same number of requests outside bursts.
    pub count: usize,
    /// Whether all additional requests of bursts are of the first one.
    pub first_bursts: bool,
}

/// Time step of the arrival process: each kind has at most one arrival per step.
const TICK: Duration = Duration::from_millis(5);

impl Load {
    /// Random arrivals, as times and indices of kinds, in order of time.
    pub(crate) fn arrivals(&self, site: &Site, rng: &mut SmallRng) -> Vec<(Duration, usize)> {
        let mut arrivals = Vec::new();
        let mut time = Duration::ZERO;
        while time < self.length {
            for (idx, kind) in site.kinds.iter().enumerate() {
                let rate = kind.rate * self.rate_factor(idx, time);
                if rng.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    arrivals.push((time, idx));
                }
            }
            time += TICK;
        }
        arrivals
    }

    /// Factor on the request rate of a kind at a time.
    fn rate_factor(&self, kind: usize, time: Duration) -> f64 {
        let is_active = |it: &&Burst| {
            let is_kind = it.kind.is_none_or(|it| it == kind);
            is_kind && time >= it.start && time < it.start + it.duration
        };
        self.bursts
            .iter()
            .filter(is_active)
            .map(|it| it.rate_factor)
            .product()
    }

    /// Random workspace of a request of a kind that arrives at a time.
    pub(crate) fn workspace(
        &self,
        workspaces: Workspaces,
        kind: usize,
        time: Duration,
        rng: &mut SmallRng,
    ) -> usize {
        let factor = self.rate_factor(kind, time).max(1.0);
        let is_additional = rng.random_bool((factor - 1.0) / factor);
        if workspaces.first_bursts && is_additional {
            return 0;
        }
        rng.random_range(0..workspaces.count)
    }

    /// Rate of calls that an upstream accepts at a time; `None` without a limit.
    pub(crate) fn rate_limit(
        &self,
        service: usize,
        upstream: usize,
        time: Duration,
    ) -> Option<Rate> {
        self.upstream_faults.iter().find_map(|it| match *it {
            UpstreamFault::Limited {
                service: limited_service,
                count,
                rate,
                start,
                duration,
            } if limited_service == service
                && upstream < count
                && time >= start
                && time < start + duration =>
            {
                Some(rate)
            }
            _ => None,
        })
    }

    /// The spells in which upstreams work slower, if there are any.
    pub(crate) fn spells(&self) -> Option<Spells> {
        self.upstream_faults.iter().find_map(|it| match it {
            UpstreamFault::Spells(spells) => Some(*spells),
            _ => None,
        })
    }

    /// Factor on the time of calls to an upstream at a time; `None` while it sends no responses.
    pub(crate) fn slowdown(&self, service: usize, upstream: usize, time: Duration) -> Option<f64> {
        let mut slowdown = 1.0;
        for fault in &self.upstream_faults {
            match *fault {
                UpstreamFault::Slow {
                    service: faulty_service,
                    count,
                    time_factor,
                    start: begin,
                    duration,
                } if faulty_service == service
                    && upstream < count
                    && time >= begin
                    && time < begin + duration =>
                {
                    slowdown *= time_factor;
                }
                UpstreamFault::Silent {
                    service: faulty_service,
                    count,
                    start: begin,
                    duration,
                } if faulty_service == service
                    && upstream < count
                    && time >= begin
                    && time < begin + duration =>
                {
                    return None;
                }
                _ => {}
            }
        }
        Some(slowdown)
    }
}
