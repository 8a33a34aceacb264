//! Runs pipelines: owns one request from its arrival to its answer.
//!
//! Deadlines and stage budgets, choice of upstream, retries and hedges, resumed streams and
//! at-most-once stages live here. The crate meets the outside only through [`wire::peer::Peer`] and
//! [`claims::Registry`]; it knows no HTTP.

mod attempt;
mod budget;
mod generate;
mod idempotent;
mod latency;
mod life;
mod once;
mod outcome;
mod route;
mod run;
mod shape;
mod stage;
mod stages;
mod view;

pub use life::NotRun;
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
