//! One version of the operators' configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base::hash;
use base::id;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each client attempt.
    NonIdempotent,
    /// A response in events that runs at most once.
    Stream,
    /// A response in events that another upstream may continue.
    ResumableStream,
}

impl RouteKind {
    /// Whether the response is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may run again after an attempt with an unknown outcome.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// A service that a route sends to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Relative share.
    pub weight: f64,
}

/// Work that must be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The service whose upstreams do it.
    pub service: id::Service,
    /// Indices of the steps whose results it reads.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host header.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which a response is of full use; a stream's first event.
    pub goal: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are split over.
    pub targets: Vec<Target>,
    /// Upstreams that one client attempt may run on.
    pub attempts_max: u32,
    /// Steps before the request itself.
    pub steps: Vec<Step>,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The service that a request with this id goes to.
    #[must_use]
    pub fn target(&self, request_id: &str) -> Option<&id::Service> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let fraction = hash::of_strs([request_id]) as f64 / u64::MAX as f64;
        let mut left = fraction * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

/// Limits of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
}

/// Limits of the upstreams of a service that runs batched steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// Calls that one upstream works on at once.
    pub slots: u32,
    /// Pieces that one call may hold.
    pub batch_max: usize,
    /// Time of a call besides its pieces.
    pub call_overhead: Duration,
    /// Approximate time of one piece.
    pub piece_time: Duration,
    /// Bytes that one upstream keeps for results.
    pub result_capacity: u64,
    /// Time after which an upstream drops a result.
    pub result_ttl: Duration,
}

/// Interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Connections that one upstream accepts from all callers.
    pub connections_max: u32,
    /// Requests a second that a cold upstream bears; zero where none ever turns cold.
    pub cold_per_second: f64,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set for services that run steps.
    pub batch_limits: Option<BatchLimits>,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest header in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a header to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// A customer's unit of isolation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Goes before the route's priority where it is set.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version; later ones are greater.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits on clients.
    pub limits: Option<ClientLimits>,
    /// Workspaces by key; `None` where no key is asked for.
    pub workspaces: Option<HashMap<String, Workspace>>,
    routes: HashMap<String, Vec<Route>>,
}

impl Catalog {
    /// Adds the routes; the longest prefix of a host comes first.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Catalog {
        for route in routes {
            self.routes
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        self
    }

    /// The route of a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Every route, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}
