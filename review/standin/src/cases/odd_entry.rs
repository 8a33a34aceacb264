//! Payments go to servers that only odd entries of another writer name.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use super::Clients;
use super::Deployment;
use super::HOST;
use super::Load;
use super::Verdict;
use crate::replica::Kind;

/// Service of the servers that the odd entries name; the configuration doesn't have it.
const FOREIGN_SERVICE: &str = "another-system";

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind::Plain(Duration::from_millis(15));
    for (name, zone) in [
        ("i-ledger-1", "north-a"),
        ("i-ledger-2", "north-b"),
        ("i-ledger-3", "north-a"),
        ("i-ledger-4", "north-b"),
    ] {
        deployment.replica((name, "ledger", zone), kind)?;
    }
    let missing = deployment.unregistered(("x-missing", FOREIGN_SERVICE, "north-a"), kind)?;
    let mistyped = deployment.unregistered(("x-mistyped", FOREIGN_SERVICE, "north-b"), kind)?;
    deployment.configure(&config(), "desired state 7")?;
    deployment.start_nodes(3, 8)?;
    let load = Load {
        target: "POST /fees/post".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 1_000,
        headers: Vec::new(),
        prefix: "fee".to_owned(),
        pause: Duration::from_millis(100),
    };
    let record = deployment.record.clone();
    let clients = Clients::start(&record, &deployment.fronts(), &load, 2);
    let begin = record.now();
    deployment.wait_until(begin + 4.0);
    if has_trouble {
        let entries = [
            (
                &missing,
                format!(
                    "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"north-a\",\"slots\":8,\
                     \"phase\":\"ready\"}}",
                    missing.address
                ),
            ),
            (
                &mistyped,
                format!(
                    "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"north-b\",\
                     \"version\":\"v1\",\"slots\":8,\"phase\":\"ready\",\"cold_left_ms\":\"none\",\
                     \"call_seq\":[],\"born\":1}}",
                    mistyped.address
                ),
            ),
        ];
        for (server, entry) in entries {
            deployment.store.put("servers", &server.name, &entry);
            record.note(&format!(
                "another writer leaves servers/{} = {entry}",
                server.name
            ));
        }
    }
    deployment.wait_until(begin + 14.0);
    let exchanges = clients.stop();
    let ended = deployment.ended_nodes();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    let mut foreign: BTreeMap<String, usize> = BTreeMap::new();
    let runs = deployment.ledger.runs();
    for run in runs.iter().filter(|it| it.service == FOREIGN_SERVICE) {
        *foreign.entry(run.replica.clone()).or_default() += 1;
    }
    let text = format!(
        "of {} payments that clients sent, servers that are no replicas ran: {foreign:?}",
        exchanges.len()
    );
    if runs.is_empty() {
        return Err(io::Error::other("no request ran"));
    }
    Ok(match foreign.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(format!("ROUTE: {text}")),
    })
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-fees\",\"host\":\"{HOST}\",\
         \"prefix\":\"/fees/\",\"type\":\"nonidempotent\",\"timeout_ms\":1200,\"goal_ms\":100,\
         \"priority\":2,\"service\":\"ledger\",\"attempts\":1,\"stages\":[],\"public\":false}}],\
         \"services\":[{{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"counter\",\"api_keys\":[\"key-1\"]}}]}}"
    )
}
