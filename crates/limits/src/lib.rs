//! Admission to one upstream, in its owner: in-flight limit, warmth and queue.
//!
//! [`Gate`] is a state machine over a caller-supplied time. It holds tickets, never requests, and
//! performs no I/O.

mod fair;
mod gate;
mod limiter;

pub use fair::Queue;
pub use gate::Gate;
pub use gate::Queueing;
pub use gate::Refusal;
pub use gate::Settings;
pub use gate::Ticket;
pub use limiter::Finish;
pub use limiter::Limiter;
pub use limiter::Outcome;
pub use limiter::Report;
pub use limiter::Warmth;
