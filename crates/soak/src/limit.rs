//! An upstream that announces a rate limit throughout a run, and the check that all nodes together
//! keep it.

use std::sync::Arc;
use std::time::Duration;

use platform_standin::site::Site;
use platform_standin::upstream::Upstream;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::check::Violation;

/// Rates that are announced, in requests per second.
const RATES: [f64; 4] = [0.5, 1.0, 2.0, 5.0];
/// Time after the first answer with the limit from which on it has to be kept, by requirement.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// The requests in every window of this length are counted, by requirement.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on what the limit allows, and further requests that are allowed, by requirement.
const OVERSHOOT: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

/// An upstream and the limit that it announces.
pub(crate) struct Limit {
    upstream: Arc<Upstream>,
    rate: f64,
}

impl Limit {
    /// Lets a random upstream of the site announce a random limit.
    pub(crate) fn start(site: &Site, rng: &mut SmallRng) -> Limit {
        let upstream = &site.upstreams[rng.random_range(0..site.upstreams.len())].0;
        let rate = RATES[rng.random_range(0..RATES.len())];
        upstream.announce_rate_limit(Some(&rate.to_string()));
        Limit {
            upstream: upstream.clone(),
            rate,
        }
    }

    /// Ends the limit, and checks the requests that arrived while it was in force.
    pub(crate) fn end(self) -> Option<Violation> {
        let named_at = self.upstream.rate_limit_named_at();
        self.upstream.announce_rate_limit(None);
        let kept_from = named_at? + NOTICE_TIME;
        let times = self.upstream.arrival_times();
        let times: Vec<_> = times.into_iter().filter(|it| *it >= kept_from).collect();
        let counts = times.iter().enumerate().map(|(idx, start)| {
            let within = times[idx..].iter().take_while(|it| **it < *start + WINDOW);
            within.count()
        });
        let most = counts.max().unwrap_or_default();
        let allowed = self.rate * WINDOW.as_secs_f64() * OVERSHOOT + EXTRA_REQUESTS;
        let name = self.upstream.name.clone();
        (most as f64 > allowed).then_some(Violation::OverLimit(name, most))
    }
}
