//! Snapshot of the configuration and the registry that routing decisions are based on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::id;

use crate::model::Catalog;
use crate::model::RouteKind;

/// Lifecycle phase of an upstream according to its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Is shutting down and accepts no new requests.
    Draining,
}

/// A registered upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name; the upstream verifies it on every request.
    pub name: id::Upstream,
    /// Service that the upstream belongs to.
    pub service: id::Service,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Start time in Unix milliseconds; tells restarts under the same name apart.
    pub started_ms: u64,
    /// Version of the software that it runs. Versions have no order.
    pub software: id::Software,
    /// Store version of the registration.
    pub version: u64,
}

impl Upstream {
    /// Identifies this run of the upstream by name and start time.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        id::Incarnation {
            upstream: self.name.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// An instance of this system.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address on which it serves other instances.
    pub address: SocketAddr,
    /// CPU quota in cores.
    pub cpu_share: f64,
    /// Tells restarts under the same name apart.
    pub incarnation: u64,
}

/// Snapshot of the configuration and the registry.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force; `None` until one has been read.
    pub catalog: Option<Arc<Catalog>>,
    /// Registered upstreams by name.
    pub upstreams: BTreeMap<id::Upstream, Arc<Upstream>>,
    /// Zones whose upstreams receive no requests.
    pub evacuated_zones: BTreeSet<id::Zone>,
    /// Instances of this system by name.
    pub members: BTreeMap<id::Instance, Arc<Member>>,
    /// Software versions that are recorded as in service now or shortly before, by service.
    pub software: BTreeMap<id::Service, BTreeSet<id::Software>>,
    /// Orders to move the traffic of a service to one software version.
    pub orders: BTreeMap<id::Service, rollout::order::Order>,
    /// How far the roll-outs of services have come.
    pub rollouts: BTreeMap<id::Service, rollout::order::State>,
    /// Newest store version included in the snapshot.
    pub version: u64,
}

impl View {
    /// Whether `upstream` may receive new requests.
    #[must_use]
    pub fn is_usable(&self, upstream: &Upstream) -> bool {
        upstream.phase == Phase::Ready && !self.evacuated_zones.contains(&upstream.zone)
    }

    /// Upstreams of a service that may receive new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |it| it.service == *service && self.is_usable(it))
    }

    /// Software versions of the registered upstreams of a service.
    #[must_use]
    pub fn registered_software(&self, service: &id::Service) -> BTreeSet<id::Software> {
        let upstreams = self.upstreams.values();
        let upstreams = upstreams.filter(|it| it.service == *service);
        upstreams.map(|it| it.software.clone()).collect()
    }

    /// Software versions of a service that are in service now, or were shortly before.
    #[must_use]
    pub fn known_software(&self, service: &id::Service) -> BTreeSet<id::Software> {
        let mut software = self.registered_software(service);
        let recorded = self.software.get(service).into_iter().flatten();
        software.extend(recorded.cloned());
        software
    }

    /// Whether several software versions of a service are in service now, or were shortly before.
    #[must_use]
    pub fn has_several_versions(&self, service: &id::Service) -> bool {
        self.known_software(service).len() > 1
    }

    /// Services of resumable streams of which that holds.
    #[must_use]
    pub fn mixed_services(&self) -> BTreeSet<id::Service> {
        let mut services = self.resumable_services();
        services.retain(|it| self.has_several_versions(it));
        services
    }

    /// Services that begin resumable streams.
    #[must_use]
    pub fn resumable_services(&self) -> BTreeSet<id::Service> {
        let routes = self.catalog.iter().flat_map(|it| it.routes());
        let routes = routes.filter(|it| it.kind == RouteKind::ResumableStream);
        let targets = routes.flat_map(|it| &it.targets);
        targets.map(|it| it.service.clone()).collect()
    }

    /// Software versions that are registered and not recorded, of services that begin resumable
    /// streams.
    #[must_use]
    pub fn unrecorded_software(&self) -> Vec<(id::Service, id::Software)> {
        let mut unrecorded = Vec::new();
        for service in self.resumable_services() {
            let mut software = self.registered_software(&service);
            if let Some(recorded) = self.software.get(&service) {
                software.retain(|it| !recorded.contains(it));
            }
            unrecorded.extend(software.into_iter().map(|it| (service.clone(), it)));
        }
        unrecorded
    }

    /// Whether this run of the upstream is registered.
    #[must_use]
    pub fn is_registered(&self, incarnation: &id::Incarnation) -> bool {
        let known = self.upstreams.get(&incarnation.upstream);
        known.is_some_and(|it| it.started_ms == incarnation.started_ms)
    }

    /// Whether this run of the upstream is still registered and may receive new requests.
    #[must_use]
    pub fn is_still_usable(&self, upstream: &Upstream) -> bool {
        let known = self.upstreams.get(&upstream.name);
        known.is_some_and(|it| it.started_ms == upstream.started_ms && self.is_usable(it))
    }
}
