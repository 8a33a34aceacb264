//! Load of model engines as an owner sees it over the requests of many instances.
//!
//! One instance of many sends each engine a request every few seconds, too few to notice that it has
//! turned slow or silent. The owner of a shard hears of every request that it prepared: to which
//! engine it went, and when its first event came.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::cold::SendWindow;
use crate::cold::Share;

/// Weight of the newest time to a first event.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the excess of an engine's pace over the usual one, without new samples.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// What a prompt costs that another engine must read again: some thousand tokens take about this
/// long. A lower cost made the owner follow the noise of first events, each of which moved a prompt.
const AFFINITY_COST: Duration = Duration::from_millis(400);
/// Time to a first event before any was measured.
const USUAL: Duration = Duration::from_millis(200);
/// Shorter times than this are not told apart.
const USUAL_MIN: Duration = Duration::from_millis(10);

/// A request without its first event.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    usual: Duration,
}

impl Waiting {
    /// Time that it has waited as a multiple of the usual one.
    fn pace(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since);
        age.as_secs_f64() / self.usual.as_secs_f64()
    }

    /// Time that it has waited beyond the usual one.
    fn excess(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.since);
        age.saturating_sub(self.usual)
    }
}

#[derive(Debug, Default)]
struct Load {
    gate: SendWindow,
    waiting: BTreeMap<u64, Waiting>,
    /// Times to first events as multiples of the usual ones, on average, and when that was found.
    pace: Option<(f64, Instant)>,
}

/// Load of the engines that an owner's requests went to.
#[derive(Debug, Default)]
pub struct EngineBalancer {
    engines: BTreeMap<id::Upstream, Load>,
    next: u64,
    usual: Option<f64>,
    pace: Option<f64>,
}

/// A request at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The engine.
    pub engine: id::Upstream,
    number: u64,
}

impl EngineBalancer {
    /// Chooses among `candidates`, of which the first keeps the request's prompt, and counts the
    /// request as waiting there; its first event usually comes after `usual`. `share` is this owner's
    /// share of an engine's cold limit, where the owner keeps it.
    pub fn place(
        &mut self,
        candidates: &[id::Upstream],
        usual: Duration,
        share: impl Fn(&id::Upstream) -> Option<Share>,
        now: Instant,
    ) -> Option<Ticket> {
        let usual = usual.max(USUAL_MIN);
        let is_open = |it: &id::Upstream| {
            let load = self.engines.get(it);
            let open = load
                .zip(share(it))
                .map(|(it, share)| it.gate.allows(share, now));
            open.unwrap_or(true)
        };
        let open = candidates.iter().enumerate().filter(|it| is_open(it.1));
        let costs = open.map(|(idx, it)| {
            let affinity = if idx == 0 {
                Duration::ZERO
            } else {
                AFFINITY_COST
            };
            (self.estimate(it, usual, now) + affinity, idx)
        });
        let (_, idx) = costs.min()?;
        let engine = candidates[idx].clone();
        self.next += 1;
        let load = self.engines.entry(engine.clone()).or_default();
        load.gate.record(now);
        let waiting = Waiting { since: now, usual };
        load.waiting.insert(self.next, waiting);
        Some(Ticket {
            engine,
            number: self.next,
        })
    }

    /// The first event of a request has come, or nobody waits for it any more.
    pub fn record_first_event(&mut self, ticket: &Ticket, now: Instant) {
        let common = self.pace();
        let Some(load) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        let Some(waiting) = load.waiting.remove(&ticket.number) else {
            return;
        };
        let pace = waiting.pace(now);
        let before = load.pace(common, now);
        load.pace = Some((before + SAMPLE_WEIGHT * (pace - before), now));
        self.pace = Some(common + SAMPLE_WEIGHT / 10.0 * (pace - common));
        let took = now.saturating_duration_since(waiting.since).as_secs_f64();
        let usual = self.first_event_time().as_secs_f64();
        self.usual = Some(usual + SAMPLE_WEIGHT / 10.0 * (took - usual));
    }

    /// Usual time from the placement of a request to its first event.
    #[must_use]
    pub fn first_event_time(&self) -> Duration {
        self.usual.map_or(USUAL, Duration::from_secs_f64)
    }

    /// Forgets engines that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&id::Upstream) -> bool) {
        self.engines
            .retain(|name, it| is_known(name) || !it.waiting.is_empty());
    }

    /// Expected time to the first event of one more request.
    fn estimate(&self, engine: &id::Upstream, usual: Duration, now: Instant) -> Duration {
        let common = self.pace();
        let Some(load) = self.engines.get(engine) else {
            return usual.mul_f64(common);
        };
        // A request that has waited longer than usual shows that the engine has become slower since.
        let excess = load.waiting.values().map(|it| it.excess(now)).max();
        let ahead: Duration = load.waiting.values().map(|it| it.usual).sum();
        usual.mul_f64(load.pace(common, now)) + excess.unwrap_or_default() + ahead
    }

    fn pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }
}

impl Load {
    fn pace(&self, common: f64, now: Instant) -> f64 {
        let Some((pace, at)) = self.pace else {
            return common;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        common + (pace - common) * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
