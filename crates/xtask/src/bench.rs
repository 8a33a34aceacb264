//! Benchmark on real processes: the latency that gateway and dispatcher add to a stage, and the CPU
//! time and memory that they use per request.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use serde_json::json;
use testbed::Cluster;
use testbed::process::Usage;
use tokio::task::JoinSet;

const EXAMPLE: &str = "examples/office.yaml";
const WORK_DIR: &str = "target/bench";
const PIPELINE: &str = "docket-lookup";
/// Workspaces that requests are sent for in turn, because each has a rate limit.
const WORKSPACES: [&str; 3] = ["clerks", "litigants", "counters"];
/// Number of calls, one after the other, from which the latencies are taken.
const SEQUENTIAL_CALLS: usize = 300;
/// Requests per second of the first measurement; the others use 2, 4 and 8 times the rate.
const BASE_RATE: u32 = 50;
const RATE_DURATION: Duration = Duration::from_secs(5);
const WARM_UP_DURATION: Duration = Duration::from_secs(15);

/// Builds the release binaries and prints the measurements.
pub(crate) fn run() -> eyre::Result<()> {
    let build = Command::new("cargo")
        .args(["build", "--locked", "--release", "--workspace", "--bins"])
        .status()?;
    eyre::ensure!(build.success(), "cargo build failed: {build}");
    tokio::runtime::Runtime::new()?.block_on(bench())
}

async fn bench() -> eyre::Result<()> {
    let cluster = Cluster::start(
        Path::new("target/release"),
        Path::new(WORK_DIR),
        Path::new(EXAMPLE),
    );
    let cluster = cluster.await?;
    cluster.apply()?;
    cluster.wait_for_upstreams().await?;
    let http = reqwest::Client::new();
    run_at_rate(&cluster, &http, BASE_RATE, WARM_UP_DURATION).await?;

    let direct = measure_direct(&cluster, &http).await?;
    let through = measure_through_gateway(&cluster, &http).await?;
    println!(
        "sequential calls, release build: p50 direct {direct:?}, through gateway and dispatcher {through:?}"
    );
    println!(
        "added {:?}, ratio {:.3}",
        through.saturating_sub(direct),
        through.as_secs_f64() / direct.as_secs_f64()
    );
    println!("rate/s whole% p50ms p95ms gateway_ms/req dispatcher_ms/req gateway_MB dispatcher_MB");
    for factor in [1, 2, 4, 8] {
        run_at_rate(&cluster, &http, BASE_RATE * factor, RATE_DURATION).await?;
    }
    Ok(())
}

/// Median latency of calls sent straight to an upstream.
async fn measure_direct(cluster: &Cluster, http: &reqwest::Client) -> eyre::Result<Duration> {
    let upstreams = cluster.deployment.upstreams();
    let mut dockets = upstreams.filter(|(service, _)| service.name.as_str() == "docket");
    let (_, upstream) = dockets
        .next()
        .ok_or_eyre("service docket has no upstream")?;
    let url = format!("http://{}/run", upstream.address);
    let mut times = Vec::new();
    for number in 0..SEQUENTIAL_CALLS {
        let start = Instant::now();
        let body = json!({"input": number, "key": null});
        http.post(&url).json(&body).send().await?.bytes().await?;
        times.push(start.elapsed());
    }
    Ok(quantile(&mut times, 0.5))
}

/// Median latency of the same calls through gateway and dispatcher.
async fn measure_through_gateway(
    cluster: &Cluster,
    http: &reqwest::Client,
) -> eyre::Result<Duration> {
    let mut times = Vec::new();
    for number in 0..SEQUENTIAL_CALLS {
        let start = Instant::now();
        let is_success = call(http, cluster.instances[0].gateway, number).await?;
        eyre::ensure!(is_success, "call {number} through the gateway failed");
        times.push(start.elapsed());
    }
    Ok(quantile(&mut times, 0.5))
}

/// Sends one pipeline request; whether the response is a success.
async fn call(http: &reqwest::Client, gateway: SocketAddr, number: usize) -> eyre::Result<bool> {
    let response = http
        .post(format!("http://{gateway}/v1/pipelines/{PIPELINE}"))
        .header("x-workspace", WORKSPACES[number % WORKSPACES.len()])
        .json(&json!({"input": number}))
        .send()
        .await?;
    let is_success = response.status().is_success();
    response.bytes().await?;
    Ok(is_success)
}

/// Sends `rate` requests per second to one gateway and prints the success rate, the latency and the
/// CPU time per request and memory of all processes.
async fn run_at_rate(
    cluster: &Cluster,
    http: &reqwest::Client,
    rate: u32,
    duration: Duration,
) -> eyre::Result<()> {
    let before = cluster.usage()?;
    let count = (duration.as_secs_f64() * f64::from(rate)) as usize;
    let gateway = cluster.instances[0].gateway;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut calls = JoinSet::new();
    for number in 0..count {
        interval.tick().await;
        let http = http.clone();
        calls.spawn(async move {
            let start = Instant::now();
            let is_success = call(&http, gateway, number).await.unwrap_or(false);
            (is_success, start.elapsed())
        });
    }
    let calls = calls.join_all().await;
    let after = cluster.usage()?;
    let succeeded = calls.iter().filter(|(is_success, _)| *is_success).count();
    let mut times: Vec<Duration> = calls.into_iter().map(|(_, time)| time).collect();
    let cost = |before: &Usage, after: &Usage| {
        (after.cpu_seconds - before.cpu_seconds) * 1000.0 / count as f64
    };
    println!(
        "{:6} {:6.2} {:5.1} {:5.1} {:14.3} {:17.3} {:10.1} {:13.1}",
        rate,
        100.0 * succeeded as f64 / count as f64,
        millis(quantile(&mut times, 0.5)),
        millis(quantile(&mut times, 0.95)),
        cost(&before.gateways, &after.gateways),
        cost(&before.dispatchers, &after.dispatchers),
        after.gateways.max_rss_mib,
        after.dispatchers.max_rss_mib,
    );
    Ok(())
}

/// Sorts `times`; the one below which `share` of them lie, or zero if there are none.
fn quantile(times: &mut [Duration], share: f64) -> Duration {
    times.sort_unstable();
    let idx = (times.len() as f64 * share) as usize;
    times.get(idx).copied().unwrap_or_default()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
