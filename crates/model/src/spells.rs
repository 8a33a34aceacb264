//! Upstreams that share their machines: each works slower for a short time, then another does.

use std::time::Duration;

use base::hash;

/// Spells in which upstreams work slower, of all services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spells {
    /// Share of upstreams that are slow at any moment, from 0 to 1.
    pub share: f64,
    /// Factor on the usual time of work during a spell.
    pub time_factor: f64,
    /// Duration of one spell.
    pub length: Duration,
    /// Whether responses tell how long work takes at the moment.
    pub is_told: bool,
    /// Whether the speed at the start of a call holds until its end.
    pub is_fixed_per_call: bool,
}

impl Spells {
    /// Factor on the time of work of an upstream at a time.
    pub(crate) fn factor(&self, service: usize, upstream: usize, time: Duration) -> f64 {
        // The spells of different upstreams start at different times.
        let offset = self.uniform(service, upstream, u128::MAX);
        let time = time + self.length.mul_f64(offset);
        let number = time.as_nanos() / self.length.as_nanos().max(1);
        match self.uniform(service, upstream, number) < self.share {
            true => self.time_factor,
            false => 1.0,
        }
    }

    /// Time that work of `nominal` takes from `start` on.
    pub(crate) fn time(
        &self,
        service: usize,
        upstream: usize,
        start: Duration,
        nominal: Duration,
    ) -> Duration {
        const TICK: Duration = Duration::from_millis(1);
        if self.is_fixed_per_call {
            return nominal.mul_f64(self.factor(service, upstream, start));
        }
        let mut time = Duration::ZERO;
        let mut left = nominal.as_secs_f64();
        while left > 0.0 {
            left -= TICK.as_secs_f64() / self.factor(service, upstream, start + time);
            time += TICK;
        }
        time
    }

    fn uniform(&self, service: usize, upstream: usize, number: u128) -> f64 {
        let parts = [
            service.to_string(),
            upstream.to_string(),
            number.to_string(),
        ];
        hash::hash_strs(parts.iter().map(String::as_str)) as f64 / u64::MAX as f64
    }
}
