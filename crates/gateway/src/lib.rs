//! The gateway: HTTP front end for callers.
//!
//! Parses HTTP requests into [`pipeline::Request`]s, runs them, and renders their outcomes as HTTP
//! responses. Routing, retries and deadlines are decided in the `pipeline` crate.

mod chat;
mod failure;
mod http;
mod pipelines;

pub use http::Gateway;
pub use http::router;
