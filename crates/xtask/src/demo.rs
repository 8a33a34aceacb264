//! Demonstration: starts a small deployment on loopback, uses it as callers and operators would, and
//! checks the results.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::upstream::Stats;
use testbed::Cluster;
use testbed::cluster::executions;
use testbed::load;
use testbed::load::ChatResult;
use testbed::load::LoadCounts;
use testbed::load::LoadGenerator;

const EXAMPLE: &str = "examples/office.yaml";
const WORK_DIR: &str = "target/demo";
/// Zone that is drained and returned.
const DRAINED_ZONE: &str = "tacoma";
/// Time after which a drained zone must get no new calls.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time for which the calls to the zone are counted in each state.
const OBSERVE_DURATION: Duration = Duration::from_secs(3);
/// Limit on the time of the whole demonstration, without the build.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Builds the programs and runs the demonstration.
pub(crate) fn run() -> eyre::Result<()> {
    let build = Command::new("cargo")
        .args(["build", "--locked", "--workspace", "--bins"])
        .status()?;
    eyre::ensure!(build.success(), "cargo build failed: {build}");
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let limited = tokio::time::timeout(TIME_LIMIT, run_demo());
        limited
            .await
            .map_err(|_| eyre::eyre!("the demonstration took longer than {TIME_LIMIT:?}"))?
    })
}

async fn run_demo() -> eyre::Result<()> {
    let bin = std::env::current_exe()?;
    let bin = bin.parent().unwrap_or(Path::new("target/debug"));
    print_step("start: stand-ins and four instances in four zones");
    let mut cluster = Cluster::start(bin, Path::new(WORK_DIR), Path::new(EXAMPLE)).await?;
    print_step(cluster.apply()?.trim());
    cluster.wait_for_upstreams().await?;

    check_chat(&cluster).await?;
    check_duplicate_payment(&cluster).await?;
    let counts = check_zone_drain(&mut cluster).await?;

    let events: Vec<Value> =
        serde_json::from_str(&cluster.run_client(&["--output", "json", "timeline"])?)?;
    print_timeline(&events);
    print_step("stop: SIGTERM to every process");
    for idx in 0..cluster.instances.len() {
        cluster.stop_instance(idx)?;
    }
    let stats = cluster.stats().await?;
    check_totals(&counts, &stats)
}

/// Streams a chat and compares its text with that of the stand-in engine.
async fn check_chat(cluster: &Cluster) -> eyre::Result<()> {
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let chat = load::stream_chat(&http, gateway, "what do I owe?", 12).await?;
    let ChatResult::Complete(text) = chat else {
        eyre::bail!("the streamed chat was cut or failed");
    };
    let expected = standin::engine::answer("user: what do I owe?", 12);
    eyre::ensure!(
        text == expected,
        "the streamed chat returned {text:?} instead of {expected:?}"
    );
    print_step(&format!("chat: {}", text.trim()));
    Ok(())
}

/// Sends a payment with one idempotency key to two gateways at once and to a third afterwards, and
/// checks that it ran once.
async fn check_duplicate_payment(cluster: &Cluster) -> eyre::Result<()> {
    let http = reqwest::Client::new();
    let pay = |idx: usize| {
        http.post(format!(
            "http://{}/v1/pipelines/pay-fee",
            cluster.instances[idx].gateway
        ))
        .header("x-workspace", "counters")
        .header("idempotency-key", "case-4711-fee")
        .json(&json!({"input": {"case": "4711", "cents": 2500}}))
        .send()
    };
    let (first, second) = tokio::join!(pay(0), pay(1));
    let third = pay(2).await;
    for response in [first?, second?, third?] {
        let status = response.status();
        let body: Value = response.json().await?;
        eyre::ensure!(
            status.is_success(),
            "the payment failed with {status}: {body}"
        );
    }
    let executions = executions(&cluster.stats().await?);
    let times = executions.get("case-4711-fee").copied().unwrap_or_default();
    eyre::ensure!(times == 1, "the payment ran {times} times");
    print_step("payment: sent three times with one key, answered three times, run once");
    Ok(())
}

/// Drains and returns a zone and restarts an instance, under a light load.
async fn check_zone_drain(cluster: &mut Cluster) -> eyre::Result<LoadCounts> {
    let gateways: Vec<_> = cluster.instances.iter().map(|it| it.gateway).collect();
    let load = LoadGenerator::start(gateways.clone());
    tokio::time::sleep(OBSERVE_DURATION).await;

    print_step(cluster.run_client(&["zone", "drain", DRAINED_ZONE])?.trim());
    tokio::time::sleep(DRAIN_TIME).await;
    let before = calls_started_in_zone(cluster).await?;
    tokio::time::sleep(OBSERVE_DURATION).await;
    let after = calls_started_in_zone(cluster).await?;
    eyre::ensure!(
        before == after,
        "{} calls were started in the drained zone",
        after - before
    );
    print_step("zone: no new calls while it is drained");
    print_step(
        cluster
            .run_client(&["zone", "return", DRAINED_ZONE])?
            .trim(),
    );
    tokio::time::sleep(OBSERVE_DURATION).await;
    let returned = calls_started_in_zone(cluster).await?;
    eyre::ensure!(
        returned > after,
        "the returned zone got no calls within {OBSERVE_DURATION:?}"
    );
    print_step("zone: serves again");

    let last = cluster.instances.len() - 1;
    load.set_gateways(gateways[..last].to_vec());
    cluster.stop_instance(last)?;
    print_step(&format!(
        "restart: {} stopped",
        cluster.instances[last].name
    ));
    cluster.start_instance(last)?;
    tokio::time::sleep(OBSERVE_DURATION).await;
    load.finish().await
}

/// Number of calls that the upstreams of the zone have started.
async fn calls_started_in_zone(cluster: &Cluster) -> eyre::Result<u64> {
    let stats = cluster.stats().await?;
    let in_zone = cluster
        .deployment
        .upstreams()
        .filter(|(_, upstream)| upstream.zone.as_str() == DRAINED_ZONE);
    let started = in_zone.filter_map(|(_, it)| stats.get(it.name.as_str()));
    Ok(started.map(|it| it.started).sum())
}

/// Prints the events of the first request that claimed its idempotency key.
fn print_timeline(events: &[Value]) {
    let payment_trace = events
        .iter()
        .find(|it| it["kind"] == "claimed")
        .map(|it| it["trace"].clone());
    print_step("timeline of one payment, merged over all processes");
    let start = events
        .iter()
        .find(|it| Some(&it["trace"]) == payment_trace.as_ref());
    let start = start
        .and_then(|it| it["at_us"].as_u64())
        .unwrap_or_default();
    for event in events
        .iter()
        .filter(|it| Some(&it["trace"]) == payment_trace.as_ref())
    {
        let millis = (event["at_us"].as_u64().unwrap_or(start) - start) as f64 / 1000.0;
        let process = event["process"].as_str().unwrap_or("");
        let kind = event["kind"].as_str().unwrap_or("");
        println!(
            "    t={millis:.1}ms process={process} event={kind} {}",
            format_fields(event)
        );
    }
}

/// The fields of an event as `key=value` pairs.
fn format_fields(event: &Value) -> String {
    let pairs = event["fields"].as_array().into_iter().flatten();
    let pairs = pairs.map(|it| {
        let key = it[0].as_str().unwrap_or("");
        let value = it[1].as_str().unwrap_or("");
        format!("{key}={value}")
    });
    pairs.collect::<Vec<_>>().join(" ")
}

/// Prints the totals of the load and checks that every request was answered in time, that no payment
/// ran more than once and that no upstream was overloaded.
fn check_totals(counts: &LoadCounts, stats: &BTreeMap<String, Stats>) -> eyre::Result<()> {
    let executed_twice = executions(stats).values().filter(|it| **it > 1).count();
    let falls: u32 = stats.values().map(|it| it.falls).sum();
    println!();
    println!("requests             {}", counts.requests);
    println!("whole answers        {}", counts.complete);
    println!("late                 {}", counts.late);
    println!("refused              {}", counts.refused);
    println!("failed               {}", counts.failed);
    println!("executed twice       {executed_twice}");
    println!("cut                  {}", counts.truncated);
    println!("wrong answers        {}", counts.mismatched);
    println!("upstreams overloaded {falls}");
    for problem in counts.error_messages.iter().take(10) {
        println!("  {problem}");
    }
    let is_complete = counts.complete == counts.requests && counts.late == 0;
    eyre::ensure!(
        is_complete,
        "not every request got a complete answer in time"
    );
    eyre::ensure!(
        executed_twice == 0,
        "{executed_twice} payments ran more than once"
    );
    eyre::ensure!(falls == 0, "upstreams were overloaded {falls} times");
    Ok(())
}

fn print_step(line: &str) {
    println!("==> {line}");
}
