//! Requests that crash upstreams, sent to several instances. The upstreams may restart.

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

/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// The users' bound on the time from the third crash until every instance refuses the request.
const QUARANTINE_DELAY_MAX: Duration = Duration::from_secs(3);
/// The users' bound on the number of crashes after that time.
const LATE_CRASHES_MAX: usize = 3;
/// Time after which a client stops waiting for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens while the request is sent repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    None,
    /// All instances are killed and restarted at this time.
    RestartAll(Duration),
}

struct Case {
    nodes: usize,
    service: &'static str,
    upstreams: usize,
    /// Time between two requests.
    interval: Duration,
    target: &'static str,
    restart_name: RestartName,
    crash_mode: CrashMode,
    /// Time from a crash to the restart.
    restart_after: Duration,
    /// Silence after which the store drops a registration.
    registration_ttl: Duration,
    /// Number of crashes after which one request is answered with a failure without being run.
    error_after_crashes: Option<usize>,
    disruption: Disruption,
    /// Time for which the request is sent.
    duration: Duration,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            nodes: 5,
            service: "ledger",
            upstreams: 8,
            interval: Duration::from_millis(100),
            target: "GET /read/poison",
            restart_name: RestartName::Same,
            crash_mode: CrashMode::Reset,
            restart_after: Duration::from_millis(700),
            registration_ttl: Duration::from_millis(3_600),
            error_after_crashes: None,
            disruption: Disruption::None,
            duration: Duration::from_secs(9),
        }
    }
}

/// Sends a request with headers for every service; returns its status, or 0 after a timeout.
async fn send(client_address: SocketAddr, target: &'static str, id: String) -> u16 {
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
    let response = client::send_request(client_address, target, &headers, b"");
    let response = tokio::time::timeout(CLIENT_TIMEOUT, response).await;
    response.map_or(0, |it| it.status)
}

/// Sends the request to each instance in turn until the duration of the case is over.
async fn send_repeatedly(fixture: &mut Fixture, case: &Case) {
    let start = Instant::now();
    let mut requests = JoinSet::new();
    let mut disruption = case.disruption;
    for idx in 0_usize.. {
        if start.elapsed() >= case.duration {
            break;
        }
        if let Disruption::RestartAll(at) = disruption
            && start.elapsed() >= at
        {
            disruption = Disruption::None;
            restart_all(fixture).await;
        }
        let client_address = fixture.nodes[idx % case.nodes].client_address;
        requests.spawn(send(client_address, case.target, format!("p{idx}")));
        tokio::time::sleep(case.interval).await;
    }
    while requests.join_next().await.is_some() {}
}

/// Deregisters the site's own upstreams of a service.
pub(crate) fn deregister_service(fixture: &Fixture, service: &str) {
    for (idx, upstream) in fixture.site.upstreams.iter().enumerate() {
        if upstream.1 == service {
            fixture.site.deregister(idx);
        }
    }
}

/// Kills all nodes and starts them again; returns when they are ready.
pub(crate) async fn restart_all(fixture: &mut Fixture) {
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

/// Number of crashes later than [`QUARANTINE_DELAY_MAX`] after the third one.
fn count_late_crashes(crashes: &Crashes) -> usize {
    let crashes = crashes.all();
    let Some(third) = crashes.get(QUARANTINE_CRASHES - 1) else {
        return 0;
    };
    let late = crashes
        .iter()
        .filter(|it| it.at > third.at + QUARANTINE_DELAY_MAX);
    late.count()
}

/// A case whose upstreams crash as `crash_mode` says and do not restart before the test ends.
fn without_restart(service: &'static str, crash_mode: CrashMode) -> Case {
    Case {
        service,
        crash_mode,
        restart_name: RestartName::New,
        restart_after: Duration::from_secs(60),
        ..Case::default()
    }
}

/// Starts the nodes, and the upstreams of the case in place of the site's own, which never crash.
/// Returns when every node has reached one of them.
async fn start(case: &Case) -> (Fixture, Crashes) {
    let fixture = Fixture::start(case.nodes).await;
    deregister_service(&fixture, case.service);
    let (target, events) = match case.service {
        "engine" => ("POST /summary/1", EVENTS_PER_STREAM),
        _ => ("GET /read/other", 0),
    };
    let plan = CrashPlan::builder()
        .service(case.service)
        .count(case.upstreams)
        .events(events)
        .restart_name(case.restart_name)
        .mode(case.crash_mode)
        .restart_after(case.restart_after)
        .registration_ttl(case.registration_ttl)
        .maybe_error_after_crashes(case.error_after_crashes)
        .build();
    let crashes = crash::start(&fixture.site.store, &plan).await;
    let crashes = crashes.expect("ports for the upstreams");
    for node in &fixture.nodes {
        let client_address = node.client_address;
        let is_served = || async { send(client_address, target, "o".to_owned()).await == 200 };
        eventually("an answer", Duration::from_secs(5), is_served).await;
    }
    (fixture, crashes)
}

async fn check(case: Case) {
    let (mut fixture, crashes) = start(&case).await;
    send_repeatedly(&mut fixture, &case).await;
    assert!(
        crashes.all().len() >= QUARANTINE_CRASHES,
        "{:?}",
        crashes.all()
    );
    let late_crashes = count_late_crashes(&crashes);
    assert!(
        late_crashes <= LATE_CRASHES_MAX,
        "{late_crashes} crashes after the request should be quarantined, {} in all",
        crashes.all().len()
    );
    let client_address = fixture.nodes[0].client_address;
    let is_served =
        || async { send(client_address, "GET /read/other", "e".to_owned()).await == 200 };
    eventually("other requests", Duration::from_secs(8), is_served).await;
}

/// Guards against clearing the suspicion against a request because an upstream that never ran it
/// answered with a failure.
#[tokio::test]
async fn a_failure_does_not_clear_a_suspected_request() {
    let case = Case {
        nodes: 1,
        error_after_crashes: Some(2),
        ..without_restart("ledger", CrashMode::Reset)
    };
    let (fixture, crashes) = start(&case).await;
    let client_address = fixture.nodes[0].client_address;
    let mut statuses = Vec::new();
    for idx in 0..5 {
        statuses.push(send(client_address, "POST /post/poison", format!("p{idx}")).await);
        // Time for the node to probe the upstream with a new connection.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(statuses, [502, 502, 500, 502, 503]);
    assert_eq!(crashes.all().len(), QUARANTINE_CRASHES);
}

/// Guards against sending a request that was quarantined while its steps ran.
#[tokio::test]
async fn a_request_that_is_quarantined_during_its_steps_is_not_sent() {
    let case = Case {
        nodes: 1,
        ..without_restart("engine", CrashMode::Reset)
    };
    let (mut fixture, crashes) = start(&case).await;
    deregister_service(&fixture, "steps");
    // Calls to this upstream are lost and retried until another one is added.
    let service_time = Duration::from_secs(60);
    let added = fixture.site.add("steps", 0, service_time).await;
    added.expect("a port for an upstream");
    let client_address = fixture.nodes[0].client_address;
    let first_request = tokio::spawn(send_draft(client_address, "a", "x-chunks: 2"));
    for id in ["b", "c", "d"] {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send_draft(client_address, id, "x-chunks: 0").await;
    }
    assert_eq!(crashes.all().len(), QUARANTINE_CRASHES);
    let added = fixture.site.add("steps", 0, Duration::from_millis(5)).await;
    added.expect("a port for an upstream");
    let status = first_request.await.expect("an answer");
    assert_eq!((status, crashes.all().len()), (503, QUARANTINE_CRASHES));
}

/// Guards against losses that reach other instances late because the store accepts no writes.
#[tokio::test]
async fn losses_reach_other_instances_during_a_store_outage() {
    let case = Case {
        nodes: 3,
        registration_ttl: Duration::from_secs(60),
        ..without_restart("ledger", CrashMode::Reset)
    };
    let (fixture, crashes) = start(&case).await;
    fixture.site.store.set_mode(Mode::Busy);
    // One crash at each node, far enough apart that each write to the store fails and is retried.
    for (idx, node) in fixture.nodes.iter().enumerate() {
        send(node.client_address, "POST /post/poison", format!("p{idx}")).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    for (idx, node) in fixture.nodes.iter().enumerate() {
        let status = send(node.client_address, "POST /post/poison", format!("q{idx}")).await;
        assert_eq!(status, 503, "node {idx}");
    }
    assert_eq!(crashes.all().len(), QUARANTINE_CRASHES);
}

/// Sends a request with steps that crashes engines; returns its status.
async fn send_draft(
    client_address: SocketAddr,
    id: &'static str,
    chunks_header: &'static str,
) -> u16 {
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
        chunks_header,
    ];
    client::send_request(client_address, "POST /draft/poison", &headers, b"")
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
    /// Guards against crashes that do not count because the upstream registers again.
    poison_is_refused_though_upstreams_restart_under_the_same_name: Case::default();
    /// Guards against crashes that do not count before the registrations lapse.
    poison_is_refused_before_registrations_lapse: Case {
        restart_name: RestartName::New,
        restart_after: Duration::from_millis(500),
        ..Case::default()
    };
    /// Guards against crashes that are not recorded because connections hang instead of breaking.
    poison_that_hangs_upstreams_is_refused: Case {
        upstreams: 20,
        interval: Duration::from_millis(500),
        target: "POST /post/poison",
        crash_mode: CrashMode::Hang,
        restart_after: Duration::from_secs(30),
        ..Case::default()
    };
    /// Guards against crashes in step calls that are not recorded, as the calls are made by the
    /// instance that owns the upstreams.
    poison_pieces_of_steps_are_refused: Case {
        service: "steps",
        target: "POST /draft/1",
        ..Case::default()
    };
    /// Guards against clearing the suspicion against a request for a minute because an upstream
    /// answered it with a failure.
    poison_is_refused_though_an_upstream_answered_with_a_failure: Case {
        restart_name: RestartName::New,
        restart_after: Duration::from_millis(500),
        error_after_crashes: Some(1),
        duration: Duration::from_secs(10),
        ..Case::default()
    };
    /// Guards against losing the record of crashes when all instances restart.
    poison_is_refused_after_all_instances_restarted: Case {
        restart_name: RestartName::New,
        disruption: Disruption::RestartAll(Duration::from_secs(6)),
        duration: Duration::from_secs(14),
        ..Case::default()
    };
}
