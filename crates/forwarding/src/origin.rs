//! The software version that began a stream, at which alone the stream may go on.
//!
//! What two software versions write does not fit together, and upstreams do not check which version
//! wrote the events before. Every way to choose an upstream therefore takes a [`Continuation`]. An
//! instance remembers the origin of each resumable stream that it began ([`Origins`]). While
//! several versions are in service, it also saves the origins in the store, since a client may
//! resume its stream at any instance, also after all of them were lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use base::id;
use catalog::Upstream;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Most streams whose origin an instance remembers; beyond that, those that expire first are
/// forgotten.
const STREAMS_MAX: usize = 100_000;

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

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    expires_at: Instant,
    is_saved: bool,
}

/// Origins of the streams that this instance began, by the hash of the id of the request that began
/// each.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<id::Fingerprint, Entry>,
    expiries: BTreeSet<(Instant, id::Fingerprint)>,
    unsaved: BTreeMap<id::Service, BTreeSet<id::Fingerprint>>,
    /// Streams that have expired and whose rows in the store are to be deleted.
    obsolete: BTreeSet<id::Fingerprint>,
}

impl Origins {
    /// Remembers the origin of a stream until `expires_at`, when its client has stopped waiting.
    pub fn record(&mut self, stream: id::Fingerprint, origin: Origin, expires_at: Instant) {
        self.remove(stream);
        if self.streams.len() >= STREAMS_MAX
            && let Some((_, first)) = self.expiries.first().copied()
        {
            self.remove(first);
        }
        let unsaved = self.unsaved.entry(origin.service.clone()).or_default();
        unsaved.insert(stream);
        self.expiries.insert((expires_at, stream));
        let entry = Entry {
            origin,
            expires_at,
            is_saved: false,
        };
        self.streams.insert(stream, entry);
    }

    /// Origin of a stream that this instance began.
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

    /// Origins that are not saved yet, of services for which `is_mixed` holds; at most `count`.
    pub fn unsaved(
        &self,
        is_mixed: impl Fn(&id::Service) -> bool,
        count: usize,
    ) -> Vec<(id::Fingerprint, Origin)> {
        let unsaved = self.unsaved.iter().filter(|(service, _)| is_mixed(service));
        let unsaved = unsaved.flat_map(|(_, streams)| streams);
        let unsaved = unsaved.filter_map(|it| Some((*it, self.get(*it)?.clone())));
        unsaved.take(count).collect()
    }

    /// Records that the store holds the origins of these streams.
    pub fn mark_saved(&mut self, streams: impl IntoIterator<Item = id::Fingerprint>) {
        for stream in streams {
            match self.streams.get_mut(&stream) {
                Some(entry) => {
                    entry.is_saved = true;
                    if let Some(unsaved) = self.unsaved.get_mut(&entry.origin.service) {
                        unsaved.remove(&stream);
                    }
                }
                // It expired while it was being saved.
                None => {
                    self.obsolete.insert(stream);
                }
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

    fn remove(&mut self, stream: id::Fingerprint) {
        let Some(entry) = self.streams.remove(&stream) else {
            return;
        };
        self.expiries.remove(&(entry.expires_at, stream));
        if entry.is_saved {
            self.obsolete.insert(stream);
        }
        if let Some(unsaved) = self.unsaved.get_mut(&entry.origin.service) {
            unsaved.remove(&stream);
            if unsaved.is_empty() {
                self.unsaved.remove(&entry.origin.service);
            }
        }
    }
}
