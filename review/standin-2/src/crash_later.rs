//! A request that has crashed three replicas comes again a good minute later.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Answer;
use crate::replica::Behaviour;
use crate::replica::Effect;
use crate::replica::Run;
use crate::replica::Service;
use crate::site;
use crate::site::Failure;
use crate::site::Site;

const HOST: &str = "jepu9.example";
/// Path of the request that crashes replicas.
const POISON: &str = "/bobo563/lo7/17";
const REPLICAS: u8 = 8;
const NODES: u8 = 3;
const DEADLINE_MS: u64 = 2_500;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a crashed replica is down.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Retries that may reach replicas later than `contact_ms` after the third crash.
const LATE_RETRIES_MAX: usize = 3;
/// Pause of the caller between its first attempts.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const FIRST_ATTEMPTS: usize = 3;
/// Time after which the caller comes back.
const ABSENCE: Duration = Duration::from_secs(66);

pub fn run(site: &mut Site, has_trouble: bool) -> Result<Verdict, Failure> {
    let behaviour: Behaviour =
        Arc::new(
            move |request| match has_trouble && request.path() == POISON {
                true => Effect::Crash(Duration::from_millis(10)),
                false => Effect::Answer(Duration::from_millis(15)),
            },
        );
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

    for attempt in 0..FIRST_ATTEMPTS {
        send(site, attempt % usize::from(NODES));
        std::thread::sleep(FIRST_PAUSE);
    }
    let first_runs = poison_runs(&service);
    let third_crash = first_runs.iter().filter(|it| it.has_crashed).nth(2);
    if has_trouble && third_crash.is_none() {
        return Err("the request has not crashed three replicas".into());
    }
    let counted_from = third_crash.map_or_else(Instant::now, |it| it.at) + CONTACT;
    site.record.line("the caller stops");
    std::thread::sleep(ABSENCE);

    site.record
        .line("the caller comes again, at all machines at once");
    std::thread::scope(|scope| {
        for node in 0..usize::from(NODES) {
            let site = &*site;
            scope.spawn(move || {
                let answer = send(site, node);
                // Clients retry idempotent requests once after a failure, at another machine.
                if answer.status != 200 {
                    std::thread::sleep(retry_after(&answer));
                    send(site, (node + 1) % usize::from(NODES));
                }
            });
        }
    });
    std::thread::sleep(Duration::from_secs(2));

    let runs = poison_runs(&service);
    for run in &runs {
        site.record.line_at(
            run.at,
            &format!(
                "run {} at {}, crashed {}",
                run.request, run.replica, run.has_crashed
            ),
        );
    }
    let late = runs.iter().filter(|it| it.has_crashed);
    let late = late.filter(|it| it.at > counted_from).count();
    site.check_nodes()?;
    site.record.line(&format!(
        "runs later than contact_ms after the third crash: {late}, allowed: {LATE_RETRIES_MAX}"
    ));
    Ok(match late > LATE_RETRIES_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn send(site: &Site, node: usize) -> Answer {
    let call = site.call("GET", HOST, POISON, DEADLINE_MS);
    site.send(node, &call, ANSWER_LIMIT)
}

fn retry_after(answer: &Answer) -> Duration {
    let seconds: f64 = answer.header("retry-after").parse().unwrap_or(0.0);
    Duration::from_secs_f64(seconds.clamp(0.0, DEADLINE_MS as f64 / 3_000.0))
}

fn poison_runs(service: &Service) -> Vec<Run> {
    let mut runs = service.runs();
    runs.retain(|it| it.target == POISON);
    runs
}
