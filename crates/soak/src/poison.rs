//! A client whose request crashes every upstream that runs it, and the bound on that.

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

/// Crashes after which a request is known to crash upstreams.
const KNOWN_AFTER: usize = 3;
/// Bound of the users: a crash may stay unnoticed for this long, and a fault of an instance or of the
/// store excuses for as long after its end.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Bound of the users: sends after that.
const FURTHER_MAX: usize = 3;
/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(150);

/// One request of the client.
pub(crate) struct Sent {
    id: String,
    at: Instant,
    /// Whether its node or the store was disturbed.
    is_excused: bool,
}

/// Starts the upstreams that the request crashes.
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

/// Sends the request to any node until `end`.
pub(crate) async fn load(
    targets: Vec<(SocketAddr, Arc<Mutex<Instant>>)>,
    store_disturbed: Arc<Mutex<Instant>>,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    while Instant::now() < end {
        let (front, disturbed) = &targets[rng.random_range(0..targets.len())];
        let id = format!("poison-{}", sent.len());
        let key = format!("authorization: Bearer {API_KEY}");
        let request = format!("x-request-id: {id}");
        let headers = [key.as_str(), &request, "x-deadline-ms: 800"];
        let at = Instant::now();
        let answer = client::send_request(*front, "GET /fragile/poison", &headers, b"");
        // What comes back does not matter, only what the upstreams see.
        let _ = tokio::time::timeout(Duration::from_secs(1), answer).await;
        let excused = [disturbed, &store_disturbed];
        sent.push(Sent {
            id,
            at,
            is_excused: excused.iter().any(|it| at < until(it)),
        });
        tokio::time::sleep(PAUSE).await;
    }
    sent
}

/// Checks how often the request was sent on.
pub(crate) fn check(crashes: &Crashes, sent: &[Sent]) -> Option<Violation> {
    let crashes = crashes.all();
    let third = crashes.get(KNOWN_AFTER - 1)?.at;
    let is_further = |crash: &&Crash| {
        let sent = sent.iter().find(|it| it.id == crash.request);
        sent.is_some_and(|it| !it.is_excused && it.at > third + CONTACT)
    };
    let further = crashes.iter().filter(is_further).count();
    (further > FURTHER_MAX).then_some(Violation::SentOn(further))
}

fn until(disturbed: &Mutex<Instant>) -> Instant {
    *disturbed.lock().unwrap_or_else(PoisonError::into_inner)
}
