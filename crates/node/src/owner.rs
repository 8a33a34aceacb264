//! Drives the planner of this instance: sends its calls and reports their outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use catalog::View;
use forwarding::board::EngineBalancer;
use forwarding::board::Ticket;
use forwarding::cold;
use platform::settings::Bounds;
use platform::steps;
use stages::Call;
use stages::Handle;
use stages::Outcome;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Prepared;
use stages::Refusal;
use stages::Replica;
use stages::Shard;
use stages::shard;
use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::limits;

/// Results that are no longer needed are freed together, at most this late.
const FREE_DELAY: Duration = Duration::from_millis(25);
/// The driver looks at its queue at least this often.
const IDLE_WAIT: Duration = Duration::from_secs(5);

type PlanResult = Result<Prepared, Refusal>;

#[derive(Default)]
struct State {
    planners: BTreeMap<Shard, Planner>,
    waiters: HashMap<(Shard, PlanId), oneshot::Sender<PlanResult>>,
    balancer: EngineBalancer,
    /// Shares of engines' cold limits, where the owner keeps them.
    cold_shares: BTreeMap<id::Upstream, cold::Share>,
    upstreams: BTreeMap<id::Upstream, Arc<Upstream>>,
    /// Upstreams that want no calls for now, and until when.
    held_off: BTreeMap<id::Upstream, Instant>,
}

/// What calls tell of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// One says that it is about to stop.
    Leaving(id::Incarnation),
    /// One took no connection.
    Unreachable(Arc<Upstream>),
    /// One gave no answer to a call with pieces of these requests.
    Lost {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// The requests.
        fingerprints: BTreeSet<id::Fingerprint>,
        /// When the call was sent.
        sent: Instant,
    },
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    events: mpsc::UnboundedSender<UpstreamEvent>,
    client: steps::Client,
    bounds: Bounds,
    telemetry: Telemetry,
}

/// Owner of step services; cheap to clone.
#[derive(Clone)]
pub struct Owner {
    shared: Arc<Shared>,
}

/// An engine that a request was placed at. Dropping it tells that its first event has come.
pub struct Placement {
    owner: Owner,
    ticket: Ticket,
}

impl Placement {
    /// The engine.
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

/// A plan in progress, or its results. Dropping it cancels the plan and frees the results.
pub struct PlanGuard {
    owner: Owner,
    shard: Shard,
    id: PlanId,
    /// Time in which the queue ahead of the plan drains.
    pub wait: Duration,
    answer: oneshot::Receiver<PlanResult>,
}

enum TaskResult {
    Call(Shard, u64, Outcome),
    Free,
}

impl Owner {
    /// An owner that sends its calls by `client`, and what they tell.
    #[must_use]
    pub fn new(
        client: steps::Client,
        bounds: Bounds,
        telemetry: Telemetry,
    ) -> (Owner, mpsc::UnboundedReceiver<UpstreamEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            events,
            client,
            bounds,
            telemetry,
        };
        let owner = Owner {
            shared: Arc::new(shared),
        };
        (owner, receiver)
    }

    /// Takes a plan on.
    ///
    /// # Errors
    ///
    /// Refuses at once what cannot end in time.
    pub fn submit(&self, shard: Shard, mut plan: Plan) -> Result<PlanGuard, Refusal> {
        let mut state = self.lock();
        plan.time_after_steps = plan.time_after_steps.max(state.balancer.first_event_time());
        let planner = state.planners.get_mut(&shard).ok_or(Refusal::NoUpstream)?;
        let now = Instant::now();
        let first = plan.steps.first().map(|it| it.service.clone());
        let wait = first.map(|it| planner.drain_time(&it, plan.priority, now));
        let id = planner.submit(plan, now)?;
        let (sender, answer) = oneshot::channel();
        state.waiters.insert((shard.clone(), id), sender);
        drop(state);
        self.shared.changed.notify_one();
        Ok(PlanGuard {
            owner: self.clone(),
            shard,
            id,
            wait: wait.unwrap_or_default(),
            answer,
        })
    }

    /// Requests whose steps are in progress.
    #[must_use]
    pub fn active_fingerprints(&self) -> BTreeSet<id::Fingerprint> {
        let state = self.lock();
        let planners = state.planners.values();
        planners.flat_map(Planner::fingerprints).collect()
    }

    /// Gives up the steps of a request that must not run any more.
    pub fn cancel_request(&self, fingerprint: id::Fingerprint) {
        for planner in self.lock().planners.values_mut() {
            planner.abort_request(fingerprint);
        }
        self.shared.changed.notify_one();
    }

    /// Places a request whose first event usually comes after `usual` at the best of `engines`.
    #[must_use]
    pub fn place(&self, engines: &[id::Upstream], usual: Duration) -> Option<Placement> {
        let state = &mut *self.lock();
        let share = |it: &id::Upstream| state.cold_shares.get(it).copied();
        let ticket = state
            .balancer
            .place(engines, usual, share, Instant::now())?;
        Some(Placement {
            owner: self.clone(),
            ticket,
        })
    }

    /// Takes over the services and upstreams of a view.
    pub fn configure(&self, view: &View) {
        let Some(catalog) = &view.catalog else {
            return;
        };
        let mut state = self.lock();
        let shards = shard::partition(view);
        // Plans of a shard that is split or merged end where they began.
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
        state.cold_shares = compute_cold_shares(&self.shared.bounds, view);
        let now = Instant::now();
        for service in catalog.services.values() {
            let Some(pool) = service.batch_limits else {
                continue;
            };
            for (shard, planner) in &mut state.planners {
                let replicas = replicas(view, &service.name, shard);
                planner.configure(&service.name, pool, replicas, now);
            }
        }
        let State {
            planners, held_off, ..
        } = &mut *state;
        held_off.retain(|_, until| *until > now);
        for planner in planners.values_mut() {
            for (upstream, until) in &*held_off {
                planner.hold_off(upstream, *until);
            }
        }
        drop(state);
        self.shared.changed.notify_one();
    }

    /// Sends calls until cancelled.
    pub async fn run(self) {
        let mut tasks = JoinSet::new();
        let mut unused: BTreeMap<id::Upstream, Vec<Handle>> = BTreeMap::new();
        let mut free_at: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let wake_at = self.drive_planners(&mut tasks, &mut unused, now);
            if !unused.is_empty() && free_at.is_none() {
                free_at = Some(now + FREE_DELAY);
            }
            if free_at.is_some_and(|it| it <= now) {
                free_at = None;
                self.spawn_free(&mut tasks, std::mem::take(&mut unused));
            }
            let until = [wake_at, free_at].into_iter().flatten().min();
            let until = until.unwrap_or(now + IDLE_WAIT).max(now);
            tokio::select! {
                biased;
                Some(ended) = tasks.join_next() => {
                    if let Ok(TaskResult::Call(shard, id, outcome)) = ended {
                        self.finish_call(&shard, id, outcome);
                    }
                }
                () = self.shared.changed.notified() => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }

    fn drive_planners(
        &self,
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
                self.spawn_call(tasks, shard.clone(), call, upstream);
            }
            for (id, answer) in planner.take_ended() {
                if let Some(waiter) = state.waiters.remove(&(shard.clone(), id)) {
                    // A waiter that has gone releases its plan itself.
                    let _ = waiter.send(answer);
                }
            }
            for (upstream, handle) in planner.take_unused_results() {
                unused.entry(upstream).or_default().push(handle);
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

    fn finish_call(&self, shard: &Shard, call: u64, outcome: Outcome) {
        let mut state = self.lock();
        if let Some(planner) = state.planners.get_mut(shard) {
            planner.finish(call, outcome, Instant::now());
        }
    }

    fn spawn_call(
        &self,
        tasks: &mut JoinSet<TaskResult>,
        shard: Shard,
        call: Call,
        upstream: Option<Arc<Upstream>>,
    ) {
        let shared = self.shared.clone();
        tasks.spawn(async move {
            let Some(upstream) = upstream else {
                return TaskResult::Call(shard, call.id, Outcome::Unreachable);
            };
            let (address, name) = (upstream.address, upstream.name.as_str());
            let sent = Instant::now();
            let client = &shared.client;
            let reply = client.run(address, name, &call.items, call.timeout).await;
            log_call(&shared.telemetry, &call, &reply.outcome, sent.elapsed());
            if let Some(time) = reply.retry_after {
                shared.hold_off(&upstream.name, time);
            }
            if reply.is_leaving {
                shared.report(UpstreamEvent::Leaving(upstream.incarnation()));
            }
            match reply.outcome {
                Outcome::Unreachable => shared.report(UpstreamEvent::Unreachable(upstream.clone())),
                Outcome::Lost => shared.report(UpstreamEvent::Lost {
                    upstream: upstream.clone(),
                    fingerprints: call.items.iter().map(|it| it.fingerprint).collect(),
                    sent,
                }),
                Outcome::Done(_) | Outcome::Rejected => {}
            }
            TaskResult::Call(shard, call.id, reply.outcome)
        });
    }

    fn spawn_free(
        &self,
        tasks: &mut JoinSet<TaskResult>,
        unused: BTreeMap<id::Upstream, Vec<Handle>>,
    ) {
        for (upstream, handles) in unused {
            let address = self.lock().upstreams.get(&upstream).map(|it| it.address);
            let Some(address) = address else {
                continue;
            };
            let shared = self.shared.clone();
            tasks.spawn(async move {
                let is_freed = shared
                    .client
                    .free(address, upstream.as_str(), &handles)
                    .await;
                if !is_freed {
                    slog::info!(shared.telemetry.logger(), "free_failed";
                        "upstream" => upstream.as_str(), "results" => handles.len());
                }
                TaskResult::Free
            });
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

impl Shared {
    /// Takes over that an upstream wants no calls for a time.
    fn hold_off(&self, upstream: &id::Upstream, time: Duration) {
        slog::info!(self.telemetry.logger(), "held_off"; "upstream" => upstream.as_str(),
            "time_ms" => time.as_millis() as u64);
        let Some(until) = Instant::now().checked_add(time) else {
            return;
        };
        let state = self.state.lock();
        let state = &mut *state.unwrap_or_else(PoisonError::into_inner);
        state.held_off.insert(upstream.clone(), until);
        for planner in state.planners.values_mut() {
            planner.hold_off(upstream, until);
        }
    }

    fn report(&self, event: UpstreamEvent) {
        // Nobody listens once the process stops.
        let _ = self.events.send(event);
    }
}

impl PlanGuard {
    /// Waits for the results.
    ///
    /// # Errors
    ///
    /// Fails when the plan was given up.
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

fn compute_cold_shares(bounds: &Bounds, view: &View) -> BTreeMap<id::Upstream, cold::Share> {
    let members = view.members.len();
    let shares = view.upstreams.values().filter_map(|it| {
        let bound = limits::cold_bound(bounds, view, &it.service)?;
        let is_owned = bound.per_member(members).is_none();
        is_owned.then(|| (it.name.clone(), bound.owner_share()))
    });
    shares.collect()
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

fn log_call(telemetry: &Telemetry, call: &Call, outcome: &Outcome, took: Duration) {
    let (outcome, made) = match outcome {
        Outcome::Done(results) => ("done", results.iter().filter(|it| it.is_ok()).count()),
        Outcome::Rejected => ("rejected", 0),
        Outcome::Unreachable => ("unreachable", 0),
        Outcome::Lost => ("lost", 0),
    };
    telemetry.count_of("steps.calls", outcome, 1);
    telemetry.count("steps.pieces", made as u64);
    telemetry.time_ms("steps.call_time", took.as_millis() as u64);
    let mut requests: Vec<&str> = call.items.iter().map(|it| it.request.as_str()).collect();
    requests.dedup();
    slog::info!(telemetry.logger(), "step_call"; "call" => call.id,
        "upstream" => call.upstream.as_str(), "pieces" => call.items.len(), "made" => made,
        "requests" => requests.join(","), "took_ms" => took.as_millis() as u64,
        "timeout_ms" => call.timeout.as_millis() as u64, "outcome" => outcome);
}
