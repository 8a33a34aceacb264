//! Which shard a request's steps run in.

use std::time::Duration;

use base::id;
use stages::Shard;
use stages::shard;
use stages::shard::Candidate;
use stages::shard::PrefixCache;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn zone(name: &str) -> id::Zone {
    name.parse().expect("a name")
}

fn candidates(waits: [u64; 3]) -> Vec<Candidate> {
    let zones = ["a", "b", "c"].into_iter().zip(waits);
    zones
        .map(|(name, wait)| Candidate {
            shard: Shard::Zone(zone(name)),
            capacity: 6,
            wait: ms(wait),
        })
        .collect()
}

fn home(name: &str, recompute_cost: u64) -> PrefixCache {
    PrefixCache {
        zone: zone(name),
        recompute_cost: ms(recompute_cost),
    }
}

fn check(waits: [u64; 3], at_home: Option<PrefixCache>, expected: &str) {
    for request in ["r1", "r2", "r3", "r4"] {
        let chosen = shard::choose(&candidates(waits), at_home.as_ref(), request);
        assert_eq!(chosen, Some(Shard::Zone(zone(expected))));
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $waits:expr, $home:expr => $expected:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($waits, $home, $expected);
            }
        )*
    };
}

cases! {
    /// Guards against requests of one session that go to engines in all zones, since queues differ by
    /// some milliseconds: three engines read each session's parts (flue-hearth-grown, `quiet-1`).
    a_session_stays_where_its_prompt_is: [40, 0, 20], Some(home("a", 100)) => "a";
    /// Guards against a request that waits behind a burst for the sake of its prompt.
    a_session_leaves_a_long_queue: [400, 90, 0], Some(home("a", 100)) => "c";
    /// Guards against a burst in which requests are refused for the sake of their prompts, though
    /// another shard could run their steps in time (flue-hearth-grown, `quiet-1`).
    in_a_burst_the_shortest_queue_is_taken: [390, 330, 400], Some(home("a", 100)) => "b";
    /// Guards against requests without steps that follow queues in which they do not wait.
    a_request_without_steps_goes_to_its_prompt: [0, 0, 0], Some(home("b", 100)) => "b";
    the_shortest_queue_is_taken_without_a_prompt: [40, 30, 20], None => "c";
}

/// Guards against equal queues that all requests join at once.
#[test]
fn equal_queues_are_shared_out() {
    let mut counts = [0; 3];
    for request in 0..300 {
        let chosen = shard::choose(&candidates([0; 3]), None, &format!("r{request}"));
        let shards = candidates([0; 3]);
        let idx = shards
            .iter()
            .position(|it| Some(&it.shard) == chosen.as_ref());
        counts[idx.expect("a shard")] += 1;
    }
    assert!(counts.iter().all(|it| (70..130).contains(it)), "{counts:?}");
}

/// Guards against a shard that lacks upstreams of a service.
#[test]
fn a_shard_without_upstreams_is_passed_over() {
    let mut shards = candidates([0, 500, 500]);
    shards[0].capacity = 0;
    let chosen = shard::choose(&shards, Some(&home("a", 300)), "r");
    assert_ne!(chosen, Some(Shard::Zone(zone("a"))));
}
