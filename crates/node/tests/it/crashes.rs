//! Requests that crash upstreams which start again, over several instances.

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::crash;
use platform_standin::crash::CrashMode;
use platform_standin::crash::CrashPlan;
use platform_standin::crash::Crashes;
use platform_standin::crash::RestartName;
use platform_standin::site::API_KEY;
use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::store::Mode;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::fixture::Fixture;
use crate::fixture::Node;
use crate::fixture::eventually;

/// Crashes after which a request is known to crash upstreams.
const KNOWN_AFTER: usize = 3;
/// Bound of the users: within this time of the third crash, every instance knows.
const CONTACT: Duration = Duration::from_secs(3);
/// Bound of the users: sends after that time.
const FURTHER_MAX: usize = 3;
/// Longest time that a client waits.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);

/// What happens while the request comes again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Nothing,
    /// All instances are killed and start anew at this time.
    RestartAll(Duration),
}

struct Case {
    nodes: usize,
    service: &'static str,
    upstreams: usize,
    /// Time between two requests.
    interval: Duration,
    target: &'static str,
    returns: RestartName,
    ending: CrashMode,
    back_after: Duration,
    /// Silence after which the store drops a registration.
    lapse: Duration,
    fails_after: Option<usize>,
    event: Event,
    length: Duration,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            nodes: 5,
            service: "ledger",
            upstreams: 8,
            interval: Duration::from_millis(100),
            target: "GET /read/poison",
            returns: RestartName::Same,
            ending: CrashMode::Reset,
            back_after: Duration::from_millis(700),
            lapse: Duration::from_millis(3_600),
            fails_after: None,
            event: Event::Nothing,
            length: Duration::from_secs(9),
        }
    }
}

async fn ask(front: SocketAddr, target: &'static str, id: String) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [
        key.as_str(),
        id.as_str(),
        "x-deadline-ms: 1000",
        "x-model: m",
        "x-token-count: 30,6",
        "x-prompt-prefix: aa:10,bb:20",
        "x-chunks: 2",
        "x-chunk-key: poison",
    ];
    let answer = client::send_request(front, target, &headers, b"");
    let answer = tokio::time::timeout(CLIENT_DEADLINE, answer).await;
    answer.map_or(0, |it| it.status)
}

/// Has the request sent for the whole length, in turn to every instance.
async fn repeat(fixture: &mut Fixture, case: &Case) {
    let start = Instant::now();
    let mut asked = JoinSet::new();
    let mut event = case.event;
    for idx in 0_usize.. {
        if start.elapsed() >= case.length {
            break;
        }
        if let Event::RestartAll(at) = event
            && start.elapsed() >= at
        {
            event = Event::Nothing;
            restart_all(fixture).await;
        }
        let front = fixture.nodes[idx % case.nodes].front;
        asked.spawn(ask(front, case.target, format!("p{idx}")));
        tokio::time::sleep(case.interval).await;
    }
    while asked.join_next().await.is_some() {}
}

/// Deregisters the upstreams of a service that never crash.
fn take_out(fixture: &Fixture, service: &str) {
    for (idx, upstream) in fixture.site.upstreams.iter().enumerate() {
        if upstream.1 == service {
            fixture.site.deregister(idx);
        }
    }
}

async fn restart_all(fixture: &mut Fixture) {
    let count = fixture.nodes.len();
    for node in std::mem::take(&mut fixture.nodes) {
        node.kill();
    }
    for idx in 0..count {
        let zone = if idx.is_multiple_of(2) { "a" } else { "b" };
        let node = Node::start(&format!("n{idx}"), zone, fixture.site.store_address);
        fixture.nodes.push(node);
    }
    for node in &fixture.nodes {
        eventually("ready", Duration::from_secs(20), || node.is_ready()).await;
    }
}

/// Sends that came later than the users' bound after the third crash.
fn further(crashes: &Crashes) -> usize {
    let crashes = crashes.all();
    let Some(third) = crashes.get(KNOWN_AFTER - 1) else {
        return 0;
    };
    let late = crashes.iter().filter(|it| it.at > third.at + CONTACT);
    late.count()
}

/// Upstreams with the usual lapse, that end as `ending` says and stay away.
fn gone_for_good(service: &'static str, ending: CrashMode) -> Case {
    Case {
        service,
        ending,
        returns: RestartName::New,
        back_after: Duration::from_secs(60),
        ..Case::default()
    }
}

/// Starts nodes and the upstreams of a case in place of those that never crash.
async fn start(case: &Case) -> (Fixture, Crashes) {
    let fixture = Fixture::start(case.nodes).await;
    take_out(&fixture, case.service);
    let (target, events) = match case.service {
        "engine" => ("POST /summary/1", EVENTS_PER_STREAM),
        _ => ("GET /read/other", 0),
    };
    let plan = CrashPlan::builder()
        .service(case.service)
        .count(case.upstreams)
        .events(events)
        .restart_name(case.returns)
        .mode(case.ending)
        .restart_after(case.back_after)
        .registration_ttl(case.lapse)
        .maybe_error_after_crashes(case.fails_after)
        .build();
    let crashes = crash::start(&fixture.site.store, &plan).await;
    let crashes = crashes.expect("ports for upstreams");
    for node in &fixture.nodes {
        let front = node.front;
        let is_served = || async { ask(front, target, "o".to_owned()).await == 200 };
        eventually("an upstream", Duration::from_secs(5), is_served).await;
    }
    (fixture, crashes)
}

async fn check(case: Case) {
    let (mut fixture, crashes) = start(&case).await;
    repeat(&mut fixture, &case).await;
    assert!(crashes.all().len() >= KNOWN_AFTER, "{:?}", crashes.all());
    let further = further(&crashes);
    assert!(
        further <= FURTHER_MAX,
        "{further} sends after it was known, {} crashes in all",
        crashes.all().len()
    );
    let front = fixture.nodes[0].front;
    let is_served = || async { ask(front, "GET /read/other", "e".to_owned()).await == 200 };
    eventually("other requests", Duration::from_secs(8), is_served).await;
}

/// Guards against a failure of an upstream that never ran the request and yet acquits it.
#[tokio::test]
async fn a_failure_acquits_no_request() {
    let case = Case {
        nodes: 1,
        fails_after: Some(2),
        ..gone_for_good("ledger", CrashMode::Reset)
    };
    let (fixture, crashes) = start(&case).await;
    let front = fixture.nodes[0].front;
    let mut statuses = Vec::new();
    for idx in 0..5 {
        statuses.push(ask(front, "POST /post/poison", format!("p{idx}")).await);
        // The node asks the upstream for a connection meanwhile.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(statuses, [502, 502, 500, 502, 503]);
    assert_eq!(crashes.all().len(), KNOWN_AFTER);
}

/// Guards against a send of a request that is found to crash upstreams while its steps run.
#[tokio::test]
async fn a_request_is_refused_when_it_is_known_before_it_is_sent() {
    let case = Case {
        nodes: 1,
        ..gone_for_good("engine", CrashMode::Reset)
    };
    let (mut fixture, crashes) = start(&case).await;
    take_out(&fixture, "steps");
    // Its calls are lost and made again, until there is another one.
    let never = Duration::from_secs(60);
    let added = fixture.site.add("steps", 0, never).await;
    added.expect("a port for an upstream");
    let front = fixture.nodes[0].front;
    let first = tokio::spawn(draft(front, "a", "x-chunks: 2"));
    for id in ["b", "c", "d"] {
        tokio::time::sleep(Duration::from_millis(50)).await;
        draft(front, id, "x-chunks: 0").await;
    }
    assert_eq!(crashes.all().len(), KNOWN_AFTER);
    let added = fixture.site.add("steps", 0, Duration::from_millis(5)).await;
    added.expect("a port for an upstream");
    let status = first.await.expect("an answer");
    assert_eq!((status, crashes.all().len()), (503, KNOWN_AFTER));
}

/// Guards against losses that are told late because the store takes no writes.
#[tokio::test]
async fn losses_are_told_while_the_store_is_away() {
    let case = Case {
        nodes: 3,
        lapse: Duration::from_secs(60),
        ..gone_for_good("ledger", CrashMode::Reset)
    };
    let (fixture, crashes) = start(&case).await;
    fixture.site.store.set_mode(Mode::Busy);
    // One crash at each node, slowly enough for each write to fail and to be tried again.
    for (idx, node) in fixture.nodes.iter().enumerate() {
        ask(node.front, "POST /post/poison", format!("p{idx}")).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    for (idx, node) in fixture.nodes.iter().enumerate() {
        let status = ask(node.front, "POST /post/poison", format!("q{idx}")).await;
        assert_eq!(status, 503, "node {idx}");
    }
    assert_eq!(crashes.all().len(), KNOWN_AFTER);
}

/// Sends a request with steps that crashes engines.
async fn draft(front: SocketAddr, id: &'static str, pieces: &'static str) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [
        key.as_str(),
        id.as_str(),
        "x-deadline-ms: 4000",
        "x-model: m",
        "x-token-count: 30,6",
        "x-prompt-prefix: aa:10,bb:20",
        "x-chunk-key: k",
        pieces,
    ];
    client::send_request(front, "POST /draft/poison", &headers, b"")
        .await
        .status
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check($case).await;
            }
        )*
    };
}

cases! {
    /// Guards against crashes that do not count because the upstream is registered again.
    poison_is_refused_though_upstreams_return_under_their_names: Case::default();
    /// Guards against crashes that do not count before the registrations lapse.
    poison_is_refused_before_registrations_lapse: Case {
        returns: RestartName::New,
        back_after: Duration::from_millis(500),
        ..Case::default()
    };
    /// Guards against crashes that leave no trace because they end in silence.
    poison_that_silences_upstreams_is_refused: Case {
        upstreams: 20,
        interval: Duration::from_millis(500),
        target: "POST /post/poison",
        ending: CrashMode::Hang,
        back_after: Duration::from_secs(30),
        ..Case::default()
    };
    /// Guards against crashes in calls of steps, which the instance that owns them makes.
    poison_pieces_are_refused: Case {
        service: "steps",
        target: "POST /draft/1",
        ..Case::default()
    };
    /// Guards against a failure of an upstream that acquits the request for a minute.
    poison_is_refused_though_an_upstream_failed_it: Case {
        returns: RestartName::New,
        back_after: Duration::from_millis(500),
        fails_after: Some(1),
        length: Duration::from_secs(10),
        ..Case::default()
    };
    /// Guards against crashes that no instance remembers once all have restarted.
    poison_is_refused_after_all_instances_restarted: Case {
        returns: RestartName::New,
        event: Event::RestartAll(Duration::from_secs(6)),
        length: Duration::from_secs(14),
        ..Case::default()
    };
}
