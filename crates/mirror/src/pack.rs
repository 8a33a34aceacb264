//! How large values travel between replicas.
//!
//! The whole configuration is one row, and a reader or relay sends it to dozens of others over a link
//! of a few Mbit/s. Values are therefore compressed. Most changes concern a small part of a value, so
//! a replica keeps the former values of a row for a while, and sends what differs from the one that
//! the receiver holds.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use zstd::bulk::Compressor;
use zstd::bulk::Decompressor;

use crate::Row;
use crate::Table;

/// Size from which on values are packed.
const VALUE_BYTES_MIN: usize = 512;
/// Largest value that is unpacked, as much as a response of the store may hold.
const VALUE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Former values of a row that are kept, and their bytes in total.
const FORMER_MAX: usize = 8;
const FORMER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Packed forms that are kept for further receivers of a version.
const CACHED_MAX: usize = FORMER_MAX + 1;
const LEVEL: i32 = 3;

/// A large row that a replica holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The table.
    pub table: Table,
    /// Key within the table.
    pub key: String,
    /// Version of the row.
    pub version: u64,
}

/// A row whose value is packed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// The row.
    pub row: Held,
    /// Version of the value that this one is described by; `None` if it is described by itself.
    pub base: Option<u64>,
    /// Size of the value in bytes.
    pub size: usize,
    /// The packed value.
    pub bytes: Vec<u8>,
}

/// Why a value cannot be packed or unpacked.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Error {
    /// The receiver does not hold the value that this one is described by.
    #[strum(to_string = "no value of version {0} of the row")]
    NoBase(u64),
    /// The row belongs to no update of the answer.
    #[strum(to_string = "a row of the table {0}, which the answer does not update")]
    NoUpdate(Table),
    /// The value is larger than any that the store sends.
    #[strum(to_string = "a value of {0} bytes")]
    TooLarge(usize),
    /// The compression fails.
    #[strum(to_string = "{0}")]
    Malformed(String),
}

impl std::error::Error for Error {}

/// Whether a value is worth packing.
pub(crate) fn is_large(value: Option<&[u8]>) -> bool {
    value.is_some_and(|it| it.len() >= VALUE_BYTES_MIN)
}

/// Former values of the rows of a table, and packed forms of their present ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    rows: BTreeMap<String, Former>,
}

#[derive(Clone, Debug, Default)]
struct Former {
    /// By version, the latest one last.
    values: VecDeque<(u64, Vec<u8>)>,
    packed: Vec<Packed>,
}

impl History {
    /// Keeps the value of a row that is about to be replaced.
    pub(crate) fn keep(&mut self, key: &str, version: u64, value: Option<Vec<u8>>) {
        let Some(value) = value.filter(|it| is_large(Some(it))) else {
            return;
        };
        let former = self.rows.entry(key.to_owned()).or_default();
        former.values.push_back((version, value));
        let bytes = |it: &VecDeque<(u64, Vec<u8>)>| it.iter().map(|it| it.1.len()).sum::<usize>();
        while former.values.len() > FORMER_MAX || bytes(&former.values) > FORMER_BYTES_MAX {
            former.values.pop_front();
        }
    }

    /// Drops what is kept of a row that is gone.
    pub(crate) fn forget(&mut self, key: &str) {
        self.rows.remove(key);
    }

    fn value(&self, key: &str, version: u64) -> Option<&[u8]> {
        let mut values = self.rows.get(key)?.values.iter();
        let value = values.find(|it| it.0 == version)?;
        Some(&value.1)
    }

    /// Packs the present value of a row for a receiver that holds version `held` of it.
    ///
    /// # Errors
    ///
    /// Fails if the compression does.
    pub(crate) fn pack(
        &mut self,
        row: Held,
        value: &[u8],
        held: Option<u64>,
    ) -> Result<Packed, Error> {
        let base = held.and_then(|it| Some((it, self.value(&row.key, it)?)));
        let base_version = base.map(|it| it.0);
        let former = self.rows.get(&row.key);
        let mut known = former.into_iter().flat_map(|it| &it.packed);
        if let Some(known) = known.find(|it| it.row == row && it.base == base_version) {
            return Ok(known.clone());
        }
        let malformed = |err: std::io::Error| Error::Malformed(err.to_string());
        let base_value = base.map_or(&[][..], |it| it.1);
        let mut compressor = Compressor::with_dictionary(LEVEL, base_value).map_err(malformed)?;
        compressor.include_checksum(true).map_err(malformed)?;
        let packed = Packed {
            row,
            base: base_version,
            size: value.len(),
            bytes: compressor.compress(value).map_err(malformed)?,
        };
        let former = self.rows.entry(packed.row.key.clone()).or_default();
        former.packed.retain(|it| it.row == packed.row);
        if former.packed.len() < CACHED_MAX {
            former.packed.push(packed.clone());
        }
        Ok(packed)
    }

    /// Unpacks a row; `present` is the version and the value that this replica holds.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not know the base, or the bytes are not a packed value.
    pub(crate) fn unpack(
        &self,
        packed: Packed,
        present: Option<(u64, &[u8])>,
    ) -> Result<Row, Error> {
        let Packed {
            row,
            base,
            size,
            bytes,
        } = packed;
        if size > VALUE_BYTES_MAX {
            return Err(Error::TooLarge(size));
        }
        let base_value = match base {
            Some(base) => {
                let present = present.filter(|it| it.0 == base).map(|it| it.1);
                let value = present.or_else(|| self.value(&row.key, base));
                value.ok_or(Error::NoBase(base))?
            }
            None => &[],
        };
        let malformed = |err: std::io::Error| Error::Malformed(err.to_string());
        let mut decompressor = Decompressor::with_dictionary(base_value).map_err(malformed)?;
        let value = decompressor.decompress(&bytes, size).map_err(malformed)?;
        Ok(Row {
            table: row.table,
            key: row.key,
            version: row.version,
            value: Some(value),
        })
    }
}
