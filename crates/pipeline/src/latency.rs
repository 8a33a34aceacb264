//! Measured stage latencies by service.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use hdrhistogram::Histogram;

/// Number of samples between two updates of the quantile.
const SAMPLES_PER_UPDATE: u64 = 32;
/// Number of samples after which the histogram is reset, so that it follows changes.
const SAMPLES_PER_WINDOW: u64 = 1024;
const QUANTILE: f64 = 0.95;
/// Number of significant decimal figures that the histogram keeps.
const SIGNIFICANT_FIGURES: u8 = 2;

struct ServiceLatency {
    histogram: Histogram<u64>,
    p95: Duration,
}

/// 95th percentiles of the stage latency, by service.
#[derive(Default)]
pub(crate) struct Latencies(BTreeMap<id::Service, ServiceLatency>);

impl Latencies {
    /// Records the time that a stage took until its complete answer, including retries and
    /// back-off.
    pub(crate) fn record(&mut self, service: &id::Service, elapsed: Duration) {
        if !self.0.contains_key(service) {
            let Ok(histogram) = Histogram::new(SIGNIFICANT_FIGURES) else {
                return;
            };
            let p95 = elapsed;
            self.0
                .insert(service.clone(), ServiceLatency { histogram, p95 });
        }
        let Some(latency) = self.0.get_mut(service) else {
            return;
        };
        // Cannot fail: the histogram resizes itself for any value.
        let _ = latency.histogram.record(elapsed.as_micros() as u64);
        let samples = latency.histogram.len();
        if samples.is_multiple_of(SAMPLES_PER_UPDATE) {
            let micros = latency.histogram.value_at_quantile(QUANTILE);
            latency.p95 = Duration::from_micros(micros);
        }
        if samples >= SAMPLES_PER_WINDOW {
            latency.histogram.reset();
        }
    }

    /// The 95th percentile of a service; `None` before the first answer.
    pub(crate) fn p95(&self, service: &id::Service) -> Option<Duration> {
        self.0.get(service).map(|it| it.p95)
    }
}
