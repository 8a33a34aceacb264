//! Everything that a request is decided from, as of one moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::id;

use crate::model::Catalog;

/// Life of an upstream as its registration states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Is leaving and takes no new work.
    Draining,
}

/// One registered upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Identity, which the upstream checks on every request.
    pub name: id::Upstream,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Life.
    pub phase: Phase,
    /// Unix milliseconds of its start; differs between two lives of one name.
    pub started_ms: u64,
    /// Version of the registration.
    pub version: u64,
}

impl Upstream {
    /// Its name and start.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        id::Incarnation {
            upstream: self.name.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// One instance of this system.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name.
    pub instance: id::Instance,
    /// Availability zone.
    pub zone: id::Zone,
    /// Where it answers other instances.
    pub address: SocketAddr,
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Differs between two starts of one name.
    pub incarnation: u64,
}

/// Everything that a request is decided from.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force, once there is one.
    pub catalog: Option<Arc<Catalog>>,
    /// Registered upstreams.
    pub upstreams: BTreeMap<id::Upstream, Arc<Upstream>>,
    /// Zones whose upstreams get nothing.
    pub evacuated_zones: BTreeSet<id::Zone>,
    /// Instances of this system.
    pub members: BTreeMap<id::Instance, Arc<Member>>,
    /// Newest store version that the view contains.
    pub version: u64,
}

impl View {
    /// Whether `upstream` may get new work.
    #[must_use]
    pub fn is_usable(&self, upstream: &Upstream) -> bool {
        upstream.phase == Phase::Ready && !self.evacuated_zones.contains(&upstream.zone)
    }

    /// Upstreams of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let of_service = self.upstreams.values();
        of_service.filter(move |it| it.service == *service && self.is_usable(it))
    }

    /// Whether the upstream of this name and start is registered.
    #[must_use]
    pub fn is_registered(&self, incarnation: &id::Incarnation) -> bool {
        let known = self.upstreams.get(&incarnation.upstream);
        known.is_some_and(|it| it.started_ms == incarnation.started_ms)
    }

    /// Whether the upstream of this name and start may still get new work.
    #[must_use]
    pub fn is_still_usable(&self, upstream: &Upstream) -> bool {
        let known = self.upstreams.get(&upstream.name);
        known.is_some_and(|it| it.started_ms == upstream.started_ms && self.is_usable(it))
    }
}
