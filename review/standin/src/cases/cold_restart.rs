//! A cold replica gets more requests in a second than it bears, as processes that start again don't
//! know what they sent before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

const NODES: u8 = 6;
/// `cold_start_s` and `cold_per_s` of the service.
pub(super) const COLD_START: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 11.0;
/// `cold_overshoot` and `cold_extra` of the settings.
pub(super) const COLD_MAX: f64 = COLD_PER_S * 1.5 + 5.0;
/// Requests in a second with which the stand-in of a cold replica crashes.
pub(super) const CRASH_RATE: f64 = COLD_MAX + 1.5;
/// Nodes that are killed at once.
const KILLED: usize = 3;
/// Time from the start of a cold replica to the kill of nodes.
const KILL_AFTER_S: f64 = 1.2;
/// Pause between the kill of a process and its start.
const RESTART_PAUSE_S: f64 = 0.5;

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind::Plain(Duration::from_millis(30));
    for (name, zone) in [("i-warm-1", "north-a"), ("i-warm-2", "north-b")] {
        deployment.replica((name, "ledger", zone), kind)?;
    }
    deployment.configure(&config(), "desired state 7")?;
    deployment.start_nodes(NODES, 8)?;
    let load = Load {
        target: "POST /fees/post".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 1_000,
        headers: Vec::new(),
        prefix: "fee".to_owned(),
        pause: Duration::from_millis(60),
    };
    let record = deployment.record.clone();
    let clients = Clients::start(&record, &deployment.fronts(), &load, 3);
    let begin = record.now() + 3.0;
    let mut cold = Vec::new();
    for round in 0..3 {
        let at = begin + 6.0 * f64::from(round);
        deployment.wait_until(at);
        let name = format!("i-cold-{round}");
        let cold_limit = (COLD_START, CRASH_RATE);
        deployment.cold_replica((&name, "ledger", "north-a"), kind, cold_limit)?;
        record.note(&format!("{name} starts, and is cold for 3 s"));
        cold.push((name, at, at + COLD_START.as_secs_f64()));
        deployment.wait_until(at + KILL_AFTER_S);
        if has_trouble {
            let killed = deployment.nodes.iter_mut().take(KILLED);
            killed.for_each(|it| it.kill());
            record.note(&format!("{KILLED} of {NODES} nodes are killed at once"));
            deployment.wait_until(at + KILL_AFTER_S + RESTART_PAUSE_S);
            for node in deployment.nodes.iter_mut().take(KILLED) {
                node.run()?;
            }
            record.note("they are started again");
        }
    }
    deployment.wait_until(begin + 18.0);
    let exchanges = clients.stop();
    let ended = deployment.ended_nodes();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    Ok(check(&deployment.ledger.runs(), &exchanges, &cold))
}

/// Counts, for each cold replica, the most requests that were sent and arrived within one second.
pub(super) fn check(runs: &[Run], exchanges: &[Exchange], cold: &[(String, f64, f64)]) -> Verdict {
    let sent: BTreeMap<&str, f64> = exchanges
        .iter()
        .map(|it| (it.id.as_str(), it.sent_at))
        .collect();
    let mut most = Vec::new();
    for (name, from, to) in cold {
        let arrivals = runs
            .iter()
            .filter(|it| it.replica == *name && it.at >= *from && it.at <= *to);
        let arrivals: Vec<(f64, f64)> = arrivals
            .map(|it| (sent.get(it.id.as_str()).copied().unwrap_or(it.at), it.at))
            .collect();
        let count = arrivals.iter().map(|end| {
            let begin = end.1 - 1.0;
            let within = arrivals.iter();
            within
                .filter(|it| it.0 >= begin && it.1 > begin && it.1 <= end.1)
                .count()
        });
        most.push((name.clone(), count.max().unwrap_or(0)));
    }
    let ran: BTreeSet<&str> = runs.iter().map(|it| it.id.as_str()).collect();
    let lost = exchanges.iter().filter(|it| {
        let is_answered = it.status == 200 && it.is_complete;
        ran.contains(it.id.as_str()) && !is_answered
    });
    let text = format!(
        "most requests to a cold replica in a second, until it crashed: {most:?}, allowed \
         {COLD_MAX}; {} requests ran and were not answered with success",
        lost.count()
    );
    match most.iter().any(|it| it.1 as f64 > COLD_MAX) {
        true => Verdict::Broken(format!("FAILBACK: {text}")),
        false => Verdict::Held(text),
    }
}

pub(super) fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-fees\",\"host\":\"{HOST}\",\
         \"prefix\":\"/fees/\",\"type\":\"nonidempotent\",\"timeout_ms\":1200,\"goal_ms\":100,\
         \"priority\":2,\"service\":\"ledger\",\"attempts\":1,\"stages\":[],\
         \"public\":false}}],\"services\":[{{\"name\":\"ledger\",\"health_path\":\"/healthz\",\
         \"max_conns\":270,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{}.0,\
         \"cold_per_s\":{COLD_PER_S}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"office\",\"api_keys\":[\"key-1\"]}}]}}",
        COLD_START.as_secs()
    )
}
