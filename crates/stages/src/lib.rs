//! The owner of a set of step services: collects the pieces that all gateways submit and batches
//! them into calls.
//!
//! A piece is one independent unit of work of a step. A call has a fixed cost whatever its batch
//! size, so one scheduler that sees every waiting piece needs a fraction of the calls that
//! independent senders would make. [`Planner`] is a state machine without a clock: it receives the
//! current time, performs no I/O and spawns no tasks. Its driver sends the [`Call`]s and reports
//! their [`Outcome`]s.

pub mod balance;
mod call;
pub mod fairness;
mod fleet;
pub mod labels;
mod plan;
mod planner;
pub mod pressure;
mod rank;
pub mod returns;
pub mod shard;
pub mod speed;

pub use call::Call;
pub use call::Input;
pub use call::Item;
pub use call::ItemFailure;
pub use call::Outcome;
pub use fleet::Replica;
pub use plan::Handle;
pub use plan::PIECES_MAX;
pub use plan::Plan;
pub use plan::Prepared;
pub use plan::Refusal;
pub use plan::Step;
pub use plan::has_too_many_pieces;
pub use planner::Count;
pub use planner::Counts;
pub use planner::PlanId;
pub use planner::Planner;
pub use rank::SchedulingPolicy;
pub use shard::Shard;
