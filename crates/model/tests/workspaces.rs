//! Fair parts of workspaces on the model, compared with the order that has no regard to them.

use std::time::Duration;

use model::Burst;
use model::Load;
use model::Workspaces;
use stages::SchedulingPolicy;

const SEEDS: [u64; 3] = [1, 2, 3];
const COUNT: usize = 16;

/// A day of 30 seconds with a burst of all kinds for eight.
fn burst(rate_factor: f64) -> Load {
    Load {
        length: Duration::from_secs(30),
        bursts: vec![Burst {
            kind: None,
            rate_factor,
            start: Duration::from_secs(8),
            duration: Duration::from_secs(8),
        }],
        ..Load::default()
    }
}

/// Average share of the value earned by all workspaces together, by the first, and by the others.
fn earned(load: &Load, first_bursts: bool, policy: SchedulingPolicy) -> (f64, f64, f64) {
    let site = model::fee_office();
    let workspaces = Workspaces {
        count: COUNT,
        first_bursts,
    };
    let (mut all, mut first, mut others) = (0.0, 0.0, 0.0);
    for seed in SEEDS {
        let report = model::run_shared(&site, load, Some(workspaces), policy, seed);
        let shares: Vec<f64> = report
            .workspaces
            .iter()
            .map(|it| it.value_share())
            .collect();
        all += report.value_share();
        first += shares[0];
        others += shares[1..].iter().sum::<f64>() / (COUNT - 1) as f64;
    }
    let seeds = SEEDS.len() as f64;
    let earned = (all / seeds, first / seeds, others / seeds);
    println!(
        "{policy}: all {:.3}, first {:.3}, others {:.3}",
        earned.0, earned.1, earned.2
    );
    earned
}

/// Value that the others still earn; what `patterns.rs` asks of a burst of one kind.
const OTHERS_MIN: f64 = 0.96;

/// Answers: one workspace sends at twenty or eighty times its part for eight seconds.
#[test]
fn a_burst_of_one_workspace_leaves_the_others_their_service_level() {
    for rate_factor in [2.4, 6.0] {
        let load = burst(rate_factor);
        let before = earned(&load, true, SchedulingPolicy::Unshared);
        let after = earned(&load, true, SchedulingPolicy::Urgency);
        assert!(after.2 >= OTHERS_MIN, "{after:?}");
        assert!(after.2 >= before.2, "{before:?}, {after:?}");
    }
}

/// Answers: fair parts cost value when all workspaces burst alike.
#[test]
fn fair_parts_cost_nothing_when_all_workspaces_burst() {
    let load = burst(2.4);
    let before = earned(&load, false, SchedulingPolicy::Unshared);
    let after = earned(&load, false, SchedulingPolicy::Urgency);
    assert!(after.0 >= before.0 - 0.01, "{before:?}, {after:?}");
    assert!(after.0 >= 0.90, "{after:?}");
}

/// Answers: fair parts change a calm day.
#[test]
fn a_calm_day_stays_calm() {
    let after = earned(&burst(1.0), false, SchedulingPolicy::Urgency);
    assert!(after.0 >= 0.99, "{after:?}");
}
