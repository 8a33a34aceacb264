//! Writes rows of this system again that the store lost when it came back from an older copy.
//!
//! Instances register themselves again. All other rows belong to the deployment: its certificates,
//! recorded losses and software versions. Every instance knows them, and mostly one of the readers
//! writes them, so that the number of calls does not grow with the deployment.

use std::sync::Arc;
use std::time::Duration;

use mirror::Table;
use platform::rows;
use platform::store;
use platform::store::Precondition;
use tokio::time::Instant;

use crate::follow;
use crate::follow::Backoff;
use crate::state::Node;

/// Interval at which lost rows are looked for while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after rows were written: they appear in the replica, or were written by another instance.
const WRITE_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(8);

/// Writes lost rows whenever there are any; never returns.
pub(crate) async fn run(node: Arc<Node>, client: store::Client) {
    let others_delay = follow::draw_others_delay();
    let mut lost_since = None;
    let mut backoff = Backoff::new();
    loop {
        let lost = lost_rows(&node);
        if lost.is_empty() {
            lost_since = None;
            node.rows_lost.notified().await;
            continue;
        }
        let since = *lost_since.get_or_insert_with(Instant::now);
        let delay = follow::write_delay(&node, others_delay);
        if since.elapsed() < delay || node.is_shutting_down() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        match client.put(&lost, Precondition::Absent).await {
            Ok(()) => {
                slog::info!(node.logger(), "rows_restored"; "rows" => lost.len());
                backoff.reset();
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            // Some are there again, and will be seen.
            Err(store::Error::Conflict) => tokio::time::sleep(WRITE_PAUSE).await,
            Err(err) => {
                slog::warn!(node.logger(), "rows_not_restored"; "reason" => %err);
                backoff.wait(FAILURE_PAUSE_MAX).await;
            }
        }
    }
}

/// Lost rows that any instance may write, as many as fit in a transaction.
fn lost_rows(node: &Node) -> Vec<(String, Vec<u8>)> {
    let copy = node.store_copy();
    let lost = copy.mirror.lost(Table::Members);
    let lost = lost.filter(|it| rows::parse_member_key(it.0).is_none());
    let lost = lost.map(|(key, value)| (key.to_owned(), value.to_vec()));
    lost.take(store::TRANSACTION_ROWS_MAX / 2).collect()
}
