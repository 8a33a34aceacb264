//! A site and the processes that serve its clients.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use platform_standin::client;
use platform_standin::site;
use platform_standin::site::RetryLimit;
use platform_standin::site::Site;
use testbed::process::Daemon;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::programs;

/// Memory of an instance in MB; one that exceeds it is ended.
pub(crate) const MEMORY_MB: u32 = 160;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process of one of the builds.
pub(crate) struct Instance {
    pub(crate) settings: PathBuf,
    pub(crate) daemon: Daemon,
    pub(crate) client_address: SocketAddr,
    pub(crate) load: Option<JoinHandle<Vec<String>>>,
    pub(crate) stop_load: Arc<tokio::sync::Notify>,
}

/// A site, and where its processes keep their files.
pub(crate) struct Deployment {
    pub(crate) site: Site,
    pub(crate) dir: PathBuf,
    pub(crate) config_version: u64,
    pub(crate) instances: Vec<Instance>,
}

impl Deployment {
    pub(crate) async fn start(name: &str) -> Deployment {
        let dir = programs::target_dir().join("upgrade").join(name);
        std::fs::create_dir_all(&dir).expect("a directory");
        Deployment {
            site: Site::start().await.expect("ports for the site"),
            dir,
            config_version: 1,
            instances: Vec::new(),
        }
    }

    /// Starts a process of `program` under the name `name` and waits until it serves.
    pub(crate) async fn run(&self, name: &str, program: &Path, store: SocketAddr) -> Instance {
        let ports = site::reserve_ports().expect("ports");
        let settings = site::settings(name, "a", store, ports, RetryLimit::AMPLE);
        // The users' time for a stop, in which every stream can end, and their smallest instances.
        let settings = settings.replace("grace_s: 4", "grace_s: 8");
        let memory = format!("limits:\n  ram_mb: {MEMORY_MB}\n");
        let settings = settings.replace("limits:\n", &memory);
        // The users' descriptors, with which all clients of a test have room.
        let settings = settings.replace("max_fds: 1000", "max_fds: 4100");
        let path = self.dir.join(format!("{name}-{}.yaml", ports[0]));
        std::fs::write(&path, settings).expect("a file");
        let daemon = Daemon::start(&format!("{name}-{}", ports[0]), program, &path, &self.dir);
        let client_address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let ready_address = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let response = client::send_request(ready_address, "GET /api/readyz", &[], b"").await;
            if response.status == 200 {
                break;
            }
            assert!(Instant::now() < deadline, "{name} is not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Instance {
            settings: path,
            daemon: daemon.expect("a process"),
            client_address,
            load: None,
            stop_load: Arc::default(),
        }
    }

    pub(crate) async fn add(&mut self, name: &str, program: &Path) {
        let instance = self.run(name, program, self.site.store_address).await;
        self.instances.push(instance);
    }
}
