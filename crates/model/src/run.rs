//! The event loop of the simulation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use forwarding::quota::Urgency;
use forwarding::quota::pool::Decision;
use forwarding::quota::pool::Pool;
use forwarding::quota::pool::Share;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stages::Call;
use stages::Handle;
use stages::ItemFailure;
use stages::Outcome;
use stages::Plan;
use stages::PlanId;
use stages::Planner;
use stages::Replica;
use stages::SchedulingPolicy;
use stages::Step;
use stages::speed::Percent;
use tokio::time::Instant;

use crate::load::Load;
use crate::load::Workspaces;
use crate::report::KindReport;
use crate::report::Report;
use crate::report::WorkspaceReport;
use crate::site::RequestKind;
use crate::site::Site;

/// Time from the end of the last step to the first event of the response, when the results of the
/// steps are released.
const RELEASE_DELAY: Duration = Duration::from_millis(120);

/// Time that the coordinator of a rate limit in another zone takes to answer.
const ADMISSION_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A request of the kind with this index arrives.
    Arrival(usize),
    /// An upstream has answered or rejected a call, or the call has timed out.
    CallEnded(Call, Outcome),
    /// The results of a plan are no longer needed.
    Release(PlanId),
    /// The planner asked to be run at this time.
    Wakeup,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
struct Arrived {
    /// Index of its kind.
    kind: usize,
    /// Index of its workspace, if the load has workspaces.
    workspace: Option<usize>,
    at: Instant,
}

struct Model<'a> {
    site: &'a Site,
    load: &'a Load,
    workspaces: Option<Workspaces>,
    rng: SmallRng,
    planner: Planner,
    start: Instant,
    /// Pending events by time; the sequence number keeps those of one time in order.
    events: BTreeMap<(Instant, u64), Event>,
    next_sequence: u64,
    /// Each plan in progress.
    plans: BTreeMap<PlanId, Arrived>,
    /// Index of the service, and of the upstream within it, by name of the upstream.
    upstreams: BTreeMap<id::Upstream, (usize, usize)>,
    /// Upstreams that are processing a call.
    busy: BTreeSet<id::Upstream>,
    /// Keeps the rate limits of the upstreams.
    quota: Pool,
    /// Key of the pending wakeup in `events`.
    wakeup: Option<(Instant, u64)>,
    report: Report,
}

/// Simulates a load on a site.
///
/// # Panics
///
/// Never: the names of upstreams that it derives from valid names of services are valid.
#[must_use]
pub fn run(site: &Site, load: &Load, policy: SchedulingPolicy, seed: u64) -> Report {
    run_shared(site, load, None, policy, seed)
}

/// Simulates a load whose requests belong to `workspaces`.
///
/// # Panics
///
/// Never: the names of upstreams and workspaces that it makes are valid.
#[must_use]
pub fn run_shared(
    site: &Site,
    load: &Load,
    workspaces: Option<Workspaces>,
    policy: SchedulingPolicy,
    seed: u64,
) -> Report {
    let start = Instant::now();
    let mut model = Model {
        site,
        load,
        workspaces,
        rng: SmallRng::seed_from_u64(seed),
        planner: Planner::with_policy(policy),
        start,
        events: BTreeMap::new(),
        next_sequence: 0,
        plans: BTreeMap::new(),
        upstreams: BTreeMap::new(),
        busy: BTreeSet::new(),
        quota: quota(start, load.length),
        wakeup: None,
        report: Report::default(),
    };
    model.configure_services();
    for (at, kind) in load.arrivals(site, &mut model.rng) {
        model.schedule(start + at, Event::Arrival(kind));
    }
    while let Some(((now, _), event)) = model.events.pop_first() {
        model.handle(event, now);
        model.dispatch_calls(now);
    }
    model.report
}

/// A pool that holds the shares of all instances throughout the run.
fn quota(start: Instant, length: Duration) -> Pool {
    let owner: id::Instance = "owner".parse().expect("a valid name");
    let mut pool = Pool::new(owner.clone());
    pool.accept(&owner, Share::of(1), start + length * 2, start);
    pool
}

impl Model<'_> {
    fn configure_services(&mut self) {
        for (service_idx, service) in self.site.services.iter().enumerate() {
            let mut replicas = Vec::new();
            for (idx, zone) in service.zones.iter().enumerate() {
                let name: id::Upstream = format!("{}-{idx}", service.name)
                    .parse()
                    .expect("a valid name");
                self.upstreams.insert(name.clone(), (service_idx, idx));
                replicas.push(Replica {
                    name,
                    zone: zone.clone(),
                    started_ms: 1,
                    is_usable: true,
                });
            }
            self.planner
                .configure(&service.name, service.batch_limits, replicas, self.start);
        }
        let reports = self.site.kinds.iter().map(|it| KindReport {
            kind: it.name,
            ..KindReport::default()
        });
        self.report.kinds = reports.collect();
        let count = self.workspaces.map_or(0, |it| it.count);
        self.report.workspaces = vec![WorkspaceReport::default(); count];
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.next_sequence += 1;
        self.events.insert((time, self.next_sequence), event);
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival(kind) => self.submit_request(kind, now),
            Event::CallEnded(call, outcome) => {
                if !matches!(outcome, Outcome::Rejected | Outcome::Unsent) {
                    self.busy.remove(&call.upstream);
                }
                self.record_speed(&call.upstream, &outcome, now);
                self.planner.finish(call.id, outcome, now);
            }
            Event::Release(plan) => self.planner.release(plan),
            Event::Wakeup => {}
        }
    }

    /// Has the planner know the speed that a response tells.
    fn record_speed(&mut self, upstream: &id::Upstream, outcome: &Outcome, now: Instant) {
        let spells = self.load.spells().filter(|it| it.is_told);
        if let (Some(spells), Outcome::Done(_)) = (spells, outcome) {
            let (service, idx) = self.upstreams[upstream];
            let percent = spells.factor(service, idx, now - self.start) * 100.0;
            if let Some(percent) = Percent::new(percent as u64) {
                self.planner.record_speed(upstream, percent, now);
            }
        }
    }

    fn submit_request(&mut self, kind_idx: usize, now: Instant) {
        let kind = &self.site.kinds[kind_idx];
        let time = now - self.start;
        let workspace = self
            .workspaces
            .map(|it| self.load.workspace(it, kind_idx, time, &mut self.rng));
        let arrived = Arrived {
            kind: kind_idx,
            workspace,
            at: now,
        };
        let report = &mut self.report.kinds[kind_idx];
        report.requests += 1;
        report.value_possible += kind.value.0;
        if let Some(report) = workspace.and_then(|it| self.report.workspaces.get_mut(it)) {
            report.value_possible += kind.value.0;
        }
        let mut plan = random_plan(self.site, kind, &mut self.rng, self.next_sequence, now);
        plan.workspace =
            workspace.map(|it| format!("workspace-{it}").parse().expect("a valid name"));
        if plan.steps.is_empty() {
            self.report.kinds[kind_idx].on_time += 1;
            self.record_value(arrived, kind.value.0);
            return;
        }
        match self.planner.submit(plan, now) {
            Ok(id) => {
                self.plans.insert(id, arrived);
            }
            Err(_) => self.report.kinds[kind_idx].failed += 1,
        }
    }

    fn record_value(&mut self, arrived: Arrived, value: f64) {
        self.report.kinds[arrived.kind].value_earned += value;
        let workspace = arrived.workspace;
        if let Some(report) = workspace.and_then(|it| self.report.workspaces.get_mut(it)) {
            report.value_earned += value;
        }
    }

    fn dispatch_calls(&mut self, now: Instant) {
        for call in self.planner.dispatch(now) {
            self.start_call(call, now);
        }
        for (id, result) in self.planner.take_ended() {
            let Some(arrived) = self.plans.remove(&id) else {
                continue;
            };
            let kind = &self.site.kinds[arrived.kind];
            let report = &mut self.report.kinds[arrived.kind];
            let response_time = now + self.site.time_after_steps - arrived.at;
            if result.is_err() || response_time > kind.deadline {
                report.failed += 1;
            } else if response_time > kind.soft_deadline {
                report.late += 1;
                self.record_value(arrived, kind.value.1);
            } else {
                report.on_time += 1;
                self.record_value(arrived, kind.value.0);
            }
            self.schedule(now + RELEASE_DELAY, Event::Release(id));
        }
        self.planner.take_unused_results();
        // A new wakeup replaces the pending one.
        if let Some(wakeup) = self.wakeup.take() {
            self.events.remove(&wakeup);
        }
        if let Some(wakeup) = self.planner.next_wakeup(now) {
            self.schedule(wakeup, Event::Wakeup);
            self.wakeup = Some((wakeup, self.next_sequence));
        }
    }

    /// Decides whether the rate limit of an upstream allows a call.
    fn decide(&mut self, upstream: &id::Upstream, now: Instant) -> Decision {
        let time = now - self.start;
        let limits = self.upstreams.iter().filter_map(|(name, (service, idx))| {
            let rate = self.load.rate_limit(*service, *idx, time)?;
            Some((incarnation(name), rate))
        });
        let limits: Vec<(id::Incarnation, Rate)> = limits.collect();
        let limits = limits.iter().map(|(upstream, rate)| (upstream, *rate));
        self.quota.set_limits(limits, now);
        let upstream = incarnation(upstream);
        self.quota.decide(&upstream, Urgency::Priority(0), now)
    }

    fn start_call(&mut self, call: Call, now: Instant) {
        let (service, upstream) = self.upstreams[&call.upstream];
        if let Decision::Denied(wait) = self.decide(&call.upstream, now) {
            self.planner.hold_off(&call.upstream, now + wait);
            let at = now + ADMISSION_TIME;
            return self.schedule(at, Event::CallEnded(call, Outcome::Unsent));
        }
        if !self.busy.insert(call.upstream.clone()) {
            self.report.rejected_calls += 1;
            let at = now + Duration::from_millis(2);
            return self.schedule(at, Event::CallEnded(call, Outcome::Rejected));
        }
        let batch_limits = self.site.services[service].batch_limits;
        let Some(slowdown) = self.load.slowdown(service, upstream, now - self.start) else {
            let at = now + call.timeout;
            return self.schedule(at, Event::CallEnded(call, Outcome::Lost));
        };
        let mut call_time = batch_limits.call_overhead;
        let mut results = Vec::with_capacity(call.items.len());
        for item in &call.items {
            let plan = self.plans.get(&item.plan);
            let steps = plan.map(|it| &self.site.kinds[it.kind].steps);
            let step = steps.and_then(|it| it.get(item.route_step));
            call_time += batch_limits
                .piece_time
                .mul_f64(step.map_or(1.0, |it| it.work));
            self.next_sequence += 1;
            let handle = Handle(format!("{}/{}", call.upstream, self.next_sequence));
            results.push(Ok::<Handle, ItemFailure>(handle));
        }
        if let Some(spells) = self.load.spells() {
            call_time = spells.time(service, upstream, now - self.start, call_time);
        }
        call_time = call_time.mul_f64(slowdown);
        self.report.calls += 1;
        self.report.pieces += call.items.len() as u32;
        if call_time > call.timeout {
            self.report.lost_calls += 1;
            let at = now + call.timeout;
            return self.schedule(at, Event::CallEnded(call, Outcome::Lost));
        }
        self.schedule(
            now + call_time,
            Event::CallEnded(call, Outcome::Done(results)),
        );
    }
}

fn incarnation(upstream: &id::Upstream) -> id::Incarnation {
    id::Incarnation {
        upstream: upstream.clone(),
        started_ms: 1,
    }
}

/// Plan of a request with a random subset of its steps and a random number of pieces in each.
fn random_plan(
    site: &Site,
    kind: &RequestKind,
    rng: &mut SmallRng,
    request: u64,
    now: Instant,
) -> Plan {
    // Index in `steps` of each step of the kind; `None` for those that this request leaves out.
    let mut step_indices: Vec<Option<usize>> = Vec::new();
    let mut steps: Vec<Step> = Vec::new();
    for (number, step) in kind.steps.iter().enumerate() {
        if !rng.random_bool(step.share) {
            step_indices.push(None);
            continue;
        }
        step_indices.push(Some(steps.len()));
        let after = step.after.and_then(|it| step_indices[it]);
        // Uniform between 0.5 and 1.5 times the average.
        let pieces = step.pieces * rng.random_range(0.5..1.5);
        steps.push(Step {
            number,
            service: site.services[step.service].name.clone(),
            after: after.into_iter().collect(),
            pieces: (pieces.round() as usize).max(1),
            result_bytes: step.result_bytes,
        });
    }
    Plan {
        request: request.to_string(),
        fingerprint: id::Fingerprint(request),
        key: "key".to_owned(),
        zone: None,
        priority: kind.priority,
        workspace: None,
        soft_deadline: now + kind.soft_deadline,
        deadline: now + kind.deadline,
        time_after_steps: site.time_after_steps,
        steps,
    }
}
