//! What upstreams say of themselves in answers: that they leave, and that they want nothing for a while.

use std::time::Duration;

use platform_standin::upstream::Fault;
use platform_standin::upstream::RETRY_AFTER_MS;
use platform_standin::upstream::Upstream;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Bound of the users on requests to a busy upstream after its word.
const SLACK: Duration = Duration::from_millis(500);
const BUSY: Duration = Duration::from_millis(RETRY_AFTER_MS);

/// Sends a request that may go to any upstream of `service`; each id has a prompt of its own.
async fn ask(fixture: &Fixture, service: &str, id: &str) -> u16 {
    let prompt = format!("x-prompt-prefix: {}:10,bb:20", hex(id));
    let (target, more): (&str, &[&str]) = match service {
        "ledger" => ("GET /read/1", &[]),
        "engine" => (
            "POST /summary/1",
            &["x-model: m", "x-token-count: 30,6", &prompt],
        ),
        _ => (
            "POST /draft/1",
            &[
                "x-model: m",
                "x-token-count: 30,6",
                &prompt,
                "x-chunks: 2",
                "x-chunk-key: k",
            ],
        ),
    };
    fixture.ask(target, id, more).await.status
}

fn hex(text: &str) -> String {
    text.bytes().map(|it| format!("{it:02x}")).collect()
}

/// Index of the first upstream of a service.
fn first(fixture: &Fixture, service: &str) -> usize {
    let mut upstreams = fixture.site.upstreams.iter();
    upstreams.position(|it| it.1 == service).expect("one")
}

/// Asks until more than `arrivals` requests have arrived at the upstream; returns how many have.
async fn arrive(fixture: &Fixture, service: &str, upstream: &Upstream, arrivals: u64) -> u64 {
    let mut number = 0;
    let has_arrived = || {
        number += 1;
        let id = format!("a{arrivals}-{number}");
        async move {
            ask(fixture, service, &id).await;
            upstream.arrivals() > arrivals
        }
    };
    eventually("an arrival", Duration::from_secs(8), has_arrived).await;
    upstream.arrivals()
}

async fn check_leaving(service: &str) {
    let fixture = Fixture::start(1).await;
    let upstream = &fixture.site.upstreams[first(&fixture, service)].0;
    upstream.announce_leaving();
    let arrivals = arrive(&fixture, service, upstream, 0).await;
    for idx in 0..20 {
        assert_eq!(ask(&fixture, service, &format!("b{idx}")).await, 200);
    }
    assert_eq!(upstream.arrivals(), arrivals);
}

async fn check_busy(service: &str) {
    let fixture = Fixture::start(1).await;
    let upstream = &fixture.site.upstreams[first(&fixture, service)].0;
    upstream.set_fault(Fault::Busy, None);
    let arrivals = arrive(&fixture, service, upstream, 0).await;
    let told = tokio::time::Instant::now();
    upstream.set_fault(Fault::None, None);
    let mut number = 0;
    while told.elapsed() < BUSY - SLACK / 2 {
        number += 1;
        assert_eq!(ask(&fixture, service, &format!("b{number}")).await, 200);
    }
    assert_eq!(upstream.arrivals(), arrivals);
    arrive(&fixture, service, upstream, arrivals).await;
}

macro_rules! services {
    ($($leaving:ident, $busy:ident: $service:literal;)*) => {
        $(
            /// Guards against requests to an upstream that says it leaves.
            #[tokio::test]
            async fn $leaving() {
                check_leaving($service).await;
            }

            /// Guards against requests to an upstream before the time that it asked for is over.
            #[tokio::test]
            async fn $busy() {
                check_busy($service).await;
            }
        )*
    };
}

services! {
    a_leaving_plain_upstream_gets_nothing, a_busy_plain_upstream_gets_nothing: "ledger";
    a_leaving_engine_gets_nothing, a_busy_engine_gets_nothing: "engine";
    a_leaving_step_upstream_gets_nothing, a_busy_step_upstream_gets_nothing: "steps";
}

/// Guards against a wait for upstreams that all want nothing: the client is told when to come back.
#[tokio::test]
async fn a_request_is_refused_at_once_while_all_upstreams_are_busy() {
    let fixture = Fixture::start(1).await;
    fixture.set_fault("ledger", Fault::Busy, None);
    let first = fixture.ask("GET /read/1", "a", &[]).await;
    assert_eq!(first.status, 503, "{}", first.head);
    let asked = tokio::time::Instant::now();
    let answer = fixture.ask("GET /read/1", "b", &[]).await;
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(asked.elapsed() < Duration::from_millis(300));
    // Clients wait for at most a third of the 2 s that the route gives them.
    assert!(answer.head.contains("retry-after: 0.6"), "{}", answer.head);
    let upstreams = fixture.site.upstreams.iter();
    let arrivals = upstreams.filter(|it| it.1 == "ledger");
    assert_eq!(arrivals.map(|it| it.0.arrivals()).sum::<u64>(), 2);
}
