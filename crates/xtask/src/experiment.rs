//! Compares the scheduling policies of step services in simulation, over sites, load patterns and
//! seeds.

use std::time::Duration;

use model::Burst;
use model::Load;
use model::Report;
use model::Site;
use model::Spells;
use model::UpstreamFault;
use model::Workspaces;
use stages::SchedulingPolicy;
use strum::IntoEnumIterator;

const LENGTH: Duration = Duration::from_secs(30);

/// A burst within an otherwise usual load of [`LENGTH`].
struct Pattern {
    name: &'static str,
    /// Index of the kind of request whose rate rises; `None` for all kinds.
    kind: Option<usize>,
    rate_factor: f64,
    burst_seconds: u64,
}

const PATTERNS: [Pattern; 6] = [
    pattern("calm", None, 1.0, 0),
    pattern("first kind x2.4 for 6 s", Some(0), 2.4, 6),
    pattern("second kind x2.6 for 7 s", Some(1), 2.6, 7),
    pattern("third kind x2.6 for 7 s", Some(2), 2.6, 7),
    pattern("all x2.4 for 8 s", None, 2.4, 8),
    pattern("all x2.4 throughout", None, 2.4, 30),
];

const fn pattern(
    name: &'static str,
    kind: Option<usize>,
    rate_factor: f64,
    burst_seconds: u64,
) -> Pattern {
    Pattern {
        name,
        kind,
        rate_factor,
        burst_seconds,
    }
}

/// One upstream in seven is slow for 600 ms, then another.
const SPELLS: Spells = Spells {
    share: 0.15,
    time_factor: 2.5,
    length: Duration::from_millis(600),
    is_told: true,
    is_fixed_per_call: false,
};

/// Spells by what the responses tell of them and by when the speed of a call is decided.
const SPELL_KINDS: [(&str, Spells); 4] = [
    ("told", SPELLS),
    (
        "untold",
        Spells {
            is_told: false,
            ..SPELLS
        },
    ),
    (
        "told, fixed",
        Spells {
            is_fixed_per_call: true,
            ..SPELLS
        },
    ),
    (
        "untold, fixed",
        Spells {
            is_told: false,
            is_fixed_per_call: true,
            ..SPELLS
        },
    ),
];

/// Prints the share of value earned, averaged over seeds `1..=seeds`, by site, load pattern and
/// policy; with `is_detailed` also the report of the first seed.
pub(crate) fn run(seeds: u64, is_detailed: bool) {
    let sites = [
        ("fee office", model::fee_office()),
        ("supplement shop", model::supplement_shop()),
        ("sorting office", model::sorting_office()),
        (
            "fee office, one zone of the grown site",
            model::fee_office_zone(),
        ),
    ];
    for (name, site) in &sites {
        println!("{name}");
        for pattern in &PATTERNS {
            print_pattern(site, pattern, seeds, is_detailed);
        }
        for pattern in &PATTERNS {
            for first_bursts in [false, true] {
                print_shared(site, pattern, first_bursts, seeds);
            }
        }
    }
    println!("fee office, one zone of the grown site, one upstream in seven slow for 600 ms");
    for (name, spells) in SPELL_KINDS {
        println!(" {name}");
        for pattern in &PATTERNS {
            print_spells(&sites[2].1, pattern, spells, seeds);
        }
    }
}

/// Runs a pattern with each policy and prints one line.
fn print_pattern(site: &Site, pattern: &Pattern, seeds: u64, is_detailed: bool) {
    print!("  {:<26}", pattern.name);
    let mut details = Vec::new();
    for policy in SchedulingPolicy::iter() {
        let reports: Vec<Report> = (1..=seeds)
            .map(|seed| model::run(site, &pattern.load(), policy, seed))
            .collect();
        let value: f64 = reports.iter().map(Report::value_share).sum();
        print!(" {policy} {:.3}", value / seeds as f64);
        details.extend(reports.into_iter().next());
    }
    println!();
    if is_detailed {
        details.iter().for_each(|it| println!("{it}"));
    }
}

/// Runs a pattern with spells and prints the value earned, in all and by kind, and the number of
/// calls that were given up.
fn print_spells(site: &Site, pattern: &Pattern, spells: Spells, seeds: u64) {
    let mut load = pattern.load();
    load.upstream_faults.push(UpstreamFault::Spells(spells));
    let reports: Vec<Report> = (1..=seeds)
        .map(|seed| model::run(site, &load, SchedulingPolicy::Urgency, seed))
        .collect();
    let average = |value: &dyn Fn(&Report) -> f64| {
        reports.iter().map(value).sum::<f64>() / reports.len().max(1) as f64
    };
    print!(
        "  {:<26} {:.3} by kind",
        pattern.name,
        average(&Report::value_share)
    );
    for idx in 0..site.kinds.len() {
        let share = |it: &Report| it.kinds[idx].value_earned / it.kinds[idx].value_possible;
        print!(" {:.3}", average(&share));
    }
    println!(" calls lost {:.1}", average(&|it| f64::from(it.lost_calls)));
}

/// Number of workspaces of [`print_shared`].
const WORKSPACES: usize = 16;

/// Runs a pattern with workspaces and prints, by policy, the share of value earned in all, by the
/// first workspace and by the others.
fn print_shared(site: &Site, pattern: &Pattern, first_bursts: bool, seeds: u64) {
    let bursting = if first_bursts { "by one" } else { "by all" };
    print!("  {:<26} {bursting} of {WORKSPACES}:", pattern.name);
    let workspaces = Some(Workspaces {
        count: WORKSPACES,
        first_bursts,
    });
    for policy in SchedulingPolicy::iter() {
        let (mut all, mut first, mut others) = (0.0, 0.0, 0.0);
        for seed in 1..=seeds {
            let report = model::run_shared(site, &pattern.load(), workspaces, policy, seed);
            let shares: Vec<f64> = report
                .workspaces
                .iter()
                .map(|it| it.value_share())
                .collect();
            all += report.value_share();
            first += shares[0];
            others += shares[1..].iter().sum::<f64>() / (WORKSPACES - 1) as f64;
        }
        let seeds = seeds as f64;
        print!(
            " {policy} {:.3} ({:.3}, {:.3})",
            all / seeds,
            first / seeds,
            others / seeds
        );
    }
    println!();
}

impl Pattern {
    fn load(&self) -> Load {
        Load {
            length: LENGTH,
            bursts: vec![Burst {
                kind: self.kind,
                rate_factor: self.rate_factor,
                start: Duration::from_secs(8.min(30 - self.burst_seconds)),
                duration: Duration::from_secs(self.burst_seconds),
            }],
            upstream_faults: Vec::new(),
        }
    }
}
