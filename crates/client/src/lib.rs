//! The operators' client: its commands, its session with the dispatchers and its output.

pub mod command;
pub mod failure;
mod output;
mod run;
mod session;

pub use failure::Failure;
pub use run::run;
