//! Instances of this build and of the previous release side by side, while they are replaced one
//! after the other.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use platform_standin::client;
use platform_standin::client::Response;
use platform_standin::site::API_KEY;
use platform_standin::store::Gate;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::Instance;
use crate::programs;

/// The users' bound on the time until a configuration is in force at all instances.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the stop signal until the load balancer sends an instance no more connections.
const ROTATION_TIME: Duration = Duration::from_millis(2_000);
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between the requests of one client.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

impl Deployment {
    /// Adds a route and waits until all of `served_by` serve it, no longer than a change may take.
    async fn change_config(&mut self, served_by: impl Fn(usize) -> bool) {
        self.config_version += 1;
        let version = self.config_version;
        let prefix = format!("/added{version}/");
        self.site.configure(
            version,
            json!([{"name": "added", "host": "site.example", "prefix": prefix,
                "type": "idempotent", "timeout_ms": 2_000, "goal_ms": 100, "priority": 1,
                "service": "ledger", "attempts": 2}]),
        );
        let deadline = Instant::now() + CONFIG_TIMEOUT;
        let instances = self.instances.iter().enumerate();
        for (idx, instance) in instances.filter(|it| served_by(it.0)) {
            let target = format!("GET {prefix}x");
            while send(instance.client_address, &target, "added").await.status != 200 {
                assert!(
                    Instant::now() < deadline,
                    "configuration {version} is not in force at {idx}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn send(address: SocketAddr, target: &str, id: &str) -> Response {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [
        key.as_str(),
        id.as_str(),
        "host: site.example",
        "x-deadline-ms: 3000",
        "x-model: m",
        "x-token-count: 100,24",
        "x-prompt-prefix: aa:60,bb:40",
        "x-chunks: 2",
        "x-chunk-key: k",
    ];
    client::send_request(address, target, &headers, b"").await
}

impl Instance {
    /// Sends requests of all kinds, one after the other, until the load is stopped.
    fn start_load(&mut self, name: String) {
        let (address, stop) = (self.client_address, self.stop_load.clone());
        self.load = Some(tokio::spawn(async move {
            let mut failures = Vec::new();
            let targets = [
                "GET /read/1",
                "POST /post/1",
                "POST /draft/1",
                "POST /report/1",
            ];
            for idx in 0.. {
                let target = targets[idx % targets.len()];
                let id = format!("{name}-{idx}");
                let response = send(address, target, &id).await;
                if response.status != 200 || !response.is_complete {
                    failures.push(format!("{id} {target}: {}", response.status));
                }
                let stop = tokio::time::timeout(REQUEST_PAUSE, stop.notified());
                if stop.await.is_ok() {
                    break;
                }
            }
            failures
        }));
    }

    /// Stops the process as the platform does; returns the requests that failed.
    async fn stop(mut self) -> Vec<String> {
        self.daemon.signal(Signal::TERM).expect("a process");
        tokio::time::sleep(ROTATION_TIME).await;
        self.stop_load.notify_one();
        let failures = match self.load.take() {
            Some(load) => load.await.expect("a client that does not panic"),
            None => Vec::new(),
        };
        let daemon = &mut self.daemon;
        let status = tokio::task::block_in_place(|| daemon.wait(EXIT_TIMEOUT));
        let status = status.expect("a process").expect("an exit in time");
        assert!(status.success(), "{status}");
        failures
    }
}

/// Replaces three instances of one build by ones of another under load, with a change of the
/// configuration after each step.
async fn check_replacement(name: &str, before: &Path, after: &Path) {
    let mut deployment = Deployment::start(name).await;
    for idx in 0..3 {
        deployment.add(&format!("n{idx}"), before).await;
    }
    for (idx, instance) in deployment.instances.iter_mut().enumerate() {
        instance.start_load(format!("{name}-before{idx}"));
    }
    let mut failures = Vec::new();
    for idx in 0..3 {
        deployment.change_config(|_| true).await;
        let leaving = deployment.instances.remove(0);
        failures.extend(leaving.stop().await);
        deployment.add(&format!("n{idx}"), after).await;
        let added = deployment.instances.last_mut().expect("an instance");
        added.start_load(format!("{name}-after{idx}"));
        deployment.change_config(|_| true).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for instance in deployment.instances.drain(..) {
        failures.extend(instance.stop().await);
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against messages and rows that the build before does not understand: no caller may notice
/// that instances are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn an_upgrade_hurts_no_caller() {
    let (previous, current) = (programs::previous(), programs::current());
    check_replacement("upgrade", &previous, &current).await;
}

/// The same for the way back.
#[tokio::test(flavor = "multi_thread")]
async fn a_downgrade_hurts_no_caller() {
    let (previous, current) = (programs::previous(), programs::current());
    check_replacement("downgrade", &current, &previous).await;
}

/// Three instances of one build that follow the store, and one of another build that has lost it.
async fn check_follower(name: &str, readers: &Path, follower: &Path) {
    let mut deployment = Deployment::start(name).await;
    for idx in 0..3 {
        deployment.add(&format!("n{idx}"), readers).await;
    }
    let gate = Gate::start(&deployment.site.store).await;
    let (gate, store) = gate.expect("a port");
    let instance = deployment.run("n3", follower, store).await;
    deployment.instances.push(instance);
    deployment.change_config(|_| true).await;
    gate.close();
    // The first call after this fails.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..3 {
        deployment.change_config(|_| true).await;
    }
}

macro_rules! followers {
    ($($name:ident: $readers:ident, $follower:ident;)*) => {
        $(
            /// Guards against an instance that cannot use what those of another build pass on.
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let (readers, follower) = (programs::$readers(), programs::$follower());
                check_follower(stringify!($name), &readers, &follower).await;
            }
        )*
    };
}

followers! {
    the_previous_release_follows_this_build: current, previous;
    this_build_follows_the_previous_release: previous, current;
    this_build_follows_itself: current, current;
}

/// Guards against rows that the store has lost and that instances of the build before, which know no
/// eras, hold and pass on.
#[tokio::test(flavor = "multi_thread")]
async fn lost_rows_of_the_previous_release_do_not_win() {
    let (previous, current) = (programs::previous(), programs::current());
    let mut deployment = Deployment::start("return").await;
    for (idx, program) in [&previous, &current, &previous, &current]
        .iter()
        .enumerate()
    {
        deployment.add(&format!("n{idx}"), program).await;
    }
    let older = deployment.site.store.copy();
    for idx in 0..200 {
        deployment.site.store.put("other", &format!("{idx}"), b"");
    }
    deployment.change_config(|_| true).await;
    deployment.site.store.restore(older);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let is_current = |idx: usize| idx % 2 == 1 || idx > 3;
    deployment.change_config(is_current).await;
    deployment.add("n4", &current).await;
    deployment.change_config(is_current).await;
}
