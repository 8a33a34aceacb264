//! A deployment of several instances, which run the real code on the simulated platform, network
//! and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use claims::Registry;
use claims::batch::BatchWriter;
use claims::row::Holder;
use dispatcher::Node;
use dispatcher::tasks;
use pipeline::Options;
use pipeline::Outcome;
use pipeline::Request;
use pipeline::Runner;
use pipeline::View;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use table::ListedInstance;
use table::Listing;
use telemetry::Telemetry;
use telemetry::timeline;
use telemetry::timeline::Event;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::Reply;
use wire::message::Action;
use wire::message::Change;
use wire::message::ChangeResult;
use wire::status::Status;

use crate::net::Net;
use crate::platform::Store;
use crate::process::Process;
use crate::upstream::Fleet;

/// Time in which a deployment must start, which includes the wait for calls that unknown previous
/// owners may still have in flight.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An instance: a gateway and a dispatcher process.
pub struct Instance {
    /// Name of the instance.
    pub name: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Address of the dispatcher.
    pub address: SocketAddr,
    /// Process of the gateway.
    pub gateway: Arc<Process>,
    /// Process of the dispatcher.
    pub dispatcher: Arc<Process>,
    /// State and request handlers of the dispatcher.
    pub node: Arc<Node>,
    /// Runs the requests of the gateway.
    pub runner: Arc<Runner>,
    telemetries: Vec<Telemetry>,
    started_at: Instant,
}

/// Policies that simulations may replace to compare them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policies {
    /// Policies of the gateways.
    pub options: Options,
    /// Policies of the dispatchers.
    pub queueing: limits::QueuePolicy,
}

/// A simulated deployment.
pub struct Cluster {
    /// Simulated platform.
    pub store: Arc<Store>,
    /// Simulated network.
    pub net: Arc<Net>,
    /// Simulated upstreams.
    pub fleet: Arc<Fleet>,
    /// All instances, ordered by zone, including killed ones.
    pub instances: Vec<Instance>,
    /// Generator of all random values, seeded by the caller.
    pub rng: SmallRng,
    policies: Policies,
    /// Creation time of the deployment, to which event times are relative.
    epoch: Instant,
    /// Incarnation of the instance that was started last.
    last_incarnation: u64,
    /// Telemetry of processes that were replaced by a restart.
    retired_telemetries: Vec<Telemetry>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.net.close();
    }
}

/// Properties of an instance that a restart keeps.
#[derive(Clone)]
struct InstanceSpec {
    name: id::Instance,
    zone: id::Zone,
    address: SocketAddr,
}

impl Cluster {
    /// Starts `per_zone` instances in each zone of the configuration `text`, applies it and waits
    /// until every upstream can be used.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is invalid or the deployment does not start in time.
    pub async fn start(text: &str, per_zone: usize, seed: u64) -> Cluster {
        Cluster::start_with(text, per_zone, seed, Policies::default()).await
    }

    /// Like [`Cluster::start`], with other policies.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is invalid or the deployment does not start in time.
    pub async fn start_with(text: &str, per_zone: usize, seed: u64, policies: Policies) -> Cluster {
        let deployment =
            config::document::parse_deployment(text).expect("the configuration is valid");
        let mut cluster = Cluster {
            store: Arc::default(),
            net: Arc::default(),
            fleet: Arc::new(Fleet::new(&deployment)),
            instances: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            policies,
            epoch: Instant::now(),
            last_incarnation: 0,
            retired_telemetries: Vec::new(),
        };
        let specs = specs(&deployment.zones, per_zone);
        cluster.store.set_listing(Listing {
            instances: specs.iter().map(listed_instance).collect(),
        });
        for spec in specs {
            let instance = cluster.start_instance(spec);
            cluster.instances.push(instance);
        }
        cluster.wait_until_unfenced().await;
        let result = cluster.apply(0, text, 0).await;
        assert_eq!(result, ChangeResult::Committed(1));
        cluster
            .wait_until_ready(deployment.upstreams().count())
            .await;
        cluster
    }

    /// Starts the gateway and the dispatcher of an instance under a new incarnation.
    fn start_instance(&mut self, spec: InstanceSpec) -> Instance {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let dispatcher = Arc::new(Process::default());
        let gateway = Arc::new(Process::default());
        let dispatcher_telemetry =
            Telemetry::events_only_since(&format!("dispatcher@{}", spec.name), self.epoch);
        let gateway_telemetry =
            Telemetry::events_only_since(&format!("gateway@{}", spec.name), self.epoch);
        let node = self.start_dispatcher(&spec, incarnation, &dispatcher, &dispatcher_telemetry);
        let runner = self.start_gateway(&spec, incarnation, &gateway, &gateway_telemetry);
        Instance {
            name: spec.name,
            zone: spec.zone,
            address: spec.address,
            gateway,
            dispatcher,
            node,
            runner,
            telemetries: vec![dispatcher_telemetry, gateway_telemetry],
            started_at: Instant::now(),
        }
    }

    /// Starts a dispatcher: registers it on the network and spawns its background tasks.
    fn start_dispatcher(
        &self,
        spec: &InstanceSpec,
        incarnation: u64,
        process: &Arc<Process>,
        telemetry: &Telemetry,
    ) -> Arc<Node> {
        let node = Node::builder()
            .instance(spec.name.clone())
            .zone(spec.zone.clone())
            .address(spec.address)
            .incarnation(incarnation)
            .peer(self.net.peer(spec.address, process.clone()))
            .platform(self.store.client(process.clone()))
            .upstreams(self.fleet.client(process.clone()))
            .telemetry(telemetry.clone())
            .queueing(self.policies.queueing)
            .seeds(self.instances.iter().map(|it| it.address).collect())
            .build();
        let node = Arc::new(node);
        self.net.listen(spec.address, process.clone(), node.clone());
        process.spawn(tasks::heartbeats(node.clone()));
        process.spawn(tasks::configuration(node.clone()));
        process.spawn(tasks::fetches(node.clone()));
        process.spawn(tasks::listing(node.clone()));
        process.spawn(tasks::reports(node.clone()));
        process.spawn(tasks::sweeps(node.clone()));
        process.spawn(tasks::member_events(node.clone()));
        node
    }

    /// Starts a gateway: spawns its background tasks and creates its runner.
    fn start_gateway(
        &mut self,
        spec: &InstanceSpec,
        incarnation: u64,
        process: &Arc<Process>,
        telemetry: &Telemetry,
    ) -> Arc<Runner> {
        let peer = self.net.peer(spec.address, process.clone());
        let platform = self.store.client(process.clone());
        let batch = BatchWriter::new(platform.clone());
        process.spawn(batch.clone().serve());
        let holder = Holder {
            instance: spec.name.clone(),
            incarnation,
        };
        let view = watch::Sender::new(Arc::new(View::empty()));
        let runner = Runner::builder()
            .peer(peer.clone())
            .registry(Registry::new(platform, batch, holder))
            .telemetry(telemetry.clone())
            .zone(spec.zone.clone())
            .view(view.subscribe())
            .seed(id::Token::random(&mut self.rng).0)
            .options(self.policies.options)
            .build();
        let follow =
            pipeline::follow_view(peer, spec.address, incarnation, view, telemetry.clone());
        process.spawn(follow);
        Arc::new(runner)
    }

    /// Waits until every live dispatcher holds its fencing lease.
    async fn wait_until_unfenced(&self) {
        self.wait_until("fencing leases", |status| status.is_unfenced)
            .await;
    }

    /// Waits until all upstreams have an owner that no longer waits for calls of a previous owner,
    /// and every gateway can serve requests.
    async fn wait_until_ready(&self, upstreams: usize) {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let statuses: Vec<Status> = self.instances.iter().map(|it| it.node.status()).collect();
            let owned_upstreams = statuses.iter().flat_map(|it| &it.upstreams);
            let ready_count = owned_upstreams.filter(|it| it.inherited == 0).count();
            let are_gateways_ready = self.instances.iter().all(|it| it.runner.view().is_ready());
            if ready_count == upstreams && are_gateways_ready {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "upstreams not ready within {START_TIMEOUT:?}"
            );
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Waits until the status of every live dispatcher satisfies `is_met`. `condition` describes it
    /// for the panic message.
    ///
    /// # Panics
    ///
    /// Panics when that takes longer than half a minute.
    pub async fn wait_until(&self, condition: &str, is_met: impl Fn(&Status) -> bool) {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let live = self.instances.iter().filter(|it| !it.dispatcher.is_dead());
            if live.map(|it| it.node.status()).all(|it| is_met(&it)) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{condition}: not reached within {START_TIMEOUT:?}"
            );
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Applies the configuration `text` through the dispatcher of instance `idx`, if version
    /// `expect` is in force.
    ///
    /// # Panics
    ///
    /// Panics when the dispatcher does not reply.
    pub async fn apply(&mut self, idx: usize, text: &str, expect: u64) -> ChangeResult {
        let action = Action::Apply {
            text: text.to_owned(),
            expect,
        };
        self.change(idx, action).await
    }

    /// Sends a change with a new token to the dispatcher of instance `idx`.
    ///
    /// # Panics
    ///
    /// Panics when the dispatcher does not reply.
    pub async fn change(&mut self, idx: usize, action: Action) -> ChangeResult {
        let change = Change {
            author: format!("operator-{idx}"),
            token: id::Token::random(&mut self.rng),
            action,
        };
        self.send_change(idx, change)
            .await
            .expect("the dispatcher replies")
    }

    /// Sends a change to the dispatcher of instance `idx`; `None` if it does not reply.
    pub async fn send_change(&self, idx: usize, change: Change) -> Option<ChangeResult> {
        let operator = Arc::new(Process::default());
        let from = SocketAddr::from(([127, 0, 0, 1], 9));
        let peer = self.net.peer(from, operator);
        let request = wire::Request::Change(Box::new(change));
        let reply = wire::peer::request(peer.as_ref(), self.instances[idx].address, request);
        match tokio::time::timeout(START_TIMEOUT, reply).await {
            Ok(Ok(Reply::Changed(result))) => Some(result),
            _ => None,
        }
    }

    /// Like [`Cluster::change`], but returns `None` if the dispatcher does not reply.
    pub async fn try_change(&mut self, idx: usize, action: Action) -> Option<ChangeResult> {
        let change = Change {
            author: format!("operator-{idx}"),
            token: id::Token::random(&mut self.rng),
            action,
        };
        self.send_change(idx, change).await
    }

    /// Returns the configuration document stored on the platform; `None` if it is absent or
    /// invalid.
    #[must_use]
    pub fn document(&self) -> Option<config::Document> {
        let row = self.store.row(dispatcher::changes::CONFIG_ROW_KEY)?;
        serde_json::from_str(&row.value).ok()
    }

    /// Returns whether the current gateway of instance `idx` was started before `at` and has not
    /// been killed.
    #[must_use]
    pub fn has_gateway_run_since(&self, idx: usize, at: Instant) -> bool {
        let instance = &self.instances[idx];
        instance.started_at < at && !instance.gateway.is_dead()
    }

    /// Returns whether the gateway of instance `idx` was frozen at any time since its start.
    #[must_use]
    pub fn was_gateway_frozen(&self, idx: usize) -> bool {
        self.instances[idx].gateway.was_frozen()
    }

    /// Kills both processes of an instance.
    pub fn kill(&self, idx: usize) {
        self.instances[idx].gateway.kill();
        self.instances[idx].dispatcher.kill();
    }

    /// Starts a killed or stopped instance again, under a new incarnation.
    pub fn restart(&mut self, idx: usize) {
        let old = &mut self.instances[idx];
        self.retired_telemetries.append(&mut old.telemetries);
        let spec = InstanceSpec {
            name: old.name.clone(),
            zone: old.zone.clone(),
            address: old.address,
        };
        self.instances[idx] = self.start_instance(spec);
    }

    /// Stops an instance gracefully: gives up its upstreams, waits for the requests and calls in
    /// flight, announces its departure and ends both processes.
    pub async fn stop(&self, idx: usize) {
        let instance = &self.instances[idx];
        instance.node.begin_shutdown();
        instance.runner.wait_until_idle().await;
        while instance.node.in_flight() > 0 {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
        tasks::depart(instance.node.clone()).await;
        self.kill(idx);
    }

    /// Cuts the network between the instances of `side` and all others.
    pub fn partition(&self, side: &[usize]) {
        for (a, one) in self.instances.iter().enumerate() {
            for (b, other) in self.instances.iter().enumerate() {
                if side.contains(&a) && !side.contains(&b) {
                    self.net.cut(one.address, other.address);
                }
            }
        }
    }

    /// Creates a request to `pipeline` with a new trace id.
    pub fn request(&mut self, pipeline: &str, key: Option<&str>, input: Value) -> Request {
        Request {
            trace: id::Trace::random(&mut self.rng),
            workspace: "clerks".parse().expect("a valid name"),
            pipeline: pipeline.parse().expect("a valid name"),
            key: key.map(|it| it.parse().expect("a valid name")),
            input,
            max_tokens: Some(20),
            deadline: None,
        }
    }

    /// Runs a request at instance `idx` in the background. The task never ends if the gateway is
    /// killed.
    pub fn submit(&self, idx: usize, request: Request) -> tokio::task::JoinHandle<Outcome> {
        let runner = self.instances[idx].runner.clone();
        let process = self.instances[idx].gateway.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                outcome = runner.run(request, None) => outcome,
                () = process.wait_until_killed() => std::future::pending().await,
            }
        })
    }

    /// Returns the time since the deployment was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns the events of all processes so far, in order of time, which is relative to the
    /// creation of the deployment.
    #[must_use]
    pub fn timeline(&self) -> Vec<Event> {
        let live = self.instances.iter().flat_map(|it| &it.telemetries);
        let all = self.retired_telemetries.iter().chain(live);
        timeline::merge(all.flat_map(|it| it.recorder().events_of(None)))
    }
}

fn specs(zones: &[id::Zone], per_zone: usize) -> Vec<InstanceSpec> {
    let mut specs = Vec::new();
    for zone in zones {
        for number in 0..per_zone {
            let port = 7001 + specs.len() as u16;
            specs.push(InstanceSpec {
                name: format!("{zone}-{number}").parse().expect("a valid name"),
                zone: zone.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
            });
        }
    }
    specs
}

fn listed_instance(spec: &InstanceSpec) -> ListedInstance {
    ListedInstance {
        instance: spec.name.clone(),
        zone: spec.zone.clone(),
        address: spec.address,
        is_leaving: false,
    }
}
