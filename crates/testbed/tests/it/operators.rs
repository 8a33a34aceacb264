//! The operators' client against running dispatchers.

use crate::start;
use crate::turn;

#[tokio::test]
async fn changes_conflict_and_faults_change_nothing() {
    let _turn = turn().lock().await;
    let cluster = start("operators").await;
    let shown = cluster.run_client(&["show"]).expect("it is shown");
    assert!(shown.starts_with("# version 1 by demo\n"), "{shown}");

    let stale = cluster.run_client(&["apply", "--expect", "7", &path(&cluster)]);
    let stale = stale.expect_err("another version is in force").to_string();
    assert!(stale.contains("version 1 by demo came first"), "{stale}");

    let unknown = cluster.run_client(&["zone", "drain", "atlantis"]);
    let unknown = unknown.expect_err("there is no such zone").to_string();
    assert!(unknown.contains("no such zone"), "{unknown}");

    let drained = cluster
        .run_client(&["zone", "drain", "yakima"])
        .expect("it is drained");
    assert_eq!(drained, "version 2 in force at 4 instances\n");
    let shown = cluster.run_client(&["show"]).expect("it is shown");
    assert!(shown.contains("# drained zone yakima\n"), "{shown}");
    let status = cluster.run_client(&["status"]).expect("a status");
    assert!(
        status.contains("config=2 gateway=2 fence=open store=up"),
        "{status}"
    );
    let difference = cluster
        .run_client(&["diff", &path(&cluster)])
        .expect("a difference");
    assert_eq!(difference, "");
}

fn path(cluster: &testbed::Cluster) -> String {
    cluster.configuration_path().display().to_string()
}

#[tokio::test]
async fn a_stand_in_refuses_old_orders_only_if_it_checks_fencing() {
    let _turn = turn().lock().await;
    let cluster = start("orders").await;
    let http = reqwest::Client::new();
    let mut upstreams = cluster.deployment.upstreams();
    let engine = upstreams
        .find(|(it, _)| it.checks_fencing)
        .expect("an engine that checks");
    let plain = upstreams
        .find(|(it, _)| !it.checks_fencing)
        .expect("one that does not");
    for ((_, upstream), expected) in [(engine, 409), (plain, 204)] {
        let url = format!("http://{}/orders", upstream.address);
        let order = |fence: u64, model: &str| {
            let body = serde_json::json!({"fence": fence, "set": {"model": model}});
            http.post(&url).json(&body).send()
        };
        let new = order(2, "new").await.expect("an answer");
        assert_eq!(new.status().as_u16(), 204);
        let old = order(1, "old").await.expect("an answer");
        assert_eq!(old.status().as_u16(), expected);
    }
}
