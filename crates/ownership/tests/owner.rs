//! Assignment of upstreams to owners by members and configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use config::model::Upstream;
use proptest::prelude::prop;
use proptest::proptest;
use wire::member::Record;
use wire::member::State;

fn member(number: usize, zone: &str, state: State) -> Record {
    Record {
        instance: format!("entry-{number}").parse().expect("a valid name"),
        zone: zone.parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        incarnation: 1,
        state,
        gateway: 0,
    }
}

fn upstream(number: usize, zone: &str) -> Upstream {
    Upstream {
        name: format!("llm-{number}").parse().expect("a valid name"),
        zone: zone.parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    }
}

fn owners(members: &[Record]) -> Vec<Option<String>> {
    let none = BTreeSet::new();
    let upstreams = (0..100).map(|it| upstream(it, "a"));
    let owners = upstreams.map(|it| {
        let owner = ownership::owner(&it, members, &none);
        owner.map(|it| it.instance.to_string())
    });
    owners.collect()
}

#[test]
fn members_in_the_zone_of_the_upstream_come_first() {
    let members = [member(1, "a", State::Alive), member(2, "b", State::Alive)];
    for number in 0..50 {
        let owner = ownership::owner(&upstream(number, "a"), &members, &BTreeSet::new());
        assert_eq!(owner.expect("an owner").zone.as_str(), "a");
    }
}

#[test]
fn members_of_a_drained_zone_own_nothing() {
    let members = [member(1, "a", State::Alive), member(2, "b", State::Alive)];
    let drained = BTreeSet::from(["a".parse().expect("a valid name")]);
    let owner = ownership::owner(&upstream(1, "a"), &members, &drained);
    assert_eq!(owner.expect("an owner").zone.as_str(), "b");
}

#[test]
fn leaving_lost_and_unheard_members_own_nothing() {
    let unheard = Record {
        incarnation: 0,
        ..member(3, "a", State::Alive)
    };
    let members = [
        member(1, "a", State::Leaving),
        member(2, "a", State::Lost),
        unheard,
    ];
    let owner = ownership::owner(&upstream(1, "a"), &members, &BTreeSet::new());
    assert_eq!(owner, None);
}

proptest! {
    #[test]
    fn a_lost_member_moves_only_what_it_owned(count in 2..12usize, lost in 0..12usize) {
        let mut members: Vec<Record> = (0..count).map(|it| member(it, "a", State::Alive)).collect();
        let before = owners(&members);
        let lost = members.remove(lost % count).instance.to_string();
        for (before, after) in before.into_iter().zip(owners(&members)) {
            assert!(before == after || before.as_deref() == Some(lost.as_str()));
        }
    }

    #[test]
    fn the_order_of_members_does_not_matter(seed in prop::collection::vec(0..1000usize, 8)) {
        let mut members: Vec<Record> = (0..8).map(|it| member(it, "a", State::Alive)).collect();
        let before = owners(&members);
        members.sort_by_key(|it| seed[it.address.port() as usize - 7000]);
        assert_eq!(owners(&members), before);
    }
}
