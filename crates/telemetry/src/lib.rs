//! Logs, metrics and the event timeline.
//!
//! Every process has one [`Telemetry`]. Logs go to standard output in logfmt, metrics to
//! StatsD or to a [`registry::Registry`] that is exported as text, and events to a ring buffer.
//! Operators merge the buffers of all processes into one timeline.

pub mod log;
pub mod registry;
pub mod timeline;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use timeline::Event;
use timeline::Recorder;
use tokio::time::Instant;

const METRIC_PREFIX: &str = "catkinvane";

/// Logs, metrics and events of a process. Clones share the same data.
#[derive(Clone)]
pub struct Telemetry {
    logger: slog::Logger,
    metrics: Arc<StatsdClient>,
    recorder: Arc<Recorder>,
}

impl Telemetry {
    /// Telemetry of the daemon `process`: logs to standard output and sends metrics to the address
    /// `statsd`, or drops them if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket for metrics cannot be opened.
    pub fn daemon(process: &str, statsd: Option<SocketAddr>) -> std::io::Result<Telemetry> {
        Ok(Telemetry {
            logger: log::stdout(process),
            metrics: Arc::new(statsd_client(statsd)?),
            recorder: Arc::new(Recorder::new(process)),
        })
    }

    /// Telemetry of the daemon `process`: logs to standard output and keeps metrics in `registry`.
    #[must_use]
    pub fn with_registry(process: &str, registry: registry::Registry) -> Telemetry {
        Telemetry {
            logger: log::stdout(process),
            metrics: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, registry)),
            recorder: Arc::new(Recorder::new(process)),
        }
    }

    /// Telemetry that records events and drops logs and metrics.
    #[must_use]
    pub fn events_only(process: &str) -> Telemetry {
        Telemetry {
            logger: slog::Logger::root(slog::Discard, slog::o!()),
            metrics: Arc::new(StatsdClient::from_sink(
                METRIC_PREFIX,
                cadence::NopMetricSink,
            )),
            recorder: Arc::new(Recorder::new(process)),
        }
    }

    /// Like [`Telemetry::events_only`], with event times relative to `epoch`.
    #[must_use]
    pub fn events_only_since(process: &str, epoch: Instant) -> Telemetry {
        Telemetry {
            recorder: Arc::new(Recorder::with_epoch(process, epoch)),
            ..Telemetry::events_only(process)
        }
    }

    /// The logger.
    pub fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// The recorder of events.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Logs an event and records it for the timeline.
    pub fn event(&self, event: Event) {
        log::event(&self.logger, &event);
        self.recorder.record(event);
    }

    /// Adds `amount` to the counter `name`.
    pub fn count(&self, name: &str, amount: u64) {
        // Metrics are best effort: a failure to send one does not fail the request.
        let _ = self.metrics.count(name, amount);
    }

    /// Adds `amount` to the counter `name` with a tag of the value `tag`. The key of the tag is
    /// always `service`, even if the value is a status or a cause.
    pub fn count_tagged(&self, name: &str, tag: &str, amount: u64) {
        let metric = self.metrics.count_with_tags(name, amount);
        metric.with_tag("service", tag).send();
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.metrics.gauge(name, value);
    }

    /// Records a time in milliseconds in the histogram `name`.
    pub fn time_ms(&self, name: &str, millis: u64) {
        let _ = self.metrics.time(name, millis);
    }
}

fn statsd_client(statsd: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = statsd else {
        let sink = cadence::NopMetricSink;
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, sink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = cadence::BufferedUdpMetricSink::from(address, socket)
        .map_err(|err| std::io::Error::other(err.to_string()))?;
    let sink = cadence::QueuingMetricSink::from(sink);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
