//! A node cuts streams on SIGTERM by the grace period that it was started with, though the settings
//! have had a longer one since.

use std::io;
use std::time::Duration;

use super::Deployment;
use super::HOST;
use super::Load;
use super::Verdict;
use super::send;
use crate::replica::Kind;

/// `grace_s` at the start, and after the change.
const GRACE_BEFORE_S: u32 = 8;
const GRACE_S: u32 = 16;
/// A stream takes 10.2 s.
const EVENTS: u32 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(170);
/// Streams that run at the node when it is stopped.
const STREAMS: usize = 6;

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    for (name, zone) in [("i-model-1", "north-a"), ("i-model-2", "north-b")] {
        let kind = Kind::Engine(EVENTS, EVENT_PAUSE);
        deployment.replica((name, "clerk", zone), kind)?;
    }
    deployment.configure(&config(), "desired state 7")?;
    let grace_s = match has_trouble {
        true => GRACE_BEFORE_S,
        false => GRACE_S,
    };
    deployment.start_nodes(2, grace_s)?;
    let record = deployment.record.clone();
    record.note(&format!("grace_s is {grace_s} in the settings"));
    let begin = record.now();
    deployment.wait_until(begin + 2.0);
    if has_trouble {
        for node in &mut deployment.nodes {
            node.settings.grace_s = GRACE_S;
            node.write_settings()?;
            node.signal("HUP")?;
        }
        record.note(&format!(
            "grace_s is {GRACE_S} in the settings, and SIGHUP is sent"
        ));
    }
    deployment.wait_until(begin + 8.0);
    let load = Load {
        target: "POST /answers/new".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 20_000,
        headers: vec![
            "X-Model: m".to_owned(),
            "X-Token-Count: 300,240".to_owned(),
            "X-Prompt-Prefix: 5c1e07a2:200,91bd3f06:100".to_owned(),
        ],
        prefix: "answer".to_owned(),
        pause: Duration::ZERO,
    };
    let front = deployment.nodes[0].front();
    let clients = (0..STREAMS).map(|_| {
        let (record, load) = (record.clone(), load.clone());
        std::thread::spawn(move || (send(&record, front, &load), record.now()))
    });
    let clients: Vec<_> = clients.collect();
    deployment.wait_until(begin + 9.0);
    deployment.nodes[0].signal("TERM")?;
    let stopped_at = record.now();
    record.note("edge-0 gets SIGTERM");
    // The platform would kill it GRACE_S later.
    let results = clients.into_iter().map(std::thread::JoinHandle::join);
    let results: Vec<_> = results.flatten().collect();
    let mut cut = 0;
    for (exchange, ended_at) in &results {
        let (after, grace) = (ended_at - stopped_at, f64::from(GRACE_S));
        let is_cut = exchange.status == 200 && !exchange.is_complete && after < grace * 5.0 / 6.0;
        cut += usize::from(is_cut);
        record.note(&format!(
            "stream {} ends {after:.2} s after SIGTERM, complete: {}",
            exchange.id, exchange.is_complete
        ));
    }
    if results.len() < STREAMS || results.iter().any(|it| it.0.status != 200) {
        return Err(io::Error::other("a stream did not begin"));
    }
    let text =
        format!("{cut} of {STREAMS} streams were cut after SIGTERM, long before {GRACE_S} s");
    Ok(match cut {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(format!("LOST: {text}")),
    })
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-answers\",\"host\":\"{HOST}\",\
         \"prefix\":\"/answers/\",\"type\":\"stream\",\"timeout_ms\":20000,\"goal_ms\":1900,\
         \"priority\":2,\"service\":\"clerk\",\"attempts\":1,\"stages\":[],\"public\":false,\
         \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":500}}],\"services\":[{{\
         \"name\":\"clerk\",\"health_path\":\"/healthz\",\"max_conns\":270,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,\"engine\":{{\"slots\":64,\
         \"kv_cap_tokens\":303508,\"kv_token_bytes\":163840,\"net_mbps\":370000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"office\",\"api_keys\":[\"key-1\"]}}]}}"
    )
}
