//! The process that runs on each instance: it serves clients, sends their requests to upstreams,
//! and owns a share of the step services.
//!
//! This crate does the I/O and the timing; the decisions are made by the crates `forwarding`,
//! `stages`, `catalog` and `mirror`. A request is owned by the future of its client handler: when
//! the client disconnects, the future is dropped, and with it every connection, plan and timer of
//! the request.

pub mod buffer;
pub mod client_request;
pub mod clock;
pub mod configuration;
pub mod connection;
mod detour;
pub mod follow;
pub mod forward;
pub mod front;
pub mod limits;
pub mod listener;
pub mod listener_connections;
pub mod liveness;
mod origin;
pub mod owner;
pub mod patience;
pub mod peers;
pub mod prepare;
mod process;
mod quota;
pub mod relay;
mod restore;
mod rollout;
mod rollouts;
pub mod routing;
pub mod send_guard;
pub mod serve;
pub mod state;
pub mod stop;
mod suspicion;
pub mod view_tracker;
