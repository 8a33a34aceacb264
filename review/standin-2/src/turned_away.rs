//! A machine that the store turns away, while all others that it knows are replaced by new ones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::replica::Behaviour;
use crate::replica::Effect;
use crate::replica::Service;
use crate::site;
use crate::site::Failure;
use crate::site::Site;

const HOST: &str = "jepu9.example";
const TARGET: &str = "/bobo563/lo7/17";
const NODES: u8 = 3;
const REPLICAS: u8 = 3;
const DEADLINE_MS: u64 = 2_500;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the store turns a third of the machines away.
const AWAY: Duration = Duration::from_secs(9);
/// Times from the beginning of that: of the loss of the others, and of the new desired state.
const LOSS_AT: Duration = Duration::from_millis(200);
const CHANGE_AT: Duration = Duration::from_millis(1_000);
/// `config_ms` of the settings, and `outer_ms`, by which an unstable core stretches it at most.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000 + 5_000);
const PAUSE: Duration = Duration::from_millis(50);
/// Time before the end of that at which the last request is sent at the latest.
const LAST_REQUEST: Duration = Duration::from_millis(200);

pub fn run(site: &mut Site, has_trouble: bool) -> Result<Verdict, Failure> {
    let behaviour: Behaviour = Arc::new(|_| Effect::Answer(Duration::from_millis(15)));
    let old = Service::new("ledger", &site.store, Duration::ZERO, behaviour.clone());
    let new = Service::new("archive", &site.store, Duration::ZERO, behaviour);
    for number in 0..2 * REPLICAS {
        let service = if number < REPLICAS { &old } else { &new };
        let zone = site::ZONES[number as usize % site::ZONES.len()];
        service.add(&format!("i-{number:08x}"), site.net.replica(number), zone);
    }
    let services = [site::service("ledger"), site::service("archive")].join(",");
    let route = |service| site::route("read", HOST, "/bobo563/", "nonidempotent", service);
    site.configure(1, &route("ledger"), &services);
    site.start_nodes(NODES)?;
    std::thread::sleep(Duration::from_secs(8));

    let start = Instant::now();
    if has_trouble {
        site.record.line(&format!(
            "the store turns {} away with 503",
            site.nodes[0].name
        ));
        site.store.set_closed(&site.gates[0], true);
        sleep_until(start + LOSS_AT);
        site.record
            .line("the other machines are lost for good, and new ones are added");
        site.nodes.truncate(1);
        for _ in 1..NODES {
            site.start_node()?;
        }
    }
    sleep_until(start + CHANGE_AT);
    site.configure(2, &route("archive"), &services);
    let acknowledged_at = Instant::now();
    site.record
        .line("version 2 is acknowledged: the route leads to the other service");
    sleep_until(acknowledged_at + CONFIG_BOUND);
    let counted_from = Instant::now();
    let mut sent = 0;
    while start.elapsed() + LAST_REQUEST < AWAY {
        let call = site.call("POST", HOST, TARGET, DEADLINE_MS);
        site.send(0, &call, ANSWER_LIMIT);
        sent += 1;
        std::thread::sleep(PAUSE);
    }
    site.store.set_closed(&site.gates[0], false);
    site.record.line("the store serves all machines");
    let added_ready = site.nodes[1..].iter().all(|it| it.wait_until_ready());

    let late = old.runs().iter().filter(|it| it.at > counted_from).count();
    let moved = new.runs().iter().filter(|it| it.at > counted_from).count();
    site.check_nodes()?;
    site.record.line(&format!(
        "requests later than config_ms + outer_ms after the acknowledgement: sent {sent}, run by \
         the old service {late}, by the new one {moved}; the other machines are ready: {added_ready}"
    ));
    if sent == 0 || !added_ready {
        return Err("the case has not come about".into());
    }
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
