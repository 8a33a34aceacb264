//! A small deployment of real processes on loopback.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use config::Deployment;
use config::model;
use eyre::WrapErr;
use rustix::process::Signal;
use serde_json::Value;
use standin::control::ControlCommand;
use standin::settings::Kind;
use standin::upstream::Stats;

use crate::process::Daemon;
use crate::process::Usage;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);

/// One entry instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its callers' address.
    pub gateway: SocketAddr,
    dispatcher: SocketAddr,
    processes: Option<(Daemon, Daemon)>,
}

/// Usage by role.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleUsage {
    /// All gateways.
    pub gateways: Usage,
    /// All dispatchers.
    pub dispatchers: Usage,
}

/// The deployment.
pub struct Cluster {
    /// Its entry instances, one in each zone.
    pub instances: Vec<Instance>,
    /// The configuration that [`Cluster::apply`] puts in force.
    pub deployment: Deployment,
    dir: PathBuf,
    bin: PathBuf,
    control: SocketAddr,
    _standin: Daemon,
}

impl Cluster {
    /// Starts stand-ins for `example` and one instance in each of its zones.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start in time.
    pub async fn start(bin: &Path, dir: &Path, example: &Path) -> eyre::Result<Cluster> {
        if dir.exists() {
            std::fs::remove_dir_all(dir)?;
        }
        std::fs::create_dir_all(dir)?;
        let text = relocate(&std::fs::read_to_string(example)?)?;
        std::fs::write(dir.join("configuration.yaml"), &text)?;
        let deployment = config::document::parse_deployment(&text).map_err(first_fault)?;
        let keys = Command::new(bin.join("catkinvane"))
            .arg("keys")
            .arg(dir.join("keys"))
            .output()?;
        eyre::ensure!(keys.status.success(), "catkinvane keys failed");

        let control = free_address()?;
        let platform = free_address()?;
        let mut instances = Vec::new();
        for zone in &deployment.zones {
            instances.push(Instance {
                name: format!("entry-{zone}"),
                gateway: free_address()?,
                dispatcher: free_address()?,
                processes: None,
            });
        }
        let settings = standin_settings(&deployment, &instances, control, platform)?;
        let settings_path = dir.join("standin.json");
        std::fs::write(&settings_path, settings)?;
        let standin = Daemon::start(
            "standin",
            &bin.join("catkinvane-standin"),
            &settings_path,
            dir,
        )?;
        let mut cluster = Cluster {
            instances,
            deployment,
            dir: dir.to_owned(),
            bin: bin.to_owned(),
            control,
            _standin: standin,
        };
        cluster.write_settings(platform)?;
        for idx in 0..cluster.instances.len() {
            cluster.start_instance(idx)?;
        }
        cluster.wait_for_members().await?;
        Ok(cluster)
    }

    fn write_settings(&self, platform: SocketAddr) -> eyre::Result<()> {
        let keys = self.dir.join("keys");
        let tls = format!(
            "tls: {{authority: {0}/authority.pem, certificate: {0}/process.pem, key: {0}/process.key}}",
            keys.display()
        );
        let zones = self.deployment.zones.iter();
        for (instance, zone) in self.instances.iter().zip(zones) {
            let name = &instance.name;
            let common = format!("instance: {name}\nzone: {zone}\nplatform: {platform}\n{tls}\n");
            let gateway = format!(
                "{common}listen: {}\ndispatcher: {}\n",
                instance.gateway, instance.dispatcher
            );
            let dispatcher = format!("{common}listen: {}\n", instance.dispatcher);
            std::fs::write(self.dir.join(format!("gateway-{name}.yaml")), gateway)?;
            std::fs::write(self.dir.join(format!("dispatcher-{name}.yaml")), dispatcher)?;
        }
        let dispatchers: Vec<String> = self
            .instances
            .iter()
            .map(|it| it.dispatcher.to_string())
            .collect();
        let client = format!(
            "author: demo\ndispatchers: [{}]\n{tls}\n",
            dispatchers.join(", ")
        );
        std::fs::write(self.dir.join("catkinvane.yaml"), client)?;
        Ok(())
    }

    /// Starts both daemons of an instance.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn start_instance(&mut self, idx: usize) -> eyre::Result<()> {
        let instance = &mut self.instances[idx];
        let start = |role: &str| {
            let name = format!("{role}-{}", instance.name);
            let program = self.bin.join(format!("catkinvane-{role}"));
            let settings = self.dir.join(format!("{name}.yaml"));
            Daemon::start(&name, &program, &settings, &self.dir)
        };
        instance.processes = Some((start("dispatcher")?, start("gateway")?));
        Ok(())
    }

    /// Stops both daemons of an instance with SIGTERM; fails when one does not end by itself.
    ///
    /// # Errors
    ///
    /// Fails when a process does not end by itself.
    pub fn stop_instance(&mut self, idx: usize) -> eyre::Result<()> {
        let Some((dispatcher, gateway)) = self.instances[idx].processes.take() else {
            return Ok(());
        };
        gateway.signal(Signal::TERM)?;
        dispatcher.signal(Signal::TERM)?;
        for mut daemon in [gateway, dispatcher] {
            let status = daemon.wait(STOP_TIMEOUT)?;
            let is_clean = status.is_some_and(|it| it.success());
            eyre::ensure!(is_clean, "{} did not stop cleanly: {status:?}", daemon.name);
        }
        Ok(())
    }

    /// Sends a signal to both daemons of an instance.
    ///
    /// # Errors
    ///
    /// Fails when one has ended.
    pub fn signal_instance(&self, idx: usize, signal: Signal) -> eyre::Result<()> {
        let Some((dispatcher, gateway)) = &self.instances[idx].processes else {
            return Ok(());
        };
        dispatcher.signal(signal)?;
        gateway.signal(signal)
    }

    /// Ends both daemons of an instance with SIGKILL.
    pub fn kill_instance(&mut self, idx: usize) {
        self.instances[idx].processes = None;
    }

    /// What the running daemons have used, by role.
    ///
    /// # Errors
    ///
    /// Fails when one has ended.
    pub fn usage(&self) -> eyre::Result<RoleUsage> {
        let mut usage = RoleUsage::default();
        for (dispatcher, gateway) in self.instances.iter().filter_map(|it| it.processes.as_ref()) {
            usage.dispatchers.add(dispatcher.usage()?);
            usage.gateways.add(gateway.usage()?);
        }
        Ok(usage)
    }

    /// Gives an order to the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails when the stand-ins refuse it.
    pub async fn send_command(&self, command: &ControlCommand) -> eyre::Result<()> {
        let url = format!("http://{}/order", self.control);
        let response = reqwest::Client::new()
            .post(url)
            .json(command)
            .send()
            .await?;
        let is_done = response.status().is_success();
        eyre::ensure!(is_done, "the stand-in refused {command:?}");
        Ok(())
    }

    /// Executions by idempotency key over the ledgers.
    ///
    /// # Errors
    ///
    /// Fails when the stand-ins do not answer.
    pub async fn executions(&self) -> eyre::Result<BTreeMap<String, u32>> {
        Ok(executions(&self.stats().await?))
    }

    /// Runs the operators' client and returns what it prints.
    ///
    /// # Errors
    ///
    /// Fails as the client does, with what it prints.
    pub fn run_client(&self, args: &[&str]) -> eyre::Result<String> {
        let output = Command::new(self.bin.join("catkinvane"))
            .arg("--settings")
            .arg(self.dir.join("catkinvane.yaml"))
            .args(args)
            .output()?;
        let stderr = String::from_utf8_lossy(&output.stderr);
        eyre::ensure!(
            output.status.success(),
            "catkinvane {}: {stderr}",
            args.join(" ")
        );
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// The relocated example.
    #[must_use]
    pub fn configuration_path(&self) -> PathBuf {
        self.dir.join("configuration.yaml")
    }

    /// Puts the relocated example in force.
    ///
    /// # Errors
    ///
    /// Fails as the client does.
    pub fn apply(&self) -> eyre::Result<String> {
        let path = self.configuration_path();
        self.run_client(&["apply", &path.display().to_string()])
    }

    async fn wait_for_members(&self) -> eyre::Result<()> {
        let expected = self.instances.len();
        self.wait_until("members", |statuses| {
            let answering = statuses
                .values()
                .filter(|it| it["is_unfenced"] == true && !it["gateway_version"].is_null());
            answering.count() == expected
        })
        .await
    }

    /// Waits until no upstream waits for the calls of an earlier owner.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn wait_for_upstreams(&self) -> eyre::Result<()> {
        let expected = self.deployment.upstreams().count();
        self.wait_until("upstreams", |statuses| {
            let free = statuses
                .values()
                .filter_map(|it| it["upstreams"].as_array())
                .flatten()
                .filter(|it| it["inherited"] == 0);
            free.count() == expected
        })
        .await
    }

    async fn wait_until(
        &self,
        what: &str,
        is_reached: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> eyre::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let statuses = self.run_client(&["--output", "json", "status"]);
            let parsed = statuses.ok().and_then(|it| serde_json::from_str(&it).ok());
            if parsed.is_some_and(|it| is_reached(&it)) {
                return Ok(());
            }
            eyre::ensure!(Instant::now() < deadline, "{what} not ready in time");
            tokio::time::sleep(POLL).await;
        }
    }

    /// What the upstreams have seen.
    ///
    /// # Errors
    ///
    /// Fails when the stand-ins do not answer.
    pub async fn stats(&self) -> eyre::Result<BTreeMap<String, Stats>> {
        let url = format!("http://{}/stats", self.control);
        Ok(reqwest::get(url).await?.json().await?)
    }
}

/// Executions by idempotency key over the ledgers.
#[must_use]
pub fn executions(stats: &BTreeMap<String, Stats>) -> BTreeMap<String, u32> {
    let mut executions = BTreeMap::new();
    let ledgers = stats.iter().filter(|(name, _)| name.starts_with("ledger"));
    for (key, times) in ledgers.flat_map(|(_, it)| &it.executions) {
        *executions.entry(key.clone()).or_default() += times;
    }
    executions
}

/// Moves every address of a configuration text to a free port.
fn relocate(text: &str) -> eyre::Result<String> {
    let deployment = config::document::parse_deployment(text).map_err(first_fault)?;
    let mut moved = text.to_owned();
    for (_, upstream) in deployment.upstreams() {
        let from = format!("address: {}}}", upstream.address);
        let to = format!("address: {}}}", free_address()?);
        moved = moved.replace(&from, &to);
    }
    Ok(moved)
}

fn first_fault(faults: Vec<config::Diagnostic>) -> eyre::Report {
    let fault = faults.into_iter().next();
    fault.map_or_else(|| eyre::eyre!("unknown fault"), eyre::Report::new)
}

/// An address that was free a moment ago and was not given out before: the kernel may offer a port
/// again as soon as it is closed.
fn free_address() -> eyre::Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        if given.insert(address.port()) {
            return Ok(address);
        }
    }
}

fn standin_settings(
    deployment: &Deployment,
    instances: &[Instance],
    control: SocketAddr,
    platform: SocketAddr,
) -> eyre::Result<String> {
    let listed = instances.iter().zip(&deployment.zones);
    let listed: Vec<table::Listed> = listed
        .map(|(instance, zone)| {
            Ok(table::Listed {
                instance: instance.name.parse().wrap_err("instance name")?,
                zone: zone.clone(),
                address: instance.dispatcher,
                is_leaving: false,
            })
        })
        .collect::<eyre::Result<_>>()?;
    let upstreams = deployment
        .upstreams()
        .map(|(service, upstream)| standin_upstream(service, upstream))
        .collect();
    let settings = standin::settings::Settings {
        control,
        platform,
        instances: listed,
        upstreams,
    };
    Ok(serde_json::to_string_pretty(&settings)?)
}

fn standin_upstream(
    service: &model::Service,
    upstream: &model::Upstream,
) -> standin::settings::Upstream {
    let (kind, step_ms) = match service.protocol {
        model::Protocol::Engine => (Kind::Engine, 10),
        model::Protocol::Plain => (Kind::Plain, 8),
    };
    standin::settings::Upstream {
        name: upstream.name.to_string(),
        address: upstream.address,
        kind,
        step_ms,
        cold_limit: service.cold_limit,
        warm_limit: service.ceiling,
        warm_after: 4,
        checks_fencing: service.checks_fencing,
    }
}
