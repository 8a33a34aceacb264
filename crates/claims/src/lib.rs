//! Claims that make non-idempotent stages run at most once.
//!
//! A claim is a row of the platform's table, keyed by workspace, pipeline, idempotency key and
//! stage. It is written before anything is sent to the upstream, and holds the recorded answer
//! afterwards. This crate depends on the table only, not on upstreams.

pub mod batch;
pub mod registry;
pub mod row;

pub use registry::Registry;
pub use row::Claim;
