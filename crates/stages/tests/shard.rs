//! Choice of the shard that runs a request's steps.

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
    name.parse().expect("a valid name")
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

fn cached_in(name: &str, recompute_cost: u64) -> PrefixCache {
    PrefixCache {
        zone: zone(name),
        recompute_cost: ms(recompute_cost),
    }
}

fn check(waits: [u64; 3], cache: Option<PrefixCache>, expected: &str) {
    for request in ["r1", "r2", "r3", "r4"] {
        let chosen = shard::choose(&candidates(waits), cache.as_ref(), request);
        assert_eq!(chosen, Some(Shard::Zone(zone(expected))));
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $waits:expr, $cache:expr => $expected:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($waits, $cache, $expected);
            }
        )*
    };
}

cases! {
    /// Guards against requests of one session that alternate between zones because queues differ by
    /// milliseconds: three engines processed each session's prompts.
    a_session_stays_in_the_zone_of_its_cached_prompt: [40, 0, 20], Some(cached_in("a", 100)) => "a";
    /// Guards against a request that waits behind a burst to reuse a cached prompt.
    a_session_leaves_a_long_queue: [400, 90, 0], Some(cached_in("a", 100)) => "c";
    /// Guards against a burst in which requests are refused because they wait for the shard of
    /// their cached prompts, although another shard could run their steps in time.
    in_a_burst_the_shortest_queue_is_chosen: [390, 330, 400], Some(cached_in("a", 100)) => "b";
    /// Guards against requests without steps that are routed by queue lengths, although they are
    /// not queued.
    a_request_without_steps_goes_to_its_cached_prompt: [0, 0, 0], Some(cached_in("b", 100)) => "b";
    without_a_cached_prompt_the_shortest_queue_is_chosen: [40, 30, 20], None => "c";
}

/// Guards against all requests joining the same one of several equal queues.
#[test]
fn equal_queues_share_the_load() {
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

/// Guards against choosing a shard that has no upstreams of a service.
#[test]
fn a_shard_without_upstreams_is_not_chosen() {
    let mut shards = candidates([0, 500, 500]);
    shards[0].capacity = 0;
    let chosen = shard::choose(&shards, Some(&cached_in("a", 300)), "r");
    assert_ne!(chosen, Some(Shard::Zone(zone("a"))));
}
