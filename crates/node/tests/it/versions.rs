//! Streams while upstreams of several software versions serve. What two versions write does not fit
//! together, so a stream goes on only at the version that began it, within an answer and over the
//! attempts of its client.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use platform_standin::client::Response;
use platform_standin::download::Download;
use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::site::SECOND_ENGINE_SERVICE;
use platform_standin::upstream::DEFAULT_VERSION;
use platform_standin::upstream::Fault;
use serde_json::json;

use crate::crashes::restart_all;
use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Version that is released while [`DEFAULT_VERSION`] serves.
const NEW_VERSION: &str = "v1.1";
/// Events after which a client loses its connection.
const EVENTS_BEFORE_BREAK: usize = 3;
/// Attempts of a client for one stream.
const CLIENT_ATTEMPTS_MAX: usize = 3;
/// Most streams that are begun until enough of them have been at one upstream, which is used less
/// after each break.
const STREAMS_MAX: usize = 800;
/// Number of streams of a test that clients take up.
const TAKE_UPS: usize = 24;
/// Time from the first event of a stream after which a loss of all instances does not keep it from
/// going on.
const RECORDING_TIME: Duration = Duration::from_millis(1_200);
/// Time after which an instance has begun to save the origin of a stream.
const SAVE_DELAY: Duration = Duration::from_millis(70);
/// Time from the first event of a stream after which the loss of its instance alone does not keep it
/// from going on.
const HAND_OVER_TIME: Duration = Duration::from_millis(60);
/// Time within which nodes learn of a changed registration.
const NOTICE_TIME: Duration = Duration::from_millis(100);
/// Time that an upstream takes before the first event.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Client addresses of all nodes.
fn client_addresses(fixture: &Fixture) -> Vec<SocketAddr> {
    fixture.nodes.iter().map(|it| it.client_address).collect()
}

/// Registers `count` engines with a software version; returns their indices.
async fn add_engines(fixture: &mut Fixture, version: &str, count: usize) -> Vec<usize> {
    let mut added = Vec::new();
    for _ in 0..count {
        let site = &mut fixture.site;
        let idx = site.add_version("engine", EVENTS_PER_STREAM, SERVICE_TIME, version);
        added.push(idx.await.expect("a port for an upstream"));
    }
    added
}

/// A site with engines of two software versions, and its nodes.
struct Mixed {
    fixture: Fixture,
    /// Indices of the engines of [`DEFAULT_VERSION`].
    old: Vec<usize>,
    /// Indices of the engines of [`NEW_VERSION`].
    new: Vec<usize>,
}

/// Starts nodes, and four engines each of two software versions.
async fn start_mixed(nodes: usize) -> Mixed {
    let mut fixture = Fixture::start(nodes).await;
    let mut old = vec![2, 3];
    old.extend(add_engines(&mut fixture, DEFAULT_VERSION, 2).await);
    let new = release(&mut fixture, NEW_VERSION, 4).await;
    Mixed { fixture, old, new }
}

impl Mixed {
    /// Takes half of the engines of each version out of service, so that many streams cannot go on
    /// where they began, and waits until the nodes have learned it.
    async fn shrink(&self) {
        for engines in [&self.old, &self.new] {
            let half = &engines[..engines.len() / 2];
            half.iter().for_each(|it| self.fixture.site.deregister(*it));
        }
        tokio::time::sleep(NOTICE_TIME).await;
    }
}

/// Registers `count` engines with a software version; returns their indices when each node has sent
/// a stream to the version.
async fn release(fixture: &mut Fixture, version: &str, count: usize) -> Vec<usize> {
    let added = add_engines(fixture, version, count).await;
    for (node, client_address) in client_addresses(fixture).into_iter().enumerate() {
        let mut probes = 0;
        eventually("a stream of the version", Duration::from_secs(10), || {
            probes += 1;
            let name = format!("probe-{version}-{node}-{probes}");
            async move {
                let mut probe = Download::new("summary", &name);
                probe.attempt(client_address, usize::MAX).await;
                probe.first_version() == version
            }
        })
        .await;
    }
    added
}

/// Begins a stream, and loses the connection after [`EVENTS_BEFORE_BREAK`] events.
async fn begin(name: &str, route: &str, client_address: SocketAddr) -> Download {
    let mut download = Download::new(route, name);
    let response = download.attempt(client_address, EVENTS_BEFORE_BREAK).await;
    assert_eq!(response.status, 200, "{name}: {}", response.head);
    assert!(!download.events.is_empty(), "{name}: {}", response.head);
    download
}

/// Sends attempts, at most [`CLIENT_ATTEMPTS_MAX`] in all, until the stream is complete. Waits
/// after each as long as the response asks for.
async fn finish(download: &mut Download, client_addresses: &[SocketAddr]) {
    while !download.is_complete && download.statuses.len() < CLIENT_ATTEMPTS_MAX {
        let client_address = client_addresses[download.statuses.len() % client_addresses.len()];
        let response = download.attempt(client_address, usize::MAX).await;
        tokio::time::sleep(retry_after(&response)).await;
    }
}

/// Pause that a response asks for.
fn retry_after(response: &Response) -> Duration {
    let mut lines = response.head.lines();
    let seconds = lines.find_map(|it| it.strip_prefix("retry-after: "));
    let seconds = seconds.and_then(|it| it.trim().parse().ok());
    seconds.map_or(Duration::ZERO, Duration::from_secs_f64)
}

/// Begins `count` streams at the nodes in turn.
async fn begin_streams(fixture: &Fixture, name: &str, count: usize) -> Vec<Download> {
    let addresses = client_addresses(fixture);
    let mut downloads = Vec::new();
    for idx in 0..count {
        let client_address = addresses[idx % addresses.len()];
        downloads.push(begin(&format!("{name}{idx}"), "summary", client_address).await);
    }
    downloads
}

/// Takes each stream up with one attempt, at the node after the one that began it.
async fn take_up(fixture: &Fixture, downloads: &mut [Download]) {
    let addresses = client_addresses(fixture);
    for (idx, download) in downloads.iter_mut().enumerate() {
        let client_address = addresses[(idx + 1) % addresses.len()];
        download.attempt(client_address, usize::MAX).await;
    }
}

/// Panics if a stream is joined or, where `has_to_go_on` says so, not complete.
fn check(downloads: &[Download], has_to_go_on: impl Fn(&Download) -> bool) {
    let joined = downloads.iter().filter(|it| it.versions().len() > 1);
    let joined: Vec<_> = joined.map(|it| it.name.as_str()).collect();
    assert!(
        joined.is_empty(),
        "{} of {} streams have events of two versions: {joined:?}",
        joined.len(),
        downloads.len()
    );
    for download in downloads {
        let is_whole = download.events.len() == EVENTS_PER_STREAM as usize;
        assert!(
            download.is_in_sequence() && download.is_complete == is_whole,
            "{download:?}"
        );
    }
    let lost: Vec<_> = downloads
        .iter()
        .filter(|it| has_to_go_on(it) && !it.is_complete)
        .collect();
    assert!(lost.is_empty(), "{} do not go on: {lost:?}", lost.len());
}

/// Guards against a stream that goes on at another software version inside its answer though an
/// upstream of its own version serves.
#[tokio::test]
async fn a_broken_stream_goes_on_at_its_version() {
    let mut fixture = Fixture::start(1).await;
    release(&mut fixture, NEW_VERSION, 4).await;
    let breaking = fixture.site.upstreams[2].0.clone();
    let mut resumed = 0;
    for idx in 0..STREAMS_MAX {
        if resumed == 6 {
            break;
        }
        // One break at a time, so that the upstream stays in use.
        breaking.set_fault(Fault::ResetStream, Some(1));
        let runs_before = breaking.runs().len();
        let mut download = Download::new("summary", &format!("s{idx}"));
        download
            .attempt(fixture.nodes[0].client_address, usize::MAX)
            .await;
        check(&[download], |_| true);
        resumed += usize::from(breaking.runs().len() > runs_before);
    }
    assert_eq!(resumed, 6);
}

/// Guards against a stream that goes on at another software version inside its answer because no
/// upstream of its own version is left.
#[tokio::test]
async fn a_stream_without_another_upstream_of_its_version_is_visibly_broken() {
    let mut fixture = Fixture::start(1).await;
    fixture.site.deregister(3);
    release(&mut fixture, NEW_VERSION, 4).await;
    let breaking = fixture.site.upstreams[2].0.clone();
    let mut broken = 0;
    for idx in 0..STREAMS_MAX {
        if broken == 3 {
            break;
        }
        breaking.set_fault(Fault::ResetStream, Some(1));
        let runs_before = breaking.runs().len();
        let mut download = Download::new("summary", &format!("s{idx}"));
        download
            .attempt(fixture.nodes[0].client_address, usize::MAX)
            .await;
        let is_broken = breaking.runs().len() > runs_before;
        check(&[download], |_| !is_broken);
        broken += usize::from(is_broken);
    }
    assert_eq!(broken, 3);
}

/// Guards against a stream that its client takes up at another instance and that goes on at another
/// software version, or not at all.
#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_at_its_version() {
    let mixed = start_mixed(2).await;
    let mut downloads = begin_streams(&mixed.fixture, "s", TAKE_UPS).await;
    tokio::time::sleep(RECORDING_TIME).await;
    mixed.shrink().await;
    take_up(&mixed.fixture, &mut downloads).await;
    check(&downloads, |_| true);
}

/// Guards against a stream that is joined, or does not go on, because the instance that gets the
/// take-up has not yet learned which software version began it.
#[tokio::test]
async fn a_stream_that_is_taken_up_at_once_goes_on_at_its_version() {
    let mixed = start_mixed(3).await;
    let addresses = client_addresses(&mixed.fixture);
    let mut downloads = Vec::new();
    for idx in 0..TAKE_UPS {
        downloads.push(begin(&format!("s{idx}"), "summary", addresses[0]).await);
    }
    mixed.shrink().await;
    for download in &mut downloads {
        finish(download, &addresses).await;
    }
    check(&downloads, |_| true);
}

/// Guards against the take-up of a stream that has already been taken up: it names the attempt that
/// brought the first event, at a third instance.
#[tokio::test]
async fn a_stream_that_is_taken_up_twice_goes_on_at_its_version() {
    let mixed = start_mixed(3).await;
    let addresses = client_addresses(&mixed.fixture);
    let mut downloads = Vec::new();
    for idx in 0..TAKE_UPS {
        let mut download = Download::new("summary", &format!("s{idx}"));
        download.attempt(addresses[0], 1).await;
        downloads.push(download);
    }
    tokio::time::sleep(RECORDING_TIME).await;
    for download in &mut downloads {
        download.attempt(addresses[1], 1).await;
    }
    mixed.shrink().await;
    for download in &mut downloads {
        download.attempt(addresses[2], usize::MAX).await;
    }
    check(&downloads, |_| true);
}

/// Guards against streams that do not go on because the instance that began them was lost before it
/// saved where they began: streams are short, and most of those that it breaks have just begun.
#[tokio::test]
async fn streams_that_have_just_begun_go_on_after_the_loss_of_their_instance() {
    let mut mixed = start_mixed(3).await;
    let addresses = client_addresses(&mixed.fixture);
    // Keeps the instance busy with saving.
    begin("earlier", "summary", addresses[0]).await;
    tokio::time::sleep(SAVE_DELAY).await;
    let downloads = (0..TAKE_UPS / 2).map(|idx| {
        let client_address = addresses[0];
        async move { begin(&format!("s{idx}"), "summary", client_address).await }
    });
    let mut downloads: Vec<Download> = join_all(downloads).await;
    tokio::time::sleep(HAND_OVER_TIME).await;
    mixed.fixture.nodes.remove(0).kill();
    for (idx, download) in downloads.iter_mut().enumerate() {
        let client_address = addresses[1 + idx % 2];
        download.attempt(client_address, usize::MAX).await;
    }
    check(&downloads, |_| true);
}

/// Guards against streams of two software versions that are joined after the loss of all instances,
/// and against those that do not go on though their version was recorded in time.
#[tokio::test]
async fn streams_go_on_at_their_version_after_the_loss_of_all_instances() {
    let mut mixed = start_mixed(3).await;
    let mut downloads = begin_streams(&mixed.fixture, "early", TAKE_UPS).await;
    tokio::time::sleep(RECORDING_TIME).await;
    downloads.extend(begin_streams(&mixed.fixture, "late", TAKE_UPS).await);
    restart_all(&mut mixed.fixture).await;
    mixed.shrink().await;
    take_up(&mixed.fixture, &mut downloads).await;
    check(&downloads, |it| it.name.starts_with("early"));
}

/// Guards against streams that are joined because the upstreams of their software version left just
/// before all instances were lost (issue 31).
#[tokio::test]
async fn streams_of_a_version_that_left_before_the_loss_of_all_instances_are_refused() {
    let Mixed {
        mut fixture, old, ..
    } = start_mixed(3).await;
    let mut downloads = begin_streams(&fixture, "early", TAKE_UPS).await;
    tokio::time::sleep(RECORDING_TIME).await;
    downloads.extend(begin_streams(&fixture, "late", TAKE_UPS).await);
    old.iter().for_each(|it| fixture.site.deregister(*it));
    restart_all(&mut fixture).await;
    take_up(&fixture, &mut downloads).await;
    check(&downloads, |it| {
        it.name.starts_with("early") && it.first_version() == NEW_VERSION
    });
    check_refused(&downloads);
}

/// Guards against streams that are joined because a single software version served while they ran,
/// and another one alone when all instances are back (issue 31).
#[tokio::test]
async fn streams_of_a_version_that_was_replaced_at_the_loss_of_all_instances_are_refused() {
    let mut fixture = Fixture::start(3).await;
    let mut downloads = begin_streams(&fixture, "s", TAKE_UPS).await;
    add_engines(&mut fixture, NEW_VERSION, 2).await;
    fixture.site.deregister(2);
    fixture.site.deregister(3);
    restart_all(&mut fixture).await;
    take_up(&fixture, &mut downloads).await;
    check(&downloads, |_| false);
    check_refused(&downloads);
}

/// Panics unless the take-ups of the streams that [`DEFAULT_VERSION`] began were refused as not run.
fn check_refused(downloads: &[Download]) {
    let of_old_version = |it: &&Download| it.first_version() == DEFAULT_VERSION;
    let mut refused = 0;
    for download in downloads.iter().filter(of_old_version) {
        assert_eq!(download.statuses, [200, 503], "{download:?}");
        refused += 1;
    }
    assert!(refused > 0);
}

/// Guards against a take-up that goes to another of the services that its route is split over.
#[tokio::test]
async fn a_stream_of_a_split_route_is_taken_up_at_its_service() {
    let mut fixture = Fixture::start(2).await;
    let mut services = [vec![2, 3], Vec::new()];
    for _ in 0..2 {
        let site = &mut fixture.site;
        let idx = site.add(SECOND_ENGINE_SERVICE, EVENTS_PER_STREAM, SERVICE_TIME);
        services[1].push(idx.await.expect("a port for an upstream"));
    }
    let route = json!([{"name": "split", "host": "site.example", "prefix": "/split/",
    "type": "stream", "resumable": true, "timeout_ms": 4_000, "goal_ms": 500, "attempts": 2,
    "sticky": true, "split": [
        {"service": "engine", "weight": 1.0},
        {"service": SECOND_ENGINE_SERVICE, "weight": 1.0},
    ]}]);
    fixture.site.configure(2, route);
    let addresses = client_addresses(&fixture);
    for (node, client_address) in addresses.iter().enumerate() {
        let mut probes = 0;
        eventually("the route", Duration::from_secs(10), || {
            probes += 1;
            let name = format!("probe-{node}-{probes}");
            async move {
                let mut probe = Download::new("split", &name);
                probe.attempt(*client_address, usize::MAX).await.status == 200
            }
        })
        .await;
    }
    let service_of = |attempt: &str| {
        services.iter().position(|service| {
            let mut runs = service
                .iter()
                .flat_map(|it| fixture.site.upstreams[*it].0.runs());
            runs.any(|it| it.0 == attempt)
        })
    };
    let mut downloads = Vec::new();
    for idx in 0..TAKE_UPS {
        downloads.push(begin(&format!("s{idx}"), "split", addresses[0]).await);
    }
    tokio::time::sleep(RECORDING_TIME).await;
    let mut moved = Vec::new();
    for (idx, download) in downloads.iter_mut().enumerate() {
        let first = service_of(&download.last_attempt());
        download
            .attempt(addresses[idx % addresses.len()], usize::MAX)
            .await;
        if service_of(&download.last_attempt()).is_some_and(|it| Some(it) != first) {
            moved.push(download.name.as_str());
        }
    }
    assert!(
        moved.is_empty(),
        "{} of {TAKE_UPS} take-ups went to another service: {moved:?}",
        moved.len()
    );
    check(&downloads, |_| true);
}

/// Guards against streams that are refused, or recorded in the store, though a single software
/// version has served all along.
#[tokio::test]
async fn streams_of_a_single_version_go_on_after_the_loss_of_all_instances() {
    let mut fixture = Fixture::start(2).await;
    let mut downloads = begin_streams(&fixture, "s", TAKE_UPS).await;
    let tables = fixture.site.store.tables();
    tokio::time::sleep(RECORDING_TIME).await;
    restart_all(&mut fixture).await;
    take_up(&fixture, &mut downloads).await;
    check(&downloads, |_| true);
    assert_eq!(fixture.site.store.tables(), tables);
}

/// Restarts the upstream `idx` with [`NEW_VERSION`], and panics if a stream is joined that began
/// before it, or between it and its registration.
async fn check_restart(fixture: &mut Fixture, idx: usize) {
    let mut downloads = begin_streams(fixture, "before", TAKE_UPS).await;
    let restarted = fixture.site.restart(idx, NEW_VERSION).await;
    restarted.expect("the port of the upstream");
    // Attempts between the start of the upstream and its registration may fail.
    let addresses = client_addresses(fixture);
    for idx in 0..TAKE_UPS {
        let mut download = Download::new("summary", &format!("between{idx}"));
        download
            .attempt(addresses[idx % addresses.len()], EVENTS_BEFORE_BREAK)
            .await;
        downloads.push(download);
    }
    take_up(fixture, &mut downloads[..TAKE_UPS / 2]).await;
    fixture.site.register(idx, "ready");
    take_up(fixture, &mut downloads[TAKE_UPS / 2..]).await;
    check(&downloads, |_| false);
    let mut after = begin_streams(fixture, "after", TAKE_UPS).await;
    tokio::time::sleep(RECORDING_TIME).await;
    take_up(fixture, &mut after).await;
    check(&after, |_| true);
}

/// Guards against a stream that goes on at an upstream which has returned under its name with
/// another software version than the one that it is registered with.
#[tokio::test]
async fn streams_do_not_go_on_at_an_upstream_that_returned_with_another_version() {
    let mut fixture = Fixture::start(2).await;
    // A single upstream of each version is left.
    check_restart(&mut fixture, 2).await;
}

/// The same, while upstreams of both versions serve.
#[tokio::test]
async fn streams_of_mixed_versions_do_not_go_on_at_an_upstream_that_returned_with_another_one() {
    let Mixed {
        mut fixture, old, ..
    } = start_mixed(2).await;
    check_restart(&mut fixture, old[0]).await;
}
