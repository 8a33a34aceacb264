//! Deletions of registrations: applied at once, or deferred during an outage of the store.

use std::time::Duration;

use mirror::Row;
use mirror::Table;
use mirror::succession::Origin;
use node::view_tracker::ViewTracker;
use tokio::time::Instant;

const REGISTRATION: &[u8] = br#"{"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,
    "phase":"ready","born":1,"version":"v1","cold_left_ms":0,"call_seq":1}"#;

fn row(version: u64, value: Option<&[u8]>) -> Row {
    Row {
        table: Table::Upstreams,
        key: "u".to_owned(),
        version,
        value: value.map(<[u8]>::to_vec),
    }
}

/// Whether the upstream is in the view.
fn is_used(tracker: &ViewTracker) -> bool {
    !tracker.view().upstreams.is_empty()
}

/// A tracker with complete rows and one upstream.
fn new_tracker(now: Instant) -> ViewTracker {
    let mut tracker = ViewTracker::default();
    tracker.set_age(Some(Duration::ZERO), now);
    tracker.apply(&[row(1, Some(REGISTRATION))], Origin::default(), now);
    tracker
}

/// Guards against keeping a deleted upstream while other instances still reach the store: for 8 s
/// the store refused some instances, and they kept upstreams that others had reported as deleted
/// (saffron-leaf-grown scale-2, seed of the day, i-bef3399e25).
#[test]
fn a_deletion_that_other_instances_confirm_applies_at_once() {
    let now = Instant::now();
    let mut tracker = new_tracker(now);
    tracker.set_age(Some(Duration::from_millis(500)), now);
    tracker.apply(&[row(2, None)], Origin::default(), now);
    assert!(!is_used(&tracker));
}

/// Guards against taking the crash of a reader for an outage: rows age for a second, in which no
/// registration lapses.
#[test]
fn a_deletion_after_a_short_gap_applies_at_once() {
    let now = Instant::now();
    let mut tracker = new_tracker(now);
    tracker.set_age(Some(Duration::from_secs(2)), now);
    tracker.set_age(Some(Duration::ZERO), now);
    tracker.apply(&[row(2, None)], Origin::default(), now);
    assert!(!is_used(&tracker));
}

#[test]
fn a_deletion_during_an_outage_is_deferred_past_the_recovery() {
    let now = Instant::now();
    let mut tracker = new_tracker(now);
    tracker.set_age(Some(Duration::from_secs(4)), now);
    tracker.apply(&[row(2, None)], Origin::default(), now);
    assert!(is_used(&tracker));
    let recovered_at = now + Duration::from_secs(5);
    tracker.expire(recovered_at);
    assert!(is_used(&tracker), "the outage goes on");
    tracker.set_age(Some(Duration::ZERO), recovered_at);
    tracker.expire(recovered_at + Duration::from_millis(1_900));
    assert!(is_used(&tracker), "the upstream may still register again");
    tracker.expire(recovered_at + Duration::from_millis(2_200));
    assert!(!is_used(&tracker));
}

#[test]
fn an_upstream_that_is_registered_again_stays() {
    let now = Instant::now();
    let mut tracker = new_tracker(now);
    tracker.set_age(Some(Duration::from_secs(4)), now);
    tracker.apply(&[row(2, None)], Origin::default(), now);
    tracker.set_age(Some(Duration::from_millis(500)), now);
    tracker.apply(
        &[row(3, Some(REGISTRATION))],
        Origin::default(),
        now + Duration::from_secs(1),
    );
    tracker.expire(now + Duration::from_secs(10));
    assert!(is_used(&tracker));
}

/// Guards against using a stopping upstream again because its registration still says `ready`.
#[test]
fn an_upstream_that_announced_its_stop_is_not_used_until_it_restarts() {
    let now = Instant::now();
    let mut tracker = new_tracker(now);
    let is_usable = |tracker: &ViewTracker| {
        let view = tracker.view();
        let mut upstreams = view.upstreams.values();
        upstreams.any(|it| view.is_usable(it))
    };
    let other_incarnation = "u@2".parse().expect("an incarnation");
    assert_eq!(tracker.set_leaving(&other_incarnation), None);
    assert!(is_usable(&tracker));
    let incarnation = "u@1".parse().expect("an incarnation");
    assert!(tracker.set_leaving(&incarnation).is_some());
    assert_eq!(
        tracker.set_leaving(&incarnation),
        None,
        "no change the second time"
    );
    tracker.apply(&[row(2, Some(REGISTRATION))], Origin::default(), now);
    assert!(!is_usable(&tracker));
    let restarted = String::from_utf8_lossy(REGISTRATION).replace("\"born\":1", "\"born\":2");
    tracker.apply(
        &[row(3, Some(restarted.as_bytes()))],
        Origin::default(),
        now,
    );
    assert!(is_usable(&tracker));
}
