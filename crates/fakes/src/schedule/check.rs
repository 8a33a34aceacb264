//! Invariants that must hold after a schedule.

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

/// Longest deadline of the deployment's pipelines, 7 s, and time for the answer to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(7100);
/// Required time within which a drain is in force everywhere.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of overruns per reset of an upstream to cold: the calls sent before its owner can
/// notice the reset.
const MAX_OVERRUNS_PER_COLD_RESET: u32 = 4;
/// Maximum number of upstreams that one poison request may crash.
const MAX_CRASHES_PER_POISON: u32 = 2;
/// Number of requests to each pipeline after the end of all faults, of which one must be answered.
const RECOVERY_TRIES: usize = 3;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Violation {
    /// A non-idempotent request ran more than once: its idempotency key and number of runs.
    #[strum(to_string = "key {0} ran {1} times")]
    RanTwice(String, u32),
    /// All requests with a key were refused as not run, but one of them ran.
    #[strum(to_string = "key {0} ran, but all its requests were refused as not run")]
    NotRunRan(String),
    /// A request got an answer other than the expected one: the result of that answer.
    #[strum(to_string = "wrong answer: {0}")]
    WrongAnswer(String),
    /// A request ended after its deadline: time since its submission.
    #[strum(to_string = "request ended after {0:?}, past its deadline")]
    Late(Duration),
    /// A request did not end although its gateway was not killed: index of the instance.
    #[strum(to_string = "request at the gateway of instance {0} never ended")]
    NeverEnded(usize),
    /// Tasks panicked or violated an invariant of the program: number of times.
    #[strum(to_string = "{0} panics or violated program invariants")]
    Panics(u64),
    /// Upstreams got calls beyond their in-flight limits: number of such calls, and how often an
    /// upstream turned cold without notice.
    #[strum(to_string = "{0} overruns after {1} resets of upstreams to cold")]
    Overruns(u32, u32),
    /// Poison requests crashed too many upstreams: numbers of crashes and poison requests.
    #[strum(to_string = "{0} crashes caused by {1} poison requests")]
    Crashes(u32, u32),
    /// A drained zone got a new call: name of the zone, and time since its drain.
    #[strum(to_string = "zone {0} got a call {1:?} after its drain")]
    DrainedWork(String, Duration),
    /// Configuration versions differ after the end of all faults: version of each dispatcher.
    #[strum(to_string = "configuration versions differ after the faults: {0:?} at the dispatchers")]
    Versions(Vec<u64>),
    /// No request to a pipeline is answered after the end of all faults: its name, and the last
    /// result.
    #[strum(to_string = "pipeline {0} does not answer after the faults: {1}")]
    NotHealed(&'static str, String),
}

/// Checks all invariants; sends further requests to check that the deployment has recovered.
pub(super) async fn report(cluster: &mut Cluster, load: Load, faults: &Faults) -> Report {
    let mut report = Report::default();
    check_outcomes(cluster, load, &mut report).await;
    check_upstreams(cluster, faults, &mut report);
    check_drains(cluster, faults, &mut report);
    check_versions(cluster, &mut report);
    check_recovery(cluster, &mut report).await;
    let panic_count = crate::process::panic_count();
    if panic_count > 0 {
        report.violations.push(Violation::Panics(panic_count));
    }
    report
}

/// Counts the requests by outcome, and checks their answers, their times and the runs of payments.
async fn check_outcomes(cluster: &Cluster, load: Load, report: &mut Report) {
    let executions = cluster.fleet.executions();
    let mut not_run: BTreeMap<String, bool> = BTreeMap::new();
    for submitted in load.submitted {
        report.requests += 1;
        let result = match submitted.outcome_task.is_finished() {
            true => Some(submitted.outcome_task.await),
            false => None,
        };
        let is_not_run = matches!(&result, Some(Ok((Outcome::NotRun(_), _))));
        if let Some(key) = submitted.key {
            *not_run.entry(key).or_insert(true) &= is_not_run;
        }
        let Some(Ok((outcome, ended_at))) = result else {
            report.lost += 1;
            if cluster.has_gateway_run_since(submitted.gateway, submitted.submitted_at) {
                let violation = Violation::NeverEnded(submitted.gateway);
                report.violations.push(violation);
            }
            continue;
        };
        let elapsed = ended_at - submitted.submitted_at;
        if elapsed > ANSWER_TIMEOUT && !cluster.was_gateway_frozen(submitted.gateway) {
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
    for (key, count) in &executions {
        if *count > 1 {
            let violation = Violation::RanTwice(key.clone(), *count);
            report.violations.push(violation);
        }
        if not_run.get(key) == Some(&true) {
            report.violations.push(Violation::NotRunRan(key.clone()));
        }
    }
}

fn check_answer(expected: &Expected, answer: &Answer, report: &mut Report) {
    let is_expected = match expected {
        Expected::Text(text) => answer.result == json!(text),
        Expected::Input(input) => answer.result["input"] == *input,
        Expected::NoAnswer => false,
    };
    if !is_expected {
        let violation = Violation::WrongAnswer(answer.result.to_string());
        report.violations.push(violation);
    }
}

fn check_upstreams(cluster: &Cluster, faults: &Faults, report: &mut Report) {
    let overruns = cluster.fleet.overruns();
    if overruns > faults.cold_resets * MAX_OVERRUNS_PER_COLD_RESET {
        let violation = Violation::Overruns(overruns, faults.cold_resets);
        report.violations.push(violation);
    }
    let names = cluster.fleet.names();
    let crashes = names
        .iter()
        .map(|it| cluster.fleet.stats(it.as_str()).crashes);
    let crashes = crashes.sum();
    if crashes > faults.poison_requests * MAX_CRASHES_PER_POISON {
        let violation = Violation::Crashes(crashes, faults.poison_requests);
        report.violations.push(violation);
    }
}

fn check_drains(cluster: &Cluster, faults: &Faults, report: &mut Report) {
    let now = Instant::now();
    let current_drains = faults.drained.iter();
    let current_drains = current_drains.map(|(zone, since)| (zone.clone(), *since, now));
    for (zone, since, end) in current_drains.chain(faults.ended_drains.iter().cloned()) {
        let call_starts = cluster.fleet.call_starts_in_zone(&zone);
        let late_start = call_starts
            .into_iter()
            .find(|at| *at > since + DRAIN_TIMEOUT && *at < end);
        if let Some(at) = late_start {
            let violation = Violation::DrainedWork(zone.to_string(), at - since);
            report.violations.push(violation);
        }
    }
}

fn check_versions(cluster: &Cluster, report: &mut Report) {
    let statuses = cluster.instances.iter().map(|it| it.node.status());
    let versions: Vec<u64> = statuses.map(|it| it.config_version).collect();
    let runners = cluster.instances.iter();
    let gateway_versions: Vec<u64> = runners
        .map(|it| it.runner.view().snapshot.version)
        .collect();
    if versions.iter().any(|it| *it != versions[0]) || gateway_versions != versions {
        report.violations.push(Violation::Versions(versions));
    }
}

/// Checks that each pipeline answers one of [`RECOVERY_TRIES`] requests at different instances.
async fn check_recovery(cluster: &mut Cluster, report: &mut Report) {
    for pipeline in ["chat", "lookup", "pay"] {
        let mut last_result = String::new();
        let mut is_served = false;
        for number in 0..RECOVERY_TRIES {
            let key = format!("healed-{number}");
            let request = cluster.request(pipeline, Some(&key), json!(format!("healed {number}")));
            let idx = number % cluster.instances.len();
            let result = tokio::time::timeout(ANSWER_TIMEOUT, cluster.submit(idx, request)).await;
            is_served |= matches!(&result, Ok(Ok(Outcome::Answered(_))));
            last_result = format!("{result:?}");
        }
        if !is_served {
            report
                .violations
                .push(Violation::NotHealed(pipeline, last_result));
        }
    }
}
