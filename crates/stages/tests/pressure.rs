//! Whether an owner knows that it doesn't keep up, and what others make of it.

use std::time::Duration;

use base::id;
use stages::pressure::Holds;
use stages::pressure::Pressure;
use tokio::time::Instant;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Lags of a process, one each 25 ms, from `start`.
fn record(pressure: &mut Pressure, start: Instant, lags: impl IntoIterator<Item = u64>) -> Instant {
    let mut now = start;
    for lag in lags {
        now += ms(25);
        pressure.record(ms(lag), now);
    }
    now
}

/// Guards against work that is turned away because a quota of 0.12 of a core stalls the process for 88 of
/// each 100 ms, though it handles everything in the rest.
#[test]
fn stalls_of_a_quota_are_no_pressure() {
    let mut pressure = Pressure::default();
    let lags = (0..40).flat_map(|_| [88, 60, 30, 0]);
    let now = record(&mut pressure, Instant::now(), lags);
    for priority in 0..4 {
        assert_eq!(
            pressure.busy_for(priority, now),
            None,
            "priority {priority}"
        );
    }
}

/// Answers the burst in which owners fell behind and silent: one that doesn't keep up turns work away,
/// the least urgent first, and takes it again as soon as it has caught up.
#[test]
fn the_least_urgent_work_is_turned_away_first() {
    let mut pressure = Pressure::default();
    let start = Instant::now();
    let now = record(&mut pressure, start, [70; 11]);
    assert_eq!(
        pressure.busy_for(2, now),
        None,
        "within three periods of a quota"
    );
    let now = record(&mut pressure, now, [70; 4]);
    assert!(pressure.busy_for(7, now).is_some());
    assert!(pressure.busy_for(2, now).is_some());
    assert_eq!(pressure.busy_for(1, now), None);
    let now = record(&mut pressure, now, [150; 14]);
    assert!(pressure.busy_for(1, now).is_some());
    assert_eq!(pressure.busy_for(0, now), None);
    let now = record(&mut pressure, now, [400; 14]);
    assert_eq!(pressure.busy_for(0, now), Some(ms(800)), "twice the lag");
    let now = record(&mut pressure, now, [10]);
    for priority in 0..4 {
        assert_eq!(pressure.busy_for(priority, now), None);
    }
}

/// Guards against an owner that gets all of what it has just turned away again, and against urgent work
/// that is held back with less urgent work.
#[test]
fn work_that_is_no_more_urgent_is_held_back_until_the_time_is_over() {
    let now = Instant::now();
    let (owner, other): (id::Instance, id::Instance) = (
        "owner".parse().expect("a valid name"),
        "other".parse().expect("a valid name"),
    );
    let mut holds = Holds::default();
    holds.record(&owner, 1, ms(400), now);
    assert_eq!(holds.held_for(&owner, 0, now), None);
    assert_eq!(holds.held_for(&owner, 1, now), Some(ms(400)));
    assert_eq!(holds.held_for(&owner, 2, now + ms(100)), Some(ms(300)));
    assert_eq!(holds.held_for(&owner, 2, now + ms(400)), None);
    assert_eq!(holds.held_for(&other, 2, now), None);
}
