//! QUIC transport: requests over mutual TLS.

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

struct DoneHandler;

impl Handler for DoneHandler {
    fn handle(&self, _request: Request, replies: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let _ = replies.send(Reply::Done).await;
        })
    }
}

fn identity(name: &str) -> wire::tls::Identity {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let tls = wire::tls::generate_files(&dir).expect("generated certificates");
    wire::tls::load(&tls).expect("loaded certificates")
}

async fn request_status(
    client_identity: &wire::tls::Identity,
    server_identity: &wire::tls::Identity,
) -> Result<Reply, peer::Error> {
    let ephemeral: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    let server = Arc::new(Server::bind(server_identity, ephemeral).expect("bound server"));
    let address = server.address().expect("server address");
    let server_clone = server.clone();
    tokio::spawn(async move { server_clone.serve(Arc::new(DoneHandler)).await });
    let client = Client::new(client_identity, ephemeral).expect("bound client");
    peer::request(&client, address, Request::Status).await
}

#[tokio::test]
async fn peer_with_certificate_of_the_same_authority_gets_a_reply() {
    let identity = identity("same");
    assert_eq!(request_status(&identity, &identity).await, Ok(Reply::Done));
}

#[tokio::test]
async fn peer_with_certificate_of_another_authority_gets_no_reply() {
    let reply = request_status(&identity("stranger"), &identity("own")).await;
    assert!(reply.is_err(), "{reply:?}");
}
