//! Rate limits that upstreams announce in response headers, over several nodes.
//!
//! A test program of its own: its steady load would delay the tests of the other one.

#[path = "../it/fixture.rs"]
#[expect(dead_code, reason = "shared with the other test program")]
mod fixture;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use platform_standin::upstream::Upstream;
use tokio::task::JoinSet;

use fixture::Fixture;
use fixture::Node;
use fixture::eventually;

/// Number of nodes that share the limit.
const NODES: usize = 3;
/// The limit that an upstream announces, in requests per second.
const RATE: usize = 2;
/// The users count the requests in every window of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first announcement until every node keeps the limit.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Number of nodes that share the limit of a cold engine.
const COLD_NODES: usize = 8;
/// Interval of the requests at each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A kind of request, and the service whose upstream announces a limit.
#[derive(Clone, Copy, Debug)]
struct Kind {
    service: &'static str,
    target: &'static str,
    has_prompt: bool,
    has_steps: bool,
}

const PLAIN: Kind = Kind {
    service: "ledger",
    target: "GET /read/1",
    has_prompt: false,
    has_steps: false,
};
const NON_IDEMPOTENT: Kind = Kind {
    target: "POST /post/1",
    ..PLAIN
};
const STREAM: Kind = Kind {
    service: "engine",
    target: "POST /summary/1",
    has_prompt: true,
    has_steps: false,
};
const RESUMABLE_STREAM: Kind = Kind {
    target: "POST /report/1",
    ..STREAM
};
const STEPS: Kind = Kind {
    service: "steps",
    target: "POST /draft/1",
    has_prompt: true,
    has_steps: true,
};

impl Kind {
    /// Sends a request with a prompt of its own; returns the status, or 0 if the connection broke.
    async fn send(self, address: SocketAddr, id: String) -> u16 {
        let prompt: String = id.bytes().map(|it| format!("{it:02x}")).collect();
        self.send_prompt(address, id, &prompt).await
    }

    /// Sends a request with the prompt that begins with the part `prompt`.
    async fn send_prompt(self, address: SocketAddr, id: String, prompt: &str) -> u16 {
        let key = format!("authorization: Bearer {API_KEY}");
        let request_id = format!("x-request-id: {id}");
        let prompt = format!("x-prompt-prefix: {prompt}:10,bb:20");
        let mut headers = vec![key.as_str(), request_id.as_str(), "x-deadline-ms: 2000"];
        if self.has_prompt {
            headers.extend(["x-model: m", "x-token-count: 30,6", prompt.as_str()]);
        }
        if self.has_steps {
            headers.extend(["x-chunks: 2", "x-chunk-key: k"]);
        }
        client::send_request(address, self.target, &headers, b"")
            .await
            .status
    }
}

/// Requests at a steady rate to a set of nodes, until dropped.
struct Load {
    _tasks: JoinSet<()>,
}

impl Load {
    fn start(kind: Kind, nodes: &[Node]) -> Load {
        let mut tasks = JoinSet::new();
        for (node, name) in nodes.iter().zip('a'..) {
            let address = node.client_address;
            tasks.spawn(async move {
                let mut requests = JoinSet::new();
                let mut interval = tokio::time::interval(REQUEST_INTERVAL);
                for number in 0.. {
                    interval.tick().await;
                    while requests.try_join_next().is_some() {}
                    requests.spawn(kind.send(address, format!("{name}{number}")));
                }
            });
        }
        Load { _tasks: tasks }
    }
}

/// The first upstream of a service.
fn first_upstream(fixture: &Fixture, service: &str) -> Arc<Upstream> {
    let mut upstreams = fixture.site.upstreams.iter();
    let found = upstreams.find(|it| it.1 == service);
    found.expect("an upstream of the service").0.clone()
}

/// Most arrivals in any window that begins after `since`.
fn most_in_window(upstream: &Upstream, since: Instant) -> usize {
    most_within(upstream, since, WINDOW)
}

/// Most arrivals in any time of length `window` that begins after `since`.
fn most_within(upstream: &Upstream, since: Instant, window: Duration) -> usize {
    let times = upstream.arrival_times();
    let times: Vec<Instant> = times.into_iter().filter(|it| *it >= since).collect();
    let counts = times.iter().map(|start| {
        let in_window = times.iter().filter(|it| **it >= *start);
        in_window.filter(|it| **it < *start + window).count()
    });
    counts.max().unwrap_or_default()
}

fn arrivals_since(upstream: &Upstream, since: Instant) -> usize {
    let times = upstream.arrival_times();
    times.into_iter().filter(|it| *it >= since).count()
}

/// Announces the limit under load, and checks that all nodes together keep it and use it, and that
/// the upstream is used as before within two seconds of its end.
async fn check_limit(kind: Kind, fault: Fault) {
    let fixture = Fixture::start(NODES).await;
    let upstream = first_upstream(&fixture, kind.service);
    let _load = Load::start(kind, &fixture.nodes);
    eventually("load", Duration::from_secs(10), || async {
        upstream.arrivals() > 20
    })
    .await;
    upstream.set_fault(fault, None);
    upstream.announce_rate_limit(Some(&RATE.to_string()));
    tokio::time::sleep(NOTICE_TIME).await;
    let limited_at = Instant::now();
    tokio::time::sleep(WINDOW + Duration::from_secs(2)).await;
    let most = most_in_window(&upstream, limited_at);
    let allowed = RATE * WINDOW.as_secs() as usize;
    assert!(most <= allowed, "{most} requests in a window");
    assert!(arrivals_since(&upstream, limited_at) > allowed / 2);

    upstream.set_fault(Fault::None, None);
    upstream.announce_rate_limit(None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ended_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let arrivals = arrivals_since(&upstream, ended_at);
    assert!(arrivals > 3 * RATE, "{arrivals} requests after the limit");
}

macro_rules! limits {
    ($($(#[$doc:meta])* $name:ident: $kind:expr, $fault:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                check_limit($kind, $fault).await;
            }
        )*
    };
}

limits! {
    /// Guards against instances that together send a plain upstream more than it announced.
    nodes_share_the_limit_of_a_plain_upstream: PLAIN, Fault::None;
    /// Guards against the same with requests that run at most once.
    nodes_share_the_limit_for_non_idempotent_requests: NON_IDEMPOTENT, Fault::None;
    /// Guards against the same with streams, which the owner of a shard places.
    nodes_share_the_limit_of_an_engine: STREAM, Fault::None;
    /// Guards against the same with streams that break and are resumed.
    nodes_share_the_limit_for_resumed_streams: RESUMABLE_STREAM, Fault::CutAnswer;
    /// Guards against the same with calls of steps and the calls that free their results.
    nodes_share_the_limit_of_a_step_upstream: STEPS, Fault::None;
    /// Guards against ignoring a limit that only rejections announce.
    a_limit_in_rejections_is_kept: PLAIN, Fault::Full;
}

/// Guards against a limit that a restarted node forgets, or that it takes a second share of.
#[tokio::test]
async fn a_restarted_node_keeps_the_limit() {
    let mut fixture = Fixture::start(NODES).await;
    let upstream = first_upstream(&fixture, PLAIN.service);
    let mut load = Load::start(PLAIN, &fixture.nodes);
    upstream.announce_rate_limit(Some(&RATE.to_string()));
    eventually("load", Duration::from_secs(10), || async {
        upstream.arrivals() > 0
    })
    .await;
    tokio::time::sleep(NOTICE_TIME).await;
    let limited_at = Instant::now();
    for idx in 0..NODES {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(load);
        fixture.nodes.remove(0).kill();
        let zone = if idx % 2 == 0 { "a" } else { "b" };
        let node = Node::start(&format!("n{idx}"), zone, fixture.site.store_address);
        fixture.nodes.push(node);
        load = Load::start(PLAIN, &fixture.nodes);
    }
    tokio::time::sleep(WINDOW).await;
    drop(load);
    // A restarted node may send one request before it learns of the limit.
    let most = most_in_window(&upstream, limited_at);
    let allowed = RATE * WINDOW.as_secs() as usize + NODES;
    assert!(most <= allowed, "{most} requests in a window");
}

/// Guards against running the steps of requests that the rate limits of all engines then deny: the
/// callers wait for the refusal, and the step services work in vain.
#[tokio::test]
async fn steps_are_not_run_for_what_the_engines_deny() {
    let fixture = Fixture::start(1).await;
    let of_service = |service: &'static str| {
        let upstreams = fixture.site.upstreams.iter();
        upstreams.filter(move |it| it.1 == service).map(|it| &it.0)
    };
    for engine in of_service("engine") {
        engine.announce_rate_limit(Some(&RATE.to_string()));
    }
    let _load = Load::start(STEPS, &fixture.nodes);
    tokio::time::sleep(WINDOW).await;
    let made = || {
        of_service("steps")
            .map(|it| it.step_results().0)
            .sum::<u64>()
    };
    let sent = || of_service("engine").map(|it| it.arrivals()).sum::<u64>();
    let (made_before, sent_before) = (made(), sent());
    tokio::time::sleep(WINDOW).await;
    let (made, sent) = (made() - made_before, sent() - sent_before);
    // Each request has two pieces.
    assert!(made <= sent * 2 * 2, "{made} pieces for {sent} requests");
    let engines = of_service("engine").count() as u64;
    assert!(
        sent > engines * RATE as u64 * WINDOW.as_secs() / 2,
        "{sent} requests"
    );
}

/// Guards against refusing a request because the engine that the owner chose denies it. With six
/// nodes and a cold engine that bears no load, only the owner may choose another one.
#[tokio::test]
async fn a_denied_request_is_placed_at_another_engine() {
    let mut fixture = Fixture::start(6).await;
    fixture.site.engine_cold_per_second = 0.1;
    fixture.site.configure(2, serde_json::json!([]));
    let address = fixture.nodes[0].client_address;
    let send = |number: usize| STREAM.send_prompt(address, format!("r{number}"), "aa");
    // Longer than the owner's part of the cold limit needs for one request.
    let pause = Duration::from_millis(1_200);
    eventually(
        "a request under the new cold limit",
        Duration::from_secs(10),
        || async {
            tokio::time::sleep(pause).await;
            send(0).await == 200
        },
    )
    .await;
    let engines = || fixture.site.upstreams.iter().filter(|it| it.1 == "engine");
    let home = engines().max_by_key(|it| it.0.arrivals());
    let home = home.expect("an engine").0.clone();
    home.announce_rate_limit(Some("0"));
    for number in 1..9 {
        tokio::time::sleep(pause).await;
        assert_eq!(send(number).await, 200, "request {number}");
    }
    assert!(engines().all(|it| it.0.arrivals() > 0));
}

/// Plays load on cold engines whose limit is smaller than the number of nodes, and checks it. Nodes
/// that are to be killed start again at once under their names.
async fn check_cold_limit(killed: &[usize]) {
    let mut fixture = Fixture::start(COLD_NODES).await;
    fixture.site.engine_cold_per_second = 0.5;
    fixture.site.configure(2, serde_json::json!([]));
    tokio::time::sleep(NOTICE_TIME).await;
    let since = Instant::now();
    let mut load = Load::start(STREAM, &fixture.nodes);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for idx in killed {
        drop(load);
        fixture.nodes.remove(*idx).kill();
        let zone = if idx % 2 == 0 { "a" } else { "b" };
        let node = Node::start(&format!("n{idx}"), zone, fixture.site.store_address);
        fixture.nodes.insert(*idx, node);
        load = Load::start(STREAM, &fixture.nodes);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    drop(load);
    let engines = fixture.site.upstreams.iter().filter(|it| it.1 == "engine");
    for (engine, ..) in engines {
        let most = most_within(engine, since, Duration::from_secs(1));
        // The limit is 0.5 times 1.5, plus 5.
        assert!(most <= 5, "{most} requests in a second");
        assert!(arrivals_since(engine, since) > 0);
    }
}

/// Guards against a cold limit that is divided into parts below one request, of which each of many
/// nodes takes a whole one.
#[tokio::test]
async fn more_nodes_than_a_cold_engine_bears_keep_its_limit() {
    check_cold_limit(&[]).await;
}

/// Guards against the same while nodes are killed and start again, among them the owners that place
/// the requests.
#[tokio::test]
async fn more_nodes_than_a_cold_engine_bears_keep_its_limit_over_restarts() {
    check_cold_limit(&[0, 1, 2, 3, 4, 5, 6, 7]).await;
}
