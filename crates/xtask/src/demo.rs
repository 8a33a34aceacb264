//! The demonstration: a small deployment, tried as its users would.

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
const DIR: &str = "target/demo";
/// Zone that is taken out and brought back.
const ZONE: &str = "tacoma";
/// Time after which a drained zone gets no new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);
const OBSERVE: Duration = Duration::from_secs(3);
/// The whole demonstration ends by then.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Builds and runs the demonstration.
pub(crate) fn run() -> eyre::Result<()> {
    let build = Command::new("cargo")
        .args(["build", "--locked", "--workspace", "--bins"])
        .status()?;
    eyre::ensure!(build.success(), "the build failed");
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let limited = tokio::time::timeout(TIME_LIMIT, demonstrate());
        limited
            .await
            .map_err(|_| eyre::eyre!("took longer than {TIME_LIMIT:?}"))?
    })
}

async fn demonstrate() -> eyre::Result<()> {
    let bin = std::env::current_exe()?;
    let bin = bin.parent().unwrap_or(Path::new("target/debug"));
    say("start: stand-ins and four instances in four zones");
    let mut cluster = Cluster::start(bin, Path::new(DIR), Path::new(EXAMPLE)).await?;
    say(cluster.apply()?.trim());
    cluster.wait_for_upstreams().await?;

    try_chat(&cluster).await?;
    try_double_tap(&cluster).await?;
    let tally = try_zone(&mut cluster).await?;

    let events: Vec<Value> =
        serde_json::from_str(&cluster.run_client(&["--output", "json", "timeline"])?)?;
    print_timeline(&events);
    say("stop: SIGTERM to every process");
    for idx in 0..cluster.instances.len() {
        cluster.stop_instance(idx)?;
    }
    let stats = cluster.stats().await?;
    conclude(&tally, &stats)
}

async fn try_chat(cluster: &Cluster) -> eyre::Result<()> {
    let http = reqwest::Client::new();
    let gateway = cluster.instances[0].gateway;
    let chat = load::stream_chat(&http, gateway, "what do I owe?", 12).await?;
    let ChatResult::Complete(text) = chat else {
        eyre::bail!("the streamed chat was not answered whole");
    };
    let expected = standin::engine::answer("user: what do I owe?", 12);
    eyre::ensure!(text == expected, "the streamed chat got another answer");
    say(&format!("chat: {}", text.trim()));
    Ok(())
}

/// Taps a payment twice at once, at two gateways, and once more afterwards.
async fn try_double_tap(cluster: &Cluster) -> eyre::Result<()> {
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
        eyre::ensure!(status.is_success(), "the payment was not answered: {body}");
    }
    let executions = executions(&cluster.stats().await?);
    let times = executions.get("case-4711-fee").copied().unwrap_or_default();
    eyre::ensure!(times == 1, "the payment ran {times} times");
    say("payment: tapped three times, answered three times, run once");
    Ok(())
}

/// Takes a zone out and brings it back, and restarts an instance, under a light load.
async fn try_zone(cluster: &mut Cluster) -> eyre::Result<LoadCounts> {
    let gateways: Vec<_> = cluster.instances.iter().map(|it| it.gateway).collect();
    let load = LoadGenerator::start(gateways.clone());
    tokio::time::sleep(OBSERVE).await;

    say(cluster.run_client(&["zone", "drain", ZONE])?.trim());
    tokio::time::sleep(DRAIN_TIME).await;
    let before = started_in_zone(cluster).await?;
    tokio::time::sleep(OBSERVE).await;
    let after = started_in_zone(cluster).await?;
    eyre::ensure!(
        before == after,
        "{} calls went to the drained zone",
        after - before
    );
    say("zone: no new work while it is out");
    say(cluster.run_client(&["zone", "return", ZONE])?.trim());
    tokio::time::sleep(OBSERVE).await;
    let returned = started_in_zone(cluster).await?;
    eyre::ensure!(returned > after, "the returned zone gets no work");
    say("zone: serves again");

    let last = cluster.instances.len() - 1;
    load.set_gateways(gateways[..last].to_vec());
    cluster.stop_instance(last)?;
    say(&format!(
        "restart: {} stopped",
        cluster.instances[last].name
    ));
    cluster.start_instance(last)?;
    tokio::time::sleep(OBSERVE).await;
    load.finish().await
}

async fn started_in_zone(cluster: &Cluster) -> eyre::Result<u64> {
    let stats = cluster.stats().await?;
    let in_zone = cluster
        .deployment
        .upstreams()
        .filter(|(_, upstream)| upstream.zone.as_str() == ZONE);
    let started = in_zone.filter_map(|(_, it)| stats.get(it.name.as_str()));
    Ok(started.map(|it| it.started).sum())
}

fn print_timeline(events: &[Value]) {
    let traced = events
        .iter()
        .find(|it| it["kind"] == "claimed")
        .map(|it| it["trace"].clone());
    say("time line of one payment, merged over all processes");
    let start = events
        .iter()
        .find(|it| Some(&it["trace"]) == traced.as_ref());
    let start = start
        .and_then(|it| it["at_us"].as_u64())
        .unwrap_or_default();
    for event in events
        .iter()
        .filter(|it| Some(&it["trace"]) == traced.as_ref())
    {
        let millis = (event["at_us"].as_u64().unwrap_or(start) - start) as f64 / 1000.0;
        let process = event["process"].as_str().unwrap_or("");
        let kind = event["kind"].as_str().unwrap_or("");
        println!(
            "    t={millis:.1}ms process={process} event={kind} {}",
            fields(event)
        );
    }
}

fn fields(event: &Value) -> String {
    let pairs = event["fields"].as_array().into_iter().flatten();
    let pairs = pairs.map(|it| {
        let key = it[0].as_str().unwrap_or("");
        let value = it[1].as_str().unwrap_or("");
        format!("{key}={value}")
    });
    pairs.collect::<Vec<_>>().join(" ")
}

fn conclude(tally: &LoadCounts, stats: &BTreeMap<String, Stats>) -> eyre::Result<()> {
    let twice = executions(stats).values().filter(|it| **it > 1).count();
    let falls: u32 = stats.values().map(|it| it.falls).sum();
    println!();
    println!("requests             {}", tally.requests);
    println!("whole answers        {}", tally.complete);
    println!("late                 {}", tally.late);
    println!("refused              {}", tally.refused);
    println!("failed               {}", tally.failed);
    println!("executed twice       {twice}");
    println!("cut                  {}", tally.truncated);
    println!("wrong answers        {}", tally.mismatched);
    println!("upstreams overloaded {falls}");
    for problem in tally.error_messages.iter().take(10) {
        println!("  {problem}");
    }
    let is_whole = tally.complete == tally.requests && tally.late == 0;
    eyre::ensure!(is_whole, "not every request got its whole answer in time");
    eyre::ensure!(twice == 0, "{twice} payments ran twice");
    eyre::ensure!(falls == 0, "upstreams were given more than they bear");
    Ok(())
}

fn say(line: &str) {
    println!("==> {line}");
}
