//! Distribution tree of the store's rows. The number of instances that read the store is bounded,
//! so the load on the store does not grow with the deployment.
//!
//! All instances compute the same order. The first ones are readers, which follow the store. In
//! small deployments every other instance follows the readers. In large ones the next few are
//! relays, which follow the readers, and the rest follow the relays: an instance with an eighth of
//! a CPU core cannot answer a hundred others. The tree has no state of its own: when an instance
//! leaves unresponsive ones out of the order, it moves up by itself.

use base::hash;
use base::id;

/// One reader for this many instances, within [`READERS_MIN`] and [`READERS_MAX`].
const MEMBERS_PER_READER: usize = 16;
const READERS_MIN: usize = 3;
const READERS_MAX: usize = 4;
/// One relay for this many instances; none while this yields at most [`READERS_MAX`] relays, as the
/// readers can answer all others then.
const MEMBERS_PER_RELAY: usize = 16;

/// Role of an instance in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Follows the store.
    Reader,
    /// Follows the readers and serves the followers.
    Relay,
    /// Follows the relays, or the readers where there are no relays.
    Follower,
}

/// Number of readers in a deployment of `members` instances.
#[must_use]
pub fn reader_count(members: usize) -> usize {
    (members / MEMBERS_PER_READER).clamp(READERS_MIN, READERS_MAX)
}

fn relay_count(members: usize) -> usize {
    let relays = members / MEMBERS_PER_RELAY;
    if relays > READERS_MAX { relays } else { 0 }
}

/// The role of the instance `own`; `order` lists all instances that are not suspected. An instance
/// that knows no instances yet is a reader.
#[must_use]
pub fn role(order: &[id::Instance], own: &id::Instance) -> Role {
    let readers = reader_count(order.len());
    match order.iter().position(|it| it == own) {
        Some(position) if position >= readers + relay_count(order.len()) => Role::Follower,
        Some(position) if position >= readers => Role::Relay,
        None if !order.is_empty() => Role::Follower,
        _ => Role::Reader,
    }
}

/// Instances that `own` follows, in order of preference: those one level above it (for a reader,
/// the other readers), starting at a position that depends on its name, then all others.
#[must_use]
pub fn sources(mut order: Vec<id::Instance>, own: &id::Instance) -> Vec<id::Instance> {
    let readers = reader_count(order.len()).min(order.len());
    let relays = relay_count(order.len());
    if role(&order, own) == Role::Follower && relays > 0 {
        // Relays first, readers last: as second choice, the readers would be asked by all
        // followers.
        order[..readers + relays].rotate_left(readers);
        rotate_by_hash(&mut order[..relays], own);
        order[relays..].rotate_left(readers);
    } else {
        rotate_by_hash(&mut order[..readers], own);
    }
    order.retain(|it| it != own);
    order
}

/// Number of instances at the top of the tree: the readers, and the relays if there are any.
#[must_use]
pub fn top_count(members: usize) -> usize {
    reader_count(members) + relay_count(members)
}

/// Number of the first [`sources`] that are one level above `own`.
#[must_use]
pub fn level_count(order: &[id::Instance], own: &id::Instance) -> usize {
    let relays = relay_count(order.len());
    match role(order, own) {
        Role::Follower if relays > 0 => relays,
        Role::Reader => reader_count(order.len()).saturating_sub(1),
        _ => reader_count(order.len()),
    }
}

fn rotate_by_hash(order: &mut [id::Instance], own: &id::Instance) {
    if !order.is_empty() {
        let start = hash::hash_strs([own.as_str()]) % order.len() as u64;
        order.rotate_left(start as usize);
    }
}
