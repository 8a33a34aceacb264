//! Releases of software versions of the engine service, clients that take up their broken streams,
//! and the check that no stream has events of two versions.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use platform_standin::download::Download;
use platform_standin::site::EVENTS_PER_STREAM;
use platform_standin::site::Site;
use platform_standin::upstream::DEFAULT_VERSION;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::check::SentRequest;
use crate::check::Violation;
use crate::fault;
use crate::fault::Fault;
use crate::fault::ScheduledFault;

/// Service whose versions are released.
pub(crate) const SERVICE: &str = "engine";
/// All versions, in the order of their release.
pub(crate) const VERSIONS: [&str; 3] = [DEFAULT_VERSION, "v1.1", "v2"];
/// Time that an upstream takes before the first event.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Bounds of the time for which all nodes are gone.
const OUTAGE: Range<Duration> = Duration::from_millis(200)..Duration::from_millis(1_000);
/// Time in which nodes start.
const START_TIME: Duration = Duration::from_secs(1);
/// Attempts of a client for one stream.
const CLIENT_ATTEMPTS_MAX: usize = 3;
/// Most milliseconds between two attempts of a client.
const CLIENT_PAUSE_MAX_MS: u64 = 1_200;

/// Draws the releases of a run and losses of all nodes, sorted by start. Each release starts two
/// upstreams under new names, or replaces upstreams under their names, one after the other; the
/// two oldest upstreams may leave.
pub(crate) fn generate(
    rng: &mut SmallRng,
    load_duration: Duration,
    other_faults: &[ScheduledFault],
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut schedule = |share: f64, duration: Duration, fault: Fault| {
        let at = load_duration.mul_f64(share);
        faults.push(ScheduledFault {
            at,
            duration,
            fault,
        });
    };
    let mut share = 0.0;
    for version in &VERSIONS[1..] {
        share += rng.random_range(0.0..0.35);
        let in_place = rng.random_bool(0.3);
        let leaves_after = rng.random_range(0.0..0.2);
        for idx in 0..2 {
            let start = share + 0.02 * f64::from(idx);
            let drain = fault::random_duration(rng);
            if in_place {
                schedule(start, drain, Fault::Replace(version));
                continue;
            }
            schedule(start, drain, Fault::Release(version));
            if rng.random_bool(0.7) {
                schedule(start + leaves_after, drain, Fault::Retire);
            }
        }
    }
    let outage = rng.random_range(OUTAGE);
    let share = rng.random_range(0.1..0.75);
    // Nodes that start without a store refuse everything, which shows nothing.
    let at = load_duration.mul_f64(share);
    let needs_store = at.saturating_sub(fault::MAX_DURATION)..at + OUTAGE.end + START_TIME;
    let mut store_faults = other_faults.iter().filter(|it| it.fault.is_of_store());
    let has_store = store_faults.all(|it| !needs_store.contains(&it.at));
    if has_store && rng.random_bool(0.8) {
        schedule(share, outage, Fault::KillAll);
    }
    faults.sort_by_key(|it| it.at);
    faults
}

/// Upstreams of the service that have not left, oldest first, by index.
pub(crate) struct Engines(Vec<usize>);

impl Engines {
    /// The upstreams that a site starts with.
    pub(crate) fn new(site: &Site) -> Engines {
        let upstreams = site.upstreams.iter().enumerate();
        let engines = upstreams.filter(|it| it.1.1 == SERVICE);
        Engines(engines.map(|it| it.0).collect())
    }

    /// Starts and registers an upstream.
    pub(crate) async fn release(&mut self, site: &mut Site, version: &str) -> std::io::Result<()> {
        let added = site.add_version(SERVICE, EVENTS_PER_STREAM, SERVICE_TIME, version);
        self.0.push(added.await?);
        Ok(())
    }

    /// Starts the oldest upstream again with another version.
    pub(crate) async fn replace(&mut self, site: &mut Site, version: &str) -> std::io::Result<()> {
        self.0.rotate_left(1);
        if let Some(idx) = self.0.last() {
            site.restart(*idx, version).await?;
            site.register(*idx, "ready");
        }
        Ok(())
    }

    /// Deregisters the oldest upstream, unless it is the only one.
    pub(crate) fn retire(&mut self, site: &Site) {
        if self.0.len() > 1 {
            site.deregister(self.0.remove(0));
        }
    }
}

/// Begins streams, loses the connection after some events, and takes the streams up at random
/// nodes, until `end`. Returns the requests as well, for the other checks.
pub(crate) async fn run_client(
    targets: Vec<(SocketAddr, Arc<Mutex<Instant>>)>,
    mut rng: SmallRng,
    client: u64,
    end: Instant,
) -> (Vec<Download>, Vec<SentRequest>) {
    let (mut downloads, mut requests) = (Vec::new(), Vec::new());
    while Instant::now() < end {
        let mut download = Download::new("summary", &format!("d{client}-{}", downloads.len()));
        while !download.is_complete && download.statuses.len() < CLIENT_ATTEMPTS_MAX {
            let (client_address, excused_until) = &targets[rng.random_range(0..targets.len())];
            let events_max = match rng.random_bool(0.4) {
                true => usize::MAX,
                false => rng.random_range(1..EVENTS_PER_STREAM as usize),
            };
            let last_event = download.events.last().map_or(0, |it| it.number);
            let start = Instant::now();
            let response = download.attempt(*client_address, events_max).await;
            let elapsed_ms = start.elapsed().as_millis();
            let excused_until = *excused_until.lock().unwrap_or_else(PoisonError::into_inner);
            requests.push(SentRequest {
                id: download.last_attempt(),
                service: SERVICE,
                is_idempotent: true,
                timeout_ms: 4_000,
                last_event,
                response,
                elapsed_ms,
                is_excused: start < excused_until,
            });
            let pause_ms = rng.random_range(0..CLIENT_PAUSE_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        downloads.push(download);
    }
    (downloads, requests)
}

/// Take-ups that were answered with an event, and all.
pub(crate) fn count_take_ups(requests: &[SentRequest]) -> (usize, usize) {
    let take_ups = requests.iter().filter(|it| it.last_event > 0);
    take_ups.fold((0, 0), |(served, all), it| {
        (
            served + usize::from(!it.response.body.is_empty() && it.response.status == 200),
            all + 1,
        )
    })
}

/// Checks that no stream has events of two versions, or others than those in sequence.
pub(crate) fn check(downloads: &[Download]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for download in downloads {
        if download.versions().len() > 1 {
            violations.push(Violation::Joined(download.name.clone()));
        } else if !download.is_in_sequence() {
            violations.push(Violation::OutOfSequence(download.name.clone()));
        }
    }
    violations
}
