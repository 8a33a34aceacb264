//! The gateway: holds callers' connections and owns their requests.
//!
//! This crate turns HTTP into [`pipeline::Request`]s and outcomes into HTTP. It decides nothing.

mod chat;
mod failure;
mod http;
mod pipelines;

pub use http::Gateway;
pub use http::router;
