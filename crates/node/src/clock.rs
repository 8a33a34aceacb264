//! Time that the process did not see pass.
//!
//! The monotonic clock stands still while the machine is suspended; the boot clock does not. Their
//! difference tells how much less time a request has than the runtime's clock says.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Total time of suspension since boot.
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
