//! Logs, metrics and the time line of events.
//!
//! Every process has one [`Telemetry`]. Logs go to standard output as one key=value line an event,
//! metrics to StatsD or into a [`registry::Registry`] that is served as text, and events to a bounded ring from which operators merge a time line over all
//! processes.

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

/// Handle to a process's logs, metrics and events; cheap to clone.
#[derive(Clone)]
pub struct Telemetry {
    logger: slog::Logger,
    metrics: Arc<StatsdClient>,
    recorder: Arc<Recorder>,
}

impl Telemetry {
    /// Telemetry of a daemon named `process`, logging to standard output.
    ///
    /// # Errors
    ///
    /// Fails when no UDP socket for metrics can be had.
    pub fn daemon(process: &str, statsd: Option<SocketAddr>) -> std::io::Result<Telemetry> {
        Ok(Telemetry {
            logger: log::stdout(process),
            metrics: Arc::new(metrics(statsd)?),
            recorder: Arc::new(Recorder::new(process)),
        })
    }

    /// Telemetry of a daemon named `process`, logging to standard output, whose metrics are kept
    /// in `registry`.
    #[must_use]
    pub fn with_registry(process: &str, registry: registry::Registry) -> Telemetry {
        Telemetry {
            logger: log::stdout(process),
            metrics: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, registry)),
            recorder: Arc::new(Recorder::new(process)),
        }
    }

    /// Telemetry that keeps events but writes neither logs nor metrics.
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

    /// Like [`Telemetry::events_only`], with event times counted from `epoch`.
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

    /// The event ring.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Records an event on the time line and logs it.
    pub fn event(&self, event: Event) {
        log::event(&self.logger, &event);
        self.recorder.record(event);
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, name: &str, amount: u64) {
        // Metrics are best effort: a lost datagram never fails a request.
        let _ = self.metrics.count(name, amount);
    }

    /// Adds `amount` to a counter of one service.
    pub fn count_tagged(&self, name: &str, service: &str, amount: u64) {
        let metric = self.metrics.count_with_tags(name, amount);
        metric.with_tag("service", service).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.metrics.gauge(name, value);
    }

    /// Records a time in milliseconds.
    pub fn time_ms(&self, name: &str, millis: u64) {
        let _ = self.metrics.time(name, millis);
    }
}

fn metrics(statsd: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
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
