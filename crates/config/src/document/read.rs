//! Reads a deployment from its YAML text and checks it as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use base::rate::Rate;
use serde_saphyr::Spanned;

use crate::check;
use crate::check::Diagnostic;
use crate::check::DiagnosticKind;
use crate::check::Diagnostics;
use crate::check::Fields;
use crate::model::Deployment;
use crate::model::Pipeline;
use crate::model::Priority;
use crate::model::Protocol;
use crate::model::Service;
use crate::model::Stage;
use crate::model::Upstream;
use crate::model::Workspace;
use crate::tree::Position;
use crate::tree::YamlNode;

const NAME: &str = "a name of letters, digits, '-', '_', '.', ':'";
const COUNT: &str = "a count";
const FLAG: &str = "true or false";

const DEFAULT_COLD_LIMIT: u32 = 1;
const DEFAULT_CEILING: u32 = 16;
const DEFAULT_WARM_WINDOW: Duration = Duration::from_secs(2);
const DEFAULT_TYPICAL: Duration = Duration::from_millis(50);
const DEFAULT_RATE_PER_SECOND: &str = "100";

pub(super) fn parse_deployment(text: &str) -> Result<Deployment, Vec<Diagnostic>> {
    let root = check::parse(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Diagnostics::default();
    let mut deployment = Deployment::default();
    if let Some(mut fields) = Fields::from_node(&root, &mut diagnostics) {
        deployment.zones = zones(&mut fields, &mut diagnostics);
        deployment.services = services(&mut fields, &deployment.zones, &mut diagnostics);
        deployment.pipelines = pipelines(&mut fields, &deployment.services, &mut diagnostics);
        deployment.workspaces = workspaces(&mut fields, &mut diagnostics);
        fields.reject_unknown(&mut diagnostics);
    }
    diagnostics.into_result(deployment)
}

fn zones(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Vec<id::Zone> {
    let mut zones = Vec::new();
    for node in fields.list("zones", diagnostics) {
        let Some(zone) = check::scalar::<id::Zone>(node, NAME, diagnostics) else {
            continue;
        };
        if zones.contains(&zone) {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(zone.to_string()));
            continue;
        }
        zones.push(zone);
    }
    zones
}

fn services(
    fields: &mut Fields<'_>,
    zones: &[id::Zone],
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Service, Arc<Service>> {
    let mut services = BTreeMap::new();
    let mut upstream_names = BTreeSet::new();
    for node in fields.list("services", diagnostics) {
        let Some(service) = service(node, zones, &mut upstream_names, diagnostics) else {
            continue;
        };
        let name = service.name.clone();
        if services.insert(name.clone(), Arc::new(service)).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    services
}

fn service(
    node: &Spanned<YamlNode>,
    zones: &[id::Zone],
    upstream_names: &mut BTreeSet<id::Upstream>,
    diagnostics: &mut Diagnostics,
) -> Option<Service> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", NAME, diagnostics);
    let protocol: Option<Protocol> = fields.required("kind", "engine or plain", diagnostics);
    let idempotent = fields.optional("idempotent", FLAG, true, diagnostics);
    let reports_load = fields.optional("reports_load", FLAG, false, diagnostics);
    let checks_fencing = fields.optional("checks_fencing", FLAG, false, diagnostics);
    let cold_limit = fields.optional("cold_limit", COUNT, DEFAULT_COLD_LIMIT, diagnostics);
    let ceiling = fields.optional("ceiling", COUNT, DEFAULT_CEILING, diagnostics);
    let warm_window = fields.optional_duration("warm_window", DEFAULT_WARM_WINDOW, diagnostics);
    let typical_duration = fields.optional_duration("typical", DEFAULT_TYPICAL, diagnostics);
    if ceiling < cold_limit {
        let kind = DiagnosticKind::CeilingBelowColdLimit {
            ceiling,
            cold_limit,
        };
        diagnostics.push(fields.position, kind);
    }
    let mut upstreams = Vec::new();
    for node in fields.list("upstreams", diagnostics) {
        let Some(upstream) = upstream(node, zones, diagnostics) else {
            continue;
        };
        if !upstream_names.insert(upstream.name.clone()) {
            diagnostics.push(
                node.into(),
                DiagnosticKind::DuplicateName(upstream.name.to_string()),
            );
        }
        upstreams.push(upstream);
    }
    fields.reject_unknown(diagnostics);
    Some(Service {
        name: name?,
        protocol: protocol?,
        idempotent,
        reports_load,
        checks_fencing,
        cold_limit,
        ceiling,
        warm_window,
        typical_duration,
        upstreams,
    })
}

fn upstream(
    node: &Spanned<YamlNode>,
    zones: &[id::Zone],
    diagnostics: &mut Diagnostics,
) -> Option<Upstream> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", NAME, diagnostics);
    let zone: Option<id::Zone> = fields.required("zone", NAME, diagnostics);
    let address = fields.required("address", "an IP address and port", diagnostics);
    if let Some(zone) = zone.as_ref().filter(|it| !zones.contains(it)) {
        diagnostics.push(fields.position, undefined_name("zone", zone.as_str()));
    }
    fields.reject_unknown(diagnostics);
    Some(Upstream {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn pipelines(
    fields: &mut Fields<'_>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Pipeline, Pipeline> {
    let mut pipelines = BTreeMap::new();
    for node in fields.list("pipelines", diagnostics) {
        let Some(pipeline) = pipeline(node, services, diagnostics) else {
            continue;
        };
        let name = pipeline.name.clone();
        if pipelines.insert(name.clone(), pipeline).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    pipelines
}

fn pipeline(
    node: &Spanned<YamlNode>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> Option<Pipeline> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let position = fields.position;
    let name = fields.required("name", NAME, diagnostics);
    let deadline: Option<check::HumanDuration> =
        fields.required("deadline", check::HumanDuration::EXPECTED, diagnostics);
    let priority = fields.optional(
        "priority",
        "interactive or batch",
        Priority::Interactive,
        diagnostics,
    );
    let mut stages: Vec<(Position, Stage)> = Vec::new();
    for node in fields.list("stages", diagnostics) {
        let Some(stage) = stage(node, services, diagnostics) else {
            continue;
        };
        if stages.iter().any(|(_, it)| it.name == stage.name) {
            diagnostics.push(
                node.into(),
                DiagnosticKind::DuplicateName(stage.name.to_string()),
            );
            continue;
        }
        stages.push((node.into(), stage));
    }
    fields.reject_unknown(diagnostics);
    if stages.is_empty() {
        diagnostics.push(position, DiagnosticKind::MissingField("stages"));
        return None;
    }
    let stages = order(stages, diagnostics)?;
    let deadline = deadline?.0;
    check_deadline(position, deadline, &stages, services, diagnostics);
    Some(Pipeline {
        name: name?,
        deadline,
        priority,
        stages,
    })
}

fn stage(
    node: &Spanned<YamlNode>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> Option<Stage> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", NAME, diagnostics);
    let service: Option<id::Service> = fields.required("service", NAME, diagnostics);
    let mut needs = Vec::new();
    for node in fields.list("needs", diagnostics) {
        needs.extend(check::scalar::<id::Stage>(node, NAME, diagnostics));
    }
    if let Some(service) = service.as_ref().filter(|it| !services.contains_key(*it)) {
        diagnostics.push(fields.position, undefined_name("service", service.as_str()));
    }
    fields.reject_unknown(diagnostics);
    Some(Stage {
        name: name?,
        service: service?,
        needs,
    })
}

/// Orders stages so that each one follows those it needs.
fn order(mut pending: Vec<(Position, Stage)>, diagnostics: &mut Diagnostics) -> Option<Vec<Stage>> {
    let names: BTreeSet<id::Stage> = pending.iter().map(|(_, it)| it.name.clone()).collect();
    let mut is_sound = true;
    for (position, stage) in &pending {
        for dependency in stage.needs.iter().filter(|it| !names.contains(*it)) {
            diagnostics.push(*position, undefined_name("stage", dependency.as_str()));
            is_sound = false;
        }
    }
    if !is_sound {
        return None;
    }
    let mut ordered: Vec<(Position, Stage)> = Vec::new();
    while !pending.is_empty() {
        let is_ready = |stage: &Stage| {
            let is_placed =
                |dependency: &id::Stage| ordered.iter().any(|(_, it)| it.name == *dependency);
            stage.needs.iter().all(is_placed)
        };
        let Some(idx) = pending.iter().position(|(_, stage)| is_ready(stage)) else {
            let (position, stage) = &pending[0];
            diagnostics.push(
                *position,
                DiagnosticKind::DependencyCycle(stage.name.to_string()),
            );
            return None;
        };
        ordered.push(pending.remove(idx));
    }
    check_used(&ordered, diagnostics);
    Some(ordered.into_iter().map(|(_, stage)| stage).collect())
}

fn check_used(stages: &[(Position, Stage)], diagnostics: &mut Diagnostics) {
    let Some((_, earlier)) = stages.split_last() else {
        return;
    };
    for (position, stage) in earlier {
        if !stages.iter().any(|(_, it)| it.needs.contains(&stage.name)) {
            let kind = DiagnosticKind::UnusedStageResult(stage.name.to_string());
            diagnostics.push(*position, kind);
        }
    }
}

fn check_deadline(
    position: Position,
    deadline: Duration,
    stages: &[Stage],
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) {
    let mut ends: BTreeMap<&id::Stage, Duration> = BTreeMap::new();
    for stage in stages {
        let starts = stage.needs.iter().filter_map(|it| ends.get(it));
        let start = starts.max().copied().unwrap_or_default();
        let typical_duration = services.get(&stage.service).map(|it| it.typical_duration);
        ends.insert(&stage.name, start + typical_duration.unwrap_or_default());
    }
    let typical_duration = ends.values().max().copied().unwrap_or_default();
    if typical_duration > deadline {
        let kind = DiagnosticKind::DeadlineBelowTypical {
            deadline_ms: deadline.as_millis() as u64,
            typical_ms: typical_duration.as_millis() as u64,
        };
        diagnostics.push(position, kind);
    }
}

fn workspaces(
    fields: &mut Fields<'_>,
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Workspace, Workspace> {
    let mut workspaces = BTreeMap::new();
    for node in fields.list("workspaces", diagnostics) {
        let Some(workspace) = workspace(node, diagnostics) else {
            continue;
        };
        let name = workspace.name.clone();
        if workspaces.insert(name.clone(), workspace).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    workspaces
}

fn workspace(node: &Spanned<YamlNode>, diagnostics: &mut Diagnostics) -> Option<Workspace> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", NAME, diagnostics);
    let weight = fields.optional("weight", COUNT, 1u32, diagnostics);
    let default_rate: Option<Rate> = DEFAULT_RATE_PER_SECOND.parse().ok();
    let rate = match fields.get("rate") {
        Some(node) => check::scalar(node, "requests a second", diagnostics),
        None => default_rate,
    };
    fields.reject_unknown(diagnostics);
    Some(Workspace {
        name: name?,
        weight: weight.max(1),
        rate: rate?,
    })
}

fn undefined_name(what: &'static str, name: &str) -> DiagnosticKind {
    DiagnosticKind::UndefinedName {
        what,
        name: name.to_owned(),
    }
}
