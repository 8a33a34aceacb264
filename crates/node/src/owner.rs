//! Drives the step planners of this instance, one per owned shard: sends their calls to the
//! upstreams and reports the outcomes.

mod calls;
mod exchange;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use catalog::Catalog;
use catalog::Upstream;
use catalog::View;
use forwarding::board::EngineBalancer;
use forwarding::board::Ticket;
use forwarding::cold;
use forwarding::engine_memory;
use forwarding::engine_memory::Fit;
use platform::settings::Bounds;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Prepared;
use stages::Refusal;
use stages::Replica;
use stages::Shard;
use stages::labels::Labels;
use stages::pressure::Pressure;
use stages::shard;
use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::limits;
use crate::state::Node;

/// Unneeded results are freed in batches, at most this long after they became unneeded.
const FREE_DELAY: Duration = Duration::from_millis(25);
/// Interval at which the lag of this process is measured.
const LAG_PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// The same while this process runs no steps, to spare wake-ups.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Lag from which it is reported as a metric.
const LAG_REPORTED_MIN: Duration = Duration::from_millis(50);
/// Longest sleep of [`Owner::run`] when no planner and no event wakes it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(5);

type PlanResult = Result<Prepared, Refusal>;

#[derive(Default)]
struct State {
    planners: BTreeMap<Shard, Planner>,
    waiters: HashMap<(Shard, PlanId), oneshot::Sender<PlanResult>>,
    balancer: EngineBalancer,
    /// The owner's share of the cold limit of each engine whose limit the owner keeps.
    cold_shares: BTreeMap<id::Upstream, cold::Share>,
    /// Names under which the pieces of workspaces are counted.
    labels: Labels,
    /// Slots and memory of each engine.
    engine_rooms: BTreeMap<id::Upstream, engine_memory::Room>,
    upstreams: BTreeMap<id::Upstream, Arc<Upstream>>,
    /// Upstreams that asked to receive no calls for now, and until when.
    held_off_until: BTreeMap<id::Upstream, Instant>,
    /// Upstreams whose unreadable load has been logged.
    unreadable_loads: BTreeSet<id::Upstream>,
}

/// State of an upstream as observed by a step call.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The upstream announced that it is about to stop.
    Leaving(id::Incarnation),
    /// The upstream accepted no connection.
    Unreachable(Arc<Upstream>),
    /// The upstream gave no answer to a call with pieces of these requests.
    Lost {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// Fingerprints of the requests in the call.
        fingerprints: BTreeSet<id::Fingerprint>,
        /// When the call was sent.
        sent_at: Instant,
    },
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    events: mpsc::UnboundedSender<UpstreamEvent>,
    bounds: Bounds,
    telemetry: Telemetry,
    pressure: Mutex<Pressure>,
    /// When this process may place requests at engines whose cold limit it keeps.
    cold_sends_from: Instant,
}

/// Runs the steps of the shards that this instance owns; cheap to clone.
#[derive(Clone)]
pub struct Owner {
    shared: Arc<Shared>,
}

/// An engine that a request was placed at. Dropping it records that the first event of the answer
/// has come or that the request was abandoned.
pub struct Placement {
    owner: Owner,
    ticket: Ticket,
}

impl Placement {
    /// Name of the engine.
    #[must_use]
    pub fn engine(&self) -> &id::Upstream {
        &self.ticket.engine
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = Instant::now();
        self.owner
            .lock()
            .balancer
            .record_first_event(&self.ticket, now);
    }
}

/// Keeps a plan running, and then its results. Dropping it cancels the plan and frees the results.
pub struct PlanGuard {
    owner: Owner,
    shard: Shard,
    id: PlanId,
    /// Estimated time until the queue ahead of the plan has drained.
    pub queue_wait: Duration,
    answer: oneshot::Receiver<PlanResult>,
}

enum TaskResult {
    Call(Shard, u64, Outcome),
    Free,
}

impl Owner {
    /// Creates an owner, and the receiver of what its calls observe of upstreams.
    #[must_use]
    pub fn new(
        bounds: Bounds,
        telemetry: Telemetry,
    ) -> (Owner, mpsc::UnboundedReceiver<UpstreamEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            events,
            bounds,
            telemetry,
            pressure: Mutex::default(),
            cold_sends_from: cold::sends_from(Instant::now()),
        };
        let owner = Owner {
            shared: Arc::new(shared),
        };
        (owner, receiver)
    }

    /// Queues a plan.
    ///
    /// # Errors
    ///
    /// Refuses at once a plan that cannot end in time or whose shard is unknown.
    pub fn submit(&self, shard: Shard, mut plan: Plan) -> Result<PlanGuard, Refusal> {
        let mut state = self.lock();
        plan.time_after_steps = plan.time_after_steps.max(state.balancer.first_event_time());
        let planner = state.planners.get_mut(&shard).ok_or(Refusal::NoUpstream)?;
        let now = Instant::now();
        let first_service = plan.steps.first().map(|it| it.service.clone());
        let queue_wait = first_service.map(|it| planner.drain_time(&it, plan.priority, now));
        let id = planner.submit(plan, now)?;
        let (sender, answer) = oneshot::channel();
        state.waiters.insert((shard.clone(), id), sender);
        drop(state);
        self.shared.changed.notify_one();
        Ok(PlanGuard {
            owner: self.clone(),
            shard,
            id,
            queue_wait: queue_wait.unwrap_or_default(),
            answer,
        })
    }

    /// Fingerprints of the requests that have plans in progress.
    #[must_use]
    pub fn active_fingerprints(&self) -> BTreeSet<id::Fingerprint> {
        let state = self.lock();
        let planners = state.planners.values();
        planners.flat_map(Planner::fingerprints).collect()
    }

    /// Aborts the plans of a request that must not run any more.
    pub fn cancel_request(&self, fingerprint: id::Fingerprint) {
        for planner in self.lock().planners.values_mut() {
            planner.abort_request(fingerprint);
        }
        self.shared.changed.notify_one();
    }

    /// Forgets the lost and slow calls of an upstream, because the path to it was at fault.
    pub(crate) fn forget_failures(&self, upstream: &id::Upstream) {
        for planner in self.lock().planners.values_mut() {
            planner.forget_failures(upstream);
        }
        self.shared.changed.notify_one();
    }

    /// Places a request at the best of `engines` that has room for it, or else at the least overfull
    /// one; `typical_latency` is the usual time until its first event. `None` if `engines` is empty or the cold limits of all of them are used up.
    #[must_use]
    pub fn place(
        &self,
        request: &str,
        engines: &[id::Upstream],
        typical_latency: Duration,
        need: engine_memory::Need,
    ) -> Option<Placement> {
        let state = &mut *self.lock();
        let now = Instant::now();
        let may_send = self.shared.cold_sends_from <= now;
        let share = |it: &id::Upstream| {
            let share = state.cold_shares.get(it).copied()?;
            Some(if may_send { share } else { cold::Share::NONE })
        };
        let room = |it: &id::Upstream| state.engine_rooms.get(it).copied();
        let ticket =
            state
                .balancer
                .place_within(engines, typical_latency, need, room, share, now)?;
        let telemetry = &self.shared.telemetry;
        telemetry.count_tagged("owner.placed", &ticket.fit.to_string(), 1);
        if let Fit::Overfull(excess) = ticket.fit {
            slog::info!(telemetry.logger(), "engine_overfull"; "request" => request,
                "engine" => ticket.engine.as_str(), "tokens" => need.tokens(),
                "excess" => excess, "candidates" => engines.len());
        }
        Some(Placement {
            owner: self.clone(),
            ticket,
        })
    }

    /// Updates the shards, services and upstreams from a view, and which cold limits owners keep, as
    /// there are too many `members` to divide them. Without a catalog nothing changes.
    pub fn configure(&self, view: &View, members: usize) {
        let Some(catalog) = &view.catalog else {
            return;
        };
        let mut state = self.lock();
        let shards = shard::partition(view);
        // When shards are split or merged, the old planner stays until its plans have ended.
        state
            .planners
            .retain(|shard, it| shards.contains(shard) || it.plan_count() > 0);
        for shard in shards {
            state.planners.entry(shard).or_default();
        }
        state.upstreams = view.upstreams.clone();
        state
            .balancer
            .retain(|name| view.upstreams.contains_key(name));
        state.cold_shares = compute_cold_shares(&self.shared.bounds, view, members);
        state.engine_rooms = engine_rooms(catalog, view);
        let now = Instant::now();
        for service in catalog.services.values() {
            let Some(batch_limits) = service.batch_limits else {
                continue;
            };
            for (shard, planner) in &mut state.planners {
                let replicas = replicas(view, &service.name, shard);
                planner.configure(&service.name, batch_limits, replicas, now);
            }
        }
        let State {
            planners,
            held_off_until,
            unreadable_loads,
            ..
        } = &mut *state;
        held_off_until.retain(|_, until| *until > now);
        unreadable_loads.retain(|it| view.upstreams.contains_key(it));
        for planner in planners.values_mut() {
            for (upstream, until) in &*held_off_until {
                planner.hold_off(upstream, *until);
            }
        }
        drop(state);
        self.shared.changed.notify_one();
    }

    /// Time for which this process can't serve steps of a priority in time, as it doesn't keep up with
    /// its events; `None` if it can.
    #[must_use]
    pub fn busy_for(&self, priority: u8) -> Option<Duration> {
        self.pressure().busy_for(priority, Instant::now())
    }

    fn has_plans(&self) -> bool {
        let state = self.lock();
        state.planners.values().any(|it| it.plan_count() > 0)
    }

    fn pressure(&self) -> MutexGuard<'_, Pressure> {
        let pressure = self.shared.pressure.lock();
        pressure.unwrap_or_else(PoisonError::into_inner)
    }

    /// Measures how late this process handles its events; never returns.
    async fn watch_pressure(&self) {
        loop {
            let interval = match self.has_plans() {
                true => LAG_PROBE_INTERVAL,
                false => IDLE_PROBE_INTERVAL,
            };
            let due = Instant::now() + interval;
            tokio::time::sleep_until(due).await;
            let now = Instant::now();
            let lag = now.saturating_duration_since(due);
            self.pressure().record(lag, now);
            if lag >= LAG_REPORTED_MIN {
                let millis = lag.as_millis() as u64;
                self.shared.telemetry.time_ms("owner.lag", millis);
            }
        }
    }

    /// Drives the planners until cancelled. `node` is the one that this owner belongs to.
    pub async fn run(self, node: Arc<Node>) {
        tokio::select! {
            () = self.drive(node) => {}
            () = self.watch_pressure() => {}
        }
    }

    async fn drive(&self, node: Arc<Node>) {
        let mut tasks = JoinSet::new();
        let mut unused: BTreeMap<id::Upstream, Vec<Handle>> = BTreeMap::new();
        let mut free_at: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let wake_at = self.drive_planners(&node, &mut tasks, &mut unused, now);
            if !unused.is_empty() && free_at.is_none() {
                free_at = Some(now + FREE_DELAY);
            }
            if free_at.is_some_and(|it| it <= now) {
                free_at = None;
                self.spawn_free(&node, &mut tasks, std::mem::take(&mut unused));
            }
            let until = [wake_at, free_at].into_iter().flatten().min();
            let until = until.unwrap_or(now + IDLE_WAIT).max(now);
            tokio::select! {
                biased;
                Some(ended) = tasks.join_next() => self.finish_task(ended),
                () = self.shared.changed.notified() => {}
                () = tokio::time::sleep_until(until) => {}
            }
            // Submissions and outcomes that are due are driven together: a drive costs more than one.
            tokio::task::yield_now().await;
            while let Some(ended) = tasks.try_join_next() {
                self.finish_task(ended);
            }
        }
    }

    /// Spawns the calls that are due, answers ended plans and collects unneeded results. Returns
    /// when a planner needs to be driven next.
    fn drive_planners(
        &self,
        node: &Arc<Node>,
        tasks: &mut JoinSet<TaskResult>,
        unused: &mut BTreeMap<id::Upstream, Vec<Handle>>,
        now: Instant,
    ) -> Option<Instant> {
        let state = &mut *self.lock();
        let mut wake_times = Vec::new();
        let mut waiting = 0;
        let mut plans = 0;
        for (shard, planner) in &mut state.planners {
            for call in planner.dispatch(now) {
                let upstream = state.upstreams.get(&call.upstream).cloned();
                self.spawn_call(node, tasks, shard.clone(), call, upstream);
            }
            for (id, answer) in planner.take_ended() {
                if let Some(waiter) = state.waiters.remove(&(shard.clone(), id)) {
                    // If the receiver is gone, dropping its guard releases the plan.
                    let _ = waiter.send(answer);
                }
            }
            for (upstream, handle) in planner.take_unused_results() {
                unused.entry(upstream).or_default().push(handle);
            }
            for (workspace, pieces) in planner.take_sent() {
                let label = state.labels.label(workspace.as_ref(), pieces);
                let telemetry = &self.shared.telemetry;
                telemetry.count_tagged("owner.pieces", &label, pieces);
            }
            waiting += planner.waiting_pieces();
            plans += planner.plan_count();
            wake_times.extend(planner.next_wakeup(now));
        }
        let telemetry = &self.shared.telemetry;
        telemetry.gauge("owner.waiting", waiting as u64);
        telemetry.gauge("owner.plans", plans as u64);
        wake_times.into_iter().min()
    }

    fn finish_task(&self, ended: Result<TaskResult, JoinError>) {
        if let Ok(TaskResult::Call(shard, id, outcome)) = ended {
            self.finish_call(&shard, id, outcome);
        }
    }

    fn finish_call(&self, shard: &Shard, call: u64, outcome: Outcome) {
        let mut state = self.lock();
        if let Some(planner) = state.planners.get_mut(shard) {
            planner.finish(call, outcome, Instant::now());
        }
    }

    fn release_plan(&self, shard: &Shard, id: PlanId) {
        let mut state = self.lock();
        state.waiters.remove(&(shard.clone(), id));
        if let Some(planner) = state.planners.get_mut(shard) {
            planner.release(id);
        }
        drop(state);
        self.shared.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlanGuard {
    /// Waits until the plan has ended; returns its results.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the plan was refused or aborted.
    pub async fn prepared(&mut self) -> PlanResult {
        let answer = (&mut self.answer).await;
        answer.unwrap_or(Err(Refusal::Failed))
    }
}

impl Drop for PlanGuard {
    fn drop(&mut self) {
        self.owner.release_plan(&self.shard, self.id);
    }
}

fn compute_cold_shares(
    bounds: &Bounds,
    view: &View,
    members: usize,
) -> BTreeMap<id::Upstream, cold::Share> {
    let shares = view.upstreams.values().filter_map(|it| {
        let limit = limits::cold_rate_limit(bounds, view, &it.service)?;
        let is_owned = limit.per_member(members, 0).is_none();
        is_owned.then(|| (it.name.clone(), limit.owner_share()))
    });
    shares.collect()
}

fn engine_rooms(catalog: &Catalog, view: &View) -> BTreeMap<id::Upstream, engine_memory::Room> {
    let rooms = view.upstreams.values().filter_map(|it| {
        let engine = catalog.services.get(&it.service)?.engine?;
        let room = engine_memory::Room {
            slots: engine.slots,
            tokens: engine.memory_tokens,
        };
        Some((it.name.clone(), room))
    });
    rooms.collect()
}

fn replicas(view: &View, service: &id::Service, shard: &Shard) -> Vec<Replica> {
    let upstreams = view.upstreams.values();
    let upstreams = upstreams.filter(|it| it.service == *service && shard.contains(&it.zone));
    let replicas = upstreams.map(|it| Replica {
        name: it.name.clone(),
        zone: it.zone.clone(),
        started_ms: it.started_ms,
        is_usable: view.is_usable(it),
    });
    replicas.collect()
}
