//! Validated model of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;

/// A deployment as the operators' configuration describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Availability zones, in the order of the text.
    pub zones: Vec<id::Zone>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<id::Pipeline, Pipeline>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<id::Workspace, Workspace>,
}

impl Deployment {
    /// Returns the upstream named `name` and its service.
    #[must_use]
    pub fn upstream(&self, name: &id::Upstream) -> Option<(&Service, &Upstream)> {
        self.services.values().find_map(|service| {
            let upstream = service.upstreams.iter().find(|it| it.name == *name)?;
            Some((service.as_ref(), upstream))
        })
    }

    /// Iterates over all upstreams, each with its service.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Service, &Upstream)> {
        self.services.values().flat_map(|service| {
            service
                .upstreams
                .iter()
                .map(move |it| (service.as_ref(), it))
        })
    }

    /// Longest deadline of any pipeline, which bounds how long a call can stay in flight; zero
    /// without pipelines.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.pipelines.values().map(|it| it.deadline);
        deadlines.max().unwrap_or_default()
    }
}

/// Protocol spoken by the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Protocol {
    /// Model engine that streams tokens.
    Engine,
    /// Plain request-response service.
    Plain,
}

/// A named set of interchangeable upstreams with common limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the deployment.
    pub name: id::Service,
    /// Protocol of the upstreams, set by `kind`.
    pub protocol: Protocol,
    /// Whether a call may safely be executed more than once, which allows retries and hedging.
    pub idempotent: bool,
    /// Whether the upstreams answer load queries.
    pub reports_load: bool,
    /// Whether the upstreams reject commands with an outdated fencing token.
    pub checks_fencing: bool,
    /// In-flight limit of a cold upstream.
    pub cold_limit: u32,
    /// In-flight limit that the adaptive limit of an upstream never exceeds.
    pub ceiling: u32,
    /// Minimum time of successful calls before the limit of a warming upstream doubles.
    pub warm_window: Duration,
    /// Expected duration of one call until a measurement is available, set by `typical`.
    pub typical_duration: Duration,
    /// Replicas of the service.
    pub upstreams: Vec<Upstream>,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique in the deployment.
    pub name: id::Upstream,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
}

/// Priority class of a pipeline. Classes that compare as lower are served first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer.
    Interactive,
    /// Overnight and batch work.
    Batch,
}

/// A directed acyclic graph of stages under one deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// Name, unique in the deployment.
    pub name: id::Pipeline,
    /// Default deadline of a request, and the longest that a request may ask for.
    pub deadline: Duration,
    /// Priority class.
    pub priority: Priority,
    /// Stages in topological order; the result of the last one is the pipeline's result.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: id::Stage,
    /// Service that runs it.
    pub service: id::Service,
    /// Stages whose results are inputs of this one.
    pub needs: Vec<id::Stage>,
}

/// Fair-share weight and rate limit of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, unique in the deployment.
    pub name: id::Workspace,
    /// Weight in fair queueing, at least one.
    pub weight: u32,
    /// Rate of requests that each instance admits.
    pub rate: base::rate::Rate,
}
