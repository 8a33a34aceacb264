//! Upstreams of one step service: load, health and speed of each.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use catalog::BatchLimits;
use tokio::time::Instant;

use crate::speed::Percent;
use crate::speed::SLOW_THRESHOLD;
use crate::speed::Speed;

/// Weight of the newest sample in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.3;
/// Initial back-off after a rejected call, about a quarter of a call's overhead; doubles with each
/// consecutive rejection, because calls of a former owner may still occupy the upstream.
const REJECTED_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Maximum back-off after rejections, about the time of a full call.
const REJECTED_BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Back-off after a connection failure or a lost call: the time within which a crashed upstream is
/// deregistered.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);
/// A call times out after this multiple of its expected time, plus [`TIMEOUT_MARGIN`].
const TIMEOUT_FACTOR: f64 = 2.5;
/// Maximum fraction of an upstream's result memory that is reserved: configured result sizes are
/// approximate.
const USABLE_CAPACITY_FRACTION: f64 = 0.85;
/// Time for which an upstream that had no memory for a result gets no new pieces.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(200);
/// Fraction of the call overhead (200 ms at both users) after which a call has read its inputs:
/// they are fetched first, and the 30 MB of a full call take 25 ms at 10 Gbit/s.
const INPUT_READ_FRACTION: f64 = 0.5;
/// A call that takes longer than this multiple of its nominal time may have been queued at the
/// upstream.
const UNQUEUED_TIME_FACTOR: f64 = 1.3;
/// After a change of owner, calls of the former owner arrive for about as long as its requests may
/// wait.
const HANDOVER_SETTLING_TIME: Duration = Duration::from_secs(2);
/// A call times out at the earliest after this multiple of what it takes at an upstream that slows
/// down as it is sent, as much as any of its service lately.
const SHARED_TIMEOUT_FACTOR: f64 = 1.5;
/// Time for which the largest slowdown that an upstream told counts for all of its service.
const LARGEST_TOLD_AGE_MAX: Duration = Duration::from_secs(10);
/// Allowance for connection setup and the round trip between zones.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(150);

/// A registered upstream of a step service.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Availability zone.
    pub zone: id::Zone,
    /// Start time in Unix milliseconds; tells restarts apart.
    pub started_ms: u64,
    /// Whether it may receive new calls.
    pub is_usable: bool,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) replica: Replica,
    pub(crate) calls_in_flight: u32,
    /// Bytes of results kept there, and reserved for the calls in flight, by this owner.
    pub(crate) reserved_bytes: u64,
    speed: Speed,
    /// Time since which no call has been rejected or may have been queued at the upstream.
    unqueued_since: Option<Instant>,
    backoff_until: Option<Instant>,
    /// Time until which the upstream asked for no calls.
    held_off_until: Option<Instant>,
    consecutive_rejections: u32,
    /// Time until which the upstream counts as full, whatever this owner keeps there.
    full_until: Option<Instant>,
    foreign_results: Option<ForeignResults>,
}

/// Result memory taken up by other owners, such as one that has crashed.
#[derive(Clone, Copy, Debug)]
struct ForeignResults {
    bytes: u64,
    observed_at: Instant,
    /// Time after which an upstream drops results that were not freed.
    ttl: Duration,
}

impl ForeignResults {
    /// Estimate of what has not yet expired: the results' ages are assumed to be uniformly
    /// distributed.
    fn remaining_bytes(&self, now: Instant) -> u64 {
        let age = now
            .saturating_duration_since(self.observed_at)
            .as_secs_f64();
        let fraction = 1.0 - age / self.ttl.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.bytes as f64 * fraction.max(0.0)) as u64
    }
}

impl UpstreamState {
    fn new(replica: Replica) -> UpstreamState {
        UpstreamState {
            replica,
            calls_in_flight: 0,
            reserved_bytes: 0,
            speed: Speed::default(),
            unqueued_since: None,
            backoff_until: None,
            held_off_until: None,
            consecutive_rejections: 0,
            full_until: None,
            foreign_results: None,
        }
    }

    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        self.speed.slowdown(now)
    }

    /// Whether results of `bytes` fit, besides the kept ones and `planned` bytes, into a memory of
    /// `capacity` bytes. An upstream that keeps nothing accepts any size: otherwise a large request
    /// would never run.
    pub(crate) fn has_capacity(
        &self,
        planned: u64,
        bytes: u64,
        capacity: u64,
        now: Instant,
    ) -> bool {
        if self.full_until.is_some_and(|it| it > now) {
            return false;
        }
        let foreign_bytes = self.foreign_results.map_or(0, |it| it.remaining_bytes(now));
        let kept = self.reserved_bytes + planned + foreign_bytes;
        kept == 0 || kept + bytes <= usable_capacity(capacity)
    }

    /// Slowdown that the newest response told; 1 if none did.
    pub(crate) fn spell_told(&self, now: Instant) -> f64 {
        self.speed.spell_told(now)
    }

    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.speed.is_slow(now)
    }

    fn accepts_calls(&self, now: Instant) -> bool {
        let blocked_until = [self.backoff_until, self.held_off_until];
        self.replica.is_usable && blocked_until.into_iter().flatten().all(|it| it <= now)
    }
}

/// Limits, upstreams and timing averages of one service.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) limits: BatchLimits,
    pub(crate) upstreams: BTreeMap<id::Upstream, UpstreamState>,
    /// Moving average of the call time in seconds.
    average_call_time: f64,
    /// Moving average of the time in seconds that pieces which can still meet their soft deadline
    /// wait for a call.
    average_wait_time: f64,
    /// Largest slowdown that an upstream told lately, and when.
    largest_told: Option<(Percent, Instant)>,
}

impl Fleet {
    pub(crate) fn new(limits: BatchLimits) -> Fleet {
        Fleet {
            limits,
            upstreams: BTreeMap::new(),
            average_call_time: limits.call_overhead.as_secs_f64()
                + limits.piece_time.as_secs_f64() * limits.batch_max as f64 / 3.0,
            average_wait_time: 0.0,
            largest_told: None,
        }
    }

    /// Replaces the list of registered upstreams; returns those that have left or restarted.
    pub(crate) fn update(&mut self, replicas: Vec<Replica>) -> Vec<id::Upstream> {
        let mut previous = std::mem::take(&mut self.upstreams);
        let mut lost = Vec::new();
        for replica in replicas {
            let name = replica.name.clone();
            let state = match previous.remove(&name) {
                Some(state) if state.replica.started_ms == replica.started_ms => {
                    UpstreamState { replica, ..state }
                }
                Some(_) => {
                    lost.push(name.clone());
                    UpstreamState::new(replica)
                }
                None => UpstreamState::new(replica),
            };
            self.upstreams.insert(name, state);
        }
        lost.extend(previous.into_keys());
        lost
    }

    /// Upstreams that can take a call now; slow ones only if all upstreams that accept calls are
    /// slow.
    pub(crate) fn available(&self, now: Instant) -> Vec<&UpstreamState> {
        let accepting: Vec<&UpstreamState> = self
            .upstreams
            .values()
            .filter(|it| it.accepts_calls(now))
            .collect();
        let has_fast = accepting.iter().any(|it| !it.is_slow(now));
        accepting
            .into_iter()
            .filter(|it| it.calls_in_flight < self.limits.slots)
            .filter(|it| !has_fast || !it.is_slow(now))
            .collect()
    }

    pub(crate) fn accepting_count(&self, now: Instant) -> usize {
        self.upstreams
            .values()
            .filter(|it| it.accepts_calls(now))
            .count()
    }

    pub(crate) fn has_fast_upstream_in(&self, zone: &id::Zone, now: Instant) -> bool {
        let mut accepting = self.upstreams.values().filter(|it| it.accepts_calls(now));
        accepting.any(|it| it.replica.zone == *zone && !it.is_slow(now))
    }

    pub(crate) fn usable_count(&self) -> usize {
        self.upstreams
            .values()
            .filter(|it| it.replica.is_usable)
            .count()
    }

    /// Expected time of a call of `pieces` according to the configured limits.
    pub(crate) fn nominal_time(&self, pieces: usize) -> Duration {
        self.limits.call_overhead + self.limits.piece_time * pieces as u32
    }

    /// Nominal time of a call with the maximum batch size.
    pub(crate) fn full_call_time(&self) -> Duration {
        self.nominal_time(self.limits.batch_max.max(1))
    }

    pub(crate) fn average_call_time(&self) -> Duration {
        Duration::from_secs_f64(self.average_call_time)
    }

    pub(crate) fn average_wait_time(&self) -> Duration {
        Duration::from_secs_f64(self.average_wait_time)
    }

    /// Time at which a call sent now will have read its inputs. `None` unless the upstream has
    /// processed calls without queueing for [`HANDOVER_SETTLING_TIME`]: before, it may queue the
    /// call behind those of another owner.
    pub(crate) fn inputs_read_at(&self, upstream: &id::Upstream, now: Instant) -> Option<Instant> {
        let unqueued_since = self.upstreams.get(upstream)?.unqueued_since?;
        let is_settled = now.saturating_duration_since(unqueued_since) >= HANDOVER_SETTLING_TIME;
        let time = self.limits.call_overhead.mul_f64(INPUT_READ_FRACTION);
        is_settled.then_some(now + time.mul_f64(self.slowdown(upstream, now)))
    }

    pub(crate) fn timeout(&self, upstream: &id::Upstream, pieces: usize, now: Instant) -> Duration {
        let slowdown = self.slowdown(upstream, now);
        let shared = self.largest_told.map_or(1.0, |it| it.0.slowdown());
        let factor = (slowdown * TIMEOUT_FACTOR).max(shared * SHARED_TIMEOUT_FACTOR);
        self.nominal_time(pieces).mul_f64(factor) + TIMEOUT_MARGIN
    }

    /// Expected factor on the time of a call that an upstream gets now.
    pub(crate) fn slowdown(&self, upstream: &id::Upstream, now: Instant) -> f64 {
        let state = self.upstreams.get(upstream);
        state.map_or(1.0, |it| it.slowdown(now))
    }

    /// Records how fast an upstream says that it works.
    pub(crate) fn record_told(&mut self, upstream: &id::Upstream, percent: Percent, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        state.speed.record_told(percent, now);
        let largest = self
            .largest_told
            .filter(|(_, at)| now.saturating_duration_since(*at) < LARGEST_TOLD_AGE_MAX);
        if largest.is_none_or(|it| it.0 <= percent) {
            self.largest_told = Some((percent, now));
        }
    }

    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.average_wait_time += EWMA_WEIGHT * (wait.as_secs_f64() - self.average_wait_time);
    }

    /// Updates the averages with the time that the upstream took for a call.
    pub(crate) fn record_call_time(
        &mut self,
        upstream: &id::Upstream,
        pieces: usize,
        elapsed: Duration,
        now: Instant,
    ) {
        let nominal = self.nominal_time(pieces).as_secs_f64();
        let elapsed = elapsed.as_secs_f64();
        self.average_call_time +=
            EWMA_WEIGHT * (elapsed.min(nominal * SLOW_THRESHOLD) - self.average_call_time);
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        state.consecutive_rejections = 0;
        // A call that took long because the machine was shared has not been queued.
        let expected = nominal * state.speed.spell_told(now);
        state.unqueued_since = if elapsed <= expected * UNQUEUED_TIME_FACTOR {
            state.unqueued_since.or(Some(now))
        } else {
            None
        };
        state.speed.record_call(elapsed / nominal, now);
    }

    pub(crate) fn record_rejection(&mut self, upstream: &id::Upstream, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let backoff = REJECTED_BACKOFF_MIN * 2_u32.saturating_pow(state.consecutive_rejections);
        state.consecutive_rejections += 1;
        state.unqueued_since = None;
        state.backoff_until = Some(now + backoff.min(REJECTED_BACKOFF_MAX));
    }

    pub(crate) fn hold_off(&mut self, upstream: &id::Upstream, until: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.held_off_until = state.held_off_until.max(Some(until));
        }
    }

    /// Time until the first usable upstream is no longer held off; zero unless all of them are.
    pub(crate) fn hold_off_time(&self, now: Instant) -> Duration {
        let usable = self.upstreams.values().filter(|it| it.replica.is_usable);
        let until = usable.map(|it| it.held_off_until.map_or(now, |until| until.max(now)));
        let first = until.min().unwrap_or(now);
        first.saturating_duration_since(now)
    }

    /// Records that results did not fit. Capacity that this owner does not use is attributed to
    /// other owners.
    pub(crate) fn record_no_room(&mut self, upstream: &id::Upstream, now: Instant) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        state.full_until = Some(now + NO_ROOM_BACKOFF);
        state.foreign_results = Some(ForeignResults {
            bytes: usable_capacity(self.limits.result_capacity)
                .saturating_sub(state.reserved_bytes),
            observed_at: now,
            ttl: self.limits.result_ttl,
        });
    }

    pub(crate) fn record_unreachable(&mut self, upstream: &id::Upstream, now: Instant) {
        self.back_off(upstream, now + UNREACHABLE_BACKOFF);
    }

    pub(crate) fn forget_failures(&mut self, upstream: &id::Upstream) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.speed.forget_calls();
            state.backoff_until = None;
        }
    }

    /// Time at which the next back-off, hold-off or full period of an upstream ends.
    pub(crate) fn next_unblocked_at(&self, now: Instant) -> Option<Instant> {
        let upstreams = self.upstreams.values();
        let blocked = upstreams.flat_map(|it| [it.backoff_until, it.held_off_until, it.full_until]);
        blocked.flatten().filter(|it| *it > now).min()
    }

    fn back_off(&mut self, upstream: &id::Upstream, until: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.backoff_until = Some(until);
        }
    }
}

/// Bytes of an upstream's result memory that may be reserved.
fn usable_capacity(capacity: u64) -> u64 {
    (capacity as f64 * USABLE_CAPACITY_FRACTION) as u64
}
