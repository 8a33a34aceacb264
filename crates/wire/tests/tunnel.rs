//! Tunnels to an upstream through another process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use futures_util::future::BoxFuture;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::peer::Handler;
use wire::quic::Client;
use wire::quic::Server;
use wire::tunnel;
use wire::tunnel::Answer;
use wire::tunnel::Tunnel;

/// Bound on everything that has to happen on loopback.
const TIMEOUT: Duration = Duration::from_secs(5);
/// More than the windows of a stream and of a connection hold.
const MANY_BYTES: usize = 24 * 1024 * 1024;

/// Connects all tunnels to one address.
struct Helper(SocketAddr);

impl Handler for Helper {
    fn handle(&self, _: Request, _: mpsc::Sender<Reply>) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn carry(&self, tunnel: tunnel::Incoming) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            match TcpStream::connect(self.0).await {
                Ok(upstream) => tunnel.carry(upstream).await,
                Err(_) => tunnel.refuse(Answer::Unreachable).await,
            }
        })
    }
}

struct Fixture {
    listener: TcpListener,
    client: Client,
    server: Arc<Server>,
    helper: SocketAddr,
}

impl Fixture {
    async fn start(name: &str) -> Fixture {
        let ephemeral: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let tls = wire::tls::generate_files(&dir).expect("generated certificates");
        let identity = wire::tls::load(&tls).expect("loaded certificates");
        let listener = TcpListener::bind(ephemeral).await.expect("a port");
        let upstream = listener.local_addr().expect("an address");
        let server = Arc::new(Server::bind(&identity, ephemeral).expect("bound server"));
        let helper = server.address().expect("server address");
        let serving = server.clone();
        tokio::spawn(async move { serving.serve(Arc::new(Helper(upstream))).await });
        let client = Client::new(&identity, ephemeral).expect("bound client");
        Fixture {
            listener,
            client,
            server,
            helper,
        }
    }

    async fn ask(&self) -> Result<Tunnel, Answer> {
        let upstream: id::Incarnation = "u@1".parse().expect("a valid incarnation");
        let open = tunnel::Open { upstream };
        let opened = self.client.open_tunnel(self.helper, open).await;
        opened.expect("an answer of the helper")
    }

    /// Both ends of an open tunnel.
    async fn open(&self) -> (Tunnel, TcpStream) {
        let (tunnel, accepted) = tokio::join!(self.ask(), self.listener.accept());
        (tunnel.expect("a tunnel"), accepted.expect("a connection").0)
    }
}

async fn within<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(TIMEOUT, future).await;
    result.expect("an end within the time limit")
}

#[tokio::test]
async fn bytes_pass_both_ways_to_their_end() {
    let fixture = Fixture::start("both-ways").await;
    let (mut tunnel, mut upstream) = fixture.open().await;
    within(tunnel.write_all(b"request")).await.expect("sent");
    let mut request = [0; 7];
    within(upstream.read_exact(&mut request))
        .await
        .expect("read");
    assert_eq!(&request, b"request");
    within(upstream.write_all(b"response")).await.expect("sent");
    drop(upstream);
    let mut response = Vec::new();
    within(tunnel.read_to_end(&mut response))
        .await
        .expect("an orderly end");
    assert_eq!(response, b"response");
}

/// Guards against taking a response without a length for complete when its connection broke.
#[tokio::test]
async fn a_reset_of_the_upstream_is_an_error() {
    let fixture = Fixture::start("reset").await;
    let (mut tunnel, mut upstream) = fixture.open().await;
    within(upstream.write_all(b"half")).await.expect("sent");
    let mut half = [0; 4];
    within(tunnel.read_exact(&mut half)).await.expect("read");
    upstream.set_zero_linger().expect("an open socket");
    drop(upstream);
    let mut rest = Vec::new();
    assert!(within(tunnel.read_to_end(&mut rest)).await.is_err());
}

/// Guards against upstreams that work on for clients that have left.
#[tokio::test]
async fn a_dropped_tunnel_closes_the_connection_of_the_upstream() {
    let fixture = Fixture::start("dropped").await;
    let (tunnel, mut upstream) = fixture.open().await;
    drop(tunnel);
    let mut byte = [0; 1];
    let read = within(upstream.read(&mut byte)).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

#[tokio::test]
async fn a_lost_helper_breaks_the_tunnel() {
    let fixture = Fixture::start("lost-helper").await;
    let (mut tunnel, _upstream) = fixture.open().await;
    fixture.server.close().await;
    let mut byte = [0; 1];
    assert!(within(tunnel.read(&mut byte)).await.is_err());
}

#[tokio::test]
async fn an_upstream_that_the_helper_does_not_reach_is_reported() {
    let mut fixture = Fixture::start("unreachable").await;
    fixture.listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    assert_eq!(within(fixture.ask()).await.err(), Some(Answer::Unreachable));
}

/// Guards against answers that a helper keeps in memory for a client that does not read them.
#[tokio::test]
async fn an_upstream_waits_for_a_reader_that_is_slow() {
    let fixture = Fixture::start("slow").await;
    let (mut tunnel, mut upstream) = fixture.open().await;
    let sent = tokio::spawn(async move {
        let bytes = vec![7; MANY_BYTES];
        let _ = upstream.write_all(&bytes).await;
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!sent.is_finished());
    let mut received = Vec::new();
    let end = tokio::time::timeout(4 * TIMEOUT, tunnel.read_to_end(&mut received)).await;
    end.expect("an end within the time limit")
        .expect("an orderly end");
    assert_eq!(received.len(), MANY_BYTES);
}
