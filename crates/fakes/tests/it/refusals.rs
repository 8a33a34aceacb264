//! A request that is refused as not run was not run by any upstream, whichever part refused it.

use std::time::Duration;

use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::json;
use wire::message::Action;
use wire::message::Target;

use crate::fixture::expect_not_run;
use crate::fixture::payment;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

scenarios! {
    async fn invalid_requests_send_no_calls(cluster) {
        let before = cluster.fleet.started();
        let request = cluster.request("nothing", None, json!(1));
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::UnknownPipeline);

        let mut request = cluster.request("lookup", None, json!(1));
        request.workspace = "strangers".parse().expect("a valid name");
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::UnknownWorkspace);

        let request = cluster.request("pay", None, payment());
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::MissingKey);

        let mut request = cluster.request("chat", None, json!("hello"));
        request.deadline = Some(Duration::from_millis(100));
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::DeadlineTooShort);
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn requests_without_upstreams_are_refused_as_not_run(cluster) {
        for name in ["llm-a", "llm-b", "llm-c"] {
            let target = Target::Upstream(name.parse().expect("a valid name"));
            cluster.change(0, Action::Drain(target)).await;
        }
        wait(seconds(3)).await;
        let before = cluster.fleet.started();
        let request = cluster.request("chat", None, json!("hello"));
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_not_run(outcome), NotRunReason::NoUpstream);
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn a_payment_refused_while_its_owner_is_frozen_never_runs(cluster) {
        for idx in 0..4 {
            cluster.instances[idx].dispatcher.freeze();
        }
        let mut request = cluster.request("pay", Some("k"), payment());
        request.deadline = Some(seconds(1));
        let outcome = cluster.submit(4, request).await.expect("the task does not panic");
        let is_not_run = matches!(outcome, Outcome::NotRun(_));
        for idx in 0..4 {
            cluster.instances[idx].dispatcher.thaw();
        }
        wait(seconds(10)).await;
        let times = cluster.fleet.executions().get("k").copied().unwrap_or(0);
        assert!(!is_not_run || times == 0, "refused as not run, but ran {times} times");
        assert!(times <= 1);
    }

    async fn a_request_sent_while_its_gateway_is_frozen_is_not_refused_as_not_run(cluster) {
        let before = cluster.fleet.started();
        let mut request = cluster.request("lookup", None, json!(1));
        request.deadline = Some(seconds(1));
        let outcome_task = cluster.submit(4, request);
        wait(Duration::from_millis(2)).await;
        cluster.instances[4].gateway.freeze();
        let outcome = outcome_task.await.expect("the task does not panic");
        assert!(cluster.fleet.started() > before);
        assert!(!matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    }

    async fn requests_refused_under_overload_never_run(cluster) {
        let mut outcome_tasks = Vec::new();
        for number in 0..400 {
            let key = format!("k{number}");
            let mut request = cluster.request("pay", Some(&key), json!(number));
            request.deadline = Some(Duration::from_millis(400));
            outcome_tasks.push((key, cluster.submit(number % 6, request)));
        }
        let mut refused = 0;
        for (key, outcome_task) in outcome_tasks {
            let outcome = outcome_task.await.expect("the task does not panic");
            if let Outcome::NotRun(_) = outcome {
                refused += 1;
                assert!(!cluster.fleet.executions().contains_key(&key), "{key}");
            }
        }
        assert!(refused > 0, "no request was refused in the burst");
        wait(seconds(20)).await;
        for (key, times) in cluster.fleet.executions() {
            assert_eq!(times, 1, "{key}");
        }
    }
}
