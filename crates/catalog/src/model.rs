//! One version of the operators' configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base::hash;
use base::id;

/// Response type of a route, and whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A single response; the request may run more than once.
    Idempotent,
    /// A single response; the request runs at most once per client attempt.
    NonIdempotent,
    /// A stream of events; the request runs at most once.
    Stream,
    /// A stream of events that another upstream can resume.
    ResumableStream,
}

impl RouteKind {
    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may be retried after an attempt with an unknown outcome.
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
    /// Relative weight of the service among the route's targets.
    pub weight: f64,
}

/// A preprocessing step that must finish before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The service whose upstreams run the step.
    pub service: id::Service,
    /// Indices, within the route, of the steps whose results this one reads.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
}

/// Configuration of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the host header that it matches.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Response type, and whether requests may be retried.
    pub kind: RouteKind,
    /// Time limit of a request; a client may set a shorter deadline.
    pub timeout: Duration,
    /// Target latency of the response, or of a stream's first event; a later response loses value.
    pub goal: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed over by weight.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one client attempt may run on; a send of which the upstream
    /// ran nothing does not count.
    pub attempts_max: u32,
    /// Preprocessing steps.
    pub steps: Vec<Step>,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// The service that a request is sent to, chosen by a hash of its id; `None` for a route
    /// without targets.
    #[must_use]
    pub fn target(&self, request_id: &str) -> Option<&id::Service> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let fraction = hash::hash_strs([request_id]) as f64 / u64::MAX as f64;
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

/// Limits of the upstreams of a service that runs model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests per upstream.
    pub slots: u32,
    /// Tokens that the running requests and cached prompts of one upstream may take up; `None` if
    /// not configured.
    pub memory_tokens: Option<u64>,
}

/// Limits and expected times of the upstreams of a service that runs batched steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of concurrent calls per upstream.
    pub slots: u32,
    /// Maximum number of pieces per call.
    pub batch_max: usize,
    /// Fixed time of a call, whatever its batch size.
    pub call_overhead: Duration,
    /// Approximate time that each piece adds to a call.
    pub piece_time: Duration,
    /// Result memory of one upstream in bytes.
    pub result_capacity: u64,
    /// Time after which an upstream drops a result that was not freed.
    pub result_ttl: Duration,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Maximum number of connections to one upstream, over all callers.
    pub connections_max: u32,
    /// Request rate, per second, that a cold upstream can take; 0 if the service has no cold phase.
    pub cold_per_second: f64,
    /// Time after its start for which an upstream is cold.
    pub cold_start: Duration,
    /// Set for services that run model engines.
    pub engine: Option<Engine>,
    /// Set for services that run steps.
    pub batch_limits: Option<BatchLimits>,
}

/// Limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the header in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Time within which the header must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A tenant's unit of isolation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Overrides the route's priority if set.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version; increases with every change.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits on client connections; `None` if they are unlimited.
    pub limits: Option<ClientLimits>,
    /// Workspaces by API key; `None` if requests need no key.
    pub workspaces: Option<HashMap<String, Workspace>>,
    routes: HashMap<String, Vec<Route>>,
}

impl Catalog {
    /// Adds routes. Of several prefixes of a host that match, the longest wins.
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

    /// The route with the longest prefix that matches a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}
