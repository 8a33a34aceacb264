//! Small fakes at the interfaces of the system, for tests and measurements on the paused clock.
//!
//! A [`Cluster`] runs the real decisions of several instances in one thread: gateways, dispatchers,
//! claims and membership. Platform, network and upstreams are fakes with faults. Every random
//! choice comes from one seed, so a seed always gives the same run.

pub mod cluster;
pub mod net;
pub mod platform;
pub mod process;
pub mod schedule;
pub mod tokens;
pub mod upstream;

pub use cluster::Cluster;
pub use process::Process;
