//! Several instances of the real decisions over the fakes.

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

/// Time in which a deployment starts, with the wait for calls of unknown earlier owners.
const START_TIME: Duration = Duration::from_secs(30);
const STATUS_POLL: Duration = Duration::from_millis(50);

/// One entry instance.
pub struct Instance {
    /// Its name.
    pub name: id::Instance,
    /// Its zone.
    pub zone: id::Zone,
    /// Its dispatcher's address.
    pub address: SocketAddr,
    /// Its gateway process.
    pub gateway: Arc<Process>,
    /// Its dispatcher process.
    pub dispatcher: Arc<Process>,
    /// The dispatcher.
    pub node: Arc<Node>,
    /// The gateway's runner.
    pub runner: Arc<Runner>,
    telemetries: Vec<Telemetry>,
    booted: Instant,
}

/// Policies of a deployment that measurements switch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policies {
    /// Policies of the gateways.
    pub options: Options,
    /// Policies of the dispatchers.
    pub queueing: limits::QueuePolicy,
}

/// A deployment.
pub struct Cluster {
    /// The platform.
    pub store: Arc<Store>,
    /// The network.
    pub net: Arc<Net>,
    /// The upstreams.
    pub fleet: Arc<Fleet>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Source of every random choice.
    pub rng: SmallRng,
    policies: Policies,
    epoch: Instant,
    starts: u64,
    retired: Vec<Telemetry>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.net.close();
    }
}

/// What an instance is made of.
#[derive(Clone)]
struct Spec {
    name: id::Instance,
    zone: id::Zone,
    address: SocketAddr,
}

impl Cluster {
    /// Starts `per_zone` instances in each zone of `text`, puts `text` in force and waits until
    /// every upstream can be used.
    ///
    /// # Panics
    ///
    /// Panics when the text has faults or the deployment does not start.
    pub async fn start(text: &str, per_zone: usize, seed: u64) -> Cluster {
        Cluster::start_with(text, per_zone, seed, Policies::default()).await
    }

    /// Like [`Cluster::start`], with other policies.
    ///
    /// # Panics
    ///
    /// Panics when the text has faults or the deployment does not start.
    pub async fn start_with(text: &str, per_zone: usize, seed: u64, policies: Policies) -> Cluster {
        let deployment = config::document::parse_deployment(text).expect("the text has no faults");
        let mut cluster = Cluster {
            store: Arc::default(),
            net: Arc::default(),
            fleet: Arc::new(Fleet::new(&deployment)),
            instances: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            policies,
            epoch: Instant::now(),
            starts: 0,
            retired: Vec::new(),
        };
        let specs = specs(&deployment.zones, per_zone);
        cluster.store.set_listing(Listing {
            instances: specs.iter().map(listed).collect(),
        });
        for spec in specs {
            let instance = cluster.boot(spec);
            cluster.instances.push(instance);
        }
        cluster.settle().await;
        let result = cluster.apply(0, text, 0).await;
        assert_eq!(result, ChangeResult::Committed(1));
        cluster.ready(deployment.upstreams().count()).await;
        cluster
    }

    /// Starts both processes of a spec.
    fn boot(&mut self, spec: Spec) -> Instance {
        self.starts += 1;
        let incarnation = self.starts;
        let dispatcher = Arc::new(Process::default());
        let gateway = Arc::new(Process::default());
        let of_node =
            Telemetry::events_only_since(&format!("dispatcher@{}", spec.name), self.epoch);
        let of_gateway =
            Telemetry::events_only_since(&format!("gateway@{}", spec.name), self.epoch);
        let node = self.node(&spec, incarnation, &dispatcher, &of_node);
        let runner = self.runner(&spec, incarnation, &gateway, &of_gateway);
        Instance {
            name: spec.name,
            zone: spec.zone,
            address: spec.address,
            gateway,
            dispatcher,
            node,
            runner,
            telemetries: vec![of_node, of_gateway],
            booted: Instant::now(),
        }
    }

    fn node(
        &self,
        spec: &Spec,
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

    fn runner(
        &mut self,
        spec: &Spec,
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

    /// Waits until every fence is open.
    async fn settle(&self) {
        self.until("fences", |status| status.is_unfenced).await;
    }

    /// Waits until all upstreams are owned and free, in every view.
    async fn ready(&self, upstreams: usize) {
        let deadline = Instant::now() + START_TIME;
        loop {
            let statuses: Vec<Status> = self.instances.iter().map(|it| it.node.status()).collect();
            let owned = statuses.iter().flat_map(|it| &it.upstreams);
            let free = owned.filter(|it| it.inherited == 0).count();
            let is_followed = self.instances.iter().all(|it| it.runner.view().is_ready());
            if free == upstreams && is_followed {
                return;
            }
            assert!(Instant::now() < deadline, "upstreams are not ready in time");
            tokio::time::sleep(STATUS_POLL).await;
        }
    }

    /// Waits until the status of every living dispatcher satisfies `is_reached`.
    ///
    /// # Panics
    ///
    /// Panics when that takes longer than half a minute.
    pub async fn until(&self, what: &str, is_reached: impl Fn(&Status) -> bool) {
        let deadline = Instant::now() + START_TIME;
        loop {
            let living = self.instances.iter().filter(|it| !it.dispatcher.is_dead());
            if living.map(|it| it.node.status()).all(|it| is_reached(&it)) {
                return;
            }
            assert!(Instant::now() < deadline, "{what} not reached in time");
            tokio::time::sleep(STATUS_POLL).await;
        }
    }

    /// Puts a text in force through the dispatcher of instance `idx`.
    pub async fn apply(&mut self, idx: usize, text: &str, expect: u64) -> ChangeResult {
        let action = Action::Apply {
            text: text.to_owned(),
            expect,
        };
        self.change(idx, action).await
    }

    /// Makes a change through the dispatcher of instance `idx`.
    ///
    /// # Panics
    ///
    /// Panics when the dispatcher does not answer.
    pub async fn change(&mut self, idx: usize, action: Action) -> ChangeResult {
        let change = Change {
            author: format!("operator-{idx}"),
            token: id::Token::random(&mut self.rng),
            action,
        };
        self.change_with(idx, change).await.expect("a reply")
    }

    /// Sends a change to instance `idx`; `None` when no reply comes.
    pub async fn change_with(&self, idx: usize, change: Change) -> Option<ChangeResult> {
        let operator = Arc::new(Process::default());
        let from = SocketAddr::from(([127, 0, 0, 1], 9));
        let peer = self.net.peer(from, operator);
        let request = wire::Request::Change(Box::new(change));
        let asked = wire::peer::request(peer.as_ref(), self.instances[idx].address, request);
        match tokio::time::timeout(START_TIME, asked).await {
            Ok(Ok(Reply::Changed(result))) => Some(result),
            _ => None,
        }
    }

    /// Like [`Cluster::change`], with `None` when no reply comes.
    pub async fn try_change(&mut self, idx: usize, action: Action) -> Option<ChangeResult> {
        let change = Change {
            author: format!("operator-{idx}"),
            token: id::Token::random(&mut self.rng),
            action,
        };
        self.change_with(idx, change).await
    }

    /// The configuration document that the platform keeps.
    #[must_use]
    pub fn document(&self) -> Option<config::Document> {
        let row = self.store.row(dispatcher::changes::CONFIG_ROW_KEY)?;
        serde_json::from_str(&row.value).ok()
    }

    /// Whether the gateway of instance `idx` has run without a break since `at`.
    #[must_use]
    pub fn lives_since(&self, idx: usize, at: Instant) -> bool {
        let instance = &self.instances[idx];
        instance.booted < at && !instance.gateway.is_dead()
    }

    /// Whether the gateway of instance `idx` was frozen at any time since its start.
    #[must_use]
    pub fn was_disturbed(&self, idx: usize) -> bool {
        self.instances[idx].gateway.was_frozen()
    }

    /// Kills both processes of an instance.
    pub fn kill(&self, idx: usize) {
        self.instances[idx].gateway.kill();
        self.instances[idx].dispatcher.kill();
    }

    /// Starts an instance again after its end.
    pub fn restart(&mut self, idx: usize) {
        let old = &mut self.instances[idx];
        self.retired.append(&mut old.telemetries);
        let spec = Spec {
            name: old.name.clone(),
            zone: old.zone.clone(),
            address: old.address,
        };
        self.instances[idx] = self.boot(spec);
    }

    /// Stops an instance gracefully: no new requests, then both processes end.
    pub async fn stop(&self, idx: usize) {
        let instance = &self.instances[idx];
        instance.node.begin_shutdown();
        instance.runner.wait_until_idle().await;
        while instance.node.in_flight() > 0 {
            tokio::time::sleep(STATUS_POLL).await;
        }
        tasks::depart(instance.node.clone()).await;
        self.kill(idx);
    }

    /// Cuts the instances of `side` off from the others.
    pub fn partition(&self, side: &[usize]) {
        for (a, one) in self.instances.iter().enumerate() {
            for (b, other) in self.instances.iter().enumerate() {
                if side.contains(&a) && !side.contains(&b) {
                    self.net.cut(one.address, other.address);
                }
            }
        }
    }

    /// A request to `pipeline` with a fresh trace.
    pub fn request(&mut self, pipeline: &str, key: Option<&str>, input: Value) -> Request {
        Request {
            trace: id::Trace::random(&mut self.rng),
            workspace: "clerks".parse().expect("a name"),
            pipeline: pipeline.parse().expect("a name"),
            key: key.map(|it| it.parse().expect("a name")),
            input,
            max_tokens: Some(20),
            deadline: None,
        }
    }

    /// Runs a request at instance `idx` in the background; its end can be awaited.
    pub fn submit(&self, idx: usize, request: Request) -> tokio::task::JoinHandle<Outcome> {
        let runner = self.instances[idx].runner.clone();
        let process = self.instances[idx].gateway.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                outcome = runner.run(request, None) => outcome,
                () = process.died() => std::future::pending().await,
            }
        })
    }

    /// Time since the deployment was made.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Merged events of all processes so far, with times since the start.
    #[must_use]
    pub fn timeline(&self) -> Vec<Event> {
        let living = self.instances.iter().flat_map(|it| &it.telemetries);
        let all = self.retired.iter().chain(living);
        timeline::merge(all.flat_map(|it| it.recorder().events_of(None)))
    }
}

fn specs(zones: &[id::Zone], per_zone: usize) -> Vec<Spec> {
    let mut specs = Vec::new();
    for zone in zones {
        for number in 0..per_zone {
            let port = 7001 + specs.len() as u16;
            specs.push(Spec {
                name: format!("{zone}-{number}").parse().expect("a name"),
                zone: zone.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
            });
        }
    }
    specs
}

fn listed(spec: &Spec) -> ListedInstance {
    ListedInstance {
        instance: spec.name.clone(),
        zone: spec.zone.clone(),
        address: spec.address,
        is_leaving: false,
    }
}
