//! State that engines and plain services share: load, warmth, faults and counts.

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
pub const POISON: &str = "poison-pill";
/// Lag of load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time for which an upstream that fell over refuses everything.
const FALLEN: Duration = Duration::from_secs(2);
const RESTART_POLL: Duration = Duration::from_millis(50);
/// Time for which an upstream that a poison request crashed stays down.
const CRASH_TIME: Duration = Duration::from_millis(1500);

/// What an upstream has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls that began.
    pub started: u64,
    /// Whole answers.
    pub completed: u64,
    /// Most calls in flight at once.
    pub max_in_flight: u32,
    /// Most calls in flight at once while cold.
    pub max_in_flight_cold: u32,
    /// Times that it fell over.
    pub falls: u32,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
}

#[derive(Debug, Default)]
struct Inner {
    in_flight: u32,
    epoch: u64,
    answered_since_cold: u32,
    fallen_until: Option<Instant>,
    faults: fault::Upstream,
    stats: Stats,
    orders: Orders,
    /// Load at each change, for reports that lag.
    history: VecDeque<(Instant, u32)>,
}

/// Orders that an upstream has taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Wanted state of the latest order, such as model, adapter, version and role.
    pub state: BTreeMap<String, String>,
    /// Orders refused for an old fencing number.
    pub refused: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    fence: u64,
    set: BTreeMap<String, String>,
}

impl Inner {
    fn note_load(&mut self) {
        let now = Instant::now();
        self.history.push_back((now, self.in_flight));
        while self.history.len() > 1 && now - self.history[1].0 > REPORT_LAG {
            self.history.pop_front();
        }
    }

    /// Load as it was a lag ago.
    fn lagging_load(&self) -> u32 {
        let past = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= REPORT_LAG);
        past.map_or(0, |(_, in_flight)| *in_flight)
    }

    /// Takes an order; returns whether it was not refused.
    fn order(&mut self, order: Order, checks_fencing: bool) -> bool {
        if checks_fencing && order.fence < self.orders.fence {
            self.orders.refused += 1;
            return false;
        }
        self.orders.fence = self.orders.fence.max(order.fence);
        self.orders.state.extend(order.set);
        true
    }
}

/// One upstream.
pub struct Upstream {
    /// Its settings.
    pub settings: settings::Upstream,
    inner: Mutex<Inner>,
    crashed: watch::Sender<bool>,
}

/// A call in flight; dropping it ends the call.
pub struct Flight {
    upstream: Arc<Upstream>,
}

impl Upstream {
    /// A cold upstream.
    #[must_use]
    pub fn new(settings: settings::Upstream) -> Upstream {
        Upstream {
            settings,
            inner: Mutex::default(),
            crashed: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it has seen.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: fault::Upstream) {
        self.crashed.send_replace(faults.crash);
        let mut inner = self.lock();
        if faults.cold {
            inner.answered_since_cold = 0;
        }
        inner.faults = faults;
    }

    /// Begins a call; `None` when the upstream cannot bear it.
    pub fn begin(self: &Arc<Upstream>, key: Option<&str>) -> Option<Flight> {
        let mut inner = self.lock();
        let now = Instant::now();
        if inner.fallen_until.is_some_and(|until| now < until) {
            return None;
        }
        let is_cold = inner.answered_since_cold < self.settings.warm_after;
        let in_flight = inner.in_flight + 1;
        let bears = match is_cold {
            true => self.settings.cold_limit,
            false => self.settings.warm_limit,
        };
        if in_flight > bears {
            inner.stats.falls += 1;
            inner.answered_since_cold = 0;
            inner.fallen_until = Some(now + FALLEN);
            return None;
        }
        inner.in_flight = in_flight;
        inner.note_load();
        inner.stats.started += 1;
        inner.stats.max_in_flight = inner.stats.max_in_flight.max(in_flight);
        if is_cold {
            inner.stats.max_in_flight_cold = inner.stats.max_in_flight_cold.max(in_flight);
        }
        if let Some(key) = key {
            *inner.stats.executions.entry(key.to_owned()).or_default() += 1;
        }
        drop(inner);
        Some(Flight {
            upstream: self.clone(),
        })
    }

    /// Time of one step.
    #[must_use]
    pub fn step(&self) -> Duration {
        let factor = self.lock().faults.slow_factor.max(1);
        Duration::from_millis(self.settings.step_ms * factor)
    }

    /// Whether this stream is to be cut.
    pub fn takes_cut(&self) -> bool {
        let mut inner = self.lock();
        let is_cut = inner.faults.cut_streams > 0;
        inner.faults.cut_streams -= u32::from(is_cut);
        is_cut
    }

    /// Whether this answer is to carry another attempt's id.
    pub fn takes_cross(&self) -> bool {
        let mut inner = self.lock();
        let is_crossed = inner.faults.cross_answers > 0;
        inner.faults.cross_answers -= u32::from(is_crossed);
        is_crossed
    }

    /// Crashes for a while, if `body` is poison.
    pub fn crash_on_poison(self: &Arc<Upstream>, body: &str) {
        if !body.contains(POISON) {
            return;
        }
        self.crashed.send_replace(true);
        let upstream = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_TIME).await;
            upstream.crashed.send_replace(false);
        });
    }

    fn restarted(&self) {
        let mut inner = self.lock();
        inner.epoch += 1;
        inner.answered_since_cold = 0;
        inner.in_flight = 0;
    }

    /// Serves until the process ends, through crashes and restarts.
    pub async fn serve(self: Arc<Upstream>) {
        loop {
            let listener = salvo::conn::TcpListener::new(self.settings.address);
            let Ok(acceptor) = listener.try_bind().await else {
                tokio::time::sleep(RESTART_POLL).await;
                continue;
            };
            let server = salvo::Server::new(acceptor).disable_fuse();
            let serving = server.try_serve(salvo::Service::new(self.router()));
            let mut crashed = self.crashed.subscribe();
            tokio::select! {
                // Dropping the server cuts every connection.
                _ = crashed.wait_for(|is_crashed| *is_crashed) => {}
                _ = serving => {}
            }
            let _ = crashed.wait_for(|is_crashed| !*is_crashed).await;
            self.restarted();
        }
    }

    fn router(self: &Arc<Upstream>) -> Router {
        let router = Router::new()
            .push(Router::with_path("load").get(Load(self.clone())))
            .push(
                Router::with_path("orders")
                    .post(TakeOrder(self.clone()))
                    .get(ShowOrders(self.clone())),
            );
        match self.settings.kind {
            Kind::Engine => {
                router.push(Router::with_path("v1/chat/completions").post(Generate(self.clone())))
            }
            Kind::Plain => router.push(Router::with_path("run").post(Run(self.clone()))),
        }
    }
}

impl Flight {
    /// Counts a whole answer.
    pub fn complete(self) {
        let mut inner = self.upstream.lock();
        inner.stats.completed += 1;
        inner.answered_since_cold += 1;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut inner = self.upstream.lock();
        inner.in_flight = inner.in_flight.saturating_sub(1);
        inner.note_load();
    }
}

struct Load(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for Load {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let inner = self.0.lock();
        response.render(Json(json!({
            "in_flight": inner.lagging_load(),
            "epoch": inner.epoch,
            "age_ms": REPORT_LAG.as_millis() as u64,
        })));
    }
}

struct TakeOrder(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for TakeOrder {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let payload = request.payload().await.ok();
        let order = payload.and_then(|it| serde_json::from_slice::<Order>(it).ok());
        let Some(order) = order else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let checks_fencing = self.0.settings.checks_fencing;
        let is_taken = self.0.lock().order(order, checks_fencing);
        response.status_code(match is_taken {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::CONFLICT,
        });
    }
}

struct ShowOrders(Arc<Upstream>);

#[salvo::async_trait]
impl Handler for ShowOrders {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        response.render(Json(self.0.lock().orders.clone()));
    }
}

/// The attempt id to echo.
pub(crate) fn echo(upstream: &Upstream, request: &Request, response: &mut Response) {
    let header = request.headers().get("x-attempt-id").cloned();
    let echoed = match upstream.takes_cross() {
        true => Some(salvo::http::HeaderValue::from_static("00000000000000ff")),
        false => header,
    };
    if let Some(echoed) = echoed {
        response.headers_mut().insert("x-attempt-id", echoed);
    }
}
