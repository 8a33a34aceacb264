//! A request that crashes the upstreams that run it is quarantined after at most two crashes.

use std::time::Duration;

use fakes::Cluster;
use fakes::upstream::POISON_MARKER;
use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::json;

use crate::fixture::expect_answer;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Number of crashes caused by poison requests, over all upstreams.
fn crash_count(cluster: &Cluster) -> u32 {
    let names = cluster.fleet.names();
    let crashes = names
        .iter()
        .map(|it| cluster.fleet.stats(it.as_str()).crashes);
    crashes.sum()
}

scenarios! {
    async fn a_poison_request_is_quarantined_at_every_gateway(cluster) {
        for idx in 0..6 {
            let request = cluster.request("chat", None, json!(POISON_MARKER));
            let outcome = cluster.submit(idx, request).await.expect("the task does not panic");
            assert!(!matches!(outcome, Outcome::Answered(_)));
            wait(Duration::from_millis(200)).await;
        }
        assert!(crash_count(&cluster) <= 2, "{} crashes", crash_count(&cluster));
        wait(seconds(1)).await;
        let request = cluster.request("chat", None, json!(POISON_MARKER));
        let outcome = cluster.submit(3, request).await.expect("the task does not panic");
        let Outcome::NotRun(refusal) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(refusal.reason(), NotRunReason::Quarantined);
    }

    async fn requests_in_flight_with_a_poison_request_are_answered(cluster) {
        cluster.fleet.warm_all();
        for number in 0..60 {
            let request = cluster.request("chat", None, json!(format!("warm {number}")));
            cluster.submit(number % 6, request);
            wait(Duration::from_millis(100)).await;
        }
        let mut other_tasks = Vec::new();
        for number in 0..6 {
            let request = cluster.request("chat", None, json!(format!("innocent {number}")));
            other_tasks.push(cluster.submit(number, request));
        }
        let request = cluster.request("chat", None, json!(POISON_MARKER));
        cluster.submit(0, request);
        for task in other_tasks {
            expect_answer(task.await.expect("the task does not panic"));
        }
        wait(seconds(5)).await;
        assert!(crash_count(&cluster) <= 2, "{} crashes", crash_count(&cluster));
    }
}
