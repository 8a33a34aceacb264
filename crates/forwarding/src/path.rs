//! Paths from this instance to the upstreams: direct connections, or detours through another
//! instance.
//!
//! One instance alone cannot tell an upstream that is down from its own lost path. If it reaches an
//! upstream no more and another instance does, the path is lost, and connections go through such an
//! instance until a probe finds the direct path again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::id;
use tokio::time::Instant;

/// Time from the loss of a path until it is probed; doubled after each probe that fails.
const PROBE_DELAY_MIN: Duration = Duration::from_millis(500);
/// Longest time between two probes of a path.
const PROBE_DELAY_MAX: Duration = Duration::from_secs(2);
/// Least time between two probes of any paths.
const PROBE_SPACING: Duration = Duration::from_millis(300);
/// Upstreams to which the paths are lost, with none reached since, from which on all paths count
/// as lost.
const CUT_OFF_MIN: usize = 2;
/// Time for which an upstream that no instance reached counts as down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after a failed connection for which another one is taken to fail as well.
const FAILURE_TIME: Duration = Duration::from_millis(300);
/// Time for which it is remembered whether another instance reached an upstream.
const ANSWER_MEMORY: Duration = Duration::from_secs(3);
/// Time for which an instance that did not answer is not asked again. Behind a partition between
/// zones, each upstream of another zone would otherwise take a request that long.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From this instance.
    Direct,
    /// Through another instance.
    Detour,
}

/// Numbers of upstreams by the latest attempt of this instance to reach them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Upstreams that accepted the latest connection or answered since.
    pub reached: usize,
    /// Upstreams that accepted no connection.
    pub unreached: usize,
}

#[derive(Clone, Copy, Debug)]
struct Detour {
    probe_at: Instant,
    probe_delay: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    is_reached: bool,
    failed_at: Option<Instant>,
    detour: Option<Detour>,
    down_until: Option<Instant>,
}

/// How an instance answered that was asked for a detour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelperAnswer {
    /// It reached the upstream.
    Reached,
    /// It did not reach the upstream, or has lost its own path.
    Refused,
    /// It did not answer in time.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Helper {
    answer: HelperAnswer,
    at: Instant,
}

/// Paths to all upstreams, and the instances that detours can lead through.
#[derive(Debug, Default)]
pub struct Paths {
    paths: BTreeMap<id::Upstream, Path>,
    /// Upstreams that another instance reached and this one did not, since this one last reached
    /// any.
    lost: BTreeSet<id::Upstream>,
    helpers: BTreeMap<id::Instance, Helper>,
    next_probe_at: Option<Instant>,
}

impl Paths {
    /// How to connect to an upstream now.
    #[must_use]
    pub fn way(&self, upstream: &id::Upstream) -> Way {
        let path = self.paths.get(upstream);
        let is_lost = path.is_some_and(|it| it.detour.is_some());
        match is_lost || self.is_cut_off() {
            true => Way::Detour,
            false => Way::Direct,
        }
    }

    /// Whether this instance seems to reach no upstream by itself.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.lost.len() >= CUT_OFF_MIN
    }

    /// Whether no instance reached an upstream a moment ago, so that no other one is to be asked
    /// again.
    #[must_use]
    pub fn is_down(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let path = self.paths.get(upstream);
        path.and_then(|it| it.down_until).is_some_and(|it| it > now)
    }

    /// Whether an upstream accepted no connection of this instance a moment ago.
    #[must_use]
    pub fn has_just_failed(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let failed_at = self.paths.get(upstream).and_then(|it| it.failed_at);
        failed_at.is_some_and(|it| now.saturating_duration_since(it) < FAILURE_TIME)
    }

    /// Records that an upstream accepted a direct connection; returns whether the path was lost.
    pub fn record_reached(&mut self, upstream: &id::Upstream) -> bool {
        self.lost.clear();
        let path = self.path(upstream);
        let was_lost = path.detour.is_some();
        *path = Path {
            is_reached: true,
            ..Path::default()
        };
        was_lost
    }

    /// Records an answer over a direct connection. It says nothing of new connections: those that
    /// are open may outlive the path.
    pub fn record_answered(&mut self, upstream: &id::Upstream) {
        self.lost.clear();
        self.path(upstream).is_reached = true;
    }

    /// Records that an upstream accepted no direct connection.
    pub fn record_unreached(&mut self, upstream: &id::Upstream, now: Instant) {
        let path = self.path(upstream);
        path.is_reached = false;
        path.failed_at = Some(now);
    }

    /// Records that another instance reached an upstream that this one did not reach; returns
    /// whether the path was not known to be lost. `jitter`, from 0 to 1, spreads the probes.
    pub fn record_detour(&mut self, upstream: &id::Upstream, jitter: f64, now: Instant) -> bool {
        self.lost.insert(upstream.clone());
        let path = self.path(upstream);
        path.is_reached = false;
        path.down_until = None;
        let is_new = path.detour.is_none();
        path.detour.get_or_insert(Detour {
            probe_at: now + PROBE_DELAY_MIN.mul_f64(1.0 + jitter),
            probe_delay: PROBE_DELAY_MIN,
        });
        is_new
    }

    /// Records that no instance reached an upstream.
    pub fn record_down(&mut self, upstream: &id::Upstream, now: Instant) {
        self.path(upstream).down_until = Some(now + DOWN_TIME);
    }

    /// When the next probe of a lost path is due; `None` if no path is lost.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        let detours = self.paths.values().filter_map(|it| it.detour);
        let first = detours.map(|it| it.probe_at).min()?;
        Some(self.next_probe_at.map_or(first, |it| it.max(first)))
    }

    /// The upstream whose path is to be probed now. The next probe of the path is due later, unless
    /// this one finds it.
    pub fn take_probe(&mut self, now: Instant) -> Option<id::Upstream> {
        if self.next_probe_at.is_some_and(|it| it > now) {
            return None;
        }
        let due = self.paths.iter_mut().filter_map(|(name, path)| {
            let detour = path.detour.as_mut()?;
            (detour.probe_at <= now).then_some((name, detour))
        });
        let (name, detour) = due.min_by_key(|it| it.1.probe_at)?;
        detour.probe_delay = (detour.probe_delay * 2).min(PROBE_DELAY_MAX);
        detour.probe_at = now + detour.probe_delay;
        self.next_probe_at = Some(now + PROBE_SPACING);
        Some(name.clone())
    }

    /// Records the answer of another instance that was asked for a detour.
    pub fn record_helper(&mut self, instance: &id::Instance, answer: HelperAnswer, now: Instant) {
        let helper = Helper { answer, at: now };
        self.helpers.insert(instance.clone(), helper);
    }

    /// Orders the instances that an upstream may be reached through, the best first: those that
    /// reached one a moment ago, then unknown ones. Drops those that were silent a moment ago.
    /// `seed` spreads the detours of different instances.
    pub fn order_helpers(&self, instances: &mut Vec<id::Instance>, seed: &str, now: Instant) {
        let recent_answer = |it: &id::Instance| {
            let helper = self.helpers.get(it)?;
            let memory = match helper.answer {
                HelperAnswer::Silent => SILENCE_MEMORY,
                HelperAnswer::Reached | HelperAnswer::Refused => ANSWER_MEMORY,
            };
            let is_recent = now.saturating_duration_since(helper.at) < memory;
            is_recent.then_some(helper.answer)
        };
        instances.retain(|it| recent_answer(it) != Some(HelperAnswer::Silent));
        instances.sort_by_cached_key(|it| {
            let rank = match recent_answer(it) {
                Some(HelperAnswer::Reached) => 0,
                None => 1,
                Some(HelperAnswer::Refused | HelperAnswer::Silent) => 2,
            };
            (rank, hash::hash_strs([seed, it.as_str()]))
        });
    }

    /// Drops the state of upstreams and instances that are no longer registered.
    pub fn retain(
        &mut self,
        is_upstream: impl Fn(&id::Upstream) -> bool,
        is_instance: impl Fn(&id::Instance) -> bool,
    ) {
        self.paths.retain(|it, _| is_upstream(it));
        self.lost.retain(|it| is_upstream(it));
        self.helpers.retain(|it, _| is_instance(it));
    }

    /// Numbers of reached and unreached upstreams.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let reached = self.paths.values().filter(|it| it.is_reached).count();
        Counts {
            reached,
            unreached: self.paths.len() - reached,
        }
    }

    fn path(&mut self, upstream: &id::Upstream) -> &mut Path {
        self.paths.entry(upstream.clone()).or_default()
    }
}
