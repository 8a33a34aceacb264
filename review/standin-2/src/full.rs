//! Many clients with long streams at one machine, and whether it takes others while it is ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::http::Channel;
use crate::replica::Behaviour;
use crate::replica::Effect;
use crate::replica::Service;
use crate::site;
use crate::site::Failure;
use crate::site::Site;

const HOST: &str = "pule25.example";
const STREAM_TARGET: &str = "/puxa400/2f";
const READ_TARGET: &str = "/bobo563/lo7/2f";
const NODES: u8 = 2;
const MODEL_REPLICAS: u8 = 18;
const LEDGER_REPLICAS: u8 = 4;
/// Channels of clients that a machine takes, by `docs/OPERATIONS.md`, and its memory in megabytes.
const USUAL: (usize, u64) = (1_560, 260);
/// The same where processes have few descriptors.
const SMALL: (usize, u64) = (305, 40);
/// Clients without the crowd, and beyond what the machine takes.
const CALM_CLIENTS: usize = 40;
/// Time that a stream takes.
const MODEL_TIME: Duration = Duration::from_secs(15);
const DEADLINE_MS: u64 = 20_000;
const ANSWER_LIMIT: Duration = Duration::from_secs(22);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Clients that try to open channels, and how they do.
const OTHER_CLIENTS: usize = 8;
const OTHER_TIME: Duration = Duration::from_secs(8);
const OTHER_PAUSE: Duration = Duration::from_millis(200);
const OTHER_LIMIT: Duration = Duration::from_secs(1);
const OPEN_PAUSE: Duration = Duration::from_millis(1);
const CLIENT_STACK_BYTES: usize = 256 * 1024;

/// What the clients and the platform saw at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// A new channel was taken.
    Taken,
    /// A new channel was not taken.
    Refused,
    /// The machine said that it is ready.
    Ready,
    /// It did not.
    NotReady,
}

pub fn run(site: &mut Site, has_trouble: bool) -> Result<Verdict, Failure> {
    let (channels, ram_mb) = match site::has_many_descriptors() {
        true => USUAL,
        false => SMALL,
    };
    let clients = match has_trouble {
        true => channels + CALM_CLIENTS,
        false => CALM_CLIENTS,
    };
    site.ram_mb = ram_mb;
    let streams: Behaviour = Arc::new(|_| Effect::Stream(MODEL_TIME));
    let reads: Behaviour = Arc::new(|_| Effect::Answer(Duration::from_millis(1)));
    let model = Service::new("clerk-assist", &site.store, Duration::ZERO, streams);
    let ledger = Service::new("ledger", &site.store, Duration::ZERO, reads);
    for number in 0..MODEL_REPLICAS + LEDGER_REPLICAS {
        let service = if number < MODEL_REPLICAS {
            &model
        } else {
            &ledger
        };
        let zone = site::ZONES[number as usize % site::ZONES.len()];
        service.add(&format!("i-{number:08x}"), site.net.replica(number), zone);
    }
    let routes = [
        site::stream_route("payer-answer", HOST, "/puxa400/", "clerk-assist"),
        site::route("balance-read", HOST, "/bobo563/", "idempotent", "ledger"),
    ];
    let services = [
        site::engine_service("clerk-assist"),
        site::service("ledger"),
    ];
    site.configure(1, &routes.join(","), &services.join(","));
    site.start_nodes(NODES)?;
    std::thread::sleep(Duration::from_secs(4));

    let address = site.nodes[0].front;
    site.record.line(&format!(
        "{clients} clients begin a stream each at {}",
        site.nodes[0].name
    ));
    let seen: Mutex<Vec<(Instant, Seen)>> = Mutex::default();
    let note = |what: Seen| {
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.push((Instant::now(), what));
    };
    let is_over = AtomicBool::new(false);
    let (note, is_over) = (&note, &is_over);
    std::thread::scope(|scope| -> Result<(), Failure> {
        let site = &*site;
        for _ in 0..clients {
            let builder = std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
            builder.spawn_scoped(scope, move || {
                let call = site.call("POST", HOST, STREAM_TARGET, DEADLINE_MS);
                http::send(address, &call, ANSWER_LIMIT);
            })?;
            std::thread::sleep(OPEN_PAUSE);
        }
        std::thread::sleep(Duration::from_secs(1));
        site.record.line("eight other clients open channels");
        let poll = scope.spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                note(match site.nodes[0].is_ready() {
                    true => Seen::Ready,
                    false => Seen::NotReady,
                });
                std::thread::sleep(OTHER_PAUSE);
            }
        });
        let others = (0..OTHER_CLIENTS).map(|_| {
            scope.spawn(move || {
                let start = Instant::now();
                while start.elapsed() < OTHER_TIME {
                    note(match is_taken(site, address) {
                        true => Seen::Taken,
                        false => Seen::Refused,
                    });
                    std::thread::sleep(OTHER_PAUSE);
                }
            })
        });
        let others: Vec<_> = others.collect();
        for other in others {
            let _ = other.join();
        }
        is_over.store(true, Ordering::Relaxed);
        let _ = poll.join();
        Ok(())
    })?;
    site.check_nodes()?;

    let seen = seen.into_inner().unwrap_or_else(PoisonError::into_inner);
    let count = |what| seen.iter().filter(|it| it.1 == what).count();
    // The machine is ready, and takes nothing, from one of these to the next.
    let mut longest = Duration::ZERO;
    let mut since: Option<Instant> = None;
    for (at, what) in &seen {
        match what {
            Seen::Taken | Seen::NotReady => since = None,
            Seen::Refused => {
                let from = *since.get_or_insert(*at);
                longest = longest.max(at.duration_since(from));
            }
            Seen::Ready => {}
        }
    }
    site.record.line(&format!(
        "channels taken {}, not taken {}; answers that say ready {}, not ready {}; longest time \
         ready without a channel taken {} ms, allowed {} ms",
        count(Seen::Taken),
        count(Seen::Refused),
        count(Seen::Ready),
        count(Seen::NotReady),
        longest.as_millis(),
        CONTACT.as_millis()
    ));
    Ok(match longest >= CONTACT {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Whether a new channel is taken: any answer shows that.
fn is_taken(site: &Site, address: SocketAddr) -> bool {
    let call = site.call("GET", HOST, READ_TARGET, DEADLINE_MS);
    let channel = Channel::open(address);
    channel.is_ok_and(|mut it| it.exchange(&call, OTHER_LIMIT).status != 0)
}
