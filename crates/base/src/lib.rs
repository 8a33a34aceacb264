//! Vocabulary shared by every crate: identifiers, execution outcomes, rates, stable hashing and
//! program invariants.
//!
//! This crate performs no I/O, reads no clock and knows none of the other crates.

pub mod executed;
pub mod hash;
pub mod id;
pub mod invariant;
pub mod rate;

pub use executed::Executed;
