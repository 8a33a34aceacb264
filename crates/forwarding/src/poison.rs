//! Requests that crash the upstreams that run them.
//!
//! A request whose connection broke is a suspect. It is refused once several upstreams that it broke
//! off from have lost their registration: one that only lost an answer keeps it. A whole answer
//! clears the suspicion, since requests with the same content can be frequent and run into ordinary
//! crashes. Instances tell each other of losses and of cleared requests, since a request comes again
//! at any of them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

/// Different upstreams that must have been lost; ordinary crashes hit one request this often only
/// by rare chance.
const CRASHES_MAX: usize = 3;
/// Losses and whole answers are forgotten after this time.
const MEMORY: Duration = Duration::from_secs(60);
/// News this recent is passed on; longer than it takes every instance to ask once.
const RECENT: Duration = Duration::from_secs(2);
/// Losses, and cleared requests, that one message passes on.
const RECENT_MAX: usize = 128;
/// Suspects and whole answers that are kept; the oldest are dropped first.
const ENTRIES_MAX: usize = 4_096;

#[derive(Debug)]
struct Suspect {
    lost: BTreeMap<id::Upstream, Instant>,
    latest: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Answered {
    latest: Instant,
    /// When it last ended a suspicion.
    cleared: Option<Instant>,
}

/// Requests under suspicion, and those that were answered.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<id::Fingerprint, Suspect>,
    answered: BTreeMap<id::Fingerprint, Answered>,
}

impl Quarantine {
    /// Notes that `upstream` was lost while it ran the request; returns whether that is news.
    pub fn crashed(
        &mut self,
        fingerprint: id::Fingerprint,
        upstream: id::Upstream,
        now: Instant,
    ) -> bool {
        let answered = self.answered.get(&fingerprint);
        if answered.is_some_and(|it| is_within(it.latest, MEMORY, now)) {
            return false;
        }
        make_room(&mut self.suspects, |it| it.latest, now);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            lost: BTreeMap::new(),
            latest: now,
        });
        let is_news = !suspect.lost.contains_key(&upstream);
        if is_news {
            suspect.lost.insert(upstream, now);
            suspect.latest = now;
        }
        is_news
    }

    /// Notes that an upstream answered the request and lives; returns whether it was a suspect.
    pub fn answered(&mut self, fingerprint: id::Fingerprint, now: Instant) -> bool {
        let is_suspect = self.suspects.remove(&fingerprint).is_some();
        if !self.answered.contains_key(&fingerprint) {
            make_room(&mut self.answered, |it| it.latest, now);
        }
        let entry = self.answered.entry(fingerprint).or_insert(Answered {
            latest: now,
            cleared: None,
        });
        entry.latest = now;
        if is_suspect {
            entry.cleared = Some(now);
        }
        is_suspect
    }

    /// Upstreams that were lost while they ran the request.
    #[must_use]
    pub fn losses(&self, fingerprint: id::Fingerprint) -> Vec<id::Upstream> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or_else(Vec::new, |it| it.lost.keys().cloned().collect())
    }

    /// Losses that other instances may not have heard of.
    #[must_use]
    pub fn recent(&self, now: Instant) -> Vec<(id::Fingerprint, id::Upstream)> {
        let losses = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let lost = suspect.lost.iter();
            lost.map(|(upstream, at)| (*fingerprint, upstream, *at))
        });
        let recent = losses.filter(|it| is_within(it.2, RECENT, now));
        let recent = recent.map(|(fingerprint, upstream, _)| (fingerprint, upstream.clone()));
        recent.take(RECENT_MAX).collect()
    }

    /// Cleared requests that other instances may still suspect.
    #[must_use]
    pub fn cleared(&self, now: Instant) -> Vec<id::Fingerprint> {
        let is_recent = |it: &Answered| {
            it.cleared
                .is_some_and(|cleared| is_within(cleared, RECENT, now))
        };
        let cleared = self.answered.iter().filter(|(_, it)| is_recent(it));
        cleared
            .map(|(fingerprint, _)| *fingerprint)
            .take(RECENT_MAX)
            .collect()
    }

    /// Whether the request must not be sent any more.
    pub fn is_refused(
        &self,
        fingerprint: id::Fingerprint,
        is_registered: impl Fn(&id::Upstream) -> bool,
        now: Instant,
    ) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        let lost = suspect.lost.keys().filter(|it| !is_registered(it));
        is_within(suspect.latest, MEMORY, now) && lost.count() >= CRASHES_MAX
    }
}

fn is_within(at: Instant, span: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < span
}

/// Drops what is out of date, and the oldest entry of a full map.
fn make_room<T>(
    entries: &mut BTreeMap<id::Fingerprint, T>,
    latest: impl Fn(&T) -> Instant,
    now: Instant,
) {
    if entries.len() < ENTRIES_MAX {
        return;
    }
    entries.retain(|_, it| is_within(latest(it), MEMORY, now));
    if entries.len() < ENTRIES_MAX {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, it)| latest(it));
    if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
        entries.remove(&oldest);
    }
}
