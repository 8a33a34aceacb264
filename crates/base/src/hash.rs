//! Stable 64-bit hashes: the same on all instances and in all versions.

use xxhash_rust::xxh3::Xxh3;

/// Hashes `parts` in order, each with a length prefix, so that `["ab", "c"]` and `["a", "bc"]`
/// differ.
#[must_use]
pub fn hash_bytes<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Hashes string parts in order, as [`hash_bytes`] does.
#[must_use]
pub fn hash_strs<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    hash_bytes(parts.into_iter().map(str::as_bytes))
}
