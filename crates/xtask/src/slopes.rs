//! Cost of the control plane by number of instances. The instances run the real code and codec as
//! tasks of one thread on a paused clock.

use std::time::Duration;

use fakes::Cluster;
use fakes::net::Traffic;
use rustix::time::ClockId;
use tokio::time::Instant;
use wire::member::State;
use wire::message::ChangeResult;
use wire::status::Status;

/// Number of instances of each run.
const INSTANCE_COUNTS: [usize; 5] = [8, 16, 32, 64, 128];
const ZONE_COUNT: usize = 8;
/// Ratio of the target deployment: 600 upstreams and 350 instances.
const UPSTREAMS_PER_INSTANCE: f64 = 600.0 / 350.0;
/// Time over which the idle traffic is measured, and for which a partition lasts.
const IDLE_DURATION: Duration = Duration::from_secs(60);
/// Interval between checks for convergence.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Overhead per message of QUIC and of UDP on an open connection.
const MESSAGE_OVERHEAD_BYTES: u64 = 45 + 28;

/// Results of one run. Bytes, messages, CPU time and memory are averages per instance. Bytes of a
/// change, failure or return are those beyond the idle traffic; times are until all live instances
/// have converged.
#[derive(Debug)]
struct Measurement {
    instances: usize,
    idle_messages: f64,
    idle_bytes: f64,
    idle_cores: f64,
    memory_kb: f64,
    change_ms: u128,
    change_bytes: f64,
    failure_ms: u128,
    failure_bytes: f64,
    return_ms: u128,
    return_bytes: f64,
    heal_ms: u128,
}

/// Measures each number of instances and prints the table and its linear fits.
pub(crate) fn run() -> eyre::Result<()> {
    println!(
        "instances msgs/s bytes/s core% rss_kB change_ms change_B failure_ms failure_B return_ms return_B heal_ms"
    );
    let mut rows = Vec::new();
    for size in INSTANCE_COUNTS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        let row = runtime.block_on(measure(size));
        println!(
            "{:9} {:6.1} {:7.0} {:5.2} {:6.0} {:9} {:8.0} {:10} {:9.0} {:9} {:8.0} {:7}",
            row.instances,
            row.idle_messages,
            row.idle_bytes,
            row.idle_cores * 100.0,
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
    print_fit("bytes/s when idle", &rows, |it| it.idle_bytes);
    print_fit("core when idle", &rows, |it| it.idle_cores);
    print_fit("rss kB", &rows, |it| it.memory_kb);
    print_fit("bytes a change", &rows, |it| it.change_bytes);
    print_fit("bytes a failure", &rows, |it| it.failure_bytes);
    print_fit("bytes a return", &rows, |it| it.return_bytes);
    Ok(())
}

async fn measure(instances: usize) -> Measurement {
    let resident_before = resident_kb();
    let text = deployment(instances);
    let mut cluster = Cluster::start(&text, instances / ZONE_COUNT, 1).await;
    tokio::time::sleep(IDLE_DURATION / 4).await;
    let memory_kb = (resident_kb() - resident_before) / instances as f64;

    let traffic = cluster.net.traffic();
    let cpu = cpu_seconds();
    tokio::time::sleep(IDLE_DURATION).await;
    let idle_cores = (cpu_seconds() - cpu) / IDLE_DURATION.as_secs_f64() / instances as f64;
    let idle = traffic_per_instance(traffic, cluster.net.traffic(), instances);
    let idle_messages = idle.0 / IDLE_DURATION.as_secs_f64();
    let idle_bytes = idle.1 / IDLE_DURATION.as_secs_f64();
    let bytes_above_idle = |from: Traffic, to: Traffic, time: Duration| {
        let (_, bytes) = traffic_per_instance(from, to, instances);
        bytes - idle_bytes * time.as_secs_f64()
    };

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    let result = cluster.apply(0, &text, 1).await;
    assert_eq!(result, ChangeResult::Committed(2));
    let is_current = |it: &Status| it.config_version == 2 && it.gateway_version == Some(2);
    let change_ms = convergence_ms(&cluster, is_current).await;
    let change_bytes = bytes_above_idle(traffic, cluster.net.traffic(), start.elapsed());

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    cluster.kill(0);
    let killed = cluster.instances[0].name.clone();
    let sees_killed_as = |status: &Status, state: State| {
        let mut members = status.members.iter();
        members.any(|it| it.instance == killed && it.state == state)
    };
    let failure_ms = convergence_ms(&cluster, |it| sees_killed_as(it, State::Lost)).await;
    tokio::time::sleep(IDLE_DURATION / 4).await;
    let failure_bytes = bytes_above_idle(traffic, cluster.net.traffic(), start.elapsed());

    let traffic = cluster.net.traffic();
    let start = Instant::now();
    cluster.restart(0);
    let return_ms = convergence_ms(&cluster, |it| sees_killed_as(it, State::Alive)).await;
    tokio::time::sleep(IDLE_DURATION / 4).await;
    let return_bytes = bytes_above_idle(traffic, cluster.net.traffic(), start.elapsed());

    let half: Vec<usize> = (0..instances / 2).collect();
    cluster.partition(&half);
    tokio::time::sleep(IDLE_DURATION).await;
    cluster.net.heal();
    let has_all_members = |it: &Status| it.members.iter().all(|it| it.state == State::Alive);
    let heal_ms = convergence_ms(&cluster, has_all_members).await;

    Measurement {
        instances,
        idle_messages,
        idle_bytes,
        idle_cores,
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

/// Milliseconds until every live dispatcher satisfies `has_converged`, or until
/// [`CONVERGENCE_TIMEOUT`].
async fn convergence_ms(cluster: &Cluster, has_converged: impl Fn(&Status) -> bool) -> u128 {
    let start = Instant::now();
    loop {
        let mut live = cluster
            .instances
            .iter()
            .filter(|it| !it.dispatcher.is_dead());
        let is_done = live.all(|it| has_converged(&it.node.status()));
        if is_done || start.elapsed() > CONVERGENCE_TIMEOUT {
            return start.elapsed().as_millis();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Messages and bytes sent between two counts, averaged over instances; bytes include
/// [`MESSAGE_OVERHEAD_BYTES`].
fn traffic_per_instance(from: Traffic, to: Traffic, instances: usize) -> (f64, f64) {
    let messages = to.messages - from.messages;
    let bytes = to.bytes - from.bytes + messages * MESSAGE_OVERHEAD_BYTES;
    let count = instances as f64;
    (messages as f64 / count, bytes as f64 / count)
}

/// A configuration with one engine service whose upstreams are spread over all zones.
fn deployment(instances: usize) -> String {
    let zones: Vec<String> = (0..ZONE_COUNT).map(|it| format!("z{it}")).collect();
    let count = (instances as f64 * UPSTREAMS_PER_INSTANCE).ceil() as usize;
    let mut text = format!(
        "zones: [{}]\nservices:\n  - name: llm\n    kind: engine\n    reports_load: true\n    upstreams:\n",
        zones.join(", ")
    );
    for idx in 0..count {
        let zone = &zones[idx % ZONE_COUNT];
        let address = format!("10.0.{}.{}:1", idx / 250, idx % 250 + 1);
        text.push_str(&format!(
            "      - {{name: llm-{idx}, zone: {zone}, address: {address}}}\n"
        ));
    }
    text.push_str("pipelines:\n  - name: chat\n    deadline: 7s\n    stages:\n      - {name: generate, service: llm}\n");
    text.push_str("workspaces:\n  - {name: clerks}\n");
    text
}

/// Fits `value = offset + slope * instances` by least squares and prints the fit, its coefficient of
/// determination and the value that it predicts for 350 instances.
fn print_fit(label: &str, rows: &[Measurement], value: impl Fn(&Measurement) -> f64) {
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
    println!("{label}: {offset:.5} + {slope:.6} * instances, R2 {fit:.3}, at 350: {at_350:.4}");
}

/// CPU time of this thread, which runs all instances, in seconds.
fn cpu_seconds() -> f64 {
    let time = rustix::time::clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Resident memory of this process in kB; 0 if it cannot be read.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
