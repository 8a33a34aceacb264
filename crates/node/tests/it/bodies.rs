//! Bodies of requests: what clients send is bounded by the memory of the instance.

use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::fixture::Fixture;

/// Time in which the nodes have read a new row.
const FEED_DELAY: Duration = Duration::from_millis(100);
/// Memory of an instance whose settings state none, in bytes.
const MEMORY: usize = 160 * 1024 * 1024;

/// Puts a configuration with `limits` in force.
async fn configure(fixture: &Fixture, limits: Value) {
    let row = fixture.site.store.row("op", "config");
    let mut config: Value = serde_json::from_slice(&row.expect("a configuration")).expect("JSON");
    config["version"] = json!(2);
    config["limits"] = limits;
    let text = config.to_string();
    fixture.site.store.put("op", "config", text.as_bytes());
    tokio::time::sleep(FEED_DELAY).await;
}

/// Sends the head of a request with a body of `length` bytes and `sent` of these; the connection
/// stays open.
async fn begin(fixture: &Fixture, length: u64, sent: usize) -> TcpStream {
    let address = fixture.nodes[0].client_address;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /post/1 HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: r1\r\nx-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    // Fails if the node has refused the request already.
    let _ = stream.write_all(&vec![b'a'; sent]).await;
    stream
}

/// What the node has answered after `time`; empty if nothing.
async fn answer(stream: &mut TcpStream, time: Duration) -> String {
    let mut bytes = vec![0; 4_096];
    match tokio::time::timeout(time, stream.read(&mut bytes)).await {
        Ok(Ok(size)) => String::from_utf8_lossy(&bytes[..size]).to_ascii_lowercase(),
        _ => String::new(),
    }
}

/// Guards against memory that is set aside for the length that a client states: a single request
/// ended the task or, with lengths that the allocator refuses, the process.
#[tokio::test]
async fn a_stated_length_beyond_memory_is_refused() {
    let fixture = Fixture::start(1).await;
    for limits in [
        Value::Null,
        json!({"max_header_bytes": 16_384, "max_body_bytes": u64::MAX,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}),
    ] {
        configure(&fixture, limits).await;
        let mut stream = begin(&fixture, i64::MAX as u64 - 1, 0).await;
        let answer = answer(&mut stream, Duration::from_secs(2)).await;
        assert!(answer.starts_with("http/1.1 413"), "{answer:?}");
    }
    assert!(fixture.runs("r1").is_empty());
}

/// Guards against bodies that together exceed the memory of the instance, each within the limit of
/// the configuration.
#[tokio::test]
async fn bodies_of_many_clients_stay_within_memory() {
    let fixture = Fixture::start(1).await;
    configure(
        &fixture,
        json!({"max_header_bytes": 16_384, "max_body_bytes": 8_000_000,
            "header_timeout_ms": 30_000, "idle_timeout_ms": 30_000}),
    )
    .await;
    let (length, sent) = (4_000_000, 3_900_000);
    let mut clients = JoinSet::new();
    let fixture = std::sync::Arc::new(fixture);
    for _ in 0..64 {
        let fixture = fixture.clone();
        clients.spawn(async move {
            let mut stream = begin(&fixture, length, sent).await;
            let answer = answer(&mut stream, Duration::from_secs(5)).await;
            (stream, answer)
        });
    }
    let answers = clients.join_all().await;
    let held = answers.iter().filter(|it| it.1.is_empty()).count();
    assert!(held * sent <= MEMORY / 4, "{held} bodies are held");
    assert!(held > 0);
    for (_, answer) in answers.iter().filter(|it| !it.1.is_empty()) {
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
    }
    let key = format!("authorization: Bearer {API_KEY}");
    let address = fixture.nodes[0].client_address;
    let headers = ["x-request-id: r2", &key];
    let response = client::send_request(address, "GET /read/1", &headers, b"").await;
    assert_eq!(response.status, 200, "{}", response.head);
    assert!(fixture.runs("r1").is_empty());
}
