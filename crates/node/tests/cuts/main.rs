//! Instances that have lost their paths to upstreams, while clients, the store and the other
//! instances still reach them.
//!
//! A test program of its own: its steady load would delay the tests of the other ones.

#[path = "../it/fixture.rs"]
#[expect(dead_code, reason = "shared with the other test programs")]
mod fixture;

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::link::Cut;
use platform_standin::site::API_KEY;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use fixture::Fixture;

const NODES: usize = 4;
/// Interval of the requests at each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// The users' bound on the time from a cut until clients of the instance are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are counted after that, and after the end of the cut.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// First attempts at cut instances that are served, as a fraction of those at the others.
const SERVED_RATIO_MIN: f64 = 0.9;
/// Connections that a cut instance may ask for in a second on a path that it knows to be cut.
const PROBES_PER_SECOND_MAX: f64 = 5.0;
/// Time after which a client stops waiting for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Held by the running test: nodes that take turns on the processor with those of other tests
/// answer later than the time-outs between instances.
static TURN: Mutex<()> = Mutex::const_new(());

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Kind {
    target: &'static str,
    has_steps: bool,
    /// Whether the request may run only once.
    runs_once: bool,
}

const READ: Kind = Kind {
    target: "GET /read/1",
    has_steps: false,
    runs_once: false,
};
const POST: Kind = Kind {
    target: "POST /post/1",
    has_steps: false,
    runs_once: true,
};
const STREAM: Kind = Kind {
    target: "POST /summary/1",
    has_steps: false,
    runs_once: false,
};
const STEPS: Kind = Kind {
    target: "POST /draft/1",
    has_steps: true,
    runs_once: true,
};
const ALL_KINDS: &[Kind] = &[READ, POST, STREAM, STEPS];

/// Which instances are cut.
#[derive(Clone, Copy, Debug)]
enum Who {
    First(usize),
    /// The one that makes the step calls.
    StepsOwner,
}

struct Case {
    who: Who,
    how: Cut,
    /// Service whose upstreams are cut; all if `None`.
    service: Option<&'static str>,
    kinds: &'static [Kind],
}

/// A sent request and whether its first attempt was served.
#[derive(Debug)]
struct Sent {
    node: usize,
    id: String,
    kind: Kind,
    is_served: bool,
}

async fn send(client_address: SocketAddr, id: &str, kind: Kind) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let mut headers = vec![key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
    headers.extend([
        "x-model: m",
        "x-token-count: 30,6",
        "x-prompt-prefix: aa:10,bb:20",
    ]);
    if kind.has_steps {
        headers.extend(["x-chunks: 2", "x-chunk-key: k"]);
    }
    let response = client::send_request(client_address, kind.target, &headers, b"");
    match tokio::time::timeout(CLIENT_TIMEOUT, response).await {
        Ok(response) if response.is_complete => response.status,
        _ => 0,
    }
}

/// Sends the kinds of requests in turn to each node for `duration`, and returns when all have
/// ended.
async fn load(
    fixture: &Fixture,
    phase: &str,
    kinds: &'static [Kind],
    duration: Duration,
) -> Vec<Sent> {
    let start = Instant::now();
    let mut requests = JoinSet::new();
    for idx in 0_usize.. {
        if start.elapsed() >= duration {
            break;
        }
        for (node, it) in fixture.nodes.iter().enumerate() {
            let (client_address, kind) = (it.client_address, kinds[idx % kinds.len()]);
            let id = format!("{phase}-{node}-{idx}");
            requests.spawn(async move {
                let is_served = send(client_address, &id, kind).await == 200;
                Sent {
                    node,
                    id,
                    kind,
                    is_served,
                }
            });
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await
}

/// The node that has asked for the most connections to the upstreams of the steps.
fn steps_owner(fixture: &Fixture) -> usize {
    let step_connections = |node: usize| -> usize {
        let attempts = fixture.nodes[node].link.attempts();
        let upstreams = fixture.site.upstreams.iter().filter(|it| it.1 == "steps");
        upstreams.filter_map(|it| attempts.get(&it.2)).sum()
    };
    let owner = (0..NODES).max_by_key(|it| step_connections(*it));
    owner.expect("at least one node")
}

fn set_cut(fixture: &Fixture, nodes: &[usize], service: Option<&str>, how: Cut) {
    for node in nodes {
        let link = &fixture.nodes[*node].link;
        let Some(service) = service else {
            link.set(how);
            continue;
        };
        for upstream in fixture.site.upstreams.iter().filter(|it| it.1 == service) {
            link.set_to(upstream.2, how);
        }
    }
}

/// Served requests, and all of them, at the nodes that `is_wanted` selects.
fn count(sent: &[Sent], is_wanted: impl Fn(usize) -> bool) -> (usize, usize) {
    let wanted = sent.iter().filter(|it| is_wanted(it.node));
    let served = wanted.clone().filter(|it| it.is_served).count();
    (served, wanted.count())
}

fn check_served(phase: &str, sent: &[Sent], cut: &[usize]) {
    let at_cut = count(sent, |it| cut.contains(&it));
    let at_others = count(sent, |it| !cut.contains(&it));
    let ratio = |it: (usize, usize)| it.0 as f64 / it.1.max(1) as f64;
    let is_enough = ratio(at_cut) >= SERVED_RATIO_MIN * ratio(at_others)
        // A cut instance must not harm the clients of the others either.
        && ratio(at_others) >= SERVED_RATIO_MIN;
    let mut failed: Vec<&str> = sent
        .iter()
        .filter(|it| !it.is_served)
        .map(|it| &*it.id)
        .collect();
    failed.truncate(20);
    assert!(
        is_enough,
        "{phase}: cut instances {cut:?} served {at_cut:?}, the others {at_others:?}; not {failed:?}"
    );
}

fn check_runs(fixture: &Fixture, sent: &[Sent]) {
    for it in sent.iter().filter(|it| it.kind.runs_once) {
        let runs = fixture.runs(&it.id).len();
        assert!(runs <= 1, "{} ran {runs} times", it.id);
    }
}

async fn check(case: Case) {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start_cuttable(NODES).await;
    load(&fixture, "before", case.kinds, Duration::from_secs(1)).await;
    let cut: Vec<usize> = match case.who {
        Who::First(count) => (0..count).collect(),
        Who::StepsOwner => vec![steps_owner(&fixture)],
    };
    set_cut(&fixture, &cut, case.service, case.how);
    let at_first = load(&fixture, "first", case.kinds, RECOVERY_TIME).await;
    let attempts_before: Vec<usize> = attempts(&fixture, &cut);
    let start = Instant::now();
    let later = load(&fixture, "later", case.kinds, MEASURED_TIME).await;
    let elapsed = start.elapsed().as_secs_f64();
    let attempts_after = attempts(&fixture, &cut);
    set_cut(&fixture, &cut, case.service, Cut::None);
    let after = load(&fixture, "after", case.kinds, MEASURED_TIME).await;
    check_served("during the cut", &later, &cut);
    check_served("after the cut", &after, &cut);
    for sent in [at_first, later, after] {
        check_runs(&fixture, &sent);
    }
    if case.service.is_none() {
        for (before, after) in attempts_before.into_iter().zip(attempts_after) {
            let rate = (after - before) as f64 / elapsed;
            assert!(
                rate <= PROBES_PER_SECOND_MAX,
                "{rate} connections a second on paths that are cut"
            );
        }
    }
}

/// Connections that each of `nodes` has asked for.
fn attempts(fixture: &Fixture, nodes: &[usize]) -> Vec<usize> {
    let links = nodes.iter().map(|it| &fixture.nodes[*it].link);
    links.map(|it| it.attempts().values().sum()).collect()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $who:expr, $how:expr, $service:expr, $kinds:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let (who, how, service, kinds) = ($who, $how, $service, $kinds);
                check(Case { who, how, service, kinds }).await;
            }
        )*
    };
}

// Guards against instances that refuse all their clients because they have lost their paths to the
// upstreams, which the other instances still reach.
cases! {
    half_of_the_instances_with_hanging_paths_serve_their_clients:
        Who::First(2), Cut::Hang, None, ALL_KINDS;
    half_of_the_instances_with_reset_paths_serve_their_clients:
        Who::First(2), Cut::Reset, None, ALL_KINDS;
    half_of_the_instances_without_new_connections_serve_their_clients:
        Who::First(2), Cut::KeepOpen, None, ALL_KINDS;
    all_instances_but_one_with_hanging_paths_serve_their_clients:
        Who::First(NODES - 1), Cut::Hang, None, ALL_KINDS;
    all_instances_but_one_with_reset_paths_serve_their_clients:
        Who::First(NODES - 1), Cut::Reset, None, ALL_KINDS;
    instances_cut_from_one_service_serve_their_clients:
        Who::First(2), Cut::Hang, Some("ledger"), ALL_KINDS;
    /// Guards against an owner of steps that keeps its shard while it reaches none of its
    /// upstreams, and refuses the requests of all instances.
    an_owner_with_hanging_paths_prepares_the_steps: Who::StepsOwner, Cut::Hang, None, &[STEPS];
    /// The same, with connections that are refused.
    an_owner_with_reset_paths_prepares_the_steps: Who::StepsOwner, Cut::Reset, None, &[STEPS];
}

/// Guards against evidence of an instance that cannot reach the upstreams: it confirmed that its
/// requests had crashed them, so that every instance refused these.
#[tokio::test]
async fn requests_of_a_cut_instance_are_not_quarantined() {
    let _turn = TURN.lock().await;
    let mut fixture = Fixture::start_cuttable(NODES).await;
    for idx in 0..fixture.site.upstreams.len() {
        if fixture.site.upstreams[idx].1 == "ledger" {
            fixture.site.deregister(idx);
        }
    }
    for _ in 0..4 {
        let added = fixture.site.add("ledger", 0, Duration::from_millis(400));
        added.await.expect("a port for an upstream");
    }
    load(&fixture, "before", &[READ], Duration::from_secs(1)).await;
    let cut_node = fixture.nodes[0].client_address;
    let mut requests = JoinSet::new();
    for idx in 0..8 {
        let id = format!("victim-{idx}");
        requests.spawn(async move { send(cut_node, &id, POST).await });
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    fixture.nodes[0].link.set(Cut::Reset);
    requests.join_all().await;
    // Time for the losses to reach the other instances.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for node in &fixture.nodes[1..] {
        let other = Kind {
            target: "POST /post/2",
            ..POST
        };
        assert_eq!(send(node.client_address, "other", other).await, 200);
        assert_eq!(send(node.client_address, "later", POST).await, 200);
    }
}
