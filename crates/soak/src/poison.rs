//! A client that repeats a poison request, which crashes every upstream that runs it, and the check
//! of how often nodes send it on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use platform_standin::client;
use platform_standin::crash;
use platform_standin::crash::Crash;
use platform_standin::crash::CrashMode;
use platform_standin::crash::CrashPlan;
use platform_standin::crash::Crashes;
use platform_standin::crash::RestartName;
use platform_standin::site::API_KEY;
use platform_standin::site::CRASHING_SERVICE;
use platform_standin::store::Store;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::check::Violation;

/// Crashes after which nodes have to quarantine a request.
const QUARANTINE_CRASHES: usize = 3;
/// Time within which nodes have to detect a crash, by requirement; also the time after the end of a
/// fault of a node or the store for which runs are exempt.
pub(crate) const DETECTION_WINDOW: Duration = Duration::from_secs(3);
/// Runs that are allowed after [`DETECTION_WINDOW`], by requirement.
const MAX_FURTHER_RUNS: usize = 3;
/// Pause of the client between requests.
const PAUSE: Duration = Duration::from_millis(150);

/// A poison request that the client sent.
pub(crate) struct PoisonRequest {
    id: String,
    at: Instant,
    /// Whether its runs are exempt from the bound, because of a fault of its node or the store.
    is_excused: bool,
}

/// Starts the upstreams that the poison request crashes.
///
/// # Errors
///
/// Fails when a port cannot be bound.
pub(crate) async fn start(store: &Arc<Store>, rng: &mut SmallRng) -> std::io::Result<Crashes> {
    let plan = CrashPlan::builder()
        .service(CRASHING_SERVICE)
        .count(rng.random_range(4..10))
        .restart_name(if rng.random_bool(0.5) {
            RestartName::Same
        } else {
            RestartName::New
        })
        .mode(if rng.random_bool(0.7) {
            CrashMode::Reset
        } else {
            CrashMode::Hang
        })
        .restart_after(Duration::from_millis(rng.random_range(300..3_000)))
        .registration_ttl(Duration::from_millis(3_600))
        .build();
    crash::start(store, &plan).await
}

/// Sends the poison request to a random node, again and again, until `end`.
pub(crate) async fn run_client(
    targets: Vec<(SocketAddr, Arc<Mutex<Instant>>)>,
    store_excused_until: Arc<Mutex<Instant>>,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<PoisonRequest> {
    let mut sent = Vec::new();
    while Instant::now() < end {
        let (client_address, excused_until) = &targets[rng.random_range(0..targets.len())];
        let id = format!("poison-{}", sent.len());
        let authorization = format!("authorization: Bearer {API_KEY}");
        let request_id = format!("x-request-id: {id}");
        let headers = [authorization.as_str(), &request_id, "x-deadline-ms: 800"];
        let at = Instant::now();
        let response = client::send_request(*client_address, "GET /fragile/poison", &headers, b"");
        // The response is not checked, only the runs at the upstreams.
        let _ = tokio::time::timeout(Duration::from_secs(1), response).await;
        let excuses = [excused_until, &store_excused_until];
        sent.push(PoisonRequest {
            id,
            at,
            is_excused: excuses.iter().any(|it| at < load_instant(it)),
        });
        tokio::time::sleep(PAUSE).await;
    }
    sent
}

/// Checks that at most [`MAX_FURTHER_RUNS`] non-exempt requests sent later than [`DETECTION_WINDOW`]
/// after the third crash reached an upstream.
pub(crate) fn check(crashes: &Crashes, sent: &[PoisonRequest]) -> Option<Violation> {
    let crashes = crashes.all();
    let third_crash = crashes.get(QUARANTINE_CRASHES - 1)?.at;
    let is_late_run = |crash: &&Crash| {
        let request = sent.iter().find(|it| it.id == crash.request);
        request.is_some_and(|it| !it.is_excused && it.at > third_crash + DETECTION_WINDOW)
    };
    let late_runs = crashes.iter().filter(is_late_run).count();
    (late_runs > MAX_FURTHER_RUNS).then_some(Violation::SentOn(late_runs))
}

fn load_instant(excused_until: &Mutex<Instant>) -> Instant {
    *excused_until.lock().unwrap_or_else(PoisonError::into_inner)
}
