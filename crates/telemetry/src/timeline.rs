//! Events of one process, and the merged time line of many.

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

/// Events that a process keeps; older ones are dropped.
const RING_EVENTS: usize = 16_384;

/// What happened.
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
    /// A request was refused; nothing ran.
    Refused,
    /// A stage attempt was handed to an owner.
    Dispatched,
    /// An owner sent an attempt to an upstream.
    Sent,
    /// An upstream finished an attempt.
    Finished,
    /// An attempt broke before its whole answer.
    Broken,
    /// An attempt is repeated elsewhere.
    Retried,
    /// A second attempt was started while the first is slow.
    Hedged,
    /// An answer to another attempt was discarded.
    Discarded,
    /// A request got its whole answer.
    Answered,
    /// A request failed after something may have run.
    Failed,
    /// A claim was written.
    Claimed,
    /// A recorded answer was replayed.
    Replayed,
    /// A configuration version came into force.
    Configured,
    /// A member's state changed.
    Member,
    /// Ownership of an upstream was taken.
    Owned,
    /// Ownership of an upstream was given up.
    Disowned,
    /// An upstream changed its warmth.
    Warmth,
    /// A fingerprint was quarantined.
    Quarantined,
    /// A process started.
    Started,
    /// A process began its graceful stop.
    Stopping,
    /// A process stopped.
    Stopped,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// Process that saw it.
    pub process: String,
    /// Request that it belongs to.
    pub trace: Option<id::Trace>,
    /// What happened.
    pub kind: Kind,
    /// Details, in order.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// An event without details; its time and process are filled in when it is recorded.
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

    /// Attaches the request.
    #[must_use]
    pub fn trace(mut self, trace: id::Trace) -> Event {
        self.trace = Some(trace);
        self
    }

    /// Attaches a detail.
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

/// Bounded ring of the events of one process.
#[derive(Debug)]
pub struct Recorder {
    process: String,
    epoch: Instant,
    epoch_us: u64,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    /// Newest events that were not passed on yet.
    unsent: usize,
}

impl Ring {
    fn push(&mut self, event: Event) {
        if self.events.len() == RING_EVENTS {
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

    /// Stamps `event` with the runtime's clock and keeps it.
    pub fn record(&self, mut event: Event) {
        event.at_us = self.epoch_us + self.epoch.elapsed().as_micros() as u64;
        event.process.clone_from(&self.process);
        self.lock().push(event);
    }

    /// Keeps events that another process has stamped.
    pub fn append(&self, events: Vec<Event>) {
        let mut ring = self.lock();
        for event in events {
            ring.push(event);
        }
    }

    /// The events that were recorded since the last call.
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

    /// The events of one request, or all of them.
    #[must_use]
    pub fn events_of(&self, trace: Option<id::Trace>) -> Vec<Event> {
        let ring = self.lock();
        let is_wanted = |event: &&Event| trace.is_none() || event.trace == trace;
        ring.events.iter().filter(is_wanted).cloned().collect()
    }
}

/// Merges the events of many processes by time, then by process.
#[must_use]
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Event> {
    let mut merged: Vec<Event> = events.into_iter().collect();
    merged.sort_by(|a, b| (a.at_us, &a.process).cmp(&(b.at_us, &b.process)));
    merged
}
