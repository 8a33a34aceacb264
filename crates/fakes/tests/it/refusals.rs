//! A refusal that says "not run" is true, wherever it comes from.

use std::time::Duration;

use pipeline::NotRunReason;
use pipeline::Outcome;
use serde_json::json;
use wire::message::Action;
use wire::message::Target;

use crate::fixture::not_run;
use crate::fixture::payment;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

scenarios! {
    async fn bad_requests_send_nothing(cluster) {
        let before = cluster.fleet.started();
        let request = cluster.request("nothing", None, json!(1));
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::UnknownPipeline);

        let mut request = cluster.request("lookup", None, json!(1));
        request.workspace = "strangers".parse().expect("a name");
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::UnknownWorkspace);

        let request = cluster.request("pay", None, payment());
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::MissingKey);

        let mut request = cluster.request("chat", None, json!("hello"));
        request.deadline = Some(Duration::from_millis(100));
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::DeadlineTooShort);
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn without_upstreams_it_is_refused_at_once(cluster) {
        for name in ["llm-a", "llm-b", "llm-c"] {
            let target = Target::Upstream(name.parse().expect("a name"));
            cluster.change(0, Action::Drain(target)).await;
        }
        wait(seconds(3)).await;
        let before = cluster.fleet.started();
        let request = cluster.request("chat", None, json!("hello"));
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(not_run(outcome), NotRunReason::NoUpstream);
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn a_payment_on_its_way_to_a_frozen_owner_is_not_called_not_run(cluster) {
        for idx in 0..4 {
            cluster.instances[idx].dispatcher.freeze();
        }
        let mut request = cluster.request("pay", Some("k"), payment());
        request.deadline = Some(seconds(1));
        let outcome = cluster.submit(4, request).await.expect("the task ends");
        let is_not_run = matches!(outcome, Outcome::NotRun(_));
        for idx in 0..4 {
            cluster.instances[idx].dispatcher.thaw();
        }
        wait(seconds(10)).await;
        let times = cluster.fleet.executions().get("k").copied().unwrap_or(0);
        assert!(!is_not_run || times == 0, "refused as not run, and run {times} times");
        assert!(times <= 1);
    }

    async fn a_request_whose_gateway_did_not_hear_that_it_was_sent_is_not_called_not_run(cluster) {
        let before = cluster.fleet.started();
        let mut request = cluster.request("lookup", None, json!(1));
        request.deadline = Some(seconds(1));
        let running = cluster.submit(4, request);
        wait(Duration::from_millis(2)).await;
        cluster.instances[4].gateway.freeze();
        let outcome = running.await.expect("the task ends");
        assert!(cluster.fleet.started() > before);
        assert!(!matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    }

    async fn every_refusal_of_an_overload_is_true(cluster) {
        let mut running = Vec::new();
        for number in 0..400 {
            let key = format!("k{number}");
            let mut request = cluster.request("pay", Some(&key), json!(number));
            request.deadline = Some(Duration::from_millis(400));
            running.push((key, cluster.submit(number % 6, request)));
        }
        let mut refused = 0;
        for (key, running) in running {
            let outcome = running.await.expect("the task ends");
            if let Outcome::NotRun(_) = outcome {
                refused += 1;
                assert!(!cluster.fleet.executions().contains_key(&key), "{key}");
            }
        }
        assert!(refused > 0, "the burst was meant to overload");
        wait(seconds(20)).await;
        for (key, times) in cluster.fleet.executions() {
            assert_eq!(times, 1, "{key}");
        }
    }
}
