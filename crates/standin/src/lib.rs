//! Stand-ins for the platform and for upstreams, which speak their protocols and inject faults.
//!
//! For tests and demonstrations only: nothing here is part of the product.

pub mod control;
pub mod engine;
pub mod fault;
pub mod plain;
pub mod platform;
pub mod settings;
pub mod upstream;
