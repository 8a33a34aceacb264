//! The operators' client against running dispatchers.

use crate::cluster_lock;
use crate::start;

#[tokio::test]
async fn conflicts_and_unknown_targets_change_nothing() {
    let _guard = cluster_lock().lock().await;
    let cluster = start("operators").await;
    let shown = cluster.run_client(&["show"]).expect("show succeeds");
    assert!(shown.starts_with("# version 1 by demo\n"), "{shown}");

    let stale = cluster.run_client(&["apply", "--expect", "7", &configuration(&cluster)]);
    let stale = stale.expect_err("another version is in force").to_string();
    assert!(stale.contains("version 1 by demo came first"), "{stale}");

    let unknown = cluster.run_client(&["zone", "drain", "atlantis"]);
    let unknown = unknown.expect_err("there is no such zone").to_string();
    assert!(unknown.contains("no such zone"), "{unknown}");

    let drained = cluster
        .run_client(&["zone", "drain", "yakima"])
        .expect("drain succeeds");
    assert_eq!(drained, "version 2 in force at 4 instances\n");
    let shown = cluster.run_client(&["show"]).expect("show succeeds");
    assert!(shown.contains("# drained zone yakima\n"), "{shown}");
    let status = cluster.run_client(&["status"]).expect("status succeeds");
    assert!(
        status.contains("config=2 gateway=2 fence=open store=up"),
        "{status}"
    );
    let diff = cluster
        .run_client(&["diff", &configuration(&cluster)])
        .expect("diff succeeds");
    assert_eq!(diff, "");
}

fn configuration(cluster: &testbed::Cluster) -> String {
    cluster.configuration_path().display().to_string()
}

#[tokio::test]
async fn outdated_commands_are_rejected_only_with_fencing() {
    let _guard = cluster_lock().lock().await;
    let cluster = start("orders").await;
    let http = reqwest::Client::new();
    let mut upstreams = cluster.deployment.upstreams();
    let engine = upstreams
        .find(|(it, _)| it.checks_fencing)
        .expect("an upstream that checks fencing");
    let plain = upstreams
        .find(|(it, _)| !it.checks_fencing)
        .expect("an upstream that does not check fencing");
    for ((_, upstream), expected) in [(engine, 409), (plain, 204)] {
        let url = format!("http://{}/orders", upstream.address);
        let send_command = |fence: u64, model: &str| {
            let body = serde_json::json!({"fence": fence, "set": {"model": model}});
            http.post(&url).json(&body).send()
        };
        let current = send_command(2, "new").await.expect("a response");
        assert_eq!(current.status().as_u16(), 204);
        let outdated = send_command(1, "old").await.expect("a response");
        assert_eq!(outdated.status().as_u16(), expected);
    }
}
