//! Each kind of invalid request gets a specific error, and no call is sent upstream.

use serde_json::Value;
use serde_json::json;

use crate::cluster_lock;
use crate::start;

/// A request and its expected error.
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
    let valid_body = json!({"input": 1}).to_string();
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
            &valid_body,
            404,
            "unknown_pipeline",
        ),
        case(
            "unknown workspace",
            LOOKUP,
            &[("x-workspace", "strangers")],
            &valid_body,
            404,
            "unknown_workspace",
        ),
        case("no workspace", LOOKUP, &[], &valid_body, 400, "bad_header"),
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
            &valid_body,
            400,
            "bad_header",
        ),
        case(
            "short deadline",
            LOOKUP,
            &[CLERKS, ("x-deadline-ms", "3")],
            &valid_body,
            503,
            "deadline_too_short",
        ),
        case(
            "missing key",
            "/v1/pipelines/pay-fee",
            &[CLERKS],
            &valid_body,
            400,
            "missing_key",
        ),
        case(
            "bad key",
            "/v1/pipelines/pay-fee",
            &[CLERKS, ("idempotency-key", "a b")],
            &valid_body,
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
async fn bad_requests_get_specific_errors_and_reach_no_upstream() {
    let _guard = cluster_lock().lock().await;
    let cluster = start("bad-input").await;
    let before = started_calls(&cluster).await;
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
    assert_eq!(started_calls(&cluster).await, before);
}

async fn started_calls(cluster: &testbed::Cluster) -> u64 {
    let stats = cluster.stats().await.expect("statistics");
    stats.values().map(|it| it.started).sum()
}
