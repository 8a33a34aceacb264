//! The dispatcher: owns a share of the upstreams.
//!
//! Every call to an upstream goes through the one dispatcher that owns it. The owner enforces the
//! in-flight limit, queues calls and tracks the upstream's slow start. The dispatcher also runs
//! membership and follows the configuration for its instance. It reaches other systems only through
//! the traits [`upstream::UpstreamClient`], [`wire::peer::Peer`] and [`table::Platform`].

pub mod changes;
mod dispatching;
pub mod http;
pub mod node;
mod owned;
mod state;
pub mod tasks;
pub mod upstream;

pub use node::Node;
