//! Forwarding of one request to an upstream: upstream selection, retries, refusal, and the limits
//! on them.
//!
//! Each module is a state machine over a caller-supplied time; nothing here performs I/O.

pub mod board;
pub mod choice;
pub mod cold;
pub mod engine_memory;
pub mod events;
pub mod health;
pub mod life;
pub mod origin;
pub mod pace;
pub mod path;
pub mod poison;
pub mod quota;
pub mod retry;
pub mod returns;
pub mod stop;
