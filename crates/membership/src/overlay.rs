//! Overlay of fixed degree on the ring of hashed instance ids.
//!
//! Offsets of one, the cube root and its square reach every member in a number of hops that grows
//! with the cube root of the member count, while each member keeps six neighbours. Offsets apply in
//! both directions, so equal views make the relation symmetric.

use base::hash;
use base::id;

/// Neighbours in each direction.
const FINGERS: usize = 3;

/// The neighbours of `of` among `members`, in ring order without repetition.
pub(crate) fn neighbours<'a>(
    of: &id::Instance,
    members: impl Iterator<Item = &'a id::Instance>,
) -> Vec<id::Instance> {
    let mut ring: Vec<(u64, &id::Instance)> = members
        .filter(|it| *it != of)
        .map(|it| (position(it), it))
        .collect();
    if ring.len() <= 2 * FINGERS {
        ring.sort();
        return ring.into_iter().map(|(_, it)| it.clone()).collect();
    }
    ring.push((position(of), of));
    ring.sort();
    let len = ring.len();
    let Some(own) = ring.iter().position(|(_, it)| *it == of) else {
        return Vec::new();
    };
    let mut neighbours = Vec::with_capacity(2 * FINGERS);
    for offset in offsets(len) {
        for idx in [(own + offset) % len, (own + len - offset) % len] {
            let candidate = ring[idx].1;
            if candidate != of && !neighbours.contains(candidate) {
                neighbours.push(candidate.clone());
            }
        }
    }
    neighbours
}

fn position(instance: &id::Instance) -> u64 {
    hash::hash_strs([instance.as_str()])
}

fn offsets(len: usize) -> [usize; FINGERS] {
    let root = (len as f64).cbrt().round().max(2.0) as usize;
    [1, root, (root * root).max(root + 1)]
}
