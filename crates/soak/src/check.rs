//! Invariants, checked against the responses of clients and the recorded requests of upstreams.

use std::collections::BTreeMap;

use platform_standin::client::Response;
use platform_standin::site::Site;
use platform_standin::upstream::RecordedRequest;

use crate::versions::VERSIONS;

/// Time beyond the timeout of its route that a response may take, in milliseconds.
pub(crate) const RESPONSE_SLACK_MS: u128 = 500;

/// Id of the readiness probes, which are not checked.
pub(crate) const PROBE_REQUEST_ID: &str = "probe";

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Violation {
    /// A request of a non-idempotent route ran more than once: id and number of runs.
    #[strum(to_string = "{0} ran {1} times")]
    RanTwice(String, usize),
    /// A request of a non-idempotent route got a 503, which states that it was not run, and ran.
    #[strum(to_string = "{0} was refused as not run, but ran")]
    RefusedAndRan(String),
    /// A response with status 200 has another body than its upstream sent.
    #[strum(to_string = "{0} was answered with a body that its upstream did not send")]
    ForeignBody(String),
    /// An upstream got the request without its workspace, or with the client's API key.
    #[strum(to_string = "{0} ran under the wrong workspace or with the API key of its client")]
    WrongWorkspace(String),
    /// An upstream ran a request that no client sent.
    #[strum(to_string = "{0} ran, but was never sent")]
    Unasked(String),
    /// A response came more than 500 ms after the timeout of its route: id and elapsed milliseconds.
    #[strum(to_string = "{0} was answered after {1} ms")]
    Late(String, u128),
    /// After the end of all faults, a node does not serve the newest configuration.
    #[strum(to_string = "node {0} does not serve the newest configuration after the faults")]
    NotRecovered(usize),
    /// A request that had crashed three upstreams was sent to further ones: number of runs.
    #[strum(
        to_string = "a request that had crashed three upstreams was sent to upstreams {0} more times"
    )]
    SentOn(usize),
    /// An upstream got more requests than the limit that it announced allows: its name and the most
    /// requests in 4 s.
    #[strum(to_string = "{0} got {1} requests in 4 s, more than it announced")]
    OverLimit(String, usize),
    /// A roll-out to a version that fails every request is complete.
    #[strum(to_string = "a roll-out to a version that fails all requests is complete")]
    BadVersionComplete,
    /// A stream has events of two software versions.
    #[strum(to_string = "stream {0} has events of two software versions")]
    Joined(String),
    /// A stream lacks an event or has one twice.
    #[strum(to_string = "stream {0} lacks an event or has one twice")]
    OutOfSequence(String),
    /// A node process exited that the soak had not stopped.
    #[strum(to_string = "node {0} exited unexpectedly")]
    Ended(usize),
}

/// A request of a client and its response.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) is_idempotent: bool,
    pub(crate) timeout_ms: u128,
    /// Number of the last event that the client has from earlier attempts; 0 without one.
    pub(crate) last_event: u64,
    pub(crate) response: Response,
    pub(crate) elapsed_ms: u128,
    /// Whether it is exempt from the response time limit, because its node received a signal.
    pub(crate) is_excused: bool,
}

/// Checks the runs recorded by upstreams and the responses received by clients.
pub(crate) fn check_requests(site: &Site, requests: &[SentRequest]) -> Vec<Violation> {
    let runs_by_id = runs_by_id(site);
    let requests_by_id: BTreeMap<&str, &SentRequest> =
        requests.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut violations = Vec::new();
    for (id, runs) in runs_by_id.iter().filter(|it| it.0 != PROBE_REQUEST_ID) {
        let Some(request) = requests_by_id.get(id.as_str()) else {
            violations.push(Violation::Unasked(id.clone()));
            continue;
        };
        if !request.is_idempotent && runs.len() > 1 {
            violations.push(Violation::RanTwice(id.clone(), runs.len()));
        }
        if !request.is_idempotent && request.response.status == 503 {
            violations.push(Violation::RefusedAndRan(id.clone()));
        }
        let is_valid = |run: &RecordedRequest| {
            let workspace = run.headers.get("x-tenant").map(String::as_str);
            workspace == Some("office") && !run.headers.contains_key("authorization")
        };
        if !runs.iter().all(is_valid) {
            violations.push(Violation::WrongWorkspace(id.clone()));
        }
    }
    violations.extend(requests.iter().filter_map(|it| check_response(site, it)));
    violations
}

/// Checks the response time and, for a complete success, the body.
fn check_response(site: &Site, request: &SentRequest) -> Option<Violation> {
    let limit = request.timeout_ms + RESPONSE_SLACK_MS;
    if request.elapsed_ms > limit && !request.is_excused {
        return Some(Violation::Late(request.id.clone(), request.elapsed_ms));
    }
    if request.response.status != 200 || !request.response.is_complete {
        return None;
    }
    let mut upstreams = site.upstreams.iter();
    let upstream = upstreams.find(|it| it.1 == request.service)?;
    let mut bodies = VERSIONS
        .iter()
        .map(|it| upstream.0.body_of(&request.id, it, request.last_event));
    let is_own = bodies.any(|it| it == request.response.body);
    (!is_own).then(|| Violation::ForeignBody(request.id.clone()))
}

/// Runs at all upstreams, by id of the request.
fn runs_by_id(site: &Site) -> BTreeMap<String, Vec<RecordedRequest>> {
    let mut runs: BTreeMap<String, Vec<RecordedRequest>> = BTreeMap::new();
    for (upstream, _, _) in &site.upstreams {
        for (id, run) in upstream.runs() {
            runs.entry(id).or_default().push(run);
        }
    }
    runs
}
