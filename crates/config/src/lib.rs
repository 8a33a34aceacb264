//! The operators' configuration: its data model, its YAML parser and its validation.
//!
//! Also parses the settings files of the daemons and of the client, with the same diagnostics.
//! This crate performs no I/O: callers pass text and receive values or diagnostics.

pub mod check;
pub mod document;
pub mod model;
pub mod settings;
mod tree;

pub use check::Diagnostic;
pub use document::Document;
pub use document::Snapshot;
pub use model::Deployment;
