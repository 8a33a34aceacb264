//! Rows that another writer left in the store: each costs only itself.

use std::sync::Once;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::rows;
use platform_standin::client;
use platform_standin::site::API_KEY;
use serde_json::Value;
use serde_json::json;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Requirement: time within which a change of the configuration takes effect.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which the nodes have read a new row.
const FEED_DELAY: Duration = Duration::from_millis(100);

static HOOK: Once = Once::new();
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// A registration with one field replaced; `value` is JSON text.
fn registration(service: &str, field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("service", format!("\"{service}\"")),
        ("address", "\"127.0.0.1:9\"".to_owned()),
        ("zone", "\"a\"".to_owned()),
        ("slots", "4".to_owned()),
        ("phase", "\"ready\"".to_owned()),
        ("born", "1".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("cold_left_ms", "0".to_owned()),
        ("call_seq", "1".to_owned()),
    ];
    let fields = fields.iter().filter(|it| it.0 != field);
    let fields = fields.map(|(name, value)| format!("\"{name}\":{value}"));
    let fields: Vec<String> = fields.chain([format!("\"{field}\":{value}")]).collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Odd registrations; some name an upstream that can be used as far as anyone can tell.
fn registrations(service: &str) -> Vec<Vec<u8>> {
    let odd = |field: &str, value: &str| registration(service, field, value);
    vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        nested(100_000).into_bytes(),
        vec![b'{'; 100_000],
        b"1e999".to_vec(),
        b"null".to_vec(),
        odd("more", &nested(100_000)),
        odd("service", &nested(100_000)),
        odd("service", "\"unheard-of\""),
        odd("service", &format!("\"{}\"", "s".repeat(100_000))),
        odd("zone", "\"unheard-of\""),
        odd("zone", "7"),
        odd("address", "\"127.0.0.1:99999\""),
        odd("address", "\"127.0.0.1:0\""),
        odd("address", "\"0.0.0.0:1\""),
        odd("address", "\"255.255.255.255:1\""),
        odd("address", "\"[::1]:1\""),
        odd("address", "\"nowhere\""),
        odd("slots", "0"),
        odd("slots", "4294967295"),
        odd("slots", "4294967296"),
        odd("slots", "-1"),
        odd("slots", "1e300"),
        odd("slots", "1e999"),
        odd("phase", "\"odd\""),
        odd("phase", &format!("\"{}\"", "p".repeat(100_000))),
        odd("born", "18446744073709551615"),
        odd("born", "18446744073709551616"),
        odd("version", &nested(100_000)),
        odd("cold_left_ms", "1e999"),
        odd("cold_left_ms", "\"none\""),
        odd("cold_left_ms", "-1"),
        odd("call_seq", "-1e300"),
        odd("call_seq", "[]"),
    ]
}

/// Rows of this system's own table.
fn member_rows() -> Vec<(String, Vec<u8>)> {
    let loss = |depth: &str| {
        let row = format!(
            "{{\"depth\":{depth},\"evidence\":\"unreachable\",\"is_batched\":false,\
             \"parts\":[{{\"part\":\"01\",\"depth\":{depth}}}]}}"
        );
        row.into_bytes()
    };
    let member = |address: &str, share: &str| {
        let row = format!(
            "{{\"zone\":\"a\",\"address\":\"{address}\",\"cpu_share\":{share},\"incarnation\":1}}"
        );
        row.into_bytes()
    };
    vec![
        ("loss/2a/i-0@1".to_owned(), loss("4294967295")),
        (
            "loss/2b/i-1@18446744073709551615".to_owned(),
            loss("4294967295"),
        ),
        ("loss/2c/i-1@1".to_owned(), loss("4294967296")),
        ("loss/2d/i-1@1".to_owned(), nested(100_000).into_bytes()),
        ("member/odd".to_owned(), member("127.0.0.1:0", "1e300")),
        ("member/odd".to_owned(), member("127.0.0.1:1", "-1")),
        ("member/odd".to_owned(), member("127.0.0.1:99999", "1")),
        ("member/odd".to_owned(), member("255.255.255.255:1", "0")),
        ("member/odd".to_owned(), nested(100_000).into_bytes()),
        ("member/".to_owned(), b"{}".to_vec()),
        ("odd".repeat(60), b"{}".to_vec()),
    ]
}

async fn status(fixture: &Fixture, target: &str, id: &str, headers: &[&str]) -> u16 {
    let key = format!("authorization: Bearer {API_KEY}");
    let id = format!("x-request-id: {id}");
    let mut all_headers = vec![key.as_str(), id.as_str(), "x-deadline-ms: 3000"];
    all_headers.extend(headers);
    let address = fixture.nodes[0].client_address;
    let response = client::send_request(address, target, &all_headers, b"");
    response.await.status
}

/// Counts panics outside of the tests: tasks that panic are started again.
fn watch_panics() {
    HOOK.call_once(|| {
        let default = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            let file = info.location().map_or("", |it| it.file());
            if !file.contains("tests/") {
                PANICS.fetch_add(1, Ordering::Relaxed);
            }
            default(info);
        }));
    });
}

/// Stops the nodes, and checks that no task of any node has panicked.
async fn stop(fixture: Fixture) {
    for mut node in fixture.nodes {
        node.begin_shutdown();
        node.wait_for_exit().await;
    }
    assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics");
}

/// Adds a route by the configuration of `version`, and checks that the nodes follow and serve it.
async fn check_follows(fixture: &Fixture, version: u64) {
    let route = json!([{"name": "new", "host": "site.example", "prefix": format!("/new{version}/"),
        "type": "idempotent", "timeout_ms": 2_000, "service": "ledger", "attempts": 2}]);
    fixture.site.configure(version, route);
    let target = format!("GET /new{version}/1");
    eventually(&format!("version {version}"), CONFIG_TIMEOUT, || async {
        status(fixture, &target, &format!("new{version}"), &[]).await == 200
    })
    .await;
}

/// Checks that requests of each kind, with steps too, are served.
async fn check_serves(fixture: &Fixture, name: &str) {
    for (target, headers) in [
        ("GET /read/1", [].as_slice()),
        ("POST /post/1", &[]),
        ("POST /report/1", &["x-prompt-prefix: 01:10,02:10"]),
        ("POST /draft/1", &["x-chunks: 2", "x-chunk-key: k"]),
    ] {
        // An odd registration may name an address that refuses connections.
        let mut codes = Vec::new();
        for idx in 0..4 {
            codes.push(status(fixture, target, &format!("{name}-{idx}"), headers).await);
        }
        assert!(
            codes.iter().all(|it| *it == 200),
            "{name} {target}: {codes:?}"
        );
    }
}

/// Guards against nodes that end, stop following the list or stop serving for one entry among the
/// registrations that cannot be read or used.
#[tokio::test]
async fn odd_registrations_cost_only_themselves() {
    watch_panics();
    let fixture = Fixture::start(2).await;
    let mut version = 1;
    for service in ["ledger", "engine", "steps"] {
        for (idx, value) in registrations(service).into_iter().enumerate() {
            version += 1;
            fixture.site.store.put("servers", "i-odd", &value);
            check_follows(&fixture, version).await;
            if idx % 3 == 0 {
                check_serves(&fixture, &format!("{service}-{idx}")).await;
            }
        }
    }
    fixture.site.store.delete("servers", "i-odd");
    check_serves(&fixture, "last").await;
    stop(fixture).await;
}

/// Guards against a registration that stays out of use after an odd one of the same name, and one
/// that takes others with it.
#[tokio::test]
async fn a_registration_is_used_again_after_an_odd_one() {
    watch_panics();
    let fixture = Fixture::start(1).await;
    for idx in [0, 1] {
        let name = fixture.site.upstreams[idx].0.name.clone();
        fixture.site.store.put("servers", &name, b"\xff");
    }
    eventually("no upstream", CONFIG_TIMEOUT, || async {
        status(&fixture, "GET /read/1", "none", &[]).await == 503
    })
    .await;
    fixture.site.register(0, "ready");
    eventually("an upstream", CONFIG_TIMEOUT, || async {
        status(&fixture, "GET /read/1", "again", &[]).await == 200
    })
    .await;
}

/// Guards against nodes that end or stop following for odd rows among the members and losses.
#[tokio::test]
async fn odd_rows_of_members_cost_only_themselves() {
    watch_panics();
    let fixture = Fixture::start(2).await;
    for (idx, (key, value)) in member_rows().into_iter().enumerate() {
        fixture.site.store.put("catkinvane", &key, &value);
        check_follows(&fixture, idx as u64 + 2).await;
        check_serves(&fixture, &format!("member-{idx}")).await;
    }
    stop(fixture).await;
}

/// Configurations whose numbers are far beyond any use.
fn configurations() -> Vec<Value> {
    let mut values = Vec::new();
    for number in ["1e18", "1e22", "1e300", "0", "-1", "4294967295"] {
        let number: Value = serde_json::from_str(number).expect("a number");
        for field in ["timeout_ms", "goal_ms"] {
            values.push(json!({"route": {field: number}}));
        }
        values.push(json!({"step": {"length": number}}));
        values.push(json!({"service": {"cold_per_s": number}}));
        for field in ["call_ms", "item_ms", "headroom_mb", "handle_s"] {
            values.push(json!({"segments": {field: number}}));
        }
        for field in ["header_timeout_ms", "idle_timeout_ms"] {
            values.push(json!({"limits": {field: number}}));
        }
    }
    for number in [0_u64, 4_294_967_295] {
        values.push(json!({"engine": {"slots": number}}));
        values.push(json!({"segments": {"slots": number}}));
        values.push(json!({"segments": {"batch": number}}));
        values.push(json!({"service": {"max_conns": number}}));
        values.push(json!({"route": {"attempts": number}}));
    }
    values.push(json!({"step": {"after": [0]}}));
    values.push(json!({"step": {"after": [99]}}));
    values.push(
        json!({"route": {"split": [{"service": "ledger", "weight": 1e308},
        {"service": "ledger", "weight": 1e308}]}}),
    );
    values.push(json!({"route": {"split": [{"service": "ledger", "weight": -1.0}]}}));
    values
}

fn steps_of(route: &mut Value) -> impl Iterator<Item = &mut Value> {
    let steps = route.get_mut("stages").and_then(Value::as_array_mut);
    steps.into_iter().flatten()
}

fn merge(target: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().into_iter().flatten() {
        target[name] = value.clone();
    }
}

/// Guards against numbers that overflow a time, a size or a rate where they are used.
#[tokio::test]
async fn odd_numbers_of_a_configuration_end_no_process() {
    watch_panics();
    let fixture = Fixture::start(2).await;
    let mut version = 1;
    for odd in configurations() {
        version += 1;
        fixture.site.configure(version, json!([]));
        let row = fixture
            .site
            .store
            .row("op", "config")
            .expect("a configuration");
        let mut config: Value = serde_json::from_slice(&row).expect("JSON");
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            merge(route, &odd["route"]);
            for step in steps_of(route) {
                merge(step, &odd["step"]);
            }
        }
        for service in config["services"].as_array_mut().into_iter().flatten() {
            merge(service, &odd["service"]);
            for part in ["segments", "engine"] {
                if !service[part].is_null() {
                    merge(&mut service[part], &odd[part]);
                }
            }
        }
        merge(&mut config["limits"], &odd["limits"]);
        version += 1;
        config["version"] = json!(version);
        let text = config.to_string();
        assert!(rows::decode_config(text.as_bytes()).is_ok(), "{odd}");
        fixture.site.store.put("op", "config", text.as_bytes());
        tokio::time::sleep(FEED_DELAY).await;
        for target in ["GET /read/1", "POST /report/1", "POST /draft/1"] {
            let headers = [
                "x-prompt-prefix: 01:10,02:10",
                "x-chunks: 2",
                "x-chunk-key: k",
            ];
            // The request itself may fail or wait.
            let response = status(&fixture, target, "odd", &headers);
            let _ = tokio::time::timeout(Duration::from_millis(300), response).await;
        }
        version += 1;
        check_follows(&fixture, version).await;
        eventually(&odd.to_string(), Duration::from_secs(5), || async {
            status(
                &fixture,
                "POST /draft/1",
                "later",
                &["x-chunks: 2", "x-chunk-key: k"],
            )
            .await
                == 200
        })
        .await;
    }
    stop(fixture).await;
}
