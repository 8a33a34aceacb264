//! Upstreams: engines and plain services with warmth, load and faults.

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
pub const POISON: &str = "poison-pill";
/// Good answers for each call of the limit that warm an upstream up one step.
const WARM_STEP: u32 = 4;
/// One-way time to an upstream.
const LATENCY: Duration = Duration::from_millis(1);
/// Lag of load reports.
const REPORT_LAG: Duration = Duration::from_millis(800);
/// Time for which a crashed or fallen upstream stays down.
const DOWN: Duration = Duration::from_secs(2);

/// Faults of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Multiplies every step, if not zero.
    pub slow_factor: u32,
    /// Cuts this many streams in the middle.
    pub cut_streams: u32,
    /// Gives this many answers the id of another attempt.
    pub cross_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    /// Calls that it bears at this moment; grows with the work done since it was cold.
    bears: u32,
    answered: u32,
    epoch: u64,
    down_until: Option<Instant>,
    faults: Faults,
    stats: Stats,
    history: Vec<(Instant, u32)>,
}

/// What one upstream has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls that began.
    pub started: u64,
    /// Most calls in flight at once.
    pub max_in_flight: u32,
    /// Calls beyond what it could bear.
    pub overruns: u32,
    /// Crashes by poison.
    pub crashes: u32,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
    /// When each call began.
    pub starts: Vec<Instant>,
}

struct Model {
    name: id::Upstream,
    zone: id::Zone,
    step: Duration,
    cold_limit: u32,
    ceiling: u32,
    is_detached: bool,
    state: Mutex<State>,
}

/// All upstreams of a deployment.
pub struct Fleet {
    models: BTreeMap<SocketAddr, Arc<Model>>,
}

impl Fleet {
    /// Cold upstreams for `deployment`; a step is half of a plain service's typical time, and a
    /// fiftieth of an engine's.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Fleet {
        let models = deployment.upstreams().map(|(service, upstream)| {
            let step = match service.protocol {
                Protocol::Plain => service.typical_duration / 2,
                Protocol::Engine => service.typical_duration / 50,
            };
            let model = Model {
                name: upstream.name.clone(),
                zone: upstream.zone.clone(),
                step,
                cold_limit: service.cold_limit,
                ceiling: service.ceiling,
                is_detached: !service.idempotent,
                state: Mutex::new(State {
                    bears: service.cold_limit,
                    ..State::default()
                }),
            };
            (upstream.address, Arc::new(model))
        });
        Fleet {
            models: models.collect(),
        }
    }

    fn model(&self, name: &str) -> Option<&Arc<Model>> {
        self.models.values().find(|it| it.name.as_str() == name)
    }

    /// Names of the upstreams.
    #[must_use]
    pub fn names(&self) -> Vec<id::Upstream> {
        self.models.values().map(|it| it.name.clone()).collect()
    }

    /// Switches the faults of one upstream.
    pub fn set_faults(&self, name: &str, faults: Faults) {
        if let Some(model) = self.model(name) {
            model.lock().faults = faults;
        }
    }

    /// Makes an upstream cold without warning.
    pub fn chill(&self, name: &str) {
        if let Some(model) = self.model(name) {
            model.turn_cold();
        }
    }

    /// Takes an upstream through a crash.
    pub fn crash(&self, name: &str) {
        if let Some(model) = self.model(name) {
            model.crash();
        }
    }

    /// Makes every upstream bear its ceiling.
    pub fn warm_all(&self) {
        for model in self.models.values() {
            model.lock().bears = model.ceiling;
        }
    }

    /// What an upstream has seen.
    #[must_use]
    pub fn stats(&self, name: &str) -> Stats {
        let model = self.model(name);
        model.map(|it| it.lock().stats.clone()).unwrap_or_default()
    }

    /// Executions by idempotency key over all upstreams.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        let mut executions = BTreeMap::new();
        for model in self.models.values().filter(|it| it.is_detached) {
            for (key, times) in &model.lock().stats.executions {
                *executions.entry(key.clone()).or_default() += times;
            }
        }
        executions
    }

    /// Calls beyond what upstreams could bear, over all of them.
    #[must_use]
    pub fn overruns(&self) -> u32 {
        let models = self.models.values();
        models.map(|it| it.lock().stats.overruns).sum()
    }

    /// Calls that began, over all upstreams.
    #[must_use]
    pub fn started(&self) -> u64 {
        let models = self.models.values();
        models.map(|it| it.lock().stats.started).sum()
    }

    /// When each call of the upstreams in `zone` began.
    #[must_use]
    pub fn starts_in(&self, zone: &id::Zone) -> Vec<Instant> {
        let in_zone = self.models.values().filter(|it| it.zone == *zone);
        in_zone
            .flat_map(|it| it.lock().stats.starts.clone())
            .collect()
    }

    /// The upstreams as `process` sees them.
    #[must_use]
    pub fn client(self: &Arc<Fleet>, process: Arc<Process>) -> Arc<dyn UpstreamClient> {
        Arc::new(Client {
            fleet: self.clone(),
            process,
        })
    }
}

impl Model {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_down(&self) -> bool {
        let until = self.lock().down_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn turn_cold(&self) {
        let mut state = self.lock();
        state.bears = self.cold_limit;
        state.answered = 0;
    }

    fn crash(&self) {
        self.turn_cold();
        let mut state = self.lock();
        state.epoch += 1;
        state.down_until = Some(Instant::now() + DOWN);
    }

    fn begin(self: &Arc<Model>, key: Option<&str>) -> Option<Flight> {
        let mut state = self.lock();
        let now = Instant::now();
        if state.in_flight >= state.bears {
            // It falls over.
            state.stats.overruns += 1;
            drop(state);
            self.turn_cold();
            return None;
        }
        state.in_flight += 1;
        state.stats.started += 1;
        state.stats.starts.push(now);
        state.stats.max_in_flight = state.stats.max_in_flight.max(state.in_flight);
        if let Some(key) = key {
            *state.stats.executions.entry(key.to_owned()).or_default() += 1;
        }
        state.note(now);
        Some(Flight {
            epoch: state.epoch,
            model: self.clone(),
        })
    }

    fn step(&self) -> Duration {
        self.step * self.lock().faults.slow_factor.max(1)
    }
}

impl State {
    fn note(&mut self, now: Instant) {
        self.history.push((now, self.in_flight));
        let oldest = now.checked_sub(2 * REPORT_LAG).unwrap_or(now);
        let keep_from = self.history.iter().rposition(|(at, _)| *at <= oldest);
        self.history.drain(..keep_from.unwrap_or(0));
    }

    /// Load as it was a lag ago.
    fn lagging(&self, now: Instant) -> u32 {
        let then = now.checked_sub(REPORT_LAG).unwrap_or(now);
        let past = self.history.iter().rev().find(|(at, _)| *at <= then);
        past.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// A call in flight at an upstream.
struct Flight {
    epoch: u64,
    model: Arc<Model>,
}

impl Flight {
    /// Whether the upstream has crashed under the call.
    fn is_lost(&self) -> bool {
        self.model.lock().epoch != self.epoch
    }

    fn complete(&self) {
        let mut state = self.model.lock();
        state.answered += 1;
        if state.answered >= WARM_STEP * state.bears {
            state.answered = 0;
            state.bears = (state.bears * 2).min(self.model.ceiling);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut state = self.model.lock();
        state.in_flight -= 1;
        state.note(Instant::now());
    }
}

struct Client {
    fleet: Arc<Fleet>,
    process: Arc<Process>,
}

impl Client {
    async fn call(&self, endpoint: Endpoint, call: Call) -> Result<Answer, CallError> {
        self.process.pass().await;
        tokio::time::sleep(LATENCY).await;
        let model = self.fleet.models.get(&endpoint.address);
        let model = model.filter(|it| !it.is_down()).ok_or(CallError::NotSent)?;
        let key = match &call.body {
            Body::Plain(body) => serde_json::from_str::<Value>(body)
                .ok()
                .and_then(|it| it["key"].as_str().map(str::to_owned)),
            Body::Generate { .. } => None,
        };
        let Some(flight) = model.begin(key.as_deref()) else {
            return Err(CallError::Broken(Cause::Overloaded));
        };
        let attempt = {
            let mut state = model.lock();
            let is_crossed = state.faults.cross_answers > 0;
            state.faults.cross_answers -= u32::from(is_crossed);
            match is_crossed {
                true => id::Attempt(!call.attempt.0),
                false => call.attempt,
            }
        };
        let (sender, pieces) = mpsc::channel(PIECE_BUFFER);
        tokio::spawn(run(flight, call.body, sender));
        Ok(Answer { attempt, pieces })
    }
}

impl UpstreamClient for Client {
    fn call(&self, endpoint: Endpoint, call: Call) -> BoxFuture<'_, Result<Answer, CallError>> {
        Box::pin(Client::call(self, endpoint, call))
    }

    fn load_report(&self, endpoint: Endpoint) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move {
            self.process.pass().await;
            tokio::time::sleep(LATENCY).await;
            let model = self.fleet.models.get(&endpoint.address)?;
            if model.is_down() {
                return None;
            }
            let state = model.lock();
            Some(LoadReport {
                in_flight: state.lagging(Instant::now()),
                epoch: state.epoch,
                age: REPORT_LAG,
            })
        })
    }

    fn probe(&self, endpoint: Endpoint) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            self.process.pass().await;
            let model = self.fleet.models.get(&endpoint.address);
            model.is_some_and(|it| !it.is_down())
        })
    }
}

type Pieces = mpsc::Sender<Result<Piece, Cause>>;

/// Runs a call at its upstream.
async fn run(flight: Flight, body: Body, sender: Pieces) {
    let is_poison = format!("{body:?}").contains(POISON);
    if is_poison {
        // A call that is cancelled in time crashes nothing.
        if !work(&flight, flight.model.step(), &sender).await {
            return;
        }
        flight.model.lock().stats.crashes += 1;
        flight.model.crash();
        let _ = sender.send(Err(Cause::Connection)).await;
        return;
    }
    match body {
        Body::Plain(body) => plain(&flight, &body, sender).await,
        Body::Generate {
            prompt,
            max_tokens,
            resume,
        } => generate(&flight, &prompt, resume.len()..max_tokens as usize, sender).await,
    }
}

/// Sleeps for `time`, unless the asker goes away and the call may be cancelled.
async fn work(flight: &Flight, time: Duration, sender: &Pieces) -> bool {
    if flight.model.is_detached {
        tokio::time::sleep(time).await;
        return true;
    }
    tokio::select! {
        biased;
        () = sender.closed() => false,
        () = tokio::time::sleep(time) => true,
    }
}

async fn plain(flight: &Flight, body: &str, sender: Pieces) {
    if !work(flight, flight.model.step(), &sender).await {
        return;
    }
    if flight.is_lost() {
        let _ = sender.send(Err(Cause::Connection)).await;
        return;
    }
    flight.complete();
    let parsed: Value = serde_json::from_str(body).unwrap_or_default();
    let answer = json!({
        "by": flight.model.name.as_str(),
        "input": parsed["input"],
        "key": parsed["key"],
    });
    let _ = sender.send(Ok(Piece::Part(answer.to_string()))).await;
    let _ = sender.send(Ok(Piece::End)).await;
}

async fn generate(flight: &Flight, prompt: &str, range: std::ops::Range<usize>, sender: Pieces) {
    let is_cut = {
        let mut state = flight.model.lock();
        let is_cut = state.faults.cut_streams > 0;
        state.faults.cut_streams -= u32::from(is_cut);
        is_cut
    };
    let middle = range.start + range.len() / 2;
    for idx in range {
        if !work(flight, flight.model.step(), &sender).await {
            return;
        }
        if flight.is_lost() || (is_cut && idx == middle) {
            let _ = sender.send(Err(Cause::Connection)).await;
            return;
        }
        let token = tokens::token(prompt, idx);
        if sender.send(Ok(Piece::Part(token))).await.is_err() {
            return;
        }
    }
    flight.complete();
    let _ = sender.send(Ok(Piece::End)).await;
}
