//! A small deployment of real processes on loopback addresses.

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
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An instance with its gateway and its dispatcher.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address of the gateway for callers.
    pub gateway: SocketAddr,
    dispatcher: SocketAddr,
    processes: Option<(Daemon, Daemon)>,
}

/// Resource usage by role.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleUsage {
    /// Usage of all gateways.
    pub gateways: Usage,
    /// Usage of all dispatchers.
    pub dispatchers: Usage,
}

/// A running deployment; its processes are killed when it is dropped.
pub struct Cluster {
    /// Instances, one in each zone.
    pub instances: Vec<Instance>,
    /// The configuration that [`Cluster::apply`] puts in force.
    pub deployment: Deployment,
    dir: PathBuf,
    bin_dir: PathBuf,
    control: SocketAddr,
    _standin: Daemon,
}

impl Cluster {
    /// Starts stand-ins for the platform and the upstreams of `example`, and one instance in each
    /// of its zones, with the programs in `bin_dir`. Deletes `dir` and writes files and logs to it.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or a process does not start in time.
    pub async fn start(bin_dir: &Path, dir: &Path, example: &Path) -> eyre::Result<Cluster> {
        if dir.exists() {
            std::fs::remove_dir_all(dir)?;
        }
        std::fs::create_dir_all(dir)?;
        let text = assign_free_ports(&std::fs::read_to_string(example)?)?;
        std::fs::write(dir.join("configuration.yaml"), &text)?;
        let deployment = config::document::parse_deployment(&text).map_err(first_diagnostic)?;
        let keys = Command::new(bin_dir.join("catkinvane"))
            .arg("keys")
            .arg(dir.join("keys"))
            .output()?;
        eyre::ensure!(keys.status.success(), "catkinvane keys failed");

        let control = reserve_address()?;
        let platform = reserve_address()?;
        let mut instances = Vec::new();
        for zone in &deployment.zones {
            instances.push(Instance {
                name: format!("entry-{zone}"),
                gateway: reserve_address()?,
                dispatcher: reserve_address()?,
                processes: None,
            });
        }
        let settings = standin_settings(&deployment, &instances, control, platform)?;
        let settings_path = dir.join("standin.json");
        std::fs::write(&settings_path, settings)?;
        let standin = Daemon::start(
            "standin",
            &bin_dir.join("catkinvane-standin"),
            &settings_path,
            dir,
        )?;
        let mut cluster = Cluster {
            instances,
            deployment,
            dir: dir.to_owned(),
            bin_dir: bin_dir.to_owned(),
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

    /// Starts the dispatcher and the gateway of instance `idx`.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start_instance(&mut self, idx: usize) -> eyre::Result<()> {
        let instance = &mut self.instances[idx];
        let start = |role: &str| {
            let name = format!("{role}-{}", instance.name);
            let program = self.bin_dir.join(format!("catkinvane-{role}"));
            let settings = self.dir.join(format!("{name}.yaml"));
            Daemon::start(&name, &program, &settings, &self.dir)
        };
        instance.processes = Some((start("dispatcher")?, start("gateway")?));
        Ok(())
    }

    /// Stops both daemons of instance `idx` with SIGTERM and waits for their exit.
    ///
    /// # Errors
    ///
    /// Fails if a daemon exits with an error or is still running after 30 s.
    pub fn stop_instance(&mut self, idx: usize) -> eyre::Result<()> {
        let Some((dispatcher, gateway)) = self.instances[idx].processes.take() else {
            return Ok(());
        };
        gateway.signal(Signal::TERM)?;
        dispatcher.signal(Signal::TERM)?;
        for mut daemon in [gateway, dispatcher] {
            let status = daemon.wait(STOP_TIMEOUT)?;
            let is_success = status.is_some_and(|it| it.success());
            eyre::ensure!(
                is_success,
                "{} did not stop cleanly: {status:?}",
                daemon.name
            );
        }
        Ok(())
    }

    /// Sends a signal to both daemons of instance `idx`; does nothing if it is stopped.
    ///
    /// # Errors
    ///
    /// Fails if a daemon has exited.
    pub fn signal_instance(&self, idx: usize, signal: Signal) -> eyre::Result<()> {
        let Some((dispatcher, gateway)) = &self.instances[idx].processes else {
            return Ok(());
        };
        dispatcher.signal(signal)?;
        gateway.signal(signal)
    }

    /// Kills both daemons of instance `idx` with SIGKILL.
    pub fn kill_instance(&mut self, idx: usize) {
        self.instances[idx].processes = None;
    }

    /// Returns the resources used by the running daemons, by role.
    ///
    /// # Errors
    ///
    /// Fails if a daemon has exited.
    pub fn usage(&self) -> eyre::Result<RoleUsage> {
        let mut usage = RoleUsage::default();
        for (dispatcher, gateway) in self.instances.iter().filter_map(|it| it.processes.as_ref()) {
            usage.dispatchers.add(dispatcher.usage()?);
            usage.gateways.add(gateway.usage()?);
        }
        Ok(usage)
    }

    /// Sends a control command to the stand-in process.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer or rejects the command.
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

    /// Fetches the number of executions per idempotency key at the `ledger` upstreams.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn executions(&self) -> eyre::Result<BTreeMap<String, u32>> {
        Ok(executions(&self.stats().await?))
    }

    /// Runs the operators' client with `args` and returns its standard output.
    ///
    /// # Errors
    ///
    /// Fails if the client does, with its standard error.
    pub fn run_client(&self, args: &[&str]) -> eyre::Result<String> {
        let output = Command::new(self.bin_dir.join("catkinvane"))
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

    /// Path of the example's configuration with free ports.
    #[must_use]
    pub fn configuration_path(&self) -> PathBuf {
        self.dir.join("configuration.yaml")
    }

    /// Applies the configuration at [`Cluster::configuration_path`].
    ///
    /// # Errors
    ///
    /// Fails if the client does.
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

    /// Waits until every upstream has an owner that no longer counts calls of previous owners as in
    /// flight.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 30 s.
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
        condition: &str,
        is_ready: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> eyre::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let statuses = self.run_client(&["--output", "json", "status"]);
            let parsed = statuses.ok().and_then(|it| serde_json::from_str(&it).ok());
            if parsed.is_some_and(|it| is_ready(&it)) {
                return Ok(());
            }
            eyre::ensure!(Instant::now() < deadline, "{condition} not ready in time");
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Fetches the statistics of every stand-in upstream, by its name.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn stats(&self) -> eyre::Result<BTreeMap<String, Stats>> {
        let url = format!("http://{}/stats", self.control);
        Ok(reqwest::get(url).await?.json().await?)
    }
}

/// Sums the executions per idempotency key over the upstreams named `ledger*`.
#[must_use]
pub fn executions(stats: &BTreeMap<String, Stats>) -> BTreeMap<String, u32> {
    let mut executions = BTreeMap::new();
    let ledgers = stats.iter().filter(|(name, _)| name.starts_with("ledger"));
    for (key, times) in ledgers.flat_map(|(_, it)| &it.executions) {
        *executions.entry(key.clone()).or_default() += times;
    }
    executions
}

/// Replaces every upstream address in a configuration text with a free loopback port.
fn assign_free_ports(text: &str) -> eyre::Result<String> {
    let deployment = config::document::parse_deployment(text).map_err(first_diagnostic)?;
    let mut assigned = text.to_owned();
    for (_, upstream) in deployment.upstreams() {
        let from = format!("address: {}}}", upstream.address);
        let to = format!("address: {}}}", reserve_address()?);
        assigned = assigned.replace(&from, &to);
    }
    Ok(assigned)
}

fn first_diagnostic(diagnostics: Vec<config::Diagnostic>) -> eyre::Report {
    let diagnostic = diagnostics.into_iter().next();
    diagnostic.map_or_else(
        || eyre::eyre!("invalid configuration without diagnostics"),
        eyre::Report::new,
    )
}

/// Returns a loopback address with a free port that was not returned before. The kernel may offer a
/// port again as soon as it is closed.
fn reserve_address() -> eyre::Result<SocketAddr> {
    static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut used_ports = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        if used_ports.insert(address.port()) {
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
    let instance_list = instances.iter().zip(&deployment.zones);
    let instance_list: Vec<table::ListedInstance> = instance_list
        .map(|(instance, zone)| {
            Ok(table::ListedInstance {
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
        instances: instance_list,
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
