//! Blame of prompt parts that crash the engines that answer them, whatever else a request holds.
//!
//! A crash may have been caused by any part of any request whose answer was not known to be sound
//! when the upstream was lost. Parts that many requests share are involved in every crash, so the
//! number of crashes alone proves nothing. A part that was in a sound run since isn't the cause, and
//! the first part of prompts, which a whole route shares, is blamed only for what no other part
//! explains. Parts that always came together are blamed together: a request that lacks one of them
//! is sent, and its outcome tells them apart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::id;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::Quarantine;
use super::is_within;
use super::loss::Source;
use super::share::GOSSIP_WINDOW;
use super::suspect::LOSS_TTL;
use super::suspect::LossRecord;
use super::suspect::REFUSED_TTL;

/// A part is blamed once this many different upstreams were lost.
const CRASHES_MIN: usize = 3;
/// Sequential crashes for which a part is blamed; a failure of many upstreams at once counts as one.
const DEPTH_MIN: u32 = 2;
/// The same for a part that was in a sound run lately, and for the first part of prompts.
const SOUND_DEPTH_MIN: u32 = 3;
/// The same as [`CRASHES_MIN`] for the first part of prompts, and for other parts while the first
/// one was in no sound run.
const UNCONTRASTED_CRASHES_MIN: usize = 5;

/// Crashes that one request, with its repeats, adds to those of its parts: fewer than make a part
/// blamed.
const REQUEST_CRASHES_MAX: usize = CRASHES_MIN - 1;

/// A prompt part of a request that was lost before its answer was known to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLoss {
    /// Hash of the part's id.
    pub part: id::Fingerprint,
    /// Length of the part's chain of sequential losses that ends with this one; 0 for a part that
    /// is not suspected, since it was in a sound run shortly before.
    pub depth: u32,
}

/// Crashes that involve a prompt part of a request, on which the refusal is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartSummary {
    /// The part with the most crashes, or the one for which the request is refused.
    pub part: Option<id::Fingerprint>,
    /// Number of upstreams that were lost since the part was last in a sound run.
    pub crashes: usize,
    /// Number of sequential crashes: each send began after the previous loss was confirmed.
    pub depth: u32,
    /// Whether the request must not be sent.
    pub is_refused: bool,
    /// Whether the latest loss is so recent that a sound run at another instance may not have been
    /// gossiped here yet.
    pub is_fresh: bool,
}

/// Crashes that involve each prompt part, and what follows from them.
#[derive(Clone, Debug, Default)]
pub(super) struct Blame {
    parts: BTreeMap<id::Fingerprint, Involvement>,
    verdicts: Vec<Verdict>,
}

/// Upstreams that a part may have crashed, by their place in the list of all lost ones, with the
/// depth of each loss.
type Crashes = BTreeMap<usize, u32>;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Involvement {
    crashes: Crashes,
    /// Number of lost requests with the part.
    requests: usize,
    /// First part of these requests; `None` if it is this one.
    first: Option<id::Fingerprint>,
    /// When the first of these requests was sent.
    since: Option<Instant>,
}

/// Parts that are blamed together: a request that has them all must not be sent.
#[derive(Clone, Debug)]
struct Verdict {
    parts: BTreeSet<id::Fingerprint>,
    crashes: Crashes,
}

impl Blame {
    /// Whether a crash involves the part.
    pub(super) fn involves(&self, part: id::Fingerprint) -> bool {
        self.parts.contains_key(&part)
    }
}

impl Quarantine {
    /// Records that the answer of a send has proved sound, which clears the prompt parts of its
    /// request.
    pub fn record_sound_run(&mut self, send: u64, now: Instant) {
        let Some(in_flight) = self.in_flight.get_mut(&send) else {
            return;
        };
        for loss in std::mem::take(&mut in_flight.parts) {
            let is_involved = self.blame(now).involves(loss.part);
            self.record_success(loss.part, now, now);
            if let Some(entry) = self.successes.get_mut(&loss.part).filter(|_| is_involved) {
                entry.cleared_at = Some(now);
            }
        }
    }

    /// Summarizes the crashes that involve the prompt parts of a request.
    #[must_use]
    pub fn assess_parts(&mut self, parts: &[id::Fingerprint], now: Instant) -> PartSummary {
        let blame = self.blame(now);
        if blame.parts.is_empty() {
            return PartSummary::default();
        }
        let own: BTreeSet<id::Fingerprint> = parts.iter().copied().collect();
        let verdict = blame.verdicts.iter().find(|it| it.parts.is_subset(&own));
        let involved = own
            .iter()
            .filter_map(|part| blame.parts.get_key_value(part));
        let worst = involved.max_by_key(|(_, it)| it.crashes.len());
        let worst = worst.map(|(part, it)| (*part, &it.crashes));
        let refused = verdict.and_then(|it| Some((*it.parts.first()?, &it.crashes)));
        let Some((part, crashes)) = refused.or(worst) else {
            return PartSummary::default();
        };
        let (crashes, depth) = (crashes.len(), chain_depth(crashes));
        let is_refused = refused.is_some();
        let mut records = self.blamed_records();
        PartSummary {
            part: Some(part),
            crashes,
            depth,
            is_refused,
            is_fresh: records
                .any(|it| it.has_part(part) && is_within(it.changed_at, GOSSIP_WINDOW, now)),
        }
    }

    /// Depth of the chain of sequential losses of a part so far.
    pub(super) fn part_depth(&mut self, part: id::Fingerprint, now: Instant) -> u32 {
        let involvement = self.blame(now).parts.get(&part);
        let depths = involvement.into_iter().flat_map(|it| it.crashes.values());
        depths.max().copied().unwrap_or(0)
    }

    /// Continues the chains of a loss that another instance reported with the losses that were known
    /// here before its send began: news takes a while to reach the sender, and meanwhile every
    /// upstream of a service may be lost.
    pub(super) fn extend_part_chains(
        &mut self,
        fingerprint: id::Fingerprint,
        incarnation: &id::Incarnation,
    ) {
        let suspect = self.suspects.get(&fingerprint);
        let record = suspect.and_then(|it| it.losses.get(incarnation));
        // Rows of the store do not tell when a send began.
        let Some(record) = record.filter(|it| it.source == Source::Peer) else {
            return;
        };
        let parts = record.parts.iter().map(|it| PartLoss {
            part: it.part,
            depth: self
                .part_depth_at(it.part, record.sent_at, incarnation)
                .saturating_add(1),
        });
        let parts: Vec<PartLoss> = parts.collect();
        let suspect = self.suspects.get_mut(&fingerprint);
        if let Some(record) = suspect.and_then(|it| it.losses.get_mut(incarnation)) {
            record.raise_part_depths(&parts);
        }
    }

    /// Depth of the part's chain of losses of other upstreams that were known here at `sent_at`.
    fn part_depth_at(
        &self,
        part: id::Fingerprint,
        sent_at: Instant,
        incarnation: &id::Incarnation,
    ) -> u32 {
        let sound = self.successes.get(&part).map(|it| it.latest_at);
        let losses = self.suspects.values().flat_map(|it| &it.losses);
        let losses = losses.filter(|(other, _)| *other != incarnation);
        let losses = losses.map(|(_, it)| it);
        let losses = losses.filter(|it| it.confirmed_at.is_some_and(|at| at <= sent_at));
        let losses = losses.filter(|it| sound.is_none_or(|at| at < it.sent_at));
        let parts = losses.flat_map(|it| &it.parts);
        let depths = parts.filter(|it| it.part == part).map(|it| it.depth);
        depths.max().unwrap_or(0)
    }

    /// Whether a request with the part had a sound run within the last minute.
    pub(super) fn was_sound_lately(&self, part: id::Fingerprint, now: Instant) -> bool {
        let sound = self.successes.get(&part);
        sound.is_some_and(|it| is_within(it.latest_at, LOSS_TTL, now))
    }

    /// Requests whose losses are kept beyond their own expiry, since a part is blamed by them.
    pub(super) fn evidence_against_parts(&mut self, now: Instant) -> BTreeSet<id::Fingerprint> {
        let suspects = self.suspects.iter();
        let expired = suspects
            .filter(|(_, it)| it.is_expired(now) && is_within(it.latest_at, REFUSED_TTL, now));
        let expired: Vec<id::Fingerprint> = expired.map(|it| *it.0).collect();
        if expired.is_empty() {
            return BTreeSet::new();
        }
        let verdicts = self.blame(now).verdicts.iter();
        let blamed: BTreeSet<id::Fingerprint> = verdicts.flat_map(|it| it.parts.clone()).collect();
        let is_evidence = |it: &&id::Fingerprint| {
            let mut losses = self.suspects[*it].confirmed().flat_map(|it| &it.parts);
            losses.any(|it| blamed.contains(&it.part))
        };
        expired.iter().filter(is_evidence).copied().collect()
    }

    /// Derives the blame from the losses anew if they have changed.
    fn blame(&mut self, now: Instant) -> &Blame {
        if self.blame.is_none() {
            self.blame = Some(self.compute_blame(now));
        }
        self.blame.get_or_insert_default()
    }

    /// Confirmed losses of requests with prompt parts.
    fn blamed_records(&self) -> impl Iterator<Item = &LossRecord> {
        let records = self.suspects.values().flat_map(|it| it.confirmed());
        records.filter(|it| !it.parts.is_empty())
    }

    fn compute_blame(&self, now: Instant) -> Blame {
        let parts = self.involvements();
        let mut suspected: Vec<(&id::Fingerprint, &Involvement)> = parts
            .iter()
            .filter(|(part, it)| self.is_suspected_part(**part, it, now))
            .collect();
        suspected.sort_by_key(|(_, it)| (std::cmp::Reverse(it.crashes.len()), it.requests));
        let mut verdicts: Vec<Verdict> = Vec::new();
        for (_, own) in &suspected {
            let is_explained = verdicts.iter().any(|it| has_all(&it.crashes, &own.crashes));
            if is_explained || !self.has_contrast(own) {
                continue;
            }
            let inseparable = suspected.iter().filter(|(_, it)| it == own);
            verdicts.push(Verdict {
                parts: inseparable.map(|it| *it.0).collect(),
                crashes: own.crashes.clone(),
            });
        }
        for (part, own) in parts.iter().filter(|(_, it)| it.first.is_none()) {
            if is_first_part_blamed(&unexplained(&own.crashes, &suspected)) {
                verdicts.push(Verdict {
                    parts: BTreeSet::from([*part]),
                    crashes: own.crashes.clone(),
                });
            }
        }
        Blame { parts, verdicts }
    }

    /// Whether a part that isn't the first of its prompts may be the cause of its crashes.
    fn is_suspected_part(&self, part: id::Fingerprint, own: &Involvement, now: Instant) -> bool {
        let depth_min = match self.was_sound_lately(part, now) {
            true => SOUND_DEPTH_MIN,
            false => DEPTH_MIN,
        };
        let crashes = &own.crashes;
        own.first.is_some() && crashes.len() >= CRASHES_MIN && chain_depth(crashes) >= depth_min
    }

    /// Whether the part differs in its outcome from the first part of its prompts, which was sound
    /// meanwhile, or else there are crashes enough to do without this.
    fn has_contrast(&self, own: &Involvement) -> bool {
        let sound = own.first.and_then(|it| self.successes.get(&it));
        let is_first_sound = sound
            .zip(own.since)
            .is_some_and(|(it, at)| it.latest_at >= at);
        is_first_sound || own.crashes.len() >= UNCONTRASTED_CRASHES_MIN
    }

    /// The crashes that involve each part since it was last in a sound run.
    fn involvements(&self) -> BTreeMap<id::Fingerprint, Involvement> {
        let mut upstreams: BTreeMap<&id::Incarnation, usize> = BTreeMap::new();
        let mut parts: BTreeMap<id::Fingerprint, Involvement> = BTreeMap::new();
        for suspect in self.suspects.values() {
            let records = suspect.losses.iter().filter(|(_, it)| it.is_confirmed());
            let mut records: Vec<(&id::Incarnation, &LossRecord)> = records.collect();
            records.sort_by_key(|(_, it)| it.sent_at);
            // The crashes of one request that is repeated are its own, whatever it consists of.
            for (incarnation, record) in records.into_iter().take(REQUEST_CRASHES_MAX) {
                let next = upstreams.len();
                let upstream = *upstreams.entry(incarnation).or_insert(next);
                let first = record.parts.first().map(|it| it.part);
                for loss in &record.parts {
                    let sound = self.successes.get(&loss.part);
                    let is_cleared = sound.is_some_and(|it| it.latest_at >= record.sent_at);
                    if is_cleared || loss.depth == 0 {
                        continue;
                    }
                    let involvement = parts.entry(loss.part).or_default();
                    involvement.requests += 1;
                    involvement.first = first.filter(|it| *it != loss.part);
                    let since = involvement.since.get_or_insert(record.sent_at);
                    *since = record.sent_at.min(*since);
                    let depth = involvement.crashes.entry(upstream).or_insert(loss.depth);
                    *depth = loss.depth.max(*depth);
                }
            }
        }
        parts
    }
}

fn is_first_part_blamed(unexplained: &Crashes) -> bool {
    unexplained.len() >= UNCONTRASTED_CRASHES_MIN && chain_depth(unexplained) >= SOUND_DEPTH_MIN
}

/// Crashes that none of the suspected parts explains.
fn unexplained(crashes: &Crashes, suspected: &[(&id::Fingerprint, &Involvement)]) -> Crashes {
    let is_explained = |upstream: &usize| {
        let mut suspected = suspected.iter();
        suspected.any(|(_, it)| it.crashes.contains_key(upstream))
    };
    let unexplained = crashes.iter().filter(|(it, _)| !is_explained(it));
    unexplained.map(|(it, depth)| (*it, *depth)).collect()
}

/// Whether `crashes` include all of `others`.
fn has_all(crashes: &Crashes, others: &Crashes) -> bool {
    others.keys().all(|it| crashes.contains_key(it))
}

/// Number of sequential losses among `crashes`.
fn chain_depth(crashes: &Crashes) -> u32 {
    let depths: BTreeSet<u32> = crashes.values().copied().collect();
    depths.len() as u32
}
