//! Gossip overlay of fixed degree on the ring of hashed instance ids.
//!
//! Each member has six neighbours, at the ring offsets 1, the cube root of the member count and the
//! square of that root, in both directions. Any member is reached in a number of hops that grows
//! with the cube root of the member count. With equal views the neighbour relation is symmetric.

use base::hash;
use base::id;

/// Number of neighbours in each direction of the ring.
const FINGERS: usize = 3;

/// Returns the neighbours of `instance` among `members`, without duplicates. With up to six other
/// members, all of them are neighbours.
pub(crate) fn neighbours<'a>(
    instance: &id::Instance,
    members: impl Iterator<Item = &'a id::Instance>,
) -> Vec<id::Instance> {
    let mut ring: Vec<(u64, &id::Instance)> = members
        .filter(|it| *it != instance)
        .map(|it| (ring_position(it), it))
        .collect();
    if ring.len() <= 2 * FINGERS {
        ring.sort();
        return ring.into_iter().map(|(_, it)| it.clone()).collect();
    }
    ring.push((ring_position(instance), instance));
    ring.sort();
    let len = ring.len();
    let Some(own_idx) = ring.iter().position(|(_, it)| *it == instance) else {
        return Vec::new();
    };
    let mut neighbours = Vec::with_capacity(2 * FINGERS);
    for offset in finger_offsets(len) {
        for idx in [(own_idx + offset) % len, (own_idx + len - offset) % len] {
            let candidate = ring[idx].1;
            if candidate != instance && !neighbours.contains(candidate) {
                neighbours.push(candidate.clone());
            }
        }
    }
    neighbours
}

fn ring_position(instance: &id::Instance) -> u64 {
    hash::hash_strs([instance.as_str()])
}

fn finger_offsets(len: usize) -> [usize; FINGERS] {
    let root = (len as f64).cbrt().round().max(2.0) as usize;
    [1, root, (root * root).max(root + 1)]
}
