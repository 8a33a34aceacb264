//! Roll-outs over several nodes, counted at the upstreams.
//!
//! A test program of its own: its steady load would delay the tests of the other ones.

#[path = "../it/fixture.rs"]
#[expect(dead_code, reason = "shared with the other test program")]
mod fixture;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::store::Mode;
use platform_standin::upstream::Fault;
use platform_standin::upstream::Upstream;
use rollout::order::Stage;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use fixture::Fixture;
use fixture::eventually;

const NODES: usize = 3;
const OVER: Duration = Duration::from_secs(6);
/// Time of an order during which an instance is killed.
const LONG_OVER: Duration = Duration::from_secs(10);
/// Interval of the requests at each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time of an answer of the old version.
const OLD_TIME: Duration = Duration::from_millis(5);
/// Share of the requests, and requests beside, that a bad version may get; as in the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_EXTRA: f64 = 20.0;
/// The users stop a bad version within this time after its 50th bad answer.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Bad answers after which that time begins.
const BAD_ANSWERS: usize = 50;
const STATUS_KEY: &str = "rollout/ledger";
/// Headers of a request for a stream.
const STREAM_HEADERS: [&str; 3] = [
    "x-model: m",
    "x-token-count: 30,6",
    "x-prompt-prefix: aa:10,bb:20",
];

/// The same with steps.
const STEP_HEADERS: [&str; 5] = [
    "x-model: m",
    "x-token-count: 30,6",
    "x-prompt-prefix: aa:10,bb:20",
    "x-chunks: 2",
    "x-chunk-key: k",
];

/// A service, and requests that it answers.
#[derive(Clone, Copy, Debug)]
struct Kind {
    service: &'static str,
    target: &'static str,
    headers: &'static [&'static str],
    events: u32,
    /// Time of an answer of the old version.
    time: Duration,
    /// Upstreams of the old version, beside the two of the site, and of the new one.
    upstreams: (usize, usize),
}

const READ: Kind = Kind {
    service: "ledger",
    target: "GET /read/1",
    headers: &[],
    events: 0,
    time: OLD_TIME,
    upstreams: (1, 3),
};
const STREAM: Kind = Kind {
    service: "engine",
    target: "POST /summary/1",
    headers: &STREAM_HEADERS,
    events: EVENTS_PER_STREAM,
    time: Duration::from_millis(10),
    upstreams: (1, 3),
};
/// Steps: so many upstreams that one more is within the exposure.
const STEPS: Kind = Kind {
    service: "steps",
    target: "POST /draft/1",
    headers: &STEP_HEADERS,
    events: 0,
    time: Duration::from_millis(30),
    upstreams: (14, 12),
};

/// Requests at a steady rate to nodes, until dropped.
struct Load {
    /// Status and time of each response; 0 if the connection broke.
    responses: Arc<Mutex<Vec<u16>>>,
    _tasks: JoinSet<()>,
}

impl Load {
    fn start(kind: Kind, addresses: &[SocketAddr], name: &str) -> Load {
        let responses = Arc::<Mutex<Vec<u16>>>::default();
        let mut tasks = JoinSet::new();
        for (address, node) in addresses.iter().copied().zip('a'..) {
            let responses = responses.clone();
            let name = format!("{name}{node}");
            tasks.spawn(async move {
                let mut requests = JoinSet::new();
                let mut interval = tokio::time::interval(REQUEST_INTERVAL);
                for number in 0.. {
                    interval.tick().await;
                    while requests.try_join_next().is_some() {}
                    let responses = responses.clone();
                    let id = format!("x-request-id: {name}{number}");
                    requests.spawn(async move {
                        let key = format!("authorization: Bearer {API_KEY}");
                        let mut headers = vec![key.as_str(), id.as_str(), "x-deadline-ms: 2000"];
                        headers.extend(kind.headers);
                        let target = kind.target;
                        let response = client::send_request(address, target, &headers, b"").await;
                        responses.lock().expect("a lock").push(response.status);
                    });
                }
            });
        }
        Load {
            responses,
            _tasks: tasks,
        }
    }

    /// Number of responses with a status other than 200, and of all.
    fn failures(&self) -> (usize, usize) {
        let responses = self.responses.lock().expect("a lock");
        let failures = responses.iter().filter(|it| **it != 200);
        (failures.count(), responses.len())
    }
}

/// A roll-out of a service.
struct Rollout {
    kind: Kind,
    fixture: Fixture,
    old: Vec<Arc<Upstream>>,
    new: Vec<Arc<Upstream>>,
    ordered_at: Instant,
    over: Duration,
}

impl Rollout {
    /// Starts nodes and orders a roll-out to a version whose answers take `time`.
    async fn order(time: Duration) -> Rollout {
        Rollout::order_over(READ, time, OVER).await
    }

    async fn order_over(kind: Kind, time: Duration, over: Duration) -> Rollout {
        let mut fixture = Fixture::start_with_rollouts(NODES).await;
        for _ in 0..kind.upstreams.0 {
            let added = fixture.site.add(kind.service, kind.events, kind.time).await;
            added.expect("a port for an upstream");
        }
        // The old version is known before the new one is.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let key = format!("rollout/{}", kind.service);
        let order = json!({"service": kind.service, "to": "v2", "over_s": over.as_secs_f64()});
        fixture
            .site
            .store
            .put("op", &key, order.to_string().as_bytes());
        let ordered_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        for _ in 0..kind.upstreams.1 {
            let added = fixture
                .site
                .add_version(kind.service, kind.events, time, "v2")
                .await;
            added.expect("a port for an upstream");
        }
        let of = |version: &str| {
            let upstreams = fixture.site.upstreams.iter();
            let upstreams =
                upstreams.filter(|it| it.1 == kind.service && it.0.version() == version);
            upstreams.map(|it| it.0.clone()).collect()
        };
        Rollout {
            kind,
            old: of("v1"),
            new: of("v2"),
            ordered_at,
            over,
            fixture,
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.fixture.nodes.iter();
        nodes.map(|it| it.client_address).collect()
    }

    fn set_fault(&self, fault: Fault) {
        self.new.iter().for_each(|it| it.set_fault(fault, None));
    }

    fn key(&self) -> String {
        format!("rollout/{}", self.kind.service)
    }

    /// The status that operators read.
    fn status(&self) -> Option<Value> {
        let row = self.fixture.site.store.row("status", &self.key())?;
        serde_json::from_slice(&row).ok()
    }

    fn phase(&self) -> Option<String> {
        let status = self.status()?;
        assert_eq!(status["to"], "v2");
        status["phase"].as_str().map(str::to_owned)
    }

    /// The stage that the nodes have stored.
    fn stage(&self) -> Option<Stage> {
        let row = self.fixture.site.store.row("catkinvane", &self.key())?;
        let state = platform::rollout::decode_state(&row).expect("a state");
        Some(state.stage)
    }

    /// Waits until the status says so, at most until the deadline.
    async fn wait_for(&self, phase: &str) {
        let left = self.over.saturating_sub(self.ordered_at.elapsed());
        eventually(phase, left, || async {
            self.phase().as_deref() == Some(phase)
        })
        .await;
    }

    async fn wait_for_stage(&self, stage: Stage) {
        eventually("a stage", self.over, || async {
            self.stage() >= Some(stage)
        })
        .await;
    }

    /// Times of the requests to the new version.
    fn exposure(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self.new.iter().flat_map(|it| it.arrival_times()).collect();
        times.sort_unstable();
        times
    }

    /// Checks the exposure of a bad version whose requests count as bad from `bad_from` on.
    fn check_exposure(&self, load: &Load, bad_from: Instant) {
        let times = self.exposure();
        let (_, requests) = load.failures();
        let allowed = EXPOSURE_SHARE * requests as f64 + EXPOSURE_EXTRA;
        assert!(
            times.len() as f64 <= allowed,
            "{} of {requests}, allowed {allowed}",
            times.len()
        );
        let bad = times.iter().filter(|it| **it >= bad_from);
        if let (Some(bad), Some(last)) = (bad.clone().nth(BAD_ANSWERS - 1), times.last()) {
            assert!(last.saturating_duration_since(*bad) <= ROLLBACK_TIME);
        }
    }
}

/// A good version is complete by the deadline, no request is lost, and none is sent to the old version
/// after the status says so, since its upstreams stop then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_good_version_completes() {
    check_good(READ).await;
}

/// The same with streams that are placed by their prompts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_good_version_of_engines_completes() {
    check_good(STREAM).await;
}

/// The same with steps, whose calls the owner spreads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_good_version_of_steps_completes() {
    check_good(STEPS).await;
}

/// Step calls that break without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_version_of_steps_is_reverted() {
    let rollout = Rollout::order_over(STEPS, STEPS.time, OVER).await;
    rollout.set_fault(Fault::AnswerLost);
    let _load = Load::start(STEPS, &rollout.addresses(), "steps");
    rollout.wait_for("reverted").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = rollout.exposure().len();
    let left = rollout.over.saturating_sub(rollout.ordered_at.elapsed());
    tokio::time::sleep(left).await;
    let exposure = rollout.exposure().len();
    assert_eq!(exposure, before, "sent after the reversal");
    let old: usize = rollout.old.iter().map(|it| it.arrival_times().len()).sum();
    let allowed = EXPOSURE_SHARE * (old + exposure) as f64 + EXPOSURE_EXTRA;
    assert!(exposure as f64 <= allowed, "{exposure} beside {old}");
}

async fn check_good(kind: Kind) {
    let rollout = Rollout::order_over(kind, kind.time, OVER).await;
    let load = Load::start(kind, &rollout.addresses(), "good");
    rollout.wait_for("running").await;
    rollout.wait_for("complete").await;
    let complete_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for upstream in &rollout.old {
        let times = upstream.arrival_times();
        let late = times.iter().filter(|it| **it > complete_at);
        assert_eq!(late.count(), 0);
    }
    let (failures, responses) = load.failures();
    assert_eq!((failures, responses > 300), (0, true), "{responses}");
}

/// A kind of bad version.
async fn check_bad(time: Duration, fault: Fault, from: Duration) {
    let rollout = Rollout::order(time).await;
    let load = Load::start(READ, &rollout.addresses(), "bad");
    tokio::time::sleep(from).await;
    let bad_from = Instant::now();
    rollout.set_fault(fault);
    rollout.wait_for("reverted").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = rollout.exposure().len();
    let left = rollout.over.saturating_sub(rollout.ordered_at.elapsed());
    tokio::time::sleep(left).await;
    assert_eq!(rollout.exposure().len(), before, "sent after the reversal");
    rollout.check_exposure(&load, bad_from);
    let (failures, _) = load.failures();
    // An idempotent request is repeated at the old version.
    assert_eq!(failures, 0);
}

/// Failures at once: every connection breaks without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_version_is_reverted() {
    check_bad(OLD_TIME, Fault::AnswerLost, Duration::ZERO).await;
}

/// Failures that begin when the version has proved good at a small share.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_that_fails_later_is_reverted() {
    check_bad(OLD_TIME, Fault::AnswerLost, Duration::from_millis(2_500)).await;
}

/// Answers several times slower at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_slow_version_is_reverted() {
    check_bad(OLD_TIME * 12, Fault::None, Duration::ZERO).await;
}

/// The instance that writes the stages is killed between two of them: another one goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_instance_takes_over() {
    let mut rollout = Rollout::order_over(READ, OLD_TIME, LONG_OVER).await;
    let store = &rollout.fixture.site.store;
    let members = (0..NODES).map(|idx| {
        let name: base::id::Instance = format!("n{idx}").parse().expect("a name");
        let row = store.row("catkinvane", &platform::rows::member_key(&name));
        platform::rows::decode_member(name, &row.expect("a row")).expect("a member")
    });
    let members: Vec<catalog::Member> = members.collect();
    let order = ownership::preference_order(STATUS_KEY, &members);
    let coordinator: usize = order[0].instance.as_str()[1..].parse().expect("a number");
    let mut addresses = rollout.addresses();
    addresses.remove(coordinator);
    let load = Load::start(READ, &addresses, "takeover");
    rollout.wait_for_stage(Stage::Step(1)).await;
    rollout.fixture.nodes.remove(coordinator).kill();
    rollout.wait_for("complete").await;
    let (failures, responses) = load.failures();
    assert_eq!((failures, responses > 100), (0, true), "{responses}");
}

/// A silent store: no instance knows whether the stage still holds, so nothing is sent to the new
/// version until the store answers again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_sent_while_the_store_is_silent() {
    let rollout = Rollout::order(OLD_TIME).await;
    let load = Load::start(READ, &rollout.addresses(), "silent");
    rollout.wait_for_stage(Stage::Step(1)).await;
    rollout.fixture.site.store.set_mode(Mode::Silent);
    // Rows count as fresh for 1.3 s at the bounds of the site, and a grant for 0.9 s.
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    let before = rollout.exposure().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(rollout.exposure().len(), before);
    rollout.fixture.site.store.set_mode(Mode::Up);
    eventually("an end", OVER, || async {
        matches!(rollout.phase().as_deref(), Some("complete" | "reverted"))
    })
    .await;
    assert_eq!(load.failures().0, 0);
}

/// A malformed order, or one for a version that has no upstream, moves no traffic; the latter is
/// reverted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_without_upstreams_is_reverted() {
    let fixture = Fixture::start_with_rollouts(1).await;
    let store = &fixture.site.store;
    store.put("op", "rollout/engine", b"{\"service\": \"engine\"}");
    let order = json!({"service": "ledger", "to": "v9", "over_s": 2});
    store.put("op", STATUS_KEY, order.to_string().as_bytes());
    eventually("reverted", Duration::from_secs(2), || async {
        let row = store.row("status", STATUS_KEY);
        let status = row.and_then(|it| serde_json::from_slice::<Value>(&it).ok());
        status.is_some_and(|it| it["phase"] == "reverted")
    })
    .await;
    assert_eq!(store.row("status", "rollout/engine"), None);
    assert_eq!(fixture.send("GET /read/1", "after", &[]).await.status, 200);
}
