//! Who follows whom, so that few instances follow the store and all of them together call it no more
//! often when there are more of them.
//!
//! The first instances in an order that all share follow the store. In small deployments every other
//! instance follows these. In large ones the next few, the relays, follow these, and the rest
//! follow the relays: an instance of an eighth of a core cannot answer a hundred others. The tree has
//! no state of its own; whoever leaves out instances that keep silent moves up by itself.

use base::hash;
use base::id;

/// Instances that follow the store: one for this many.
const MEMBERS_PER_READER: usize = 16;
const READERS_MIN: usize = 3;
const READERS_MAX: usize = 4;
/// Relays, where there are more instances than the readers can answer: one for this many.
const MEMBERS_PER_RELAY: usize = 16;

/// What an instance does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Follows the store.
    Reader,
    /// Follows readers, and is followed.
    Relay,
    /// Follows relays, or readers where there are no relays.
    Follower,
}

/// Instances that follow the store, of `members`.
#[must_use]
pub fn reader_count(members: usize) -> usize {
    (members / MEMBERS_PER_READER).clamp(READERS_MIN, READERS_MAX)
}

fn relay_count(members: usize) -> usize {
    let relays = members / MEMBERS_PER_RELAY;
    if relays > READERS_MAX { relays } else { 0 }
}

/// The role of `own`; `order` has all instances that are not suspected. One that knows no instance yet
/// follows the store.
#[must_use]
pub fn role(order: &[id::Instance], own: &id::Instance) -> Role {
    let readers = reader_count(order.len());
    match order.iter().position(|it| it == own) {
        Some(place) if place >= readers + relay_count(order.len()) => Role::Follower,
        Some(place) if place >= readers => Role::Relay,
        None if !order.is_empty() => Role::Follower,
        _ => Role::Reader,
    }
}

/// Instances that `own` follows, the best first: those above it, from a place that differs between
/// instances, then all others.
#[must_use]
pub fn sources(mut order: Vec<id::Instance>, own: &id::Instance) -> Vec<id::Instance> {
    let readers = reader_count(order.len()).min(order.len());
    let relays = relay_count(order.len());
    if role(&order, own) == Role::Follower && relays > 0 {
        // Relays first; readers would be asked by all if they stood next.
        order[..readers + relays].rotate_left(readers);
        rotate(&mut order[..relays], own);
        order[relays..].rotate_left(readers);
    } else {
        rotate(&mut order[..readers], own);
    }
    order.retain(|it| it != own);
    order
}

fn rotate(order: &mut [id::Instance], own: &id::Instance) {
    if !order.is_empty() {
        let start = hash::of_strs([own.as_str()]) % order.len() as u64;
        order.rotate_left(start as usize);
    }
}
