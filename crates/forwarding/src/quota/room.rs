//! The coordinator's side of fragile upstreams: what may be in flight there.
//!
//! A fragile upstream falls over when it has to reject more requests in a second than it announces.
//! It rejects a request that finds all slots taken and as many requests waiting as may wait. How
//! many may wait shrinks unseen, but a request that finds a free slot is not rejected. So the
//! coordinator counts what is in flight, grants what the slots hold, and only probes beyond that: a
//! few requests at a time keep the slots busy between two grants.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use tokio::time::Instant;

use super::Urgency;
use super::pool::MAJORITY;

/// Time after a grant within which a rejection would have been reported.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Time after a rejection without probes. Rejections are counted over one second, and the send that
/// was rejected may have been on its way for a while.
const PROBE_PAUSE: Duration = Duration::from_millis(1_200);
/// Part of the announced rejections that is risked by probes.
const PROBED_FRACTION: f64 = 0.5;
/// Requests beyond the slots, as a part of these, that keep the slots busy between two grants.
const WAITING_FRACTION: f64 = 0.25;
/// Rise of the part that is held from which on the bearable number has to be probed again: the former
/// coordinator's grants may still be in flight.
const GAIN_MAX: f64 = 0.1;
/// Part of the slots by which the bearable number rises in each second without a rejection.
const RECOVERY_FRACTION: f64 = 0.125;
/// Interval between the asks of all instances for one upstream that denies them.
const ASK_INTERVAL: Duration = Duration::from_micros(2_500);
/// Bounds on the time after which a denied request may ask again.
const WAIT_MIN: Duration = Duration::from_millis(10);
const WAIT_MAX: Duration = Duration::from_millis(500);
/// Time for which a report of requests in flight is used; reports come with the loans.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// Identifies a grant of one coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId(u64);

/// A request for permission to send one request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The upstream.
    pub upstream: &'a id::Incarnation,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How urgent the request is.
    pub urgency: Urgency,
}

/// Loans that the coordinator holds.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// Part of all limits that has been lent to it, from 0 to 1.
    pub held: f64,
    /// Number of lenders.
    pub lenders: usize,
}

impl Holding {
    fn is_majority(self) -> bool {
        self.held > MAJORITY
    }

    /// This coordinator's part of `total`, rounded down. Only one coordinator holds the majority, so
    /// that it may have a part that is smaller than one.
    fn part_of(self, total: f64) -> u32 {
        let part = (total * self.held + 1e-6) as u32;
        match self.is_majority() && total >= 1.0 {
            true => part.max(1),
            false => part,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Instant,
    is_probe: bool,
}

/// Requests that an instance has in flight without a grant of this coordinator.
#[derive(Clone, Copy, Debug)]
struct Report {
    in_flight: u32,
    reported_at: Instant,
}

#[derive(Clone, Debug)]
struct Room {
    rejections: f64,
    grants: BTreeMap<GrantId, Grant>,
    reports: BTreeMap<id::Instance, Report>,
    rejected_at: Option<Instant>,
    /// Requests in flight that the upstream was seen to bear, if these are fewer than its slots;
    /// when that was computed.
    bearable: Option<(f64, Instant)>,
    closed_until: Option<Instant>,
    /// Part of the limits that was held when the bearable number was last known.
    trusted: f64,
}

/// What a coordinator has granted for each fragile upstream.
#[derive(Clone, Debug, Default)]
pub struct Rooms {
    rooms: BTreeMap<id::Incarnation, Room>,
    last_grant: u64,
}

impl Rooms {
    /// Replaces the fragile upstreams and the rejections per second that each bears.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl IntoIterator<Item = (&'a id::Incarnation, Rate)>,
    ) {
        let mut previous = std::mem::take(&mut self.rooms);
        for (upstream, rejections) in limits {
            let mut room = previous.remove(upstream).unwrap_or_else(Room::new);
            room.rejections = rejections.per_second();
            self.rooms.insert(upstream.clone(), room);
        }
    }

    /// Decides on a request; a grant lasts until [`Rooms::release`]. Upstreams that are not fragile
    /// need none.
    ///
    /// # Errors
    ///
    /// The time after which to ask again, if the upstream may have no room for the request.
    pub fn decide(
        &mut self,
        ask: Ask<'_>,
        holding: Holding,
        now: Instant,
    ) -> Result<Option<GrantId>, Duration> {
        let Some(room) = self.rooms.get_mut(ask.upstream) else {
            return Ok(None);
        };
        let is_probe = room.admit(ask, holding, now)?;
        // Calls that free results need no slot.
        if ask.urgency == Urgency::Deferrable {
            return Ok(None);
        }
        self.last_grant += 1;
        let grant = GrantId(self.last_grant);
        let granted_at = now;
        room.grants.insert(
            grant,
            Grant {
                granted_at,
                is_probe,
            },
        );
        Ok(Some(grant))
    }

    /// Whether a request would be granted now.
    #[must_use]
    pub fn has_room(&mut self, ask: Ask<'_>, holding: Holding, now: Instant) -> bool {
        let room = self.rooms.get_mut(ask.upstream);
        room.is_none_or(|it| it.admit(ask, holding, now).is_ok())
    }

    /// Ends a grant, as its send has ended.
    pub fn release(&mut self, upstream: &id::Incarnation, grant: GrantId, now: Instant) {
        if let Some(room) = self.rooms.get_mut(upstream) {
            let grant = room.grants.remove(&grant);
            if grant.is_some_and(|it| it.is_probe) && room.is_probing(now) {
                room.confirm_probes(1);
            }
        }
    }

    /// Records that an upstream rejected a request for want of room. Its grant is still in force.
    pub fn record_rejection(
        &mut self,
        upstream: &id::Incarnation,
        slots: u32,
        holding: Holding,
        now: Instant,
    ) {
        if let Some(room) = self.rooms.get_mut(upstream) {
            room.record_rejection(holding.part_of(f64::from(slots)), now);
        }
    }

    /// Replaces the numbers of requests that an instance has in flight without a grant of this
    /// coordinator.
    pub fn record_in_flight(
        &mut self,
        instance: &id::Instance,
        in_flight: &[(id::Incarnation, u32)],
        now: Instant,
    ) {
        for room in self.rooms.values_mut() {
            room.reports.remove(instance);
        }
        for (upstream, in_flight) in in_flight {
            if let Some(room) = self.rooms.get_mut(upstream) {
                let report = Report {
                    in_flight: *in_flight,
                    reported_at: now,
                };
                room.reports.insert(instance.clone(), report);
            }
        }
    }

    /// Number of requests that may be in flight at an upstream, as far as is known.
    #[must_use]
    pub fn in_flight(&self, upstream: &id::Incarnation, now: Instant) -> u32 {
        let room = self.rooms.get(upstream);
        room.map_or(0, |it| it.in_flight(now))
    }
}

impl Room {
    fn new() -> Room {
        Room {
            rejections: 0.0,
            grants: BTreeMap::new(),
            reports: BTreeMap::new(),
            rejected_at: None,
            bearable: None,
            closed_until: None,
            trusted: 0.0,
        }
    }

    /// Whether a request that may be sent now is a probe.
    fn admit(&mut self, ask: Ask<'_>, holding: Holding, now: Instant) -> Result<bool, Duration> {
        let slots = holding.part_of(f64::from(ask.slots.max(1)));
        let wait = ASK_INTERVAL * u32::try_from(holding.lenders).unwrap_or(u32::MAX);
        let wait = wait.clamp(WAIT_MIN, WAIT_MAX) + ask.urgency.delay();
        if let Some(until) = self.closed_until.filter(|it| *it > now) {
            return Err(wait.max(until - now).min(WAIT_MAX));
        }
        let is_probing = self.is_probing(now);
        self.settle(holding, now);
        if ask.urgency == Urgency::Deferrable {
            return if is_probing { Ok(false) } else { Err(wait) };
        }
        let in_flight = self.in_flight(now);
        // Before the first loan, only a probe at a time: another coordinator may still have loans.
        let has_loans = holding.lenders > 0;
        let slots = if has_loans { slots } else { ask.slots.max(1) };
        if has_loans && in_flight < slots.min(self.bearable(ask.slots, now)) {
            return Ok(false);
        }
        let waiting_max = ((f64::from(slots) * WAITING_FRACTION) as u32).max(1);
        let probes = self.grants.values().filter(|it| it.is_probe);
        let probes_max = match has_loans {
            _ if self.rejections < 1.0 => 0,
            true => holding.part_of((self.rejections * PROBED_FRACTION).max(1.0)),
            false => u32::from(self.rejections * PROBED_FRACTION >= 1.0),
        };
        let may_probe = is_probing
            && slots > 0
            && in_flight < slots.saturating_add(waiting_max)
            && (probes.count() as u32) < probes_max;
        if may_probe { Ok(true) } else { Err(wait) }
    }

    /// Accounts for probes that were not rejected, and for shares that this coordinator has gained.
    fn settle(&mut self, holding: Holding, now: Instant) {
        let mut confirmed = 0;
        for grant in self.grants.values_mut() {
            if grant.is_probe && now >= grant.granted_at + REPORT_TIME {
                grant.is_probe = false;
                confirmed += 1;
            }
        }
        if self.is_probing(now) {
            self.confirm_probes(confirmed);
        }
        // What ended while the upstream was closed may have left its slots to others.
        let has_reopened = self.closed_until.take_if(|it| *it <= now).is_some();
        let has_gained = holding.held > self.trusted + GAIN_MAX;
        if has_reopened || has_gained {
            let in_flight = f64::from(self.in_flight(now).max(1));
            let known = self.bearable.map_or(in_flight, |it| it.0.min(in_flight));
            self.bearable = Some((known, now));
        }
        if has_gained {
            self.trusted = holding.held;
        }
        self.trusted = self.trusted.min(holding.held);
    }

    fn confirm_probes(&mut self, count: u32) {
        if let Some((bearable, _)) = &mut self.bearable {
            *bearable += f64::from(count);
        }
    }

    fn is_probing(&self, now: Instant) -> bool {
        let rejected_at = self.rejected_at;
        rejected_at.is_none_or(|it| now >= it + PROBE_PAUSE)
    }

    fn in_flight(&self, now: Instant) -> u32 {
        let reports = self.reports.values();
        let recent = reports.filter(|it| now < it.reported_at + REPORT_AGE_MAX);
        let reported: u32 = recent.map(|it| it.in_flight).sum();
        reported.saturating_add(self.grants.len() as u32)
    }

    /// Requests in flight that the upstream bears.
    fn bearable(&mut self, slots: u32, now: Instant) -> u32 {
        let Some((bearable, at)) = self.bearable else {
            return u32::MAX;
        };
        if !self.is_probing(now) {
            self.bearable = Some((bearable, now));
            return bearable as u32;
        }
        let slots = f64::from(slots);
        let rise = (slots * RECOVERY_FRACTION).max(1.0);
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let bearable = bearable + rise * elapsed;
        self.bearable = Some((bearable, now)).filter(|it| it.0 < slots);
        bearable as u32
    }

    fn record_rejection(&mut self, slots: u32, now: Instant) {
        // The rejected request itself was too many.
        let in_flight = self.in_flight(now).saturating_sub(1);
        self.rejected_at = Some(now);
        // A probe is the likeliest one. Other requests may have ended since it was granted.
        let mut probes = self.grants.values_mut().filter(|it| it.is_probe);
        if let Some(probe) = probes.next() {
            probe.is_probe = false;
            return;
        }
        if in_flight >= slots {
            return;
        }
        // Something else takes slots of the upstream.
        let bearable = f64::from(in_flight.max(1));
        let known = self.bearable.map_or(bearable, |it| it.0);
        self.bearable = Some((bearable.min(known), now));
        let pause = PROBE_PAUSE.as_secs_f64() / self.rejections.max(1.0);
        self.closed_until = Some(now + Duration::from_secs_f64(pause));
    }
}
