//! Stops of a process.

use std::time::Duration;

use platform_standin::client;
use platform_standin::site::API_KEY;
use platform_standin::upstream::Fault;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::programs;

/// Time that the client waits: longer than the first time for a stop, shorter than the second.
const DEADLINE: Duration = Duration::from_millis(10_500);

/// Guards against a stop by the time that the process was started with: answers were cut off though
/// the settings gave them longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_longer_time_for_a_stop_holds_without_a_signal() {
    let mut deployment = Deployment::start("stop").await;
    let route = json!([{"name": "long", "host": "site.example", "prefix": "/long/",
        "type": "nonidempotent", "timeout_ms": 20_000, "goal_ms": 100, "priority": 1,
        "service": "ledger", "attempts": 1}]);
    deployment.site.configure(2, route);
    for upstream in &deployment.site.upstreams {
        upstream.0.set_fault(Fault::Silent, None);
    }
    deployment.add("n0", &programs::current()).await;
    let instance = &deployment.instances[0];
    let address = instance.client_address;
    let start = Instant::now();
    let request = tokio::spawn(async move {
        let key = format!("authorization: Bearer {API_KEY}");
        let headers = [
            key.as_str(),
            "host: site.example",
            "x-request-id: r1",
            &format!("x-deadline-ms: {}", DEADLINE.as_millis()),
        ];
        client::send_request(address, "POST /long/1", &headers, b"").await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let settings = std::fs::read_to_string(&instance.settings).expect("settings");
    let settings = settings.replace("grace_s: 8", "grace_s: 16");
    std::fs::write(&instance.settings, settings).expect("a file");
    instance.daemon.signal(Signal::TERM).expect("a process");
    let response = request.await.expect("a client that does not panic");
    assert_eq!(response.status, 504, "{}", response.head);
    let elapsed = start.elapsed();
    assert!(
        elapsed > DEADLINE.mul_f64(0.95),
        "given up after {elapsed:?}"
    );
}
