//! Relays a stream of server-sent events from an upstream to the client.
//!
//! Only complete events are relayed, since an upstream may stop in the middle of one. A broken
//! stream is resumed at another upstream if its route allows that; otherwise the client sees an
//! aborted response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use forwarding::events;
use forwarding::events::Sequence;
use forwarding::poison;
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memchr::memmem;
use tokio::time::Instant;

use crate::buffer::Reservation;
use crate::client_request::ClientRequest;
use crate::connection::PooledConnection;
use crate::forward::resume;
use crate::prepare::Preparation;
use crate::send_guard::SendGuard;
use crate::state::InFlightGuard;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;

/// Time from the first event after which the answer is known not to crash its upstream: one that
/// crashes ends tens of milliseconds after it has begun.
const SOUND_RUN_MIN: Duration = Duration::from_millis(500);

/// Why a stream was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The upstream's connection broke, or an event was incomplete, too large or out of sequence.
    Broken,
    /// The request's time limit has passed.
    Deadline,
}

impl std::error::Error for Error {}

/// Response of an upstream whose body is relayed.
pub(crate) struct Source {
    pub(crate) connection: PooledConnection,
    pub(crate) body: Incoming,
    pub(crate) send_guard: SendGuard,
    /// Whether the body has a length or is chunked.
    pub(crate) is_framed: bool,
}

/// State of one relayed stream.
pub struct Relay {
    node: Arc<Node>,
    request: Arc<ClientRequest>,
    connection: Option<PooledConnection>,
    body: Incoming,
    send_guard: SendGuard,
    sends: u32,
    preparation: Option<Preparation>,
    buffer: BytesMut,
    /// Length of the part of the buffer that was already searched for the end of an event.
    scanned: usize,
    reservation: Reservation,
    sequence: Sequence,
    /// Whether bytes have arrived that do not continue the stream.
    is_out_of_sequence: bool,
    /// Whether the body has a length or is chunked, so that its end is known to be complete.
    is_framed: bool,
    /// When the first complete event of this upstream arrived.
    first_arrival: Option<Instant>,
    /// Whether this upstream's answer has proved sound.
    is_sound: bool,
    /// When complete events last arrived.
    last_arrival: Option<Instant>,
    /// Longest time between arrivals.
    longest_pause: Duration,
    in_flight: Option<InFlightGuard>,
}

enum Chunk {
    Events(Bytes),
    End,
}

impl Relay {
    /// Relays the body of a response whose head has arrived.
    pub(crate) fn new(
        node: &Arc<Node>,
        request: &Arc<ClientRequest>,
        source: Source,
        sends: u32,
        preparation: Option<Preparation>,
    ) -> Relay {
        Relay {
            node: node.clone(),
            request: request.clone(),
            connection: Some(source.connection),
            body: source.body,
            send_guard: source.send_guard,
            is_framed: source.is_framed,
            first_arrival: None,
            is_sound: false,
            sends,
            preparation,
            buffer: BytesMut::new(),
            scanned: 0,
            reservation: node.memory.new_reservation(),
            sequence: Sequence::default(),
            is_out_of_sequence: false,
            last_arrival: None,
            longest_pause: Duration::ZERO,
            in_flight: None,
        }
    }

    /// Waits for the first event or the end of the stream. Returns `false` if the stream breaks or
    /// the request expires before that; the request can then still be retried.
    pub async fn wait_first_event(&mut self) -> bool {
        match self.read_events().await {
            Ok(Chunk::Events(events)) => {
                // Put the events back, so that the response body starts with them.
                let rest = std::mem::replace(&mut self.buffer, BytesMut::from(&events[..]));
                self.buffer.extend_from_slice(&rest);
                self.scanned = 0;
                self.sequence = Sequence::default();
                self.is_out_of_sequence = false;
                self.preparation = None;
                true
            }
            Ok(Chunk::End) => true,
            Err(err) => {
                self.send_guard.record_broken();
                slog::warn!(self.node.logger(), "lost"; "request" => &self.request.id,
                    "fingerprint" => %self.request.fingerprint,
                    "upstream" => self.send_guard.upstream.name.as_str(),
                    "started_ms" => self.send_guard.upstream.started_ms,
                    "cause" => "no_first_event", "reason" => %err,
                    "parts" => self.request.shared_parts_text());
                let kind = match err {
                    Error::Broken => LossKind::Broken,
                    Error::Deadline => LossKind::Silent,
                };
                suspicion::record_loss(&self.send_guard, kind);
                false
            }
        }
    }

    /// Takes the step results, which are needed for a retry before the first event.
    pub fn take_preparation(&mut self) -> Option<Preparation> {
        self.preparation.take()
    }

    /// Counts the request as in flight until the stream ends.
    pub fn track_in_flight(&mut self, in_flight: InFlightGuard) {
        self.in_flight = Some(in_flight);
    }

    /// Converts the relay into a response body.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Error>> + Send {
        futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Chunk::Events(events)) => Some((Ok(events), Some(relay))),
                Ok(Chunk::End) => {
                    relay.finish().await;
                    None
                }
                Err(err) => {
                    let last_event = relay.sequence.last_event;
                    slog::warn!(relay.node.logger(), "stream_broken";
                        "request" => &relay.request.id, "cause" => %err,
                        "upstream" => relay.send_guard.upstream.name.as_str(),
                        "last_event" => last_event,
                        "parts" => relay.request.shared_parts_text());
                    relay.node.telemetry.count("streams.broken", 1);
                    Some((Err(err), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Chunk, Error> {
        match self.read_events().await {
            Ok(chunk) => Ok(chunk),
            Err(Error::Broken) => self.resume().await,
            Err(err) => Err(err),
        }
    }

    /// Waits for complete events and returns all that have arrived, or the end of the stream.
    async fn read_events(&mut self) -> Result<Chunk, Error> {
        loop {
            if let Some(events) = self.take_events() {
                return Ok(Chunk::Events(events));
            }
            if self.is_out_of_sequence {
                slog::warn!(self.node.logger(), "event_out_of_sequence";
                    "request" => &self.request.id, "last_event" => self.sequence.last_event,
                    "upstream" => self.send_guard.upstream.name.as_str());
                return Err(Error::Broken);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = self.request.expired() => return Err(Error::Deadline),
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.append(data)?;
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
                // An upstream that fails before its first event leaves an empty body behind.
                None if self.first_arrival.is_none() && !self.is_framed => {
                    return Err(Error::Broken);
                }
                None if self.buffer.is_empty() => return Ok(Chunk::End),
                None => return Err(Error::Broken),
            }
        }
    }

    /// Takes the complete events that have arrived, up to one that does not continue the stream.
    fn take_events(&mut self) -> Option<Bytes> {
        if self.is_out_of_sequence {
            return None;
        }
        let from = self.scanned.saturating_sub(events::TERMINATOR.len() - 1);
        let end = memmem::rfind(&self.buffer[from..], events::TERMINATOR);
        self.scanned = self.buffer.len();
        let end = from + end?;
        let end = end + events::TERMINATOR.len();
        let length = self.sequence.follow(&self.buffer[..end]);
        self.is_out_of_sequence = length < end;
        self.scanned -= length;
        if length == 0 {
            return None;
        }
        let events = self.buffer.split_to(length).freeze();
        // They count until the client has read them.
        let reservation = self.reservation.split_off(self.buffer.len());
        let events = reservation.attach(events);
        let now = Instant::now();
        let pause = self
            .last_arrival
            .map(|it| now.saturating_duration_since(it));
        self.longest_pause = self.longest_pause.max(pause.unwrap_or_default());
        self.last_arrival = Some(now);
        let first_arrival = *self.first_arrival.get_or_insert(now);
        if now.saturating_duration_since(first_arrival) >= SOUND_RUN_MIN {
            self.record_sound_run();
        }
        Some(events)
    }

    fn record_sound_run(&mut self) {
        if !self.is_sound {
            self.is_sound = true;
            self.send_guard.record_sound_run();
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), Error> {
        let size = self.buffer.len() + data.len();
        let appended = self.reservation.append(&mut self.buffer, data);
        appended.map_err(|err| {
            slog::warn!(self.node.logger(), "event_too_large"; "request" => &self.request.id,
                "upstream" => self.send_guard.upstream.name.as_str(), "reason" => %err,
                "bytes" => size);
            Error::Broken
        })
    }

    async fn resume(&mut self) -> Result<Chunk, Error> {
        self.send_guard.record_broken();
        self.connection = None;
        self.buffer.clear();
        self.scanned = 0;
        suspicion::record_loss(&self.send_guard, LossKind::Broken);
        if !resume::is_resumable(self.request.route.kind) {
            return Err(Error::Broken);
        }
        let resumed = resume::resume_stream(
            &self.node,
            &self.request,
            &self.send_guard.upstream,
            self.sends,
            self.sequence.last_event,
        )
        .await;
        let source = resumed.ok_or(Error::Broken)?;
        self.sends += 1;
        self.connection = Some(source.connection);
        self.body = source.body;
        self.send_guard = source.send_guard;
        self.is_framed = source.is_framed;
        self.is_out_of_sequence = false;
        self.first_arrival = None;
        self.is_sound = false;
        let last_relayed = self.sequence.last_event;
        let chunk = self.read_events().await?;
        if let Chunk::Events(events) = &chunk {
            let is_next = events::first_id(events)
                == last_relayed.map(|it| it + 1).or(events::first_id(events));
            if !is_next {
                return Err(Error::Broken);
            }
        }
        Ok(chunk)
    }

    fn record_success(&mut self) {
        self.send_guard.record_completed();
        if self.sequence.last_event.is_none() {
            return;
        }
        self.record_sound_run();
        let fingerprint = self.request.fingerprint;
        suspicion::record_success(&self.node, fingerprint, Duration::ZERO, poison::Source::Own);
    }

    async fn finish(mut self) {
        match self.is_framed {
            true => self.record_success(),
            // The connection also ends with its upstream, which a probe finds out.
            false => suspicion::record_loss(&self.send_guard, LossKind::Broken),
        }
        let elapsed = self.request.received_at.elapsed();
        slog::info!(self.node.logger(), "stream_ended"; "request" => &self.request.id,
            "upstream" => self.send_guard.upstream.name.as_str(), "last_event" => self.sequence.last_event,
            "took_ms" => elapsed.as_millis() as u64,
            "longest_pause_ms" => self.longest_pause.as_millis() as u64);
        let telemetry = &self.node.telemetry;
        telemetry.time_ms("streams.time", elapsed.as_millis() as u64);
        telemetry.time_ms("streams.pause", self.longest_pause.as_millis() as u64);
        if let Some(connection) = self.connection.take() {
            // If the upstream closes the connection, the pool detects that at the next use.
            connection
                .return_to_pool(Some(Duration::from_secs(1)))
                .await;
        }
    }
}
