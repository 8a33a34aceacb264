//! Properties of requests and pipelines that follow from the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use config::model;

use crate::run::Request;
use crate::view::View;

/// Hash of workspace, pipeline and input; the same at every gateway.
pub(crate) fn fingerprint(request: &Request) -> id::Fingerprint {
    let body = request.input.to_string();
    id::Fingerprint(base::hash::hash_strs([
        request.workspace.as_str(),
        request.pipeline.as_str(),
        body.as_str(),
    ]))
}

/// Whether the service of a stage is not idempotent, so that the stage may run at most once.
pub(crate) fn is_non_idempotent(view: &View, stage: &model::Stage) -> bool {
    let services = &view.snapshot.deployment.services;
    services
        .get(&stage.service)
        .is_some_and(|it| !it.idempotent)
}

/// The non-idempotent stages of a pipeline.
pub(crate) fn non_idempotent_stages<'a>(
    view: &View,
    pipeline: &'a model::Pipeline,
) -> impl Iterator<Item = &'a model::Stage> {
    pipeline
        .stages
        .iter()
        .filter(move |it| is_non_idempotent(view, it))
}

/// Whether a pipeline has a non-idempotent stage, so that its requests need an idempotency key.
pub(crate) fn has_non_idempotent_stage(view: &View, pipeline: &model::Pipeline) -> bool {
    non_idempotent_stages(view, pipeline).next().is_some()
}

/// Sum of the typical durations along the pipeline's longest path.
pub(crate) fn critical_path_duration(view: &View, pipeline: &model::Pipeline) -> Duration {
    let services = &view.snapshot.deployment.services;
    let mut ends: BTreeMap<&id::Stage, Duration> = BTreeMap::new();
    for stage in &pipeline.stages {
        let starts = stage.needs.iter().filter_map(|it| ends.get(it));
        let start = starts.max().copied().unwrap_or_default();
        let typical = services.get(&stage.service).map(|it| it.typical_duration);
        ends.insert(&stage.name, start + typical.unwrap_or_default());
    }
    ends.values().max().copied().unwrap_or_default()
}
