//! The checked model of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;

/// Everything an operator's text describes.
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
    /// Finds an upstream and its service by the upstream's name.
    #[must_use]
    pub fn upstream(&self, name: &id::Upstream) -> Option<(&Service, &Upstream)> {
        self.services.values().find_map(|service| {
            let upstream = service.upstreams.iter().find(|it| it.name == *name)?;
            Some((service.as_ref(), upstream))
        })
    }

    /// All upstreams of all services.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Service, &Upstream)> {
        self.services.values().flat_map(|service| {
            service
                .upstreams
                .iter()
                .map(move |it| (service.as_ref(), it))
        })
    }

    /// The longest deadline of any pipeline; no attempt outlives it by design.
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
    /// Model engine with streamed token output.
    Engine,
    /// Plain request-response service.
    Plain,
}

/// A named set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Protocol of the upstreams.
    pub protocol: Protocol,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Whether the upstreams answer load queries.
    pub reports_load: bool,
    /// Whether the upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Calls in flight that a cold upstream bears.
    pub cold_limit: u32,
    /// Calls in flight that a warm upstream never exceeds.
    pub ceiling: u32,
    /// Time of good answers after which the limit of a warming upstream doubles.
    pub warm_window: Duration,
    /// Expected time of one call, used until it has been measured.
    pub typical_duration: Duration,
    /// The replicas.
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

/// Priority class of a pipeline. Lower classes are served first.
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
    /// Name of the pipeline.
    pub name: id::Pipeline,
    /// Deadline of a request that names none, and the longest that one may name.
    pub deadline: Duration,
    /// Priority class.
    pub priority: Priority,
    /// Stages in topological order; the last one gives the answer.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: id::Stage,
    /// Service that runs it.
    pub service: id::Service,
    /// Stages whose results it takes.
    pub needs: Vec<id::Stage>,
}

/// A workspace's share and rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::Workspace,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Requests a second that one instance admits.
    pub rate: base::rate::Rate,
}
