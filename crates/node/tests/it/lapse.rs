//! Registrations that are deleted: at once, or held while the store may be away for everybody.

use std::time::Duration;

use mirror::Row;
use mirror::Table;
use node::view_tracker::ViewTracker;
use tokio::time::Instant;

const REGISTRATION: &[u8] = br#"{"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,
    "phase":"ready","born":1}"#;

fn row(version: u64, value: Option<&[u8]>) -> Row {
    Row {
        table: Table::Upstreams,
        key: "u".to_owned(),
        version,
        value: value.map(<[u8]>::to_vec),
    }
}

fn is_used(beliefs: &ViewTracker) -> bool {
    !beliefs.view().upstreams.is_empty()
}

/// A tracker with one upstream whose rows have been complete for a while.
fn beliefs(now: Instant) -> ViewTracker {
    let mut beliefs = ViewTracker::default();
    beliefs.set_age(Some(Duration::ZERO), now);
    beliefs.apply(&[row(1, Some(REGISTRATION))], now);
    beliefs
}

/// For 8 s the store refused some instances; they kept upstreams that others had told them were gone
/// (saffron-leaf-grown scale-2, seed of the day, i-bef3399e25).
#[test]
fn a_deletion_that_others_confirm_holds_at_once() {
    let now = Instant::now();
    let mut beliefs = beliefs(now);
    beliefs.set_age(Some(Duration::from_millis(500)), now);
    beliefs.apply(&[row(2, None)], now);
    assert!(!is_used(&beliefs));
}

/// A reader that dies makes rows old for a second; nothing lapses in that time.
#[test]
fn a_deletion_after_a_short_gap_holds_at_once() {
    let now = Instant::now();
    let mut beliefs = beliefs(now);
    beliefs.set_age(Some(Duration::from_secs(2)), now);
    beliefs.set_age(Some(Duration::ZERO), now);
    beliefs.apply(&[row(2, None)], now);
    assert!(!is_used(&beliefs));
}

#[test]
fn a_deletion_during_an_outage_is_held_until_after_the_return() {
    let now = Instant::now();
    let mut beliefs = beliefs(now);
    beliefs.set_age(Some(Duration::from_secs(4)), now);
    beliefs.apply(&[row(2, None)], now);
    assert!(is_used(&beliefs));
    let back = now + Duration::from_secs(5);
    beliefs.expire(back);
    assert!(is_used(&beliefs), "the store is still away");
    beliefs.set_age(Some(Duration::ZERO), back);
    beliefs.expire(back + Duration::from_millis(1_900));
    assert!(is_used(&beliefs), "it may be registered again");
    beliefs.expire(back + Duration::from_millis(2_200));
    assert!(!is_used(&beliefs));
}

#[test]
fn an_upstream_that_is_registered_again_stays() {
    let now = Instant::now();
    let mut beliefs = beliefs(now);
    beliefs.set_age(Some(Duration::from_secs(4)), now);
    beliefs.apply(&[row(2, None)], now);
    beliefs.set_age(Some(Duration::from_millis(500)), now);
    beliefs.apply(&[row(3, Some(REGISTRATION))], now + Duration::from_secs(1));
    beliefs.expire(now + Duration::from_secs(10));
    assert!(is_used(&beliefs));
}

/// Guards against an upstream that is used again because its registration still calls it ready.
#[test]
fn an_upstream_that_says_it_leaves_is_out_of_use_until_it_starts_anew() {
    let now = Instant::now();
    let mut beliefs = beliefs(now);
    let is_usable = |beliefs: &ViewTracker| {
        let view = beliefs.view();
        let mut upstreams = view.upstreams.values();
        upstreams.any(|it| view.is_usable(it))
    };
    let of_another_start = "u@2".parse().expect("an incarnation");
    assert_eq!(beliefs.set_leaving(&of_another_start), None);
    assert!(is_usable(&beliefs));
    let incarnation = "u@1".parse().expect("an incarnation");
    assert!(beliefs.set_leaving(&incarnation).is_some());
    assert_eq!(beliefs.set_leaving(&incarnation), None, "no news");
    beliefs.apply(&[row(2, Some(REGISTRATION))], now);
    assert!(!is_usable(&beliefs));
    let started_anew = String::from_utf8_lossy(REGISTRATION).replace("\"born\":1", "\"born\":2");
    beliefs.apply(&[row(3, Some(started_anew.as_bytes()))], now);
    assert!(is_usable(&beliefs));
}
