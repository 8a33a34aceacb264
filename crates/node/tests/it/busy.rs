//! Instances that don't keep up with their events.

use std::time::Duration;

use tokio::time::Instant;

use crate::fixture::Fixture;
use crate::fixture::eventually;

/// Time for which the process is held up before each round of its tasks: more than the lag at which
/// work of the tested route is turned away.
const STALL: Duration = Duration::from_millis(130);

/// Headers of a request whose step has two pieces.
const STEPS: [&str; 2] = ["x-chunks: 2", "x-chunk-key: k"];

/// Answers the burst in which owners fell behind and silent: one that doesn't keep up turns steps away at
/// once, and with a time to wait, instead of taking them and letting them miss their deadline. As soon as
/// it keeps up, it serves again.
#[tokio::test]
async fn steps_are_turned_away_while_an_owner_does_not_keep_up() {
    let fixture = Fixture::start(2).await;
    let served = fixture.send("POST /draft/1", "before", &STEPS).await;
    assert_eq!(served.status, 200, "{}", served.head);
    let load = tokio::spawn(async {
        loop {
            std::thread::sleep(STALL);
            tokio::task::yield_now().await;
        }
    });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for node in 0..2 {
        let id = format!("busy{node}");
        let refused = fixture.send_to(node, "POST /draft/1", &id, &STEPS).await;
        let head = refused.head.to_lowercase();
        assert!((429..=503).contains(&refused.status), "{head}");
        assert!(head.contains("retry-after"), "{head}");
        assert!(fixture.runs(&id).is_empty(), "run at node {node}");
    }
    load.abort();
    let start = Instant::now();
    let fixture = &fixture;
    eventually("served again", Duration::from_secs(3), || async move {
        let id = format!("after{}", start.elapsed().as_millis());
        fixture.send("POST /draft/1", &id, &STEPS).await.status == 200
    })
    .await;
}
