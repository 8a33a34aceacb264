//! Requests that crash upstreams, and frequent ones that only look so.

use std::time::Duration;

use base::id;
use forwarding::poison::Quarantine;
use tokio::time::Instant;

const POISON: id::Fingerprint = id::Fingerprint(1);
const OTHER: id::Fingerprint = id::Fingerprint(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(name: &str) -> id::Upstream {
    name.parse().expect("a valid id")
}

/// What happens to a request, a word each: a name loses that upstream, `ok` is an answer, and
/// `+MS` passes time.
fn after(events: &str, start: Instant) -> (Quarantine, Instant) {
    let mut quarantine = Quarantine::default();
    let mut now = start;
    for event in events.split_whitespace() {
        match event.strip_prefix('+') {
            Some(millis) => now += ms(millis.parse().expect("milliseconds")),
            None if event == "ok" => {
                quarantine.answered(POISON, now);
            }
            None => {
                quarantine.crashed(POISON, upstream(event), now);
            }
        }
    }
    (quarantine, now)
}

/// Checks whether the request is refused while the upstreams in `registered` are still there.
fn check(events: &str, registered: &str, is_refused: bool) {
    let (quarantine, now) = after(events, Instant::now());
    let is_registered = |it: &id::Upstream| registered.split(' ').any(|name| name == it.as_str());
    assert_eq!(
        quarantine.is_refused(POISON, is_registered, now),
        is_refused,
        "{events}"
    );
    assert!(!quarantine.is_refused(OTHER, is_registered, now));
}

macro_rules! cases {
    ($($name:ident: $events:literal, $registered:literal => $is_refused:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check($events, $registered, $is_refused);
            }
        )*
    };
}

cases! {
    three_lost_upstreams_refuse_it: "a b c", "" => true;
    one_upstream_counts_once: "a a b", "" => false;
    an_upstream_that_lives_on_only_lost_an_answer: "a b c", "b" => false;
    a_fourth_upstream_makes_up_for_it: "a b c d", "b" => true;
    an_answer_clears_it: "a b c ok", "" => false;
    an_answered_request_is_no_suspect: "ok a b c", "" => false;
    an_old_answer_does_not_count: "ok +61000 a b c", "" => true;
    losses_are_forgotten: "a b c +61000", "" => false;
}

#[test]
fn losses_reach_instances_that_were_told_by_others() {
    let (first, now) = after("a b c +500", Instant::now());
    let mut second = Quarantine::default();
    for (fingerprint, name) in first.recent(now) {
        second.crashed(fingerprint, name, now);
    }
    assert!(second.is_refused(POISON, |_| false, now));
    assert!(first.recent(now + ms(2_000)).is_empty());
}

#[test]
fn a_cleared_request_is_cleared_elsewhere() {
    let (first, now) = after("a b c ok", Instant::now());
    let (mut second, _) = after("a b c", now);
    for fingerprint in first.cleared(now) {
        second.answered(fingerprint, now);
    }
    assert!(!second.is_refused(POISON, |_| false, now));
    assert!(first.cleared(now + ms(2_500)).is_empty());
}

#[test]
fn answers_of_requests_that_nobody_suspects_are_no_news() {
    let (quarantine, now) = after("ok", Instant::now());
    assert!(quarantine.cleared(now).is_empty());
}
