//! Protocol between the system's own processes: typed messages, their codec and their transport.
//!
//! A request opens a stream of its own; the replies follow on the same stream. Decisions see only
//! the [`peer::Peer`] and [`peer::Handler`] traits, so that they run the same over QUIC and in
//! memory.

pub mod codec;
pub mod dispatch;
pub mod member;
pub mod message;
pub mod peer;
pub mod quic;
pub mod status;
pub mod steps;
pub mod tls;

pub use message::Reply;
pub use message::Request;
