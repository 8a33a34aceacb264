//! The platform with faults.

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

/// Time of an undisturbed call.
const LATENCY: Duration = Duration::from_millis(4);
/// Time after which a client gives a call up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Longest lag of a stale read behind its row.
pub const STALE_TIME: Duration = Duration::from_secs(2);

/// Faults of the platform.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Refuses every call.
    pub outage: bool,
    /// Delays every call.
    pub slow: Duration,
    /// Loses the answers of this many writes after they took effect.
    pub lose_answers: u32,
    /// Serves reads of the state before the last write, for [`STALE_TIME`] after it.
    pub stale_reads: bool,
}

#[derive(Default)]
struct State {
    memory: MemoryStore,
    /// Rows before their last write, and when that was.
    previous: Vec<(Row, Instant)>,
    listing: Listing,
    faults: Faults,
    transactions: u64,
    writes: u64,
}

/// The platform.
#[derive(Default)]
pub struct Store(Mutex<State>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Changes the list of instances.
    pub fn set_listing(&self, listing: Listing) {
        self.lock().listing = listing;
    }

    /// The list of instances.
    #[must_use]
    pub fn listing(&self) -> Listing {
        self.lock().listing.clone()
    }

    /// Transactions and single writes so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.transactions, state.writes)
    }

    /// The row under `key`.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.lock().memory.row(key).cloned()
    }

    /// The platform as `process` sees it.
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
    /// Waits for the call to reach the platform.
    async fn arrive(&self) -> Result<(), Error> {
        self.process.pass().await;
        let slow = self.store.lock().faults.slow;
        tokio::time::sleep(LATENCY + slow).await;
        match self.store.lock().faults.outage {
            true => Err(Error::Down),
            false => Ok(()),
        }
    }

    async fn answer<T>(&self, value: T) -> Result<T, Error> {
        let slow = self.store.lock().faults.slow;
        if slow > TIMEOUT {
            return Err(Error::Ambiguous);
        }
        self.process.pass().await;
        Ok(value)
    }

    async fn read(&self, key: String, known: Option<u64>) -> Result<Read, Error> {
        self.arrive().await?;
        let read = {
            let state = self.store.lock();
            let is_stale = |written: &Instant| written.elapsed() < STALE_TIME;
            let mut previous = state.previous.iter();
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
        self.answer(read).await
    }

    async fn transact(&self, ops: Vec<Op>) -> Result<Commit, Error> {
        self.arrive().await?;
        let (commit, is_lost) = {
            let mut state = self.store.lock();
            state.transactions += 1;
            state.writes += ops.len() as u64;
            for op in &ops {
                let row = state.memory.row(&op.key).cloned();
                state.previous.retain(|(it, _)| it.key != op.key);
                let now = Instant::now();
                state.previous.extend(row.map(|it| (it, now)));
            }
            let commit = state.memory.transact(ops);
            let is_lost = state.faults.lose_answers > 0;
            state.faults.lose_answers -= u32::from(is_lost);
            (commit, is_lost)
        };
        if is_lost {
            tokio::time::sleep(TIMEOUT).await;
            return Err(Error::Ambiguous);
        }
        self.answer(commit).await
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
            self.arrive().await?;
            self.store.lock().memory.put_object(key, value);
            self.answer(()).await
        })
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<String>, Error>> {
        Box::pin(async move {
            self.arrive().await?;
            let object = self.store.lock().memory.object(&key).cloned();
            self.answer(object).await
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Listing, Error>> {
        Box::pin(async move {
            self.arrive().await?;
            let listing = self.store.lock().listing.clone();
            self.answer(listing).await
        })
    }
}
