//! Nodes: the program of the deploy file, each as a process with an address of its own.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Call;

/// What the deploy file runs on each machine.
const PROGRAM: &str = "target/release/catkinvane-node";
const FRONT_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const CONTROL_PORT: u16 = 8628;
const STORE_PORT: u16 = 8624;
/// Time within which a node is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A network of loopback addresses that belongs to one run of a script.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    prefix: [u8; 2],
}

impl Net {
    /// Processes that run at the same time have different networks.
    pub fn new() -> Net {
        let id = std::process::id();
        let prefix = [60 + (id >> 8) as u8 % 150, id as u8];
        Net { prefix }
    }

    /// Address of a store (group 0), node (1) or replica (2).
    fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        let [second, third] = self.prefix;
        Ipv4Addr::new(127, second, third, group * 50 + number + 1)
    }

    /// Address at which the store serves a node.
    pub fn store(&self, node: u8) -> SocketAddr {
        SocketAddr::from((self.ip(0, node), STORE_PORT))
    }

    pub fn replica(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(2, number), 8080))
    }
}

/// A node process; killed when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts node `number` of a deployment in `zones`, with its settings and log in `dir`.
    pub fn start(
        net: Net,
        number: u8,
        zones: &[&str],
        ram_mb: u64,
        dir: &Path,
    ) -> std::io::Result<Node> {
        let ip = net.ip(1, number);
        let zone = zones[number as usize % zones.len()];
        let name = format!("edge-{zone}-{number}");
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(
            &settings,
            settings_text(net.store(number), &name, ip, zone, zones, ram_mb),
        )?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .env("CATKINVANE_SETTINGS", &settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node {
            name,
            front: SocketAddr::from((ip, FRONT_PORT)),
            ready: SocketAddr::from((ip, READY_PORT)),
            child,
        })
    }

    /// Waits until the node says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the node says that it is ready, as the platform asks it.
    pub fn is_ready(&self) -> bool {
        let call = Call {
            method: "GET",
            host: String::from("platform"),
            target: String::from("/api/readyz"),
            ..Call::default()
        };
        http::send(self.ready, &call, Duration::from_secs(1)).status == 200
    }

    /// Memory that the process holds now, in bytes; `None` once it has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        // Fail only if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(
    store: SocketAddr,
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    zones: &[&str],
    ram_mb: u64,
) -> String {
    let zone_lines: String = zones
        .iter()
        .map(|it| format!("  {it}: \"cascadia\"\n"))
        .collect();
    format!(
        r#"node_name: "{name}"
role: "node"
machine_class: "edge"
serves:
  - "edge"
ip: "{ip}"
zone: "{zone}"
region: "cascadia"
zones:
{zone_lines}listen:
  front: "{ip}:{FRONT_PORT}"
  ready_addr: "{ip}:{READY_PORT}"
  control_addr: "{ip}:{CONTROL_PORT}"
port_range:
  - 7740
  - 7755
seed_nodes: []
bootstrap: true
fault_counted: false
limits:
  cpu_quota: 0.25
  cpus: 1
  ram_mb: {ram_mb}
  max_fds: 4100
  net_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "engine"
  - "stream"
  - "tenants"
  - "places"
  - "platform"
  - "stages"
fault_budget:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  contact_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_ms: 2000
  downgrade_ms: 250
  outer_ms: 5000
  revoke_strict: false
  revoke_ms: 5000
  retry_ratio: 0.2
  retry_window_s: 10
  retry_extra: 56
  cold_overshoot: 1.5
  cold_extra: 5
  evac_ms: 5000
  recover_s: 12
  pass_ms: 120
  reuse_s: 8.8
platform:
  address: "{store}"
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
  tx_ms: 5.0
  appends_per_s: 200
  row_bytes: 65536
  across: false
  history_s: 20
  blob_bytes: 8388608
  blob_ms: 25.0
  blob_per_s: 80.0
"#
    )
}
