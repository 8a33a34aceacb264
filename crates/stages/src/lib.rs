//! The owner of a set of step services: collects the pieces of all gateways' requests and forms the
//! batched calls.
//!
//! A call costs a fixed time whatever it holds, so one place that sees every waiting piece needs a
//! fraction of the calls that separate senders do. [`Planner`] is a state machine over a given time:
//! it performs no I/O and spawns nothing. Its driver sends the [`Call`]s and reports their
//! [`Outcome`]s.

mod call;
mod fleet;
mod plan;
mod planner;
mod rank;
pub mod shard;

pub use call::Call;
pub use call::Input;
pub use call::Item;
pub use call::ItemFailure;
pub use call::Outcome;
pub use fleet::Replica;
pub use plan::Handle;
pub use plan::Plan;
pub use plan::Prepared;
pub use plan::Refusal;
pub use plan::Step;
pub use planner::PlanId;
pub use planner::Planner;
pub use rank::SchedulingPolicy;
pub use shard::Shard;
