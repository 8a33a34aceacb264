//! Prompts with a part that crashes the engines that answer them. No two requests are alike;
//! ordinary requests share the workspace and the other parts.

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::crash;
use platform_standin::crash::CrashMode;
use platform_standin::crash::CrashPlan;
use platform_standin::crash::Crashes;
use platform_standin::crash::POISON_PART;
use platform_standin::crash::RestartName;
use platform_standin::site::API_KEY;
use platform_standin::site::EVENTS_PER_STREAM;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::crashes::deregister_service;
use crate::crashes::restart_all;
use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Crashes after which the users' bounds begin.
const BLAMED_CRASHES: usize = 5;
/// The users' bound on the time from the fifth crash until no instance sends such a request.
const REFUSAL_DELAY_MAX: Duration = Duration::from_secs(3);
/// The users' bound on the number of requests that are sent later.
const LATE_SENDS_MAX: usize = 3;
/// The users' bound on the share of ordinary requests that are served, from twice
/// [`REFUSAL_DELAY_MAX`] after the fifth crash.
const SERVED_SHARE_MIN: f64 = 0.5;
/// Time after which a client stops waiting for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the requests are sent.
const DURATION: Duration = Duration::from_secs(12);

struct Case {
    nodes: usize,
    upstreams: usize,
    /// Time between two requests with the part that crashes engines, and two without it.
    interval: Duration,
    path: &'static str,
    crash_mode: CrashMode,
    /// When all instances are killed and restarted.
    restart_all_at: Option<Duration>,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            nodes: 5,
            upstreams: 10,
            interval: Duration::from_millis(100),
            path: "draft",
            crash_mode: CrashMode::Reset,
            restart_all_at: None,
        }
    }
}

/// Sends a stream request with an own last prompt part; returns whether it was served in full.
async fn send(
    client_address: SocketAddr,
    path: &'static str,
    shared_parts: String,
    id: String,
) -> bool {
    let key = format!("authorization: Bearer {API_KEY}");
    let prompt = format!("x-prompt-prefix: {shared_parts},{id}:20");
    let target = format!("POST /{path}/{id}");
    let id = format!("x-request-id: {id}");
    let headers = [
        key.as_str(),
        id.as_str(),
        prompt.as_str(),
        "x-deadline-ms: 2000",
        "x-model: m",
        "x-token-count: 30,6",
        "x-chunks: 0",
    ];
    let response = client::send_request(client_address, &target, &headers, b"");
    let response = tokio::time::timeout(CLIENT_TIMEOUT, response).await;
    response.is_ok_and(|it| it.status == 200 && it.is_complete && !it.body.is_empty())
}

/// Sends one request of each kind per interval, to each instance in turn; returns when each
/// ordinary one was sent and whether it was served.
async fn send_repeatedly(fixture: &mut Fixture, case: &Case) -> Vec<(Instant, bool)> {
    let start = Instant::now();
    let mut requests = JoinSet::new();
    let mut restart_at = case.restart_all_at;
    for idx in 0_usize.. {
        if start.elapsed() >= DURATION {
            break;
        }
        if restart_at.is_some_and(|it| start.elapsed() >= it) {
            restart_at = None;
            restart_all(fixture).await;
        }
        let client_address = fixture.nodes[idx % case.nodes].client_address;
        let path = case.path;
        requests.spawn(async move {
            let shared_parts = format!("common:10,{POISON_PART}:10");
            send(client_address, path, shared_parts, format!("p{idx}")).await;
            None
        });
        requests.spawn(async move {
            let sent_at = Instant::now();
            let shared_parts = "common:10".to_owned();
            let is_served = send(client_address, path, shared_parts, format!("o{idx}")).await;
            Some((sent_at, is_served))
        });
        tokio::time::sleep(case.interval).await;
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = requests.join_next().await {
        outcomes.extend(outcome.expect("a client that does not panic"));
    }
    outcomes
}

async fn start(case: &Case) -> (Fixture, Crashes) {
    let fixture = Fixture::start(case.nodes).await;
    deregister_service(&fixture, "engine");
    let plan = CrashPlan::builder()
        .service("engine")
        .count(case.upstreams)
        .events(EVENTS_PER_STREAM)
        .restart_name(RestartName::New)
        .mode(case.crash_mode)
        .restart_after(Duration::from_millis(700))
        .registration_ttl(Duration::from_millis(3_600))
        .build();
    let crashes = crash::start(&fixture.site.store, &plan).await;
    let crashes = crashes.expect("ports for the upstreams");
    for node in &fixture.nodes {
        let is_served = || {
            send(
                node.client_address,
                "draft",
                "common:10".to_owned(),
                "w".to_owned(),
            )
        };
        eventually("an answer", Duration::from_secs(5), is_served).await;
    }
    (fixture, crashes)
}

async fn check(case: Case) {
    let (mut fixture, crashes) = start(&case).await;
    let outcomes = send_repeatedly(&mut fixture, &case).await;
    let crashes = crashes.all();
    assert!(crashes.len() >= 3, "{crashes:?}");
    let last = crashes.len().min(BLAMED_CRASHES) - 1;
    let blamed_at = crashes[last].at;
    let late = crashes
        .iter()
        .filter(|it| it.at > blamed_at + REFUSAL_DELAY_MAX);
    let late = late.count();
    assert!(
        late <= LATE_SENDS_MAX,
        "{late} crashes after the part should be refused, {} in all",
        crashes.len()
    );
    let later = outcomes
        .iter()
        .filter(|it| it.0 > blamed_at + REFUSAL_DELAY_MAX * 2);
    let (mut sent, mut served) = (0, 0);
    for (_, is_served) in later {
        sent += 1;
        served += usize::from(*is_served);
    }
    assert!(
        sent > 0 && served as f64 >= sent as f64 * SERVED_SHARE_MIN,
        "{served} of {sent} ordinary requests were served"
    );
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
    /// Guards against crashes that do not add up because no two requests are alike.
    requests_with_a_part_that_crashes_engines_are_refused: Case::default();
    /// Guards against retrying such requests at engine after engine.
    repeatable_requests_with_a_part_that_crashes_engines_are_refused: Case {
        path: "summary",
        ..Case::default()
    };
    /// Guards against taking a crash for the end of a response without a length.
    engines_that_crash_after_an_unframed_head_are_counted: Case {
        crash_mode: CrashMode::CloseAfterHead,
        ..Case::default()
    };
    /// Guards against losing what is known of a part when all instances restart, and against
    /// blaming the parts of ordinary requests then.
    a_part_that_crashes_engines_is_refused_after_all_instances_restarted: Case {
        restart_all_at: Some(Duration::from_secs(3)),
        ..Case::default()
    };
}
