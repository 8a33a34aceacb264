//! The operators' client against running dispatchers.

use crate::start;
use crate::turn;

#[tokio::test]
async fn changes_conflict_and_faults_change_nothing() {
    let _turn = turn().lock().await;
    let cluster = start("operators").await;
    let shown = cluster.client(&["show"]).expect("it is shown");
    assert!(shown.starts_with("# version 1 by demo\n"), "{shown}");

    let stale = cluster.client(&["apply", "--expect", "7", &path(&cluster)]);
    let stale = stale.expect_err("another version is in force").to_string();
    assert!(stale.contains("version 1 by demo came first"), "{stale}");

    let unknown = cluster.client(&["zone", "drain", "atlantis"]);
    let unknown = unknown.expect_err("there is no such zone").to_string();
    assert!(unknown.contains("no such zone"), "{unknown}");

    let drained = cluster
        .client(&["zone", "drain", "yakima"])
        .expect("it is drained");
    assert_eq!(drained, "version 2 in force at 4 instances\n");
    let shown = cluster.client(&["show"]).expect("it is shown");
    assert!(shown.contains("# drained zone yakima\n"), "{shown}");
    let status = cluster.client(&["status"]).expect("a status");
    assert!(
        status.contains("config=2 gateway=2 fence=open store=up"),
        "{status}"
    );
    let difference = cluster
        .client(&["diff", &path(&cluster)])
        .expect("a difference");
    assert_eq!(difference, "");
}

fn path(cluster: &testbed::Cluster) -> String {
    cluster.configuration().display().to_string()
}
