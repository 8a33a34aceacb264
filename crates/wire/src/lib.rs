//! Protocol between the processes of this system: messages, codec and QUIC transport.
//!
//! Each request has its own bidirectional stream, which also carries the replies. Users of the
//! protocol depend only on the traits [`peer::Peer`] and [`peer::Handler`], so that they run
//! unchanged over QUIC and over an in-memory network.

pub mod codec;
pub mod dispatch;
pub mod member;
pub mod message;
pub mod peer;
pub mod protocol;
pub mod quic;
pub mod quota;
pub mod status;
pub mod steps;
pub mod tls;
pub mod tunnel;

pub use message::Reply;
pub use message::Request;
pub use protocol::Protocol;
