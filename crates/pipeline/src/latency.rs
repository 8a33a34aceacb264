//! Measured stage times of services.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use hdrhistogram::Histogram;

/// Samples between two readings of the quantile.
const SAMPLES_PER_READING: u64 = 32;
/// Samples after which the histogram starts anew, so that it follows changes.
const SAMPLES_PER_WINDOW: u64 = 1024;
const QUANTILE: f64 = 0.95;
/// Significant figures of the histogram.
const FIGURES: u8 = 2;

struct Quantile {
    histogram: Histogram<u64>,
    p95: Duration,
}

/// 95th percentiles by service.
#[derive(Default)]
pub(crate) struct Latencies(BTreeMap<id::Service, Quantile>);

impl Latencies {
    /// Records the time of one whole answer.
    pub(crate) fn record(&mut self, service: &id::Service, elapsed: Duration) {
        if !self.0.contains_key(service) {
            let Ok(histogram) = Histogram::new(FIGURES) else {
                return;
            };
            let p95 = elapsed;
            self.0.insert(service.clone(), Quantile { histogram, p95 });
        }
        let Some(quantile) = self.0.get_mut(service) else {
            return;
        };
        // An unlimited histogram of two figures takes every value.
        let _ = quantile.histogram.record(elapsed.as_micros() as u64);
        let samples = quantile.histogram.len();
        if samples.is_multiple_of(SAMPLES_PER_READING) {
            let micros = quantile.histogram.value_at_quantile(QUANTILE);
            quantile.p95 = Duration::from_micros(micros);
        }
        if samples >= SAMPLES_PER_WINDOW {
            quantile.histogram.reset();
        }
    }

    /// The 95th percentile of a service, if it was measured.
    pub(crate) fn p95(&self, service: &id::Service) -> Option<Duration> {
        self.0.get(service).map(|it| it.p95)
    }
}
