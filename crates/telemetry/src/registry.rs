//! Metrics kept in the process and served as text.
//!
//! The registry is a sink for the same metrics that otherwise go to StatsD.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Longest time that a histogram tells apart, in milliseconds.
const TIME_MAX_MS: u64 = 120_000;
/// Significant digits of times.
const DIGITS: u8 = 2;
/// Series that are kept; further names are ignored, so that a bug cannot fill the memory.
const SERIES_MAX: usize = 2_000;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct Series {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

/// Counters, gauges and histograms of one process; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    series: Arc<Mutex<Series>>,
}

impl Registry {
    /// All series, one a line.
    #[must_use]
    pub fn render(&self) -> String {
        let series = self.lock();
        let mut text = String::new();
        for (name, value) in series.counters.iter().chain(&series.gauges) {
            // Writing to a string does not fail.
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
            _ => self.add_time(name, value),
        }
    }

    fn add_time(&mut self, name: String, value: u64) {
        if let Some(histogram) = self.times.get_mut(&name) {
            histogram.saturating_record(value);
            return;
        }
        let histogram = Histogram::new_with_max(TIME_MAX_MS, DIGITS);
        if let Ok(mut histogram) = histogram {
            histogram.saturating_record(value);
            self.times.insert(name, histogram);
        }
    }
}

impl MetricSink for Registry {
    /// Takes one metric in the form `name:value|kind` or `name:value|kind|#tag:value`.
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
