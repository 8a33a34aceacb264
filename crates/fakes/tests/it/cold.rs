//! A cold upstream gets no more than it bears, from all instances together.

use std::time::Duration;

use fakes::Cluster;
use fakes::platform::Faults as StoreFaults;
use fakes::upstream::Faults;
use serde_json::json;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Submits `count` chats, one every `every`, spread over the living instances.
async fn flood(cluster: &mut Cluster, count: usize, every: Duration) {
    for number in 0..count {
        let request = cluster.request("answer", None, json!(format!("q{number}")));
        let idx = number % cluster.instances.len();
        if !cluster.instances[idx].gateway.is_dead() {
            cluster.submit(idx, request);
        }
        wait(every).await;
    }
}

scenarios! {
    async fn a_burst_on_cold_upstreams_overruns_none(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(2)).await;
        wait(seconds(10)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn ownership_moves_by_a_graceful_stop(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.stop(0).await;
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.restart(0);
        flood(&mut cluster, 200, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn ownership_moves_by_a_kill(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.kill(0);
        cluster.kill(3);
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.restart(0);
        cluster.restart(3);
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn ownership_moves_by_a_freeze(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.instances[0].dispatcher.freeze();
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.instances[0].dispatcher.thaw();
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn views_differ_in_a_partition(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.partition(&[0, 1]);
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.net.heal();
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn calls_of_a_lost_owner_keep_their_room(cluster) {
        // Calls of 8 s, which go on when their owner dies, fill both cold ledgers.
        for name in ["ledger-a", "ledger-b"] {
            let slow = Faults { slow_factor: 400, ..Faults::default() };
            cluster.fleet.set_faults(name, slow);
        }
        for number in 0..4 {
            let request = cluster.request("pay", Some(&format!("slow-{number}")), json!(number));
            cluster.submit(4, request);
        }
        wait(Duration::from_millis(100)).await;
        for idx in 0..4 {
            if cluster.instances[idx].node.in_flight() > 0 {
                cluster.instances[idx].dispatcher.kill();
            }
        }
        for number in 0..100 {
            let request = cluster.request("pay", Some(&format!("more-{number}")), json!(number));
            cluster.submit(4 + number % 2, request);
            wait(Duration::from_millis(80)).await;
        }
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn an_owner_that_was_replaced_counts_the_calls_of_its_successor(cluster) {
        cluster.partition(&[0]);
        wait(seconds(8)).await;
        // The new owners wait for calls of the old one until the longest call has ended.
        wait(seconds(18)).await;
        for name in ["ledger-a", "ledger-b"] {
            let slow = Faults { slow_factor: 400, ..Faults::default() };
            cluster.fleet.set_faults(name, slow);
        }
        for number in 0..4 {
            let request = cluster.request("pay", Some(&format!("slow-{number}")), json!(number));
            cluster.submit(4, request);
        }
        wait(Duration::from_millis(100)).await;
        cluster.net.heal();
        for number in 0..60 {
            let request = cluster.request("pay", Some(&format!("more-{number}")), json!(number));
            cluster.submit(number % 6, request);
            wait(Duration::from_millis(80)).await;
        }
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn an_isolated_owner_sends_nothing_behind_its_fence(cluster) {
        cluster.partition(&[0]);
        wait(seconds(3)).await;
        let before = cluster.fleet.started();
        for number in 0..20 {
            let request = cluster.request("lookup", None, json!(number));
            let outcome = cluster.submit(0, request).await.expect("the task ends");
            let is_answered = matches!(outcome, pipeline::Outcome::Answered(_));
            assert!(!is_answered, "{outcome:?}");
        }
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn kills_during_a_store_outage(cluster) {
        flood(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        cluster.kill(1);
        flood(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn an_upstream_that_turns_cold_without_warning_recovers(cluster) {
        flood(&mut cluster, 600, Duration::from_millis(20)).await;
        let before = cluster.fleet.overruns();
        cluster.fleet.crash("llm-a");
        flood(&mut cluster, 600, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), before);
    }
}
