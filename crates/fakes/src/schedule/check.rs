//! What must hold after a schedule.

use std::collections::BTreeMap;
use std::time::Duration;

use pipeline::Answer;
use pipeline::Outcome;
use serde_json::json;
use tokio::time::Instant;

use crate::cluster::Cluster;
use crate::schedule::Report;
use crate::schedule::load::Expected;
use crate::schedule::load::Load;
use crate::schedule::step::Faults;

/// Longest deadline of any pipeline in the schedules, with time for the answer to arrive.
const ANSWER_TIME: Duration = Duration::from_millis(7100);
/// Time within which a drain is in force everywhere (letter 1).
const DRAIN_TIME: Duration = Duration::from_secs(6);
/// Overruns that one silent change to cold may cause: those sent before its first sign.
const OVERRUNS_PER_CHILL: u32 = 4;
/// Crashes that one poison request may cause.
const CRASHES_PER_POISON: u32 = 2;
/// Tries of each kind of request after everything has healed.
const HEALED_TRIES: usize = 3;

/// Something that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Violation {
    /// A key ran more than once.
    #[strum(to_string = "key {0} ran {1} times")]
    RanTwice(String, u32),
    /// Every request of a key was refused as not run, and it ran.
    #[strum(to_string = "key {0} ran although every refusal says that it did not")]
    NotRunRan(String),
    /// A whole answer that is not the caller's.
    #[strum(to_string = "wrong answer: {0}")]
    WrongAnswer(String),
    /// An answer after the deadline.
    #[strum(to_string = "answer after {0:?}")]
    Late(Duration),
    /// A request that never ended although its gateway lives.
    #[strum(to_string = "a request never ended at gateway {0}")]
    NeverEnded(usize),
    /// Tasks panicked, as they do on a violated program invariant.
    #[strum(to_string = "{0} panics")]
    Panics(u64),
    /// Upstreams were given more than they bear.
    #[strum(to_string = "{0} overruns after {1} silent changes to cold")]
    Overruns(u32, u32),
    /// Poison crashed too many upstreams.
    #[strum(to_string = "{0} crashes by {1} poison requests")]
    Crashes(u32, u32),
    /// A drained zone got new work.
    #[strum(to_string = "zone {0} got work {1:?} after its drain")]
    DrainedWork(String, Duration),
    /// Configuration versions differ after healing.
    #[strum(to_string = "versions {0:?} after healing")]
    Versions(Vec<u64>),
    /// A kind of request is not served after healing.
    #[strum(to_string = "{0} is not served after healing: {1}")]
    NotHealed(&'static str, String),
}

pub(super) async fn report(cluster: &mut Cluster, load: Load, faults: &Faults) -> Report {
    let mut report = Report::default();
    outcomes(cluster, load, &mut report).await;
    upstreams(cluster, faults, &mut report);
    drains(cluster, faults, &mut report);
    versions(cluster, &mut report);
    healed(cluster, &mut report).await;
    let panics = crate::process::panics();
    if panics > 0 {
        report.violations.push(Violation::Panics(panics));
    }
    report
}

async fn outcomes(cluster: &Cluster, load: Load, report: &mut Report) {
    let executions = cluster.fleet.executions();
    let mut not_run: BTreeMap<String, bool> = BTreeMap::new();
    for submitted in load.submitted {
        report.requests += 1;
        let ended = match submitted.running.is_finished() {
            true => Some(submitted.running.await),
            false => None,
        };
        let is_not_run = matches!(&ended, Some(Ok((Outcome::NotRun(_), _))));
        if let Some(key) = submitted.key {
            *not_run.entry(key).or_insert(true) &= is_not_run;
        }
        let Some(Ok((outcome, at))) = ended else {
            report.lost += 1;
            if cluster.lives_since(submitted.gateway, submitted.at) {
                let violation = Violation::NeverEnded(submitted.gateway);
                report.violations.push(violation);
            }
            continue;
        };
        let elapsed = at - submitted.at;
        if elapsed > ANSWER_TIME && !cluster.was_disturbed(submitted.gateway) {
            report.violations.push(Violation::Late(elapsed));
        }
        match outcome {
            Outcome::Answered(answer) => {
                report.answered += 1;
                check_answer(&submitted.expected, &answer, report);
            }
            Outcome::NotRun(_) => report.not_run += 1,
            Outcome::Failed(_) => report.failed += 1,
        }
    }
    for (key, times) in &executions {
        if *times > 1 {
            let violation = Violation::RanTwice(key.clone(), *times);
            report.violations.push(violation);
        }
        if not_run.get(key) == Some(&true) {
            report.violations.push(Violation::NotRunRan(key.clone()));
        }
    }
}

fn check_answer(expected: &Expected, answer: &Answer, report: &mut Report) {
    let is_own = match expected {
        Expected::Text(text) => answer.result == json!(text),
        Expected::Input(input) => answer.result["input"] == *input,
        Expected::Nothing => false,
    };
    if !is_own {
        let violation = Violation::WrongAnswer(answer.result.to_string());
        report.violations.push(violation);
    }
}

fn upstreams(cluster: &Cluster, faults: &Faults, report: &mut Report) {
    let overruns = cluster.fleet.overruns();
    if overruns > faults.chills * OVERRUNS_PER_CHILL {
        let violation = Violation::Overruns(overruns, faults.chills);
        report.violations.push(violation);
    }
    let names = cluster.fleet.names();
    let crashes = names
        .iter()
        .map(|it| cluster.fleet.stats(it.as_str()).crashes);
    let crashes = crashes.sum();
    if crashes > faults.poisons * CRASHES_PER_POISON {
        let violation = Violation::Crashes(crashes, faults.poisons);
        report.violations.push(violation);
    }
}

fn drains(cluster: &Cluster, faults: &Faults, report: &mut Report) {
    let now = Instant::now();
    let present = faults.drained.iter();
    let present = present.map(|(zone, since)| (zone.clone(), *since, now));
    for (zone, since, until) in present.chain(faults.past_drains.iter().cloned()) {
        let starts = cluster.fleet.starts_in(&zone);
        let late = starts
            .into_iter()
            .find(|at| *at > since + DRAIN_TIME && *at < until);
        if let Some(at) = late {
            let violation = Violation::DrainedWork(zone.to_string(), at - since);
            report.violations.push(violation);
        }
    }
}

fn versions(cluster: &Cluster, report: &mut Report) {
    let statuses = cluster.instances.iter().map(|it| it.node.status());
    let versions: Vec<u64> = statuses.map(|it| it.config_version).collect();
    let followed = cluster.instances.iter();
    let followed: Vec<u64> = followed
        .map(|it| it.runner.view().snapshot.version)
        .collect();
    if versions.iter().any(|it| *it != versions[0]) || followed != versions {
        report.violations.push(Violation::Versions(versions));
    }
}

async fn healed(cluster: &mut Cluster, report: &mut Report) {
    for kind in ["chat", "lookup", "pay"] {
        let mut last = String::new();
        let mut is_served = false;
        for number in 0..HEALED_TRIES {
            let key = format!("healed-{number}");
            let request = cluster.request(kind, Some(&key), json!(format!("healed {number}")));
            let idx = number % cluster.instances.len();
            let ended = tokio::time::timeout(ANSWER_TIME, cluster.submit(idx, request)).await;
            is_served |= matches!(&ended, Ok(Ok(Outcome::Answered(_))));
            last = format!("{ended:?}");
        }
        if !is_served {
            report.violations.push(Violation::NotHealed(kind, last));
        }
    }
}
