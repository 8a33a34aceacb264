//! Decides on roll-outs: operators order that the traffic of a service moves to the upstreams of one
//! software version. No I/O.

pub mod choice;
pub mod desk;
pub mod evidence;
pub mod ledger;
pub mod order;
pub mod stage;
