//! Decisions about one request that is passed through to an upstream, and the limits that bind
//! them.
//!
//! Each module is a state machine over a given time: nothing here performs I/O.

pub mod board;
pub mod choice;
pub mod cold;
pub mod health;
pub mod life;
pub mod pace;
pub mod poison;
pub mod retry;
pub mod stop;
