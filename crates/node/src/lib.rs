//! One process an instance: the front for clients, the sending side towards upstreams, and the
//! owner of a share of the step services.
//!
//! This crate carries bytes and time between the decision crates (`forwarding`, `stages`,
//! `catalog`, `mirror`) and the outside. A request lives in its front handler: when the client goes,
//! the handler is dropped, and with it every connection, plan and wait of the request.

pub mod buffer;
pub mod client_request;
pub mod clock;
pub mod connection;
pub mod follow;
pub mod forward;
pub mod front;
pub mod limits;
pub mod owner;
pub mod peers;
pub mod prepare;
pub mod relay;
pub mod routing;
pub mod send_guard;
pub mod serve;
pub mod state;
pub mod stop;
mod suspicion;
pub mod view_tracker;
