//! Every request gets the complete answer to itself, even if a stream breaks or answers are mixed
//! up.

use std::time::Duration;

use fakes::tokens;
use fakes::upstream::Faults;
use serde_json::json;

use crate::fixture::expect_answer;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 20;

fn expected_answer(prompt: &str) -> serde_json::Value {
    json!(tokens::answer(prompt, ANSWER_TOKENS))
}

scenarios! {
    async fn a_cut_stream_is_resumed_elsewhere(cluster) {
        for name in ["llm-a", "llm-b", "llm-c"] {
            cluster.fleet.set_faults(name, Faults { cut_streams: 1, ..Faults::default() });
        }
        let request = cluster.request("chat", None, json!("hello"));
        let outcome = cluster.submit(0, request).await.expect("the task does not panic");
        assert_eq!(expect_answer(outcome), expected_answer("hello"));
    }

    async fn a_stream_survives_the_crash_of_its_engine(cluster) {
        let request = cluster.request("chat", None, json!("hello"));
        let outcome_task = cluster.submit(0, request);
        wait(Duration::from_millis(100)).await;
        let engine = cluster.fleet.names().into_iter().find(|it| {
            cluster.fleet.stats(it.as_str()).started > 0
        });
        cluster.fleet.crash(engine.expect("an engine has started the call").as_str());
        assert_eq!(
            expect_answer(outcome_task.await.expect("the task does not panic")),
            expected_answer("hello"),
        );
    }

    async fn a_stream_survives_the_loss_of_its_dispatcher(cluster) {
        for killed_idx in 1..3 {
            let prompt = format!("hello {killed_idx}");
            let request = cluster.request("chat", None, json!(prompt));
            let outcome_task = cluster.submit(0, request);
            wait(Duration::from_millis(100)).await;
            cluster.instances[killed_idx].dispatcher.kill();
            assert_eq!(
                expect_answer(outcome_task.await.expect("the task does not panic")),
                expected_answer(&prompt),
            );
        }
    }

    async fn a_stream_survives_the_freeze_of_its_dispatcher(cluster) {
        let request = cluster.request("chat", None, json!("hello"));
        let outcome_task = cluster.submit(0, request);
        wait(Duration::from_millis(100)).await;
        for instance in &cluster.instances[1..] {
            if instance.node.in_flight() > 0 {
                instance.dispatcher.freeze();
            }
        }
        assert_eq!(
            expect_answer(outcome_task.await.expect("the task does not panic")),
            expected_answer("hello"),
        );
    }

    async fn answers_to_other_attempts_are_not_delivered(cluster) {
        for name in ["encoder-a", "encoder-b", "encoder-c"] {
            cluster.fleet.set_faults(name, Faults { cross_answers: 1, ..Faults::default() });
        }
        for number in 0..20 {
            let input = json!({"number": number});
            let request = cluster.request("lookup", None, input.clone());
            let outcome = cluster
                .submit(number % 6, request)
                .await
                .expect("the task does not panic");
            assert_eq!(expect_answer(outcome)["input"], input);
        }
    }

    async fn many_callers_at_once_get_their_own_answers(cluster) {
        cluster.fleet.warm_all();
        let mut outcome_tasks = Vec::new();
        for number in 0..30usize {
            let input = json!(format!("question {number}"));
            let request = cluster.request("answer", None, input.clone());
            outcome_tasks.push((input, cluster.submit(number % 6, request)));
            wait(Duration::from_millis(150)).await;
        }
        for (input, outcome_task) in outcome_tasks {
            let result = expect_answer(outcome_task.await.expect("the task does not panic"));
            let prompt = input.as_str().expect("the input is a string");
            let is_expected = ["encoder-a", "encoder-b", "encoder-c"].iter().any(|by| {
                let encoded = json!({"encode": {"by": by, "input": prompt, "key": null}});
                result == expected_answer(&format!("{prompt}\n\n{encoded}"))
            });
            assert!(is_expected, "{prompt}: {result}");
        }
    }

    async fn calls_to_a_slow_upstream_are_hedged(cluster) {
        for number in 0..40 {
            let request = cluster.request("lookup", None, json!(number));
            expect_answer(cluster.submit(0, request).await.expect("the task does not panic"));
        }
        cluster.fleet.set_faults("encoder-a", Faults { slow_factor: 100, ..Faults::default() });
        let start = tokio::time::Instant::now();
        let request = cluster.request("lookup", None, json!("slow"));
        expect_answer(cluster.submit(0, request).await.expect("the task does not panic"));
        assert!(start.elapsed() < seconds(1), "{:?}", start.elapsed());
    }
}
