//! The platform's transactional table, object store and instance list.
//!
//! [`Platform`] is what the rest of the system sees. [`http`] speaks the platform's protocol;
//! [`memory`] is the data structure behind the stand-ins. An error says whether a write may have
//! taken effect, so that no caller mistakes a lost answer for a refusal.

pub mod http;
pub mod memory;
pub mod protocol;

use futures_util::future::BoxFuture;

pub use protocol::Commit;
pub use protocol::Expect;
pub use protocol::ListedInstance;
pub use protocol::Listing;
pub use protocol::Op;
pub use protocol::Row;

/// Why a call of the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The platform refused or could not be reached; nothing took effect.
    Down,
    /// The answer was lost; a write may have taken effect.
    Ambiguous,
    /// The platform answered with something unexpected; a write may have taken effect.
    Protocol,
}

impl std::error::Error for Error {}

/// Result of a conditional read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// There is no such row.
    Absent,
    /// The row still has the version that the reader holds.
    Unchanged,
    /// The row.
    Row(Row),
}

/// The platform's services.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row, unless it still has version `known`.
    fn read(&self, key: String, known: Option<u64>) -> BoxFuture<'_, Result<Read, Error>>;

    /// Applies all operations, or none if an expectation fails.
    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Commit, Error>>;

    /// Stores an object under a key that is never reused.
    fn put_object(&self, key: String, value: String) -> BoxFuture<'_, Result<(), Error>>;

    /// Reads an object; `None` when there is none.
    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<String>, Error>>;

    /// The lagging list of instances.
    fn instances(&self) -> BoxFuture<'_, Result<Listing, Error>>;
}
