//! The coordinator's side: the shares that instances have lent to it, and the requests that it
//! grants within them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::id;
use base::rate::Rate;
use base::time::Bounded;
use serde_with::serde_as;
use tokio::time::Instant;

use super::Urgency;
use super::loan::LOAN_TIME;

/// Fraction of a limit that is granted. With [`BURST_TIME`], the arrivals in any 4 s stay within
/// the limit even if some are delayed by the validity of a permit, 150 ms, and others are not, and
/// while the instances do not agree on their number.
const USED_FRACTION: f64 = 0.92;
/// Capacity beyond one request that an idle upstream accumulates, as the time that it takes.
const BURST_TIME: Duration = Duration::from_millis(50);
/// Least rate that is assumed, so that the end of a limit of zero is noticed.
const RATE_MIN: f64 = 0.1;
/// A coordinator with a smaller part of the shares is one of several. What it does not use within
/// [`UNUSED_TIME_MAX`] it gives up: otherwise all of them could send at once.
pub(super) const MAJORITY: f64 = 0.5;
const UNUSED_TIME_MAX: Duration = Duration::from_secs(1);
/// Longest time after which a denied request may ask again: shares that are lent meanwhile shorten
/// the wait.
const WAIT_MAX: Duration = Duration::from_millis(500);
/// Time after which a request may ask again if no share has been lent.
const NO_SHARE_WAIT: Duration = Duration::from_millis(250);
/// Shortest time after which a denied request may ask again.
const WAIT_MIN: Duration = Duration::from_millis(5);

/// Part of every limit that one instance owns.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Share(f64);

impl Share {
    /// Share of each of `members`.
    #[must_use]
    pub fn of(members: usize) -> Share {
        Share(1.0 / members.max(1) as f64)
    }
}

/// Answer of the coordinator to a request for a permit.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// The request may be sent.
    Granted,
    /// It may not; holds the time after which another one may.
    Denied(#[serde_as(as = "Bounded")] Duration),
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    share: f64,
    ends_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    /// Time since which a whole request could have been sent.
    unused: Duration,
}

/// Loans that a coordinator holds, and what it may grant for each upstream with a limit.
#[derive(Clone, Debug)]
pub struct Pool {
    owner: id::Instance,
    loans: BTreeMap<id::Instance, Loan>,
    /// When loans were recalled. A loan that was stamped before may arrive late.
    recalls: BTreeMap<id::Instance, Instant>,
    buckets: BTreeMap<id::Incarnation, Bucket>,
    settled_at: Option<Instant>,
}

impl Pool {
    /// A pool of the instance `owner` without loans.
    #[must_use]
    pub fn new(owner: id::Instance) -> Pool {
        Pool {
            owner,
            loans: BTreeMap::new(),
            recalls: BTreeMap::new(),
            buckets: BTreeMap::new(),
            settled_at: None,
        }
    }

    /// Accepts the share of an instance until `ends_at`, in place of an earlier loan.
    pub fn accept(&mut self, lender: &id::Instance, share: Share, ends_at: Instant, now: Instant) {
        self.settle(now);
        let recalled_at = self.recalls.get(lender);
        let is_recalled = recalled_at.is_some_and(|it| ends_at <= *it + LOAN_TIME);
        if ends_at > now && !is_recalled {
            let loan = Loan {
                share: share.0,
                ends_at,
            };
            self.change_loans(|it| {
                it.insert(lender.clone(), loan);
            });
        }
    }

    /// Ends the loan of an instance, also if it has not arrived yet.
    pub fn end_loan(&mut self, lender: &id::Instance, now: Instant) {
        self.settle(now);
        self.change_loans(|it| {
            it.remove(lender);
        });
        self.recalls.retain(|_, at| *at + LOAN_TIME > now);
        self.recalls.insert(lender.clone(), now);
    }

    /// Replaces the limits in force. An upstream whose limit is new or lower starts without
    /// anything to grant.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl IntoIterator<Item = (&'a id::Incarnation, Rate)>,
        now: Instant,
    ) {
        self.settle(now);
        let mut previous = std::mem::take(&mut self.buckets);
        for (upstream, rate) in limits {
            let rate = rate.per_second().max(RATE_MIN);
            let known = previous.remove(upstream).filter(|it| it.rate <= rate);
            let bucket = known.unwrap_or_else(|| self.new_bucket(upstream, rate));
            self.buckets
                .insert(upstream.clone(), Bucket { rate, ..bucket });
        }
    }

    /// Decides on a request to an upstream. It is granted if the upstream has no limit.
    pub fn decide(
        &mut self,
        upstream: &id::Incarnation,
        urgency: Urgency,
        now: Instant,
    ) -> Decision {
        let wait = self.wait(upstream, urgency, now);
        if !wait.is_zero() {
            return Decision::Denied(wait.clamp(WAIT_MIN, WAIT_MAX));
        }
        if let Some(bucket) = self.buckets.get_mut(upstream) {
            bucket.tokens -= 1.0;
            bucket.unused = Duration::ZERO;
        }
        Decision::Granted
    }

    /// Time until a request to an upstream is granted, if no other takes its place.
    pub fn wait(&mut self, upstream: &id::Incarnation, urgency: Urgency, now: Instant) -> Duration {
        self.settle(now);
        let held = self.held();
        let Some(bucket) = self.buckets.get(upstream) else {
            return Duration::ZERO;
        };
        let rate = bucket.rate * USED_FRACTION * held;
        if rate <= 0.0 {
            return NO_SHARE_WAIT;
        }
        let needed = 1.0 + rate * urgency.delay().as_secs_f64();
        let missing = (needed - bucket.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Part of the limits that has been lent to this pool, from 0 to 1.
    #[must_use]
    pub fn held(&self) -> f64 {
        let held: f64 = self.loans.values().map(|it| it.share).sum();
        held.min(1.0)
    }

    /// Number of instances that have lent their share.
    #[must_use]
    pub fn lender_count(&self) -> usize {
        self.loans.len()
    }

    /// Whether the share of an instance is lent to this pool.
    #[must_use]
    pub fn holds_loan(&self, lender: &id::Instance, now: Instant) -> bool {
        self.loans.get(lender).is_some_and(|it| it.ends_at > now)
    }

    /// Ends the loans that are due and adds what has accrued until `now`.
    fn settle(&mut self, now: Instant) {
        loop {
            let next_end = self.loans.values().map(|it| it.ends_at).min();
            let Some(end) = next_end.filter(|it| *it <= now) else {
                break;
            };
            self.accrue(end);
            self.change_loans(|it| it.retain(|_, loan| loan.ends_at > end));
        }
        self.accrue(now);
    }

    /// Changes the loans. A share that leaves takes along its part of what has accrued, as it begins
    /// to accrue elsewhere.
    fn change_loans(&mut self, change: impl FnOnce(&mut BTreeMap<id::Instance, Loan>)) {
        let before = self.held();
        change(&mut self.loans);
        let kept = self.held() / before;
        if kept < 1.0 {
            for bucket in self.buckets.values_mut() {
                bucket.tokens = bucket.tokens.min(bucket.tokens * kept);
            }
        }
    }

    fn accrue(&mut self, now: Instant) {
        let elapsed = self
            .settled_at
            .map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.settled_at = self.settled_at.max(Some(now));
        let held = self.held();
        for bucket in self.buckets.values_mut() {
            bucket.accrue(held, elapsed);
        }
    }

    fn new_bucket(&self, upstream: &id::Incarnation, rate: f64) -> Bucket {
        let is_majority = self.held() >= MAJORITY;
        // Several coordinators that learn of a limit at the same moment start at different points.
        let name = upstream.upstream.as_str();
        let phase = hash::hash_strs([self.owner.as_str(), name]) as f64 / u64::MAX as f64;
        Bucket {
            rate,
            tokens: if is_majority { 0.0 } else { -phase },
            unused: Duration::ZERO,
        }
    }
}

impl Bucket {
    /// Adds what accrues while the pool holds the part `held` of the limit.
    fn accrue(&mut self, held: f64, elapsed: Duration) {
        let rate = self.rate * USED_FRACTION * held;
        let burst = 1.0 + rate * BURST_TIME.as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(burst);
        if self.tokens < 1.0 {
            self.unused = Duration::ZERO;
            return;
        }
        self.unused += elapsed;
        if held < MAJORITY && self.unused > UNUSED_TIME_MAX {
            self.tokens = 0.0;
            self.unused = Duration::ZERO;
        }
    }
}
