//! A process that stands still while the deployment changes.

use std::time::Duration;

use futures_util::future::join_all;
use platform_standin::download::Download;
use platform_standin::site::EVENTS_PER_STREAM;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::programs;

/// Software version that is released while the process stands still.
const NEW_VERSION: &str = "v2";
const ENGINES: usize = 4;
const STREAMS: usize = 16;
/// Events after which a client loses its connection.
const EVENTS_BEFORE_BREAK: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(10);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a stream that is taken up at an instance which has stood still while a software
/// version was released, and that goes on there at the only version that it knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_taken_up_after_a_standstill_is_not_joined() {
    let current = programs::current();
    let mut deployment = Deployment::start("standstill").await;
    for idx in 0..3 {
        deployment.add(&format!("n{idx}"), &current).await;
    }
    let address = |idx: usize| deployment.instances[idx].client_address;
    let addresses = [address(0), address(1), address(2)];
    let still = &deployment.instances[2].daemon;
    still.signal(Signal::STOP).expect("a process");
    for _ in 0..ENGINES {
        let site = &mut deployment.site;
        let added = site.add_version("engine", EVENTS_PER_STREAM, SERVICE_TIME, NEW_VERSION);
        added.await.expect("a port");
    }
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let mut streams = Vec::new();
    for idx in 0.. {
        let mut stream = Download::new("summary", &format!("s{idx}"));
        stream
            .attempt(addresses[idx % 2], EVENTS_BEFORE_BREAK)
            .await;
        if stream.first_version() == NEW_VERSION {
            streams.push(stream);
        }
        if streams.len() == STREAMS {
            break;
        }
        assert!(Instant::now() < deadline, "{} streams", streams.len());
    }
    let still = &deployment.instances[2].daemon;
    still.signal(Signal::CONT).expect("a process");
    let attempts = streams.iter_mut();
    join_all(attempts.map(|it| it.attempt(addresses[2], usize::MAX))).await;
    let joined = streams.iter().filter(|it| it.versions().len() > 1).count();
    assert_eq!(joined, 0, "of {STREAMS} streams");
}
