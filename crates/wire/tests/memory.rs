//! Memory use of the QUIC connections between instances.
//!
//! The test has a binary of its own because it measures the whole process.

use std::path::PathBuf;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::peer::Handler;
use wire::peer::Peer;
use wire::quic::Client;
use wire::quic::Server;

const CONNECTIONS: u64 = 64;
/// An instance has 128 MB of memory and, in a deployment of 350 instances, at most two connections
/// to each of the others.
const CONNECTION_END_BYTES_MAX: u64 = 128_000_000 / 700;
const PAGE_BYTES: u64 = 4_096;

struct DoneHandler;

impl Handler for DoneHandler {
    fn handle(&self, _request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            // Fails only if the client has disconnected.
            let _ = replies.send(Reply::Done).await;
        })
    }
}

fn identity() -> wire::tls::Identity {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("memory");
    let tls = wire::tls::generate_files(&dir).expect("generated certificates");
    wire::tls::load(&tls).expect("loaded certificates")
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("readable /proc/self/statm");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.expect("number of resident pages") * PAGE_BYTES
}

/// Instances that start together connect to all others. When each connection reserved state for
/// too many streams, instances with little memory ran out of it (ccfao-fees-grown trouble-2).
#[tokio::test]
async fn a_connection_holds_little_memory() {
    let local = "127.0.0.1:0".parse().expect("valid address");
    let identity = identity();
    let server = Server::bind(&identity, local).expect("bound server");
    let to = server.address().expect("server address");
    tokio::spawn(async move { server.serve(Arc::new(DoneHandler)).await });
    let mut clients = Vec::new();
    let mut baseline = 0;
    for idx in 0..=CONNECTIONS {
        let client = Client::new(&identity, local).expect("bound client");
        let mut replies = Peer::open(&client, to, Request::Ping)
            .await
            .expect("open stream");
        replies.next().await.expect("reply");
        clients.push(client);
        if idx == 0 {
            baseline = resident_bytes();
        }
    }
    let connection_bytes = resident_bytes().saturating_sub(baseline);
    let bytes_per_end = connection_bytes / (2 * CONNECTIONS);
    assert!(
        bytes_per_end < CONNECTION_END_BYTES_MAX,
        "{bytes_per_end} bytes at each end of a connection"
    );
}
