//! Owners of the step services where instances differ in size.

use std::net::SocketAddr;

use catalog::Member;
use ownership::capable_order;

/// Share of a core of a large instance.
const LARGE: f64 = 0.5;
/// Share of a core of a small instance.
const SMALL: f64 = 0.12;

fn members(large: usize, small: usize) -> Vec<Member> {
    let shares = std::iter::repeat_n(LARGE, large).chain(std::iter::repeat_n(SMALL, small));
    let members = shares.enumerate().map(|(number, cpu_share)| Member {
        instance: format!("entry-{number}").parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        cpu_share,
        incarnation: 1,
    });
    members.collect()
}

fn keys() -> impl Iterator<Item = String> {
    (0..100).map(|it| format!("steps/zone-{it}"))
}

/// Guards against small instances that own the steps of a zone and drown in a burst, because they are
/// the many.
#[test]
fn large_instances_own_before_many_small_ones() {
    let members = members(2, 28);
    for key in keys() {
        let order = capable_order(&key, &members);
        let shares: Vec<f64> = order.iter().take(2).map(|it| it.cpu_share).collect();
        assert_eq!(shares, [LARGE, LARGE], "{key}");
        assert_eq!(order.len(), members.len());
    }
}

/// Guards against a zone without an owner when all of its large instances are lost.
#[test]
fn small_instances_own_when_no_large_one_is_left() {
    let members = members(0, 28);
    let owners = keys().map(|it| capable_order(&it, &members)[0].instance.clone());
    let mut owners: Vec<_> = owners.collect();
    owners.sort();
    owners.dedup();
    assert!(owners.len() > 14, "{} of 28 own 100 shards", owners.len());
}

/// Guards against work that moves between owners which remain: only that of the lost one moves.
#[test]
fn a_lost_instance_moves_only_what_it_owned() {
    let members = members(4, 4);
    for key in keys() {
        let before = capable_order(&key, &members);
        let remaining = members
            .iter()
            .filter(|it| it.instance != before[0].instance);
        let after = capable_order(&key, remaining);
        assert_eq!(after, before[1..], "{key}");
    }
}
