//! A replica of the store's rows that every instance keeps, and serves to instances that cannot
//! reach the store.
//!
//! The store numbers all row versions from one counter, so replicas merge by keeping the newer
//! version of each row, whichever source it comes from. The mirror stores values as opaque bytes
//! and performs no I/O.

pub mod era;
pub mod tree;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoEnumIterator;

pub use era::Era;

/// A mirrored table.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// Configuration; written by operators.
    Operators,
    /// Registrations; written by upstreams.
    Upstreams,
    /// Instances of this system; written by themselves.
    Members,
}

/// A version of a row, or its tombstone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Table of the row.
    pub table: Table,
    /// Key within the table.
    pub key: String,
    /// Version of the transaction that wrote or deleted the row.
    pub version: u64,
    /// Value; `None` for a tombstone.
    pub value: Option<Vec<u8>>,
}

/// Rows of one table and the version up to which they are complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Era of the store that sent them.
    pub era: Era,
    /// Rows; those of a feed include deleted ones.
    pub rows: Vec<Row>,
    /// Version of the table up to which no change is missing. Single rows may be newer.
    pub version: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Option<Vec<u8>>,
}

/// The local replica of all tables.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<(Table, String), Entry>,
    synced_versions: BTreeMap<Table, u64>,
}

/// Maximum number of tombstones; they are kept so that deletions reach other instances.
const TOMBSTONES_MAX: usize = 2_000;

impl Mirror {
    /// Version up to which the store's changes of the table are merged; `None` before its first
    /// full read and after [`Mirror::reset_sync`].
    #[must_use]
    pub fn synced_version(&self, table: Table) -> Option<u64> {
        self.synced_versions.get(&table).copied()
    }

    /// Version up to which the replica holds every change of the table: that of the last full read
    /// or change feed, or of a newer row that another replica sent in order.
    #[must_use]
    pub fn complete_version(&self, table: Table) -> Option<u64> {
        let synced = self.synced_version(table)?;
        let rows = self.rows.iter().filter(|(row_key, _)| row_key.0 == table);
        let newest = rows.map(|(_, it)| it.version).max();
        Some(synced.max(newest.unwrap_or(0)))
    }

    /// Marks a table as not synced: the store no longer has the history since the last read, so the
    /// table must be read in full.
    pub fn reset_sync(&mut self, table: Table) {
        self.synced_versions.remove(&table);
    }

    /// Newest version held of each table, in table order; 0 for empty tables.
    #[must_use]
    pub fn positions(&self) -> Vec<(Table, u64)> {
        let mut positions = BTreeMap::new();
        for table in Table::iter() {
            positions.insert(table, 0);
        }
        for ((table, _), entry) in &self.rows {
            let position = positions.entry(*table).or_default();
            *position = entry.version.max(*position);
        }
        positions.into_iter().collect()
    }

    /// Merges all changes of `table` up to version `synced`. Returns the rows that were new.
    pub fn apply_changes(&mut self, table: Table, rows: Vec<Row>, synced: u64) -> Vec<Row> {
        let changed_rows = self.merge(rows);
        let current = self.synced_versions.entry(table).or_default();
        *current = synced.max(*current);
        changed_rows
    }

    /// Merges a full read of a table at `version`: rows missing from it are deleted unless they are
    /// newer. Returns the rows that changed.
    pub fn apply_snapshot(&mut self, table: Table, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let listed: std::collections::BTreeSet<&str> =
            rows.iter().map(|it| it.key.as_str()).collect();
        let missing = self.rows.iter().filter(|((row_table, key), entry)| {
            let is_listed = *row_table != table || listed.contains(key.as_str());
            !is_listed && entry.value.is_some() && entry.version <= version
        });
        let mut changed: Vec<Row> = missing
            .map(|((_, key), _)| Row {
                table,
                key: key.clone(),
                version,
                value: None,
            })
            .collect();
        changed.extend(rows);
        self.apply_changes(table, changed, version)
    }

    /// Merges rows, such as those from another instance, by keeping the newer version of each;
    /// returns those that were new.
    pub fn merge(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut changed_rows = Vec::new();
        for row in rows {
            let row_key = (row.table, row.key.clone());
            let is_known = self
                .rows
                .get(&row_key)
                .is_some_and(|it| it.version >= row.version);
            if is_known {
                continue;
            }
            let entry = Entry {
                version: row.version,
                value: row.value.clone(),
            };
            self.rows.insert(row_key, entry);
            changed_rows.push(row);
        }
        self.prune_tombstones();
        changed_rows
    }

    /// Rows newer than another replica's [`Mirror::positions`], oldest version first.
    #[must_use]
    pub fn rows_since(&self, positions: &[(Table, u64)]) -> Vec<Row> {
        let is_newer = |table: Table, version: u64| {
            let position = positions.iter().find(|it| it.0 == table);
            position.is_none_or(|it| version > it.1)
        };
        let newer = self
            .rows
            .iter()
            .filter(|(row_key, it)| is_newer(row_key.0, it.version));
        let mut rows: Vec<Row> = newer
            .map(|((table, key), entry)| Row {
                table: *table,
                key: key.clone(),
                version: entry.version,
                value: entry.value.clone(),
            })
            .collect();
        rows.sort_by_key(|it| it.version);
        rows
    }

    fn prune_tombstones(&mut self) {
        let tombstones = self.rows.iter().filter(|(_, it)| it.value.is_none());
        let mut tombstones: Vec<(u64, (Table, String))> = tombstones
            .map(|(row_key, it)| (it.version, row_key.clone()))
            .collect();
        if tombstones.len() <= TOMBSTONES_MAX {
            return;
        }
        tombstones.sort_by_key(|it| it.0);
        let excess = tombstones.len() - TOMBSTONES_MAX;
        for (_, row_key) in tombstones.into_iter().take(excess) {
            self.rows.remove(&row_key);
        }
    }
}
