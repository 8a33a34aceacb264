//! A small deployment: the store, its configuration and some nodes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Answer;
use crate::http::Call;
use crate::node::Net;
use crate::node::Node;
use crate::record::Record;
use crate::store::Gate;
use crate::store::Store;

/// The caller's key.
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const ZONES: [&str; 3] = ["olympia", "tacoma", "spokane"];

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// A running deployment.
pub struct Site {
    pub net: Net,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    /// Where the store serves each node, by the order in which the nodes were started.
    pub gates: Vec<Arc<Gate>>,
    pub record: Record,
    /// Memory of each machine in megabytes.
    pub ram_mb: u64,
    dir: PathBuf,
    last_id: AtomicU64,
}

impl Site {
    /// Starts a store without rows.
    pub fn start(record: Record) -> Result<Site, Failure> {
        let net = Net::new();
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Site {
            store: Store::new(),
            net,
            nodes: Vec::new(),
            gates: Vec::new(),
            record,
            ram_mb: 260,
            dir,
            last_id: AtomicU64::new(0),
        })
    }

    /// Starts a node, without waiting for it.
    pub fn start_node(&mut self) -> Result<(), Failure> {
        let number = u8::try_from(self.gates.len())?;
        self.gates.push(self.store.listen(self.net.store(number))?);
        let node = Node::start(self.net, number, &ZONES, self.ram_mb, &self.dir)?;
        self.nodes.push(node);
        Ok(())
    }

    /// Starts `count` nodes and waits until all are ready.
    pub fn start_nodes(&mut self, count: u8) -> Result<(), Failure> {
        for _ in 0..count {
            self.start_node()?;
        }
        for node in &self.nodes {
            if !node.wait_until_ready() {
                return Err(format!("{} is not ready", node.name).into());
            }
        }
        self.record.line(&format!("{count} nodes are ready"));
        Ok(())
    }

    /// Writes a desired state with the routes and services, each a list of JSON objects.
    pub fn configure(&self, version: u64, routes: &str, services: &str) {
        let config = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}},\
             \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"]}}]}}"
        );
        self.store.put("op", "config", &config);
    }

    /// A client attempt with an id of its own.
    pub fn call(&self, method: &'static str, host: &str, target: &str, deadline_ms: u64) -> Call {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let headers = [
            ("X-Request-Id", format!("{number:016x}")),
            ("X-Deadline-Ms", deadline_ms.to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ];
        Call {
            method,
            host: host.to_owned(),
            target: target.to_owned(),
            headers: headers
                .map(|(name, value)| (name.to_owned(), value))
                .to_vec(),
            body: Vec::new(),
        }
    }

    /// Sends a client attempt to a node on a channel of its own, and records it.
    pub fn send(&self, node: usize, call: &Call, limit: Duration) -> Answer {
        let id = &call.headers[0].1;
        let name = &self.nodes[node].name;
        let (method, host, target) = (call.method, &call.host, &call.target);
        self.record
            .line(&format!("sent {id} to {name}: {method} {host}{target}"));
        let answer = http::send(self.nodes[node].front, call, limit);
        self.record.line(&format!(
            "answered {id}: status {} complete {} after {} ms, Retry-After {:?}",
            answer.status,
            answer.is_complete,
            answer.took.as_millis(),
            answer.header("retry-after")
        ));
        answer
    }

    /// Fails if a node process has ended.
    pub fn check_nodes(&mut self) -> Result<(), Failure> {
        for node in &mut self.nodes {
            if !node.is_running() {
                return Err(format!("{} has ended", node.name).into());
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            // What is left in the temporary folder does no harm.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Whether processes have as many descriptors as on the users' machines.
pub fn has_many_descriptors() -> bool {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|it| it.starts_with("Max open files"));
    let soft = line.and_then(|it| it.split_whitespace().nth(3));
    let soft: Option<u64> = soft.and_then(|it| it.parse().ok());
    soft.is_some_and(|it| it >= 8_000)
}

/// A route of one service, as a JSON object.
pub fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> String {
    let attempts = if kind == "idempotent" { 2 } else { 1 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"timeout_ms\":2500,\"goal_ms\":150,\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":{attempts}}}"
    )
}

/// A route of streams to model replicas, as a JSON object.
pub fn stream_route(name: &str, host: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"type\":\"stream\",\
         \"timeout_ms\":20000,\"goal_ms\":1900,\"gap_aim_ms\":500,\"priority\":2,\
         \"service\":\"{service}\",\"attempts\":1,\"sticky\":true}}"
    )
}

/// A service of model replicas, as a JSON object.
pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":370,\
         \"engine\":{{\"slots\":64,\"kv_cap_tokens\":396208}}}}"
    )
}

/// A service of plain replicas, as a JSON object.
pub fn service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110}}")
}
