//! Command-line client for operators: commands, requests to the dispatchers, and output.

pub mod command;
pub mod failure;
mod output;
mod run;
mod session;

pub use failure::Failure;
pub use run::run;
