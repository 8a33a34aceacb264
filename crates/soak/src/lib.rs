//! Randomized faults against real node processes, injected from outside.
//!
//! The stand-in plays the platform in this process, behind a proxy for each of its connections;
//! nodes are child processes that are signalled. The promises are checked from what clients and
//! upstreams see. QUIC between the nodes is not proxied.

mod check;
mod fault;
mod poison;
mod proxy;
mod run;

pub use check::Violation;
pub use run::Options;
pub use run::Outcome;
pub use run::program;
pub use run::run;
