//! In-memory table and object store with the semantics of the platform.
//!
//! It injects no faults; stand-ins and fakes do so in their wrappers.

use std::collections::BTreeMap;

use crate::Commit;
use crate::Expect;
use crate::Op;
use crate::Row;
use crate::protocol::Conflict;

/// Rows and objects by key.
#[derive(Debug, Default)]
pub struct MemoryStore {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
    last_version: u64,
}

impl MemoryStore {
    /// The row under `key`.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// All rows whose key starts with `prefix`.
    pub fn rows_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows
            .range(prefix.to_owned()..)
            .map(|(_, row)| row)
            .take_while(move |row| row.key.starts_with(prefix))
    }

    /// Applies all operations, or none if the condition of any of them fails.
    pub fn transact(&mut self, ops: Vec<Op>) -> Commit {
        let conflicts: Vec<Conflict> = ops
            .iter()
            .enumerate()
            .filter(|(_, op)| !self.is_condition_met(op))
            .map(|(idx, op)| Conflict {
                op: idx,
                row: self.rows.get(&op.key).cloned(),
            })
            .collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        Commit::Applied(ops.into_iter().map(|op| self.apply(op)).collect())
    }

    /// Stores an object.
    pub fn put_object(&mut self, key: String, value: String) {
        self.objects.insert(key, value);
    }

    /// The object under `key`.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<&String> {
        self.objects.get(key)
    }

    fn is_condition_met(&self, op: &Op) -> bool {
        let version = self.rows.get(&op.key).map(|row| row.version);
        match op.expect {
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        }
    }

    fn apply(&mut self, op: Op) -> u64 {
        // All rows share one counter, so that a row that is deleted and created again never reuses
        // a version.
        self.last_version += 1;
        let version = self.last_version;
        match op.value {
            Some(value) => {
                let key = op.key.clone();
                let row = Row {
                    key: op.key,
                    version,
                    value,
                };
                self.rows.insert(key, row);
            }
            None => {
                self.rows.remove(&op.key);
            }
        }
        version
    }
}
