//! Processes of the system, started with the command of the deploy file.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Command of the deploy file, run in the repository.
const PROGRAM: &str = "target/release/catkinvane-node";
const FRONT_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const CONTROL_PORT: u16 = 8628;
const PEER_PORT: u16 = 7740;
/// Port of the deploy file.
const METRICS_PORT: u16 = 9464;

/// Loopback addresses of a run, one for each machine, so that ports are the same on all of them.
pub struct Network {
    base: [u8; 3],
}

impl Network {
    /// Finds a range of loopback addresses whose ports are free.
    pub fn find() -> Option<Network> {
        let seed = std::process::id();
        (0..200_u32).find_map(|idx| {
            let number = seed.wrapping_mul(31).wrapping_add(idx);
            let base = [127, 16 + (number % 200) as u8, (number / 200 % 250) as u8];
            let network = Network { base };
            (1..16).all(|it| network.is_free(it)).then_some(network)
        })
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        let [a, b, c] = self.base;
        Ipv4Addr::new(a, b, c, machine)
    }

    fn is_free(&self, machine: u8) -> bool {
        let ip = self.ip(machine);
        let ports = [FRONT_PORT, READY_PORT, METRICS_PORT];
        ports.iter().all(|it| TcpListener::bind((ip, *it)).is_ok())
            && UdpSocket::bind((ip, PEER_PORT)).is_ok()
    }
}

/// Settings of a process that differ between cases.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddr,
    pub grace_s: u32,
}

impl Settings {
    /// The text of the settings file, with the figures of the users' smaller deployments.
    fn text(&self) -> String {
        let Settings {
            name,
            zone,
            ip,
            store,
            grace_s,
            ..
        } = self;
        let seeds: String = self
            .seeds
            .iter()
            .map(|it| format!("  - \"{it}:{CONTROL_PORT}\"\n"))
            .collect();
        format!(
            "node_name: \"{name}\"\nrole: \"node\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"north\"\nzones:\n  north-a: \"north\"\n  \
             north-b: \"north\"\nlisten:\n  front: \"{ip}:{FRONT_PORT}\"\n  \
             ready_addr: \"{ip}:{READY_PORT}\"\n  control_addr: \"{ip}:{CONTROL_PORT}\"\n\
             port_range:\n  - 7740\n  - 7755\nseed_nodes:\n{seeds}bootstrap: true\n\
             fault_counted: false\nlimits:\n  cpu_quota: 0.25\n  cpus: 1\n  ram_mb: 260\n  \
             max_fds: 4100\n  net_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
             discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\nfault_budget:\n  \
             machines: 2\n  zones: 1\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  \
             contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  \
             grace_s: {grace_s}\n  loss_slack_ms: 200\n  config_ms: 2000\n  downgrade_ms: 250\n  \
             outer_ms: 5000\n  revoke_strict: false\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  \
             retry_window_s: 10\n  retry_extra: 52\n  cold_overshoot: 1.5\n  cold_extra: 5\n  \
             evac_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  reuse_s: 9.8\nplatform:\n  \
             address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  \
             tx_ms: 5.0\n  appends_per_s: 200\n  row_bytes: 65536\n  across: false\n  \
             history_s: 20\n  blob_bytes: 8388608\n  blob_ms: 25.0\n  blob_per_s: 80.0\n"
        )
    }
}

/// One machine and the process on it, which is killed when this is dropped.
pub struct Node {
    pub settings: Settings,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(settings: Settings, folder: &Path) -> std::io::Result<Node> {
        let mut node = Node {
            settings,
            folder: folder.to_owned(),
            child: None,
        };
        node.write_settings()?;
        node.run()?;
        Ok(node)
    }

    /// Writes the settings file.
    pub fn write_settings(&self) -> std::io::Result<()> {
        let path = self.settings_path();
        let new = path.with_extension("new");
        std::fs::write(&new, self.settings.text())?;
        std::fs::rename(new, path)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.settings.name))
    }

    /// Starts the process, which must not run.
    pub fn run(&mut self) -> std::io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.settings.name));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var_os(name).map(|it| (name, it)));
        }
        let child = command
            .env("CATKINVANE_SETTINGS", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.settings.ip), FRONT_PORT)
    }

    /// Address of the readiness poll.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.settings.ip), READY_PORT)
    }

    /// Waits until the readiness poll gets 200.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let address = self.ready();
        let end = Instant::now() + time;
        let wait = Duration::from_millis(500);
        let headers = ["Host: ready".to_owned()];
        while Instant::now() < end {
            if http::send(address, "GET /api/readyz", &headers, b"", wait).status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal, by its name, to this process alone.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = child.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
