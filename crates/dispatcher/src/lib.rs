//! The dispatcher: owner of a share of the upstreams.
//!
//! Everything sent to an upstream passes through its one owner, which keeps the in-flight limit,
//! the queue and the warmth. The dispatcher also runs membership and follows the configuration for
//! its instance. Its decisions meet the outside only through the traits [`upstream::UpstreamClient`],
//! [`wire::peer::Peer`] and [`table::Platform`].

pub mod changes;
mod dispatching;
pub mod http;
pub mod node;
mod owned;
mod state;
pub mod tasks;
pub mod upstream;

pub use node::Node;
