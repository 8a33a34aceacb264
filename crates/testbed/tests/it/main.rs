//! Tests with real processes on loopback addresses: invalid requests, signals and the operators'
//! client.
//!
//! The programs must have been built: `cargo build --workspace --bins`. `cargo xtask ci` does so.

mod bad_input;
mod operators;
mod signals;

use std::path::Path;
use std::path::PathBuf;
use std::sync::OnceLock;

use testbed::Cluster;
use tokio::sync::Mutex;

/// Held by each test, so that only one deployment runs at a time: on a slow machine several would
/// exceed the timeouts.
fn cluster_lock() -> &'static Mutex<()> {
    static LOCK: OnceLock<Mutex<()>> = OnceLock::new();
    LOCK.get_or_init(Mutex::default)
}

/// Starts the deployment of `examples/office.yaml` and applies its configuration.
async fn start(name: &str) -> Cluster {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let bin = Path::new(env!("CARGO_TARGET_TMPDIR")).join("../debug");
    let example = root.join("examples/office.yaml");
    let cluster = Cluster::start(&bin, &dir, &example).await;
    let cluster = cluster.expect("the deployment starts; build the binaries first");
    cluster.apply().expect("the example is accepted");
    cluster
}

/// Like [`start`], and waits until every upstream has an owner that no longer counts calls of
/// previous owners as in flight.
async fn start_ready(name: &str) -> Cluster {
    let cluster = start(name).await;
    let ready = cluster.wait_for_upstreams().await;
    ready.expect("upstreams are ready");
    cluster
}
