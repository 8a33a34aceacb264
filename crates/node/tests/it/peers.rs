//! Suspicion of other instances that do not answer.

use std::time::Duration;

use catalog::Member;
use node::peers::Peers;

fn member() -> Member {
    Member {
        instance: "other".parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        incarnation: 1,
        cpu_share: 1.0,
    }
}

async fn check_suspected_for(peers: &Peers, member: &Member, millis: u64) {
    tokio::time::advance(Duration::from_millis(millis - 1)).await;
    assert!(peers.is_suspected(&member.instance), "{millis} ms");
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!peers.is_suspected(&member.instance), "{millis} ms");
}

/// Guards against a long suspicion after a first timeout. After a power loss all 58 instances
/// skipped each other for 2 s, and each ran the steps of its requests itself: 1,011 of their calls
/// met full upstreams (ccfao-fees-grown trouble-2).
#[tokio::test(start_paused = true)]
async fn a_suspicion_is_short_at_first_and_doubles_with_each_timeout() {
    let (peers, member) = (Peers::default(), member());
    for millis in [250, 500, 1_000, 2_000, 2_000] {
        assert!(peers.record_timeout(&member).await);
        check_suspected_for(&peers, &member, millis).await;
    }
    peers.record_answer(&member.instance);
    assert!(peers.record_timeout(&member).await);
    check_suspected_for(&peers, &member, 250).await;
}

#[tokio::test(start_paused = true)]
async fn concurrent_timeouts_count_once() {
    let (peers, member) = (Peers::default(), member());
    assert!(peers.record_timeout(&member).await);
    assert!(!peers.record_timeout(&member).await);
    check_suspected_for(&peers, &member, 250).await;
}
