//! The operators' configuration: its model, its YAML text and the checks that a text must pass.
//!
//! Also holds the reader for the daemons' own settings files, which share the same fault reports.
//! This crate performs no I/O: callers hand it text and receive values or faults.

pub mod check;
pub mod document;
pub mod model;
pub mod settings;
mod tree;

pub use check::Diagnostic;
pub use document::Document;
pub use document::Snapshot;
pub use model::Deployment;
