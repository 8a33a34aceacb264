//! Types shared by all crates: identifiers, execution state, rates, stable hashing and program
//! invariants.
//!
//! This crate performs no I/O, reads no clock and depends on no other crate of the workspace.

pub mod executed;
pub mod hash;
pub mod id;
pub mod invariant;
pub mod rate;
pub mod time;

pub use executed::Executed;
