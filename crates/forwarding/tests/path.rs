//! Paths to upstreams that this instance or others reach.

use std::time::Duration;

use base::id;
use forwarding::path::Counts;
use forwarding::path::HelperAnswer;
use forwarding::path::Paths;
use forwarding::path::Way;
use tokio::time::Instant;

/// The users' bound on connections that are tried on lost paths, in any second.
const PROBES_PER_SECOND_MAX: usize = 5;
/// Time within which a path that is back has to be used again, if few are lost.
const RETURN_TIME_MAX: Duration = Duration::from_secs(3);

fn upstream(idx: usize) -> id::Upstream {
    format!("u{idx}").parse().expect("a valid name")
}

fn instance(idx: usize) -> id::Instance {
    format!("n{idx}").parse().expect("a valid name")
}

/// Paths of which the first `count` are lost.
fn lost(count: usize, now: Instant) -> Paths {
    let mut paths = Paths::default();
    for idx in 0..count {
        paths.record_unreached(&upstream(idx), now);
        assert!(paths.record_detour(&upstream(idx), 0.5, now));
    }
    paths
}

#[test]
fn an_upstream_that_nobody_reaches_is_down_and_its_path_is_not_lost() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    paths.record_unreached(&upstream(0), now);
    paths.record_down(&upstream(0), now);
    assert!(paths.is_down(&upstream(0), now));
    assert_eq!(paths.way(&upstream(0)), Way::Direct);
    assert_eq!(paths.next_probe(), None);
}

/// Guards against a delay for each upstream before its first connection takes the detour.
#[test]
fn all_paths_count_as_lost_after_two_losses_with_nothing_reached_since() {
    let mut paths = lost(1, Instant::now());
    assert_eq!(paths.way(&upstream(9)), Way::Direct);
    paths = lost(2, Instant::now());
    assert_eq!(paths.way(&upstream(9)), Way::Detour);
    assert!(paths.is_cut_off());
}

/// Guards against detours for all upstreams when the paths to those of one service are lost.
#[test]
fn an_answer_over_a_direct_connection_shows_that_not_all_paths_are_lost() {
    let mut paths = lost(2, Instant::now());
    paths.record_answered(&upstream(9));
    assert!(!paths.is_cut_off());
    assert_eq!(paths.way(&upstream(9)), Way::Direct);
    assert_eq!(paths.way(&upstream(0)), Way::Detour);
}

/// Guards against new connections on a lost path because an open one still carries answers.
#[test]
fn an_answer_over_an_open_connection_does_not_find_a_lost_path() {
    let mut paths = lost(1, Instant::now());
    paths.record_answered(&upstream(0));
    assert_eq!(paths.way(&upstream(0)), Way::Detour);
    assert!(paths.record_reached(&upstream(0)));
    assert_eq!(paths.way(&upstream(0)), Way::Direct);
}

#[test]
fn upstreams_are_counted_by_the_latest_attempt() {
    let mut paths = lost(2, Instant::now());
    paths.record_reached(&upstream(5));
    let counts = Counts {
        reached: 1,
        unreached: 2,
    };
    assert_eq!(paths.counts(), counts);
    paths.retain(|it| *it == upstream(5), |_| true);
    let counts = Counts {
        reached: 1,
        unreached: 0,
    };
    assert_eq!(paths.counts(), counts);
    assert_eq!(paths.next_probe(), None);
}

/// Guards against a storm of connections to upstreams that are not reached.
#[test]
fn lost_paths_are_probed_a_few_times_a_second() {
    for count in [1, 2, 40, 600] {
        let start = Instant::now();
        let mut paths = lost(count, start);
        let mut probes: Vec<Instant> = Vec::new();
        let mut now = start;
        while now < start + Duration::from_secs(60) {
            now = paths.next_probe().expect("a lost path").max(now);
            assert!(paths.take_probe(now).is_some());
            assert!(paths.take_probe(now).is_none());
            probes.push(now);
        }
        for first in &probes {
            let second = *first..*first + Duration::from_secs(1);
            let in_second = probes.iter().filter(|it| second.contains(it)).count();
            assert!(in_second <= PROBES_PER_SECOND_MAX, "{in_second} of {count}");
        }
    }
}

/// Guards against paths that are used late after their return.
#[test]
fn a_path_that_is_back_is_probed_soon() {
    let start = Instant::now();
    let mut paths = lost(1, start);
    let back_at = start + Duration::from_secs(20);
    loop {
        let now = paths.next_probe().expect("a lost path");
        paths.take_probe(now);
        if now >= back_at {
            assert!(now - back_at <= RETURN_TIME_MAX);
            return;
        }
    }
}

/// Guards against asking again and again instances that are cut off as well.
#[test]
fn an_instance_that_reached_an_upstream_is_asked_first() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    let mut order: Vec<id::Instance> = (0..350).map(instance).collect();
    for it in &order {
        paths.record_helper(it, HelperAnswer::Refused, now);
    }
    paths.record_helper(&instance(42), HelperAnswer::Reached, now);
    order.push(instance(999));
    paths.order_helpers(&mut order, "n0/u0", now);
    assert_eq!(order[..2], [instance(42), instance(999)]);
}

/// Guards against a long wait for each upstream of another zone behind a partition between zones.
#[test]
fn an_instance_that_did_not_answer_is_left_out_for_a_time() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    paths.record_helper(&instance(0), HelperAnswer::Silent, now);
    let mut order = vec![instance(0), instance(1)];
    paths.order_helpers(&mut order, "n0/u0", now);
    assert_eq!(order, [instance(1)]);
    order.push(instance(0));
    paths.order_helpers(&mut order, "n0/u0", now + Duration::from_secs(2));
    assert_eq!(order.len(), 2);
}

#[test]
fn detours_of_different_instances_lead_through_different_ones() {
    let (paths, now) = (Paths::default(), Instant::now());
    let mut firsts: Vec<id::Instance> = (0..100)
        .map(|idx| {
            let mut order: Vec<id::Instance> = (0..8).map(instance).collect();
            paths.order_helpers(&mut order, &format!("n{idx}/u0"), now);
            order.remove(0)
        })
        .collect();
    firsts.sort();
    firsts.dedup();
    assert_eq!(firsts.len(), 8);
}
