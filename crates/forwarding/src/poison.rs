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

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::View;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Different upstreams that must have been lost; ordinary crashes hit one request this often only
/// by rare chance.
const CRASHES_MAX: usize = 3;
/// Losses and whole answers are forgotten after this time.
const MEMORY: Duration = Duration::from_secs(60);
/// A refused request is forgotten this long after it was last refused.
const REFUSED_MEMORY: Duration = Duration::from_secs(600);
/// News this recent is passed on; longer than it takes every instance to ask once.
const RECENT: Duration = Duration::from_secs(2);
/// Two ages of one answer differ by less, whatever way they came.
const SAME_ANSWER: Duration = Duration::from_millis(200);
/// Losses, and cleared requests, that one message passes on.
const RECENT_MAX: usize = 128;
/// Losses of one request from which on they are kept in the store, for instances that start later or
/// that no other instance reaches.
const SAVED_MIN: usize = 2;
/// Suspects and whole answers that are kept.
const ENTRIES_MAX: usize = 4_096;

/// What tells that an upstream was lost, the weakest first.
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
pub enum Evidence {
    /// A send had no answer.
    Unanswered,
    /// Nor was there a connection afterwards.
    Unreachable,
    /// Its registration ended.
    Deregistered,
}

/// The loss of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The request.
    pub fingerprint: id::Fingerprint,
    /// The upstream.
    pub incarnation: id::Incarnation,
    /// Losses of the request that came one after the other, up to this one.
    pub depth: u32,
    /// What tells of it.
    pub evidence: Evidence,
    /// Whether the upstream ran pieces of other requests in the same call.
    pub is_batched: bool,
    /// Time since the send.
    pub age: Duration,
}

/// Where a loss was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// A send of this instance.
    Own,
    /// Another instance.
    Peer,
    /// A row of the store.
    Store,
}

/// Registrations of upstreams, as of one moment.
#[derive(Clone, Copy, Debug)]
pub struct Registry<'a> {
    /// The registrations.
    pub view: &'a View,
    /// Since when they are followed without a gap; `None` while the store is away.
    pub followed_since: Option<Instant>,
    /// Longest time from a crash until its registration is known to have ended.
    pub lapse: Duration,
}

impl Registry<'_> {
    /// Whether an upstream that crashed at `at` would be known to be gone by now.
    fn would_show(&self, at: Instant, now: Instant) -> bool {
        self.followed_since
            .is_some_and(|since| now > since.max(at) + self.lapse)
    }
}

#[derive(Clone, Debug)]
struct Held {
    depth: u32,
    evidence: Evidence,
    source: Source,
    is_batched: bool,
    sent: Instant,
    /// When it was seen, or heard of.
    at: Instant,
    /// Since when it counts.
    counted: Option<Instant>,
    /// When the evidence last grew.
    changed: Instant,
    /// Whether the store has it.
    is_saved: bool,
    is_announced: bool,
}

impl Held {
    fn counts(&self) -> bool {
        self.evidence > Evidence::Unanswered
    }
}

#[derive(Debug)]
struct Suspect {
    losses: BTreeMap<id::Incarnation, Held>,
    latest: Instant,
    /// Since it was last found to be refused.
    refused: Option<Instant>,
}

impl Suspect {
    fn counted(&self) -> impl Iterator<Item = &Held> {
        self.losses.values().filter(|it| it.counts())
    }

    /// Losses that came one after the other; those that an answer has cleared are none.
    fn depth(&self) -> u32 {
        let deepest = self.counted().map(|it| it.depth).max().unwrap_or(0);
        deepest.min(self.counted().count() as u32)
    }

    /// What the depth was when a send began.
    fn depth_at(&self, sent: Instant) -> u32 {
        let before = self.losses.values();
        let before = before.filter(|it| it.counted.is_some_and(|counted| counted <= sent));
        before.map(|it| it.depth).max().unwrap_or(0)
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let is_refused = self
            .refused
            .is_some_and(|it| is_within(it, REFUSED_MEMORY, now));
        !is_refused && !is_within(self.latest, MEMORY, now)
    }
}

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

/// What is held against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Losses.
    pub losses: usize,
    /// Losses that count.
    pub counted: usize,
    /// Those among them of calls that held pieces of other requests, any of which may be the cause.
    pub batched: usize,
    /// Losses that came one after the other.
    pub depth: u32,
    /// Whether the request was answered lately.
    pub is_answered: bool,
    /// Whether another instance may have an answer that clears it, and had no time to tell.
    pub is_fresh: bool,
}

impl Standing {
    /// Whether the request must not be sent any more.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let depth = self.depth as usize;
        let crashes = if self.is_answered {
            depth
        } else {
            depth.max(self.counted - self.batched)
        };
        crashes >= CRASHES_MAX
    }
}

/// Rows of the store that are not needed any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Obsolete {
    /// Of this instance's own losses, and of requests that it cleared.
    pub own: Vec<(id::Fingerprint, id::Incarnation)>,
    /// Of others, which may be gone.
    pub others: Vec<(id::Fingerprint, id::Incarnation)>,
}

/// Requests under suspicion, those that were answered, and sends on their way.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<id::Fingerprint, Suspect>,
    answered: BTreeMap<id::Fingerprint, Answered>,
    running: BTreeMap<u64, Running>,
    /// Upstreams that took no connection, and when.
    unreachable: BTreeMap<id::Incarnation, Instant>,
    obsolete: Obsolete,
    /// Whether there may be something to tell or to write.
    is_pending: bool,
}

impl Quarantine {
    /// Notes that a request is about to be sent; `send` identifies the send.
    pub fn begin(
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

    /// Notes that a send has ended and that its upstream was not lost.
    pub fn ended(&mut self, send: u64) {
        self.running.remove(&send);
    }

    /// Notes that a send has ended without an answer; returns the loss, unless it has ended before.
    pub fn lost(&mut self, send: u64, now: Instant) -> Option<Loss> {
        let running = self.running.remove(&send)?;
        let is_unreachable = self.unreachable.contains_key(&running.incarnation);
        let loss = running.loss(evidence(is_unreachable), now);
        self.hold(&loss, Source::Own, now);
        Some(loss)
    }

    /// Notes that a call with a piece of the request, sent at `sent`, ended without an answer.
    pub fn lost_call(
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
            evidence: evidence(is_unreachable),
            is_batched: true,
            age: now.saturating_duration_since(sent),
            incarnation,
        };
        self.hold(&loss, Source::Own, now);
        loss
    }

    /// Takes over a loss from elsewhere; returns whether it is news.
    pub fn learn(&mut self, loss: &Loss, source: Source, now: Instant) -> bool {
        let is_news = self.hold(loss, source, now);
        let suspect = self.suspects.get_mut(&loss.fingerprint);
        let held = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation));
        if let Some(held) = held.filter(|_| source == Source::Store) {
            held.is_saved = true;
        }
        is_news
    }

    /// Notes that an upstream took no connection: losses of it count, also of sends on their way.
    pub fn unreachable(&mut self, incarnation: &id::Incarnation, now: Instant) {
        self.unreachable.insert(incarnation.clone(), now);
        let running = self.running.values();
        let running = running.filter(|it| it.incarnation == *incarnation);
        let running = running.map(|it| it.loss(Evidence::Unreachable, now));
        let held = self.suspects.iter();
        let held = held.filter_map(|(fingerprint, suspect)| {
            let held = suspect.losses.get(incarnation)?;
            Some(Loss {
                evidence: Evidence::Unreachable,
                ..loss(*fingerprint, incarnation, held, now)
            })
        });
        for loss in held.chain(running).collect::<Vec<_>>() {
            self.hold(&loss, Source::Own, now);
        }
    }

    /// Notes that an upstream took a connection.
    pub fn reachable(&mut self, incarnation: &id::Incarnation) {
        self.unreachable.remove(incarnation);
    }

    /// Notes a whole success at `at`; returns whether it ended a suspicion. Losses of later sends
    /// stay: a request may begin to crash upstreams.
    pub fn answered(&mut self, fingerprint: id::Fingerprint, at: Instant, now: Instant) -> bool {
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
            self.is_pending = true;
        }
        is_cleared
    }

    /// Forgets a loss whose row was deleted.
    pub fn forget(&mut self, fingerprint: id::Fingerprint, incarnation: &id::Incarnation) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.losses.remove(incarnation);
        if suspect.losses.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Decides losses by the registrations of now, and forgets what is out of date.
    pub fn settle(&mut self, registry: &Registry<'_>, now: Instant) {
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
    pub fn standing(&mut self, fingerprint: id::Fingerprint, now: Instant) -> Standing {
        let answered = self.answered.get(&fingerprint);
        let is_answered = answered.is_some_and(|it| is_within(it.latest, MEMORY, now));
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|it| !it.is_forgotten(now)) else {
            return Standing {
                is_answered,
                ..Standing::default()
            };
        };
        let standing = Standing {
            losses: suspect.losses.len(),
            counted: suspect.counted().count(),
            batched: suspect.counted().filter(|it| it.is_batched).count(),
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

    /// Losses that other instances may not have heard of, those of the most suspected requests
    /// first.
    #[must_use]
    pub fn recent(&self, now: Instant) -> Vec<Loss> {
        let mut recent: Vec<(usize, Instant, Loss)> = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let count = suspect.losses.len();
            for (incarnation, held) in &suspect.losses {
                if is_within(held.changed, RECENT, now) && (held.counts() || count >= SAVED_MIN) {
                    recent.push((
                        count,
                        held.changed,
                        loss(*fingerprint, incarnation, held, now),
                    ));
                }
            }
        }
        recent.sort_by_key(|it| std::cmp::Reverse((it.0, it.1)));
        let losses = recent.into_iter().map(|it| it.2);
        losses.take(RECENT_MAX).collect()
    }

    /// Takes over that a suspicion was ended by an answer at `at`; returns whether that ended one here.
    pub fn acquitted(&mut self, fingerprint: id::Fingerprint, at: Instant, now: Instant) -> bool {
        let known = self.answered.get(&fingerprint).map(|it| it.latest);
        let is_cleared = self.answered(fingerprint, at, now);
        // Each instance passes it on once, also one that had not heard of the losses.
        let is_news = known.is_none_or(|it| at > it + SAME_ANSWER);
        if let Some(entry) = self.answered.get_mut(&fingerprint).filter(|_| is_news) {
            entry.cleared = Some(now);
        }
        is_cleared
    }

    /// Cleared requests that other instances may still suspect, and the time since their answers.
    #[must_use]
    pub fn cleared(&self, now: Instant) -> Vec<(id::Fingerprint, Duration)> {
        let is_recent = |it: &Answered| {
            it.cleared
                .is_some_and(|cleared| is_within(cleared, RECENT, now))
        };
        let cleared = self.answered.iter().filter(|(_, it)| is_recent(it));
        cleared
            .map(|(fingerprint, it)| (*fingerprint, now.saturating_duration_since(it.latest)))
            .take(RECENT_MAX)
            .collect()
    }

    /// Whether there may be something to announce, to save or to delete.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Own losses that count and that no other instance was told of yet.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<Loss> {
        self.is_pending = false;
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            for (incarnation, held) in &mut suspect.losses {
                if held.source == Source::Own && held.counts() && !held.is_announced {
                    held.is_announced = true;
                    losses.push(loss(*fingerprint, incarnation, held, now));
                }
            }
        }
        losses
    }

    /// Own losses that count and that the store should keep.
    #[must_use]
    pub fn unsaved(&self, now: Instant) -> Vec<Loss> {
        let mut losses = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            if suspect.counted().count() < SAVED_MIN {
                continue;
            }
            let unsaved = suspect.losses.iter().filter(|(_, it)| !it.is_saved);
            let unsaved = unsaved.filter(|(_, it)| it.source == Source::Own && it.counts());
            losses.extend(unsaved.map(|(name, it)| loss(*fingerprint, name, it, now)));
        }
        losses
    }

    /// Notes that the store has these losses.
    pub fn saved(&mut self, losses: &[Loss]) {
        for loss in losses {
            let suspect = self.suspects.get_mut(&loss.fingerprint);
            if let Some(held) = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation)) {
                held.is_saved = true;
            }
        }
    }

    /// Rows of the store that are not needed any more.
    pub fn take_obsolete(&mut self) -> Obsolete {
        std::mem::take(&mut self.obsolete)
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
                self.is_pending = true;
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
        self.is_pending |= held.counts();
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
                    self.is_pending = true;
                }
                true
            });
        }
    }
}

impl Obsolete {
    fn note(&mut self, fingerprint: id::Fingerprint, incarnation: &id::Incarnation, held: &Held) {
        if !held.is_saved {
            return;
        }
        let row = (fingerprint, incarnation.clone());
        match held.source {
            Source::Own => self.own.push(row),
            Source::Peer | Source::Store => self.others.push(row),
        }
    }
}

fn loss(
    fingerprint: id::Fingerprint,
    incarnation: &id::Incarnation,
    held: &Held,
    now: Instant,
) -> Loss {
    Loss {
        fingerprint,
        incarnation: incarnation.clone(),
        depth: held.depth,
        evidence: held.evidence,
        is_batched: held.is_batched,
        age: now.saturating_duration_since(held.sent),
    }
}

fn evidence(is_unreachable: bool) -> Evidence {
    if is_unreachable {
        Evidence::Unreachable
    } else {
        Evidence::Unanswered
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
