//! The process under test, with low limits, and its site.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use platform_standin::client;
use platform_standin::server;
use platform_standin::site;
use platform_standin::site::RetryLimit;
use platform_standin::site::Site;
use serde_json::json;
use testbed::process::Daemon;
use tokio::time::Instant;

use crate::crowd::Door;
use crate::programs;
use crate::readers::LongUpstream;

/// Memory of the instance in MB.
const MEMORY_MB: u64 = 64;
/// The same in bytes.
pub(crate) const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;
/// Descriptors of the instance.
const DESCRIPTORS_MAX: usize = 400;
/// Descriptors that are reserved for files; sockets and pipes share the rest.
const FILE_DESCRIPTORS: usize = 200;
/// Sockets and pipes that the instance may have.
pub(crate) const SOCKETS_MAX: usize = DESCRIPTORS_MAX - FILE_DESCRIPTORS;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process.
pub(crate) struct Target {
    pub(crate) daemon: Daemon,
    ports: [u16; 4],
    _site: Site,
}

impl Target {
    pub(crate) async fn start() -> Target {
        let dir = programs::target_dir().join("crowds");
        std::fs::create_dir_all(&dir).expect("a directory");
        let site = Site::start().await.expect("ports for the site");
        for service in ["ledger", "engine"] {
            let name = format!("long-{service}");
            let upstream = Arc::new(LongUpstream(name.clone()));
            let (listener, address) = server::bind().await.expect("a port");
            tokio::spawn(server::serve(listener, upstream));
            let row = json!({
                "service": service, "address": address.to_string(), "zone": "a",
                "version": "v1", "slots": 64, "phase": "ready", "cold_left_ms": 0, "call_seq": 1,
            });
            site.store.put("servers", &name, row.to_string().as_bytes());
        }
        // Only the upstreams with long answers are left of these services.
        for (idx, (_, service, _)) in site.upstreams.iter().enumerate() {
            if service != "steps" {
                site.deregister(idx);
            }
        }
        let ports = site::reserve_ports().expect("ports");
        let settings = site::settings("n0", "a", site.store_address, ports, RetryLimit::AMPLE);
        let limits = format!("limits:\n  ram_mb: {MEMORY_MB}\n");
        let settings = settings.replace("limits:\n", &limits);
        let descriptors = format!("max_fds: {DESCRIPTORS_MAX}\n");
        let settings = settings.replace("max_fds: 1000\n", &descriptors);
        let path = dir.join(format!("n0-{}.yaml", ports[0]));
        std::fs::write(&path, settings).expect("a file");
        let name = format!("n0-{}", ports[0]);
        let daemon = Daemon::start(&name, &programs::current(), &path, &dir);
        let target = Target {
            daemon: daemon.expect("a process"),
            ports,
            _site: site,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        let ready = target.address(Door::Readiness);
        while client::send_request(ready, "GET /api/readyz", &[], b"")
            .await
            .status
            != 200
        {
            assert!(Instant::now() < deadline, "not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        target
    }

    pub(crate) fn address(&self, door: Door) -> SocketAddr {
        let [clients, readiness, control, metrics] = self.ports;
        let port = match door {
            Door::Clients => clients,
            Door::Readiness => readiness,
            Door::Control => control,
            Door::Metrics => metrics,
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}
