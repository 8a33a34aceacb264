//! Which upstreams a stream may begin and go on at, and which origins are saved.

use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use catalog::Phase;
use catalog::Upstream;
use catalog::View;
use forwarding::origin;
use forwarding::origin::Continuation;
use forwarding::origin::Origin;
use forwarding::origin::Origins;
use forwarding::origin::Record;
use tokio::time::Instant;

fn name<T: std::str::FromStr<Err = id::ParseError>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn upstream(service: &str, software: &str) -> Upstream {
    Upstream {
        name: name("i-1"),
        service: name(service),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: name("a"),
        slots: 4,
        phase: Phase::Ready,
        started_ms: 1,
        software: name(software),
        version: 1,
    }
}

fn origin_of(service: &str, software: &str) -> Origin {
    Origin::of(&upstream(service, software))
}

/// View in which the store records these versions of the service "s".
fn view(recorded: &[&str]) -> View {
    let mut view = View::default();
    if !recorded.is_empty() {
        let versions = recorded.iter().map(|it| name(it)).collect();
        view.software.insert(name("s"), versions);
    }
    view
}

macro_rules! allowed {
    ($($name:ident: $continuation:expr, $recorded:expr, $software:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let continuation: Continuation = $continuation;
                let allows = continuation.allows(&view(&$recorded), &upstream("s", $software));
                assert_eq!(allows, $expected);
            }
        )*
    };
}

allowed! {
    a_stream_goes_on_at_its_version:
        Continuation::Resumes(origin_of("s", "v1")), ["v1", "v2"], "v1" => true;
    a_stream_never_goes_on_at_another_version:
        Continuation::Resumes(origin_of("s", "v1")), ["v1", "v2"], "v2" => false;
    a_stream_never_goes_on_at_another_service:
        Continuation::Resumes(origin_of("t", "v1")), ["v1"], "v1" => false;
    a_stream_begins_at_a_recorded_version: Continuation::Begins, ["v1", "v2"], "v2" => true;
    a_stream_does_not_begin_at_a_version_that_is_not_recorded:
        Continuation::Begins, ["v1"], "v2" => false;
    no_stream_begins_before_its_version_is_recorded: Continuation::Begins, [], "v1" => false;
    other_requests_go_to_any_version: Continuation::Unrestricted, ["v1"], "v2" => true;
}

macro_rules! guesses {
    ($($name:ident: $versions:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let versions: &[&str] = &$versions;
                let versions: BTreeSet<id::Software> = versions.iter().map(|it| name(it)).collect();
                let origin = origin::only_origin(&name("s"), &versions);
                assert_eq!(origin.map(|it| it.software.to_string()), $expected);
            }
        )*
    };
}

guesses! {
    the_only_version_began_every_stream: ["v1"] => Some("v1".to_owned());
    of_several_versions_none_is_guessed: ["v1", "v2"] => None;
    without_a_record_no_version_is_guessed: [] => None;
}

fn record(stream: u64, service: &str, expires_at: Instant) -> Record {
    Record {
        stream: id::Fingerprint(stream),
        origin: origin_of(service, "v1"),
        expires_at,
    }
}

#[test]
fn only_origins_of_services_with_several_versions_are_handed_over() {
    let mut origins = Origins::default();
    let expires_at = Instant::now() + Duration::from_secs(6);
    let (other, mixed) = (record(1, "s", expires_at), record(2, "t", expires_at));
    origins.record(other.clone());
    origins.record(mixed.clone());
    let is_mixed = |it: &id::Service| it.as_str() == "t";
    let own = origins.own(is_mixed, 10);
    assert_eq!(own, [mixed]);
    origins.mark_handed_over(&own);
    assert!(origins.own(is_mixed, 10).is_empty());
    assert!(origins.unsaved(|_| true, 10).is_empty());
    // The other service gets a second version.
    assert_eq!(origins.own(|_| true, 10), [other]);
}

#[test]
fn origins_that_no_instance_takes_are_saved_by_their_own() {
    let mut origins = Origins::default();
    let expires_at = Instant::now() + Duration::from_secs(6);
    origins.record(record(1, "s", expires_at));
    origins.keep(&origins.own(|_| true, 10));
    origins.hold(record(2, "s", expires_at));
    assert!(origins.own(|_| true, 10).is_empty());
    let unsaved = origins.unsaved(|_| true, 10);
    assert_eq!(unsaved.len(), 2);
    origins.mark_saved(&unsaved);
    assert!(origins.unsaved(|_| true, 10).is_empty());
}

#[test]
fn rows_of_expired_streams_are_deleted_once_by_who_saved_them() {
    let mut origins = Origins::default();
    let expires_at = Instant::now() + Duration::from_secs(6);
    let records: Vec<Record> = (1..=4).map(|it| record(it, "s", expires_at)).collect();
    origins.hold(records[0].clone());
    origins.hold(records[1].clone());
    origins.record(records[2].clone());
    origins.record(records[3].clone());
    origins.mark_handed_over(&records[2..3]);
    origins.mark_saved(&records[..1]);
    origins.expire(expires_at - Duration::from_millis(1));
    assert!(origins.get(id::Fingerprint(1)).is_some());
    origins.expire(expires_at);
    assert_eq!(origins.get(id::Fingerprint(1)), None);
    // The second one expired while it was being saved.
    origins.mark_saved(&records[1..2]);
    let obsolete = origins.obsolete(10);
    assert_eq!(obsolete, [id::Fingerprint(1), id::Fingerprint(2)]);
    origins.mark_deleted(&obsolete);
    assert!(origins.obsolete(10).is_empty());
}

/// Guards against the deletion of a row that is needed, when a client resumes its stream at the
/// instance that saved its origin, or the origin is handed over once more.
#[test]
fn origins_that_arrive_again_keep_their_rows() {
    let mut origins = Origins::default();
    let expires_at = Instant::now() + Duration::from_secs(6);
    let saved = record(1, "s", expires_at);
    origins.hold(saved.clone());
    origins.mark_saved(std::slice::from_ref(&saved));
    origins.remember(saved.clone());
    origins.hold(saved.clone());
    assert!(origins.obsolete(10).is_empty());
    assert!(origins.unsaved(|_| true, 10).is_empty());
    origins.expire(expires_at);
    assert_eq!(origins.obsolete(10), [id::Fingerprint(1)]);
    origins.hold(saved);
    assert!(origins.obsolete(10).is_empty());
}

/// Guards against the loss of origins with the instance that has taken them.
#[test]
fn reclaimed_origins_are_handed_over_again() {
    let mut origins = Origins::default();
    let expires_at = Instant::now() + Duration::from_secs(6);
    origins.record(record(1, "s", expires_at));
    origins.hold(record(2, "s", expires_at));
    origins.mark_handed_over(&origins.own(|_| true, 10));
    assert!(origins.own(|_| true, 10).is_empty());
    origins.reclaim();
    assert_eq!(origins.own(|_| true, 10), [record(1, "s", expires_at)]);
    assert_eq!(origins.unsaved(|_| true, 10).len(), 1);
}
