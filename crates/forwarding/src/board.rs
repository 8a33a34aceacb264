//! Load of model engines as an owner sees it over the requests of many instances.
//!
//! One instance of many sends each engine a request every few seconds, too few to notice that it has
//! turned slow or silent. The owner of a shard hears of every request that it prepared: to which
//! engine it went, and when its first event came.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

use crate::cold::Gate;
use crate::cold::Share;

/// Weight of the newest time to a first event.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the excess of an engine's time over the usual one, without new samples.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time that one more waiting request adds: the prefill of a prompt of some thousand tokens.
const WAITING_COST: Duration = Duration::from_millis(60);
/// What a prompt costs that another engine must read again: some thousand tokens take about this
/// long. A lower cost made the owner follow the noise of first events, each of which moved a prompt.
const AFFINITY_COST: Duration = Duration::from_millis(400);
/// Time to a first event before any was measured.
const USUAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Load {
    gate: Gate,
    waiting: BTreeMap<u64, Instant>,
    first_event: Option<(f64, Instant)>,
}

/// Load of the engines that an owner's requests went to.
#[derive(Debug, Default)]
pub struct Board {
    engines: BTreeMap<id::Upstream, Load>,
    next: u64,
    usual: Option<f64>,
}

/// A request at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The engine.
    pub engine: id::Upstream,
    number: u64,
}

impl Board {
    /// Chooses among `candidates`, of which the first keeps the request's prompt, and counts the
    /// request as waiting there. `share` is this owner's share of an engine's cold limit, where the
    /// owner keeps it.
    pub fn place(
        &mut self,
        candidates: &[id::Upstream],
        share: impl Fn(&id::Upstream) -> Option<Share>,
        now: Instant,
    ) -> Option<Ticket> {
        let is_open = |it: &id::Upstream| {
            let load = self.engines.get(it);
            let open = load
                .zip(share(it))
                .map(|(it, share)| it.gate.is_open(share, now));
            open.unwrap_or(true)
        };
        let open = candidates.iter().enumerate().filter(|it| is_open(it.1));
        let costs = open.map(|(idx, it)| {
            let affinity = if idx == 0 {
                Duration::ZERO
            } else {
                AFFINITY_COST
            };
            (self.expected(it, now) + affinity, idx)
        });
        let (_, idx) = costs.min()?;
        let engine = candidates[idx].clone();
        self.next += 1;
        let load = self.engines.entry(engine.clone()).or_default();
        load.gate.sent(now);
        load.waiting.insert(self.next, now);
        Some(Ticket {
            engine,
            number: self.next,
        })
    }

    /// The first event of a request has come, or nobody waits for it any more.
    pub fn finish(&mut self, ticket: &Ticket, now: Instant) {
        let usual = self.usual();
        let Some(load) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        let Some(since) = load.waiting.remove(&ticket.number) else {
            return;
        };
        let took = now.saturating_duration_since(since).as_secs_f64();
        let before = load.first_event(usual, now);
        load.first_event = Some((before + SAMPLE_WEIGHT * (took - before), now));
        self.usual = Some(usual + SAMPLE_WEIGHT / 10.0 * (took - usual));
    }

    /// Usual time from the placement of a request to its first event.
    #[must_use]
    pub fn first_event_time(&self) -> Duration {
        Duration::from_secs_f64(self.usual())
    }

    /// Forgets engines that are no longer registered.
    pub fn retain(&mut self, is_known: impl Fn(&id::Upstream) -> bool) {
        self.engines
            .retain(|name, it| is_known(name) || !it.waiting.is_empty());
    }

    /// Expected time to the first event of one more request.
    fn expected(&self, engine: &id::Upstream, now: Instant) -> Duration {
        let usual = self.usual();
        let Some(load) = self.engines.get(engine) else {
            return Duration::from_secs_f64(usual);
        };
        let mut expected = load.first_event(usual, now);
        // A request that has waited longer than that shows that it has become slower since.
        if let Some(oldest) = load.waiting.values().min() {
            let age = now.saturating_duration_since(*oldest).as_secs_f64();
            expected = expected.max(age);
        }
        Duration::from_secs_f64(expected) + WAITING_COST * load.waiting.len() as u32
    }

    fn usual(&self) -> f64 {
        self.usual.unwrap_or(USUAL.as_secs_f64())
    }
}

impl Load {
    fn first_event(&self, usual: f64, now: Instant) -> f64 {
        let Some((time, at)) = self.first_event else {
            return usual;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        usual + (time - usual) * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
