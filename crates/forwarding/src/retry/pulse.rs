//! Detects that the process was suspended.

use std::time::Duration;

use tokio::time::Instant;

/// Longest time between two beats of a process that runs.
const GAP_MAX: Duration = Duration::from_millis(450);
/// Time after a suspension within which requests that waited for the process are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Beats of a process, by which it notices that it was suspended.
#[derive(Debug)]
pub struct Pulse {
    last_beat: Instant,
    catch_up_until: Option<Instant>,
}

impl Pulse {
    /// Interval at which [`Pulse::beat`] has to be called.
    pub const INTERVAL: Duration = Duration::from_millis(150);

    /// Creates the pulse of a process that runs.
    #[must_use]
    pub fn new(now: Instant) -> Pulse {
        Pulse {
            last_beat: now,
            catch_up_until: None,
        }
    }

    /// Records that the process runs.
    pub fn beat(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_beat) > GAP_MAX {
            self.catch_up_until = Some(now + CATCH_UP_TIME);
        }
        self.last_beat = now;
    }

    /// Whether requests that are read now may have waited while the process was suspended.
    #[must_use]
    pub fn is_catching_up(&self, now: Instant) -> bool {
        let is_overdue = now.saturating_duration_since(self.last_beat) > GAP_MAX;
        is_overdue || self.catch_up_until.is_some_and(|it| now < it)
    }
}
