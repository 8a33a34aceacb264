//! In-process metrics, exported as text.
//!
//! The registry replaces StatsD as the sink and receives the same metrics.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Maximum value of a histogram in milliseconds; longer times are recorded as this value.
const HISTOGRAM_MAX_MS: u64 = 120_000;
/// Significant decimal digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of series. Once it is reached, all samples are dropped, those of existing series
/// too, so that a bug in metric names cannot exhaust the memory.
const SERIES_MAX: usize = 2_000;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct Series {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

/// Counters, gauges and time histograms of one process. Clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    series: Arc<Mutex<Series>>,
}

impl Registry {
    /// Renders all series as text, one value per line.
    #[must_use]
    pub fn render(&self) -> String {
        let series = self.lock();
        let mut text = String::new();
        for (name, value) in series.counters.iter().chain(&series.gauges) {
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &series.times {
            let _ = writeln!(text, "{name}_count {}", histogram.len());
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, Series> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Series {
    fn add(&mut self, name: String, kind: &str, value: u64) {
        let len = self.counters.len() + self.gauges.len() + self.times.len();
        if len >= SERIES_MAX {
            return;
        }
        match kind {
            "c" => *self.counters.entry(name).or_default() += value,
            "g" => {
                self.gauges.insert(name, value);
            }
            _ => self.record_time(name, value),
        }
    }

    fn record_time(&mut self, name: String, value: u64) {
        if let Some(histogram) = self.times.get_mut(&name) {
            histogram.saturating_record(value);
            return;
        }
        let histogram = Histogram::new_with_max(HISTOGRAM_MAX_MS, SIGNIFICANT_DIGITS);
        if let Ok(mut histogram) = histogram {
            histogram.saturating_record(value);
            self.times.insert(name, histogram);
        }
    }
}

impl MetricSink for Registry {
    /// Records one metric in StatsD format: `name:value|kind` or `name:value|kind|#tag:value`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut fields = metric.split('|');
        let (name, value) = fields
            .next()
            .and_then(|it| it.split_once(':'))
            .ok_or(io::ErrorKind::InvalidInput)?;
        let value: u64 = value.parse().map_err(io::Error::other)?;
        let kind = fields.next().unwrap_or_default();
        let name = name.replace('.', "_");
        let name = match fields.next().and_then(|it| it.strip_prefix('#')) {
            Some(tags) => format!("{name}{{{tags}}}"),
            None => name,
        };
        self.lock().add(name, kind, value);
        Ok(metric.len())
    }
}
