//! A replica of the store's rows that every instance keeps, and serves to instances that cannot
//! reach the store.
//!
//! Within an [`Era`] the store numbers all row versions from one counter, so replicas merge by
//! keeping the newer version of each row, whichever source it comes from. Versions of different
//! eras cannot be compared: each table belongs to one era, rows of an earlier one are ignored, and
//! those of a later one replace the table as a whole. The mirror stores values as opaque bytes and
//! performs no I/O.

pub mod duty;
pub mod era;
pub mod freshness;
pub mod pack;
pub mod search;
pub mod succession;
pub mod tree;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoEnumIterator;

pub use era::Era;

use pack::Held;
use pack::History;
use pack::Packed;

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

/// How far a replica's copy of a table reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The table.
    pub table: Table,
    /// Era of its rows; the default before any was read.
    pub era: Era,
    /// Newest version held; 0 for an empty table.
    pub version: u64,
}

/// What a replica sends to another one whose position in a table differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The table.
    pub table: Table,
    /// Era of the rows.
    pub era: Era,
    /// Version up to which the receiver holds every change afterwards.
    pub version: u64,
    /// Whether the rows are the whole table, rather than those above the receiver's position.
    pub is_full: bool,
    /// Rows, oldest version first.
    pub rows: Vec<Row>,
}

/// Effect of rows on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The rows that were new.
    Merged(Vec<Row>),
    /// The table was replaced because the store came back from an older copy.
    Replaced(Replacement),
    /// The rows belong to another era than the table, and none was used.
    OtherEra,
}

/// How a table differs from the one that it replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replacement {
    /// Rows with another version or value than before. A row that is merely back is left out: its
    /// deletion was known, and its writer has not written it since.
    pub changed: Vec<Row>,
    /// Rows that are no longer there, as they were before.
    pub lost: Vec<Row>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    version: u64,
    value: Option<Vec<u8>>,
    /// For a tombstone, the version of the value that it deleted.
    deleted_version: Option<u64>,
}

/// The replica of one table.
#[derive(Clone, Debug, Default)]
struct Content {
    /// `None` before any row was read.
    era: Option<Era>,
    /// Version up to which the first copy of the table in its era was complete; 0 if changes built
    /// the table up.
    era_start: u64,
    rows: BTreeMap<String, Entry>,
    synced_version: Option<u64>,
    /// Highest version of a tombstone that was dropped.
    pruned_version: u64,
    /// Rows that the store lost when it came back from an older copy and that were not written
    /// again yet, with their values.
    lost: BTreeMap<String, Vec<u8>>,
    /// Whether rows of unknown era were merged.
    is_unverified: bool,
    history: History,
}

/// The local replica of all tables.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    tables: BTreeMap<Table, Content>,
    has_replaced: bool,
}

/// Maximum number of tombstones of a table; they are kept so that deletions reach other instances.
const TOMBSTONES_MAX: usize = 2_000;

impl Content {
    fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    fn newest_version(&self) -> u64 {
        let versions = self.rows.values().map(|it| it.version);
        versions.max().unwrap_or_default()
    }

    fn complete_version(&self) -> Option<u64> {
        let synced = self.synced_version?;
        Some(synced.max(self.newest_version()))
    }

    /// Whether a replica at `position` needs the whole table.
    fn needs_all(&self, position: Position) -> bool {
        position.era < self.era() || position.version < self.pruned_version
    }

    /// Keeps the newer version of each row; returns those that were new.
    fn merge(&mut self, rows: Vec<Row>) -> Vec<Row> {
        // An unknown row that is not above it was deleted since, and arrives late.
        let complete_version = self.complete_version().unwrap_or_default();
        let mut changed_rows = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key);
            let held_version = known.map_or(complete_version, |it| it.version);
            if held_version >= row.version {
                continue;
            }
            let live_version = known.and_then(|it| match it.value {
                Some(_) => Some(it.version),
                None => it.deleted_version,
            });
            let entry = Entry {
                version: row.version,
                value: row.value.clone(),
                deleted_version: live_version.filter(|_| row.value.is_none()),
            };
            self.lost.remove(&row.key);
            let former = self.rows.insert(row.key.clone(), entry);
            match former.filter(|_| row.value.is_some()) {
                Some(former) => self.history.keep(&row.key, former.version, former.value),
                None => self.history.forget(&row.key),
            }
            changed_rows.push(row);
        }
        self.prune_tombstones();
        changed_rows
    }

    /// Merges the whole table as of `version`: rows that are missing are deleted unless they are
    /// newer.
    fn merge_all(&mut self, table: Table, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let listed: BTreeSet<&str> = rows.iter().map(|it| it.key.as_str()).collect();
        let missing = self.rows.iter().filter(|(key, entry)| {
            !listed.contains(key.as_str()) && entry.value.is_some() && entry.version <= version
        });
        let mut changed: Vec<Row> = missing
            .map(|(key, _)| Row {
                table,
                key: key.clone(),
                version,
                value: None,
            })
            .collect();
        changed.extend(rows.into_iter().filter(|it| it.version <= version));
        self.merge(changed)
    }

    /// Replaces the table by that of another era as of `version`.
    fn replace(&mut self, table: Table, era: Era, rows: Vec<Row>, version: u64) -> Replacement {
        let before = std::mem::take(self);
        self.era = Some(era);
        self.era_start = version;
        self.synced_version = Some(version);
        self.lost = before.lost;
        let mut replacement = Replacement::default();
        let listed: BTreeSet<String> = rows.iter().map(|it| it.key.clone()).collect();
        for row in rows.into_iter().filter(|it| it.version <= version) {
            let known = before.rows.get(&row.key);
            let is_same =
                known.is_some_and(|it| it.version == row.version && it.value == row.value);
            let is_back = known.is_some_and(|it| it.deleted_version == Some(row.version));
            let entry = Entry {
                version: row.version,
                value: row.value.clone(),
                deleted_version: None,
            };
            self.rows.insert(row.key.clone(), entry);
            if !is_same && !is_back {
                replacement.changed.push(row);
            }
        }
        for (key, entry) in before.rows {
            let Some(value) = entry.value.filter(|_| !listed.contains(&key)) else {
                continue;
            };
            self.lost.insert(key.clone(), value.clone());
            replacement.lost.push(Row {
                table,
                key,
                version: entry.version,
                value: Some(value),
            });
        }
        self.lost.retain(|key, _| !listed.contains(key));
        replacement
    }

    fn row(&self, table: Table, key: &str) -> Option<Row> {
        let entry = self.rows.get(key)?;
        Some(Row {
            table,
            key: key.to_owned(),
            version: entry.version,
            value: entry.value.clone(),
        })
    }

    /// Rows above `version`, oldest version first.
    fn rows_above(&self, table: Table, version: u64) -> Vec<Row> {
        let newer = self.rows.iter().filter(|(_, it)| it.version > version);
        let rows = newer.filter_map(|(key, _)| self.row(table, key));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by_key(|it| it.version);
        rows
    }

    fn prune_tombstones(&mut self) {
        let tombstones = self.rows.iter().filter(|(_, it)| it.value.is_none());
        let mut tombstones: Vec<(u64, String)> = tombstones
            .map(|(key, it)| (it.version, key.clone()))
            .collect();
        if tombstones.len() <= TOMBSTONES_MAX {
            return;
        }
        tombstones.sort_by_key(|it| it.0);
        let excess = tombstones.len() - TOMBSTONES_MAX;
        for (version, key) in tombstones.into_iter().take(excess) {
            self.pruned_version = version.max(self.pruned_version);
            self.rows.remove(&key);
        }
    }
}

impl Mirror {
    /// Version up to which the store's changes of the table are merged; `None` before its first
    /// full read, from the store or another replica, and after [`Mirror::reset_sync`].
    #[must_use]
    pub fn synced_version(&self, table: Table) -> Option<u64> {
        self.tables.get(&table)?.synced_version
    }

    /// Version up to which the replica holds every change of the table: that of the last full read
    /// or change feed, or of a newer row that another replica sent in order.
    #[must_use]
    pub fn complete_version(&self, table: Table) -> Option<u64> {
        self.tables.get(&table)?.complete_version()
    }

    /// Era of the table's rows; the default before any was read.
    #[must_use]
    pub fn era(&self, table: Table) -> Era {
        let content = self.tables.get(&table);
        content.map(Content::era).unwrap_or_default()
    }

    /// Origin of the table's rows, other than those of unknown era.
    #[must_use]
    pub fn origin(&self, table: Table) -> succession::Origin {
        let content = self.tables.get(&table);
        succession::Origin {
            era: Some(self.era(table)),
            start: content.map_or(0, |it| it.era_start),
        }
    }

    /// Whether any table was replaced since the replica was created.
    #[must_use]
    pub fn has_replaced(&self) -> bool {
        self.has_replaced
    }

    /// Whether the table holds rows of unknown era.
    #[must_use]
    pub fn is_unverified(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|it| it.is_unverified)
    }

    /// Value of a row that the store holds; `None` if it has no such row.
    #[must_use]
    pub fn value(&self, table: Table, key: &str) -> Option<&[u8]> {
        let entry = self.tables.get(&table)?.rows.get(key)?;
        entry.value.as_deref()
    }

    /// Store version of a row; 0 if the store holds no such row.
    #[must_use]
    pub fn row_version(&self, table: Table, key: &str) -> u64 {
        let entry = self.tables.get(&table).and_then(|it| it.rows.get(key));
        let entry = entry.filter(|it| it.value.is_some());
        entry.map_or(0, |it| it.version)
    }

    /// Rows of a table that the store lost when it came back from an older copy and that were not
    /// written again yet, with their values.
    pub fn lost(&self, table: Table) -> impl Iterator<Item = (&str, &[u8])> {
        let lost = self.tables.get(&table).into_iter().flat_map(|it| &it.lost);
        lost.map(|(key, value)| (key.as_str(), value.as_slice()))
    }

    /// Marks a table as not synced: the store no longer has the history since the last read, so the
    /// table must be read in full.
    pub fn reset_sync(&mut self, table: Table) {
        if let Some(content) = self.tables.get_mut(&table) {
            content.synced_version = None;
        }
    }

    /// Position in each table, in table order. That of a table with rows of unknown era is the first
    /// one, so that other replicas send the whole table.
    #[must_use]
    pub fn positions(&self) -> Vec<Position> {
        let positions = self.newest_versions().into_iter();
        let positions = positions.map(|(table, version)| match self.is_unverified(table) {
            true => Position {
                table,
                era: Era::default(),
                version: 0,
            },
            false => Position {
                table,
                era: self.era(table),
                version,
            },
        });
        positions.collect()
    }

    /// Newest version held of each table, whatever its era, in table order; 0 for empty tables.
    #[must_use]
    pub fn newest_versions(&self) -> Vec<(Table, u64)> {
        let versions = Table::iter().map(|table| {
            let content = self.tables.get(&table);
            (table, content.map_or(0, Content::newest_version))
        });
        versions.collect()
    }

    /// Merges changes of `table` from the store's feed. If they are of a later era, the table must
    /// be read in full.
    pub fn apply_changes(&mut self, table: Table, batch: Batch) -> Effect {
        let content = self.tables.entry(table).or_default();
        if content.era.is_some_and(|it| it != batch.era) {
            if content.era() < batch.era {
                content.synced_version = None;
            }
            return Effect::OtherEra;
        }
        content.era = Some(batch.era);
        let rows = batch.rows.into_iter();
        let rows = rows.filter(|it| it.version <= batch.version).collect();
        let changed = content.merge(rows);
        content.synced_version = content.synced_version.max(Some(batch.version));
        Effect::Merged(changed)
    }

    /// Merges a full read of a table: rows missing from it are deleted unless they are newer. Rows
    /// above the batch's version were read later than the others and are left to the feed, since
    /// changes before them may be missing.
    pub fn apply_snapshot(&mut self, table: Table, batch: Batch) -> Effect {
        let update = Update {
            table,
            era: batch.era,
            version: batch.version,
            is_full: true,
            rows: batch.rows,
        };
        self.merge_full(update)
    }

    /// Merges an update from another replica.
    pub fn merge(&mut self, update: Update) -> Effect {
        if update.is_full {
            return self.merge_full(update);
        }
        let content = self.tables.entry(update.table).or_default();
        if content.era.is_some_and(|it| it != update.era) {
            return Effect::OtherEra;
        }
        content.era = Some(update.era);
        Effect::Merged(content.merge(update.rows))
    }

    /// Merges rows from a replica that knows no eras. The next full read replaces the table.
    pub fn merge_unverified(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut changed_rows = Vec::new();
        for row in rows {
            let content = self.tables.entry(row.table).or_default();
            content.is_unverified = true;
            content.synced_version = None;
            changed_rows.extend(content.merge(vec![row]));
        }
        changed_rows
    }

    fn merge_full(&mut self, update: Update) -> Effect {
        let Update {
            table,
            era,
            version,
            rows,
            ..
        } = update;
        let content = self.tables.entry(table).or_default();
        if content.era.is_some_and(|it| it > era) {
            return Effect::OtherEra;
        }
        if content.era.is_some_and(|it| it < era) {
            self.has_replaced = true;
            return Effect::Replaced(content.replace(table, era, rows, version));
        }
        if content.is_unverified {
            let Replacement { mut changed, lost } = content.replace(table, era, rows, version);
            content.lost.clear();
            changed.extend(lost.into_iter().map(|it| Row {
                version,
                value: None,
                ..it
            }));
            return Effect::Merged(changed);
        }
        content.era = Some(era);
        let changed = content.merge_all(table, rows, version);
        content.synced_version = content.synced_version.max(Some(version));
        Effect::Merged(changed)
    }

    /// Whether a replica at `positions` lacks anything.
    #[must_use]
    pub fn has_updates_since(&self, positions: &[Position]) -> bool {
        let mut known = self.tables.iter().filter(|it| !it.1.is_unverified);
        known.any(|(table, content)| {
            let position = position_of(*table, positions);
            content.era.is_some_and(|era| position.era <= era)
                && match content.needs_all(position) {
                    true => content.synced_version.is_some(),
                    false => content.newest_version() > position.version,
                }
        })
    }

    /// What a replica at `positions` lacks.
    #[must_use]
    pub fn updates_since(&self, positions: &[Position]) -> Vec<Update> {
        let known = self.tables.iter().filter(|it| !it.1.is_unverified);
        let updates = known.filter_map(|(table, content)| {
            let position = position_of(*table, positions);
            let era = content.era?;
            if position.era > era {
                return None;
            }
            let is_full = content.needs_all(position);
            let update = Update {
                table: *table,
                era,
                version: match is_full {
                    true => content.complete_version()?,
                    false => content.newest_version(),
                },
                is_full,
                rows: match is_full {
                    true => content.rows_above(*table, 0),
                    false => content.rows_above(*table, position.version),
                },
            };
            (is_full || !update.rows.is_empty()).then_some(update)
        });
        updates.collect()
    }

    /// The large rows, of which other replicas send only what has changed.
    #[must_use]
    pub fn held(&self) -> Vec<Held> {
        let rows = self.tables.iter().flat_map(|(table, content)| {
            let large = content.rows.iter();
            let large = large.filter(|it| pack::is_large(it.1.value.as_deref()));
            large.map(|(key, entry)| Held {
                table: *table,
                key: key.clone(),
                version: entry.version,
            })
        });
        rows.collect()
    }

    /// Takes the large rows out of updates, and packs them for a replica at `positions` that holds
    /// `held`. Those that cannot be packed stay, and their errors are returned.
    pub fn pack(
        &mut self,
        updates: &mut [Update],
        positions: &[Position],
        held: &[Held],
    ) -> (Vec<Packed>, Vec<pack::Error>) {
        let mut packed = Vec::new();
        let mut errors = Vec::new();
        for update in updates {
            let Some(content) = self.tables.get_mut(&update.table) else {
                continue;
            };
            // Versions of another era may be those of other values.
            let mut position = positions.iter().filter(|it| it.table == update.table);
            let is_same_era = position.any(|it| it.era == update.era);
            let held = if is_same_era { held } else { &[] };
            update.rows.retain(|row| {
                let value = row.value.as_deref().filter(|it| pack::is_large(Some(it)));
                let Some(value) = value else {
                    return true;
                };
                let known = held
                    .iter()
                    .find(|it| it.table == row.table && it.key == row.key);
                let known = known.map(|it| it.version);
                let row = Held {
                    table: row.table,
                    key: row.key.clone(),
                    version: row.version,
                };
                match content.history.pack(row, value, known) {
                    Ok(row) => packed.push(row),
                    Err(err) => {
                        errors.push(err);
                        return true;
                    }
                }
                false
            });
        }
        (packed, errors)
    }

    /// Puts packed rows back into the updates that they were taken out of.
    ///
    /// # Errors
    ///
    /// Fails if one cannot be unpacked. The updates lack rows then and must not be merged.
    pub fn unpack(&self, updates: &mut [Update], packed: Vec<Packed>) -> Result<(), pack::Error> {
        let none = Content::default();
        for packed in packed {
            let update = updates.iter_mut().find(|it| it.table == packed.row.table);
            let update = update.ok_or(pack::Error::NoUpdate(packed.row.table))?;
            let content = self.tables.get(&update.table).unwrap_or(&none);
            if let Some(base) = packed.base
                && (content.era != Some(update.era) || content.is_unverified)
            {
                return Err(pack::Error::NoBase(base));
            }
            let present = content.rows.get(&packed.row.key);
            let present = present.and_then(|it| Some((it.version, it.value.as_deref()?)));
            update.rows.push(content.history.unpack(packed, present)?);
        }
        for update in updates {
            update.rows.sort_by_key(|it| it.version);
        }
        Ok(())
    }

    /// Rows above the newest version that a replica which knows no eras holds of each table, oldest
    /// version first.
    #[must_use]
    pub fn rows_since(&self, positions: &[(Table, u64)]) -> Vec<Row> {
        let rows = self.tables.iter().flat_map(|(table, content)| {
            let position = positions.iter().find(|it| it.0 == *table);
            content.rows_above(*table, position.map_or(0, |it| it.1))
        });
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by_key(|it| it.version);
        rows
    }
}

/// The position in a table; the first one if there is none.
fn position_of(table: Table, positions: &[Position]) -> Position {
    let position = positions.iter().find(|it| it.table == table);
    position.copied().unwrap_or(Position {
        table,
        era: Era::default(),
        version: 0,
    })
}
