//! Formation of calls: which waiting work is called, where, and with what.

use std::time::Duration;

use base::id;
use tokio::time::Instant;

use super::InFlight;
use super::PlanId;
use super::Planner;
use super::active::Active;
use super::active::Piece;
use super::active::input;
use crate::call::Call;
use crate::call::Item;
use crate::fleet::Fleet;
use crate::rank::Rank;
use crate::rank::SchedulingPolicy;

/// Work with large inputs waits this long for an upstream in their zone before it goes elsewhere.
const ZONE_WAIT: Duration = Duration::from_millis(120);
/// Bytes read from another zone below which the zone does not matter.
const ZONE_BYTES_MIN: u64 = 500_000;

/// A job that could be called now.
pub(super) struct Candidate {
    plan: PlanId,
    step: usize,
    rank: Rank,
    waiting: usize,
    bytes_each: u64,
    /// Zone outside of which it should not be called yet.
    zone: Option<id::Zone>,
    ready_since: Instant,
}

impl Candidate {
    fn bytes(&self, pieces: usize) -> u64 {
        self.bytes_each * pieces as u64
    }

    fn may_run_in(&self, zone: &id::Zone, now: Instant) -> bool {
        let has_waited = now.saturating_duration_since(self.ready_since) >= ZONE_WAIT;
        has_waited || self.rank.is_late || self.zone.as_ref().is_none_or(|it| it == zone)
    }
}

impl Planner {
    fn rank(&self, active: &Active, expected_end: Instant) -> Rank {
        match self.policy {
            SchedulingPolicy::Urgency => Rank::new(
                active.plan.priority,
                active.plan.soft_deadline,
                expected_end,
            ),
            SchedulingPolicy::FirstCome => Rank::first_come(active.submitted),
        }
    }

    pub(super) fn candidates(
        &self,
        service: &id::Service,
        ends: &[(PlanId, Instant)],
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (id, end) in ends {
            let Some(active) = self.plans.get(id) else {
                continue;
            };
            for (idx, step) in active.plan.steps.iter().enumerate() {
                let progress = &active.steps[idx];
                let waiting = progress.waiting();
                let Some(ready_since) = progress.ready_since else {
                    continue;
                };
                if step.service != *service || waiting == 0 {
                    continue;
                }
                candidates.push(Candidate {
                    plan: *id,
                    step: idx,
                    rank: self.rank(active, *end),
                    waiting,
                    bytes_each: step.result_bytes,
                    zone: self.wanted_zone(active, idx, now),
                    ready_since,
                });
            }
        }
        candidates.sort_by_key(|it| (it.rank, it.plan, it.step));
        candidates
    }

    /// Zone in which a step should run: that of its inputs, or the one asked for, if enough bytes
    /// depend on it and the zone has a usable upstream.
    fn wanted_zone(&self, active: &Active, step: usize, now: Instant) -> Option<id::Zone> {
        let steps = &active.plan.steps;
        let inputs = &steps[step].after;
        let read = inputs
            .iter()
            .map(|it| steps[*it].result_bytes * steps[*it].pieces as u64);
        let read = read.sum::<u64>() * steps[step].pieces as u64;
        let made = steps[step].result_bytes * steps[step].pieces as u64;
        let zone = if read >= ZONE_BYTES_MIN {
            let mut pieces = inputs.iter().flat_map(|it| &active.steps[*it].pieces);
            let maker = pieces.find_map(|it| match it {
                Piece::Made(upstream, _) => Some(upstream),
                _ => None,
            });
            maker
                .and_then(|it| self.slot(it))
                .map(|it| it.replica.zone.clone())
        } else if made >= ZONE_BYTES_MIN {
            active.plan.zone.clone()
        } else {
            None
        };
        let fleet = self.fleets.get(&steps[step].service)?;
        zone.filter(|it| fleet.is_usable_in(it, now))
    }

    /// Forms one call from the candidates, in their order; takes those that it holds from the list.
    pub(super) fn form(
        &mut self,
        service: &id::Service,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) -> Option<Call> {
        let fleet = self.fleets.get(service)?;
        let (first, upstream) = self.first(fleet, candidates, now)?;
        let slot = fleet.slots.get(&upstream)?;
        let zone = slot.replica.zone.clone();
        let started_ms = slot.replica.started_ms;
        let room = fleet.limits.result_capacity;
        let batch = fleet.limits.batch_max;
        let is_congested = is_congested(candidates, batch);
        let mut pieces = 0;
        let mut bytes = 0;
        let mut taken: Vec<(PlanId, usize, usize)> = Vec::new();
        let mut waits = Vec::new();
        let mut rest = Vec::new();
        for (idx, candidate) in candidates.drain(..).enumerate() {
            let wanted = candidate.waiting.min(batch);
            let size = candidate.bytes(wanted);
            let is_fitting = !(candidate.rank.is_late && is_congested)
                && pieces + wanted <= batch
                && slot.has_room(bytes, size, room, now)
                && candidate.may_run_in(&zone, now);
            if idx < first || (idx > first && !is_fitting) {
                rest.push(candidate);
                continue;
            }
            pieces += wanted;
            bytes += size;
            taken.push((candidate.plan, candidate.step, wanted));
            if !candidate.rank.is_late {
                waits.push(now.saturating_duration_since(candidate.ready_since));
            }
            if candidate.waiting > wanted {
                rest.push(Candidate {
                    waiting: candidate.waiting - wanted,
                    ..candidate
                });
            }
        }
        *candidates = rest;
        let fleet = self.fleets.get_mut(service)?;
        waits.into_iter().for_each(|it| fleet.waited(it));
        let timeout = fleet.timeout(&upstream, pieces, now);
        let read = fleet.reads_inputs(&upstream, now);
        let until = now + fleet.stated(pieces);
        if let Some(slot) = fleet.slots.get_mut(&upstream) {
            slot.calls += 1;
            slot.bytes += bytes;
        }
        let mut items = Vec::with_capacity(pieces);
        for (plan, step, count) in taken {
            items.extend(self.call_pieces(plan, step, count, read, until, now));
        }
        self.next += 1;
        let in_flight = InFlight {
            service: service.clone(),
            upstream: upstream.clone(),
            started_ms,
            items: items.clone(),
            bytes,
            sent: now,
        };
        self.calls.insert(self.next, in_flight);
        Some(Call {
            id: self.next,
            upstream,
            items,
            timeout,
        })
    }

    /// The first candidate that a free upstream can take, and that upstream.
    fn first(
        &self,
        fleet: &Fleet,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<(usize, id::Upstream)> {
        let free = fleet.free(now);
        let room = fleet.limits.result_capacity;
        for (idx, candidate) in candidates.iter().enumerate() {
            // Late work leaves one upstream free for work that can still be in time.
            if candidate.rank.is_late && free.len() < 2 && fleet.usable(now) > 1 {
                return None;
            }
            let size = candidate.bytes(candidate.waiting.min(fleet.limits.batch_max));
            let able = free
                .iter()
                .filter(|it| it.has_room(0, size, room, now))
                .filter(|it| candidate.may_run_in(&it.replica.zone, now));
            let best = able.min_by_key(|it| {
                let zone = candidate.zone.as_ref();
                (zone.is_some_and(|zone| *zone != it.replica.zone), it.bytes)
            });
            if let Some(slot) = best {
                return Some((idx, slot.replica.name.clone()));
            }
        }
        None
    }

    fn call_pieces(
        &mut self,
        id: PlanId,
        step: usize,
        count: usize,
        read: Option<Instant>,
        until: Instant,
        now: Instant,
    ) -> Vec<Item> {
        let Some(active) = self.plans.get_mut(&id) else {
            return Vec::new();
        };
        let input = input(active, step);
        let remaining = active.plan.deadline.saturating_duration_since(now);
        let progress = &mut active.steps[step];
        progress.called_until = Some(until);
        let waiting = progress.pieces.iter_mut().enumerate();
        let waiting = waiting.filter(|(_, it)| **it == Piece::Waiting).take(count);
        let mut items = Vec::with_capacity(count);
        for (piece, state) in waiting {
            *state = Piece::Called(read);
            items.push(Item {
                plan: id,
                step,
                number: active.plan.steps[step].number,
                piece,
                request: active.plan.request.clone(),
                fingerprint: active.plan.fingerprint,
                remaining,
                input: input.clone(),
            });
        }
        items
    }
}

/// Whether more work waits that can be in time than another call takes.
fn is_congested(candidates: &[Candidate], batch: usize) -> bool {
    let in_time = candidates.iter().filter(|it| !it.rank.is_late);
    in_time.map(|it| it.waiting).sum::<usize>() > batch
}
