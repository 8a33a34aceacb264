//! An upstream, with what engines and plain services have in common: in-flight limit, cold start,
//! crashes, commands and statistics.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Listener;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::engine::Generate;
use crate::fault;
use crate::plain::Run;
use crate::settings;
use crate::settings::Kind;

/// A body with this text crashes the upstream that runs it.
pub const POISON_MARKER: &str = "poison-pill";
/// Age of the load in load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time for which an overloaded upstream rejects all calls.
const OVERLOAD_DOWNTIME: Duration = Duration::from_secs(2);
/// Interval between attempts to bind the port again after a crash.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an upstream is down after a poison request.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1500);

/// Counters of an upstream since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of calls started.
    pub started: u64,
    /// Number of calls whose response was sent completely.
    pub completed: u64,
    /// Maximum number of calls in flight.
    pub max_in_flight: u32,
    /// Maximum number of calls in flight while cold.
    pub max_in_flight_cold: u32,
    /// Number of overloads: calls beyond the in-flight limit, each of which makes the upstream cold.
    pub falls: u32,
    /// Number of calls started, by idempotency key.
    pub executions: BTreeMap<String, u32>,
}

#[derive(Debug, Default)]
struct Inner {
    in_flight: u32,
    /// Number of restarts, which load reports carry.
    epoch: u64,
    completed_since_cold: u32,
    overloaded_until: Option<Instant>,
    faults: fault::Upstream,
    stats: Stats,
    commands: CommandState,
    /// Calls in flight after each change, for load reports that are [`REPORT_LAG`] old.
    history: VecDeque<(Instant, u32)>,
}

/// State that commands to an upstream have set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandState {
    /// Highest fencing token of an accepted command.
    pub fence: u64,
    /// Values set by the commands, such as model, adapter, version and role.
    pub state: BTreeMap<String, String>,
    /// Number of commands rejected for an outdated fencing token.
    pub refused: u64,
}

/// A command to an upstream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Command {
    fence: u64,
    set: BTreeMap<String, String>,
}

impl Inner {
    /// Records the current load, and drops entries that load reports no longer need.
    fn record_load(&mut self) {
        let now = Instant::now();
        self.history.push_back((now, self.in_flight));
        while self.history.len() > 1 && now - self.history[1].0 > REPORT_LAG {
            self.history.pop_front();
        }
    }

    /// Calls in flight [`REPORT_LAG`] ago.
    fn delayed_load(&self) -> u32 {
        let past = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= REPORT_LAG);
        past.map_or(0, |(_, in_flight)| *in_flight)
    }

    /// Applies a command; `false` if it was rejected for an outdated fencing token.
    fn apply_command(&mut self, command: Command, checks_fencing: bool) -> bool {
        if checks_fencing && command.fence < self.commands.fence {
            self.commands.refused += 1;
            return false;
        }
        self.commands.fence = self.commands.fence.max(command.fence);
        self.commands.state.extend(command.set);
        true
    }
}

/// A simulated upstream.
pub struct Upstream {
    /// Settings of the upstream.
    pub settings: settings::Upstream,
    inner: Mutex<Inner>,
    is_crashed: watch::Sender<bool>,
}

/// A call in flight. Dropping it ends the call.
pub struct InFlightCall {
    upstream: Arc<Upstream>,
}

impl Upstream {
    /// Creates an upstream, which is cold.
    #[must_use]
    pub fn new(settings: settings::Upstream) -> Upstream {
        Upstream {
            settings,
            inner: Mutex::default(),
            is_crashed: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current statistics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: fault::Upstream) {
        self.is_crashed.send_replace(faults.crash);
        let mut inner = self.lock();
        if faults.cold {
            inner.completed_since_cold = 0;
        }
        inner.faults = faults;
    }

    /// Starts a call; `None` if the upstream is overloaded. A call beyond the in-flight limit makes it
    /// cold, and overloaded for a while.
    pub fn start_call(self: &Arc<Upstream>, key: Option<&str>) -> Option<InFlightCall> {
        let mut inner = self.lock();
        let now = Instant::now();
        if inner.overloaded_until.is_some_and(|until| now < until) {
            return None;
        }
        let is_cold = inner.completed_since_cold < self.settings.warm_after;
        let in_flight = inner.in_flight + 1;
        let limit = match is_cold {
            true => self.settings.cold_limit,
            false => self.settings.warm_limit,
        };
        if in_flight > limit {
            inner.stats.falls += 1;
            inner.completed_since_cold = 0;
            inner.overloaded_until = Some(now + OVERLOAD_DOWNTIME);
            return None;
        }
        inner.in_flight = in_flight;
        inner.record_load();
        inner.stats.started += 1;
        inner.stats.max_in_flight = inner.stats.max_in_flight.max(in_flight);
        if is_cold {
            inner.stats.max_in_flight_cold = inner.stats.max_in_flight_cold.max(in_flight);
        }
        if let Some(key) = key {
            *inner.stats.executions.entry(key.to_owned()).or_default() += 1;
        }
        drop(inner);
        Some(InFlightCall {
            upstream: self.clone(),
        })
    }

    /// Time of a plain call, or between two tokens, with the injected slowdown.
    #[must_use]
    pub fn step_time(&self) -> Duration {
        let factor = self.lock().faults.slow_factor.max(1);
        Duration::from_millis(self.settings.step_ms * factor)
    }

    /// Whether this stream is to be cut; consumes one of the injected cuts.
    pub fn take_stream_cut(&self) -> bool {
        let mut inner = self.lock();
        let is_cut = inner.faults.cut_streams > 0;
        inner.faults.cut_streams -= u32::from(is_cut);
        is_cut
    }

    /// Whether this response is to carry the id of another attempt; consumes one of the injected ones.
    pub fn take_crossed_response(&self) -> bool {
        let mut inner = self.lock();
        let is_crossed = inner.faults.cross_answers > 0;
        inner.faults.cross_answers -= u32::from(is_crossed);
        is_crossed
    }

    /// Crashes for a while if `body` contains [`POISON_MARKER`].
    pub fn crash_on_poison(self: &Arc<Upstream>, body: &str) {
        if !body.contains(POISON_MARKER) {
            return;
        }
        self.is_crashed.send_replace(true);
        let upstream = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DOWNTIME).await;
            upstream.is_crashed.send_replace(false);
        });
    }

    /// Resets the state that a real upstream loses when it restarts.
    fn reset_after_restart(&self) {
        let mut inner = self.lock();
        inner.epoch += 1;
        inner.completed_since_cold = 0;
        inner.in_flight = 0;
    }

    /// Serves until the process ends; binds the port again after each crash.
    pub async fn serve(self: Arc<Upstream>) {
        loop {
            let listener = salvo::conn::TcpListener::new(self.settings.address);
            let Ok(acceptor) = listener.try_bind().await else {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                continue;
            };
            let server = salvo::Server::new(acceptor).disable_fuse();
            let serving = server.try_serve(salvo::Service::new(self.router()));
            let mut crash_watch = self.is_crashed.subscribe();
            tokio::select! {
                // Dropping the server closes all connections.
                _ = crash_watch.wait_for(|is_crashed| *is_crashed) => {}
                _ = serving => {}
            }
            let _ = crash_watch.wait_for(|is_crashed| !*is_crashed).await;
            self.reset_after_restart();
        }
    }

    fn router(self: &Arc<Upstream>) -> Router {
        let router = Router::new()
            .push(Router::with_path("load").get(GetLoad(self.clone())))
            .push(
                Router::with_path("orders")
                    .post(ApplyCommand(self.clone()))
                    .get(GetCommandState(self.clone())),
            );
        match self.settings.kind {
            Kind::Engine => {
                router.push(Router::with_path("v1/chat/completions").post(Generate(self.clone())))
            }
            Kind::Plain => router.push(Router::with_path("run").post(Run(self.clone()))),
        }
    }
}

impl InFlightCall {
    /// Counts the call as completed and ends it.
    pub fn complete(self) {
        let mut inner = self.upstream.lock();
        inner.stats.completed += 1;
        inner.completed_since_cold += 1;
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let mut inner = self.upstream.lock();
        inner.in_flight = inner.in_flight.saturating_sub(1);
        inner.record_load();
    }
}

struct GetLoad(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for GetLoad {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let inner = self.0.lock();
        response.render(Json(json!({
            "in_flight": inner.delayed_load(),
            "epoch": inner.epoch,
            "age_ms": REPORT_LAG.as_millis() as u64,
        })));
    }
}

struct ApplyCommand(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for ApplyCommand {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let payload = request.payload().await.ok();
        let command = payload.and_then(|it| serde_json::from_slice::<Command>(it).ok());
        let Some(command) = command else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let checks_fencing = self.0.settings.checks_fencing;
        let is_accepted = self.0.lock().apply_command(command, checks_fencing);
        response.status_code(match is_accepted {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::CONFLICT,
        });
    }
}

struct GetCommandState(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for GetCommandState {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        response.render(Json(self.0.lock().commands.clone()));
    }
}

/// Copies the attempt id of the request to the response, or another one under the injected fault.
pub(crate) fn echo_attempt_id(upstream: &Upstream, request: &Request, response: &mut Response) {
    let header = request.headers().get("x-attempt-id").cloned();
    let attempt_id = match upstream.take_crossed_response() {
        true => Some(salvo::http::HeaderValue::from_static("00000000000000ff")),
        false => header,
    };
    if let Some(attempt_id) = attempt_id {
        response.headers_mut().insert("x-attempt-id", attempt_id);
    }
}
