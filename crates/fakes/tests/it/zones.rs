//! A drained availability zone or upstream gets no new calls after a few seconds, and gets them
//! again gradually, without an overrun, when it is returned.

use std::time::Duration;

use fakes::Cluster;
use fakes::platform::Faults;
use pipeline::Outcome;
use serde_json::json;
use wire::message::Action;
use wire::message::ChangeResult;
use wire::message::Target;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Time after which a drained zone or upstream gets no new calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

fn zone(name: &str) -> Target {
    Target::Zone(name.parse().expect("a valid name"))
}

/// Number of calls started by the upstreams `names`.
fn calls_started(cluster: &Cluster, names: &[&str]) -> u64 {
    let counts = names.iter().map(|it| cluster.fleet.stats(it).started);
    counts.sum()
}

const ZONE_B_UPSTREAMS: [&str; 3] = ["llm-b", "encoder-b", "ledger-b"];

/// Submits ten requests per second for `duration`, waits for their outcomes and returns the number
/// of those without a complete answer.
async fn run_load(cluster: &mut Cluster, gateways: &[usize], duration: Duration) -> usize {
    let mut outcome_tasks = Vec::new();
    let end = tokio::time::Instant::now() + duration;
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        let idx = gateways[number % gateways.len()];
        let key = format!("load-{number}-{}", end.elapsed().as_millis());
        let request = match number % 4 {
            0 => cluster.request("chat", None, json!(format!("q{number}"))),
            1 => cluster.request("pay", Some(&key), json!(number)),
            _ => cluster.request("lookup", None, json!(number)),
        };
        outcome_tasks.push(cluster.submit(idx, request));
        number += 1;
        wait(Duration::from_millis(100)).await;
    }
    let mut unanswered = 0;
    for outcome_task in outcome_tasks {
        let outcome = outcome_task.await.expect("the task does not panic");
        if !matches!(outcome, Outcome::Answered(_)) {
            println!("{outcome:?}");
            unanswered += 1;
        }
    }
    unanswered
}

scenarios! {
    async fn a_drained_zone_gets_no_new_work_and_no_request_fails(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        assert_eq!(run_load(&mut cluster, &all, seconds(5)).await, 0);
        let result = cluster.change(4, Action::Drain(zone("b"))).await;
        assert_eq!(result, ChangeResult::Committed(2));
        assert_eq!(run_load(&mut cluster, &all, DRAIN_TIMEOUT).await, 0);
        let before = calls_started(&cluster, &ZONE_B_UPSTREAMS);
        assert_eq!(run_load(&mut cluster, &all, seconds(10)).await, 0);
        assert_eq!(calls_started(&cluster, &ZONE_B_UPSTREAMS), before);
        cluster.change(0, Action::Return(zone("b"))).await;
        assert_eq!(run_load(&mut cluster, &all, seconds(10)).await, 0);
        assert!(calls_started(&cluster, &ZONE_B_UPSTREAMS) > before);
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_zone_is_drained_with_the_store_down(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        run_load(&mut cluster, &all, seconds(3)).await;
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let result = cluster.change(4, Action::Drain(zone("b"))).await;
        assert_eq!(result, ChangeResult::Spreading);
        run_load(&mut cluster, &all, DRAIN_TIMEOUT).await;
        let before = calls_started(&cluster, &ZONE_B_UPSTREAMS);
        run_load(&mut cluster, &all, seconds(5)).await;
        assert_eq!(calls_started(&cluster, &ZONE_B_UPSTREAMS), before);
        cluster.store.set_faults(Faults::default());
        wait(seconds(5)).await;
        let row = cluster.store.row(dispatcher::changes::CONFIG_ROW_KEY).expect("a document");
        assert!(row.value.contains(r#""zones":["b"]"#), "{}", row.value);
        cluster.change(0, Action::Return(zone("b"))).await;
        run_load(&mut cluster, &all, seconds(5)).await;
        assert!(calls_started(&cluster, &ZONE_B_UPSTREAMS) > before);
    }

    async fn a_zone_cannot_return_while_the_store_is_down(cluster) {
        cluster.change(4, Action::Drain(zone("b"))).await;
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let result = cluster.change(0, Action::Return(zone("b"))).await;
        assert_eq!(result, ChangeResult::StoreDown);
        wait(seconds(3)).await;
        let is_drained = |it: &wire::status::Status| it.drained.zones.len() == 1;
        cluster.wait_until("zone b drained", is_drained).await;
    }

    async fn requests_in_flight_in_a_drained_zone_finish(cluster) {
        let mut outcome_tasks = Vec::new();
        for idx in 0..6 {
            let request = cluster.request("chat", None, json!(format!("q{idx}")));
            outcome_tasks.push(cluster.submit(idx, request));
        }
        wait(Duration::from_millis(50)).await;
        cluster.change(4, Action::Drain(zone("b"))).await;
        for outcome_task in outcome_tasks {
            crate::fixture::expect_answer(outcome_task.await.expect("the task does not panic"));
        }
    }

    async fn a_drained_upstream_gets_no_new_work(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        run_load(&mut cluster, &all, seconds(3)).await;
        let target = Target::Upstream("llm-a".parse().expect("a valid name"));
        cluster.change(0, Action::Drain(target)).await;
        assert_eq!(run_load(&mut cluster, &all, DRAIN_TIMEOUT).await, 0);
        let before = calls_started(&cluster, &["llm-a"]);
        assert_eq!(run_load(&mut cluster, &all, seconds(5)).await, 0);
        assert_eq!(calls_started(&cluster, &["llm-a"]), before);
    }

    async fn requests_are_answered_again_after_the_loss_of_a_zone(cluster) {
        run_load(&mut cluster, &[0, 1, 4, 5], seconds(3)).await;
        cluster.kill(2);
        cluster.kill(3);
        for name in ZONE_B_UPSTREAMS {
            cluster.fleet.crash(name);
        }
        run_load(&mut cluster, &[0, 1, 4, 5], seconds(20)).await;
        assert_eq!(run_load(&mut cluster, &[0, 1, 4, 5], seconds(10)).await, 0);
    }
}
