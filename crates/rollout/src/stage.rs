//! When a roll-out goes on to its next stage.

use std::time::Duration;

use crate::order::Bounds;
use crate::order::Order;
use crate::order::Stage;
use crate::order::State;

/// Parts of the exposure allowed that the steps send at a time.
const STEP_SHARES: [f64; 3] = [0.1, 0.2, 0.4];
/// Time within which all instances have reported to a new coordinator.
const DESK_AGE_MIN: Duration = Duration::from_millis(600);
/// Most of the order's time that each step takes.
const STEP_TIME_RATIO: f64 = 0.26;
/// Time that the decisions after the last step need, beside that of [`Stage::Whole`].
const DECISION_TIME: Duration = Duration::from_millis(900);
/// Part of the extra requests allowed that each step sends at least, where traffic is so low that its
/// share proves nothing.
const STEP_EXTRA: f64 = 0.15;
/// Largest share of a step.
const STEP_SHARE_MAX: f64 = 0.25;
/// Part of the exposure allowed at which the steps stop sending.
const STEP_EXPOSURE_MAX: f64 = 0.5;
/// Share of [`Stage::Whole`]; the rest goes to the old version for comparison.
const WHOLE_SHARE: f64 = 0.9;
/// Part of the exposure allowed that [`Stage::Whole`] sends before anything can be learned from it.
const WHOLE_EXPOSURE: f64 = 0.4;
/// Shortest time of [`Stage::Whole`].
const WHOLE_TIME_MIN: Duration = Duration::from_millis(500);
/// Time within which all instances in touch know of [`Stage::Sealed`].
const SEALED_TIME_MIN: Duration = Duration::from_millis(400);
/// Time for which an ended roll-out restricts at least.
const END_DELAY: Duration = Duration::from_secs(10);
/// Answers that prove enough for the next stage, whatever the traffic.
const ANSWERS_ENOUGH: f64 = 8.0;
/// Fewest answers that prove enough. A service with less traffic stays at its stage.
const ANSWERS_MIN: f64 = 4.0;
/// Part of the expected answers that proves enough.
const ANSWERS_RATIO: f64 = 0.2;
/// Room of the new version, relative to the old one's, with which it can carry the traffic.
const ROOM_RATIO_MIN: f64 = 0.6;

/// Why a stage begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The order was seen.
    Ordered,
    /// The stage before proved enough.
    Proved,
    /// Nothing is under way at the old version any more.
    Idle,
    /// Little time is left.
    Deadline,
    /// The new version is bad.
    Bad,
    /// The order was removed.
    Removed,
    /// No upstream of the old version is registered.
    Alone,
    /// The upstreams that were to leave are gone.
    Gone,
}

/// What a stage is decided by.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// Bounds on the exposure.
    pub bounds: Bounds,
    /// The order; `None` once it was removed.
    pub order: Option<&'a Order>,
    /// State of this order, or of a removed one.
    pub state: Option<&'a State>,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the stage began.
    pub in_stage: Duration,
    /// Time since this instance became the coordinator.
    pub desk_age: Duration,
    /// Whether the new version was found to be bad.
    pub is_bad: bool,
    /// Requests to the service since the stage began.
    pub requests: u64,
    /// Answers and failures of the new version since the stage began.
    pub answered: u64,
    /// The failures among them.
    pub failures: u64,
    /// Whether nothing is under way at the old version and no instance sends there any more.
    pub is_old_idle: bool,
    /// Slots of the registered upstreams of the old version.
    pub old_slots: u64,
    /// Slots of the usable upstreams of the new version.
    pub new_slots: u64,
}

/// Latest time after the order at which it is completed or reverted.
#[must_use]
pub fn latest(over: Duration) -> Duration {
    let margin = Duration::from_millis(500) + over.mul_f64(0.02);
    over.saturating_sub(margin.min(over / 4))
}

/// Time of [`Stage::Whole`].
fn whole_time(bounds: &Bounds, over: Duration) -> Duration {
    let exposure = over.mul_f64(bounds.exposure_share.clamp(0.0, 1.0) * WHOLE_EXPOSURE);
    exposure.max(WHOLE_TIME_MIN).min(over / 8)
}

/// Time of each step.
fn step_time(bounds: &Bounds, over: Duration) -> Duration {
    let last = latest(over).saturating_sub(whole_time(bounds, over) + DECISION_TIME);
    let steps = STEP_SHARES.len() as u32;
    over.mul_f64(STEP_TIME_RATIO).min(last / steps)
}

/// Requests that a bad version may get until the deadline, as far as the traffic since the order
/// tells.
fn allowance(bounds: &Bounds, over: Duration, elapsed: Duration, requests: u64) -> f64 {
    let scale = over.as_secs_f64() / elapsed.as_secs_f64().max(0.001);
    bounds.exposure_share * requests as f64 * scale.max(1.0) + bounds.exposure_extra
}

/// Share of the traffic that goes to the new version at a stage, by the requests to the service and to
/// the new version since the order.
#[must_use]
pub fn share(
    bounds: &Bounds,
    order: &Order,
    stage: Stage,
    elapsed: Duration,
    requests: u64,
    exposure: u64,
) -> f64 {
    let step = match stage {
        Stage::Step(step) => usize::from(step).min(STEP_SHARES.len() - 1),
        Stage::Whole => return WHOLE_SHARE,
        Stage::Sealed | Stage::Complete => return 1.0,
        Stage::Reverted | Stage::Ended => return 0.0,
    };
    let allowed = allowance(bounds, order.over, elapsed, requests);
    if exposure as f64 >= allowed * STEP_EXPOSURE_MAX {
        return 0.0;
    }
    let rate = requests as f64 / elapsed.as_secs_f64().max(0.001);
    let per_step = rate * step_time(bounds, order.over).as_secs_f64();
    let for_few = bounds.exposure_extra * STEP_EXTRA / per_step.max(1.0);
    let share = bounds.exposure_share * STEP_SHARES[step];
    share.max(for_few).min(STEP_SHARE_MAX)
}

/// The stage to enter now, if any, and why.
#[must_use]
pub fn next(now: &Situation<'_>) -> Option<(Stage, Reason)> {
    let Some(order) = now.order else {
        let state = now.state?;
        return match state.stage {
            stage if stage.is_running() => Some((Stage::Reverted, Reason::Removed)),
            stage => ended(now, stage),
        };
    };
    let Some(state) = now.state else {
        return Some((Stage::Step(0), Reason::Ordered));
    };
    if !state.stage.is_running() {
        return ended(now, state.stage);
    }
    if now.is_bad {
        return Some((Stage::Reverted, Reason::Bad));
    }
    if now.old_slots == 0 && now.new_slots > 0 {
        return Some((Stage::Complete, Reason::Alone));
    }
    let is_late = now.elapsed >= latest(order.over);
    if state.stage == Stage::Sealed {
        let is_known = now.in_stage >= SEALED_TIME_MIN;
        return match (now.is_old_idle && is_known, is_late) {
            (true, _) => Some((Stage::Complete, Reason::Idle)),
            (false, true) => Some((Stage::Complete, Reason::Deadline)),
            (false, false) => None,
        };
    }
    if is_late {
        return Some((Stage::Reverted, Reason::Deadline));
    }
    let next = next_running(now, order, state.stage)?;
    Some((next, Reason::Proved))
}

fn next_running(now: &Situation<'_>, order: &Order, stage: Stage) -> Option<Stage> {
    if now.desk_age < DESK_AGE_MIN {
        return None;
    }
    let proportion = share(&now.bounds, order, stage, now.elapsed, now.requests, 0);
    let expected = proportion * now.requests as f64;
    let needed = (expected * ANSWERS_RATIO)
        .floor()
        .clamp(ANSWERS_MIN, ANSWERS_ENOUGH);
    let good = now.answered.saturating_sub(now.failures);
    let is_proved = good as f64 >= needed && now.new_slots > 0;
    let has_room = now.new_slots as f64 >= now.old_slots as f64 * ROOM_RATIO_MIN;
    let Stage::Step(step) = stage else {
        let is_over = now.in_stage >= whole_time(&now.bounds, order.over);
        return (is_over && is_proved).then_some(Stage::Sealed);
    };
    let next = step + 1;
    let step_time = step_time(&now.bounds, order.over);
    let is_due = now.elapsed >= step_time * u32::from(next) && now.in_stage >= step_time / 3;
    let is_last = usize::from(next) >= STEP_SHARES.len();
    (is_due && is_proved && (has_room || !is_last)).then_some(match is_last {
        true => Stage::Whole,
        false => Stage::Step(next),
    })
}

fn ended(now: &Situation<'_>, stage: Stage) -> Option<(Stage, Reason)> {
    let slots = match stage {
        Stage::Complete => now.old_slots,
        Stage::Reverted => now.new_slots,
        _ => return None,
    };
    let is_over = slots == 0 && now.in_stage >= END_DELAY;
    is_over.then_some((Stage::Ended, Reason::Gone))
}
