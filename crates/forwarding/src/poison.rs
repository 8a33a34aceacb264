//! Requests that crash the upstreams that run them.
//!
//! A send that ends without an answer is a loss, held against the request and the incarnation of the
//! upstream: one that comes back under its name is another one. A loss counts once the upstream
//! takes no connection, or once its registration ends, and is dropped when the registration
//! outlives it: then only an answer was lost. A request that lost several upstreams is refused.
//!
//! A whole success ends the suspicion. Requests with the same content can be frequent and run into
//! ordinary crashes, so one that was answered lately is refused only if its losses came one after
//! the other, each of a send that began after the loss before it was known.

mod loss;
mod share;
mod suspect;

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use self::share::RECENT;
use self::suspect::Held;
use self::suspect::MEMORY;
use self::suspect::Suspect;

pub use self::loss::Evidence;
pub use self::loss::Loss;
pub use self::loss::LossSummary;
pub use self::loss::Registry;
pub use self::loss::Source;
pub use self::share::ObsoleteRows;

/// Two ages of one answer differ by less, whatever way they came.
const SAME_ANSWER: Duration = Duration::from_millis(200);
/// Suspects and whole answers that are kept.
const ENTRIES_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Answered {
    latest: Instant,
    /// When it last ended a suspicion.
    cleared: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Running {
    fingerprint: id::Fingerprint,
    incarnation: id::Incarnation,
    depth: u32,
    sent: Instant,
}

impl Running {
    fn loss(&self, evidence: Evidence, now: Instant) -> Loss {
        Loss {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation.clone(),
            depth: self.depth,
            evidence,
            is_batched: false,
            age: now.saturating_duration_since(self.sent),
        }
    }
}

/// Requests under suspicion, those that were answered, and sends on their way.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<id::Fingerprint, Suspect>,
    answered: BTreeMap<id::Fingerprint, Answered>,
    running: BTreeMap<u64, Running>,
    /// Upstreams that took no connection, and when.
    unreachable: BTreeMap<id::Incarnation, Instant>,
    obsolete: ObsoleteRows,
    /// Whether there may be something to tell or to write.
    has_pending_updates: bool,
}

impl Quarantine {
    /// Notes that a request is about to be sent; `send` identifies the send.
    pub fn track_send(
        &mut self,
        send: u64,
        fingerprint: id::Fingerprint,
        incarnation: id::Incarnation,
        now: Instant,
    ) {
        let depth = self.suspects.get(&fingerprint).map_or(0, Suspect::depth);
        let running = Running {
            fingerprint,
            incarnation,
            depth: depth + 1,
            sent: now,
        };
        self.running.insert(send, running);
    }

    /// Notes that nothing of a send reached the upstream.
    pub fn cancel_send(&mut self, send: u64) {
        self.running.remove(&send);
    }

    /// Notes that a send has ended with an answer of its upstream, which was not lost then.
    pub fn record_answer(&mut self, send: u64) {
        if let Some(running) = self.running.remove(&send) {
            // Its registration may have ended before: an upstream that leaves in order still answers.
            self.remove_loss(running.fingerprint, &running.incarnation);
        }
    }

    /// Notes that a send has ended without an answer; returns the loss, unless it has ended before.
    pub fn record_loss(&mut self, send: u64, now: Instant) -> Option<Loss> {
        let running = self.running.remove(&send)?;
        let is_unreachable = self.unreachable.contains_key(&running.incarnation);
        let loss = running.loss(Evidence::of(is_unreachable), now);
        self.hold(&loss, Source::Own, now);
        Some(loss)
    }

    /// Notes that a call with a piece of the request, sent at `sent`, ended without an answer.
    pub fn record_call_loss(
        &mut self,
        fingerprint: id::Fingerprint,
        incarnation: id::Incarnation,
        sent: Instant,
        now: Instant,
    ) -> Loss {
        let suspect = self.suspects.get(&fingerprint);
        let is_unreachable = self.unreachable.contains_key(&incarnation);
        let loss = Loss {
            fingerprint,
            depth: suspect.map_or(0, |it| it.depth_at(sent)) + 1,
            evidence: Evidence::of(is_unreachable),
            is_batched: true,
            age: now.saturating_duration_since(sent),
            incarnation,
        };
        self.hold(&loss, Source::Own, now);
        loss
    }

    /// Takes over a loss from elsewhere; returns whether it is news.
    pub fn merge_loss(&mut self, loss: &Loss, source: Source, now: Instant) -> bool {
        let is_news = self.hold(loss, source, now);
        let suspect = self.suspects.get_mut(&loss.fingerprint);
        let held = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation));
        if let Some(held) = held.filter(|_| source == Source::Store) {
            held.is_saved = true;
        }
        is_news
    }

    /// Notes that an upstream took no connection: losses of it count, also of sends on their way.
    pub fn mark_unreachable(&mut self, incarnation: &id::Incarnation, now: Instant) {
        self.unreachable.insert(incarnation.clone(), now);
        let running = self.running.values();
        let running = running.filter(|it| it.incarnation == *incarnation);
        let running = running.map(|it| it.loss(Evidence::Unreachable, now));
        let held = self.suspects.iter();
        let held = held.filter_map(|(fingerprint, suspect)| {
            let held = suspect.losses.get(incarnation)?;
            Some(Loss {
                evidence: Evidence::Unreachable,
                ..held.loss(*fingerprint, incarnation, now)
            })
        });
        for loss in held.chain(running).collect::<Vec<_>>() {
            self.hold(&loss, Source::Own, now);
        }
    }

    /// Notes that an upstream took a connection.
    pub fn mark_reachable(&mut self, incarnation: &id::Incarnation) {
        self.unreachable.remove(incarnation);
    }

    /// Notes a whole success at `at`; returns whether it ended a suspicion. Losses of later sends
    /// stay: a request may begin to crash upstreams.
    pub fn record_success(
        &mut self,
        fingerprint: id::Fingerprint,
        at: Instant,
        now: Instant,
    ) -> bool {
        if !self.answered.contains_key(&fingerprint) {
            let is_forgotten = |it: &Answered| !is_within(it.latest, MEMORY, now);
            make_room(&mut self.answered, is_forgotten, |it| it.latest);
        }
        let entry = self.answered.entry(fingerprint).or_insert(Answered {
            latest: at,
            cleared: None,
        });
        entry.latest = entry.latest.max(at);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.losses.len();
        let mut cleared_depth = 0;
        let obsolete = &mut self.obsolete.own;
        suspect.losses.retain(|incarnation, held| {
            let is_later = held.sent > at;
            if !is_later {
                cleared_depth = cleared_depth.max(held.depth);
            }
            if !is_later && held.is_saved {
                obsolete.push((fingerprint, incarnation.clone()));
            }
            is_later
        });
        let is_cleared = suspect.losses.len() < before;
        for held in suspect.losses.values_mut() {
            held.depth = held.depth.saturating_sub(cleared_depth).max(1);
        }
        if suspect.losses.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        if is_cleared {
            entry.cleared = Some(now);
            self.has_pending_updates = true;
        }
        is_cleared
    }

    /// Forgets a loss that counts for nothing any more.
    pub fn remove_loss(&mut self, fingerprint: id::Fingerprint, incarnation: &id::Incarnation) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if let Some(held) = suspect.losses.remove(incarnation) {
            self.obsolete.note(fingerprint, incarnation, &held);
        }
        if suspect.losses.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Decides losses by the registrations of now, and forgets what is out of date.
    pub fn reconcile(&mut self, registry: &Registry<'_>, now: Instant) {
        self.unreachable
            .retain(|it, at| registry.view.is_registered(it) && is_within(*at, MEMORY, now));
        // Before the registrations were read, none tells anything.
        if !registry.view.upstreams.is_empty() {
            self.settle_running(registry, now);
            self.settle_losses(registry, now);
        }
        let obsolete = &mut self.obsolete;
        self.suspects.retain(|fingerprint, suspect| {
            if !suspect.is_forgotten(now) {
                return !suspect.losses.is_empty();
            }
            for (incarnation, held) in &suspect.losses {
                obsolete.note(*fingerprint, incarnation, held);
            }
            false
        });
    }

    /// What is held against a request; one that is found refused is remembered for longer.
    pub fn assess(&mut self, fingerprint: id::Fingerprint, now: Instant) -> LossSummary {
        let answered = self.answered.get(&fingerprint);
        let is_answered = answered.is_some_and(|it| is_within(it.latest, MEMORY, now));
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|it| !it.is_forgotten(now)) else {
            return LossSummary {
                is_answered,
                ..LossSummary::default()
            };
        };
        let standing = LossSummary {
            losses: suspect.losses.len(),
            confirmed: suspect.counted().count(),
            confirmed_batched: suspect.counted().filter(|it| it.is_batched).count(),
            depth: suspect.depth(),
            is_answered,
            is_fresh: is_within(suspect.latest, RECENT, now),
        };
        if standing.is_refused() {
            suspect.refused = Some(now);
        }
        standing
    }

    /// Whether anything is held against a request.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: id::Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Takes over that a suspicion was ended by an answer at `at`; returns whether that ended one here.
    pub fn merge_success(
        &mut self,
        fingerprint: id::Fingerprint,
        at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.answered.get(&fingerprint).map(|it| it.latest);
        let is_cleared = self.record_success(fingerprint, at, now);
        // Each instance passes it on once, also one that had not heard of the losses.
        let is_news = known.is_none_or(|it| at > it + SAME_ANSWER);
        if let Some(entry) = self.answered.get_mut(&fingerprint).filter(|_| is_news) {
            entry.cleared = Some(now);
        }
        is_cleared
    }

    /// Holds a loss, or what is new of one; returns whether anything is. One whose request has been
    /// answered since it was sent counts for nothing, and whoever told of it should know.
    fn hold(&mut self, loss: &Loss, source: Source, now: Instant) -> bool {
        let sent = now.checked_sub(loss.age).unwrap_or(now);
        let answered = self.answered.get_mut(&loss.fingerprint);
        if let Some(answered) = answered.filter(|it| it.latest > sent) {
            answered.cleared = Some(now);
            return false;
        }
        if !self.suspects.contains_key(&loss.fingerprint) {
            // A burst of ordinary crashes makes many suspects with one loss each.
            let rank = |it: &Suspect| (it.refused, it.counted().count(), it.latest);
            make_room(&mut self.suspects, |it| it.is_forgotten(now), rank);
        }
        let suspect = self.suspects.entry(loss.fingerprint).or_insert(Suspect {
            losses: BTreeMap::new(),
            latest: now,
            refused: None,
        });
        if let Some(held) = suspect.losses.get_mut(&loss.incarnation) {
            let is_news = loss.evidence > held.evidence;
            if is_news {
                self.has_pending_updates = true;
                held.evidence = loss.evidence;
                held.changed = now;
                held.counted = held.counted.or(Some(now));
            }
            return is_news;
        }
        let held = Held {
            depth: loss.depth,
            evidence: loss.evidence,
            source,
            is_batched: loss.is_batched,
            sent,
            at: now,
            counted: (loss.evidence > Evidence::Unanswered).then_some(now),
            changed: now,
            is_saved: false,
            is_announced: false,
        };
        self.has_pending_updates |= held.counts();
        suspect.losses.insert(loss.incarnation.clone(), held);
        suspect.latest = now;
        true
    }

    /// Sends to upstreams whose registration has ended: an answer that still comes clears them.
    fn settle_running(&mut self, registry: &Registry<'_>, now: Instant) {
        let running = self.running.values();
        let running = running.filter(|it| !registry.view.is_registered(&it.incarnation));
        let lost = running.map(|it| it.loss(Evidence::Deregistered, now));
        for loss in lost.collect::<Vec<_>>() {
            self.hold(&loss, Source::Own, now);
        }
    }

    fn settle_losses(&mut self, registry: &Registry<'_>, now: Instant) {
        for (fingerprint, suspect) in &mut self.suspects {
            suspect.losses.retain(|incarnation, held| {
                if held.evidence == Evidence::Deregistered {
                    return true;
                }
                // One that ended later had outlived the loss.
                if registry.would_show(held.at, now) {
                    self.obsolete.note(*fingerprint, incarnation, held);
                    return false;
                }
                if !registry.view.is_registered(incarnation) {
                    held.evidence = Evidence::Deregistered;
                    held.changed = now;
                    held.counted = held.counted.or(Some(now));
                    self.has_pending_updates = true;
                }
                true
            });
        }
    }
}

fn is_within(at: Instant, span: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < span
}

/// Drops what is out of date, and the entry of the least rank of a full map.
fn make_room<T, R: Ord>(
    entries: &mut BTreeMap<id::Fingerprint, T>,
    is_forgotten: impl Fn(&T) -> bool,
    rank: impl Fn(&T) -> R,
) {
    if entries.len() < ENTRIES_MAX {
        return;
    }
    entries.retain(|_, it| !is_forgotten(it));
    if entries.len() < ENTRIES_MAX {
        return;
    }
    let least = entries.iter().min_by_key(|(_, it)| rank(it));
    if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
        entries.remove(&least);
    }
}
