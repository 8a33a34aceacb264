//! Every planned stop is graceful: it cuts no request.

use std::time::Duration;

use serde_json::json;

use crate::fixture::scenarios;
use crate::fixture::wait;
use crate::fixture::whole;

/// The instance that owns `name`.
fn owner_of(cluster: &fakes::Cluster, name: &str) -> usize {
    let owns = |idx: &usize| {
        let status = cluster.instances[*idx].node.status();
        status.upstreams.iter().any(|it| it.name.as_str() == name)
    };
    (0..cluster.instances.len()).find(owns).expect("an owner")
}

scenarios! {
    async fn instances_stop_one_after_the_other_under_load(cluster) {
        let mut running = Vec::new();
        for victim in [0usize, 2, 4] {
            for number in 0..20usize {
                // The balancer sends nothing more to an instance that is about to stop.
                let idx = [1, 3, 5][number % 3];
                let request = match number % 3 {
                    0 => cluster.request("chat", None, json!(format!("q{victim}-{number}"))),
                    1 => cluster.request("lookup", None, json!(number)),
                    _ => {
                        let key = format!("k{victim}-{number}");
                        cluster.request("pay", Some(&key), json!(number))
                    }
                };
                running.push(cluster.submit(idx, request));
                wait(Duration::from_millis(100)).await;
            }
            cluster.stop(victim).await;
            cluster.restart(victim);
            wait(Duration::from_secs(4)).await;
        }
        for running in running {
            whole(running.await.expect("the task ends"));
        }
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_stopping_instance_gives_its_upstreams_up_at_once(cluster) {
        let request = cluster.request("chat", None, json!("long"));
        let running = cluster.submit(0, request);
        wait(Duration::from_millis(20)).await;
        let owner = owner_of(&cluster, "encoder-a");
        cluster.instances[owner].node.begin_shutdown();
        wait(Duration::from_millis(500)).await;
        assert_ne!(owner_of(&cluster, "encoder-a"), owner);
        whole(running.await.expect("the task ends"));
    }

    async fn a_stopping_instance_answers_what_it_has(cluster) {
        let mut running = Vec::new();
        for number in 0..6 {
            let request = cluster.request("chat", None, json!(format!("q{number}")));
            running.push(cluster.submit(0, request));
        }
        wait(Duration::from_millis(50)).await;
        cluster.stop(0).await;
        for running in running {
            whole(running.await.expect("the task ends"));
        }
    }
}
