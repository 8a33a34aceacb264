//! The promises, checked from what clients and upstreams saw.

use std::collections::BTreeMap;

use platform_standin::client::Response;
use platform_standin::site::Site;
use platform_standin::upstream::RecordedRequest;

/// Longest time beyond the route's time-out, in milliseconds, that an answer may take.
pub(crate) const ANSWER_SLACK_MS: u128 = 500;

/// Id of the requests by which the soak itself asks whether a node serves.
pub(crate) const PROBE: &str = "probe";

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Violation {
    /// A request that may run once ran more often.
    #[strum(to_string = "{0} ran {1} times")]
    RanTwice(String, usize),
    /// A request was refused as not run, and ran.
    #[strum(to_string = "{0} was refused as not run, and ran")]
    RefusedAndRan(String),
    /// A success with a body that is not the upstream's whole one.
    #[strum(to_string = "{0} got another body")]
    ForeignBody(String),
    /// A run without its workspace, or with the client's key.
    #[strum(to_string = "{0} ran under the wrong workspace or with its key")]
    WrongWorkspace(String),
    /// A run of a request that nobody sent.
    #[strum(to_string = "{0} was never sent")]
    Unasked(String),
    /// An answer came long after the route's time-out.
    #[strum(to_string = "{0} was answered after {1} ms")]
    Late(String, u128),
    /// After all faults a node does not serve, or not by the newest configuration.
    #[strum(to_string = "node {0} does not serve the newest configuration after the faults")]
    NotRecovered(usize),
    /// A request that had crashed three upstreams was sent on.
    #[strum(to_string = "a request that had crashed three upstreams was sent {0} times more")]
    SentOn(usize),
    /// A process ended by itself.
    #[strum(to_string = "node {0} ended by itself")]
    Ended(usize),
}

/// A request that was sent, and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) may_repeat: bool,
    pub(crate) timeout_ms: u128,
    pub(crate) answer: Response,
    pub(crate) took_ms: u128,
    /// Whether its node was stopped, killed or frozen meanwhile.
    pub(crate) is_excused: bool,
}

/// Checks everything that clients and upstreams saw.
pub(crate) fn all(site: &Site, asked: &[Asked]) -> Vec<Violation> {
    let runs = runs(site);
    let by_id: BTreeMap<&str, &Asked> = asked.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut violations = Vec::new();
    for (id, runs) in runs.iter().filter(|it| it.0 != PROBE) {
        let Some(asked) = by_id.get(id.as_str()) else {
            violations.push(Violation::Unasked(id.clone()));
            continue;
        };
        if !asked.may_repeat && runs.len() > 1 {
            violations.push(Violation::RanTwice(id.clone(), runs.len()));
        }
        if !asked.may_repeat && asked.answer.status == 503 {
            violations.push(Violation::RefusedAndRan(id.clone()));
        }
        let is_right = |run: &RecordedRequest| {
            let workspace = run.headers.get("x-tenant").map(String::as_str);
            workspace == Some("office") && !run.headers.contains_key("authorization")
        };
        if !runs.iter().all(is_right) {
            violations.push(Violation::WrongWorkspace(id.clone()));
        }
    }
    violations.extend(asked.iter().filter_map(|it| of_answer(site, it)));
    violations
}

fn of_answer(site: &Site, asked: &Asked) -> Option<Violation> {
    let limit = asked.timeout_ms + ANSWER_SLACK_MS;
    if asked.took_ms > limit && !asked.is_excused {
        return Some(Violation::Late(asked.id.clone(), asked.took_ms));
    }
    if asked.answer.status != 200 || !asked.answer.is_complete {
        return None;
    }
    let mut upstreams = site.upstreams.iter();
    let upstream = upstreams.find(|it| it.1 == asked.service)?;
    let is_own = upstream.0.body(&asked.id) == asked.answer.body;
    (!is_own).then(|| Violation::ForeignBody(asked.id.clone()))
}

fn runs(site: &Site) -> BTreeMap<String, Vec<RecordedRequest>> {
    let mut runs: BTreeMap<String, Vec<RecordedRequest>> = BTreeMap::new();
    for (upstream, _, _) in &site.upstreams {
        for (id, run) in upstream.runs() {
            runs.entry(id).or_default().push(run);
        }
    }
    runs
}
