//! All instances together do not exceed the in-flight limit of a cold upstream.

use std::time::Duration;

use fakes::Cluster;
use fakes::platform::Faults as StoreFaults;
use fakes::upstream::Faults;
use serde_json::json;

use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Submits `count` requests at an interval, in turn to all instances but those with a dead gateway.
async fn submit_requests(cluster: &mut Cluster, count: usize, interval: Duration) {
    for number in 0..count {
        let request = cluster.request("answer", None, json!(format!("q{number}")));
        let idx = number % cluster.instances.len();
        if !cluster.instances[idx].gateway.is_dead() {
            cluster.submit(idx, request);
        }
        wait(interval).await;
    }
}

scenarios! {
    async fn a_burst_on_cold_upstreams_overruns_none(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(2)).await;
        wait(seconds(10)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_graceful_stop_overruns_no_upstream(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.stop(0).await;
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.restart(0);
        submit_requests(&mut cluster, 200, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn killed_owners_overrun_no_upstream(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.kill(0);
        cluster.kill(3);
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.restart(0);
        cluster.restart(3);
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_frozen_owner_overruns_no_upstream(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.instances[0].dispatcher.freeze();
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.instances[0].dispatcher.thaw();
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_partition_overruns_no_upstream(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.partition(&[0, 1]);
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        cluster.net.heal();
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn calls_of_a_killed_owner_still_count_against_the_limit(cluster) {
        // The calls take 8 s and continue when their owner is killed. They use up the in-flight
        // limits of both cold upstreams.
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

    async fn an_owner_back_from_a_partition_counts_the_calls_of_its_successor(cluster) {
        cluster.partition(&[0]);
        wait(seconds(8)).await;
        // The new owners assume that calls of the old one are in flight until the longest possible
        // call has ended.
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

    async fn an_isolated_owner_sends_nothing_without_its_lease(cluster) {
        cluster.partition(&[0]);
        wait(seconds(3)).await;
        let before = cluster.fleet.started();
        for number in 0..20 {
            let request = cluster.request("lookup", None, json!(number));
            let outcome = cluster.submit(0, request).await.expect("the task does not panic");
            let is_answered = matches!(outcome, pipeline::Outcome::Answered(_));
            assert!(!is_answered, "{outcome:?}");
        }
        assert_eq!(cluster.fleet.started(), before);
    }

    async fn a_kill_during_a_store_outage_overruns_no_upstream(cluster) {
        submit_requests(&mut cluster, 100, Duration::from_millis(20)).await;
        cluster.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        cluster.kill(1);
        submit_requests(&mut cluster, 500, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), 0);
    }

    async fn a_crashed_upstream_is_not_overrun_when_it_returns_cold(cluster) {
        submit_requests(&mut cluster, 600, Duration::from_millis(20)).await;
        let before = cluster.fleet.overruns();
        cluster.fleet.crash("llm-a");
        submit_requests(&mut cluster, 600, Duration::from_millis(20)).await;
        assert_eq!(cluster.fleet.overruns(), before);
    }
}
