//! Upstreams of one step service: what each is doing and how fast it is.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use tokio::time::Instant;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Excess of a replica's slowness that remains after this time without a sample is a half.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Replicas slower than this multiple of their stated time are used only when no other is usable.
const SLOW_FACTOR: f64 = 2.0;
/// A full upstream is left alone for about a quarter of a call's fixed time, and for twice as long
/// after each further rejection: calls of an owner that is gone may fill it.
const REJECTED_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause of a full upstream, about the time of a full call.
const REJECTED_PAUSE_MAX: Duration = Duration::from_millis(400);
/// An unreachable upstream is left alone for the time in which a crashed one is deregistered.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// A call is lost after this multiple of its expected time, plus [`TIMEOUT_SLACK`].
const TIMEOUT_FACTOR: f64 = 2.5;
/// Part of an upstream's room that is planned with: the stated size of results is approximate.
const ROOM_PART: f64 = 0.85;
/// An upstream that reported no room gets no more results to keep for this time.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(200);
/// Part of a call's fixed time (200 ms at both users) after which its inputs have been read: they are
/// fetched first, and the thirty megabytes of a full call take 25 ms at 10 Gbit/s.
const READ_PART: f64 = 0.5;
/// A call that takes more than this multiple of its stated time may have queued.
const PROMPT_FACTOR: f64 = 1.3;
/// After a change of owners the former one's calls come for about as long as its requests may wait.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Covers connecting and both ways between zones.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);

/// A registered upstream of a step service.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Name.
    pub name: id::Upstream,
    /// Availability zone.
    pub zone: id::Zone,
    /// Unix milliseconds of its start.
    pub started_ms: u64,
    /// Whether new calls may go to it.
    pub is_usable: bool,
}

#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) replica: Replica,
    pub(crate) calls: u32,
    /// Bytes of results that it keeps or will make.
    pub(crate) bytes: u64,
    /// Measured over stated time of calls.
    slowness: f64,
    sampled: Option<Instant>,
    /// Since when no call has been rejected or can have queued.
    prompt_since: Option<Instant>,
    paused_until: Option<Instant>,
    /// Until when the upstream wants nothing.
    held_off_until: Option<Instant>,
    rejections: u32,
    /// Until when it is taken for full, whatever this owner keeps there.
    full_until: Option<Instant>,
    foreign: Option<Foreign>,
}

/// Results of other owners that fill an upstream, such as one that has crashed.
#[derive(Clone, Copy, Debug)]
struct Foreign {
    bytes: u64,
    seen: Instant,
    /// Time after which an upstream drops results that nobody freed.
    ttl: Duration,
}

impl Foreign {
    /// What is left: results of all ages are dropped at an even rate.
    fn bytes(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.seen).as_secs_f64();
        let left = 1.0 - age / self.ttl.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.bytes as f64 * left.max(0.0)) as u64
    }
}

impl Slot {
    fn new(replica: Replica) -> Slot {
        Slot {
            replica,
            calls: 0,
            bytes: 0,
            slowness: 1.0,
            sampled: None,
            prompt_since: None,
            paused_until: None,
            held_off_until: None,
            rejections: 0,
            full_until: None,
            foreign: None,
        }
    }

    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let Some(sampled) = self.sampled else {
            return 1.0;
        };
        let idle = now.saturating_duration_since(sampled);
        let halvings = idle.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(halvings)
    }

    /// Whether results of `bytes` fit besides those that it keeps and `planned` ones. One that keeps
    /// none takes any: otherwise a large request would never run.
    pub(crate) fn has_room(&self, planned: u64, bytes: u64, room: u64, now: Instant) -> bool {
        if self.full_until.is_some_and(|it| it > now) {
            return false;
        }
        let foreign = self.foreign.map_or(0, |it| it.bytes(now));
        let kept = self.bytes + planned + foreign;
        kept == 0 || kept + bytes <= usable_room(room)
    }

    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.slowness(now) > SLOW_FACTOR
    }

    fn is_open(&self, now: Instant) -> bool {
        let waits = [self.paused_until, self.held_off_until];
        self.replica.is_usable && waits.into_iter().flatten().all(|it| it <= now)
    }
}

/// Upstreams of one service.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) limits: BatchLimits,
    pub(crate) slots: BTreeMap<id::Upstream, Slot>,
    /// Average time of a call.
    call_time: f64,
    /// Average time that a piece in time for its aim waits for a call.
    wait_time: f64,
}

impl Fleet {
    pub(crate) fn new(limits: BatchLimits) -> Fleet {
        Fleet {
            limits,
            slots: BTreeMap::new(),
            call_time: limits.call_overhead.as_secs_f64()
                + limits.piece_time.as_secs_f64() * limits.batch_max as f64 / 3.0,
            wait_time: 0.0,
        }
    }

    /// Takes over a new list of replicas; returns those that are gone or have started anew.
    pub(crate) fn update(&mut self, replicas: Vec<Replica>) -> Vec<id::Upstream> {
        let mut before = std::mem::take(&mut self.slots);
        let mut lost = Vec::new();
        for replica in replicas {
            let name = replica.name.clone();
            let slot = match before.remove(&name) {
                Some(slot) if slot.replica.started_ms == replica.started_ms => {
                    Slot { replica, ..slot }
                }
                Some(_) => {
                    lost.push(name.clone());
                    Slot::new(replica)
                }
                None => Slot::new(replica),
            };
            self.slots.insert(name, slot);
        }
        lost.extend(before.into_keys());
        lost
    }

    /// Upstreams that can take a call now; slow ones only while no other is usable.
    pub(crate) fn free(&self, now: Instant) -> Vec<&Slot> {
        let open: Vec<&Slot> = self.slots.values().filter(|it| it.is_open(now)).collect();
        let is_any_fast = open.iter().any(|it| !it.is_slow(now));
        open.into_iter()
            .filter(|it| it.calls < self.limits.slots)
            .filter(|it| !is_any_fast || !it.is_slow(now))
            .collect()
    }

    pub(crate) fn usable(&self, now: Instant) -> usize {
        self.slots.values().filter(|it| it.is_open(now)).count()
    }

    pub(crate) fn is_usable_in(&self, zone: &id::Zone, now: Instant) -> bool {
        let mut open = self.slots.values().filter(|it| it.is_open(now));
        open.any(|it| it.replica.zone == *zone && !it.is_slow(now))
    }

    pub(crate) fn registered(&self) -> usize {
        self.slots
            .values()
            .filter(|it| it.replica.is_usable)
            .count()
    }

    /// Stated time of a call of `pieces`.
    pub(crate) fn stated(&self, pieces: usize) -> Duration {
        self.limits.call_overhead + self.limits.piece_time * pieces as u32
    }

    /// Stated time of a call that is full.
    pub(crate) fn full_call_time(&self) -> Duration {
        self.stated(self.limits.batch_max.max(1))
    }

    pub(crate) fn call_time(&self) -> Duration {
        Duration::from_secs_f64(self.call_time)
    }

    pub(crate) fn wait_time(&self) -> Duration {
        Duration::from_secs_f64(self.wait_time)
    }

    /// When a call that is sent now will have read its inputs; unknown at an upstream that has not
    /// been prompt for a while: calls of another owner may go before.
    pub(crate) fn reads_inputs(&self, upstream: &id::Upstream, now: Instant) -> Option<Instant> {
        let prompt_since = self.slots.get(upstream)?.prompt_since?;
        let is_settled = now.saturating_duration_since(prompt_since) >= SETTLING_TIME;
        is_settled.then_some(now + self.limits.call_overhead.mul_f64(READ_PART))
    }

    pub(crate) fn timeout(&self, upstream: &id::Upstream, pieces: usize, now: Instant) -> Duration {
        let slowness = self.slots.get(upstream).map_or(1.0, |it| it.slowness(now));
        self.stated(pieces)
            .mul_f64(slowness.max(1.0) * TIMEOUT_FACTOR)
            + TIMEOUT_SLACK
    }

    pub(crate) fn waited(&mut self, wait: Duration) {
        self.wait_time += SAMPLE_WEIGHT * (wait.as_secs_f64() - self.wait_time);
    }

    /// Ends a call; `took` is its time where the upstream worked on it.
    pub(crate) fn ended(
        &mut self,
        upstream: &id::Upstream,
        pieces: usize,
        took: Duration,
        now: Instant,
    ) {
        let stated = self.stated(pieces).as_secs_f64();
        let took = took.as_secs_f64();
        self.call_time += SAMPLE_WEIGHT * (took.min(stated * SLOW_FACTOR) - self.call_time);
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        slot.rejections = 0;
        slot.prompt_since = if took <= stated * PROMPT_FACTOR {
            slot.prompt_since.or(Some(now))
        } else {
            None
        };
        let before = slot.slowness(now);
        // Pieces of some steps take less than the stated time, so speed is never below it.
        let sample = (took / stated).max(1.0);
        let weight = if sample > SLOW_FACTOR {
            1.0
        } else {
            SAMPLE_WEIGHT
        };
        slot.slowness = before + weight * (sample - before);
        slot.sampled = Some(now);
    }

    pub(crate) fn rejected(&mut self, upstream: &id::Upstream, now: Instant) {
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        let pause = REJECTED_PAUSE * 2_u32.saturating_pow(slot.rejections);
        slot.rejections += 1;
        slot.prompt_since = None;
        slot.paused_until = Some(now + pause.min(REJECTED_PAUSE_MAX));
    }

    pub(crate) fn hold_off(&mut self, upstream: &id::Upstream, until: Instant) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.held_off_until = slot.held_off_until.max(Some(until));
        }
    }

    /// Time until the first upstream takes a call, where all of them want none for now.
    pub(crate) fn hold_time(&self, now: Instant) -> Duration {
        let usable = self.slots.values().filter(|it| it.replica.is_usable);
        let until = usable.map(|it| it.held_off_until.map_or(now, |until| until.max(now)));
        let first = until.min().unwrap_or(now);
        first.saturating_duration_since(now)
    }

    /// Notes that results did not fit. What this owner does not keep there is taken to be foreign.
    pub(crate) fn out_of_room(&mut self, upstream: &id::Upstream, now: Instant) {
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        slot.full_until = Some(now + NO_ROOM_PAUSE);
        slot.foreign = Some(Foreign {
            bytes: usable_room(self.limits.result_capacity).saturating_sub(slot.bytes),
            seen: now,
            ttl: self.limits.result_ttl,
        });
    }

    pub(crate) fn unreachable(&mut self, upstream: &id::Upstream, now: Instant) {
        self.pause(upstream, now + UNREACHABLE_PAUSE);
    }

    /// When the next paused upstream opens again.
    pub(crate) fn opens(&self, now: Instant) -> Option<Instant> {
        let slots = self.slots.values();
        let paused = slots.flat_map(|it| [it.paused_until, it.held_off_until, it.full_until]);
        paused.flatten().filter(|it| *it > now).min()
    }

    fn pause(&mut self, upstream: &id::Upstream, until: Instant) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.paused_until = Some(until);
        }
    }
}

/// Bytes of results that are planned for an upstream with `room`.
fn usable_room(room: u64) -> u64 {
    (room as f64 * ROOM_PART) as u64
}
