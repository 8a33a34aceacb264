//! Compares orders of waiting work over loads and seeds, on the model of the two sites.

use std::time::Duration;

use model::Burst;
use model::Load;
use model::Report;
use model::Site;
use stages::SchedulingPolicy;
use strum::IntoEnumIterator;

const LENGTH: Duration = Duration::from_secs(30);

struct Pattern {
    name: &'static str,
    kind: Option<usize>,
    times: f64,
    lasts: u64,
}

const PATTERNS: [Pattern; 6] = [
    pattern("calm", None, 1.0, 0),
    pattern("first kind x2.4 for 6 s", Some(0), 2.4, 6),
    pattern("second kind x2.6 for 7 s", Some(1), 2.6, 7),
    pattern("third kind x2.6 for 7 s", Some(2), 2.6, 7),
    pattern("all x2.4 for 8 s", None, 2.4, 8),
    pattern("all x2.4 throughout", None, 2.4, 30),
];

const fn pattern(name: &'static str, kind: Option<usize>, times: f64, lasts: u64) -> Pattern {
    Pattern {
        name,
        kind,
        times,
        lasts,
    }
}

/// Prints a table of the worth earned, and the outcomes by kind of the first seed.
pub(crate) fn run(seeds: u64, is_detailed: bool) {
    let sites = [
        ("fee office", model::fee_office()),
        ("supplement shop", model::supplement_shop()),
        (
            "fee office, one zone of the grown site",
            model::fee_office_zone(),
        ),
    ];
    for (name, site) in &sites {
        println!("{name}");
        for pattern in &PATTERNS {
            row(site, pattern, seeds, is_detailed);
        }
    }
}

fn row(site: &Site, pattern: &Pattern, seeds: u64, is_detailed: bool) {
    print!("  {:<26}", pattern.name);
    let mut details = Vec::new();
    for order in SchedulingPolicy::iter() {
        let reports: Vec<Report> = (1..=seeds)
            .map(|seed| model::run(site, &pattern.load(), order, seed))
            .collect();
        let worth: f64 = reports.iter().map(Report::worth).sum();
        print!(" {order} {:.3}", worth / seeds as f64);
        details.extend(reports.into_iter().next());
    }
    println!();
    if is_detailed {
        details.iter().for_each(|it| println!("{it}"));
    }
}

impl Pattern {
    fn load(&self) -> Load {
        Load {
            length: LENGTH,
            bursts: vec![Burst {
                kind: self.kind,
                times: self.times,
                at: Duration::from_secs(8.min(30 - self.lasts)),
                lasts: Duration::from_secs(self.lasts),
            }],
            troubles: Vec::new(),
        }
    }
}
