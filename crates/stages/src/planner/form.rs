//! Batching: selects the waiting work, the upstream and the contents of each call.

use std::time::Duration;

use base::hash;
use base::id;
use tokio::time::Instant;

use super::InFlightCall;
use super::PlanId;
use super::Planner;
use super::active::ActivePlan;
use super::active::PieceState;
use super::active::step_input;
use crate::call::Call;
use crate::call::Item;
use crate::fleet::Fleet;
use crate::fleet::UpstreamState;
use crate::rank::Rank;
use crate::rank::SchedulingPolicy;

/// Time that work with large inputs or results waits for an upstream in its preferred zone before
/// it runs elsewhere.
const ZONE_AFFINITY_WAIT: Duration = Duration::from_millis(120);
/// Cross-zone traffic in bytes below which the zone does not matter.
const ZONE_AFFINITY_BYTES_MIN: u64 = 500_000;

/// Waiting pieces of one step that are ready to be sent.
pub(super) struct Candidate {
    pub(super) plan: PlanId,
    step: usize,
    pub(super) rank: Rank,
    pub(super) waiting: usize,
    result_bytes: u64,
    /// Zone that the work waits for until [`ZONE_AFFINITY_WAIT`] has passed.
    preferred_zone: Option<id::Zone>,
    ready_since: Instant,
}

impl Candidate {
    fn bytes(&self, pieces: usize) -> u64 {
        self.result_bytes.saturating_mul(pieces as u64)
    }

    fn may_run_in(&self, zone: &id::Zone, now: Instant) -> bool {
        let has_waited = now.saturating_duration_since(self.ready_since) >= ZONE_AFFINITY_WAIT;
        has_waited || self.rank.is_late || self.preferred_zone.as_ref().is_none_or(|it| it == zone)
    }
}

impl Planner {
    fn rank(&self, active: &ActivePlan, expected_end: Instant) -> Rank {
        match self.policy {
            SchedulingPolicy::Urgency | SchedulingPolicy::Unshared => Rank::new(
                active.plan.priority,
                active.plan.soft_deadline,
                expected_end,
            )
            .with_turn(active.turn),
            SchedulingPolicy::FirstCome => Rank::first_come(active.submitted_at),
        }
    }

    pub(super) fn candidates(
        &mut self,
        service: &id::Service,
        ends: &[(PlanId, Instant)],
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let ready = self.backlog.queue(service).into_iter();
        for (id, idx) in ready.flat_map(|it| &it.ready) {
            let end = ends
                .binary_search_by_key(id, |it| it.0)
                .map(|it| ends[it].1);
            let (Some(active), Ok(end)) = (self.plans.get(id), end) else {
                continue;
            };
            let progress = &active.steps[*idx];
            let Some(ready_since) = progress.ready_since else {
                continue;
            };
            candidates.push(Candidate {
                plan: *id,
                step: *idx,
                rank: self.rank(active, end),
                waiting: progress.waiting_count(),
                result_bytes: active.plan.steps[*idx].result_bytes,
                preferred_zone: self.preferred_zone(active, *idx, now),
                ready_since,
            });
        }
        candidates.sort_by_key(|it| (it.rank, it.plan, it.step));
        self.share_out(service, &mut candidates, now);
        candidates
    }

    /// Zone in which a step should run: that of its inputs, or else the zone in which the plan's
    /// results are wanted. `None` if fewer than [`ZONE_AFFINITY_BYTES_MIN`] depend on it or the
    /// zone has no fast upstream that accepts calls.
    fn preferred_zone(&self, active: &ActivePlan, step: usize, now: Instant) -> Option<id::Zone> {
        let steps = &active.plan.steps;
        let inputs = &steps[step].after;
        let input_bytes = inputs.iter().map(|it| {
            steps[*it]
                .result_bytes
                .saturating_mul(steps[*it].pieces as u64)
        });
        let input_bytes = input_bytes.fold(0, u64::saturating_add);
        let input_bytes = input_bytes.saturating_mul(steps[step].pieces as u64);
        let output_bytes = steps[step]
            .result_bytes
            .saturating_mul(steps[step].pieces as u64);
        let zone = if input_bytes >= ZONE_AFFINITY_BYTES_MIN {
            let mut pieces = inputs.iter().flat_map(|it| active.steps[*it].pieces());
            let producer = pieces.find_map(|it| match it {
                PieceState::Done(upstream, _) => Some(upstream),
                _ => None,
            });
            producer
                .and_then(|it| self.upstream_state(it))
                .map(|it| it.replica.zone.clone())
        } else if output_bytes >= ZONE_AFFINITY_BYTES_MIN {
            active.plan.zone.clone()
        } else {
            None
        };
        let fleet = self.fleets.get(&steps[step].service)?;
        zone.filter(|it| fleet.has_fast_upstream_in(it, now))
    }

    /// Builds one call from the candidates in order, and removes the pieces that it holds from the
    /// list. `None` if no candidate can be placed.
    pub(super) fn form_call(
        &mut self,
        service: &id::Service,
        candidates: &mut Vec<Candidate>,
        now: Instant,
    ) -> Option<Call> {
        let fleet = self.fleets.get(service)?;
        let (first, upstream) = self.first_assignable(fleet, candidates, now)?;
        let state = fleet.upstreams.get(&upstream)?;
        let zone = state.replica.zone.clone();
        let started_ms = state.replica.started_ms;
        let capacity = fleet.limits.result_capacity;
        let batch_max = fleet.limits.batch_max;
        let batch_max = batch_max_at(state, batch_max, now);
        let is_congested = is_congested(candidates, batch_max);
        let mut pieces = 0;
        let mut reserved_bytes = 0;
        let mut assigned: Vec<(PlanId, usize, usize)> = Vec::new();
        let mut waits = Vec::new();
        let mut remaining_candidates = Vec::new();
        for (idx, candidate) in candidates.drain(..).enumerate() {
            let count = candidate.waiting.min(batch_max);
            let size = candidate.bytes(count);
            let fits = !(candidate.rank.is_late && is_congested)
                && pieces + count <= batch_max
                && state.has_capacity(reserved_bytes, size, capacity, now)
                && candidate.may_run_in(&zone, now);
            if idx < first || (idx > first && !fits) {
                remaining_candidates.push(candidate);
                continue;
            }
            pieces += count;
            reserved_bytes += size;
            assigned.push((candidate.plan, candidate.step, count));
            if !candidate.rank.is_late {
                waits.push(now.saturating_duration_since(candidate.ready_since));
            }
            if candidate.waiting > count {
                remaining_candidates.push(Candidate {
                    waiting: candidate.waiting - count,
                    ..candidate
                });
            }
        }
        *candidates = remaining_candidates;
        let fleet = self.fleets.get_mut(service)?;
        waits.into_iter().for_each(|it| fleet.record_wait(it));
        let timeout = fleet.timeout(&upstream, pieces, now);
        let inputs_read_at = fleet.inputs_read_at(&upstream, now);
        let slowdown = fleet.slowdown(&upstream, now);
        let expected_end = now + fleet.nominal_time(pieces).mul_f64(slowdown);
        if let Some(state) = fleet.upstreams.get_mut(&upstream) {
            state.calls_in_flight += 1;
            state.reserved_bytes += reserved_bytes;
        }
        let mut items = Vec::with_capacity(pieces);
        for (plan, step, count) in assigned {
            self.charge(service, plan, count, now);
            items.extend(self.assign_pieces(plan, step, count, inputs_read_at, expected_end, now));
        }
        self.last_id += 1;
        let in_flight = InFlightCall {
            service: service.clone(),
            upstream: upstream.clone(),
            started_ms,
            items: items.clone(),
            reserved_bytes,
            sent_at: now,
        };
        self.calls.insert(self.last_id, in_flight);
        Some(Call {
            id: self.last_id,
            upstream,
            items,
            timeout,
        })
    }

    /// Index of the first candidate that an available upstream can take, and that upstream.
    fn first_assignable(
        &self,
        fleet: &Fleet,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<(usize, id::Upstream)> {
        let available = fleet.available(now);
        let capacity = fleet.limits.result_capacity;
        for (idx, candidate) in candidates.iter().enumerate() {
            // Late work leaves one upstream available for work that can still meet its soft
            // deadline.
            if candidate.rank.is_late && available.len() < 2 && fleet.accepting_count(now) > 1 {
                return None;
            }
            let size = candidate.bytes(candidate.waiting.min(fleet.limits.batch_max));
            let eligible = available
                .iter()
                .filter(|it| it.has_capacity(0, size, capacity, now))
                .filter(|it| candidate.may_run_in(&it.replica.zone, now));
            // Requests of the same content differ in their ids.
            let plan = self.plans.get(&candidate.plan);
            let request = plan.map_or("", |it| it.plan.request.as_str());
            let best = eligible.min_by_key(|it| {
                let zone = candidate.preferred_zone.as_ref();
                (
                    zone.is_some_and(|zone| *zone != it.replica.zone),
                    it.calls_in_flight,
                    speed_class(it.slowdown(now)),
                    it.reserved_bytes,
                    // Several owners may choose by the same news.
                    hash::hash_strs([request, it.replica.name.as_str()]),
                )
            });
            if let Some(state) = best {
                return Some((idx, state.replica.name.clone()));
            }
        }
        None
    }

    fn assign_pieces(
        &mut self,
        id: PlanId,
        step: usize,
        count: usize,
        inputs_read_at: Option<Instant>,
        expected_end: Instant,
        now: Instant,
    ) -> Vec<Item> {
        let Some(active) = self.plans.get_mut(&id) else {
            return Vec::new();
        };
        let input = step_input(active, step);
        let remaining = active.plan.deadline.saturating_duration_since(now);
        let progress = &mut active.steps[step];
        progress.last_call_end = Some(expected_end);
        let waiting = progress.pieces().iter().enumerate();
        let waiting = waiting
            .filter(|(_, it)| **it == PieceState::Waiting)
            .map(|it| it.0);
        let waiting: Vec<usize> = waiting.take(count).collect();
        let mut items = Vec::with_capacity(count);
        for piece in waiting {
            progress.set(piece, PieceState::InCall(inputs_read_at));
            items.push(Item {
                plan: id,
                step,
                route_step: active.plan.steps[step].number,
                piece,
                request: active.plan.request.clone(),
                fingerprint: active.plan.fingerprint,
                remaining,
                input: input.clone(),
            });
        }
        if let Some(at) = inputs_read_at {
            self.backlog.check_inputs_at(at, id);
        }
        self.recount(id);
        items
    }
}

/// Largest batch of an upstream: less while it says that it works slower than usual, so that fewer
/// pieces wait for it.
fn batch_max_at(state: &UpstreamState, batch_max: usize, now: Instant) -> usize {
    let pieces = (batch_max as f64 / state.spell_told(now)) as usize;
    pieces.clamp(1, batch_max.max(1))
}

/// Upstreams of one class are equally fast, as far as calls of different pieces can tell.
fn speed_class(slowdown: f64) -> u32 {
    (slowdown * 2.0) as u32
}

/// Whether the waiting work that can meet its soft deadline exceeds one batch.
fn is_congested(candidates: &[Candidate], batch_max: usize) -> bool {
    let in_time = candidates.iter().filter(|it| !it.rank.is_late);
    in_time.map(|it| it.waiting).sum::<usize>() > batch_max
}
