//! What an instance believes of others that do not answer.

use std::time::Duration;

use catalog::Member;
use node::peers::Peers;

fn member() -> Member {
    Member {
        instance: "other".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
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

/// After a loss of power all 58 instances passed each other over for 2 s, and each ran the steps of
/// its requests on its own: 1,011 of their calls met full upstreams (ccfao-fees-grown trouble-2).
#[tokio::test(start_paused = true)]
async fn a_member_that_was_silent_once_is_soon_asked_again() {
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
async fn requests_that_find_the_same_silence_count_it_once() {
    let (peers, member) = (Peers::default(), member());
    assert!(peers.record_timeout(&member).await);
    assert!(!peers.record_timeout(&member).await);
    check_suspected_for(&peers, &member, 250).await;
}
