//! Requests that must not be run: each has its own answer.

use std::time::Duration;

use platform_standin::site::API_KEY;
use platform_standin::site::Site;
use platform_standin::store::Mode;

use crate::fixture::Fixture;
use crate::fixture::Node;
use platform_standin::client;

async fn check(target: &str, headers: &[&str], body: &[u8], status: u16) {
    let fixture = Fixture::start(1).await;
    let mut all = vec!["x-request-id: r1"];
    all.extend(headers);
    let answer = client::send_request(fixture.nodes[0].front, target, &all, body).await;
    assert_eq!(answer.status, status, "{}", answer.head);
    assert!(fixture.runs("r1").is_empty());
}

macro_rules! cases {
    ($($name:ident: $target:expr, $headers:expr, $body:expr => $status:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                check($target, &$headers, &$body, $status).await;
            }
        )*
    };
}

fn key() -> &'static str {
    // The stand-in's only key.
    const { assert!(matches!(API_KEY.as_bytes(), b"key-1")) };
    "authorization: Bearer key-1"
}

cases! {
    an_unknown_path: "GET /none/1", [key()], [] => 404;
    no_key: "GET /read/1", [], [] => 401;
    an_unknown_key: "GET /read/1", ["authorization: Bearer none"], [] => 401;
    a_key_of_another_scheme: "GET /read/1", ["authorization: Basic key-1"], [] => 401;
    a_large_header: "GET /read/1", [key(), &format!("x-large: {}", "a".repeat(17_000))], [] => 431;
    a_large_body: "POST /post/1", [key()], vec![b'a'; 100_001] => 413;
}

#[tokio::test]
async fn nothing_is_known_before_the_first_configuration() {
    let site = Site::start().await.expect("a site");
    site.store.set_mode(Mode::Busy);
    let node = Node::start("n0", "a", site.store_address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!node.is_ready().await);
    let answer = client::send_request(node.front, "GET /none/1", &[key()], b"").await;
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "));
}
