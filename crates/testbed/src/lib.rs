//! A small deployment of real processes on loopback addresses, with a load generator, for the
//! demonstration, the benchmark and integration tests.

pub mod cluster;
pub mod load;
pub mod process;

pub use cluster::Cluster;
