//! Load balancing over model engines by the owner of a shard.
//!
//! With many instances, each of them sends a given engine only one request every few seconds, too
//! few to notice that the engine has become slow or unresponsive. The owner of a shard sees, of all
//! requests that it prepared, at which engine each was placed and when its first event came.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::cold::SendWindow;
use crate::cold::Share;
use crate::engine_memory::Fit;
use crate::engine_memory::Need;
use crate::engine_memory::Occupancy;
use crate::engine_memory::Room;

/// Weight of the newest sample in the moving average of an engine; the averages over all engines
/// use a tenth of it.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the deviation of an engine's latency ratio from the overall one, without new
/// samples.
const LATENCY_RATIO_HALF_LIFE: Duration = Duration::from_secs(2);
/// Cost of moving a prompt to another engine, which has to process it again; some thousand tokens
/// take about this long. With a lower cost the owner moved prompts on the noise of first-event
/// times.
const AFFINITY_COST: Duration = Duration::from_millis(400);
/// Cost of an engine without a free slot. Waiting for a slot costs more than processing the prompt
/// again, but less than an engine that has stopped answering.
const NO_SLOT_COST: Duration = Duration::from_millis(600);
/// Expected time to the first event before any sample.
const FIRST_EVENT_TIME_DEFAULT: Duration = Duration::from_millis(200);
/// Lower bound on the expected time to the first event; differences below it are noise.
const EXPECTED_MIN: Duration = Duration::from_millis(10);

/// A placed request without a first event.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    expected: Duration,
}

impl Waiting {
    /// Time waited so far as a multiple of the expected one.
    fn latency_ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since);
        age.as_secs_f64() / self.expected.as_secs_f64()
    }

    /// Time waited so far beyond the expected one.
    fn excess(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.since);
        age.saturating_sub(self.expected)
    }
}

#[derive(Debug, Default)]
struct EngineLoad {
    sends: SendWindow,
    waiting: BTreeMap<u64, Waiting>,
    occupancy: Occupancy,
    /// Moving average of the time to the first event as a multiple of the expected one, and the
    /// time of the newest sample.
    latency_ratio: Option<(f64, Instant)>,
}

/// Places requests at engines by the waiting times of the requests that this owner has placed.
#[derive(Debug, Default)]
pub struct EngineBalancer {
    engines: BTreeMap<id::Upstream, EngineLoad>,
    /// Id of the newest ticket.
    last_id: u64,
    /// Moving average over all engines of the time from placement to the first event.
    first_event_secs: Option<f64>,
    /// Moving average of the latency ratio over all engines.
    latency_ratio: Option<f64>,
}

/// Handle of a request that was placed at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Name of the engine.
    pub engine: id::Upstream,
    /// Whether the engine had room for the request.
    pub fit: Fit,
    id: u64,
}

impl EngineBalancer {
    /// Places a request at the candidate with the lowest estimated time to the first event, and
    /// counts it as waiting there; `None` if the cold limits of all candidates are used up. The
    /// first candidate has the request's prompt cached. `expected` is the typical time to the first
    /// event of such a request. `share` returns this owner's share of an engine's cold limit, if
    /// the owner enforces it.
    pub fn place(
        &mut self,
        candidates: &[id::Upstream],
        expected: Duration,
        share: impl Fn(&id::Upstream) -> Option<Share>,
        now: Instant,
    ) -> Option<Ticket> {
        self.place_within(candidates, expected, Need::default(), |_| None, share, now)
    }

    /// Like [`EngineBalancer::place`], at an engine that has room for what the request needs, or
    /// else at the least overfull one. `room` returns the limits of an engine, if they are known.
    pub fn place_within(
        &mut self,
        candidates: &[id::Upstream],
        expected: Duration,
        need: Need,
        room: impl Fn(&id::Upstream) -> Option<Room>,
        share: impl Fn(&id::Upstream) -> Option<Share>,
        now: Instant,
    ) -> Option<Ticket> {
        let expected = expected.max(EXPECTED_MIN);
        let is_allowed = |it: &id::Upstream| {
            let load = self.engines.get(it);
            let allowed = load
                .zip(share(it))
                .map(|(it, share)| it.sends.allows(share, now));
            allowed.unwrap_or(true)
        };
        let unused = Occupancy::default();
        let fit = |it: &id::Upstream| {
            let occupancy = self.engines.get(it).map_or(&unused, |it| &it.occupancy);
            room(it).map_or(Fit::Free, |it| occupancy.fit(need, it, now))
        };
        let allowed = candidates.iter().enumerate().filter(|it| is_allowed(it.1));
        let costs = allowed.map(|(idx, it)| {
            let affinity = if idx == 0 {
                Duration::ZERO
            } else {
                AFFINITY_COST
            };
            let fit = fit(it);
            let (excess, wait) = match fit {
                Fit::Free => (0, Duration::ZERO),
                Fit::NoSlot => (0, NO_SLOT_COST),
                Fit::Overfull(excess) => (excess, Duration::ZERO),
            };
            let cost = self.estimate(it, expected, now) + affinity + wait;
            (excess, cost, idx, fit)
        });
        let (_, _, idx, fit) = costs.min()?;
        let engine = candidates[idx].clone();
        self.last_id += 1;
        let load = self.engines.entry(engine.clone()).or_default();
        load.sends.record(now);
        load.occupancy.add(self.last_id, need, now);
        let waiting = Waiting {
            since: now,
            expected,
        };
        load.waiting.insert(self.last_id, waiting);
        Some(Ticket {
            engine,
            fit,
            id: self.last_id,
        })
    }

    /// Records that the first event of a request has come, or that the request was abandoned.
    pub fn record_first_event(&mut self, ticket: &Ticket, now: Instant) {
        let overall = self.latency_ratio();
        let Some(load) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        let Some(waiting) = load.waiting.remove(&ticket.id) else {
            return;
        };
        load.occupancy.record_first_event(ticket.id, now);
        let ratio = waiting.latency_ratio(now);
        let before = load.latency_ratio(overall, now);
        load.latency_ratio = Some((before + SAMPLE_WEIGHT * (ratio - before), now));
        self.latency_ratio = Some(overall + SAMPLE_WEIGHT / 10.0 * (ratio - overall));
        let took = now.saturating_duration_since(waiting.since).as_secs_f64();
        let average = self.first_event_time().as_secs_f64();
        self.first_event_secs = Some(average + SAMPLE_WEIGHT / 10.0 * (took - average));
    }

    /// Moving average of the time from the placement of a request to its first event.
    #[must_use]
    pub fn first_event_time(&self) -> Duration {
        self.first_event_secs
            .map_or(FIRST_EVENT_TIME_DEFAULT, Duration::from_secs_f64)
    }

    /// Removes engines that are no longer registered and have no waiting requests.
    pub fn retain(&mut self, is_known: impl Fn(&id::Upstream) -> bool) {
        self.engines
            .retain(|name, it| is_known(name) || !it.waiting.is_empty());
    }

    /// Estimated time to the first event of a new request at an engine, behind those that wait
    /// there.
    fn estimate(&self, engine: &id::Upstream, expected: Duration, now: Instant) -> Duration {
        let overall = self.latency_ratio();
        let Some(load) = self.engines.get(engine) else {
            return expected.mul_f64(overall);
        };
        // An overdue request shows that the engine has become slower than its average says.
        let excess = load.waiting.values().map(|it| it.excess(now)).max();
        let ahead: Duration = load.waiting.values().map(|it| it.expected).sum();
        expected.mul_f64(load.latency_ratio(overall, now)) + excess.unwrap_or_default() + ahead
    }

    fn latency_ratio(&self) -> f64 {
        self.latency_ratio.unwrap_or(1.0)
    }
}

impl EngineLoad {
    fn latency_ratio(&self, overall: f64, now: Instant) -> f64 {
        let Some((ratio, at)) = self.latency_ratio else {
            return overall;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        overall + (ratio - overall) * 0.5_f64.powf(age / LATENCY_RATIO_HALF_LIFE.as_secs_f64())
    }
}
