//! What an instance knows of the queues of all shards, and what it takes them for.
//!
//! An instance hears of a shard's queue only in answers to its own submissions. Dozens of instances
//! act on such news, some hundred milliseconds old: if all of them chose the shortest queue, they
//! would fill it and then leave it together. So the older the news, the more of chance is in the
//! estimate.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use tokio::time::Instant;

use crate::shard::Shard;

/// Mean of the time that is added to an estimate by chance, as a fraction of the age of the news.
const DOUBT: f64 = 0.25;
/// Time that a request adds to the queue of the shard that it is sent to, as far as this instance
/// counts it before the shard does.
const SENT_COST: Duration = Duration::from_millis(5);
/// Time that a shard counts as queued while its owners don't answer. The answer of a successor ends
/// that.
const LOSS_COST: Duration = Duration::from_secs(1);
/// Time after which a shard whose owners didn't answer is tried again.
const LOSS_AGE_MAX: Duration = Duration::from_secs(2);

/// News of one shard.
#[derive(Clone, Copy, Debug, Default)]
struct News {
    /// Time in which its queue drains, and when it said so.
    wait: Option<(Duration, Instant)>,
    /// Number of requests sent there since.
    sent: u32,
    /// When the newest submission without an answer was given up.
    lost_at: Option<Instant>,
}

/// News of all shards, by the answers that one instance got.
#[derive(Clone, Debug, Default)]
pub struct Book {
    news: BTreeMap<Shard, News>,
}

impl Book {
    /// Records that a shard accepted a request behind a queue that drains in `wait`.
    pub fn record_wait(&mut self, shard: Shard, wait: Duration, now: Instant) {
        let news = News {
            wait: Some((wait, now)),
            ..News::default()
        };
        self.news.insert(shard, news);
    }

    /// Records that a request goes to a shard.
    pub fn record_sent(&mut self, shard: &Shard) {
        let news = self.news.entry(shard.clone()).or_default();
        news.sent = news.sent.saturating_add(1);
    }

    /// Records that an owner of a shard gave no answer.
    pub fn record_lost(&mut self, shard: &Shard, now: Instant) {
        let news = self.news.entry(shard.clone()).or_default();
        news.lost_at = Some(now);
    }

    /// Estimates of the queues of `shards` for one request, identified by `tie_breaker`. They are
    /// exact for fresh news, and zero as long as no shard has said that it has a queue.
    #[must_use]
    pub fn waits(&self, shards: &[Shard], tie_breaker: &str, now: Instant) -> Vec<Duration> {
        let drained = |shard: &Shard| {
            let news = self.news.get(shard).copied().unwrap_or_default();
            let (wait, at) = news.wait.unwrap_or((Duration::ZERO, now));
            let age = now.saturating_duration_since(at);
            let wait = wait.saturating_add(SENT_COST.saturating_mul(news.sent));
            // A shard that nothing was heard of has drained, or is worth a new look.
            (wait.saturating_sub(age), age)
        };
        let known: Vec<(Duration, Duration)> = shards.iter().map(drained).collect();
        let largest = known.iter().map(|it| it.0).max().unwrap_or_default();
        let estimates = shards.iter().zip(known).map(|(shard, (wait, age))| {
            let uniform = hash::hash_strs([tie_breaker, "wait", &shard.to_string()]);
            let uniform = (uniform as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            // Others have sent requests there meanwhile, at most as many as queues are long.
            let doubt = age.min(largest).mul_f64(-uniform.ln() * DOUBT);
            let cut = match self.is_cut(shard, now) {
                true => LOSS_COST,
                false => Duration::ZERO,
            };
            wait.saturating_add(doubt + cut)
        });
        estimates.collect()
    }

    fn is_cut(&self, shard: &Shard, now: Instant) -> bool {
        let lost_at = self.news.get(shard).and_then(|it| it.lost_at);
        lost_at.is_some_and(|it| now.saturating_duration_since(it) < LOSS_AGE_MAX)
    }
}
