//! Simulated upstreams: engines and plain services with a cold start, an in-flight limit, load
//! reports and injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use config::Deployment;
use config::model::Protocol;
use dispatcher::upstream::Answer;
use dispatcher::upstream::Call;
use dispatcher::upstream::CallError;
use dispatcher::upstream::Endpoint;
use dispatcher::upstream::LoadReport;
use dispatcher::upstream::PIECE_BUFFER;
use dispatcher::upstream::Piece;
use dispatcher::upstream::UpstreamClient;
use futures_util::future::BoxFuture;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::dispatch::Body;
use wire::dispatch::Cause;

use crate::process::Process;
use crate::tokens;

/// A body with this text crashes the upstream that runs it.
pub const POISON_MARKER: &str = "poison-pill";
/// Completed calls per slot of capacity after which the capacity of an upstream doubles.
const WARM_UP_CALLS_PER_SLOT: u32 = 4;
/// One-way network latency to an upstream.
const LATENCY: Duration = Duration::from_millis(1);
/// Age of the load in load reports.
const REPORT_LAG: Duration = Duration::from_millis(800);
/// Time for which a crashed upstream is down.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);

/// Injected faults of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Factor by which every step takes longer; zero counts as one.
    pub slow_factor: u32,
    /// Number of streams still to be cut in the middle.
    pub cut_streams: u32,
    /// Number of answers still to be sent with the id of another attempt.
    pub cross_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    /// Current in-flight limit; doubles as the upstream warms up, from the cold limit to the
    /// ceiling.
    capacity: u32,
    completed_since_doubling: u32,
    /// Number of crashes, which identifies the run of the upstream in load reports.
    epoch: u64,
    down_until: Option<Instant>,
    faults: Faults,
    stats: Stats,
    /// Calls in flight after each change, for load reports that are [`REPORT_LAG`] old.
    load_history: Vec<(Instant, u32)>,
}

/// Counters of an upstream since its creation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of calls started.
    pub started: u64,
    /// Maximum number of calls in flight.
    pub max_in_flight: u32,
    /// Number of overruns: calls beyond the in-flight limit, each of which makes the upstream cold.
    pub overruns: u32,
    /// Number of crashes caused by poison requests.
    pub crashes: u32,
    /// Number of calls started, by idempotency key.
    pub executions: BTreeMap<String, u32>,
    /// Start times of all calls.
    pub call_starts: Vec<Instant>,
}

/// A simulated upstream.
struct Upstream {
    name: id::Upstream,
    zone: id::Zone,
    /// Time of a plain call, or between two tokens, without injected slowdown.
    step_duration: Duration,
    cold_limit: u32,
    ceiling: u32,
    /// Whether calls continue after the caller has disconnected, as those of a non-idempotent
    /// service do.
    is_detached: bool,
    state: Mutex<State>,
}

/// All upstreams of a deployment.
pub struct Fleet {
    upstreams: BTreeMap<SocketAddr, Arc<Upstream>>,
}

impl Fleet {
    /// Creates the upstreams of `deployment`, all cold. A step takes half of the typical duration
    /// of a plain service, and a fiftieth of that of an engine.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Fleet {
        let upstreams = deployment.upstreams().map(|(service, config)| {
            let step_duration = match service.protocol {
                Protocol::Plain => service.typical_duration / 2,
                Protocol::Engine => service.typical_duration / 50,
            };
            let upstream = Upstream {
                name: config.name.clone(),
                zone: config.zone.clone(),
                step_duration,
                cold_limit: service.cold_limit,
                ceiling: service.ceiling,
                is_detached: !service.idempotent,
                state: Mutex::new(State {
                    capacity: service.cold_limit,
                    ..State::default()
                }),
            };
            (config.address, Arc::new(upstream))
        });
        Fleet {
            upstreams: upstreams.collect(),
        }
    }

    fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.values().find(|it| it.name.as_str() == name)
    }

    /// Returns the names of all upstreams.
    #[must_use]
    pub fn names(&self) -> Vec<id::Upstream> {
        self.upstreams.values().map(|it| it.name.clone()).collect()
    }

    /// Replaces the injected faults of an upstream.
    pub fn set_faults(&self, name: &str, faults: Faults) {
        if let Some(upstream) = self.upstream(name) {
            upstream.lock().faults = faults;
        }
    }

    /// Resets an upstream to its cold in-flight limit, without a change of its epoch.
    pub fn reset_to_cold(&self, name: &str) {
        if let Some(upstream) = self.upstream(name) {
            upstream.reset_to_cold();
        }
    }

    /// Crashes an upstream: its calls in flight break, and it is down for a while and then cold.
    pub fn crash(&self, name: &str) {
        if let Some(upstream) = self.upstream(name) {
            upstream.crash();
        }
    }

    /// Warms every upstream up to the ceiling of its in-flight limit.
    pub fn warm_all(&self) {
        for upstream in self.upstreams.values() {
            upstream.lock().capacity = upstream.ceiling;
        }
    }

    /// Returns the counters of an upstream; zero if there is none of this name.
    #[must_use]
    pub fn stats(&self, name: &str) -> Stats {
        let upstream = self.upstream(name);
        upstream
            .map(|it| it.lock().stats.clone())
            .unwrap_or_default()
    }

    /// Number of calls started by all upstreams of non-idempotent services, by idempotency key.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        let mut executions = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|it| it.is_detached) {
            for (key, times) in &upstream.lock().stats.executions {
                *executions.entry(key.clone()).or_default() += times;
            }
        }
        executions
    }

    /// Number of calls beyond the in-flight limit, over all upstreams.
    #[must_use]
    pub fn overruns(&self) -> u32 {
        let upstreams = self.upstreams.values();
        upstreams.map(|it| it.lock().stats.overruns).sum()
    }

    /// Number of calls started by all upstreams.
    #[must_use]
    pub fn started(&self) -> u64 {
        let upstreams = self.upstreams.values();
        upstreams.map(|it| it.lock().stats.started).sum()
    }

    /// Start times of all calls of the upstreams in `zone`.
    #[must_use]
    pub fn call_starts_in_zone(&self, zone: &id::Zone) -> Vec<Instant> {
        let in_zone = self.upstreams.values().filter(|it| it.zone == *zone);
        in_zone
            .flat_map(|it| it.lock().stats.call_starts.clone())
            .collect()
    }

    /// Creates a client through which `process` calls the upstreams.
    #[must_use]
    pub fn client(self: &Arc<Fleet>, process: Arc<Process>) -> Arc<dyn UpstreamClient> {
        Arc::new(Client {
            fleet: self.clone(),
            process,
        })
    }
}

impl Upstream {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_down(&self) -> bool {
        let down_until = self.lock().down_until;
        down_until.is_some_and(|until| Instant::now() < until)
    }

    fn reset_to_cold(&self) {
        let mut state = self.lock();
        state.capacity = self.cold_limit;
        state.completed_since_doubling = 0;
    }

    fn crash(&self) {
        self.reset_to_cold();
        let mut state = self.lock();
        state.epoch += 1;
        state.down_until = Some(Instant::now() + CRASH_DOWNTIME);
    }

    /// Starts a call; `None` if it exceeds the in-flight limit, which makes the upstream cold.
    fn start_call(self: &Arc<Upstream>, key: Option<&str>) -> Option<InFlightCall> {
        let mut state = self.lock();
        let now = Instant::now();
        if state.in_flight >= state.capacity {
            state.stats.overruns += 1;
            drop(state);
            self.reset_to_cold();
            return None;
        }
        state.in_flight += 1;
        state.stats.started += 1;
        state.stats.call_starts.push(now);
        state.stats.max_in_flight = state.stats.max_in_flight.max(state.in_flight);
        if let Some(key) = key {
            *state.stats.executions.entry(key.to_owned()).or_default() += 1;
        }
        state.record_load(now);
        Some(InFlightCall {
            epoch: state.epoch,
            upstream: self.clone(),
        })
    }

    /// Time of a plain call, or between two tokens, with the injected slowdown.
    fn step_duration(&self) -> Duration {
        self.step_duration * self.lock().faults.slow_factor.max(1)
    }
}

impl State {
    /// Records the current load, and drops entries that load reports no longer need.
    fn record_load(&mut self, now: Instant) {
        self.load_history.push((now, self.in_flight));
        let oldest = now.checked_sub(2 * REPORT_LAG).unwrap_or(now);
        let first_kept = self.load_history.iter().rposition(|(at, _)| *at <= oldest);
        self.load_history.drain(..first_kept.unwrap_or(0));
    }

    /// Calls in flight [`REPORT_LAG`] ago.
    fn delayed_load(&self, now: Instant) -> u32 {
        let reported_at = now.checked_sub(REPORT_LAG).unwrap_or(now);
        let entry = self
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= reported_at);
        entry.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// A call in flight at an upstream. Dropping it ends the call.
struct InFlightCall {
    /// Epoch of the upstream at the start of the call.
    epoch: u64,
    upstream: Arc<Upstream>,
}

impl InFlightCall {
    /// Returns whether the upstream has crashed since the call started.
    fn has_upstream_crashed(&self) -> bool {
        self.upstream.lock().epoch != self.epoch
    }

    /// Counts the call as completed, and doubles the capacity of the upstream if it is due.
    fn complete(&self) {
        let mut state = self.upstream.lock();
        state.completed_since_doubling += 1;
        if state.completed_since_doubling >= WARM_UP_CALLS_PER_SLOT * state.capacity {
            state.completed_since_doubling = 0;
            state.capacity = (state.capacity * 2).min(self.upstream.ceiling);
        }
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.in_flight -= 1;
        state.record_load(Instant::now());
    }
}

struct Client {
    fleet: Arc<Fleet>,
    process: Arc<Process>,
}

impl Client {
    async fn call(&self, endpoint: Endpoint, call: Call) -> Result<Answer, CallError> {
        self.process.wait_until_running().await;
        tokio::time::sleep(LATENCY).await;
        let upstream = self.fleet.upstreams.get(&endpoint.address);
        let upstream = upstream
            .filter(|it| !it.is_down())
            .ok_or(CallError::NotSent)?;
        let key = match &call.body {
            Body::Plain(body) => serde_json::from_str::<Value>(body)
                .ok()
                .and_then(|it| it["key"].as_str().map(str::to_owned)),
            Body::Generate { .. } => None,
        };
        let Some(in_flight_call) = upstream.start_call(key.as_deref()) else {
            return Err(CallError::Broken(Cause::Overloaded));
        };
        let attempt = {
            let mut state = upstream.lock();
            let is_misattributed = state.faults.cross_answers > 0;
            state.faults.cross_answers -= u32::from(is_misattributed);
            match is_misattributed {
                true => id::Attempt(!call.attempt.0),
                false => call.attempt,
            }
        };
        let (sender, pieces) = mpsc::channel(PIECE_BUFFER);
        tokio::spawn(run_call(in_flight_call, call.body, sender));
        Ok(Answer { attempt, pieces })
    }
}

impl UpstreamClient for Client {
    fn call(&self, endpoint: Endpoint, call: Call) -> BoxFuture<'_, Result<Answer, CallError>> {
        Box::pin(Client::call(self, endpoint, call))
    }

    fn load_report(&self, endpoint: Endpoint) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move {
            self.process.wait_until_running().await;
            tokio::time::sleep(LATENCY).await;
            let upstream = self.fleet.upstreams.get(&endpoint.address)?;
            if upstream.is_down() {
                return None;
            }
            let state = upstream.lock();
            Some(LoadReport {
                in_flight: state.delayed_load(Instant::now()),
                epoch: state.epoch,
                age: REPORT_LAG,
            })
        })
    }

    fn probe(&self, endpoint: Endpoint) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            self.process.wait_until_running().await;
            let upstream = self.fleet.upstreams.get(&endpoint.address);
            upstream.is_some_and(|it| !it.is_down())
        })
    }
}

type PieceSender = mpsc::Sender<Result<Piece, Cause>>;

/// Runs a call and sends the pieces of its answer.
async fn run_call(call: InFlightCall, body: Body, sender: PieceSender) {
    let is_poison = format!("{body:?}").contains(POISON_MARKER);
    if is_poison {
        // A call that is cancelled before its first step ends crashes nothing.
        if !run_step(&call, call.upstream.step_duration(), &sender).await {
            return;
        }
        call.upstream.lock().stats.crashes += 1;
        call.upstream.crash();
        let _ = sender.send(Err(Cause::Connection)).await;
        return;
    }
    match body {
        Body::Plain(body) => run_plain(&call, &body, sender).await,
        Body::Generate {
            prompt,
            max_tokens,
            resume,
        } => run_generate(&call, &prompt, resume.len()..max_tokens as usize, sender).await,
    }
}

/// Sleeps for `time`; returns `false` early if the caller disconnects from a call that may be
/// cancelled.
async fn run_step(call: &InFlightCall, time: Duration, sender: &PieceSender) -> bool {
    if call.upstream.is_detached {
        tokio::time::sleep(time).await;
        return true;
    }
    tokio::select! {
        biased;
        () = sender.closed() => false,
        () = tokio::time::sleep(time) => true,
    }
}

async fn run_plain(call: &InFlightCall, body: &str, sender: PieceSender) {
    if !run_step(call, call.upstream.step_duration(), &sender).await {
        return;
    }
    if call.has_upstream_crashed() {
        let _ = sender.send(Err(Cause::Connection)).await;
        return;
    }
    call.complete();
    let request: Value = serde_json::from_str(body).unwrap_or_default();
    let answer = json!({
        "by": call.upstream.name.as_str(),
        "input": request["input"],
        "key": request["key"],
    });
    let _ = sender.send(Ok(Piece::Part(answer.to_string()))).await;
    let _ = sender.send(Ok(Piece::End)).await;
}

async fn run_generate(
    call: &InFlightCall,
    prompt: &str,
    range: std::ops::Range<usize>,
    sender: PieceSender,
) {
    let is_cut = {
        let mut state = call.upstream.lock();
        let is_cut = state.faults.cut_streams > 0;
        state.faults.cut_streams -= u32::from(is_cut);
        is_cut
    };
    let middle = range.start + range.len() / 2;
    for idx in range {
        if !run_step(call, call.upstream.step_duration(), &sender).await {
            return;
        }
        if call.has_upstream_crashed() || (is_cut && idx == middle) {
            let _ = sender.send(Err(Cause::Connection)).await;
            return;
        }
        let token = tokens::token(prompt, idx);
        if sender.send(Ok(Piece::Part(token))).await.is_err() {
            return;
        }
    }
    call.complete();
    let _ = sender.send(Ok(Piece::End)).await;
}
