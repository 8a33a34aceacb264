//! Patterns of load that the heaviest days show, against first come first served.

use std::time::Duration;

use model::Burst;
use model::Load;
use model::Report;
use model::Site;
use model::Trouble;
use stages::SchedulingPolicy;

const LENGTH: Duration = Duration::from_secs(30);
const SEEDS: [u64; 3] = [1, 2, 3];

fn burst(kind: Option<usize>, times: f64, lasts: u64) -> Load {
    Load {
        length: LENGTH,
        bursts: vec![Burst {
            kind,
            times,
            at: Duration::from_secs(8),
            lasts: Duration::from_secs(lasts),
        }],
        troubles: Vec::new(),
    }
}

fn average(site: &Site, load: &Load, order: SchedulingPolicy) -> (f64, Vec<Report>) {
    let reports = SEEDS.map(|seed| model::run(site, load, order, seed));
    let worth = reports.iter().map(Report::worth).sum::<f64>() / SEEDS.len() as f64;
    (worth, reports.into())
}

/// The worth under `load` is at least `least`, and not below that of first come first served.
fn check(site: &Site, load: &Load, least: f64) {
    let (worth, reports) = average(site, load, SchedulingPolicy::Urgency);
    let (first_come, _) = average(site, load, SchedulingPolicy::FirstCome);
    println!(
        "urgency {worth:.3}, first come {first_come:.3}\n{}",
        reports[0]
    );
    assert!(worth >= least, "worth {worth:.3} is below {least}");
    assert!(
        worth + 0.005 >= first_come,
        "first come first served earns {first_come:.3}"
    );
    for report in reports {
        assert_eq!(report.overfull, 0, "an owner never fills an upstream twice");
    }
}

macro_rules! patterns {
    ($($name:ident: $site:expr, $load:expr => $least:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$site, &$load, $least);
            }
        )*
    };
}

// The least worth of the first two lines and of the last is that of the trial in the design that
// this project started from; the others are bounds from the service marks: ninety-nine in a hundred
// outside bursts, and no more than a tenth lost to one upstream in five.
patterns! {
    calm_day: model::fee_office(), Load { length: LENGTH, ..Load::default() } => 0.99;
    burst_of_summaries: model::fee_office(), burst(Some(1), 2.6, 7) => 0.96;
    burst_of_drafts: model::fee_office(), burst(Some(0), 2.4, 6) => 0.96;
    burst_of_everything: model::fee_office(), burst(None, 2.4, 8) => 0.90;
    overload_throughout: model::fee_office(), burst(None, 2.4, 30) => 0.80;
    calm_day_of_the_shop: model::supplement_shop(), Load { length: LENGTH, ..Load::default() } => 0.99;
    burst_of_reviews: model::supplement_shop(), burst(Some(0), 2.4, 6) => 0.90;
    slow_upstreams_of_the_middle_step: model::fee_office(), Load {
        length: LENGTH,
        bursts: Vec::new(),
        troubles: vec![Trouble::Slow {
            service: 1,
            count: 1,
            times: 5.0,
            at: Duration::from_secs(8),
            lasts: Duration::from_secs(6),
        }],
    } => 0.90;
    a_silent_upstream: model::fee_office(), Load {
        length: LENGTH,
        bursts: Vec::new(),
        troubles: vec![Trouble::Silent {
            service: 0,
            count: 1,
            at: Duration::from_secs(8),
            lasts: Duration::from_secs(5),
        }],
    } => 0.90;
}

#[test]
fn a_more_urgent_kind_is_not_served_less_in_overload() {
    let site = model::fee_office();
    let (_, reports) = average(&site, &burst(None, 2.4, 30), SchedulingPolicy::Urgency);
    for report in reports {
        println!("{report}");
        let share = |kind: &str| {
            let row = report.row(kind).expect("a kind of the site");
            f64::from(row.in_aim + row.late) / f64::from(row.asked)
        };
        assert!(share("history-summary") + 0.05 >= share("waiver-draft"));
        assert!(share("waiver-draft") + 0.05 >= share("payer-answer"));
        assert!(
            share("payer-answer") > 0.25,
            "the least urgent kind is not starved"
        );
    }
}

#[test]
fn a_seed_gives_the_same_run() {
    let site = model::fee_office();
    let load = burst(None, 2.4, 8);
    let run = || model::run(&site, &load, SchedulingPolicy::Urgency, 7);
    assert_eq!(run(), run());
}
