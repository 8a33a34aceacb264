//! Invalid requests: each is refused with its own status and does not run.

use std::time::Duration;

use platform_standin::site::API_KEY;
use platform_standin::site::Site;
use platform_standin::store::Mode;

use crate::fixture::Fixture;
use crate::fixture::Node;
use platform_standin::client;

async fn check(target: &str, headers: &[&str], body: &[u8], status: u16) {
    let fixture = Fixture::start(1).await;
    let mut all_headers = vec!["x-request-id: r1"];
    all_headers.extend(headers);
    let response =
        client::send_request(fixture.nodes[0].client_address, target, &all_headers, body).await;
    assert_eq!(response.status, status, "{}", response.head);
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

fn authorization() -> &'static str {
    // Fails to compile if the stand-in's key changes.
    const { assert!(matches!(API_KEY.as_bytes(), b"key-1")) };
    "authorization: Bearer key-1"
}

cases! {
    an_unknown_path: "GET /none/1", [authorization()], [] => 404;
    no_key: "GET /read/1", [], [] => 401;
    an_unknown_key: "GET /read/1", ["authorization: Bearer none"], [] => 401;
    a_key_of_another_scheme: "GET /read/1", ["authorization: Basic key-1"], [] => 401;
    a_large_header:
        "GET /read/1", [authorization(), &format!("x-large: {}", "a".repeat(17_000))], [] => 431;
    more_pieces_than_memory_holds:
        "POST /draft/1", [authorization(), "x-chunks: 2000000000", "x-chunk-key: k"], [] => 400;
    pieces_beyond_any_number:
        "POST /draft/1", [authorization(), "x-chunks: 99999999999999999999"], [] => 400;
    pieces_of_several_steps_whose_sum_overflows: "POST /draft/1",
        [authorization(), "x-chunks: 18446744073709551615,18446744073709551615"], [] => 400;
    a_large_body: "POST /post/1", [authorization()], vec![b'a'; 100_001] => 413;
}

#[tokio::test]
async fn a_request_before_the_first_configuration_is_refused() {
    let site = Site::start().await.expect("ports for the site");
    site.store.set_mode(Mode::Busy);
    let node = Node::start("n0", "a", site.store_address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!node.is_ready().await);
    let response =
        client::send_request(node.client_address, "GET /none/1", &[authorization()], b"").await;
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "));
}
