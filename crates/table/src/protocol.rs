//! Messages of the platform's HTTP protocol.
//!
//! | call | request | response |
//! |---|---|---|
//! | read | `GET /v1/rows/{key}`, `If-None-Match: "{version}"` | 200 [`Row`], 304, 404 |
//! | transact | `POST /v1/transact` [`Transaction`] | 200 or 409 [`Commit`] |
//! | put object | `PUT /v1/objects/{key}` | 204 |
//! | get object | `GET /v1/objects/{key}` | 200, 404 |
//! | instances | `GET /v1/instances` | 200 [`Listing`] |
//!
//! Each key is one percent-encoded path segment. Status 503 means that nothing took effect.

use std::net::SocketAddr;

use base::id;
use serde::Deserialize;
use serde::Serialize;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in the table.
    pub key: String,
    /// Version; increases with every write to the row.
    pub version: u64,
    /// Value, in a format that the writer chooses.
    pub value: String,
}

/// Condition under which an operation is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key of the row.
    pub key: String,
    /// Condition on the current row.
    pub expect: Expect,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// Operations that are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Operations, in the order in which they are applied.
    pub ops: Vec<Op>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All operations were applied. Holds the new version of each row, in the order of the
    /// operations.
    Applied(Vec<u64>),
    /// No operation was applied. Holds the operations whose condition failed.
    Conflict(Vec<Conflict>),
}

/// An operation whose condition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Index of the operation in the transaction.
    pub op: usize,
    /// The current row; `None` if it does not exist.
    pub row: Option<Row>,
}

/// The platform's list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Listed instances, in no particular order.
    pub instances: Vec<ListedInstance>,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Address of its dispatcher.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub is_leaving: bool,
}
