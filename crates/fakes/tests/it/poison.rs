//! A request that crashes upstreams is quarantined after at most two crashes.

use std::time::Duration;

use fakes::Cluster;
use fakes::upstream::POISON_MARKER;
use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::json;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;
use crate::fixture::whole;

fn crashes(cluster: &Cluster) -> u32 {
    let names = cluster.fleet.names();
    let crashes = names
        .iter()
        .map(|it| cluster.fleet.stats(it.as_str()).crashes);
    crashes.sum()
}

scenarios! {
    async fn it_is_quarantined_whichever_gateway_it_comes_back_to(cluster) {
        for idx in 0..6 {
            let request = cluster.request("chat", None, json!(POISON_MARKER));
            let outcome = cluster.submit(idx, request).await.expect("the task ends");
            assert!(!matches!(outcome, Outcome::Answered(_)));
            wait(Duration::from_millis(200)).await;
        }
        assert!(crashes(&cluster) <= 2, "{} crashes", crashes(&cluster));
        wait(seconds(1)).await;
        let request = cluster.request("chat", None, json!(POISON_MARKER));
        let outcome = cluster.submit(3, request).await.expect("the task ends");
        let Outcome::NotRun(refusal) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(refusal.reason(), NotRunReason::Quarantined);
    }

    async fn requests_that_shared_the_upstream_are_answered(cluster) {
        cluster.fleet.warm_all();
        for number in 0..60 {
            let request = cluster.request("chat", None, json!(format!("warm {number}")));
            cluster.submit(number % 6, request);
            wait(Duration::from_millis(100)).await;
        }
        let mut innocents = Vec::new();
        for number in 0..6 {
            let request = cluster.request("chat", None, json!(format!("innocent {number}")));
            innocents.push(cluster.submit(number, request));
        }
        let request = cluster.request("chat", None, json!(POISON_MARKER));
        cluster.submit(0, request);
        for innocent in innocents {
            whole(innocent.await.expect("the task ends"));
        }
        wait(seconds(5)).await;
        assert!(crashes(&cluster) <= 2, "{} crashes", crashes(&cluster));
    }
}
