//! The event loop.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
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
use tokio::time::Instant;

use crate::load::Load;
use crate::report::Report;
use crate::report::Row;
use crate::site::Kind;
use crate::site::Site;

/// Time between the first event, when the results are freed, and the last step.
const FREE_AFTER: Duration = Duration::from_millis(120);

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Arrival(usize),
    Called(Call, Outcome),
    Release(PlanId),
    Wake,
}

struct Model<'a> {
    site: &'a Site,
    load: &'a Load,
    rng: SmallRng,
    planner: Planner,
    start: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next: u64,
    kinds: BTreeMap<PlanId, (usize, Instant)>,
    /// Number of service and upstream by name.
    upstreams: BTreeMap<id::Upstream, (usize, usize)>,
    busy: BTreeSet<id::Upstream>,
    wake: Option<(Instant, u64)>,
    report: Report,
}

/// Runs a load on a site.
///
/// # Panics
///
/// Never: the names of the model are valid.
#[must_use]
pub fn run(site: &Site, load: &Load, order: SchedulingPolicy, seed: u64) -> Report {
    let start = Instant::now();
    let mut model = Model {
        site,
        load,
        rng: SmallRng::seed_from_u64(seed),
        planner: Planner::with_policy(order),
        start,
        events: BTreeMap::new(),
        next: 0,
        kinds: BTreeMap::new(),
        upstreams: BTreeMap::new(),
        busy: BTreeSet::new(),
        wake: None,
        report: Report::default(),
    };
    model.configure();
    for (at, kind) in load.arrivals(site, &mut model.rng) {
        model.at(start + at, Event::Arrival(kind));
    }
    while let Some(((now, _), event)) = model.events.pop_first() {
        model.handle(event, now);
        model.dispatch(now);
    }
    model.report
}

impl Model<'_> {
    fn configure(&mut self) {
        for (number, service) in self.site.services.iter().enumerate() {
            let mut replicas = Vec::new();
            for (idx, zone) in service.zones.iter().enumerate() {
                let name: id::Upstream = format!("{}-{idx}", service.name)
                    .parse()
                    .expect("a name of the model");
                self.upstreams.insert(name.clone(), (number, idx));
                replicas.push(Replica {
                    name,
                    zone: zone.clone(),
                    started_ms: 1,
                    is_usable: true,
                });
            }
            self.planner
                .configure(&service.name, service.pool, replicas, self.start);
        }
        let rows = self.site.kinds.iter().map(|it| Row {
            kind: it.name,
            ..Row::default()
        });
        self.report.rows = rows.collect();
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival(kind) => self.arrive(kind, now),
            Event::Called(call, outcome) => {
                if outcome != Outcome::Rejected {
                    self.busy.remove(&call.upstream);
                }
                self.planner.finish(call.id, outcome, now);
            }
            Event::Release(plan) => self.planner.release(plan),
            Event::Wake => {}
        }
    }

    fn arrive(&mut self, number: usize, now: Instant) {
        let kind = &self.site.kinds[number];
        let row = &mut self.report.rows[number];
        row.asked += 1;
        row.owed += kind.worth.0;
        let plan = plan(self.site, kind, &mut self.rng, self.next, now);
        if plan.steps.is_empty() {
            row.in_aim += 1;
            row.earned += kind.worth.0;
            return;
        }
        match self.planner.submit(plan, now) {
            Ok(id) => {
                self.kinds.insert(id, (number, now));
            }
            Err(_) => self.report.rows[number].refused += 1,
        }
    }

    fn dispatch(&mut self, now: Instant) {
        for call in self.planner.dispatch(now) {
            self.call(call, now);
        }
        for (id, answer) in self.planner.take_ended() {
            let Some((number, arrived)) = self.kinds.remove(&id) else {
                continue;
            };
            let kind = &self.site.kinds[number];
            let row = &mut self.report.rows[number];
            let took = now + self.site.tail - arrived;
            if answer.is_err() || took > kind.deadline {
                row.refused += 1;
            } else if took > kind.aim {
                row.late += 1;
                row.earned += kind.worth.1;
            } else {
                row.in_aim += 1;
                row.earned += kind.worth.0;
            }
            self.at(now + FREE_AFTER, Event::Release(id));
        }
        self.planner.take_unused_results();
        // Only the latest wake counts.
        if let Some(wake) = self.wake.take() {
            self.events.remove(&wake);
        }
        if let Some(wake) = self.planner.next_wakeup(now) {
            self.at(wake, Event::Wake);
            self.wake = Some((wake, self.next));
        }
    }

    fn call(&mut self, call: Call, now: Instant) {
        let (service, upstream) = self.upstreams[&call.upstream];
        if !self.busy.insert(call.upstream.clone()) {
            self.report.overfull += 1;
            let at = now + Duration::from_millis(2);
            return self.at(at, Event::Called(call, Outcome::Rejected));
        }
        let pool = self.site.services[service].pool;
        let Some(slowness) = self.load.slowness(service, upstream, now - self.start) else {
            let at = now + call.timeout;
            return self.at(at, Event::Called(call, Outcome::Lost));
        };
        let mut took = pool.call_overhead;
        let mut results = Vec::with_capacity(call.items.len());
        for item in &call.items {
            let kinds = self.kinds.get(&item.plan);
            let steps = kinds.map(|it| &self.site.kinds[it.0].steps);
            let step = steps.and_then(|it| it.get(item.route_step));
            took += pool.piece_time.mul_f64(step.map_or(1.0, |it| it.work));
            self.next += 1;
            let handle = Handle(format!("{}/{}", call.upstream, self.next));
            results.push(Ok::<Handle, ItemFailure>(handle));
        }
        took = took.mul_f64(slowness);
        self.report.calls += 1;
        self.report.pieces += call.items.len() as u32;
        if took > call.timeout {
            let at = now + call.timeout;
            return self.at(at, Event::Called(call, Outcome::Lost));
        }
        self.at(now + took, Event::Called(call, Outcome::Done(results)));
    }
}

fn plan(site: &Site, kind: &Kind, rng: &mut SmallRng, request: u64, now: Instant) -> Plan {
    let mut places: Vec<Option<usize>> = Vec::new();
    let mut steps: Vec<Step> = Vec::new();
    for (number, step) in kind.steps.iter().enumerate() {
        if !rng.random_bool(step.share) {
            places.push(None);
            continue;
        }
        places.push(Some(steps.len()));
        let after = step.after.and_then(|it| places[it]);
        // Between half and one and a half of the average.
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
        soft_deadline: now + kind.aim,
        deadline: now + kind.deadline,
        time_after_steps: site.tail,
        steps,
    }
}
