//! Every caller gets the whole answer to its own request.

use std::time::Duration;

use fakes::tokens;
use fakes::upstream::Faults;
use serde_json::json;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;
use crate::fixture::whole;

/// Tokens of each answer.
const TOKENS: u32 = 20;

fn expected(prompt: &str) -> serde_json::Value {
    json!(tokens::answer(prompt, TOKENS))
}

scenarios! {
    async fn a_cut_stream_is_resumed_elsewhere(cluster) {
        for name in ["llm-a", "llm-b", "llm-c"] {
            cluster.fleet.set_faults(name, Faults { cut_streams: 1, ..Faults::default() });
        }
        let request = cluster.request("chat", None, json!("hello"));
        let outcome = cluster.submit(0, request).await.expect("the task ends");
        assert_eq!(whole(outcome), expected("hello"));
    }

    async fn a_stream_survives_the_crash_of_its_engine(cluster) {
        let request = cluster.request("chat", None, json!("hello"));
        let running = cluster.submit(0, request);
        wait(Duration::from_millis(100)).await;
        let busy = cluster.fleet.names().into_iter().find(|it| {
            cluster.fleet.stats(it.as_str()).started > 0
        });
        cluster.fleet.crash(busy.expect("an engine runs it").as_str());
        assert_eq!(whole(running.await.expect("the task ends")), expected("hello"));
    }

    async fn a_stream_survives_the_loss_of_its_dispatcher(cluster) {
        for victim in 1..3 {
            let prompt = format!("hello {victim}");
            let request = cluster.request("chat", None, json!(prompt));
            let running = cluster.submit(0, request);
            wait(Duration::from_millis(100)).await;
            cluster.instances[victim].dispatcher.kill();
            assert_eq!(whole(running.await.expect("the task ends")), expected(&prompt));
        }
    }

    async fn a_stream_survives_the_freeze_of_its_dispatcher(cluster) {
        let request = cluster.request("chat", None, json!("hello"));
        let running = cluster.submit(0, request);
        wait(Duration::from_millis(100)).await;
        for instance in &cluster.instances[1..] {
            if instance.node.in_flight() > 0 {
                instance.dispatcher.freeze();
            }
        }
        assert_eq!(whole(running.await.expect("the task ends")), expected("hello"));
    }

    async fn crossed_answers_reach_nobody(cluster) {
        for name in ["encoder-a", "encoder-b", "encoder-c"] {
            cluster.fleet.set_faults(name, Faults { cross_answers: 1, ..Faults::default() });
        }
        for number in 0..20 {
            let input = json!({"number": number});
            let request = cluster.request("lookup", None, input.clone());
            let outcome = cluster.submit(number % 6, request).await.expect("the task ends");
            assert_eq!(whole(outcome)["input"], input);
        }
    }

    async fn many_callers_at_once_get_their_own_answers(cluster) {
        cluster.fleet.warm_all();
        let mut running = Vec::new();
        for number in 0..30usize {
            let input = json!(format!("question {number}"));
            let request = cluster.request("answer", None, input.clone());
            running.push((input, cluster.submit(number % 6, request)));
            wait(Duration::from_millis(150)).await;
        }
        for (input, running) in running {
            let result = whole(running.await.expect("the task ends"));
            let prompt = input.as_str().expect("a text");
            let is_own = ["encoder-a", "encoder-b", "encoder-c"].iter().any(|by| {
                let encoded = json!({"encode": {"by": by, "input": prompt, "key": null}});
                result == expected(&format!("{prompt}\n\n{encoded}"))
            });
            assert!(is_own, "{prompt}: {result}");
        }
    }

    async fn a_slow_upstream_is_hedged(cluster) {
        for number in 0..40 {
            let request = cluster.request("lookup", None, json!(number));
            whole(cluster.submit(0, request).await.expect("the task ends"));
        }
        cluster.fleet.set_faults("encoder-a", Faults { slow_factor: 100, ..Faults::default() });
        let start = tokio::time::Instant::now();
        let request = cluster.request("lookup", None, json!("slow"));
        whole(cluster.submit(0, request).await.expect("the task ends"));
        assert!(start.elapsed() < seconds(1), "{:?}", start.elapsed());
    }
}
