//! The most urgent kind in a burst, when its chain of steps is long.

use std::time::Duration;

use model::Burst;
use model::Load;
use model::Report;
use stages::SchedulingPolicy;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Part of a kind's requests that were answered, over all reports.
fn served(reports: &[Report], kind: &str) -> f64 {
    let kinds = reports.iter().map(|it| it.kind(kind).expect("a kind"));
    let (answered, all) = kinds.fold((0, 0), |(answered, all), it| {
        (answered + it.on_time + it.late, all + it.requests)
    });
    f64::from(answered) / f64::from(all)
}

/// Answers the burst in which a most urgent kind with a chain of three steps earned half of what a less
/// urgent kind earned that shares its first service: by the users' rules no more urgent kind is served less
/// than a less urgent one, and none less than a quarter as often as all.
#[test]
fn an_urgent_chain_is_served_no_less_than_what_shares_its_first_service() {
    let site = model::sorting_office();
    for rate_factor in [2.4, 4.0] {
        let load = Load {
            length: Duration::from_secs(30),
            bursts: vec![Burst {
                kind: None,
                rate_factor,
                start: Duration::from_secs(8),
                duration: Duration::from_secs(8),
            }],
            upstream_faults: Vec::new(),
        };
        let run = |seed| model::run(&site, &load, SchedulingPolicy::Urgency, seed);
        let reports = SEEDS.map(run);
        let urgent = served(&reports, "parcel-quote");
        let other = served(&reports, "label-check");
        println!("burst of {rate_factor}: {urgent:.3} and {other:.3} served");
        assert!(
            urgent >= other,
            "{urgent:.3} and {other:.3} at {rate_factor}"
        );
        assert!(
            other >= (urgent + other) / 2.0 / 4.0,
            "{other:.3} at {rate_factor}"
        );
    }
}
