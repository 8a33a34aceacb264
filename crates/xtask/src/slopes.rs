//! Cost of control by number of instances: the real code with its real codec, as tasks on the paused
//! clock.

use std::time::Duration;

use fakes::Cluster;
use fakes::net::Traffic;
use rustix::time::ClockId;
use tokio::time::Instant;
use wire::member::State;
use wire::message::ChangeResult;
use wire::status::Status;

/// Instances of each run.
const SIZES: [usize; 5] = [8, 16, 32, 64, 128];
const ZONES: usize = 8;
/// Upstreams for each instance, as in 600 before 350.
const UPSTREAMS_PER_INSTANCE: f64 = 600.0 / 350.0;
const CALM: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(60);
/// QUIC and UDP overhead of one message on an open connection, in bytes.
const DATAGRAM_OVERHEAD: u64 = 45 + 28;

/// What one run measured; traffic and times are totals of the run, by instance where they say so.
#[derive(Debug)]
struct Measured {
    instances: usize,
    calm_messages: f64,
    calm_bytes: f64,
    calm_core: f64,
    memory_kb: f64,
    change_ms: u128,
    change_bytes: f64,
    failure_ms: u128,
    failure_bytes: f64,
    return_ms: u128,
    return_bytes: f64,
    heal_ms: u128,
}

/// Runs every size and prints the table and the fits.
pub(crate) fn run() -> eyre::Result<()> {
    println!(
        "instances msgs/s bytes/s core% rss_kB change_ms change_B failure_ms failure_B return_ms return_B heal_ms"
    );
    let mut rows = Vec::new();
    for size in SIZES {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        let row = runtime.block_on(measure(size));
        println!(
            "{:9} {:6.1} {:7.0} {:5.2} {:6.0} {:9} {:8.0} {:10} {:9.0} {:9} {:8.0} {:7}",
            row.instances,
            row.calm_messages,
            row.calm_bytes,
            row.calm_core * 100.0,
            row.memory_kb,
            row.change_ms,
            row.change_bytes,
            row.failure_ms,
            row.failure_bytes,
            row.return_ms,
            row.return_bytes,
            row.heal_ms,
        );
        rows.push(row);
    }
    print_fit("bytes/s when calm", &rows, |it| it.calm_bytes);
    print_fit("core when calm", &rows, |it| it.calm_core);
    print_fit("rss kB", &rows, |it| it.memory_kb);
    print_fit("bytes a change", &rows, |it| it.change_bytes);
    print_fit("bytes a failure", &rows, |it| it.failure_bytes);
    print_fit("bytes a return", &rows, |it| it.return_bytes);
    Ok(())
}

async fn measure(instances: usize) -> Measured {
    let resident_before = resident_kb();
    let text = deployment(instances);
    let mut cluster = Cluster::start(&text, instances / ZONES, 1).await;
    tokio::time::sleep(CALM / 4).await;
    let memory_kb = (resident_kb() - resident_before) / instances as f64;

    let traffic = cluster.net.traffic();
    let cpu = cpu_seconds();
    tokio::time::sleep(CALM).await;
    let calm_core = (cpu_seconds() - cpu) / CALM.as_secs_f64() / instances as f64;
    let calm = per_instance(traffic, cluster.net.traffic(), instances);
    let calm_messages = calm.0 / CALM.as_secs_f64();
    let calm_bytes = calm.1 / CALM.as_secs_f64();
    let extra = |from: Traffic, to: Traffic, time: Duration| {
        let (_, bytes) = per_instance(from, to, instances);
        bytes - calm_bytes * time.as_secs_f64()
    };

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    let result = cluster.apply(0, &text, 1).await;
    assert_eq!(result, ChangeResult::Committed(2));
    let is_current = |it: &Status| it.config_version == 2 && it.gateway_version == Some(2);
    let change_ms = until(&cluster, is_current).await;
    let change_bytes = extra(traffic, cluster.net.traffic(), start.elapsed());

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    cluster.kill(0);
    let lost = cluster.instances[0].name.clone();
    let sees = |status: &Status, state: State| {
        let mut members = status.members.iter();
        members.any(|it| it.instance == lost && it.state == state)
    };
    let failure_ms = until(&cluster, |it| sees(it, State::Lost)).await;
    tokio::time::sleep(CALM / 4).await;
    let failure_bytes = extra(traffic, cluster.net.traffic(), start.elapsed());

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    cluster.restart(0);
    let return_ms = until(&cluster, |it| sees(it, State::Alive)).await;
    tokio::time::sleep(CALM / 4).await;
    let return_bytes = extra(traffic, cluster.net.traffic(), start.elapsed());

    let half: Vec<usize> = (0..instances / 2).collect();
    cluster.partition(&half);
    tokio::time::sleep(CALM).await;
    cluster.net.heal();
    let is_whole = |it: &Status| it.members.iter().all(|it| it.state == State::Alive);
    let heal_ms = until(&cluster, is_whole).await;

    Measured {
        instances,
        calm_messages,
        calm_bytes,
        calm_core,
        memory_kb,
        change_ms,
        change_bytes,
        failure_ms,
        failure_bytes,
        return_ms,
        return_bytes,
        heal_ms,
    }
}

/// Milliseconds until every living dispatcher satisfies `is_reached`, at most [`LIMIT`].
async fn until(cluster: &Cluster, is_reached: impl Fn(&Status) -> bool) -> u128 {
    let start = Instant::now();
    loop {
        let mut living = cluster
            .instances
            .iter()
            .filter(|it| !it.dispatcher.is_dead());
        let is_done = living.all(|it| is_reached(&it.node.status()));
        if is_done || start.elapsed() > LIMIT {
            return start.elapsed().as_millis();
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Messages and bytes an instance sent, with the overhead of their datagrams.
fn per_instance(from: Traffic, to: Traffic, instances: usize) -> (f64, f64) {
    let messages = to.messages - from.messages;
    let bytes = to.bytes - from.bytes + messages * DATAGRAM_OVERHEAD;
    let count = instances as f64;
    (messages as f64 / count, bytes as f64 / count)
}

fn deployment(instances: usize) -> String {
    let zones: Vec<String> = (0..ZONES).map(|it| format!("z{it}")).collect();
    let count = (instances as f64 * UPSTREAMS_PER_INSTANCE).ceil() as usize;
    let mut text = format!(
        "zones: [{}]\nservices:\n  - name: llm\n    kind: engine\n    reports_load: true\n    upstreams:\n",
        zones.join(", ")
    );
    for idx in 0..count {
        let zone = &zones[idx % ZONES];
        let address = format!("10.0.{}.{}:1", idx / 250, idx % 250 + 1);
        text.push_str(&format!(
            "      - {{name: llm-{idx}, zone: {zone}, address: {address}}}\n"
        ));
    }
    text.push_str("pipelines:\n  - name: chat\n    deadline: 7s\n    stages:\n      - {name: generate, service: llm}\n");
    text.push_str("workspaces:\n  - {name: clerks}\n");
    text
}

/// Fits `value = a + b * instances` by least squares and prints it with its fit.
fn print_fit(what: &str, rows: &[Measured], value: impl Fn(&Measured) -> f64) {
    let count = rows.len() as f64;
    let xs: Vec<f64> = rows.iter().map(|it| it.instances as f64).collect();
    let ys: Vec<f64> = rows.iter().map(value).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(&xs), mean(&ys));
    let pairs = || xs.iter().zip(&ys);
    let covariance: f64 = pairs().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let offset = mean_y - slope * mean_x;
    let residual: f64 = pairs().map(|(x, y)| (y - offset - slope * x).powi(2)).sum();
    let total: f64 = ys.iter().map(|y| (y - mean_y).powi(2)).sum();
    let fit = 1.0 - residual / total.max(f64::MIN_POSITIVE);
    let at_350 = offset + slope * 350.0;
    println!("{what}: {offset:.5} + {slope:.6} * instances, R2 {fit:.3}, at 350: {at_350:.4}");
}

fn cpu_seconds() -> f64 {
    let time = rustix::time::clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
