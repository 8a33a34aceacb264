//! What an engine has room for: its slots, and the memory that running requests take in tokens.
//!
//! An engine that runs out of memory preempts requests and reads their prompts again, or crashes.
//! The owner of a shard therefore counts what it has placed at each engine and what has not ended
//! yet. It learns of a request's first event, but not of its end, which it estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Assumed time in which a running request generates one token. Engines need some milliseconds for
/// each, more if they run many requests.
pub const TOKEN_TIME: Duration = Duration::from_millis(5);
/// Longest time for which a request counts after its first event, whatever its client states.
pub const RUN_TIME_MAX: Duration = Duration::from_secs(30);

/// What a request takes of an engine. Figures that the client does not state are 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that the engine generates.
    pub output_tokens: u64,
}

impl Need {
    /// Tokens that the request may take up before it ends.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Estimated time from the first event to the end.
    fn run_time(&self) -> Duration {
        let tokens = u32::try_from(self.output_tokens).unwrap_or(u32::MAX);
        TOKEN_TIME.saturating_mul(tokens).min(RUN_TIME_MAX)
    }
}

/// Limits of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its running requests may take up; `None` if not configured.
    pub tokens: Option<u64>,
}

/// Whether a request fits at an engine; smaller is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fit {
    /// It has a free slot, and its memory holds the request.
    #[default]
    Free,
    /// All slots are taken: the request waits there.
    NoSlot,
    /// The request would exceed the memory by this many tokens.
    #[strum(to_string = "overfull")]
    Overfull(u64),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    need: Need,
    /// Estimated end; `None` before the first event.
    ends_at: Option<Instant>,
}

/// What an owner has placed at one engine and what has not ended yet.
#[derive(Debug, Default)]
pub struct Occupancy {
    held: BTreeMap<u64, Held>,
}

impl Occupancy {
    /// Counts a request that is being placed under an id that no other has.
    pub fn add(&mut self, id: u64, need: Need, now: Instant) {
        let has_ended = |it: &Held| it.ends_at.is_some_and(|it| it <= now);
        self.held.retain(|_, it| !has_ended(it));
        let held = Held {
            need,
            ends_at: None,
        };
        self.held.insert(id, held);
    }

    /// Records the first event of a request, which then runs until its estimated end.
    pub fn record_first_event(&mut self, id: u64, now: Instant) {
        if let Some(held) = self.held.get_mut(&id) {
            held.ends_at = Some(now + held.need.run_time());
        }
    }

    /// Number of requests that have not ended, and the tokens that they may take up.
    #[must_use]
    pub fn load(&self, now: Instant) -> (usize, u64) {
        let held = self.held.values();
        let running = held.filter(|it| it.ends_at.is_none_or(|it| it > now));
        running.fold((0, 0), |(count, tokens), it| {
            (count + 1, it.need.tokens().saturating_add(tokens))
        })
    }

    /// Whether one more request fits.
    #[must_use]
    pub fn fit(&self, need: Need, room: Room, now: Instant) -> Fit {
        let (count, held) = self.load(now);
        let tokens = held.saturating_add(need.tokens());
        match room.tokens {
            Some(memory) if tokens > memory => Fit::Overfull(tokens - memory),
            _ if count >= room.slots as usize => Fit::NoSlot,
            _ => Fit::Free,
        }
    }
}
