//! Registrations of upstreams that leave, in whatever order the store accepted their writes.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future;
use mirror::Row;
use mirror::Table;
use mirror::succession::Origin;
use node::view_tracker::ViewTracker;
use platform_standin::link::Cut;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use tokio::time::Instant;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Time after the recovery of the store within which a live upstream is registered again.
const REGISTERED_AGAIN: Duration = Duration::from_secs(2);
/// Time from the recovery to the end of the hold: that bound and the time to read the rows.
const HOLD_MAX: Duration = Duration::from_millis(2_500);

fn registration(phase: &str, started_ms: u64, order_count: u64) -> Vec<u8> {
    format!(
        r#"{{"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,"phase":"{phase}",
        "born":{started_ms},"version":"v1","cold_left_ms":0,"call_seq":{order_count}}}"#
    )
    .into_bytes()
}

/// Rows of one upstream, as the store accepts them.
struct Rows {
    tracker: ViewTracker,
    version: u64,
}

impl Rows {
    fn new(now: Instant) -> Rows {
        let mut tracker = ViewTracker::default();
        tracker.set_age(Some(Duration::ZERO), now);
        let version = 0;
        Rows { tracker, version }
    }

    fn write(&mut self, value: Option<Vec<u8>>, now: Instant) {
        self.version += 1;
        let row = Row {
            table: Table::Upstreams,
            key: "u".to_owned(),
            version: self.version,
            value,
        };
        self.tracker.apply(&[row], Origin::default(), now);
    }

    fn is_usable(&self) -> bool {
        let view = self.tracker.view();
        let mut upstreams = view.upstreams.values();
        upstreams.any(|it| view.is_usable(it))
    }
}

/// Guards against requests to an upstream that has reported its stop: the store may accept an
/// earlier heartbeat after the report, and no process goes back to accepting requests.
#[test]
fn a_late_heartbeat_does_not_take_back_the_stop_of_an_upstream() {
    let now = Instant::now();
    let mut rows = Rows::new(now);
    rows.write(Some(registration("ready", 1, 1)), now);
    rows.write(Some(registration("draining", 1, 1)), now);
    rows.write(Some(registration("ready", 1, 1)), now);
    assert!(!rows.is_usable());
    rows.write(None, now);
    rows.write(Some(registration("ready", 1, 1)), now);
    assert!(!rows.is_usable(), "after the removal");
    rows.write(Some(registration("ready", 2, 0)), now);
    assert!(rows.is_usable(), "a new process under the name");
}

/// Guards against taking a process for a live one again that has reported its stop, once another one
/// has registered under the name: one stop of each name is remembered.
#[test]
fn a_late_heartbeat_after_the_next_start_does_not_take_back_a_stop() {
    let now = Instant::now();
    let mut rows = Rows::new(now);
    rows.write(Some(registration("draining", 1, 1)), now);
    rows.write(Some(registration("ready", 2, 0)), now);
    rows.write(Some(registration("ready", 1, 1)), now);
    assert!(!rows.is_usable());
}

/// Guards against holding an upstream whose row was removed for as long as the rows have gaps: each
/// gap began the time anew.
#[test]
fn further_gaps_do_not_prolong_the_hold_of_a_removed_upstream() {
    let start = Instant::now();
    let mut rows = Rows::new(start);
    rows.write(Some(registration("ready", 1, 1)), start);
    rows.tracker.set_age(Some(Duration::from_secs(4)), start);
    rows.write(None, start);
    rows.tracker.set_age(Some(Duration::ZERO), start);
    let mut now = start;
    for _ in 0..4 {
        now += REGISTERED_AGAIN;
        rows.tracker
            .set_age(Some(Duration::from_millis(2_600)), now);
        rows.tracker.set_age(Some(Duration::ZERO), now);
        rows.tracker.expire(now);
    }
    assert!(now - start > HOLD_MAX);
    assert!(!rows.is_usable());
}

/// The users' bound on the time from the store's acceptance of a report to the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between the requests of one client.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);

/// How an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// Its registration says `draining`.
    Reports,
    /// Its registration is removed.
    Deregisters,
}

/// Sends requests to all nodes for `time`.
async fn send_for(fixture: &Fixture, time: Duration) {
    let clients = (0..fixture.nodes.len()).map(|node| async move {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < time {
            number += 1;
            let id = format!("{node}-{number}");
            fixture.send_to(node, "GET /read/1", &id, &[]).await;
            tokio::time::sleep(CLIENT_PAUSE).await;
        }
    });
    future::join_all(clients).await;
}

/// Lets an upstream leave while the responses to all waiting long polls for registrations are lost,
/// and checks when the last request arrives there.
async fn check_lost_feeds(nodes: usize, leave: Leave) {
    let fixture = Fixture::start(nodes).await;
    let site = &fixture.site;
    let leaving = &site.upstreams[0].0;
    let is_used = || async {
        send_for(&fixture, CLIENT_PAUSE).await;
        leaving.arrivals() > 0
    };
    eventually("an arrival", Duration::from_secs(8), is_used).await;
    site.store.lose_feeds("servers");
    match leave {
        Leave::Reports => site.register(0, "draining"),
        Leave::Deregisters => site.deregister(0),
    }
    let accepted_at = Instant::now().into_std();
    send_for(&fixture, DRAIN_TIMEOUT * 2).await;
    let arrivals = leaving.arrival_times().into_iter();
    let late = arrivals.filter(|it| *it > accepted_at + DRAIN_TIMEOUT);
    let late: Vec<Duration> = late.map(|it| it - accepted_at).collect();
    assert!(
        late.is_empty(),
        "{} late arrivals, the last {:?}",
        late.len(),
        late.last()
    );
}

macro_rules! lost_feeds {
    ($($name:ident: $nodes:literal, $leave:expr;)*) => {
        $(
            /// Guards against taking rows for complete that a long poll was to bring whose response
            /// is lost: only the operators' table was known to be complete, and the instances went on
            /// sending until the long poll for registrations ended.
            #[tokio::test]
            async fn $name() {
                check_lost_feeds($nodes, $leave).await;
            }
        )*
    };
}

lost_feeds! {
    a_lost_feed_hides_no_draining_upstream_from_one_node: 1, Leave::Reports;
    a_lost_feed_hides_no_draining_upstream_from_six_nodes: 6, Leave::Reports;
    a_lost_feed_hides_no_removed_upstream_from_six_nodes: 6, Leave::Deregisters;
}

/// Guards against calls of steps to an upstream that left while the call waited for its connection:
/// the planner chose it before, and nothing asked again.
#[tokio::test]
async fn a_call_that_waits_for_its_connection_reaches_no_upstream_that_has_left() {
    let fixture = Fixture::start(1).await;
    let site = &fixture.site;
    let steps: Vec<usize> = (0..site.upstreams.len())
        .filter(|it| site.upstreams[*it].1 == "steps")
        .collect();
    let (first, others) = steps.split_first().expect("an upstream that runs steps");
    others.iter().for_each(|it| site.register(*it, "draining"));
    let (upstream, _, address) = &site.upstreams[*first];
    let headers = [
        "x-model: m",
        "x-token-count: 30,6",
        "x-prompt-prefix: aa:10,bb:20",
        "x-chunks: 2",
        "x-chunk-key: k",
    ];
    let is_served = || async {
        let response = fixture.send("POST /draft/1", "first", &headers).await;
        response.status == 200 && upstream.arrivals() > 0
    };
    eventually("a call", Duration::from_secs(8), is_served).await;
    // Until idle connections are closed.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let arrivals = upstream.arrivals();
    let link = &fixture.nodes[0].link;
    link.set_to(*address, Cut::Hang);
    let request = fixture.send("POST /draft/1", "second", &headers);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        site.register(*first, "draining");
        tokio::time::sleep(Duration::from_millis(80)).await;
        link.set_to(*address, Cut::None);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(upstream.arrivals(), arrivals);
    };
    future::join(request, leave).await;
}

/// One step of the life of an upstream, or of the way of its rows.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store accepts a heartbeat of the process with this start, perhaps late.
    Heartbeat(u64),
    /// The store accepts the report of its stop.
    Report(u64),
    /// The row is removed.
    Removal,
    /// Time passes in which the rows are confirmed.
    Confirmed(u64),
    /// Time passes in which they are not.
    Gap(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => (1..4_u64).prop_map(Event::Heartbeat),
        2 => (1..4_u64).prop_map(Event::Report),
        2 => Just(Event::Removal),
        4 => (100..3_000_u64).prop_map(Event::Confirmed),
        2 => (500..6_000_u64).prop_map(Event::Gap),
    ];
    vec(event, 1..40)
}

/// What the store has accepted of the upstream.
#[derive(Default)]
struct Held {
    /// Starts of the processes that have reported their stop.
    stopped: BTreeSet<u64>,
    has_row: bool,
    /// Time for which the rows have been confirmed since the removal of the row.
    confirmed: Duration,
}

fn play(events: &[Event]) {
    const STEP: Duration = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut rows = Rows::new(now);
    let mut held = Held::default();
    let mut complete_at = now;
    for event in events {
        let (time, is_confirmed) = match event {
            Event::Confirmed(ms) => (Duration::from_millis(*ms), true),
            Event::Gap(ms) => (Duration::from_millis(*ms), false),
            Event::Heartbeat(started_ms) => {
                rows.write(Some(registration("ready", *started_ms, 1)), now);
                held.has_row = true;
                (Duration::ZERO, false)
            }
            Event::Report(started_ms) => {
                rows.write(Some(registration("draining", *started_ms, 1)), now);
                held.stopped.insert(*started_ms);
                held.has_row = true;
                (Duration::ZERO, false)
            }
            Event::Removal => {
                rows.write(None, now);
                if held.has_row {
                    held.confirmed = Duration::ZERO;
                }
                held.has_row = false;
                (Duration::ZERO, false)
            }
        };
        let until = now + time;
        while now < until {
            now += STEP;
            if is_confirmed {
                complete_at = now;
                held.confirmed += STEP;
            }
            rows.tracker.set_age(Some(now - complete_at), now);
            rows.tracker.expire(now);
        }
        let view = rows.tracker.view();
        let used = view.upstreams.values().find(|it| view.is_usable(it));
        let Some(used) = used else {
            continue;
        };
        assert!(!held.stopped.contains(&used.started_ms), "{event:?}");
        assert!(held.has_row || held.confirmed <= HOLD_MAX, "{event:?}");
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(47),
        cases: 2_000,
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against requests to an upstream that has reported its stop, or was removed and not
    /// registered again, in whatever order rows and gaps follow each other.
    #[test]
    fn an_upstream_that_has_left_is_not_used(events in events()) {
        play(&events);
    }
}
