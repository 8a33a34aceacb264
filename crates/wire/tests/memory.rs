//! Memory that connections between instances hold.
//!
//! A binary of its own: the figures are those of the whole process.

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
/// An instance has 128 MB and, among 350 of them, two connections to each other one at most.
const END_BYTES_MAX: u64 = 128_000_000 / 700;
const PAGE_BYTES: u64 = 4_096;

struct Answerer;

impl Handler for Answerer {
    fn handle(&self, _request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            // The asker may have gone.
            let _ = replies.send(Reply::Done).await;
        })
    }
}

fn identity() -> wire::tls::Identity {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("memory");
    let tls = wire::tls::generate_files(&dir).expect("keys are made");
    wire::tls::load(&tls).expect("keys are read")
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("procfs");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.expect("resident pages") * PAGE_BYTES
}

/// Instances that started together connected to all others, and small ones ran out of memory
/// (ccfao-fees-grown trouble-2).
#[tokio::test]
async fn a_connection_holds_little_memory() {
    let local = "127.0.0.1:0".parse().expect("address");
    let identity = identity();
    let server = Server::bind(&identity, local).expect("bind");
    let to = server.address().expect("bound");
    tokio::spawn(async move { server.serve(Arc::new(Answerer)).await });
    let mut clients = Vec::new();
    let mut before = 0;
    for idx in 0..=CONNECTIONS {
        let client = Client::new(&identity, local).expect("client");
        let mut replies = Peer::open(&client, to, Request::Ping).await.expect("open");
        replies.next().await.expect("an answer");
        clients.push(client);
        if idx == 0 {
            before = resident_bytes();
        }
    }
    let held = resident_bytes().saturating_sub(before);
    let each = held / (2 * CONNECTIONS);
    assert!(each < END_BYTES_MAX, "{each} bytes for each end");
}
