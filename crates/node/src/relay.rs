//! Passes a stream on, event by event.
//!
//! Only whole events are passed on: an upstream may stop in the middle of one. A stream that breaks
//! is continued at another upstream where its route allows that, and ends visibly broken otherwise.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use forwarding::poison::Source;
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::ask::ClientRequest;
use crate::buffer::Reservation;
use crate::channel::PooledConnection;
use crate::forward;
use crate::prepare::Ready;
use crate::sending::SendGuard;
use crate::state::InFlightGuard;
use crate::state::Node;
use crate::suspicion;
use crate::suspicion::LossKind;

const EVENT_END: &[u8] = b"\n\n";

/// Why a stream ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The upstream broke off.
    Broken,
    /// The request's time is over.
    Deadline,
}

impl std::error::Error for Error {}

/// A stream on its way.
pub struct Relay {
    node: Arc<Node>,
    ask: Arc<ClientRequest>,
    channel: Option<PooledConnection>,
    body: Incoming,
    send_guard: SendGuard,
    sends: u32,
    results: Option<Ready>,
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
    held: Reservation,
    last_event: Option<u64>,
    /// When events last arrived, and the longest pause between them.
    arrived: Option<Instant>,
    longest_pause: Duration,
    in_flight: Option<InFlightGuard>,
}

enum Read {
    Events(Bytes),
    End,
}

impl Relay {
    /// A stream whose head has arrived.
    pub fn new(
        node: &Arc<Node>,
        ask: &Arc<ClientRequest>,
        channel: PooledConnection,
        body: Incoming,
        send_guard: SendGuard,
        sends: u32,
        results: Option<Ready>,
    ) -> Relay {
        Relay {
            node: node.clone(),
            ask: ask.clone(),
            channel: Some(channel),
            body,
            send_guard,
            sends,
            results,
            buffer: BytesMut::new(),
            searched: 0,
            held: node.memory.new_reservation(),
            last_event: None,
            arrived: None,
            longest_pause: Duration::ZERO,
            in_flight: None,
        }
    }

    /// Waits for the first event; returns whether there is one to pass on.
    pub async fn begin(&mut self) -> bool {
        match self.read().await {
            Ok(Read::Events(events)) => {
                // Put back: the body begins with them.
                let rest = std::mem::replace(&mut self.buffer, BytesMut::from(&events[..]));
                self.buffer.extend_from_slice(&rest);
                self.searched = 0;
                self.results = None;
                true
            }
            Ok(Read::End) => true,
            Err(err) => {
                self.send_guard.broke();
                let ending = match err {
                    Error::Broken => LossKind::Broken,
                    Error::Deadline => LossKind::Silent,
                };
                suspicion::record_loss(&self.send_guard, ending);
                false
            }
        }
    }

    /// Gives the results of the steps back.
    pub fn take_results(&mut self) -> Option<Ready> {
        self.results.take()
    }

    /// Counts the request as in flight until the stream ends.
    pub fn hold(&mut self, in_flight: InFlightGuard) {
        self.in_flight = Some(in_flight);
    }

    /// The stream as the body of an answer.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Error>> + Send {
        futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Read::Events(events)) => Some((Ok(events), Some(relay))),
                Ok(Read::End) => {
                    relay.finish().await;
                    None
                }
                Err(err) => {
                    let last_event = relay.last_event;
                    slog::warn!(relay.node.logger(), "stream_broken";
                        "request" => &relay.ask.request, "cause" => %err,
                        "upstream" => relay.send_guard.upstream.name.as_str(),
                        "last_event" => last_event);
                    relay.node.telemetry.count("streams.broken", 1);
                    Some((Err(err), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Read, Error> {
        match self.read().await {
            Ok(read) => Ok(read),
            Err(Error::Broken) => self.resume().await,
            Err(err) => Err(err),
        }
    }

    /// All whole events that have arrived, or the end.
    async fn read(&mut self) -> Result<Read, Error> {
        loop {
            if let Some(events) = self.take_events() {
                return Ok(Read::Events(events));
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = self.ask.expired() => return Err(Error::Deadline),
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.append(data)?;
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
                None if self.buffer.is_empty() => return Ok(Read::End),
                None => return Err(Error::Broken),
            }
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let mut unsearched = self.buffer[from..].windows(EVENT_END.len());
        let end = unsearched.rposition(|it| it == EVENT_END);
        self.searched = self.buffer.len();
        let end = from + end?;
        self.searched -= end + EVENT_END.len();
        let events = self.buffer.split_to(end + EVENT_END.len()).freeze();
        self.held.shrink(self.buffer.len());
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        let now = Instant::now();
        let pause = self.arrived.map(|it| now.saturating_duration_since(it));
        self.longest_pause = self.longest_pause.max(pause.unwrap_or_default());
        self.arrived = Some(now);
        Some(events)
    }

    fn append(&mut self, data: &[u8]) -> Result<(), Error> {
        let size = self.buffer.len() + data.len();
        self.held.resize(size).map_err(|err| {
            slog::warn!(self.node.logger(), "event_too_large"; "request" => &self.ask.request,
                "upstream" => self.send_guard.upstream.name.as_str(), "reason" => %err,
                "bytes" => size);
            Error::Broken
        })?;
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    async fn resume(&mut self) -> Result<Read, Error> {
        self.send_guard.broke();
        self.channel = None;
        self.buffer.clear();
        self.searched = 0;
        suspicion::record_loss(&self.send_guard, LossKind::Broken);
        if !forward::is_resumable(self.ask.route.kind) {
            return Err(Error::Broken);
        }
        let resumed = forward::resume(
            &self.node,
            &self.ask,
            &self.send_guard.upstream,
            self.sends,
            self.last_event,
        )
        .await;
        let (channel, body, send_guard) = resumed.ok_or(Error::Broken)?;
        self.sends += 1;
        self.channel = Some(channel);
        self.body = body;
        self.send_guard = send_guard;
        let before = self.last_event;
        let read = self.read().await?;
        if let Read::Events(events) = &read {
            let is_next = first_id(events) == before.map(|it| it + 1).or(first_id(events));
            if !is_next {
                return Err(Error::Broken);
            }
        }
        Ok(read)
    }

    async fn finish(mut self) {
        self.send_guard.concluded();
        if self.last_event.is_some() {
            let fingerprint = self.ask.fingerprint;
            suspicion::record_survival(&self.node, fingerprint, Duration::ZERO, Source::Own);
        }
        let took = self.ask.received.elapsed();
        slog::info!(self.node.logger(), "stream_ended"; "request" => &self.ask.request,
            "upstream" => self.send_guard.upstream.name.as_str(), "last_event" => self.last_event,
            "took_ms" => took.as_millis() as u64,
            "longest_pause_ms" => self.longest_pause.as_millis() as u64);
        let telemetry = &self.node.telemetry;
        telemetry.time_ms("streams.time", took.as_millis() as u64);
        telemetry.time_ms("streams.pause", self.longest_pause.as_millis() as u64);
        if let Some(channel) = self.channel.take() {
            // An upstream that closes the connection is noticed when it is used again.
            channel.return_to_pool(Some(Duration::from_secs(1))).await;
        }
    }
}

/// Ids of events stand on lines of their own, as `id: NUMBER`.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let lines = events.split(|it| *it == b'\n');
    let values = lines.filter_map(|it| it.strip_prefix(b"id:"));
    values.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok())
}

fn first_id(events: &[u8]) -> Option<u64> {
    ids(events).next()
}

fn last_id(events: &[u8]) -> Option<u64> {
    ids(events).next_back()
}
