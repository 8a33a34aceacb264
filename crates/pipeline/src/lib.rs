//! Runs pipelines: takes a request from its arrival to its outcome.
//!
//! The crate implements deadlines of requests and stages, the choice of upstreams, retries and
//! hedges, the resumption of token streams and at-most-once execution of non-idempotent stages. All
//! I/O goes through [`wire::peer::Peer`] and [`claims::Registry`]; HTTP is left to the gateway.

mod at_most_once;
mod attempt;
mod budget;
mod generate;
mod idempotent;
mod latency;
mod lifecycle;
mod outcome;
mod properties;
mod route;
mod run;
mod stage;
mod stages;
mod view;

pub use lifecycle::NotRun;
pub use outcome::Answer;
pub use outcome::Failure;
pub use outcome::FailureReason;
pub use outcome::NotRunReason;
pub use outcome::Outcome;
pub use outcome::RecordedOutcome;
pub use route::Options;
pub use run::Request;
pub use run::Runner;
pub use stage::AttemptCost;
pub use view::View;
pub use view::follow_view;
