//! Crowds of clients that keep no limits, against real processes with little memory and few
//! descriptors. The crowds run one at a time, and the checks do not depend on time.

mod crowd;
#[path = "../processes/programs.rs"]
#[expect(dead_code, reason = "shared with the other test program")]
mod programs;
mod readers;
mod target;

use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use tokio::sync::Mutex;

use crate::crowd::Behaviour;
use crate::crowd::Door;
use crate::target::MEMORY_BYTES;
use crate::target::SOCKETS_MAX;
use crate::target::Target;

/// Time after the crowd has sent, in which requests that the instance has accepted end.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which the descriptors of the process are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Plays a crowd, and checks that the process lives within its limits and serves others.
async fn check(door: Door, behaviour: Behaviour) {
    static TURN: Mutex<()> = Mutex::const_new(());
    let _turn = TURN.lock().await;
    let mut target = Target::start().await;
    let mut sockets_max = 0;
    let crowd = crowd::play(target.address(door), behaviour);
    let crowd = async {
        let connections = crowd.await;
        tokio::time::sleep(SETTLE_TIME).await;
        connections
    };
    tokio::pin!(crowd);
    let connections = loop {
        tokio::select! {
            connections = &mut crowd => break connections,
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {
                let count = target.daemon.open_sockets().unwrap_or_default();
                sockets_max = sockets_max.max(count);
            }
        }
    };
    let has_exited = target.daemon.has_exited();
    let peak = target.daemon.peak_memory().unwrap_or_default();
    let key = format!("authorization: Bearer {API_KEY}");
    let headers = [key.as_str(), "x-request-id: last", "x-deadline-ms: 2000"];
    let ordinary =
        client::send_request(target.address(Door::Clients), "GET /read/1", &headers, b"");
    let ordinary = tokio::time::timeout(SETTLE_TIME, ordinary).await;
    let status = ordinary.map(|it| it.status).unwrap_or_default();
    println!(
        "{behaviour:?} at {door:?}: {:.0} MB, {sockets_max} sockets, exited {has_exited}, \
         then {status}",
        peak as f64 / 1e6
    );
    drop(connections);
    assert!(!has_exited, "the process has ended");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes of {MEMORY_BYTES}");
    assert!(
        sockets_max <= SOCKETS_MAX,
        "{sockets_max} sockets of {SOCKETS_MAX}"
    );
    assert_eq!(status, 200, "an ordinary request");
}

macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident: $door:ident, $behaviour:ident;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check(Door::$door, Behaviour::$behaviour).await;
            }
        )*
    };
}

crowds! {
    /// Guards against keeping whole heads that are larger than the limit of the configuration.
    heads_over_the_limit_end_no_process: Clients, LargeHead;
    /// Guards against keeping heads whose one header has no end.
    heads_without_end_end_no_process: Clients, EndlessHead;
    /// Guards against keeping heads that stop before their end.
    heads_that_stop_end_no_process: Clients, HeadThatStops;
    /// Guards against keeping empty lines before a request.
    empty_lines_without_end_end_no_process: Clients, EmptyLines;
    /// Guards against keeping headers without end in number.
    headers_without_end_end_no_process: Clients, EndlessHeaders;
    /// Guards against keeping the extension of a chunk.
    chunk_extensions_without_end_end_no_process: Clients, ChunkExtension;
    /// Guards against keeping the trailers of a body.
    trailers_without_end_end_no_process: Clients, Trailers;
    /// Guards against keeping a body that states no length.
    bodies_without_length_and_end_end_no_process: Clients, EndlessBody;
    /// Guards against reserving or keeping the stated length of a body.
    bodies_of_huge_length_end_no_process: Clients, HugeBody;
    /// Guards against keeping many bodies inside the limit that stop before their end.
    bodies_that_stop_end_no_process: Clients, BodyThatStops;
    /// Guards against a bound on connections that is used up by bodies that stop, for as long as
    /// their clients want to wait.
    patient_bodies_shut_nobody_out: Clients, PatientBody;
    /// Guards against keeping requests that follow others without waiting for their answers.
    requests_without_pause_end_no_process: Clients, Pipeline;
    /// Guards against keeping long answers for clients that read nothing.
    unread_long_answers_end_no_process: Clients, UnreadAnswer;
    /// Guards against the same with streams.
    unread_streams_end_no_process: Clients, UnreadStream;
    /// Guards against connections that say nothing until no descriptor is left.
    silent_connections_end_no_process: Clients, Silence;
    /// Guards against the same at the listener for readiness polls.
    silent_connections_at_readiness_end_no_process: Readiness, Silence;
    /// Guards against the same at the listener for metrics.
    silent_connections_at_metrics_end_no_process: Metrics, Silence;
    /// Guards against keeping heads without end at the listener for readiness polls.
    heads_without_end_at_readiness_end_no_process: Readiness, HeadThatStops;
    /// Guards against the same at the listener for metrics.
    heads_without_end_at_metrics_end_no_process: Metrics, HeadThatStops;
    /// Guards against keeping handshakes that never go on at the address for other instances.
    datagrams_at_the_control_address_end_no_process: Control, Datagrams;
}
