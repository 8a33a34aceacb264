//! Detects poison requests, which crash the upstreams that run them, and refuses them.
//!
//! A send that ends without an answer is a loss. It is recorded per request fingerprint and
//! upstream incarnation, so an upstream that restarts under the same name counts as a different
//! one. A loss is confirmed once the upstream accepts no connection or its registration ends. It is
//! dropped if the registration outlives the expiry delay: the upstream survived and only the answer
//! was lost. A request with losses on several upstreams is refused.
//!
//! A complete successful answer clears the suspicion. Frequent requests with identical content run
//! into ordinary crashes, so a request that was answered recently is refused only for sequential
//! losses: each send began after the previous loss was known.
//!
//! Requests that differ may share a prompt part that crashes upstreams, see [`PartSummary`].

mod loss;
mod part;
mod share;
mod suspect;

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use self::part::Blame;
use self::share::GOSSIP_WINDOW;
use self::suspect::LOSS_TTL;
use self::suspect::LossRecord;
use self::suspect::Suspect;

pub use self::loss::Evidence;
pub use self::loss::Loss;
pub use self::loss::LossSummary;
pub use self::loss::Registry;
pub use self::loss::Source;
pub use self::part::PartLoss;
pub use self::part::PartSummary;
pub use self::share::ObsoleteRows;

/// Times reported for the same answer differ by less than this, whichever path they took.
const SAME_ANSWER_TOLERANCE: Duration = Duration::from_millis(200);
/// Maximum number of suspects, and of requests with a successful answer, that are kept.
const ENTRIES_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Success {
    latest_at: Instant,
    /// When an answer last cleared a suspicion.
    cleared_at: Option<Instant>,
}

/// What a request may be refused for.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Fingerprint of the whole request.
    pub fingerprint: id::Fingerprint,
    /// Hashes of the prompt parts that other requests may share.
    pub parts: &'a [id::Fingerprint],
}

#[derive(Clone, Debug)]
struct InFlightSend {
    fingerprint: id::Fingerprint,
    /// Shared prompt parts; empty once the answer has proved sound.
    parts: Vec<PartLoss>,
    incarnation: id::Incarnation,
    depth: u32,
    sent_at: Instant,
}

impl InFlightSend {
    fn loss(&self, evidence: Evidence, now: Instant) -> Loss {
        Loss {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation.clone(),
            depth: self.depth,
            evidence,
            is_batched: false,
            parts: self.parts.clone(),
            age: now.saturating_duration_since(self.sent_at),
        }
    }
}

/// Suspected requests, recently answered requests, and sends in flight.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<id::Fingerprint, Suspect>,
    successes: BTreeMap<id::Fingerprint, Success>,
    in_flight: BTreeMap<u64, InFlightSend>,
    /// Upstreams that accepted no connection, and when.
    unreachable: BTreeMap<id::Incarnation, Instant>,
    obsolete: ObsoleteRows,
    /// Blame of prompt parts; `None` if the losses or successes have changed since.
    blame: Option<Blame>,
    /// Whether there may be losses to announce, or store rows to write or delete.
    has_pending_updates: bool,
}

impl Quarantine {
    /// Records that a request is about to be sent; `send` identifies the send.
    pub fn track_send(
        &mut self,
        send: u64,
        subject: Subject<'_>,
        incarnation: id::Incarnation,
        now: Instant,
    ) {
        let Subject { fingerprint, parts } = subject;
        let depth = self.suspects.get(&fingerprint).map_or(0, Suspect::depth);
        let parts = parts.iter().map(|part| PartLoss {
            part: *part,
            depth: self.part_depth(*part, now).saturating_add(1),
        });
        let in_flight = InFlightSend {
            fingerprint,
            parts: parts.collect(),
            incarnation,
            depth: depth.saturating_add(1),
            sent_at: now,
        };
        self.in_flight.insert(send, in_flight);
    }

    /// Discards a send of which no byte reached the upstream.
    pub fn cancel_send(&mut self, send: u64) {
        self.in_flight.remove(&send);
    }

    /// Records that a send ended with an answer, which shows that the upstream was not lost.
    pub fn record_answer(&mut self, send: u64) {
        if let Some(in_flight) = self.in_flight.remove(&send) {
            // An upstream that shuts down gracefully deregisters first and still answers.
            self.remove_loss(in_flight.fingerprint, &in_flight.incarnation);
        }
    }

    /// Records that a send ended without an answer; returns the loss, or `None` if the send had
    /// already ended.
    pub fn record_loss(&mut self, send: u64, now: Instant) -> Option<Loss> {
        let in_flight = self.in_flight.remove(&send)?;
        let is_unreachable = self.unreachable.contains_key(&in_flight.incarnation);
        let loss = in_flight.loss(Evidence::of_unanswered(is_unreachable), now);
        self.upsert_loss(&loss, Source::Own, now);
        Some(loss)
    }

    /// Records that a batched call with a piece of the request, sent at `sent_at`, ended without an
    /// answer.
    pub fn record_call_loss(
        &mut self,
        fingerprint: id::Fingerprint,
        incarnation: id::Incarnation,
        sent_at: Instant,
        now: Instant,
    ) -> Loss {
        let suspect = self.suspects.get(&fingerprint);
        let is_unreachable = self.unreachable.contains_key(&incarnation);
        let loss = Loss {
            fingerprint,
            depth: suspect
                .map_or(0, |it| it.depth_at(sent_at))
                .saturating_add(1),
            evidence: Evidence::of_unanswered(is_unreachable),
            is_batched: true,
            // A step runs before the request's answer begins.
            parts: Vec::new(),
            age: now.saturating_duration_since(sent_at),
            incarnation,
        };
        self.upsert_loss(&loss, Source::Own, now);
        loss
    }

    /// Merges a loss reported by a peer or the store; returns whether it adds new evidence.
    pub fn merge_loss(&mut self, loss: &Loss, source: Source, now: Instant) -> bool {
        let is_new = self.upsert_loss(loss, source, now);
        if is_new && source == Source::Peer {
            self.extend_part_chains(loss.fingerprint, &loss.incarnation);
        }
        let suspect = self.suspects.get_mut(&loss.fingerprint);
        let record = suspect.and_then(|it| it.losses.get_mut(&loss.incarnation));
        if let Some(record) = record.filter(|_| source == Source::Store) {
            record.is_saved = true;
        }
        is_new
    }

    /// Records that an upstream accepted no connection. This confirms its losses, and turns sends
    /// to it that are still in flight into confirmed losses.
    pub fn mark_unreachable(&mut self, incarnation: &id::Incarnation, now: Instant) {
        self.unreachable.insert(incarnation.clone(), now);
        let in_flight = self.in_flight.values();
        let in_flight = in_flight.filter(|it| it.incarnation == *incarnation);
        let in_flight = in_flight.map(|it| it.loss(Evidence::Unreachable, now));
        let recorded = self.suspects.iter();
        let recorded = recorded.filter_map(|(fingerprint, suspect)| {
            let record = suspect.losses.get(incarnation)?;
            Some(Loss {
                evidence: Evidence::Unreachable,
                ..record.loss(*fingerprint, incarnation, now)
            })
        });
        for loss in recorded.chain(in_flight).collect::<Vec<_>>() {
            self.upsert_loss(&loss, Source::Own, now);
        }
    }

    /// Records that an upstream accepted a connection.
    pub fn mark_reachable(&mut self, incarnation: &id::Incarnation) {
        self.unreachable.remove(incarnation);
    }

    /// Records a complete successful answer at `at`; returns whether it cleared any loss. Losses of
    /// sends after `at` stay, since a request can start to crash upstreams after it has succeeded.
    pub fn record_success(
        &mut self,
        fingerprint: id::Fingerprint,
        at: Instant,
        now: Instant,
    ) -> bool {
        self.blame.take_if(|it| it.involves(fingerprint));
        if !self.successes.contains_key(&fingerprint) {
            let is_expired = |it: &Success| !is_within(it.latest_at, LOSS_TTL, now);
            evict_if_full(&mut self.successes, is_expired, |it| it.latest_at);
        }
        let entry = self.successes.entry(fingerprint).or_insert(Success {
            latest_at: at,
            cleared_at: None,
        });
        entry.latest_at = entry.latest_at.max(at);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.losses.len();
        let mut cleared_depth = 0;
        let obsolete = &mut self.obsolete.own;
        suspect.losses.retain(|incarnation, record| {
            let is_later = record.sent_at > at;
            if !is_later {
                cleared_depth = cleared_depth.max(record.depth);
            }
            if !is_later && record.is_saved {
                obsolete.push((fingerprint, incarnation.clone()));
            }
            is_later
        });
        let is_cleared = suspect.losses.len() < before;
        for record in suspect.losses.values_mut() {
            record.depth = record.depth.saturating_sub(cleared_depth).max(1);
        }
        if suspect.losses.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        if is_cleared {
            self.blame = None;
            entry.cleared_at = Some(now);
            self.has_pending_updates = true;
        }
        is_cleared
    }

    /// Removes a loss, for instance one whose row was deleted from the store.
    pub fn remove_loss(&mut self, fingerprint: id::Fingerprint, incarnation: &id::Incarnation) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if let Some(record) = suspect.losses.remove(incarnation) {
            self.blame = None;
            self.obsolete
                .add_if_saved(fingerprint, incarnation, &record);
        }
        if suspect.losses.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Confirms or drops losses by the current registrations, and removes expired entries.
    pub fn reconcile(&mut self, registry: &Registry<'_>, now: Instant) {
        self.unreachable
            .retain(|it, at| registry.view.is_registered(it) && is_within(*at, LOSS_TTL, now));
        // An empty view means that the registrations were not read yet, so it proves nothing.
        if !registry.view.upstreams.is_empty() {
            self.record_deregistered_sends(registry, now);
            self.reconcile_losses(registry, now);
        }
        self.blame = None;
        let evidence = self.evidence_against_parts(now);
        let obsolete = &mut self.obsolete;
        self.suspects.retain(|fingerprint, suspect| {
            if !suspect.is_expired(now) || evidence.contains(fingerprint) {
                return !suspect.losses.is_empty();
            }
            for (incarnation, record) in &suspect.losses {
                obsolete.add_if_saved(*fingerprint, incarnation, record);
            }
            false
        });
    }

    /// Summarizes the losses of a request. A request that is refused by them is retained for
    /// longer.
    pub fn assess(&mut self, fingerprint: id::Fingerprint, now: Instant) -> LossSummary {
        let answered = self.successes.get(&fingerprint);
        let is_answered = answered.is_some_and(|it| is_within(it.latest_at, LOSS_TTL, now));
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|it| !it.is_expired(now)) else {
            return LossSummary {
                is_answered,
                ..LossSummary::default()
            };
        };
        let summary = LossSummary {
            losses: suspect.losses.len(),
            confirmed: suspect.confirmed().count(),
            confirmed_batched: suspect.confirmed().filter(|it| it.is_batched).count(),
            depth: suspect.depth(),
            is_answered,
            is_fresh: is_within(suspect.latest_at, GOSSIP_WINDOW, now),
        };
        if summary.is_refused() {
            suspect.refused_at = Some(now);
        }
        summary
    }

    /// Whether any loss of the request is recorded.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: id::Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Merges a successful answer at `at` reported by a peer or the store; returns whether it
    /// cleared a loss here.
    pub fn merge_success(
        &mut self,
        fingerprint: id::Fingerprint,
        at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.successes.get(&fingerprint).map(|it| it.latest_at);
        let is_cleared = self.record_success(fingerprint, at, now);
        // Each instance gossips the clearance once, even if it knew none of the losses.
        let is_new = known.is_none_or(|it| at > it + SAME_ANSWER_TOLERANCE);
        if let Some(entry) = self.successes.get_mut(&fingerprint).filter(|_| is_new) {
            entry.cleared_at = Some(now);
        }
        is_cleared
    }

    /// Inserts a loss, or strengthens the evidence of a recorded one; returns whether either
    /// happened. A loss whose request has been answered since the send is ignored, and the
    /// clearance is gossiped again for the instance that reported the loss.
    fn upsert_loss(&mut self, loss: &Loss, source: Source, now: Instant) -> bool {
        self.blame = None;
        let sent_at = now.checked_sub(loss.age).unwrap_or(now);
        let answered = self.successes.get_mut(&loss.fingerprint);
        if let Some(answered) = answered.filter(|it| it.latest_at > sent_at) {
            answered.cleared_at = Some(now);
            return false;
        }
        if !self.suspects.contains_key(&loss.fingerprint) {
            // Ranks by confirmed losses: a burst of ordinary crashes creates many suspects with one
            // loss each, which must not evict a real one.
            let rank = |it: &Suspect| (it.refused_at, it.confirmed().count(), it.latest_at);
            evict_if_full(&mut self.suspects, |it| it.is_expired(now), rank);
        }
        let suspect = self.suspects.entry(loss.fingerprint).or_insert(Suspect {
            losses: BTreeMap::new(),
            latest_at: now,
            refused_at: None,
        });
        if let Some(record) = suspect.losses.get_mut(&loss.incarnation) {
            if record.raise_part_depths(&loss.parts) {
                record.changed_at = now;
            }
            let is_new = loss.evidence > record.evidence;
            if is_new {
                self.has_pending_updates = true;
                record.evidence = loss.evidence;
                record.changed_at = now;
                record.confirmed_at = record.confirmed_at.or(Some(now));
            }
            return is_new;
        }
        let record = LossRecord {
            depth: loss.depth,
            evidence: loss.evidence,
            source,
            is_batched: loss.is_batched,
            parts: loss.parts.clone(),
            sent_at,
            recorded_at: now,
            confirmed_at: (loss.evidence > Evidence::Unanswered).then_some(now),
            changed_at: now,
            is_saved: false,
            is_announced: false,
        };
        self.has_pending_updates |= record.is_confirmed();
        suspect.losses.insert(loss.incarnation.clone(), record);
        suspect.latest_at = now;
        true
    }

    /// Records sends in flight to deregistered upstreams as losses; a later answer removes them.
    fn record_deregistered_sends(&mut self, registry: &Registry<'_>, now: Instant) {
        let in_flight = self.in_flight.values();
        let in_flight = in_flight.filter(|it| !registry.view.is_registered(&it.incarnation));
        let lost = in_flight.map(|it| it.loss(Evidence::Deregistered, now));
        for loss in lost.collect::<Vec<_>>() {
            self.upsert_loss(&loss, Source::Own, now);
        }
    }

    fn reconcile_losses(&mut self, registry: &Registry<'_>, now: Instant) {
        for (fingerprint, suspect) in &mut self.suspects {
            suspect.losses.retain(|incarnation, record| {
                if record.evidence == Evidence::Deregistered {
                    return true;
                }
                // A registration that ends after the expiry delay outlived the loss.
                if registry.is_expiry_due(record.recorded_at, now) {
                    self.obsolete
                        .add_if_saved(*fingerprint, incarnation, record);
                    return false;
                }
                if !registry.view.is_registered(incarnation) {
                    record.evidence = Evidence::Deregistered;
                    record.changed_at = now;
                    record.confirmed_at = record.confirmed_at.or(Some(now));
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

/// Makes room in a map of `ENTRIES_MAX` entries: removes expired ones or, if there are none, the
/// entry of the lowest rank.
fn evict_if_full<T, R: Ord>(
    entries: &mut BTreeMap<id::Fingerprint, T>,
    is_expired: impl Fn(&T) -> bool,
    rank: impl Fn(&T) -> R,
) {
    if entries.len() < ENTRIES_MAX {
        return;
    }
    entries.retain(|_, it| !is_expired(it));
    if entries.len() < ENTRIES_MAX {
        return;
    }
    let lowest = entries.iter().min_by_key(|(_, it)| rank(it));
    if let Some(lowest) = lowest.map(|(fingerprint, _)| *fingerprint) {
        entries.remove(&lowest);
    }
}
