//! Requests that crash the upstreams that run them.
//!
//! A request that was running when its connection broke is a suspect. One that did so at several
//! different upstreams is refused from then on. Members tell each other of every such break, since
//! the request comes again at any of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

/// Different upstreams that must have been lost; ordinary crashes hit one request this often only
/// by rare chance.
const CRASHES_MAX: usize = 3;
/// Suspicion is forgotten after this time.
const MEMORY: Duration = Duration::from_secs(60);
/// Crashes this recent are passed on; longer than it takes every instance to ask once.
const RECENT: Duration = Duration::from_secs(2);
/// Crashes that one message passes on.
const RECENT_MAX: usize = 128;
/// Suspects that are kept; the oldest are dropped first.
const SUSPECTS_MAX: usize = 4_096;

#[derive(Debug)]
struct Suspect {
    crashed: BTreeSet<id::Upstream>,
    latest: Instant,
}

/// Requests under suspicion.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<id::Fingerprint, Suspect>,
}

impl Quarantine {
    /// Notes that `upstream` was lost while it ran the request; returns whether that is news.
    pub fn crashed(
        &mut self,
        fingerprint: id::Fingerprint,
        upstream: id::Upstream,
        now: Instant,
    ) -> bool {
        self.suspects
            .retain(|_, it| now.saturating_duration_since(it.latest) < MEMORY);
        if self.suspects.len() >= SUSPECTS_MAX {
            let oldest = self.suspects.iter().min_by_key(|(_, it)| it.latest);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
            }
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashed: BTreeSet::new(),
            latest: now,
        });
        let is_news = suspect.crashed.insert(upstream);
        if is_news {
            suspect.latest = now;
        }
        is_news
    }

    /// Crashes that other instances may not have heard of.
    #[must_use]
    pub fn recent(&self, now: Instant) -> Vec<(id::Fingerprint, id::Upstream)> {
        let recent = self
            .suspects
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.latest) < RECENT);
        let crashes = recent.flat_map(|(fingerprint, suspect)| {
            suspect.crashed.iter().map(|it| (*fingerprint, it.clone()))
        });
        crashes.take(RECENT_MAX).collect()
    }

    /// Whether the request must not be sent any more.
    #[must_use]
    pub fn is_refused(&self, fingerprint: id::Fingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|it| {
            let is_recent = now.saturating_duration_since(it.latest) < MEMORY;
            is_recent && it.crashed.len() >= CRASHES_MAX
        })
    }
}
