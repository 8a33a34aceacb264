//! Results of stages reach the model replica for another request than they were made for.
//!
//! A stage replica refuses one call as full, and its refusal arrives once more at the point where
//! the answer to the next call on the channel is expected.

use std::io;
use std::time::Duration;

use super::Clients;
use super::Deployment;
use super::HOST;
use super::Load;
use super::Verdict;
use crate::replica::Kind;

/// Pieces of the only stage of a request, as many as a call takes.
const PIECES: usize = 4;
/// Time of a call, and of each piece.
const CALL_MS: u64 = 200;
const PIECE_MS: u64 = 10;

pub(super) fn run(mut deployment: Deployment, has_trouble: bool) -> io::Result<Verdict> {
    let stage = Kind::Stage(
        Duration::from_millis(CALL_MS),
        Duration::from_millis(PIECE_MS),
    );
    let mut stages = Vec::new();
    for (name, zone) in [("i-stage-1", "north-a"), ("i-stage-2", "north-b")] {
        stages.push(deployment.replica((name, "docket", zone), stage)?);
    }
    for (name, zone) in [("i-model-1", "north-a"), ("i-model-2", "north-b")] {
        deployment.replica(
            (name, "clerk", zone),
            Kind::Engine(6, Duration::from_millis(20)),
        )?;
    }
    deployment.configure(&config(), "desired state 7")?;
    deployment.start_nodes(3, 8)?;
    let load = Load {
        target: "POST /drafts/new".to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 6_000,
        headers: vec![
            "X-Model: m".to_owned(),
            "X-Token-Count: 300,80".to_owned(),
            "X-Prompt-Prefix: 5c1e07a2:200,91bd3f06:100".to_owned(),
            format!("X-Chunks: {PIECES}"),
            "X-Chunk-Key: 7c1e07a291bd".to_owned(),
        ],
        prefix: "draft".to_owned(),
        pause: Duration::from_millis(250),
    };
    let record = deployment.record.clone();
    let clients = Clients::start(&record, &deployment.fronts(), &load, 3);
    let begin = record.now();
    for (idx, second) in [4.0, 8.0, 12.0, 16.0].into_iter().enumerate() {
        deployment.wait_until(begin + second);
        let replica = &stages[idx % stages.len()];
        replica.refuse_calls(1, has_trouble);
        record.note(&format!("{} is full for one call", replica.name));
    }
    deployment.wait_until(begin + 20.0);
    let exchanges = clients.stop();
    let ended = deployment.ended_nodes();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }

    let mut foreign = 0;
    let mut incomplete = 0;
    let runs = deployment.ledger.runs();
    for run in &runs {
        let pieces = run.inputs.iter().map(|it| deployment.ledger.piece(it));
        let mut pieces: Vec<_> = pieces.flatten().collect();
        if let Some(other) = pieces.iter().find(|it| it.request != run.id) {
            foreign += 1;
            record.line(&format!(
                "foreign input: {} runs with a result made for {}",
                run.id, other.request
            ));
            continue;
        }
        pieces.sort_by_key(|it| it.segment);
        pieces.dedup();
        if pieces.len() != PIECES {
            incomplete += 1;
            record.line(&format!(
                "wrong inputs: {} runs with the results of {} of {PIECES} pieces",
                run.id,
                pieces.len()
            ));
        }
    }
    let served = exchanges
        .iter()
        .filter(|it| it.status == 200 && it.is_complete);
    let text = format!(
        "of {} requests that model replicas ran, {foreign} were given results of another request \
         and {incomplete} not one of each piece; {} of {} requests were answered with success",
        runs.len(),
        served.count(),
        exchanges.len()
    );
    if runs.is_empty() {
        return Err(io::Error::other("no request ran"));
    }
    Ok(match foreign + incomplete {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(format!("MIXED: {text}")),
    })
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-drafts\",\"host\":\"{HOST}\",\
         \"prefix\":\"/drafts/\",\"type\":\"stream\",\"timeout_ms\":6000,\"goal_ms\":1100,\
         \"priority\":1,\"service\":\"clerk\",\"attempts\":1,\"stages\":[{{\"service\":\"docket\",\
         \"after\":[],\"length\":8000}}],\"public\":false,\"sticky\":true,\"resumable\":false,\
         \"gap_aim_ms\":500}}],\"services\":[{{\"name\":\"clerk\",\"health_path\":\"/healthz\",\
         \"max_conns\":270,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\
         \"cold_per_s\":11.0,\"engine\":{{\"slots\":64,\"kv_cap_tokens\":303508,\
         \"kv_token_bytes\":163840,\"net_mbps\":370000.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"docket\",\"health_path\":\"/healthz\",\"max_conns\":270,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"segments\":{{\"slots\":1,\"queue\":2,\"batch\":{PIECES},\"call_ms\":{CALL_MS}.0,\
         \"item_ms\":{PIECE_MS}.0,\"headroom_mb\":18.0,\"handle_s\":4.0,\"net_mbps\":10000}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"office\",\"api_keys\":[\"key-1\"]}}]}}"
    )
}
