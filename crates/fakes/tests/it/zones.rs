//! A drained availability zone or upstream gets no new work after a few seconds, and comes back
//! gradually.

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

/// Time after which a drained target gets no new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);

fn zone(name: &str) -> Target {
    Target::Zone(name.parse().expect("a name"))
}

fn started(cluster: &Cluster, names: &[&str]) -> u64 {
    let started = names.iter().map(|it| cluster.fleet.stats(it).started);
    started.sum()
}

const ZONE_B: [&str; 3] = ["llm-b", "encoder-b", "ledger-b"];

/// Runs a light load for `time`; returns how many requests got no whole answer.
async fn load(cluster: &mut Cluster, gateways: &[usize], time: Duration) -> usize {
    let mut running = Vec::new();
    let end = tokio::time::Instant::now() + time;
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        let idx = gateways[number % gateways.len()];
        let key = format!("load-{number}-{}", end.elapsed().as_millis());
        let request = match number % 4 {
            0 => cluster.request("chat", None, json!(format!("q{number}"))),
            1 => cluster.request("pay", Some(&key), json!(number)),
            _ => cluster.request("lookup", None, json!(number)),
        };
        running.push(cluster.submit(idx, request));
        number += 1;
        wait(Duration::from_millis(100)).await;
    }
    let mut bad = 0;
    for running in running {
        let outcome = running.await.expect("the task ends");
        if !matches!(outcome, Outcome::Answered(_)) {
            println!("{outcome:?}");
            bad += 1;
        }
    }
    bad
}

scenarios! {
    async fn a_drained_zone_gets_no_new_work_and_hurts_no_caller(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        assert_eq!(load(&mut cluster, &all, seconds(5)).await, 0);
        let result = cluster.change(4, Action::Drain(zone("b"))).await;
        assert_eq!(result, ChangeResult::Committed(2));
        assert_eq!(load(&mut cluster, &all, DRAIN_TIME).await, 0);
        let before = started(&cluster, &ZONE_B);
        assert_eq!(load(&mut cluster, &all, seconds(10)).await, 0);
        assert_eq!(started(&cluster, &ZONE_B), before);
        cluster.change(0, Action::Return(zone("b"))).await;
        assert_eq!(load(&mut cluster, &all, seconds(10)).await, 0);
        assert!(started(&cluster, &ZONE_B) > before);
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_zone_is_drained_with_the_store_down(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        load(&mut cluster, &all, seconds(3)).await;
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let result = cluster.change(4, Action::Drain(zone("b"))).await;
        assert_eq!(result, ChangeResult::Spreading);
        load(&mut cluster, &all, DRAIN_TIME).await;
        let before = started(&cluster, &ZONE_B);
        load(&mut cluster, &all, seconds(5)).await;
        assert_eq!(started(&cluster, &ZONE_B), before);
        cluster.store.set_faults(Faults::default());
        wait(seconds(5)).await;
        let row = cluster.store.row(dispatcher::changes::CONFIG_ROW_KEY).expect("a document");
        assert!(row.value.contains(r#""zones":["b"]"#), "{}", row.value);
        cluster.change(0, Action::Return(zone("b"))).await;
        load(&mut cluster, &all, seconds(5)).await;
        assert!(started(&cluster, &ZONE_B) > before);
    }

    async fn a_zone_cannot_return_while_the_store_is_down(cluster) {
        cluster.change(4, Action::Drain(zone("b"))).await;
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        let result = cluster.change(0, Action::Return(zone("b"))).await;
        assert_eq!(result, ChangeResult::StoreDown);
        wait(seconds(3)).await;
        let is_out = |it: &wire::status::Status| it.drained.zones.len() == 1;
        cluster.wait_until("the zone stays out", is_out).await;
    }

    async fn requests_in_flight_in_a_drained_zone_finish(cluster) {
        let mut running = Vec::new();
        for idx in 0..6 {
            let request = cluster.request("chat", None, json!(format!("q{idx}")));
            running.push(cluster.submit(idx, request));
        }
        wait(Duration::from_millis(50)).await;
        cluster.change(4, Action::Drain(zone("b"))).await;
        for running in running {
            crate::fixture::whole(running.await.expect("the task ends"));
        }
    }

    async fn a_drained_upstream_gets_no_new_work(cluster) {
        let all = [0, 1, 2, 3, 4, 5];
        load(&mut cluster, &all, seconds(3)).await;
        let target = Target::Upstream("llm-a".parse().expect("a name"));
        cluster.change(0, Action::Drain(target)).await;
        assert_eq!(load(&mut cluster, &all, DRAIN_TIME).await, 0);
        let before = started(&cluster, &["llm-a"]);
        assert_eq!(load(&mut cluster, &all, seconds(5)).await, 0);
        assert_eq!(started(&cluster, &["llm-a"]), before);
    }

    async fn a_zone_that_dies_without_warning_is_replaced(cluster) {
        load(&mut cluster, &[0, 1, 4, 5], seconds(3)).await;
        cluster.kill(2);
        cluster.kill(3);
        for name in ZONE_B {
            cluster.fleet.crash(name);
        }
        load(&mut cluster, &[0, 1, 4, 5], seconds(20)).await;
        assert_eq!(load(&mut cluster, &[0, 1, 4, 5], seconds(10)).await, 0);
    }
}
