//! Admission to one upstream, in its owner: in-flight limit, warmth and queue.
//!
//! [`AdmissionController`] is a state machine over a caller-supplied time. It holds tickets, never requests, and
//! performs no I/O.

mod fair;
mod gate;
mod limiter;

pub use fair::FairQueue;
pub use gate::AdmissionController;
pub use gate::QueuePolicy;
pub use gate::Refusal;
pub use gate::Settings;
pub use gate::Ticket;
pub use limiter::FinishedCall;
pub use limiter::Limiter;
pub use limiter::LoadReport;
pub use limiter::Outcome;
pub use limiter::Warmth;
