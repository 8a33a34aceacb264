//! Routing of a request: the message to the owner of its steps, the choice of an upstream and the
//! connection to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ::rollout::choice::Choice;
use base::hash;
use base::id;
use catalog::Upstream;
use forwarding::choice;
use forwarding::life::Cause;
use forwarding::origin::Continuation;
use forwarding::quota::Permit;
use forwarding::quota::Urgency;
use stages::Shard;
use stages::Step;
use stages::shard::PrefixCache;
use tokio::time::Instant;
use wire::steps::Engines;
use wire::steps::Prepare;
use wire::steps::Terms;

use crate::client_request::ClientRequest;
use crate::client_request::RESPONSE_MARGIN;
use crate::clock;
use crate::connection;
use crate::connection::PooledConnection;
use crate::detour;
use crate::limits;
use crate::prepare::PrepareRequest;
use crate::process;
use crate::quota;
use crate::quota::Admission;
use crate::quota::lease::Lease;
use crate::rollout;
use crate::state::Node;
use crate::suspicion;

/// Most attempts at sending a request as long as it hasn't run anywhere.
pub(crate) const UNSENT_ATTEMPTS_MAX: u32 = 5;
/// Interval at which the cold limits are checked again when all are used up.
const COLD_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Fraction of the route's goal for which a request waits for a cold limit or a rate limit.
const LIMIT_WAIT_FRACTION: f64 = 0.4;
/// Most engines of each zone that the owner may choose from.
const ENGINE_CHOICES_MAX: usize = 3;
/// Assumed time for recomputing a long prompt prefix: the queue of the zone that caches it may be
/// longer by this much.
const LONG_PREFIX_RECOMPUTE_COST: Duration = Duration::from_millis(300);
/// The same for other prompts. The parts of a session are a few hundred tokens, which an engine
/// reads in some 10 ms.
const SHORT_PREFIX_RECOMPUTE_COST: Duration = Duration::from_millis(100);
/// Assumed time from the last step to the first event, before any was measured.
const DEFAULT_ENGINE_TIME: Duration = Duration::from_millis(250);

/// Builds the message to the owner: the steps of the request and the engines to choose from. `None`
/// if the request has neither steps nor a prompt.
pub(crate) fn prepare_request(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
) -> Option<PrepareRequest> {
    let steps = requested_steps(request);
    let has_prompt = request.prompt_prefix_hash().is_some();
    if steps.is_empty() && !has_prompt {
        return None;
    }
    let engines = if has_prompt {
        engine_choices(node, request, service, continuation)
    } else {
        Engines::default()
    };
    let cache_zone = engines.choices.first().map(|it| it.1.clone());
    let (result_zone, recompute_cost) = match engines.has_home {
        true => (cache_zone.clone(), LONG_PREFIX_RECOMPUTE_COST),
        false => (None, SHORT_PREFIX_RECOMPUTE_COST),
    };
    Some(PrepareRequest {
        prepare: Prepare {
            shard: Shard::Whole,
            request: request.id.clone(),
            fingerprint: request.fingerprint,
            key: request.head.input_key.clone(),
            zone: result_zone,
            priority: request.priority,
            aim: Duration::ZERO,
            deadline: Duration::ZERO,
            tail: DEFAULT_ENGINE_TIME,
            steps,
            engines,
        },
        terms: Terms {
            workspace: request.workspace_id(),
            prompt_tokens: request.head.prompt_tokens,
            output_tokens_max: request.head.output_tokens_max,
        },
        prefix_cache: cache_zone.map(|zone| PrefixCache {
            zone,
            recompute_cost,
        }),
        soft_deadline: request.soft_deadline(),
        deadline: request.deadline(),
    })
}

/// The best engines of each zone.
fn engine_choices(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
) -> Engines {
    let view = node.view();
    let order = rank_upstreams(
        node,
        request,
        service,
        continuation,
        &RoutingHints::default(),
        &Denials::default(),
        ColdLimitMode::Ignored,
    )
    .unwrap_or_default();
    let has_home = request.has_long_prefix();
    let mut choices: Vec<(id::Upstream, id::Zone)> = Vec::new();
    for name in order {
        let Some(upstream) = view.upstreams.get(&name) else {
            continue;
        };
        let in_zone = choices.iter().filter(|it| it.1 == upstream.zone);
        if in_zone.count() < ENGINE_CHOICES_MAX {
            choices.push((name, upstream.zone.clone()));
        }
    }
    Engines {
        has_home,
        choices,
        usual: node
            .limits()
            .typical_latency(request)
            .unwrap_or(DEFAULT_ENGINE_TIME),
    }
}

fn requested_steps(request: &ClientRequest) -> Vec<Step> {
    let mut step_indexes: Vec<Option<usize>> = Vec::new();
    let mut steps: Vec<Step> = Vec::new();
    for (number, step) in request.route.steps.iter().enumerate() {
        let pieces = request.head.piece_counts.get(number).copied().unwrap_or(0);
        if pieces == 0 {
            step_indexes.push(None);
            continue;
        }
        step_indexes.push(Some(steps.len()));
        let after = step.after.iter();
        let after = after.filter_map(|it| step_indexes.get(*it).copied().flatten());
        steps.push(Step {
            number,
            service: step.service.clone(),
            after: after.collect(),
            pieces,
            result_bytes: step.result_bytes,
        });
    }
    steps
}

/// An upstream that a request may be sent to now.
pub(crate) struct Connected {
    /// The upstream.
    pub(crate) upstream: Arc<Upstream>,
    /// A connection to it.
    pub(crate) connection: PooledConnection,
    /// Permission to send one request.
    pub(crate) permit: Permit,
    /// To be kept until the send has ended.
    pub(crate) lease: Lease,
}

/// Chooses an upstream and connects to it. Tries others if that fails or if its rate limit allows no
/// request, and waits up to [`LIMIT_WAIT_FRACTION`] of the route's goal while all limits are used
/// up.
pub(crate) async fn connect(
    node: &Arc<Node>,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
    hints: &RoutingHints<'_>,
) -> Result<Connected, Cause> {
    let urgency = Urgency::Priority(request.priority);
    let mut tries = 0;
    let mut excluded = hints.excluded.to_vec();
    let mut denials = Denials::default();
    let wait_until = Instant::now() + request.route.goal.mul_f64(LIMIT_WAIT_FRACTION);
    let cold_sends_from = node.limits().cold_sends_from();
    loop {
        let hints = RoutingHints {
            excluded: &excluded,
            ..*hints
        };
        let upstream = match choose_upstream(
            node,
            request,
            service,
            continuation,
            &hints,
            &denials,
            tries,
        ) {
            Ok(upstream) => upstream,
            // Where owners keep the cold limits, the owner has to choose another engine.
            Err(Cause::ColdLimit) if denials.apply_to_engine(node, &hints) => {
                return Err(Cause::RateLimit);
            }
            // In its first second, a process knows when it may send.
            Err(Cause::ColdLimit) if Instant::now() < wait_until.max(cold_sends_from) => {
                tokio::time::sleep(COLD_LIMIT_POLL_INTERVAL).await;
                continue;
            }
            Err(Cause::RateLimit) => {
                let next = denials.next_end(node, service);
                if next >= wait_until {
                    return Err(Cause::RateLimit);
                }
                tokio::time::sleep_until(next).await;
                continue;
            }
            Err(cause) => return Err(cause),
        };
        let Admission { permit, lease } = match quota::admit(node, &upstream, urgency).await {
            Ok(admission) => admission,
            Err(wait) => {
                slog::info!(node.logger(), "rate_denied"; "request" => &request.id,
                    "upstream" => upstream.name.as_str(), "wait_ms" => wait.as_millis() as u64);
                denials.record(&upstream, wait);
                continue;
            }
        };
        let opened = open(node, request, &upstream, continuation).await;
        match opened {
            // Connecting takes time, so the view, quarantine and cold limit are checked again.
            Ok(connection) if is_still_usable(node, &upstream, request, continuation) => {
                if suspicion::is_quarantined(node, request) {
                    return Err(Cause::Quarantined);
                }
                let is_placed = tries == 0 && hints.engine == Some(&upstream.name);
                let is_valid = permit.is_valid(clock::now_with_suspension());
                if is_valid && is_within_cold_limit(node, &upstream, is_placed) {
                    return Ok(Connected {
                        upstream,
                        connection,
                        permit,
                        lease,
                    });
                }
                // The next try may use it.
                connection.return_to_pool(None).await;
            }
            Ok(_) => {}
            Err(err) => {
                slog::info!(node.logger(), "unreachable"; "request" => &request.id,
                    "upstream" => upstream.name.as_str(), "reason" => %err);
                excluded.push(upstream.name.clone());
            }
        }
        tries += 1;
        if tries >= UNSENT_ATTEMPTS_MAX || request.time_left() <= RESPONSE_MARGIN {
            return Err(Cause::NoUpstream);
        }
    }
}

fn is_still_usable(
    node: &Node,
    upstream: &Upstream,
    request: &ClientRequest,
    continuation: &Continuation,
) -> bool {
    let view = node.view();
    view.is_still_usable(upstream) && rollout::allows(node, &view, upstream, request, continuation)
}

/// Takes a connection to an upstream. It leads to the registered process where another one may run
/// another software version, and the request begins or resumes a stream that depends on it.
async fn open(
    node: &Arc<Node>,
    request: &ClientRequest,
    upstream: &Upstream,
    continuation: &Continuation,
) -> Result<PooledConnection, connection::Error> {
    let idle_max = request.connection_idle_max();
    let limit = connection_limit(node, upstream);
    let mut connection = detour::acquire(node, upstream, idle_max, limit).await?;
    if connection.has_refused(&request.id) {
        drop(connection);
        // The closed connection is still counted until its task has ended.
        connection = detour::connect(node, upstream, limit.saturating_add(1)).await?;
    }
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let is_engine = service.is_some_and(|it| it.engine.is_some());
    let is_checked = match continuation {
        Continuation::Unrestricted => false,
        Continuation::Begins => view.has_several_versions(&upstream.service),
        Continuation::Resumes(_) => true,
    };
    if is_engine && is_checked {
        process::check(node, upstream, &mut connection).await?;
    }
    Ok(connection)
}

/// Whether the cold limit allows a request now: either the owner that placed the request has
/// applied the limit, or this instance's own share has room.
fn is_within_cold_limit(node: &Node, upstream: &Upstream, is_placed: bool) -> bool {
    let view = node.view();
    let limits = node.limits();
    let is_granted = is_placed && limits.is_cold_limit_owned(&view, &upstream.service);
    is_granted || limits.has_cold_capacity(&view, upstream, Instant::now())
}

/// Preferences and exclusions for the choice of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoutingHints<'a> {
    /// Zone of the step results.
    pub(crate) zone: Option<&'a id::Zone>,
    /// Engine that the owner of the steps chose.
    pub(crate) engine: Option<&'a id::Upstream>,
    /// Upstreams that failed this request before, or to which no connection could be opened. They
    /// are used only if no other is usable.
    pub(crate) excluded: &'a [id::Upstream],
}

/// Upstreams whose rate limit denied a request, and until when.
#[derive(Debug, Default)]
struct Denials(BTreeMap<id::Upstream, Instant>);

impl Denials {
    fn record(&mut self, upstream: &Upstream, wait: Duration) {
        self.0.insert(upstream.name.clone(), Instant::now() + wait);
    }

    /// Removes the upstreams that would deny a request now.
    fn filter(&self, node: &Node, upstreams: &mut Vec<&Arc<Upstream>>) {
        let quotas = node.quotas();
        if self.0.is_empty() && !quotas.has_denials() {
            return;
        }
        let now = Instant::now();
        upstreams.retain(|it| {
            let is_denied = self.0.get(&it.name).is_some_and(|until| *until > now);
            !is_denied && quotas.denial(&it.incarnation()).is_none()
        });
    }

    /// Whether the engine that the owner chose would deny a request now.
    fn apply_to_engine(&self, node: &Node, hints: &RoutingHints<'_>) -> bool {
        let view = node.view();
        let engine = hints.engine.and_then(|it| view.upstreams.get(it));
        let mut open: Vec<&Arc<Upstream>> = engine.into_iter().collect();
        self.filter(node, &mut open);
        engine.is_some() && open.is_empty()
    }

    /// When the first upstream of the service may allow a request.
    fn next_end(&self, node: &Node, service: &id::Service) -> Instant {
        let view = node.view();
        let now = Instant::now();
        let quotas = node.quotas();
        let ends = view.usable(service).filter_map(|it| {
            let own = self.0.get(&it.name).copied().filter(|it| *it > now);
            let shared = quotas.denial(&it.incarnation()).map(|it| now + it);
            own.max(shared)
        });
        ends.min().unwrap_or(now)
    }
}

/// Whether [`rank_upstreams`] applies the cold limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ColdLimitMode {
    /// Only upstreams whose cold limit allows a request of this instance now.
    Enforced,
    /// All upstreams; the owner that places the request applies the limits.
    Ignored,
}

fn choose_upstream(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
    hints: &RoutingHints<'_>,
    denials: &Denials,
    tries: u32,
) -> Result<Arc<Upstream>, Cause> {
    let view = node.view();
    let is_owned = node.limits().is_cold_limit_owned(&view, service);
    let preferred = hints
        .engine
        .filter(|it| tries == 0 && !hints.excluded.contains(it))
        .and_then(|it| view.upstreams.get(it))
        .filter(|it| view.is_usable(it) && continuation.allows(&view, it))
        .filter(|it| rollout::allows(node, &view, it, request, continuation))
        .filter(|it| !is_held_off(node, it));
    let preferred = preferred.filter(|_| !denials.apply_to_engine(node, hints));
    if let Some(upstream) = preferred.filter(|_| is_owned) {
        return Ok(upstream.clone());
    }
    let cold_limits = ColdLimitMode::Enforced;
    let order = rank_upstreams(
        node,
        request,
        service,
        continuation,
        hints,
        denials,
        cold_limits,
    )?;
    let preferred = preferred.map(|it| &it.name).filter(|it| order.contains(it));
    let chosen = preferred.or(order.first()).ok_or(Cause::ColdLimit)?;
    let chosen = view.upstreams.get(chosen);
    chosen.cloned().ok_or(Cause::NoUpstream)
}

/// Whether some upstream of the service may be sent to.
pub(crate) fn has_usable_upstream(
    node: &Node,
    service: &id::Service,
    continuation: &Continuation,
) -> bool {
    let view = node.view();
    let mut usable = view.usable(service);
    usable.any(|it| continuation.allows(&view, it) && rollout::may_use(node, &view, it))
}

/// Why a request is refused for which no upstream is usable.
pub(crate) fn no_upstream(continuation: &Continuation) -> Cause {
    match continuation {
        Continuation::Resumes(_) => Cause::UnknownOrigin,
        Continuation::Begins | Continuation::Unrestricted => Cause::NoUpstream,
    }
}

/// Whether an upstream has asked this instance to send it no requests for now.
fn is_held_off(node: &Node, upstream: &Upstream) -> bool {
    let mut limits = node.limits();
    let health = limits.health(&upstream.name);
    health.held_off_until(Instant::now()).is_some()
}

/// Ranks the upstreams that the request may be sent to now, the best first.
fn rank_upstreams(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
    hints: &RoutingHints<'_>,
    denials: &Denials,
    cold_limits: ColdLimitMode,
) -> Result<Vec<id::Upstream>, Cause> {
    let is_repeat = !hints.excluded.is_empty();
    let choices = rollout::choices(node, service, request, continuation, is_repeat);
    let mut last = Err(no_upstream(continuation));
    for choice in choices {
        last = rank_chosen(
            node,
            request,
            service,
            continuation,
            hints,
            denials,
            cold_limits,
            &choice,
        );
        if last.as_ref().is_ok_and(|it| !it.is_empty()) {
            break;
        }
    }
    last
}

/// Ranks the upstreams of the versions that a roll-out allows.
#[expect(
    clippy::too_many_arguments,
    reason = "those of the caller and one more"
)]
fn rank_chosen(
    node: &Node,
    request: &ClientRequest,
    service: &id::Service,
    continuation: &Continuation,
    hints: &RoutingHints<'_>,
    denials: &Denials,
    cold_limits: ColdLimitMode,
    choice: &Choice,
) -> Result<Vec<id::Upstream>, Cause> {
    let view = node.view();
    let now = Instant::now();
    let usable = view.usable(service);
    let usable = usable.filter(|it| continuation.allows(&view, it));
    let usable = usable.filter(|it| choice.allows(&it.software));
    let mut usable: Vec<&Arc<Upstream>> = usable.collect();
    rollout::keep_leaders(choice, &mut usable);
    if usable.is_empty() {
        return Err(no_upstream(continuation));
    }
    if usable.iter().any(|it| !hints.excluded.contains(&it.name)) {
        usable.retain(|it| !hints.excluded.contains(&it.name));
    }
    let prompt = request.prompt_prefix_hash();
    let near_zone = match prompt {
        Some(_) if request.has_long_prefix() => None,
        Some(_) => hints.zone,
        None => Some(&node.settings.zone),
    };
    usable.retain(|it| !is_held_off(node, it));
    if usable.is_empty() {
        return Err(Cause::Full);
    }
    denials.filter(node, &mut usable);
    if usable.is_empty() {
        return Err(Cause::RateLimit);
    }
    let mut limits = node.limits();
    let candidates: Vec<choice::Candidate<'_>> = usable
        .iter()
        .map(|it| {
            let candidate = limits.candidate(&view, it, near_zone, now);
            let is_within_cold_limit =
                candidate.is_within_cold_limit || cold_limits == ColdLimitMode::Ignored;
            choice::Candidate {
                is_within_cold_limit,
                ..candidate
            }
        })
        .collect();
    let tie_breaker = hash::hash_strs([request.id.as_str()]);
    let typical_latency = limits
        .typical_latency(request)
        .unwrap_or(request.route.goal / 2);
    let order = choice::order(&candidates, typical_latency, prompt, tie_breaker);
    Ok(order.into_iter().cloned().collect())
}

/// This instance's share of the connections that an upstream accepts from all instances.
pub(crate) fn connection_limit(node: &Node, upstream: &Upstream) -> usize {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let total = service.map_or(u32::MAX, |it| it.connections_max);
    let members = node.limits().member_count(Instant::now());
    limits::connections_share(total, members)
}
