//! Deterministic simulation of a deployment, for tests and measurements on a paused clock.
//!
//! A [`Cluster`] runs the real gateways, dispatchers, claims and membership of several instances in
//! one thread. Platform, network and upstreams are fakes with injected faults. All random values
//! come from one seed, so a seed always gives the same run.

pub mod cluster;
pub mod net;
pub mod platform;
pub mod process;
pub mod schedule;
pub mod tokens;
pub mod upstream;

pub use cluster::Cluster;
pub use process::Process;
