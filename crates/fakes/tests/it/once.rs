//! A non-idempotent request runs at most once.

use std::time::Duration;

use base::Executed;
use fakes::Cluster;
use fakes::platform::Faults;
use pipeline::NotRunReason;
use pipeline::Outcome;
use pipeline::RecordedOutcome;

use crate::fixture::executed;
use crate::fixture::not_run;
use crate::fixture::payment;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;
use crate::fixture::whole;

async fn pay(cluster: &mut Cluster, idx: usize, key: &str) -> Outcome {
    let request = cluster.request("pay", Some(key), payment());
    cluster.submit(idx, request).await.expect("the task ends")
}

fn times(cluster: &Cluster, key: &str) -> u32 {
    cluster.fleet.executions().get(key).copied().unwrap_or(0)
}

async fn recorded(cluster: &Cluster, idx: usize, key: &str) -> RecordedOutcome {
    let runner = &cluster.instances[idx].runner;
    let workspace = "clerks".parse().expect("a name");
    let pipeline = "pay".parse().expect("a name");
    let key = key.parse().expect("a name");
    runner
        .recorded_outcome(&workspace, &pipeline, &key)
        .await
        .expect("the table answers")
}

scenarios! {
    async fn tapped_twice_at_two_gateways_runs_once(cluster) {
        let first = cluster.request("pay", Some("k"), payment());
        let second = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, first);
        let second = cluster.submit(3, second);
        let first = whole(first.await.expect("the task ends"));
        let second = whole(second.await.expect("the task ends"));
        assert_eq!(first, second);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_recorded_answer_is_replayed_whole(cluster) {
        let first = whole(pay(&mut cluster, 0, "k").await);
        wait(seconds(1)).await;
        let Outcome::Answered(second) = pay(&mut cluster, 5, "k").await else {
            panic!("no answer");
        };
        assert!(second.is_replayed);
        assert_eq!(first, second.result);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_key_with_another_body_is_refused(cluster) {
        whole(pay(&mut cluster, 0, "k").await);
        let other = cluster.request("pay", Some("k"), serde_json::json!({"case": "other"}));
        let outcome = cluster.submit(1, other).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::KeyReused);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_gateway_killed_after_dispatch_leaves_an_unknown_outcome(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        cluster.submit(0, request);
        while times(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.kill(0);
        wait(seconds(8)).await;
        assert_eq!(executed(pay(&mut cluster, 3, "k").await), Executed::Unknown);
        assert_eq!(recorded(&cluster, 3, "k").await, RecordedOutcome::Unknown);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_gateway_killed_before_dispatch_never_runs_it_later(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        cluster.submit(0, request);
        while cluster.store.row("claims/clerks/pay/k/charge").is_none() {
            wait(Duration::from_micros(100)).await;
        }
        cluster.kill(0);
        wait(seconds(8)).await;
        let outcome = pay(&mut cluster, 3, "k").await;
        assert_eq!(executed(outcome), Executed::Unknown);
        assert_eq!(times(&cluster, "k"), 0);
    }

    async fn a_dispatcher_frozen_past_its_lease_sends_nothing_twice(cluster) {
        for idx in 0..6 {
            let request = cluster.request("pay", Some(&format!("k{idx}")), payment());
            cluster.submit(idx, request);
        }
        wait(Duration::from_millis(9)).await;
        cluster.instances[0].dispatcher.freeze();
        cluster.instances[2].dispatcher.freeze();
        wait(seconds(10)).await;
        cluster.instances[0].dispatcher.thaw();
        cluster.instances[2].dispatcher.thaw();
        for idx in 0..6 {
            let _ = pay(&mut cluster, 5 - idx, &format!("k{idx}")).await;
        }
        wait(seconds(20)).await;
        for (key, times) in cluster.fleet.executions() {
            assert_eq!(times, 1, "{key}");
        }
    }

    async fn a_lost_store_answer_does_not_run_it_twice(cluster) {
        cluster.store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        whole(pay(&mut cluster, 0, "k").await);
        whole(pay(&mut cluster, 3, "k").await);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_lost_answer_of_the_record_is_resolved(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while times(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        let first = whole(first.await.expect("the task ends"));
        wait(seconds(3)).await;
        assert_eq!(whole(pay(&mut cluster, 3, "k").await), first);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn with_the_store_down_it_is_refused_as_not_run(cluster) {
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let outcome = pay(&mut cluster, 0, "k").await;
        assert_eq!(not_run(outcome), NotRunReason::StoreDown);
        assert_eq!(times(&cluster, "k"), 0);
        cluster.store.set_faults(Faults::default());
        wait(seconds(3)).await;
        whole(pay(&mut cluster, 0, "k").await);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn an_answer_is_recorded_when_the_store_comes_back(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while times(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        whole(first.await.expect("the task ends"));
        wait(seconds(30)).await;
        cluster.store.set_faults(Faults::default());
        wait(seconds(5)).await;
        let Outcome::Answered(again) = pay(&mut cluster, 3, "k").await else {
            panic!("no answer");
        };
        assert!(again.is_replayed);
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn a_late_answer_is_recorded_and_can_be_asked_for(cluster) {
        for name in ["ledger-a", "ledger-b"] {
            let slow = fakes::upstream::Faults { slow_factor: 300, ..Default::default() };
            cluster.fleet.set_faults(name, slow);
        }
        let outcome = pay(&mut cluster, 0, "k").await;
        assert_eq!(executed(outcome), Executed::Unknown);
        wait(seconds(3)).await;
        let recorded = recorded(&cluster, 4, "k").await;
        assert!(matches!(recorded, RecordedOutcome::Answered(_)), "{recorded}");
        assert_eq!(times(&cluster, "k"), 1);
    }

    async fn an_upstream_that_crashes_under_it_is_not_asked_again(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while times(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.fleet.crash("ledger-a");
        cluster.fleet.crash("ledger-b");
        assert_eq!(executed(first.await.expect("the task ends")), Executed::Unknown);
        wait(seconds(3)).await;
        assert_eq!(executed(pay(&mut cluster, 3, "k").await), Executed::Unknown);
        assert_eq!(times(&cluster, "k"), 1);
    }
}
