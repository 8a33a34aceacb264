//! Admission control of one upstream, run by its owner: adaptive in-flight limit, slow start and
//! fair queue.
//!
//! [`AdmissionController`] is a state machine with a caller-supplied clock. It holds tickets in
//! place of requests and performs no I/O.

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
