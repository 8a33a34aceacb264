//! The platform's transactional table, object store and instance list.
//!
//! The rest of the system uses them through the trait [`Platform`]. [`http`] implements it as a
//! client of the platform's HTTP protocol; [`memory`] holds the rows and objects of stand-ins and
//! fakes. An [`Error`] tells whether a write may have taken effect, so that no caller mistakes a
//! lost response for a refusal.

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

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The platform refused or could not be reached; nothing took effect.
    Down,
    /// The response was lost; a write may have taken effect.
    Ambiguous,
    /// The platform sent an unexpected status or a malformed body; a write may have taken effect.
    Protocol,
}

impl std::error::Error for Error {}

/// Result of a conditional read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// No row has this key.
    Absent,
    /// The row still has the version that the caller knows.
    Unchanged,
    /// The row, in a version that the caller does not know.
    Row(Row),
}

/// The services of the platform.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row; [`Read::Unchanged`] if its version is still `known`.
    fn read(&self, key: String, known: Option<u64>) -> BoxFuture<'_, Result<Read, Error>>;

    /// Applies all operations atomically, or none if the condition of any of them fails.
    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Commit, Error>>;

    /// Stores an object under a key that is never reused.
    fn put_object(&self, key: String, value: String) -> BoxFuture<'_, Result<(), Error>>;

    /// Reads an object; `None` if there is none under `key`.
    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<String>, Error>>;

    /// Reads the list of instances, which lags behind their actual state.
    fn instances(&self) -> BoxFuture<'_, Result<Listing, Error>>;
}
