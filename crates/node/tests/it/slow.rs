//! Clients that take their time: with the head of a request, its body, or reading the response.

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Time in which the nodes have read a new row.
const FEED_DELAY: Duration = Duration::from_millis(100);
/// Limit of the configuration on the time for a head.
const HEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of the configuration on the idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a limit within which the node acts.
const SLACK: Duration = Duration::from_millis(1_000);

/// A node under the limits.
async fn start() -> Fixture {
    let fixture = Fixture::start(1).await;
    let row = fixture.site.store.row("op", "config");
    let mut config: Value = serde_json::from_slice(&row.expect("a configuration")).expect("JSON");
    config["version"] = json!(2);
    config["limits"]["header_timeout_ms"] = json!(HEADER_TIMEOUT.as_millis() as u64);
    config["limits"]["idle_timeout_ms"] = json!(IDLE_TIMEOUT.as_millis() as u64);
    let text = config.to_string();
    fixture.site.store.put("op", "config", text.as_bytes());
    tokio::time::sleep(FEED_DELAY).await;
    fixture
}

fn head(target: &str, id: &str, more: &str) -> String {
    format!(
        "{target} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: {id}\r\n{more}\r\n"
    )
}

/// Sends `text` on a new connection.
async fn begin(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("sent");
    stream
}

/// Reads one response without a body, or the beginning of one.
async fn read_some(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let size = stream.read(&mut bytes).await.expect("a response");
    String::from_utf8_lossy(&bytes[..size]).to_ascii_lowercase()
}

/// Time until the node closes the connection; `None` if it does not within `time`.
async fn closed_after(stream: &mut TcpStream, time: Duration) -> Option<Duration> {
    let start = Instant::now();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(time, stream.read_to_end(&mut rest)).await;
    closed.ok().map(|_| start.elapsed())
}

/// Guards against connections of clients that stay open for good, until no file descriptor is left.
#[tokio::test]
async fn an_idle_connection_is_closed() {
    let fixture = start().await;
    let address = fixture.nodes[0].client_address;
    let mut stream = begin(address, &head("GET /read/1", "r1", "")).await;
    assert!(read_some(&mut stream).await.starts_with("http/1.1 200"));
    // Clients use a connection again within four fifths of the limit.
    let closed = closed_after(&mut stream, IDLE_TIMEOUT + SLACK).await;
    let closed = closed.expect("a closed connection");
    assert!(closed >= IDLE_TIMEOUT * 4 / 5, "closed after {closed:?}");
}

/// Guards against the same by clients that send nothing at all.
#[tokio::test]
async fn a_connection_without_a_request_is_closed() {
    let fixture = start().await;
    let mut stream = begin(fixture.nodes[0].client_address, "").await;
    let closed = closed_after(&mut stream, IDLE_TIMEOUT + SLACK).await;
    assert!(closed.is_some(), "still open");
}

/// Guards against the same by clients that never end a head.
#[tokio::test]
async fn a_slow_head_is_cut_off() {
    let fixture = start().await;
    let address = fixture.nodes[0].client_address;
    let mut stream = begin(address, "GET /read/1 HTTP/1.1\r\nhost: si").await;
    let closed = closed_after(&mut stream, HEADER_TIMEOUT + SLACK).await;
    assert!(closed.is_some(), "still open");
}

/// Guards against a connection that is closed as idle while its request is served: the response
/// begins after the idle limit.
#[tokio::test]
async fn a_connection_with_a_request_is_not_idle() {
    let fixture = start().await;
    fixture.set_fault("ledger", Fault::Silent, None);
    let address = fixture.nodes[0].client_address;
    let request = head("POST /post/1", "r1", "content-length: 0\r\n");
    let mut stream = begin(address, &request).await;
    let start = Instant::now();
    assert!(read_some(&mut stream).await.starts_with("http/1.1 504"));
    assert!(start.elapsed() > IDLE_TIMEOUT, "{:?}", start.elapsed());
}

/// Guards against a body that trickles in for longer than the client waits for the response.
#[tokio::test]
async fn a_trickling_body_ends_at_the_deadline() {
    let fixture = start().await;
    let address = fixture.nodes[0].client_address;
    let request = head(
        "POST /post/1",
        "r1",
        "x-deadline-ms: 1000\r\ncontent-length: 90000\r\n",
    );
    let stream = begin(address, &request).await;
    let start = Instant::now();
    let (mut reader, mut writer) = stream.into_split();
    let trickle = tokio::spawn(async move {
        while writer.write_all(b"a").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let mut bytes = vec![0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(3), reader.read(&mut bytes)).await;
    let size = read.expect("a response in time").expect("a response");
    trickle.abort();
    let text = String::from_utf8_lossy(&bytes[..size]).to_ascii_lowercase();
    assert!(text.starts_with("http/1.1 408"), "{text}");
    assert!(
        start.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        start.elapsed()
    );
    assert!(fixture.runs("r1").is_empty());
}

/// Guards against a client that reads nothing and so holds a stream, and its engine, for longer than
/// it waits for the response.
#[tokio::test]
async fn a_stream_that_nobody_reads_ends_at_the_deadline() {
    let fixture = start().await;
    fixture.set_fault("engine", Fault::Trickle, None);
    let address = fixture.nodes[0].client_address;
    let more = "x-deadline-ms: 1500\r\nx-model: m\r\nx-token-count: 30,6\r\nx-prompt-prefix: a:10,b:20\r\n";
    let stream = begin(address, &head("POST /summary/1", "r1", more)).await;
    eventually("a run", Duration::from_secs(2), || async {
        !fixture.runs("r1").is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The node has let go of the stream, though the client still has its connection: a stop at once.
    let mut fixture = fixture;
    let start = Instant::now();
    let mut node = fixture.nodes.remove(0);
    node.begin_shutdown();
    node.wait_for_exit().await;
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
    drop(stream);
}

/// Guards against clients that take their time and delay those that do not.
#[tokio::test]
async fn others_are_served_beside_slow_clients() {
    let fixture = start().await;
    let address = fixture.nodes[0].client_address;
    let mut slow = Vec::new();
    let body = "x-deadline-ms: 9000\r\ncontent-length: 5\r\n";
    let stalled = head("POST /post/1", "slow", body);
    for _ in 0..70 {
        for text in ["", "GET /read/1 HTTP/1.1\r\nhost: si", &stalled] {
            slow.push(begin(address, text).await);
        }
    }
    let key = format!("authorization: Bearer {API_KEY}");
    for number in 0..20 {
        let id = format!("x-request-id: r{number}");
        let start = Instant::now();
        let response = client::send_request(address, "GET /read/1", &[&key, &id], b"").await;
        assert_eq!(response.status, 200, "{}", response.head);
        assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
    }
    assert!(fixture.runs("slow").is_empty());
}

/// Guards against a connection of the load balancer that is closed between its polls, as the bytes
/// of all polls together last longer than one head may.
#[tokio::test]
async fn a_connection_for_readiness_polls_stays_open() {
    let fixture = start().await;
    let mut stream = begin(fixture.nodes[0].readiness_address, "").await;
    for _ in 0..8 {
        let poll = "GET /api/readyz HTTP/1.1\r\nhost: n0\r\n\r\n";
        stream.write_all(poll.as_bytes()).await.expect("sent");
        assert!(read_some(&mut stream).await.starts_with("http/1.1 200"));
        tokio::time::sleep(HEADER_TIMEOUT / 2).await;
    }
}
