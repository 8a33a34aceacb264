//! A request that was answered well begins to crash replicas, while a caller asks at all machines.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::replica::Behaviour;
use crate::replica::Effect;
use crate::replica::Service;
use crate::site;
use crate::site::Failure;
use crate::site::Site;

const HOST: &str = "jepu9.example";
const TARGET: &str = "/bobo563/lo7/17";
const REPLICAS: u8 = 12;
const NODES: u8 = 3;
const DEADLINE_MS: u64 = 2_500;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a crashed replica is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Retries that may reach replicas later than `contact_ms` after the third crash.
const LATE_RETRIES_MAX: usize = 3;
/// Pause between two rounds, in each of which the caller asks once at each machine.
const ROUND_PAUSE: Duration = Duration::from_secs(4);
/// Rounds that are answered, and those after them.
const SOUND_ROUNDS: usize = 4;
const CRASHING_ROUNDS: usize = 6;

pub fn run(site: &mut Site, has_trouble: bool) -> Result<Verdict, Failure> {
    let is_crashing = Arc::new(AtomicBool::new(false));
    let flag = is_crashing.clone();
    let behaviour: Behaviour = Arc::new(move |_| match flag.load(Ordering::Relaxed) {
        true => Effect::Crash(Duration::from_millis(10)),
        false => Effect::Answer(Duration::from_millis(15)),
    });
    let service = Service::new("ledger", &site.store, DOWN_TIME, behaviour);
    for number in 0..REPLICAS {
        let zone = site::ZONES[number as usize % site::ZONES.len()];
        service.add(&format!("i-{number:08x}"), site.net.replica(number), zone);
    }
    site.configure(
        1,
        &site::route("read", HOST, "/bobo563/", "idempotent", "ledger"),
        &site::service("ledger"),
    );
    site.start_nodes(NODES)?;
    std::thread::sleep(Duration::from_secs(4));

    for round in 0..SOUND_ROUNDS + CRASHING_ROUNDS {
        if round == SOUND_ROUNDS && has_trouble {
            site.record.line("from now on the request crashes replicas");
            is_crashing.store(true, Ordering::Relaxed);
        }
        std::thread::scope(|scope| {
            for node in 0..usize::from(NODES) {
                let site = &*site;
                scope.spawn(move || {
                    let call = site.call("GET", HOST, TARGET, DEADLINE_MS);
                    site.send(node, &call, ANSWER_LIMIT);
                });
            }
        });
        std::thread::sleep(ROUND_PAUSE);
    }

    let runs = service.runs();
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
