//! Time limits in which this process runs.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Number of parts into which a limit is divided. A part may last longer than planned if the process
/// stalls, as it does for up to 100 ms in each 100 ms of a small processor quota.
const PARTS: u32 = 6;

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
