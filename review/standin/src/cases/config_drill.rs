//! A desired state that the store acknowledges after a drill never comes into force.
//!
//! In the drill the store is away for a second and comes back from a copy five seconds old. Its
//! versions go back and are given out again.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use super::Clients;
use super::Deployment;
use super::Exchange;
use super::HOST;
use super::Load;
use super::Verdict;
use crate::replica::Kind;
use crate::replica::Run;

/// `config_ms` and `outer_ms` of the settings, in seconds: an unstable core stretches the bound by
/// the second one at most.
const CONFIG_BOUND_S: f64 = 2.0 + 5.0;
/// Age of the copy when the store comes back.
const COPY_AGE_S: f64 = 5.0;
/// Time for which the store is away.
const AWAY_S: f64 = 1.0;
/// Time for which clients send after the last configuration has to be in force.
const CHECK_S: f64 = 12.0;

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    for (name, service, zone) in [
        ("i-old-1", "ledger-old", "north-a"),
        ("i-old-2", "ledger-old", "north-b"),
        ("i-new-1", "ledger-new", "north-a"),
        ("i-new-2", "ledger-new", "north-b"),
        ("i-read-1", "balances", "north-a"),
        ("i-read-2", "balances", "north-b"),
    ] {
        let kind = Kind::Plain(Duration::from_millis(15));
        deployment.replica((name, service, zone), kind)?;
    }
    deployment.configure(&config(7, "ledger-old", 1_200, true), "desired state 7")?;
    deployment.start_nodes(3, 8)?;
    let load = |key: &str, prefix: &str| Load {
        target: "POST /fees/post".to_owned(),
        key: key.to_owned(),
        deadline_ms: 1_000,
        headers: Vec::new(),
        prefix: prefix.to_owned(),
        pause: Duration::from_millis(150),
    };
    let (record, fronts) = (deployment.record.clone(), deployment.fronts());
    let kept = Clients::start(&record, &fronts, &load("key-kept", "kept"), 1);
    let dropped = Clients::start(&record, &fronts, &load("key-dropped", "drop"), 1);

    let begin = record.now() + 3.0;
    deployment.wait_until(begin);
    let copy = deployment.store.copy();
    record.line(&format!(
        "a copy of the store is made, at its version {}",
        deployment.store.version()
    ));
    deployment.wait_until(begin + COPY_AGE_S - AWAY_S - 0.3);
    let timeout = config(9, "ledger-old", 1_100, true);
    deployment.configure(&timeout, "desired state 9, with another time-out")?;
    deployment.wait_until(begin + COPY_AGE_S - AWAY_S);
    if has_trouble {
        deployment.store.go_away();
        record.note("drill: the store is away");
    }
    deployment.wait_until(begin + COPY_AGE_S);
    if has_trouble {
        deployment.store.come_back(Some(copy));
        record.note(&format!(
            "drill: the store is back, from the copy of version {}",
            deployment.store.version()
        ));
        deployment.configure(&timeout, "desired state 9 again")?;
    }
    deployment.wait_until(begin + COPY_AGE_S + 0.7);
    let moved = config(12, "ledger-new", 1_100, false);
    let acknowledged = deployment.configure(
        &moved,
        "desired state 12: another service has the route, and a key is gone",
    )?;
    let bound = acknowledged + CONFIG_BOUND_S;
    for _ in 0..3 {
        let (calls, from) = (deployment.store.calls(), record.now());
        deployment.wait_until(from + 2.0);
        record.note(&format!(
            "the store answered {} calls in 2 s",
            deployment.store.calls() - calls
        ));
    }
    deployment.wait_until(bound + CHECK_S);
    let kept = kept.stop();
    let dropped = dropped.stop();
    record.note(&format!(
        "the store is at its version {}",
        deployment.store.version()
    ));
    let ended = deployment.ended_nodes();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    Ok(check(&deployment.ledger.runs(), &kept, &dropped, bound))
}

/// Requests sent after `bound` must be handled as the last configuration allows.
fn check(runs: &[Run], kept: &[Exchange], dropped: &[Exchange], bound: f64) -> Verdict {
    let services: BTreeMap<&str, &str> = runs
        .iter()
        .map(|it| (it.id.as_str(), it.service.as_str()))
        .collect();
    let late_kept: Vec<&Exchange> = kept.iter().filter(|it| it.sent_at > bound).collect();
    let late_dropped: Vec<&Exchange> = dropped.iter().filter(|it| it.sent_at > bound).collect();
    let is_old = |it: &&&Exchange| services.get(it.id.as_str()) == Some(&"ledger-old");
    let is_new = |it: &&&Exchange| services.get(it.id.as_str()) == Some(&"ledger-new");
    let is_run = |it: &&&Exchange| services.contains_key(it.id.as_str());
    let text = format!(
        "of {} requests sent after the bound, {} ran at the old service and {} at the new one; of \
         {} with the dropped key, {} ran",
        late_kept.len(),
        late_kept.iter().filter(is_old).count(),
        late_kept.iter().filter(is_new).count(),
        late_dropped.len(),
        late_dropped.iter().filter(is_run).count()
    );
    let is_broken =
        late_kept.iter().any(|it| is_old(&it)) || late_dropped.iter().any(|it| is_run(&it));
    match is_broken {
        true => Verdict::Broken(format!("CONFIG: {text}")),
        false => Verdict::Held(text),
    }
}

fn config(version: u64, target: &str, timeout_ms: u64, has_dropped_key: bool) -> String {
    let dropped = match has_dropped_key {
        true => ",\"key-dropped\"",
        false => "",
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    let services = ["ledger-old", "ledger-new", "balances"].map(service);
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-fees\",\"host\":\"{HOST}\",\
         \"prefix\":\"/fees/\",\"type\":\"nonidempotent\",\"timeout_ms\":{timeout_ms},\
         \"goal_ms\":100,\"priority\":2,\"service\":\"{target}\",\"attempts\":1,\"stages\":[],\
         \"public\":false}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"counter\",\"api_keys\":[\"key-kept\"{dropped}]}}]}}",
        services.join(",")
    )
}
