//! The time that refused clients are told to wait.

use std::time::Duration;

use forwarding::returns::spread;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Answers: clients with little time left are all told the longest time that they accept, and
/// return in the same moment.
#[test]
fn clients_that_accept_less_than_wanted_are_spread() {
    let accepted = ms(1_200);
    let waits: Vec<Duration> = (0..200)
        .map(|it| spread(ms(3_000), accepted, &format!("r-{it}")))
        .collect();
    assert!(waits.iter().all(|it| *it >= ms(600) && *it <= accepted));
    for tenth in 0..10 {
        let from = ms(600 + tenth * 60);
        let count = waits
            .iter()
            .filter(|it| **it >= from && **it < from + ms(60));
        // Twice the even part.
        assert!(count.count() <= 40, "{tenth}: {waits:?}");
    }
    assert_eq!(spread(ms(3_000), accepted, "r-7"), waits[7]);
}

/// Answers: a client is told another time than the owner chose for it.
#[test]
fn an_accepted_wait_stays() {
    assert_eq!(spread(ms(700), ms(1_200), "r"), ms(700));
    assert_eq!(spread(ms(1_200), ms(1_200), "r"), ms(1_200));
    assert_eq!(spread(ms(1), Duration::ZERO, "r"), Duration::ZERO);
}
