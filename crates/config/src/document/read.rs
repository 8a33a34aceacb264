//! Reads a deployment from its YAML text and checks it as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use serde_saphyr::Spanned;

use crate::check;
use crate::check::Fault;
use crate::check::Faults;
use crate::check::Fields;
use crate::check::Problem;
use crate::model::Deployment;
use crate::model::Kind;
use crate::model::Pipeline;
use crate::model::Priority;
use crate::model::Service;
use crate::model::Stage;
use crate::model::Upstream;
use crate::model::Workspace;
use crate::tree::Node;
use crate::tree::Place;

const NAME: &str = "a name of letters, digits, '-', '_', '.', ':'";
const COUNT: &str = "a count";
const FLAG: &str = "true or false";

const DEFAULT_COLD_LIMIT: u32 = 1;
const DEFAULT_CEILING: u32 = 16;
const DEFAULT_WARM_WINDOW: Duration = Duration::from_secs(2);
const DEFAULT_TYPICAL: Duration = Duration::from_millis(50);
const DEFAULT_RATE_PER_SECOND: &str = "100";

pub(super) fn deployment(text: &str) -> Result<Deployment, Vec<Fault>> {
    let root = check::parse(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let mut deployment = Deployment::default();
    if let Some(mut fields) = Fields::open(&root, &mut faults) {
        deployment.zones = zones(&mut fields, &mut faults);
        deployment.services = services(&mut fields, &deployment.zones, &mut faults);
        deployment.pipelines = pipelines(&mut fields, &deployment.services, &mut faults);
        deployment.workspaces = workspaces(&mut fields, &mut faults);
        fields.close(&mut faults);
    }
    faults.into_result(deployment)
}

fn zones(fields: &mut Fields<'_>, faults: &mut Faults) -> Vec<id::Zone> {
    let mut zones = Vec::new();
    for node in fields.list("zones", faults) {
        let Some(zone) = check::scalar::<id::Zone>(node, NAME, faults) else {
            continue;
        };
        if zones.contains(&zone) {
            faults.push(node.into(), Problem::Doubled(zone.to_string()));
            continue;
        }
        zones.push(zone);
    }
    zones
}

fn services(
    fields: &mut Fields<'_>,
    zones: &[id::Zone],
    faults: &mut Faults,
) -> BTreeMap<id::Service, Arc<Service>> {
    let mut services = BTreeMap::new();
    let mut upstream_names = BTreeSet::new();
    for node in fields.list("services", faults) {
        let Some(service) = service(node, zones, &mut upstream_names, faults) else {
            continue;
        };
        let name = service.name.clone();
        if services.insert(name.clone(), Arc::new(service)).is_some() {
            faults.push(node.into(), Problem::Doubled(name.to_string()));
        }
    }
    services
}

fn service(
    node: &Spanned<Node>,
    zones: &[id::Zone],
    upstream_names: &mut BTreeSet<id::Upstream>,
    faults: &mut Faults,
) -> Option<Service> {
    let mut fields = Fields::open(node, faults)?;
    let name = fields.need("name", NAME, faults);
    let kind: Option<Kind> = fields.need("kind", "engine or plain", faults);
    let idempotent = fields.or("idempotent", FLAG, true, faults);
    let reports_load = fields.or("reports_load", FLAG, false, faults);
    let checks_fencing = fields.or("checks_fencing", FLAG, false, faults);
    let cold_limit = fields.or("cold_limit", COUNT, DEFAULT_COLD_LIMIT, faults);
    let ceiling = fields.or("ceiling", COUNT, DEFAULT_CEILING, faults);
    let warm_window = fields.duration_or("warm_window", DEFAULT_WARM_WINDOW, faults);
    let typical = fields.duration_or("typical", DEFAULT_TYPICAL, faults);
    if ceiling < cold_limit {
        let problem = Problem::CeilingBelowCold {
            ceiling,
            cold_limit,
        };
        faults.push(fields.place, problem);
    }
    let mut upstreams = Vec::new();
    for node in fields.list("upstreams", faults) {
        let Some(upstream) = upstream(node, zones, faults) else {
            continue;
        };
        if !upstream_names.insert(upstream.name.clone()) {
            faults.push(node.into(), Problem::Doubled(upstream.name.to_string()));
        }
        upstreams.push(upstream);
    }
    fields.close(faults);
    Some(Service {
        name: name?,
        kind: kind?,
        idempotent,
        reports_load,
        checks_fencing,
        cold_limit,
        ceiling,
        warm_window,
        typical,
        upstreams,
    })
}

fn upstream(node: &Spanned<Node>, zones: &[id::Zone], faults: &mut Faults) -> Option<Upstream> {
    let mut fields = Fields::open(node, faults)?;
    let name = fields.need("name", NAME, faults);
    let zone: Option<id::Zone> = fields.need("zone", NAME, faults);
    let address = fields.need("address", "an IP address and port", faults);
    if let Some(zone) = zone.as_ref().filter(|it| !zones.contains(it)) {
        faults.push(fields.place, dangling("zone", zone.as_str()));
    }
    fields.close(faults);
    Some(Upstream {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn pipelines(
    fields: &mut Fields<'_>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    faults: &mut Faults,
) -> BTreeMap<id::Pipeline, Pipeline> {
    let mut pipelines = BTreeMap::new();
    for node in fields.list("pipelines", faults) {
        let Some(pipeline) = pipeline(node, services, faults) else {
            continue;
        };
        let name = pipeline.name.clone();
        if pipelines.insert(name.clone(), pipeline).is_some() {
            faults.push(node.into(), Problem::Doubled(name.to_string()));
        }
    }
    pipelines
}

fn pipeline(
    node: &Spanned<Node>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    faults: &mut Faults,
) -> Option<Pipeline> {
    let mut fields = Fields::open(node, faults)?;
    let place = fields.place;
    let name = fields.need("name", NAME, faults);
    let deadline: Option<check::Span> = fields.need("deadline", check::Span::EXPECTED, faults);
    let priority = fields.or(
        "priority",
        "interactive or batch",
        Priority::Interactive,
        faults,
    );
    let mut stages: Vec<(Place, Stage)> = Vec::new();
    for node in fields.list("stages", faults) {
        let Some(stage) = stage(node, services, faults) else {
            continue;
        };
        if stages.iter().any(|(_, it)| it.name == stage.name) {
            faults.push(node.into(), Problem::Doubled(stage.name.to_string()));
            continue;
        }
        stages.push((node.into(), stage));
    }
    fields.close(faults);
    if stages.is_empty() {
        faults.push(place, Problem::MissingField("stages"));
        return None;
    }
    let stages = order(stages, faults)?;
    let deadline = deadline?.0;
    check_deadline(place, deadline, &stages, services, faults);
    Some(Pipeline {
        name: name?,
        deadline,
        priority,
        stages,
    })
}

fn stage(
    node: &Spanned<Node>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    faults: &mut Faults,
) -> Option<Stage> {
    let mut fields = Fields::open(node, faults)?;
    let name = fields.need("name", NAME, faults);
    let service: Option<id::Service> = fields.need("service", NAME, faults);
    let mut needs = Vec::new();
    for node in fields.list("needs", faults) {
        needs.extend(check::scalar::<id::Stage>(node, NAME, faults));
    }
    if let Some(service) = service.as_ref().filter(|it| !services.contains_key(*it)) {
        faults.push(fields.place, dangling("service", service.as_str()));
    }
    fields.close(faults);
    Some(Stage {
        name: name?,
        service: service?,
        needs,
    })
}

/// Orders stages so that each one follows those it needs.
fn order(mut pending: Vec<(Place, Stage)>, faults: &mut Faults) -> Option<Vec<Stage>> {
    let names: BTreeSet<id::Stage> = pending.iter().map(|(_, it)| it.name.clone()).collect();
    let mut is_sound = true;
    for (place, stage) in &pending {
        for need in stage.needs.iter().filter(|it| !names.contains(*it)) {
            faults.push(*place, dangling("stage", need.as_str()));
            is_sound = false;
        }
    }
    if !is_sound {
        return None;
    }
    let mut ordered: Vec<(Place, Stage)> = Vec::new();
    while !pending.is_empty() {
        let is_ready = |stage: &Stage| {
            let is_placed = |need: &id::Stage| ordered.iter().any(|(_, it)| it.name == *need);
            stage.needs.iter().all(is_placed)
        };
        let Some(idx) = pending.iter().position(|(_, stage)| is_ready(stage)) else {
            let (place, stage) = &pending[0];
            faults.push(*place, Problem::Cycle(stage.name.to_string()));
            return None;
        };
        ordered.push(pending.remove(idx));
    }
    check_used(&ordered, faults);
    Some(ordered.into_iter().map(|(_, stage)| stage).collect())
}

fn check_used(stages: &[(Place, Stage)], faults: &mut Faults) {
    let Some((_, earlier)) = stages.split_last() else {
        return;
    };
    for (place, stage) in earlier {
        if !stages.iter().any(|(_, it)| it.needs.contains(&stage.name)) {
            let problem = Problem::UnusedStage(stage.name.to_string());
            faults.push(*place, problem);
        }
    }
}

fn check_deadline(
    place: Place,
    deadline: Duration,
    stages: &[Stage],
    services: &BTreeMap<id::Service, Arc<Service>>,
    faults: &mut Faults,
) {
    let mut ends: BTreeMap<&id::Stage, Duration> = BTreeMap::new();
    for stage in stages {
        let starts = stage.needs.iter().filter_map(|it| ends.get(it));
        let start = starts.max().copied().unwrap_or_default();
        let typical = services.get(&stage.service).map(|it| it.typical);
        ends.insert(&stage.name, start + typical.unwrap_or_default());
    }
    let typical = ends.values().max().copied().unwrap_or_default();
    if typical > deadline {
        let problem = Problem::ImpossibleDeadline {
            deadline_ms: deadline.as_millis() as u64,
            typical_ms: typical.as_millis() as u64,
        };
        faults.push(place, problem);
    }
}

fn workspaces(fields: &mut Fields<'_>, faults: &mut Faults) -> BTreeMap<id::Workspace, Workspace> {
    let mut workspaces = BTreeMap::new();
    for node in fields.list("workspaces", faults) {
        let Some(workspace) = workspace(node, faults) else {
            continue;
        };
        let name = workspace.name.clone();
        if workspaces.insert(name.clone(), workspace).is_some() {
            faults.push(node.into(), Problem::Doubled(name.to_string()));
        }
    }
    workspaces
}

fn workspace(node: &Spanned<Node>, faults: &mut Faults) -> Option<Workspace> {
    let mut fields = Fields::open(node, faults)?;
    let name = fields.need("name", NAME, faults);
    let weight = fields.or("weight", COUNT, 1u32, faults);
    let default_rate: Option<Rate> = DEFAULT_RATE_PER_SECOND.parse().ok();
    let rate = match fields.get("rate") {
        Some(node) => check::scalar(node, "requests a second", faults),
        None => default_rate,
    };
    fields.close(faults);
    Some(Workspace {
        name: name?,
        weight: weight.max(1),
        rate: rate?,
    })
}

fn dangling(what: &'static str, name: &str) -> Problem {
    Problem::Dangling {
        what,
        name: name.to_owned(),
    }
}
