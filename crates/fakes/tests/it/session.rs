//! Golden files: the merged timeline of all processes in a scenario.

use expect_test::ExpectFile;
use expect_test::expect_file;
use fakes::Cluster;
use fakes::platform::Faults as StoreFaults;
use fakes::upstream::Faults;
use serde_json::json;
use telemetry::timeline::Kind;
use wire::message::Action;
use wire::message::Target;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Compares the timeline since `start_us` with a golden file, without events about warmth.
fn check_timeline(cluster: &Cluster, start_us: u64, expected: &ExpectFile) {
    let events = cluster.timeline().into_iter();
    let events = events.filter(|it| it.at_us >= start_us && it.kind != Kind::Warmth);
    let lines = events.map(|it| {
        let millis = (it.at_us - start_us) as f64 / 1000.0;
        format!("t={millis:.1}ms {it}\n")
    });
    expected.assert_eq(&lines.collect::<String>());
}

fn now_us(cluster: &Cluster) -> u64 {
    cluster.elapsed().as_micros() as u64
}

scenarios! {
    async fn a_payment_tapped_twice(cluster) {
        let start = now_us(&cluster);
        let first = cluster.request("pay", Some("case-1"), json!({"cents": 2500}));
        let second = cluster.request("pay", Some("case-1"), json!({"cents": 2500}));
        let first = cluster.submit(0, first);
        let second = cluster.submit(3, second);
        first.await.expect("the task does not panic");
        second.await.expect("the task does not panic");
        check_timeline(&cluster, start, &expect_file!["golden/payment_tapped_twice.txt"]);
    }

    async fn a_stream_cut_and_resumed(cluster) {
        for name in ["llm-a", "llm-b", "llm-c"] {
            cluster.fleet.set_faults(name, Faults { cut_streams: 1, ..Faults::default() });
        }
        let start = now_us(&cluster);
        let request = cluster.request("answer", None, json!("what do I owe?"));
        cluster.submit(0, request).await.expect("the task does not panic");
        check_timeline(&cluster, start, &expect_file!["golden/stream_cut_and_resumed.txt"]);
    }

    async fn a_zone_leaves_with_the_store_down_and_returns(cluster) {
        let start = now_us(&cluster);
        let zone = Target::Zone("b".parse().expect("a valid name"));
        cluster.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        cluster.change(2, Action::Drain(zone.clone())).await;
        wait(seconds(2)).await;
        let request = cluster.request("lookup", None, json!("docket"));
        cluster.submit(2, request).await.expect("the task does not panic");
        cluster.store.set_faults(StoreFaults::default());
        wait(seconds(3)).await;
        cluster.change(0, Action::Return(zone)).await;
        wait(seconds(2)).await;
        check_timeline(&cluster, start, &expect_file!["golden/zone_leaves_and_returns.txt"]);
    }

    async fn an_instance_is_lost_and_comes_back(cluster) {
        let start = now_us(&cluster);
        cluster.kill(2);
        wait(seconds(8)).await;
        cluster.restart(2);
        wait(seconds(5)).await;
        check_timeline(&cluster, start, &expect_file!["golden/instance_lost.txt"]);
    }
}
