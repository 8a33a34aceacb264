//! A non-idempotent request runs at most once, even if it is submitted again with its idempotency
//! key.

use std::time::Duration;

use base::Executed;
use fakes::Cluster;
use fakes::platform::Faults;
use pipeline::NotRunReason;
use pipeline::Outcome;
use pipeline::RecordedOutcome;

use crate::fixture::expect_answer;
use crate::fixture::expect_failure;
use crate::fixture::expect_not_run;
use crate::fixture::payment;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

async fn pay(cluster: &mut Cluster, idx: usize, key: &str) -> Outcome {
    let request = cluster.request("pay", Some(key), payment());
    cluster
        .submit(idx, request)
        .await
        .expect("the task does not panic")
}

fn execution_count(cluster: &Cluster, key: &str) -> u32 {
    cluster.fleet.executions().get(key).copied().unwrap_or(0)
}

async fn recorded_outcome(cluster: &Cluster, idx: usize, key: &str) -> RecordedOutcome {
    let runner = &cluster.instances[idx].runner;
    let workspace = "clerks".parse().expect("a valid name");
    let pipeline = "pay".parse().expect("a valid name");
    let key = key.parse().expect("a valid name");
    runner
        .recorded_outcome(&workspace, &pipeline, &key)
        .await
        .expect("the platform replies")
}

scenarios! {
    async fn a_duplicate_at_another_gateway_runs_once(cluster) {
        let first = cluster.request("pay", Some("k"), payment());
        let second = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, first);
        let second = cluster.submit(3, second);
        let first = expect_answer(first.await.expect("the task does not panic"));
        let second = expect_answer(second.await.expect("the task does not panic"));
        assert_eq!(first, second);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_recorded_answer_is_replayed_whole(cluster) {
        let first = expect_answer(pay(&mut cluster, 0, "k").await);
        wait(seconds(1)).await;
        let Outcome::Answered(second) = pay(&mut cluster, 5, "k").await else {
            panic!("expected an answer");
        };
        assert!(second.is_replayed);
        assert_eq!(first, second.result);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_key_with_another_body_is_refused(cluster) {
        expect_answer(pay(&mut cluster, 0, "k").await);
        let other = cluster.request("pay", Some("k"), serde_json::json!({"case": "other"}));
        let outcome = cluster.submit(1, other).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::KeyReused);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_gateway_killed_after_dispatch_leaves_an_unknown_outcome(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        cluster.submit(0, request);
        while execution_count(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.kill(0);
        wait(seconds(8)).await;
        assert_eq!(expect_failure(pay(&mut cluster, 3, "k").await), Executed::Unknown);
        assert_eq!(recorded_outcome(&cluster, 3, "k").await, RecordedOutcome::Unknown);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_payment_claimed_by_a_killed_gateway_never_runs(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        cluster.submit(0, request);
        while cluster.store.row("claims/clerks/pay/k/charge").is_none() {
            wait(Duration::from_micros(100)).await;
        }
        cluster.kill(0);
        wait(seconds(8)).await;
        let outcome = pay(&mut cluster, 3, "k").await;
        assert_eq!(expect_failure(outcome), Executed::Unknown);
        assert_eq!(execution_count(&cluster, "k"), 0);
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
        for (key, execution_count) in cluster.fleet.executions() {
            assert_eq!(execution_count, 1, "{key}");
        }
    }

    async fn a_lost_store_answer_does_not_run_a_payment_twice(cluster) {
        cluster.store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        expect_answer(pay(&mut cluster, 0, "k").await);
        expect_answer(pay(&mut cluster, 3, "k").await);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_lost_store_answer_to_the_record_is_resolved(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while execution_count(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        let first = expect_answer(first.await.expect("the task does not panic"));
        wait(seconds(3)).await;
        assert_eq!(expect_answer(pay(&mut cluster, 3, "k").await), first);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_payment_during_a_store_outage_is_refused_as_not_run(cluster) {
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let outcome = pay(&mut cluster, 0, "k").await;
        assert_eq!(expect_not_run(outcome), NotRunReason::StoreDown);
        assert_eq!(execution_count(&cluster, "k"), 0);
        cluster.store.set_faults(Faults::default());
        wait(seconds(3)).await;
        expect_answer(pay(&mut cluster, 0, "k").await);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn an_answer_is_recorded_when_the_store_comes_back(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while execution_count(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        expect_answer(first.await.expect("the task does not panic"));
        wait(seconds(30)).await;
        cluster.store.set_faults(Faults::default());
        wait(seconds(5)).await;
        let Outcome::Answered(again) = pay(&mut cluster, 3, "k").await else {
            panic!("expected an answer");
        };
        assert!(again.is_replayed);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_late_answer_is_recorded_and_can_be_queried(cluster) {
        for name in ["ledger-a", "ledger-b"] {
            let slow = fakes::upstream::Faults { slow_factor: 300, ..Default::default() };
            cluster.fleet.set_faults(name, slow);
        }
        let outcome = pay(&mut cluster, 0, "k").await;
        assert_eq!(expect_failure(outcome), Executed::Unknown);
        wait(seconds(3)).await;
        let recorded = recorded_outcome(&cluster, 4, "k").await;
        assert!(matches!(recorded, RecordedOutcome::Answered(_)), "{recorded}");
        assert_eq!(execution_count(&cluster, "k"), 1);
    }

    async fn a_payment_whose_upstream_crashed_is_not_sent_again(cluster) {
        let request = cluster.request("pay", Some("k"), payment());
        let first = cluster.submit(0, request);
        while execution_count(&cluster, "k") == 0 {
            wait(Duration::from_millis(1)).await;
        }
        cluster.fleet.crash("ledger-a");
        cluster.fleet.crash("ledger-b");
        assert_eq!(
            expect_failure(first.await.expect("the task does not panic")),
            Executed::Unknown,
        );
        wait(seconds(3)).await;
        assert_eq!(expect_failure(pay(&mut cluster, 3, "k").await), Executed::Unknown);
        assert_eq!(execution_count(&cluster, "k"), 1);
    }
}
