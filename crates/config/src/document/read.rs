//! Parses a deployment from its YAML text and validates it, references between parts included.

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

const EXPECTED_NAME: &str = "a name of letters, digits, '-', '_', '.', ':'";
const EXPECTED_COUNT: &str = "a non-negative integer";
const EXPECTED_BOOL: &str = "true or false";

const DEFAULT_COLD_LIMIT: u32 = 1;
const DEFAULT_CEILING: u32 = 16;
const DEFAULT_WARM_WINDOW: Duration = Duration::from_secs(2);
const DEFAULT_TYPICAL_DURATION: Duration = Duration::from_millis(50);
const DEFAULT_RATE_PER_SECOND: &str = "100";

pub(super) fn parse_deployment(text: &str) -> Result<Deployment, Vec<Diagnostic>> {
    let root = check::parse(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Diagnostics::default();
    let mut deployment = Deployment::default();
    if let Some(mut fields) = Fields::from_node(&root, &mut diagnostics) {
        deployment.zones = parse_zones(&mut fields, &mut diagnostics);
        deployment.services = parse_services(&mut fields, &deployment.zones, &mut diagnostics);
        deployment.pipelines = parse_pipelines(&mut fields, &deployment.services, &mut diagnostics);
        deployment.workspaces = parse_workspaces(&mut fields, &mut diagnostics);
        fields.reject_unknown(&mut diagnostics);
    }
    diagnostics.into_result(deployment)
}

fn parse_zones(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Vec<id::Zone> {
    let mut zones = Vec::new();
    for node in fields.list("zones", diagnostics) {
        let Some(zone) = check::parse_scalar::<id::Zone>(node, EXPECTED_NAME, diagnostics) else {
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

fn parse_services(
    fields: &mut Fields<'_>,
    zones: &[id::Zone],
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Service, Arc<Service>> {
    let mut services = BTreeMap::new();
    let mut upstream_names = BTreeSet::new();
    for node in fields.list("services", diagnostics) {
        let Some(service) = parse_service(node, zones, &mut upstream_names, diagnostics) else {
            continue;
        };
        let name = service.name.clone();
        if services.insert(name.clone(), Arc::new(service)).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    services
}

fn parse_service(
    node: &Spanned<YamlNode>,
    zones: &[id::Zone],
    upstream_names: &mut BTreeSet<id::Upstream>,
    diagnostics: &mut Diagnostics,
) -> Option<Service> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", EXPECTED_NAME, diagnostics);
    let protocol: Option<Protocol> = fields.required("kind", "engine or plain", diagnostics);
    let idempotent = fields.optional("idempotent", EXPECTED_BOOL, true, diagnostics);
    let reports_load = fields.optional("reports_load", EXPECTED_BOOL, false, diagnostics);
    let checks_fencing = fields.optional("checks_fencing", EXPECTED_BOOL, false, diagnostics);
    let cold_limit = fields.optional(
        "cold_limit",
        EXPECTED_COUNT,
        DEFAULT_COLD_LIMIT,
        diagnostics,
    );
    let ceiling = fields.optional("ceiling", EXPECTED_COUNT, DEFAULT_CEILING, diagnostics);
    let warm_window = fields.optional_duration("warm_window", DEFAULT_WARM_WINDOW, diagnostics);
    let typical_duration =
        fields.optional_duration("typical", DEFAULT_TYPICAL_DURATION, diagnostics);
    if ceiling < cold_limit {
        let kind = DiagnosticKind::CeilingBelowColdLimit {
            ceiling,
            cold_limit,
        };
        diagnostics.push(fields.position, kind);
    }
    let mut upstreams = Vec::new();
    for node in fields.list("upstreams", diagnostics) {
        let Some(upstream) = parse_upstream(node, zones, diagnostics) else {
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

fn parse_upstream(
    node: &Spanned<YamlNode>,
    zones: &[id::Zone],
    diagnostics: &mut Diagnostics,
) -> Option<Upstream> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", EXPECTED_NAME, diagnostics);
    let zone: Option<id::Zone> = fields.required("zone", EXPECTED_NAME, diagnostics);
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

fn parse_pipelines(
    fields: &mut Fields<'_>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Pipeline, Pipeline> {
    let mut pipelines = BTreeMap::new();
    for node in fields.list("pipelines", diagnostics) {
        let Some(pipeline) = parse_pipeline(node, services, diagnostics) else {
            continue;
        };
        let name = pipeline.name.clone();
        if pipelines.insert(name.clone(), pipeline).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    pipelines
}

fn parse_pipeline(
    node: &Spanned<YamlNode>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> Option<Pipeline> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let position = fields.position;
    let name = fields.required("name", EXPECTED_NAME, diagnostics);
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
        let Some(stage) = parse_stage(node, services, diagnostics) else {
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
    let stages = sort_topologically(stages, diagnostics)?;
    let deadline = deadline?.0;
    check_deadline(position, deadline, &stages, services, diagnostics);
    Some(Pipeline {
        name: name?,
        deadline,
        priority,
        stages,
    })
}

fn parse_stage(
    node: &Spanned<YamlNode>,
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) -> Option<Stage> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", EXPECTED_NAME, diagnostics);
    let service: Option<id::Service> = fields.required("service", EXPECTED_NAME, diagnostics);
    let mut needs = Vec::new();
    for node in fields.list("needs", diagnostics) {
        needs.extend(check::parse_scalar::<id::Stage>(
            node,
            EXPECTED_NAME,
            diagnostics,
        ));
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

/// Sorts stages topologically; reports undefined dependencies and cycles.
fn sort_topologically(
    mut pending: Vec<(Position, Stage)>,
    diagnostics: &mut Diagnostics,
) -> Option<Vec<Stage>> {
    let names: BTreeSet<id::Stage> = pending.iter().map(|(_, it)| it.name.clone()).collect();
    let mut is_resolved = true;
    for (position, stage) in &pending {
        for dependency in stage.needs.iter().filter(|it| !names.contains(*it)) {
            diagnostics.push(*position, undefined_name("stage", dependency.as_str()));
            is_resolved = false;
        }
    }
    if !is_resolved {
        return None;
    }
    let mut ordered: Vec<(Position, Stage)> = Vec::new();
    while !pending.is_empty() {
        let is_ready = |stage: &Stage| {
            let is_ordered =
                |dependency: &id::Stage| ordered.iter().any(|(_, it)| it.name == *dependency);
            stage.needs.iter().all(is_ordered)
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
    check_results_used(&ordered, diagnostics);
    Some(ordered.into_iter().map(|(_, stage)| stage).collect())
}

/// Reports every stage but the last whose result no other stage uses.
fn check_results_used(stages: &[(Position, Stage)], diagnostics: &mut Diagnostics) {
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

/// Reports a deadline shorter than the critical path of the stages' typical durations.
fn check_deadline(
    position: Position,
    deadline: Duration,
    stages: &[Stage],
    services: &BTreeMap<id::Service, Arc<Service>>,
    diagnostics: &mut Diagnostics,
) {
    let mut stage_ends: BTreeMap<&id::Stage, Duration> = BTreeMap::new();
    for stage in stages {
        let starts = stage.needs.iter().filter_map(|it| stage_ends.get(it));
        let start = starts.max().copied().unwrap_or_default();
        let typical_duration = services.get(&stage.service).map(|it| it.typical_duration);
        stage_ends.insert(&stage.name, start + typical_duration.unwrap_or_default());
    }
    let longest_path = stage_ends.values().max().copied().unwrap_or_default();
    if longest_path > deadline {
        let kind = DiagnosticKind::DeadlineBelowTypical {
            deadline_ms: deadline.as_millis() as u64,
            typical_ms: longest_path.as_millis() as u64,
        };
        diagnostics.push(position, kind);
    }
}

fn parse_workspaces(
    fields: &mut Fields<'_>,
    diagnostics: &mut Diagnostics,
) -> BTreeMap<id::Workspace, Workspace> {
    let mut workspaces = BTreeMap::new();
    for node in fields.list("workspaces", diagnostics) {
        let Some(workspace) = parse_workspace(node, diagnostics) else {
            continue;
        };
        let name = workspace.name.clone();
        if workspaces.insert(name.clone(), workspace).is_some() {
            diagnostics.push(node.into(), DiagnosticKind::DuplicateName(name.to_string()));
        }
    }
    workspaces
}

fn parse_workspace(node: &Spanned<YamlNode>, diagnostics: &mut Diagnostics) -> Option<Workspace> {
    let mut fields = Fields::from_node(node, diagnostics)?;
    let name = fields.required("name", EXPECTED_NAME, diagnostics);
    let weight = fields.optional("weight", EXPECTED_COUNT, 1u32, diagnostics);
    let default_rate: Option<Rate> = DEFAULT_RATE_PER_SECOND.parse().ok();
    let rate = match fields.get("rate") {
        Some(node) => check::parse_scalar(node, "a rate in requests per second", diagnostics),
        None => default_rate,
    };
    fields.reject_unknown(diagnostics);
    Some(Workspace {
        name: name?,
        weight: weight.max(1),
        rate: rate?,
    })
}

fn undefined_name(entity: &'static str, name: &str) -> DiagnosticKind {
    DiagnosticKind::UndefinedName {
        entity,
        name: name.to_owned(),
    }
}
