//! Upstreams that send bytes without end to a process whose memory is limited.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::MEMORY_MB;
use crate::programs;

/// Clients that send one request after the other.
const CLIENTS: usize = 900;
/// For how long they do.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Interval at which the memory of the process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;
const BYTES_PER_MB: f64 = 1e6;

async fn send(address: SocketAddr, target: &str, id: &str) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let headers = [
        key.as_str(),
        "host: site.example",
        id.as_str(),
        "x-deadline-ms: 3000",
        "x-model: m",
        "x-token-count: 30,6",
        "x-prompt-prefix: aa:10,bb:20",
        "x-chunks: 2",
        "x-chunk-key: k",
    ];
    client::send_request(address, target, &headers, b"")
        .await
        .status
}

async fn send_for(address: SocketAddr, time: Duration, client: usize) {
    let targets = [
        "POST /post/1",
        "POST /draft/1",
        "GET /read/1",
        "POST /summary/1",
    ];
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() >= time {
            return;
        }
        let target = targets[(client + number) % targets.len()];
        send(address, target, &format!("{client}-{number}")).await;
    }
}

async fn check(fault: Fault) {
    // Together the cases would need more descriptors than a process may have.
    static TURN: Mutex<()> = Mutex::const_new(());
    let _turn = TURN.lock().await;
    let mut deployment = Deployment::start("endless").await;
    deployment.add("n0", &programs::current()).await;
    let instance = &mut deployment.instances[0];
    let address = instance.client_address;
    for upstream in &deployment.site.upstreams {
        upstream.0.set_fault(fault, None);
    }
    let load = join_all((0..CLIENTS).map(|it| send_for(address, LOAD_TIME, it)));
    let mut peak_mib: f64 = 0.0;
    let sample = async {
        let start = Instant::now();
        while start.elapsed() < LOAD_TIME && !instance.daemon.has_exited() {
            let usage = instance.daemon.usage().expect("a process");
            peak_mib = peak_mib.max(usage.max_rss_mib);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    };
    tokio::join!(load, sample);
    assert!(!instance.daemon.has_exited(), "the process has ended");
    let peak_mb = peak_mib * BYTES_PER_MIB / BYTES_PER_MB;
    println!("{fault}: {peak_mb:.0} MB");
    assert!(
        peak_mb < f64::from(MEMORY_MB),
        "{peak_mb:.0} MB of {MEMORY_MB}"
    );
    for upstream in &deployment.site.upstreams {
        upstream.0.set_fault(Fault::None, None);
    }
    assert_eq!(send(address, "GET /read/1", "last").await, 200);
}

macro_rules! cases {
    ($($name:ident: $fault:ident;)*) => {
        $(
            /// Guards against a process that keeps what faulty upstreams send without end, for
            /// hundreds of requests at once, until its memory runs out.
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check(Fault::$fault).await;
            }
        )*
    };
}

cases! {
    many_endless_heads_end_no_process: EndlessHead;
    many_endless_interim_answers_end_no_process: EndlessInterim;
    much_endless_noise_ends_no_process: EndlessNoise;
    many_endless_bodies_end_no_process: EndlessBody;
    many_endless_unframed_bodies_end_no_process: EndlessUnframed;
    many_endless_refusals_end_no_process: EndlessRefusal;
    many_endless_trailers_end_no_process: EndlessTrailers;
    many_endless_chunk_extensions_end_no_process: EndlessExtension;
}
