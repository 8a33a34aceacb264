//! The platform's in-memory implementation with latency and injected faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use table::Commit;
use table::Error;
use table::Listing;
use table::Op;
use table::Platform;
use table::Read;
use table::Row;
use table::memory::MemoryStore;

use tokio::time::Instant;

use crate::process::Process;

/// Latency of a call without faults.
const CALL_LATENCY: Duration = Duration::from_millis(4);
/// Timeout of a client's calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a write for which stale reads still return the row as it was before.
pub const MAX_STALENESS: Duration = Duration::from_secs(2);

/// Injected faults of the platform.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether every call is refused without taking effect.
    pub outage: bool,
    /// Latency added to every call; beyond the timeout, a call takes effect and its answer is lost.
    pub added_latency: Duration,
    /// Number of further transactions whose answer is lost after they have taken effect.
    pub lose_answers: u32,
    /// Whether reads return the row as it was before its last write, for [`MAX_STALENESS`] after
    /// it.
    pub stale_reads: bool,
}

#[derive(Default)]
struct State {
    memory: MemoryStore,
    /// Each row as it was before its last write, and the time of that write.
    previous_rows: Vec<(Row, Instant)>,
    listing: Listing,
    faults: Faults,
    transactions: u64,
    writes: u64,
}

/// State of the simulated platform, shared by its clients.
#[derive(Default)]
pub struct Store(Mutex<State>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Replaces the list of instances.
    pub fn set_listing(&self, listing: Listing) {
        self.lock().listing = listing;
    }

    /// Returns the list of instances.
    #[must_use]
    pub fn listing(&self) -> Listing {
        self.lock().listing.clone()
    }

    /// Returns the number of transactions so far, and of the writes in them.
    #[must_use]
    pub fn write_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.transactions, state.writes)
    }

    /// Returns the newest version of the row under `key`, regardless of faults.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.lock().memory.row(key).cloned()
    }

    /// Creates a client through which `process` calls the platform.
    #[must_use]
    pub fn client(self: &Arc<Store>, process: Arc<Process>) -> Arc<dyn Platform> {
        Arc::new(Client {
            store: self.clone(),
            process,
        })
    }
}

struct Client {
    store: Arc<Store>,
    process: Arc<Process>,
}

impl Client {
    /// Waits until the request has reached the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform has an outage.
    async fn send_request(&self) -> Result<(), Error> {
        self.process.wait_until_running().await;
        let added_latency = self.store.lock().faults.added_latency;
        tokio::time::sleep(CALL_LATENCY + added_latency).await;
        match self.store.lock().faults.outage {
            true => Err(Error::Down),
            false => Ok(()),
        }
    }

    /// Waits until the process receives the answer.
    ///
    /// # Errors
    ///
    /// Fails when the added latency exceeds the timeout.
    async fn receive_answer<T>(&self, value: T) -> Result<T, Error> {
        let added_latency = self.store.lock().faults.added_latency;
        if added_latency > CALL_TIMEOUT {
            return Err(Error::Ambiguous);
        }
        self.process.wait_until_running().await;
        Ok(value)
    }

    async fn read(&self, key: String, known: Option<u64>) -> Result<Read, Error> {
        self.send_request().await?;
        let read = {
            let state = self.store.lock();
            let is_stale = |written: &Instant| written.elapsed() < MAX_STALENESS;
            let mut previous = state.previous_rows.iter();
            let stale = previous.find(|(row, written)| row.key == key && is_stale(written));
            let row = match stale.filter(|_| state.faults.stale_reads) {
                Some((row, _)) => Some(row.clone()),
                None => state.memory.row(&key).cloned(),
            };
            match row {
                None => Read::Absent,
                Some(row) if Some(row.version) == known => Read::Unchanged,
                Some(row) => Read::Row(row),
            }
        };
        self.receive_answer(read).await
    }

    async fn transact(&self, ops: Vec<Op>) -> Result<Commit, Error> {
        self.send_request().await?;
        let (commit, is_answer_lost) = {
            let mut state = self.store.lock();
            state.transactions += 1;
            state.writes += ops.len() as u64;
            for op in &ops {
                let row = state.memory.row(&op.key).cloned();
                state.previous_rows.retain(|(it, _)| it.key != op.key);
                let now = Instant::now();
                state.previous_rows.extend(row.map(|it| (it, now)));
            }
            let commit = state.memory.transact(ops);
            let is_answer_lost = state.faults.lose_answers > 0;
            state.faults.lose_answers -= u32::from(is_answer_lost);
            (commit, is_answer_lost)
        };
        if is_answer_lost {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(Error::Ambiguous);
        }
        self.receive_answer(commit).await
    }
}

impl Platform for Client {
    fn read(&self, key: String, known: Option<u64>) -> BoxFuture<'_, Result<Read, Error>> {
        Box::pin(Client::read(self, key, known))
    }

    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Commit, Error>> {
        Box::pin(Client::transact(self, ops))
    }

    fn put_object(&self, key: String, value: String) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            self.send_request().await?;
            self.store.lock().memory.put_object(key, value);
            self.receive_answer(()).await
        })
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<String>, Error>> {
        Box::pin(async move {
            self.send_request().await?;
            let object = self.store.lock().memory.object(&key).cloned();
            self.receive_answer(object).await
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Listing, Error>> {
        Box::pin(async move {
            self.send_request().await?;
            let listing = self.store.lock().listing.clone();
            self.receive_answer(listing).await
        })
    }
}
