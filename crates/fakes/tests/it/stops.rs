//! A graceful stop of an instance breaks no request.

use std::time::Duration;

use serde_json::json;

use crate::fixture::expect_answer;
use crate::fixture::scenarios;
use crate::fixture::wait;

/// Index of the instance that owns upstream `name`.
fn owner_of(cluster: &fakes::Cluster, name: &str) -> usize {
    let owns = |idx: &usize| {
        let status = cluster.instances[*idx].node.status();
        status.upstreams.iter().any(|it| it.name.as_str() == name)
    };
    (0..cluster.instances.len())
        .find(owns)
        .expect("the upstream has an owner")
}

scenarios! {
    async fn a_rolling_restart_under_load_fails_no_request(cluster) {
        let mut outcome_tasks = Vec::new();
        for stopped_idx in [0usize, 2, 4] {
            for number in 0..20usize {
                // The load balancer sends no more requests to an instance that is about to stop.
                let idx = [1, 3, 5][number % 3];
                let request = match number % 3 {
                    0 => cluster.request("chat", None, json!(format!("q{stopped_idx}-{number}"))),
                    1 => cluster.request("lookup", None, json!(number)),
                    _ => {
                        let key = format!("k{stopped_idx}-{number}");
                        cluster.request("pay", Some(&key), json!(number))
                    }
                };
                outcome_tasks.push(cluster.submit(idx, request));
                wait(Duration::from_millis(100)).await;
            }
            cluster.stop(stopped_idx).await;
            cluster.restart(stopped_idx);
            wait(Duration::from_secs(4)).await;
        }
        for outcome_task in outcome_tasks {
            expect_answer(outcome_task.await.expect("the task does not panic"));
        }
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_stopping_instance_gives_its_upstreams_up_at_once(cluster) {
        let request = cluster.request("chat", None, json!("long"));
        let outcome_task = cluster.submit(0, request);
        wait(Duration::from_millis(20)).await;
        let owner = owner_of(&cluster, "encoder-a");
        cluster.instances[owner].node.begin_shutdown();
        wait(Duration::from_millis(500)).await;
        assert_ne!(owner_of(&cluster, "encoder-a"), owner);
        expect_answer(outcome_task.await.expect("the task does not panic"));
    }

    async fn a_stopping_instance_answers_requests_in_flight(cluster) {
        let mut outcome_tasks = Vec::new();
        for number in 0..6 {
            let request = cluster.request("chat", None, json!(format!("q{number}")));
            outcome_tasks.push(cluster.submit(0, request));
        }
        wait(Duration::from_millis(50)).await;
        cluster.stop(0).await;
        for outcome_task in outcome_tasks {
            expect_answer(outcome_task.await.expect("the task does not panic"));
        }
    }
}
