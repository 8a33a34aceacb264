//! Events of a process, and the merged timeline of several processes.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of events that a process keeps; the oldest are dropped.
const RING_EVENTS_MAX: usize = 16_384;

/// Kind of an event.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request arrived.
    Received,
    /// A request or one of its attempts was refused; the refused one was not executed.
    Refused,
    /// A stage attempt was sent to the owner of an upstream.
    Dispatched,
    /// An owner sent an attempt to an upstream.
    Sent,
    /// An upstream finished an attempt.
    Finished,
    /// An attempt failed before its answer was complete.
    Broken,
    /// A failed attempt is retried, if possible at an upstream that was not tried yet.
    Retried,
    /// A second attempt was started in parallel to a slow one.
    Hedged,
    /// An answer that belongs to another attempt was discarded.
    Discarded,
    /// A request got a complete answer.
    Answered,
    /// A request failed; parts of it may have been executed.
    Failed,
    /// The claim of an idempotency key was written.
    Claimed,
    /// The recorded answer of an earlier request was replayed.
    Replayed,
    /// A process put a configuration version in force.
    Configured,
    /// A member's state changed.
    Member,
    /// An instance took ownership of an upstream.
    Owned,
    /// An instance gave up ownership of an upstream.
    Disowned,
    /// The warmth of an upstream changed.
    Warmth,
    /// The fingerprint of a request was quarantined.
    Quarantined,
    /// A process started.
    Started,
    /// A process began its graceful shutdown.
    Stopping,
    /// A process stopped.
    Stopped,
}

/// An event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch, or since the epoch given to the recorder.
    pub at_us: u64,
    /// Name of the process that recorded the event.
    pub process: String,
    /// Trace id of the request, if the event belongs to one.
    pub trace: Option<id::Trace>,
    /// Kind of the event.
    pub kind: Kind,
    /// Keys and values of the details, in the order in which they were added.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Creates an event without details. [`Recorder::record`] sets its time and process.
    #[must_use]
    pub fn new(kind: Kind) -> Event {
        Event {
            at_us: 0,
            process: String::new(),
            trace: None,
            kind,
            fields: Vec::new(),
        }
    }

    /// Sets the trace id of the request.
    #[must_use]
    pub fn trace(mut self, trace: id::Trace) -> Event {
        self.trace = Some(trace);
        self
    }

    /// Adds a detail.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Event {
        self.fields.push((key.to_owned(), value.to_string()));
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "process={} event={}", self.process, self.kind)?;
        if let Some(trace) = self.trace {
            write!(f, " trace={trace}")?;
        }
        for (key, value) in &self.fields {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Ring buffer of the latest events of one process.
#[derive(Debug)]
pub struct Recorder {
    process: String,
    /// Time at which the recorder was created or, if given, to which event times are relative.
    epoch: Instant,
    /// Value of [`Event::at_us`] at `epoch`.
    epoch_us: u64,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    /// Number of the newest events that [`Recorder::take_unsent`] has not returned yet.
    unsent: usize,
}

impl Ring {
    fn push(&mut self, event: Event) {
        if self.events.len() == RING_EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back(event);
        self.unsent = (self.unsent + 1).min(self.events.len());
    }
}

impl Recorder {
    pub(crate) fn new(process: &str) -> Recorder {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Recorder {
            process: process.to_owned(),
            epoch: Instant::now(),
            epoch_us: since_epoch.unwrap_or_default().as_micros() as u64,
            ring: Mutex::default(),
        }
    }

    pub(crate) fn with_epoch(process: &str, epoch: Instant) -> Recorder {
        Recorder {
            process: process.to_owned(),
            epoch,
            epoch_us: 0,
            ring: Mutex::default(),
        }
    }

    /// Records `event` with the current time of the Tokio clock and the name of this process.
    pub fn record(&self, mut event: Event) {
        event.at_us = self.epoch_us + self.epoch.elapsed().as_micros() as u64;
        event.process.clone_from(&self.process);
        self.lock().push(event);
    }

    /// Adds events that another process has recorded, with their time and process name unchanged.
    pub fn append(&self, events: Vec<Event>) {
        let mut ring = self.lock();
        for event in events {
            ring.push(event);
        }
    }

    /// The events recorded or added since the previous call, as far as they are still kept.
    #[must_use]
    pub fn take_unsent(&self) -> Vec<Event> {
        let mut ring = self.lock();
        let skip = ring.events.len() - ring.unsent;
        ring.unsent = 0;
        ring.events.iter().skip(skip).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The events of one request, or all events if `trace` is `None`.
    #[must_use]
    pub fn events_of(&self, trace: Option<id::Trace>) -> Vec<Event> {
        let ring = self.lock();
        let is_wanted = |event: &&Event| trace.is_none() || event.trace == trace;
        ring.events.iter().filter(is_wanted).cloned().collect()
    }
}

/// Sorts the events of several processes by time, then by process name.
#[must_use]
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Event> {
    let mut merged: Vec<Event> = events.into_iter().collect();
    merged.sort_by(|a, b| (a.at_us, &a.process).cmp(&(b.at_us, &b.process)));
    merged
}
