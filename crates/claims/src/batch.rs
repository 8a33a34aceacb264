//! Group commit: writes of a few milliseconds are batched into one transaction.
//!
//! The platform sustains only several hundred transactions per second, so independent conditional
//! writes share one. If a write conflicts, only that write fails; the others are committed without
//! it.

use std::sync::Arc;
use std::time::Duration;

use table::Commit;
use table::Error;
use table::Op;
use table::Platform;
use table::Row;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Time for which the first write of a batch waits for more writes.
pub const BATCH_WINDOW: Duration = Duration::from_millis(3);
/// Most operations in one transaction.
pub const MAX_BATCH_OPS: usize = 64;
/// Capacity of the queue of pending writes. Writers wait while it is full.
const QUEUE_CAPACITY: usize = 4096;

/// Result of one conditional write.
pub type WriteResult = Result<WriteOutcome, Error>;

/// Outcome of one conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; holds the new version of the row.
    Applied(u64),
    /// The condition failed; holds the current row, or `None` if there is none.
    Conflict(Option<Row>),
}

struct PendingWrite {
    op: Op,
    reply: oneshot::Sender<WriteResult>,
}

/// Commits conditional writes in batches. Cheap to clone.
#[derive(Clone)]
pub struct BatchWriter {
    platform: Arc<dyn Platform>,
    writes: mpsc::Sender<PendingWrite>,
    queue: Arc<Mutex<mpsc::Receiver<PendingWrite>>>,
}

impl BatchWriter {
    /// Creates a writer whose writes are committed while [`BatchWriter::serve`] runs.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> BatchWriter {
        let (writes, queue) = mpsc::channel(QUEUE_CAPACITY);
        BatchWriter {
            platform,
            writes,
            queue: Arc::new(Mutex::new(queue)),
        }
    }

    /// Batches and commits writes until the future is dropped. It may be called again, for example
    /// by a supervisor.
    pub async fn serve(self) {
        let mut queue = self.queue.lock().await;
        commit_batches(self.platform.clone(), &mut queue).await;
    }

    /// Queues `op` for the next batch and waits for its result.
    ///
    /// # Errors
    ///
    /// Fails as the platform does. After [`Error::Ambiguous`] or [`Error::Protocol`], the write may
    /// have taken effect.
    pub async fn write(&self, op: Op) -> WriteResult {
        let (reply, outcome) = oneshot::channel();
        if self.writes.send(PendingWrite { op, reply }).await.is_err() {
            return Err(Error::Down);
        }
        outcome.await.unwrap_or(Err(Error::Ambiguous))
    }
}

async fn commit_batches(platform: Arc<dyn Platform>, queue: &mut mpsc::Receiver<PendingWrite>) {
    // Transactions run concurrently, so a slow one does not delay the next batch.
    let mut commits = tokio::task::JoinSet::new();
    while let Some(first) = queue.recv().await {
        tokio::time::sleep(BATCH_WINDOW).await;
        let mut writes = vec![first];
        while writes.len() < MAX_BATCH_OPS {
            let Ok(write) = queue.try_recv() else {
                break;
            };
            writes.push(write);
        }
        while commits.try_join_next().is_some() {}
        commits.spawn(commit(platform.clone(), writes));
    }
    while commits.join_next().await.is_some() {}
}

async fn commit(platform: Arc<dyn Platform>, mut writes: Vec<PendingWrite>) {
    // Two writes of one row cannot share a transaction. The later one is committed in the next,
    // where its own condition decides.
    while !writes.is_empty() {
        let (distinct, rest) = split_distinct(writes);
        writes = rest;
        writes.extend(commit_distinct(&platform, distinct).await);
    }
}

/// Splits off the first write of each row; returns these and the rest.
fn split_distinct(writes: Vec<PendingWrite>) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let mut keys = std::collections::BTreeSet::new();
    writes
        .into_iter()
        .partition(|write| keys.insert(write.op.key.clone()))
}

/// Commits `writes` in one transaction. If any of them conflict, answers only those and returns the
/// others for another attempt.
async fn commit_distinct(
    platform: &Arc<dyn Platform>,
    writes: Vec<PendingWrite>,
) -> Vec<PendingWrite> {
    let ops = writes.iter().map(|write| write.op.clone()).collect();
    match platform.transact(ops).await {
        Ok(Commit::Applied(versions)) => {
            for (write, version) in writes.into_iter().zip(versions) {
                // Sending fails if the writer was dropped; it finds its write by reading the row.
                let _ = write.reply.send(Ok(WriteOutcome::Applied(version)));
            }
            Vec::new()
        }
        Ok(Commit::Conflict(conflicts)) => {
            let mut rest = Vec::new();
            for (idx, write) in writes.into_iter().enumerate() {
                match conflicts.iter().find(|it| it.op == idx) {
                    Some(conflict) => {
                        let _ = write
                            .reply
                            .send(Ok(WriteOutcome::Conflict(conflict.row.clone())));
                    }
                    None => rest.push(write),
                }
            }
            rest
        }
        Err(err) => {
            for write in writes {
                let _ = write.reply.send(Err(err));
            }
            Vec::new()
        }
    }
}
