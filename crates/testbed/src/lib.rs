//! A small deployment of real processes on loopback, for the demonstration and for tests with
//! signals.

pub mod cluster;
pub mod load;
pub mod process;

pub use cluster::Cluster;
