//! Group commit: one transaction carries the writes of a few milliseconds.
//!
//! The platform bears several hundred transactions a second. Independent conditional writes are
//! gathered and sent as one transaction; a conflict of one write takes only that write out.

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

/// Time for which the first write of a batch waits for others.
pub const BATCH_WINDOW: Duration = Duration::from_millis(3);
/// Most operations in one transaction.
pub const MAX_BATCH_OPS: usize = 64;
const QUEUE_CAPACITY: usize = 4096;

/// Outcome of one write.
pub type WriteResult = Result<WriteOutcome, Error>;

/// What became of one conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied as this version.
    Applied(u64),
    /// Not applied; the row as it is.
    Conflict(Option<Row>),
}

struct PendingWrite {
    op: Op,
    done: oneshot::Sender<WriteResult>,
}

/// Writes that are gathered; cheap to clone.
#[derive(Clone)]
pub struct BatchWriter {
    platform: Arc<dyn Platform>,
    jobs: mpsc::Sender<PendingWrite>,
    queue: Arc<Mutex<mpsc::Receiver<PendingWrite>>>,
}

impl BatchWriter {
    /// A batch whose writes go out while [`BatchWriter::serve`] runs.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> BatchWriter {
        let (jobs, queue) = mpsc::channel(QUEUE_CAPACITY);
        BatchWriter {
            platform,
            jobs,
            queue: Arc::new(Mutex::new(queue)),
        }
    }

    /// Gathers and commits writes until it is dropped. A supervisor may start it again.
    pub async fn serve(self) {
        let mut queue = self.queue.lock().await;
        serve(self.platform.clone(), &mut queue).await;
    }

    /// Writes `op` with others.
    ///
    /// # Errors
    ///
    /// Fails as the platform does; an ambiguous failure may have taken effect.
    pub async fn write(&self, op: Op) -> WriteResult {
        let (done, outcome) = oneshot::channel();
        if self.jobs.send(PendingWrite { op, done }).await.is_err() {
            return Err(Error::Down);
        }
        outcome.await.unwrap_or(Err(Error::Ambiguous))
    }
}

async fn serve(platform: Arc<dyn Platform>, queue: &mut mpsc::Receiver<PendingWrite>) {
    // Transactions overlap, so a slow one does not hold the next batch up.
    let mut commits = tokio::task::JoinSet::new();
    while let Some(first) = queue.recv().await {
        tokio::time::sleep(BATCH_WINDOW).await;
        let mut jobs = vec![first];
        while jobs.len() < MAX_BATCH_OPS {
            let Ok(job) = queue.try_recv() else {
                break;
            };
            jobs.push(job);
        }
        while commits.try_join_next().is_some() {}
        commits.spawn(commit(platform.clone(), jobs));
    }
    while commits.join_next().await.is_some() {}
}

async fn commit(platform: Arc<dyn Platform>, mut jobs: Vec<PendingWrite>) {
    // Two writes of one row cannot share a transaction; the later one conflicts by itself.
    while !jobs.is_empty() {
        let (distinct, rest) = split_distinct(jobs);
        jobs = rest;
        jobs.extend(commit_distinct(&platform, distinct).await);
    }
}

fn split_distinct(jobs: Vec<PendingWrite>) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let mut keys = std::collections::BTreeSet::new();
    jobs.into_iter()
        .partition(|job| keys.insert(job.op.key.clone()))
}

/// Commits what does not conflict and returns the writes that are to be tried again.
async fn commit_distinct(
    platform: &Arc<dyn Platform>,
    jobs: Vec<PendingWrite>,
) -> Vec<PendingWrite> {
    let ops = jobs.iter().map(|job| job.op.clone()).collect();
    match platform.transact(ops).await {
        Ok(Commit::Applied(versions)) => {
            for (job, version) in jobs.into_iter().zip(versions) {
                // A writer that has gone resolves its write by reading the row.
                let _ = job.done.send(Ok(WriteOutcome::Applied(version)));
            }
            Vec::new()
        }
        Ok(Commit::Conflict(conflicts)) => {
            let mut rest = Vec::new();
            for (idx, job) in jobs.into_iter().enumerate() {
                match conflicts.iter().find(|it| it.op == idx) {
                    Some(conflict) => {
                        let _ = job
                            .done
                            .send(Ok(WriteOutcome::Conflict(conflict.row.clone())));
                    }
                    None => rest.push(job),
                }
            }
            rest
        }
        Err(err) => {
            for job in jobs {
                let _ = job.done.send(Err(err));
            }
            Vec::new()
        }
    }
}
