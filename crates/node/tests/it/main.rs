//! Tests of whole nodes against a stand-in of the users' platform over loopback, and of single
//! modules.

mod answers;
mod bad_input;
mod beliefs;
mod bodies;
mod breaks;
mod buffer;
mod busy;
mod connections;
mod crashes;
mod endless;
#[expect(dead_code, reason = "shared with the other test programs")]
mod fixture;
mod lapse;
mod leaving;
mod misdirected;
mod odd_rows;
mod parts;
mod peers;
mod poison;
mod retries;
mod returns;
mod slow;
mod stop;
mod store_paths;
mod streams;
mod versions;
mod view_rows;
mod words;
