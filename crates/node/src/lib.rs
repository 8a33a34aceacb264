//! One process an instance: the front for clients, the sending side towards upstreams, and the
//! owner of a share of the step services.
//!
//! This crate carries bytes and time between the decision crates (`forwarding`, `stages`,
//! `catalog`, `mirror`) and the outside. A request lives in its front handler: when the client goes,
//! the handler is dropped, and with it every connection, plan and wait of the request.

pub mod ask;
pub mod buffer;
pub mod channel;
pub mod clock;
pub mod follow;
pub mod forward;
pub mod front;
pub mod limits;
pub mod owner;
pub mod peers;
pub mod prepare;
pub mod relay;
pub mod sending;
pub mod serve;
pub mod state;
pub mod stop;
mod suspicion;
pub mod target;
pub mod view_tracker;
