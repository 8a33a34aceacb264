//! When refused clients return, and whose turn it is then.
//!
//! Clients that are refused in a burst and told the same time would return in the same moment. Each
//! one is therefore told a time of its own, one after another at the rate at which requests are
//! served. A client that returns at its time is ordered by its first attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use tokio::time::Instant;

/// Time after which half of the served requests no longer count toward the rate.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Lowest rate, per second, at which clients are told to return.
const RATE_MIN: f64 = 5.0;
/// Shortest time after which a client is told to return.
const WAIT_MIN: Duration = Duration::from_millis(400);
/// Longest time by which a return is put off.
const SPREAD_MAX: Duration = Duration::from_secs(5);
/// Share of the time left that clients accept as a time to wait.
const WAIT_SHARE: f64 = 0.3;
/// How much earlier than told a client may return: those told more than they accept are told
/// between half and all of that.
const EARLY_SHARE: f64 = 0.5;
/// Time for which a turn is kept after the client should have returned.
const TURN_GRACE: Duration = Duration::from_secs(1);
/// Most turns that are kept.
pub const TURNS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Turn {
    priority: u8,
    sort_time: Instant,
    from: Instant,
    until: Instant,
}

/// A request that is being refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Identifies the request's content; equal for all its attempts.
    pub fingerprint: id::Fingerprint,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time that the request is ordered by.
    pub sort_time: Instant,
    /// When its client gives up.
    pub deadline: Instant,
    /// Time until what waits has drained.
    pub drain: Duration,
}

/// The returns of refused clients of one owner.
#[derive(Debug, Default)]
pub struct Returns {
    turns: BTreeMap<id::Fingerprint, Turn>,
    /// When the next client of a priority may return.
    next: BTreeMap<u8, Instant>,
    /// Decaying number of served requests, and when it was valid.
    served: Option<(f64, Instant)>,
}

impl Returns {
    /// Records that a request was served.
    pub fn record_served(&mut self, now: Instant) {
        self.served = Some((self.recently_served(now) + 1.0, now));
    }

    /// Records a refusal; returns the time after which its client should come back.
    pub fn refuse(&mut self, refused: Refused, now: Instant) -> Duration {
        let base = now + refused.drain.max(WAIT_MIN);
        let busy_until = self.next.range(..=refused.priority).map(|it| *it.1).max();
        let at = base.max(busy_until.unwrap_or(base)).min(base + SPREAD_MAX);
        let interval = Duration::from_secs_f64(1.0 / self.rate(now));
        self.next.retain(|_, it| *it > now);
        self.next.insert(refused.priority, at + interval);
        let wait = at - now;
        self.keep_turn(refused, wait, now);
        wait
    }

    fn keep_turn(&mut self, refused: Refused, wait: Duration, now: Instant) {
        let left = refused.deadline.saturating_duration_since(now);
        let wait = wait.min(left.mul_f64(WAIT_SHARE));
        if self.turns.len() >= TURNS_MAX {
            self.turns.retain(|_, it| it.until > now);
        }
        if self.turns.len() >= TURNS_MAX || wait.is_zero() {
            return;
        }
        let turn = Turn {
            priority: refused.priority,
            sort_time: refused.sort_time,
            from: now + wait.mul_f64(EARLY_SHARE),
            until: now + wait + TURN_GRACE,
        };
        self.turns.insert(refused.fingerprint, turn);
    }

    /// Takes the turn of a client that returns in time; returns the time that its first attempt was
    /// ordered by. One that returns too early has no turn yet.
    pub fn take_turn(
        &mut self,
        fingerprint: id::Fingerprint,
        priority: u8,
        now: Instant,
    ) -> Option<Instant> {
        let turn = *self.turns.get(&fingerprint)?;
        if now < turn.from && turn.priority == priority {
            return None;
        }
        self.turns.remove(&fingerprint);
        let is_kept = turn.priority == priority && now <= turn.until;
        is_kept.then_some(turn.sort_time)
    }

    /// Number of turns that are kept.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    fn recently_served(&self, now: Instant) -> f64 {
        self.served.map_or(0.0, |(count, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            count * 0.5_f64.powf(age / RATE_HALF_LIFE.as_secs_f64())
        })
    }

    /// Requests served per second lately.
    fn rate(&self, now: Instant) -> f64 {
        let memory = RATE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        (self.recently_served(now) / memory).max(RATE_MIN)
    }
}
