//! Time limits in which this process runs.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;

/// Number of parts into which a limit is divided. A part may last longer than planned if the process
/// stalls, as it does for up to 100 ms in each 100 ms of a small processor quota.
const PARTS: u32 = 6;
/// Slowest rate in bytes per second at which an answer may arrive: dozens of instances share the link
/// of the one that answers.
const RATE_MIN: u32 = 16 * 1024;

/// Waits for `future`; `None` if it isn't done within `limit`. A stall of this process counts as a
/// part of the limit, not in full: it isn't evidence against the one that is waited for, whose answer
/// may lie in a buffer of this process.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    for _ in 0..PARTS {
        if let Ok(value) = tokio::time::timeout(limit / PARTS, &mut future).await {
            return Some(value);
        }
        // Tasks that read from sockets run before the next part ends.
        tokio::task::yield_now().await;
    }
    None
}

/// Like [`within`], but goes on while `received` rises, the number of bytes that have arrived, at
/// [`RATE_MIN`] on average.
pub async fn while_receiving<T>(
    limit: Duration,
    received: impl Fn() -> usize,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    let started_at = Instant::now();
    let mut before = 0;
    loop {
        if let Some(value) = within(limit, &mut future).await {
            return Some(value);
        }
        let count = received();
        let expected = Duration::from_secs_f64(count as f64 / f64::from(RATE_MIN));
        if count == before || started_at.elapsed() > limit + expected {
            return None;
        }
        before = count;
    }
}
