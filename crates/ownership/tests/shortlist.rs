//! Upstreams that a member may use because it is among the first of their preference order.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::id;
use catalog::Member;
use ownership::Shortlist;
use ownership::preference_order;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

const OWN: &str = "entry-0";

fn member(number: usize, cpu_share: f64) -> Member {
    Member {
        instance: format!("entry-{number}").parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        cpu_share,
        incarnation: 1,
    }
}

fn upstreams(count: usize) -> Vec<id::Upstream> {
    let names = (0..count).map(|it| format!("llm-{it}").parse().expect("a valid name"));
    names.collect()
}

fn is_first(key: &id::Upstream, members: &[Member], count: usize) -> bool {
    let order = preference_order(key.as_str(), members);
    let mut first = order.iter().take(count);
    first.any(|it| it.instance.as_str() == OWN)
}

/// Guards against an instance whose processor is used up by changes of the registry: at 300 members and
/// 1,000 engines each change took 38 ms.
#[test]
fn changes_of_upstreams_compute_no_order_again() {
    let members: Vec<Member> = (0..300).map(|it| member(it, 0.25)).collect();
    let upstreams = upstreams(1_000);
    let mut shortlist = Shortlist::new(OWN.parse().expect("a valid name"));
    for changed in 0..100 {
        let known: BTreeSet<&id::Upstream> = upstreams.iter().skip(changed % 2).collect();
        shortlist.update(&members, |it| known.contains(it));
        for upstream in &known {
            shortlist.includes(upstream, 5);
        }
    }
    // The first upstream is removed and added again every other time.
    assert_eq!(shortlist.computed(), 1_000 + 49);
}

proptest! {
    /// Guards against an instance that goes by the members of before, so that too many or too few send
    /// to a cold upstream.
    #[test]
    fn the_newest_members_decide(views in vec(vec((0..12_usize, any::<bool>()), 0..12), 1..6)) {
        let mut shortlist = Shortlist::new(OWN.parse().expect("a valid name"));
        for numbers in views {
            let numbers: BTreeSet<(usize, bool)> = numbers.into_iter().collect();
            let members = numbers.into_iter().map(|(it, large)| member(it, if large { 0.5 } else { 0.12 }));
            let mut members: Vec<Member> = members.collect();
            members.dedup_by_key(|it| it.instance.clone());
            shortlist.update(&members, |_| true);
            for upstream in upstreams(8) {
                assert_eq!(shortlist.includes(&upstream, 3), is_first(&upstream, &members, 3));
            }
        }
    }
}
