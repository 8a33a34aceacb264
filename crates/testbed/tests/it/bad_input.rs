//! Each kind of bad input gets its own error, and nothing is sent upstream.

use serde_json::Value;
use serde_json::json;

use crate::start;
use crate::turn;

/// A request and the error that it must get.
struct Case {
    name: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    error: &'static str,
}

const CLERKS: (&str, &str) = ("x-workspace", "clerks");
const LOOKUP: &str = "/v1/pipelines/docket-lookup";

fn cases() -> Vec<Case> {
    let sound = json!({"input": 1}).to_string();
    let case = |name, path, headers, body: &str, status, error| Case {
        name,
        path,
        headers,
        body: body.to_owned(),
        status,
        error,
    };
    vec![
        case(
            "unknown pipeline",
            "/v1/pipelines/nothing",
            &[CLERKS],
            &sound,
            404,
            "unknown_pipeline",
        ),
        case(
            "unknown workspace",
            LOOKUP,
            &[("x-workspace", "strangers")],
            &sound,
            404,
            "unknown_workspace",
        ),
        case("no workspace", LOOKUP, &[], &sound, 400, "bad_header"),
        case(
            "unknown field",
            LOOKUP,
            &[CLERKS],
            r#"{"input": 1, "colour": 2}"#,
            400,
            "malformed_body",
        ),
        case("not JSON", LOOKUP, &[CLERKS], "{", 400, "malformed_body"),
        case("empty body", LOOKUP, &[CLERKS], "", 400, "malformed_body"),
        case(
            "bad deadline",
            LOOKUP,
            &[CLERKS, ("x-deadline-ms", "soon")],
            &sound,
            400,
            "bad_header",
        ),
        case(
            "short deadline",
            LOOKUP,
            &[CLERKS, ("x-deadline-ms", "3")],
            &sound,
            503,
            "deadline_too_short",
        ),
        case(
            "missing key",
            "/v1/pipelines/pay-fee",
            &[CLERKS],
            &sound,
            400,
            "missing_key",
        ),
        case(
            "bad key",
            "/v1/pipelines/pay-fee",
            &[CLERKS, ("idempotency-key", "a b")],
            &sound,
            400,
            "bad_header",
        ),
        case(
            "oversized body",
            LOOKUP,
            &[CLERKS],
            &"x".repeat(2 * 1024 * 1024),
            413,
            "body_too_large",
        ),
    ]
}

#[tokio::test]
async fn every_kind_has_its_own_error_and_sends_nothing() {
    let _turn = turn().lock().await;
    let cluster = start("bad-input").await;
    let before = started(&cluster).await;
    let http = reqwest::Client::new();
    for case in cases() {
        let url = format!("http://{}{}", cluster.instances[0].gateway, case.path);
        let mut request = http.post(url).body(case.body);
        for (name, value) in case.headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.expect(case.name);
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        assert!(
            response.headers().contains_key("retry-after"),
            "{}",
            case.name
        );
        let body: Value = response.json().await.expect(case.name);
        assert_eq!(body["error"]["type"], case.error, "{}", case.name);
        assert_eq!(body["error"]["executed"], "no", "{}", case.name);
    }
    assert_eq!(started(&cluster).await, before);
}

async fn started(cluster: &testbed::Cluster) -> u64 {
    let stats = cluster.stats().await.expect("statistics");
    stats.values().map(|it| it.started).sum()
}
