//! Matching of routes, splitting by weight, and usability of upstreams.

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use catalog::Phase;
use catalog::Route;
use catalog::RouteKind;
use catalog::Target;
use catalog::Upstream;
use catalog::View;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        priority: 0,
        targets: Vec::new(),
        attempts_max: 1,
        steps: Vec::new(),
        is_public: false,
    }
}

fn check(host: &str, path: &str, expected: Option<&str>) {
    let catalog = Catalog::default().with_routes([
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);
    let found = catalog.route(host, path).map(|it| it.name.as_str());
    assert_eq!(found, expected);
}

macro_rules! cases {
    ($($name:ident: $host:expr, $path:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($host, $path, $expected);
            }
        )*
    };
}

cases! {
    a_prefix_matches: "a.example", "/x/1" => Some("short");
    the_longest_prefix_wins: "a.example", "/x/y/1" => Some("long");
    a_prefix_ends_at_a_slash: "a.example", "/xy" => None;
    routes_of_other_hosts_do_not_match: "b.example", "/x/y/1" => Some("other");
    an_unknown_host_has_no_route: "c.example", "/x/1" => None;
}

#[test]
fn requests_are_split_by_weight() {
    let target = |name: &str, weight| Target {
        service: name.parse().expect("a valid name"),
        weight,
    };
    let mut route = route("split", "a.example", "/");
    route.targets = vec![target("a", 90.0), target("b", 10.0)];
    let ids = (0..10_000).map(|it| it.to_string());
    let of_b = ids.filter(|it| route.target(it).is_some_and(|it| it.as_str() == "b"));
    let count = of_b.count();
    assert!(
        (800..1_200).contains(&count),
        "{count} of 10,000 requests went to the target with a weight of 10%"
    );
}

fn upstream(phase: Phase) -> Upstream {
    Upstream {
        name: "u".parse().expect("a valid name"),
        service: "s".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".parse().expect("a valid name"),
        slots: 1,
        phase,
        started_ms: 1,
        software: "v1".parse().expect("a name"),
        version: 1,
    }
}

fn view(upstream: Upstream) -> View {
    let mut view = View::default();
    view.upstreams
        .insert(upstream.name.clone(), Arc::new(upstream));
    view
}

#[test]
fn a_draining_upstream_is_not_usable() {
    let view = view(upstream(Phase::Draining));
    assert_eq!(view.usable(&"s".parse().expect("a valid name")).count(), 0);
}

#[test]
fn an_upstream_in_an_evacuated_zone_is_not_usable() {
    let mut view = view(upstream(Phase::Ready));
    view.evacuated_zones
        .insert("z".parse().expect("a valid name"));
    assert_eq!(view.usable(&"s".parse().expect("a valid name")).count(), 0);
}

#[test]
fn a_restarted_upstream_is_not_the_previous_one() {
    let view = view(upstream(Phase::Ready));
    let before = Upstream {
        started_ms: 0,
        ..upstream(Phase::Ready)
    };
    assert!(!view.is_still_usable(&before));
    assert!(view.is_still_usable(&upstream(Phase::Ready)));
}
