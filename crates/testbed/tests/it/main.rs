//! Real processes on loopback: bad input, signals and the operators' client.
//!
//! The daemons must have been built: `cargo build --workspace --bins`. `cargo xtask ci` does so.

mod bad_input;
mod operators;
mod signals;

use std::path::Path;
use std::path::PathBuf;
use std::sync::OnceLock;

use testbed::Cluster;
use tokio::sync::Mutex;

/// One deployment at a time, so that a slow machine does not turn into a failed test.
fn turn() -> &'static Mutex<()> {
    static TURN: OnceLock<Mutex<()>> = OnceLock::new();
    TURN.get_or_init(Mutex::default)
}

/// Starts the Office's example with its configuration in force.
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

/// Like [`start`], and waits until no upstream waits for the calls of an unknown earlier owner.
async fn start_ready(name: &str) -> Cluster {
    let cluster = start(name).await;
    let ready = cluster.wait_for_upstreams().await;
    ready.expect("upstreams are ready");
    cluster
}
