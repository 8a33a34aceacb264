//! What a pipeline's description tells about its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use base::id;
use config::model;

use crate::run::Request;
use crate::view::View;

/// Identifies a request whichever gateway it comes to.
pub(crate) fn fingerprint(request: &Request) -> id::Fingerprint {
    let body = request.input.to_string();
    id::Fingerprint(base::hash::hash_strs([
        request.workspace.as_str(),
        request.pipeline.as_str(),
        body.as_str(),
    ]))
}

/// Whether a stage may run at most once.
pub(crate) fn is_once(view: &View, stage: &model::Stage) -> bool {
    let services = &view.snapshot.deployment.services;
    services
        .get(&stage.service)
        .is_some_and(|it| !it.idempotent)
}

/// The stages that may run at most once.
pub(crate) fn once_stages<'a>(
    view: &View,
    pipeline: &'a model::Pipeline,
) -> impl Iterator<Item = &'a model::Stage> {
    pipeline.stages.iter().filter(move |it| is_once(view, it))
}

/// Whether a pipeline needs an idempotency key.
pub(crate) fn has_once(view: &View, pipeline: &model::Pipeline) -> bool {
    once_stages(view, pipeline).next().is_some()
}

/// Typical time of the pipeline's longest path.
pub(crate) fn typical_time(view: &View, pipeline: &model::Pipeline) -> Duration {
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
