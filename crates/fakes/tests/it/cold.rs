//! A cold upstream gets no more than it bears, from all instances together.

use std::time::Duration;

use fakes::Cluster;
use fakes::platform::Faults as StoreFaults;
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
