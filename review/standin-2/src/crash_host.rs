//! A request that crashes replicas, and one of another host with the same path that does not.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::replica::Behaviour;
use crate::replica::Effect;
use crate::replica::Run;
use crate::replica::Service;
use crate::site;
use crate::site::Failure;
use crate::site::Site;

/// Host of the request that crashes replicas.
const CRASHING_HOST: &str = "jepu9.example";
/// Host of the requests that run well, at replicas of another service.
const OTHER_HOST: &str = "pule25.example";
const PREFIX: &str = "/v1/";
const TARGET: &str = "/v1/accounts/17";
const REPLICAS: u8 = 6;
const NODES: u8 = 3;
const DEADLINE_MS: u64 = 2_500;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a crashed replica is down.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Retries that may reach replicas later than `contact_ms` after the third crash.
const LATE_RETRIES_MAX: usize = 3;
/// Pauses of the two clients between their requests.
const CRASHING_PAUSE: Duration = Duration::from_secs(2);
const OTHER_PAUSE: Duration = Duration::from_millis(500);
/// Requests of the client whose request crashes replicas.
const ATTEMPTS: usize = 15;

pub fn run(site: &mut Site, has_trouble: bool) -> Result<Verdict, Failure> {
    let crashing: Behaviour = Arc::new(move |_| match has_trouble {
        true => Effect::Crash(Duration::from_millis(10)),
        false => Effect::Answer(Duration::from_millis(15)),
    });
    let sound: Behaviour = Arc::new(|_| Effect::Answer(Duration::from_millis(15)));
    let ledger = Service::new("ledger", &site.store, DOWN_TIME, crashing);
    let accounts = Service::new("accounts", &site.store, DOWN_TIME, sound);
    for number in 0..REPLICAS {
        let zone = site::ZONES[number as usize % site::ZONES.len()];
        let address = site.net.replica(number);
        ledger.add(&format!("i-{number:08x}"), address, zone);
        let number = number + REPLICAS;
        let address = site.net.replica(number);
        accounts.add(&format!("i-{number:08x}"), address, zone);
    }
    let routes = [
        site::route("history", CRASHING_HOST, PREFIX, "idempotent", "ledger"),
        site::route("read", OTHER_HOST, PREFIX, "idempotent", "accounts"),
    ];
    let services = [site::service("ledger"), site::service("accounts")];
    site.configure(1, &routes.join(","), &services.join(","));
    site.start_nodes(NODES)?;
    std::thread::sleep(Duration::from_secs(4));

    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let site = &*site;
        let is_over = &is_over;
        scope.spawn(move || {
            let mut node = 0;
            while !is_over.load(Ordering::Relaxed) {
                let call = site.call("GET", OTHER_HOST, TARGET, DEADLINE_MS);
                site.send(node % usize::from(NODES), &call, ANSWER_LIMIT);
                node += 1;
                std::thread::sleep(OTHER_PAUSE);
            }
        });
        for attempt in 0..ATTEMPTS {
            let call = site.call("GET", CRASHING_HOST, TARGET, DEADLINE_MS);
            site.send(attempt % usize::from(NODES), &call, ANSWER_LIMIT);
            std::thread::sleep(CRASHING_PAUSE);
        }
        is_over.store(true, Ordering::Relaxed);
    });

    let runs: Vec<Run> = ledger.runs();
    for run in &runs {
        site.record.line_at(
            run.at,
            &format!(
                "run {} at {}, crashed {}",
                run.request, run.replica, run.has_crashed
            ),
        );
    }
    let crashes = runs.iter().filter(|it| it.has_crashed);
    let third_crash = crashes.clone().nth(2);
    if has_trouble && third_crash.is_none() {
        return Err("the request has not crashed three replicas".into());
    }
    let late = third_crash.map_or(0, |third| {
        crashes.filter(|it| it.at > third.at + CONTACT).count()
    });
    site.check_nodes()?;
    site.record.line(&format!(
        "runs later than contact_ms after the third crash: {late}, allowed: {LATE_RETRIES_MAX}"
    ));
    Ok(match late > LATE_RETRIES_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
