//! The software version that began a stream, at which alone the stream may go on.
//!
//! What two software versions write does not fit together, and upstreams do not check which version
//! wrote the events before. Every way to choose an upstream therefore takes a [`Continuation`]. An
//! instance remembers the origin of each resumable stream that it began ([`Origins`]). While
//! several versions are in service, the origins are also saved in the store, since a client may
//! resume its stream at any instance, also after all of them were lost. An instance hands them to
//! another one at once, which saves those of several instances together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Most streams whose origin an instance remembers; beyond that, those that expire first are
/// forgotten.
const STREAMS_MAX: usize = 100_000;

/// Longest time for which the origin of a stream is kept: clients do not wait longer for a stream.
pub const ORIGIN_TTL_MAX: Duration = Duration::from_secs(120);

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service whose upstream began the stream.
    pub service: id::Service,
    /// Software version of that upstream.
    pub software: id::Software,
}

impl Origin {
    /// Origin of a stream that `upstream` begins.
    #[must_use]
    pub fn of(upstream: &Upstream) -> Origin {
        Origin {
            service: upstream.service.clone(),
            software: upstream.software.clone(),
        }
    }
}

/// Upstreams that a request may be sent to, as far as software versions decide it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// Any: the request cannot be resumed at another upstream.
    Unrestricted,
    /// Those of a version that is recorded as in service: the request begins a stream that may be
    /// resumed later. Otherwise an instance could take another version for the only one.
    Begins,
    /// Those of the version that began the stream.
    Resumes(Origin),
}

impl Continuation {
    /// Whether the request may be sent to `upstream`.
    #[must_use]
    pub fn allows(&self, view: &View, upstream: &Upstream) -> bool {
        match self {
            Continuation::Unrestricted => true,
            Continuation::Begins => {
                let recorded = view.software.get(&upstream.service);
                recorded.is_some_and(|it| it.contains(&upstream.software))
            }
            Continuation::Resumes(origin) => {
                origin.service == upstream.service && origin.software == upstream.software
            }
        }
    }

    /// The service that the request has to be sent to, if it resumes a stream.
    #[must_use]
    pub fn service(&self) -> Option<&id::Service> {
        match self {
            Continuation::Resumes(origin) => Some(&origin.service),
            Continuation::Unrestricted | Continuation::Begins => None,
        }
    }
}

/// Origin of a stream of which no record is known: that of the only version that was in service
/// while it can have begun. `versions` are those that the store records for `service`, read after
/// the request to resume the stream arrived. `None` if there are several or none.
#[must_use]
pub fn only_origin(service: &id::Service, versions: &BTreeSet<id::Software>) -> Option<Origin> {
    let mut versions = versions.iter();
    let software = versions.next()?.clone();
    versions.next().is_none().then(|| Origin {
        service: service.clone(),
        software,
    })
}

/// Who keeps the origin of a stream from being lost with this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Custody {
    /// Nobody yet.
    Own,
    /// Another instance, which saves it.
    Other,
    /// This instance is about to save it.
    Unsaved,
    /// The store.
    Saved,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    expires_at: Instant,
    custody: Custody,
}

/// Streams by the service that began them.
#[derive(Debug, Default)]
struct Pending(BTreeMap<id::Service, BTreeSet<id::Fingerprint>>);

impl Pending {
    fn insert(&mut self, service: &id::Service, stream: id::Fingerprint) {
        self.0.entry(service.clone()).or_default().insert(stream);
    }

    fn remove(&mut self, service: &id::Service, stream: id::Fingerprint) {
        if let Some(streams) = self.0.get_mut(service) {
            streams.remove(&stream);
            if streams.is_empty() {
                self.0.remove(service);
            }
        }
    }
}

/// A stream and where it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Hash of the id of the request that began the stream.
    pub stream: id::Fingerprint,
    /// Where it began.
    pub origin: Origin,
    /// When its client stops waiting.
    pub expires_at: Instant,
}

/// Origins of the streams that this instance began, and of those that it saves for others.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<id::Fingerprint, Entry>,
    expiries: BTreeSet<(Instant, id::Fingerprint)>,
    /// Streams in the custody of nobody else.
    own: Pending,
    /// Streams that this instance has to save.
    unsaved: Pending,
    /// Streams that have expired and whose rows in the store are to be deleted.
    obsolete: BTreeSet<id::Fingerprint>,
}

impl Origins {
    /// Remembers the origin of a stream that this instance began.
    pub fn record(&mut self, record: Record) {
        self.insert(record, Custody::Own);
    }

    /// Remembers the origin of a stream that a client resumed at this instance.
    pub fn remember(&mut self, record: Record) {
        self.insert(record, Custody::Other);
    }

    /// Remembers the origin of a stream that another instance began, to save it.
    pub fn hold(&mut self, record: Record) {
        self.insert(record, Custody::Unsaved);
    }

    fn insert(&mut self, record: Record, custody: Custody) {
        let Record {
            stream,
            origin,
            expires_at,
        } = record;
        self.obsolete.remove(&stream);
        if let Some(known) = self.streams.get_mut(&stream) {
            let previous = known.expires_at;
            let expires_at = previous.max(expires_at);
            known.expires_at = expires_at;
            let is_kept = known.custody == Custody::Saved || custody == Custody::Other;
            self.expiries.remove(&(previous, stream));
            self.expiries.insert((expires_at, stream));
            if !is_kept {
                self.set_custody(stream, custody);
            }
            return;
        }
        if self.streams.len() >= STREAMS_MAX
            && let Some((_, first)) = self.expiries.first().copied()
        {
            self.remove(first);
        }
        self.expiries.insert((expires_at, stream));
        let entry = Entry {
            origin,
            expires_at,
            custody: Custody::Other,
        };
        self.streams.insert(stream, entry);
        self.set_custody(stream, custody);
    }

    /// Origin of a stream, if this instance began it or saves it.
    #[must_use]
    pub fn get(&self, stream: id::Fingerprint) -> Option<&Origin> {
        self.streams.get(&stream).map(|it| &it.origin)
    }

    /// Forgets expired streams.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, stream)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.remove(stream);
        }
    }

    /// Streams that this instance began and that are in the custody of nobody else, of services for
    /// which `is_mixed` holds; at most `count`.
    pub fn own(&self, is_mixed: impl Fn(&id::Service) -> bool, count: usize) -> Vec<Record> {
        self.records(&self.own, is_mixed, count)
    }

    /// Streams that this instance has to save, of services for which `is_mixed` holds; at most
    /// `count`.
    pub fn unsaved(&self, is_mixed: impl Fn(&id::Service) -> bool, count: usize) -> Vec<Record> {
        self.records(&self.unsaved, is_mixed, count)
    }

    fn records(
        &self,
        pending: &Pending,
        is_mixed: impl Fn(&id::Service) -> bool,
        count: usize,
    ) -> Vec<Record> {
        let streams = pending.0.iter().filter(|(service, _)| is_mixed(service));
        let streams = streams.flat_map(|(_, streams)| streams);
        let records = streams.filter_map(|stream| {
            let entry = self.streams.get(stream)?;
            Some(Record {
                stream: *stream,
                origin: entry.origin.clone(),
                expires_at: entry.expires_at,
            })
        });
        records.take(count).collect()
    }

    /// Records that another instance has taken these streams into custody.
    pub fn mark_handed_over(&mut self, records: &[Record]) {
        for record in records {
            self.set_custody(record.stream, Custody::Other);
        }
    }

    /// Takes back the streams that other instances have in custody, since one of them may be lost.
    pub fn reclaim(&mut self) {
        let streams = self.streams.iter();
        let handed_over = streams.filter(|(_, it)| it.custody == Custody::Other);
        let handed_over: Vec<id::Fingerprint> = handed_over.map(|(stream, _)| *stream).collect();
        for stream in handed_over {
            self.set_custody(stream, Custody::Own);
        }
    }

    /// Saves all streams again that are not known to be in the store any more, because it came back
    /// from an older copy.
    pub fn resave(&mut self) {
        let streams = self.streams.iter();
        let saved = streams.filter(|(_, it)| it.custody == Custody::Saved);
        let saved: Vec<id::Fingerprint> = saved.map(|(stream, _)| *stream).collect();
        for stream in saved {
            self.set_custody(stream, Custody::Unsaved);
        }
    }

    /// Leaves the saving of these streams to this instance.
    pub fn keep(&mut self, records: &[Record]) {
        for record in records {
            self.set_custody(record.stream, Custody::Unsaved);
        }
    }

    /// Records that the store holds the origins of these streams.
    pub fn mark_saved(&mut self, records: &[Record]) {
        for record in records {
            if self.streams.contains_key(&record.stream) {
                self.set_custody(record.stream, Custody::Saved);
            } else {
                // It expired while it was being saved.
                self.obsolete.insert(record.stream);
            }
        }
    }

    /// Streams whose rows are to be deleted; at most `count`.
    #[must_use]
    pub fn obsolete(&self, count: usize) -> Vec<id::Fingerprint> {
        self.obsolete.iter().take(count).copied().collect()
    }

    /// Records that the rows of these streams were deleted.
    pub fn mark_deleted(&mut self, streams: &[id::Fingerprint]) {
        for stream in streams {
            self.obsolete.remove(stream);
        }
    }

    fn set_custody(&mut self, stream: id::Fingerprint, custody: Custody) {
        let Some(entry) = self.streams.get_mut(&stream) else {
            return;
        };
        entry.custody = custody;
        let service = &entry.origin.service;
        self.own.remove(service, stream);
        self.unsaved.remove(service, stream);
        match custody {
            Custody::Own => self.own.insert(service, stream),
            Custody::Unsaved => self.unsaved.insert(service, stream),
            Custody::Other | Custody::Saved => {}
        }
    }

    fn remove(&mut self, stream: id::Fingerprint) {
        let Some(entry) = self.streams.remove(&stream) else {
            return;
        };
        self.expiries.remove(&(entry.expires_at, stream));
        self.own.remove(&entry.origin.service, stream);
        self.unsaved.remove(&entry.origin.service, stream);
        if entry.custody == Custody::Saved {
            self.obsolete.insert(stream);
        }
    }
}
