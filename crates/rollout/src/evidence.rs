//! Compares the answers of the new version with those of the old one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Last latency bucket of a [`Cell`]; it begins at 11 s.
const BUCKET_MAX: u8 = 23;
/// Ratio of the bounds of a bucket.
const BUCKET_RATIO: f64 = 1.5;
/// Buckets above that of the old version's median from which an answer counts as slow: about three
/// times the median.
const SLOW_BUCKETS: u8 = 3;
/// Parts that the upstreams of the new version are divided into.
pub const PARTS: u8 = 4;
/// Answers of the old version that make a median.
const MEDIAN_ANSWERS_MIN: u64 = 10;
/// Share of bad answers that any version may have.
const BAD_SHARE_BASE: f64 = 0.03;
/// Factor on the share of bad answers of the old version.
const BAD_SHARE_FACTOR: f64 = 2.0;
/// Fewest bad answers that make a version bad.
const BAD_MIN: u64 = 3;
/// Probability of at least as many bad answers from a good version below which it counts as bad.
const CHANCE_MAX: f64 = 1e-4;

/// Where a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// To the old version.
    Old,
    /// To an upstream of the new version that is in this part, below [`PARTS`].
    New(u8),
}

/// Counts of the sends of one route to one side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Requests sent.
    pub sends: u64,
    /// Sends that ended with a failure.
    pub failures: u64,
    /// Answers by latency; the failures are not among them.
    pub answers: BTreeMap<u8, u64>,
    /// Sends without an answer yet, by their age now.
    pub open: BTreeMap<u8, u64>,
}

/// The bucket of a latency.
#[must_use]
fn bucket(latency: Duration) -> u8 {
    let ms = latency.as_secs_f64() * 1e3;
    let idx = ms.max(1.0).log(BUCKET_RATIO);
    (idx as u8).min(BUCKET_MAX)
}

impl Cell {
    /// Counts an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        *self.answers.entry(bucket(latency)).or_default() += 1;
    }

    /// Counts a send that has no answer yet.
    pub fn record_open(&mut self, age: Duration) {
        *self.open.entry(bucket(age)).or_default() += 1;
    }

    /// Number of answers that are no failures.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.answers.values().sum()
    }

    fn median(&self) -> Option<u8> {
        let total = self.answered();
        if total < MEDIAN_ANSWERS_MIN {
            return None;
        }
        let mut sum = 0;
        let median = self.answers.iter().find(|it| {
            sum += it.1;
            sum * 2 >= total
        });
        median.map(|it| *it.0)
    }

    /// Bad answers and all answers, where those from bucket `slow_from` are bad.
    fn slow(&self, slow_from: u8) -> (u64, u64) {
        let late: u64 = self.answers.range(slow_from..).map(|it| it.1).sum();
        let open: u64 = self.open.range(slow_from..).map(|it| it.1).sum();
        (late + open, self.answered() + open)
    }

    fn failed(&self) -> (u64, u64) {
        (self.failures, self.failures + self.answered())
    }

    fn add(&mut self, other: &Cell) {
        self.sends += other.sends;
        self.failures += other.failures;
        for (bucket, count) in &other.answers {
            *self.answers.entry(*bucket).or_default() += count;
        }
        for (bucket, count) in &other.open {
            *self.open.entry(*bucket).or_default() += count;
        }
    }

    /// What was counted since `before`; sends without an answer are as now.
    fn since(&self, before: &Cell) -> Cell {
        let mut cell = self.clone();
        cell.sends = self.sends.saturating_sub(before.sends);
        cell.failures = self.failures.saturating_sub(before.failures);
        for (bucket, count) in &mut cell.answers {
            let known = before.answers.get(bucket).copied().unwrap_or_default();
            *count = count.saturating_sub(known);
        }
        cell
    }
}

/// Counts of one service since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests of clients to the service.
    pub requests: u64,
    /// Sends to the old version that have not ended.
    pub old_open: u64,
    /// Counts by route and side.
    pub cells: BTreeMap<(String, Side), Cell>,
}

impl Tally {
    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.old_open += other.old_open;
        for (key, cell) in &other.cells {
            self.cells.entry(key.clone()).or_default().add(cell);
        }
    }

    /// What was counted since `before`.
    #[must_use]
    pub fn since(&self, before: &Tally) -> Tally {
        let cells = self.cells.iter().map(|(key, cell)| {
            let known = before.cells.get(key);
            let cell = known.map_or_else(|| cell.clone(), |it| cell.since(it));
            (key.clone(), cell)
        });
        Tally {
            requests: self.requests.saturating_sub(before.requests),
            old_open: self.old_open,
            cells: cells.collect(),
        }
    }

    /// Sends that are not under way any more: those of a process that has ended.
    pub fn close(&mut self) {
        self.old_open = 0;
        for cell in self.cells.values_mut() {
            cell.open.clear();
        }
    }

    fn new_cells(&self) -> impl Iterator<Item = &Cell> {
        let cells = self.cells.iter();
        cells.filter(|it| it.0.1 != Side::Old).map(|(_, cell)| cell)
    }

    /// Requests sent to the new version.
    #[must_use]
    pub fn exposure(&self) -> u64 {
        self.new_cells().map(|it| it.sends).sum()
    }

    /// Answers and failures of the new version.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.new_cells().map(|it| it.failed().1).sum()
    }

    /// Failures of the new version.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.new_cells().map(|it| it.failures).sum()
    }
}

/// Why a version counts as bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Too many of its answers are failures.
    Failing,
    /// Too many of its answers are several times slower than those of the old version.
    Slow,
}

/// A fault of the new version, with the counts that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What is wrong.
    pub fault: Fault,
    /// The route whose answers show it.
    pub route: String,
    /// Bad answers of the new version, other than those of the worst part of its upstreams.
    pub bad: u64,
    /// All answers of the same upstreams.
    pub answers: u64,
    /// Share of bad answers of the old version.
    pub old_share: f64,
}

/// Compares the sides in `window`. Where the old version had few answers in it, `whole`, which counts
/// since the order, stands for it.
#[must_use]
pub fn judge(window: &Tally, whole: &Tally) -> Option<Finding> {
    let routes = window.cells.keys().filter(|it| it.1 != Side::Old);
    let mut routes: Vec<&String> = routes.map(|it| &it.0).collect();
    routes.dedup();
    routes
        .into_iter()
        .find_map(|route| judge_route(window, whole, route))
}

fn judge_route(window: &Tally, whole: &Tally, route: &str) -> Option<Finding> {
    let old = |tally: &Tally| tally.cells.get(&(route.to_owned(), Side::Old)).cloned();
    let old_now = old(window).unwrap_or_default();
    let old = match old_now.median() {
        Some(_) => old_now,
        None => old(whole).unwrap_or_default(),
    };
    let new = (0..PARTS).filter_map(|it| window.cells.get(&(route.to_owned(), Side::New(it))));
    let new: Vec<&Cell> = new.collect();
    let failing = compare(new.iter().map(|it| it.failed()), old.failed());
    let slow = || {
        let slow_from = old.median()? + SLOW_BUCKETS;
        compare(new.iter().map(|it| it.slow(slow_from)), old.slow(slow_from))
    };
    let (fault, (bad, answers, old_share)) = failing
        .map(|it| (Fault::Failing, it))
        .or_else(|| slow().map(|it| (Fault::Slow, it)))?;
    Some(Finding {
        fault,
        route: route.to_owned(),
        bad,
        answers,
        old_share,
    })
}

/// Compares bad and all answers of the parts of the new version with those of the old one. The worst
/// part is left out: a fault of one upstream is no fault of the version.
fn compare(
    new: impl Iterator<Item = (u64, u64)>,
    (old_bad, old_total): (u64, u64),
) -> Option<(u64, u64, f64)> {
    let mut parts: Vec<(u64, u64)> = new.filter(|it| it.1 > 0).collect();
    parts.sort_unstable();
    if parts.len() > 1 {
        parts.pop();
    }
    let bad: u64 = parts.iter().map(|it| it.0).sum();
    let total: u64 = parts.iter().map(|it| it.1).sum();
    let old_share = old_bad as f64 / old_total.max(1) as f64;
    let expected = total as f64 * (old_share * BAD_SHARE_FACTOR + BAD_SHARE_BASE);
    let is_bad = bad >= BAD_MIN && chance(bad, expected) < CHANCE_MAX;
    is_bad.then_some((bad, total, old_share))
}

/// Probability of at least `count` events where `expected` are expected (Poisson).
fn chance(count: u64, expected: f64) -> f64 {
    if count as f64 <= expected {
        return 1.0;
    }
    let mut term = (-expected).exp();
    let mut below = 0.0;
    for idx in 0..count {
        below += term;
        term *= expected / (idx + 1) as f64;
    }
    (1.0 - below).max(0.0)
}
