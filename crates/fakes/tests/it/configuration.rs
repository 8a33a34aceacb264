//! An accepted configuration is in force at all instances within seconds and never reverts.

use std::time::Duration;

use base::id;
use fakes::platform::Faults;
use wire::message::Action;
use wire::message::Change;
use wire::message::ChangeResult;
use wire::message::Target;
use wire::status::Status;

use crate::fixture::CONFIG;
use crate::fixture::scenarios;
use crate::fixture::seconds;
use crate::fixture::wait;

/// Maximum time until an accepted change is in force at all instances.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Condition that the dispatcher and the gateway of an instance have configuration `version`.
fn has_version(version: u64) -> impl Fn(&Status) -> bool {
    move |it| it.config_version == version && it.gateway_version == Some(version)
}

fn apply(text: &str, expect: u64, token: u64) -> Change {
    Change {
        author: format!("operator-{token}"),
        token: id::Token(token),
        action: Action::Apply {
            text: text.to_owned(),
            expect,
        },
    }
}

scenarios! {
    async fn a_change_is_in_force_everywhere_in_time(cluster) {
        let start = tokio::time::Instant::now();
        let result = cluster.apply(0, CONFIG, 1).await;
        assert_eq!(result, ChangeResult::Committed(2));
        cluster.wait_until("version 2", has_version(2)).await;
        assert!(start.elapsed() < PROPAGATION_TIMEOUT, "{:?}", start.elapsed());
    }

    async fn of_two_racing_operators_one_gets_a_conflict(cluster) {
        let (first, second) = tokio::join!(
            cluster.send_change(0, apply(CONFIG, 1, 10)),
            cluster.send_change(5, apply(CONFIG, 1, 11)),
        );
        let results = [first.expect("a reply"), second.expect("a reply")];
        assert!(results.contains(&ChangeResult::Committed(2)), "{results:?}");
        let is_conflict = |it: &ChangeResult| matches!(it, ChangeResult::Conflict { version: 2, .. });
        assert!(results.iter().any(is_conflict), "{results:?}");
        cluster.wait_until("version 2", has_version(2)).await;
    }

    async fn a_lost_commit_answer_is_resolved(cluster) {
        cluster.store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        let result = cluster.apply(0, CONFIG, 1).await;
        assert_eq!(result, ChangeResult::Committed(2));
        cluster.wait_until("version 2", has_version(2)).await;
    }

    async fn stale_reads_do_not_revert_the_configuration(cluster) {
        assert_eq!(cluster.apply(0, CONFIG, 1).await, ChangeResult::Committed(2));
        cluster.wait_until("version 2", has_version(2)).await;
        // All dispatchers have polled the new row by now, but for a while longer stale reads return
        // the old one.
        wait(Duration::from_millis(1100)).await;
        cluster.store.set_faults(Faults { stale_reads: true, ..Faults::default() });
        for _ in 0..50 {
            wait(Duration::from_millis(100)).await;
            cluster.wait_until("still version 2", has_version(2)).await;
        }
    }

    async fn a_dispatcher_frozen_during_a_drain_sends_nothing_to_the_drained_zone(cluster) {
        cluster.instances[2].dispatcher.freeze();
        cluster.instances[3].dispatcher.freeze();
        let target = Target::Zone("b".parse().expect("a valid name"));
        cluster.change(0, Action::Drain(target)).await;
        wait(seconds(5)).await;
        let before = cluster.fleet.stats("encoder-b").started;
        cluster.instances[2].dispatcher.thaw();
        cluster.instances[3].dispatcher.thaw();
        for number in 0..50 {
            let request = cluster.request("lookup", None, serde_json::json!(number));
            cluster.submit(2 + number % 2, request);
            wait(Duration::from_millis(50)).await;
        }
        cluster.wait_until("version 2", has_version(2)).await;
        assert_eq!(cluster.fleet.stats("encoder-b").started, before);
    }

    async fn an_instance_started_during_an_outage_gets_the_configuration_from_members(cluster) {
        assert_eq!(cluster.apply(0, CONFIG, 1).await, ChangeResult::Committed(2));
        cluster.wait_until("version 2", has_version(2)).await;
        cluster.kill(4);
        wait(seconds(6)).await;
        cluster.store.set_faults(Faults { outage: true, ..Faults::default() });
        cluster.restart(4);
        cluster.wait_until("version 2", has_version(2)).await;
    }

    async fn an_invalid_configuration_changes_nothing(cluster) {
        let result = cluster.apply(0, "zones: [a, a]", 1).await;
        assert!(matches!(result, ChangeResult::Faults(_)), "{result:?}");
        wait(seconds(3)).await;
        cluster.wait_until("still version 1", has_version(1)).await;
    }

    async fn partitioned_members_catch_up_when_the_network_heals(cluster) {
        cluster.partition(&[4, 5]);
        wait(seconds(8)).await;
        assert_eq!(cluster.apply(0, CONFIG, 1).await, ChangeResult::Committed(2));
        wait(seconds(3)).await;
        cluster.net.heal();
        cluster.wait_until("version 2", has_version(2)).await;
    }
}
