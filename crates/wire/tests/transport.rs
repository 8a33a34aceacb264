//! The QUIC transport: mutual TLS and ends of streams.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::peer;
use wire::peer::Handler;
use wire::quic::Client;
use wire::quic::Server;

struct Echo;

impl Handler for Echo {
    fn handle(&self, _request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let _ = replies.send(Reply::Done).await;
        })
    }
}

fn identity(name: &str) -> wire::tls::Identity {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let tls = wire::tls::generate_files(&dir).expect("keys are made");
    wire::tls::load(&tls).expect("keys are read")
}

async fn ask(
    client_identity: &wire::tls::Identity,
    server_identity: &wire::tls::Identity,
) -> Result<Reply, peer::Error> {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let server = Arc::new(Server::bind(server_identity, any).expect("the server binds"));
    let address = server.address().expect("a bound server has an address");
    let serving = server.clone();
    tokio::spawn(async move { serving.serve(Arc::new(Echo)).await });
    let client = Client::new(client_identity, any).expect("the client binds");
    peer::request(&client, address, Request::Status).await
}

#[tokio::test]
async fn a_peer_of_the_same_authority_is_answered() {
    let identity = identity("same");
    assert_eq!(ask(&identity, &identity).await, Ok(Reply::Done));
}

#[tokio::test]
async fn a_peer_without_a_valid_certificate_gets_no_answer() {
    let reply = ask(&identity("stranger"), &identity("own")).await;
    assert!(reply.is_err(), "{reply:?}");
}
