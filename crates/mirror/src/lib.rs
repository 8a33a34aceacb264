//! A copy of the store's rows that every instance keeps, and passes on to instances that the store
//! does not answer.
//!
//! Row versions come from one counter of the store, so copies merge by taking the newer version of
//! each row, from whichever source it arrives. The mirror keeps rows as bytes and knows no format;
//! it performs no I/O.

pub mod tree;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoEnumIterator;

/// A table that is mirrored.
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
    /// Written by operators.
    Operators,
    /// Written by upstreams.
    Upstreams,
    /// Written by the instances of this system.
    Members,
}

/// A row, or the knowledge that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Table.
    pub table: Table,
    /// Key within the table.
    pub key: String,
    /// Version of the transaction that wrote or deleted it.
    pub version: u64,
    /// Value; `None` once deleted.
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Option<Vec<u8>>,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<(Table, String), Entry>,
    synced: BTreeMap<Table, u64>,
}

/// Deleted rows that are kept so that other instances learn of them.
const TOMBSTONES_MAX: usize = 2_000;

impl Mirror {
    /// Version up to which the table is known completely; `None` before its first full read.
    #[must_use]
    pub fn synced_version(&self, table: Table) -> Option<u64> {
        self.synced.get(&table).copied()
    }

    /// Version up to which every change of the table is held: that of the last full read or feed,
    /// or of a newer row that another copy passed on in order.
    #[must_use]
    pub fn complete_version(&self, table: Table) -> Option<u64> {
        let synced = self.synced_version(table)?;
        let rows = self.rows.iter().filter(|(place, _)| place.0 == table);
        let newest = rows.map(|(_, it)| it.version).max();
        Some(synced.max(newest.unwrap_or(0)))
    }

    /// Forgets up to which version a table is known: its history is gone and it must be read anew.
    pub fn reset_sync(&mut self, table: Table) {
        self.synced.remove(&table);
    }

    /// Newest version of each table, in the order of its changes.
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

    /// Merges rows that changed, known to be all changes of `table` up to `synced`. Returns the
    /// rows that were news.
    pub fn apply_changes(&mut self, table: Table, rows: Vec<Row>, synced: u64) -> Vec<Row> {
        let news = self.merge(rows);
        let known = self.synced.entry(table).or_default();
        *known = synced.max(*known);
        news
    }

    /// Replaces a table by a full read as of `version`: rows that the read lacks are deleted.
    pub fn apply_snapshot(&mut self, table: Table, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let listed: std::collections::BTreeSet<&str> =
            rows.iter().map(|it| it.key.as_str()).collect();
        let missing = self.rows.iter().filter(|((of, key), entry)| {
            let is_listed = *of != table || listed.contains(key.as_str());
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

    /// Merges rows from another instance; returns those that were news.
    pub fn merge(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut news = Vec::new();
        for row in rows {
            let place = (row.table, row.key.clone());
            let is_known = self
                .rows
                .get(&place)
                .is_some_and(|it| it.version >= row.version);
            if is_known {
                continue;
            }
            let entry = Entry {
                version: row.version,
                value: row.value.clone(),
            };
            self.rows.insert(place, entry);
            news.push(row);
        }
        self.trim();
        news
    }

    /// Rows newer than the positions of another copy, oldest first.
    #[must_use]
    pub fn rows_since(&self, positions: &[(Table, u64)]) -> Vec<Row> {
        let is_newer = |table: Table, version: u64| {
            let position = positions.iter().find(|it| it.0 == table);
            position.is_none_or(|it| version > it.1)
        };
        let newer = self
            .rows
            .iter()
            .filter(|(place, it)| is_newer(place.0, it.version));
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

    fn trim(&mut self) {
        let tombstones = self.rows.iter().filter(|(_, it)| it.value.is_none());
        let mut tombstones: Vec<(u64, (Table, String))> = tombstones
            .map(|(place, it)| (it.version, place.clone()))
            .collect();
        if tombstones.len() <= TOMBSTONES_MAX {
            return;
        }
        tombstones.sort_by_key(|it| it.0);
        let excess = tombstones.len() - TOMBSTONES_MAX;
        for (_, place) in tombstones.into_iter().take(excess) {
            self.rows.remove(&place);
        }
    }
}
