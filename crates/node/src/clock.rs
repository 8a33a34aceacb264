//! Time for which the machine was suspended.
//!
//! `CLOCK_MONOTONIC`, and with it the runtime's clock, stops during a suspension; `CLOCK_BOOTTIME`
//! doesn't. Deadlines are corrected by the difference.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// The runtime's time, ahead by the time for which the machine has been suspended. Permissions that
/// run out are held against it, since a suspended process doesn't notice that time passes.
#[must_use]
pub fn now_with_suspension() -> Instant {
    Instant::now() + time_suspended()
}

/// Total time for which the machine has been suspended since boot.
#[must_use]
pub fn time_suspended() -> Duration {
    let boot = read_clock(ClockId::Boottime);
    boot.saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
