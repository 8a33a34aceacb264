//! Messages of the platform's HTTP protocol.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /v1/rows/{key}`, `If-None-Match: "{version}"` | 200 [`Row`], 304, 404 |
//! | transact | `POST /v1/transact` [`Transaction`] | 200 or 409 [`Commit`] |
//! | put object | `PUT /v1/objects/{key}` | 204 |
//! | get object | `GET /v1/objects/{key}` | 200, 404 |
//! | instances | `GET /v1/instances` | 200 [`Listing`] |
//!
//! Keys are percent-encoded path segments. 503 means that nothing took effect.

use std::net::SocketAddr;

use base::id;
use serde::Deserialize;
use serde::Serialize;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version, raised by every write.
    pub version: u64,
    /// Value, in the writer's own format.
    pub value: String,
}

/// Condition of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key of the row.
    pub key: String,
    /// Condition.
    pub expect: Expect,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// All-or-nothing set of operations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Operations.
    pub ops: Vec<Op>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// Applied; the new version of each operation's row.
    Applied(Vec<u64>),
    /// Nothing was applied.
    Conflict(Vec<Conflict>),
}

/// An operation whose expectation failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Index of the operation.
    pub op: usize,
    /// The row as it is, if it exists.
    pub row: Option<Row>,
}

/// The platform's list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Instances, in no particular order.
    pub instances: Vec<ListedInstance>,
}

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Instance.
    pub instance: id::Instance,
    /// Availability zone.
    pub zone: id::Zone,
    /// Dispatcher address.
    pub address: SocketAddr,
    /// Whether the platform is taking it away.
    pub is_leaving: bool,
}
