//! Randomized fault injection into real node processes.
//!
//! Node processes are children that receive signals. The store and the upstreams are stand-ins in
//! this process; nodes reach each of them through a TCP proxy that can delay, block or close
//! connections. Invariants are checked against the responses that clients received and the requests
//! that upstreams recorded. Faults of the QUIC connections between nodes are not injected.

mod check;
mod fault;
mod limit;
mod poison;
mod rollouts;
mod run;
mod versions;

pub use check::Violation;
pub use run::Options;
pub use run::Outcome;
pub use run::node_program;
pub use run::run;
