//! Where a request goes: what its owner is asked for, the choice of an upstream, the connection.

use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::Upstream;
use forwarding::choice;
use forwarding::life::Cause;
use stages::Shard;
use stages::Step;
use stages::shard::PrefixCache;
use tokio::time::Instant;
use wire::steps::Engines;
use wire::steps::Prepare;

use crate::ask::ClientRequest;
use crate::ask::RESPONSE_MARGIN;
use crate::channel::PooledConnection;
use crate::limits;
use crate::prepare::Wanted;
use crate::state::Node;
use crate::suspicion;

/// Upstreams that are tried without the request having run anywhere.
pub(crate) const UNSENT_TRIES_MAX: u32 = 5;
/// Time between looks at cold limits that are all used up.
const COLD_PAUSE: Duration = Duration::from_millis(40);
/// Part of the goal for which a request waits for a cold limit.
const COLD_WAIT: f64 = 0.4;
/// Engines that the owner may choose from, of each zone where the zone matters.
const ENGINE_CHOICES: usize = 3;
/// How much longer a queue may be where a prompt is kept that is worth going to in any zone.
const HOME_BONUS: Duration = Duration::from_millis(300);
/// The same for other prompts: a session's parts are a few hundred tokens, read in some 10 ms.
const PROMPT_BONUS: Duration = Duration::from_millis(100);
/// Time from the last step to the first event before any was measured.
const ENGINE_TIME: Duration = Duration::from_millis(250);

/// What the owner is asked for: the steps of a request that has any, and an engine.
pub(crate) fn wanted(node: &Node, ask: &ClientRequest, service: &id::Service) -> Option<Wanted> {
    let steps = steps(ask);
    let is_engine = ask.prompt().is_some();
    if steps.is_empty() && !is_engine {
        return None;
    }
    let engines = if is_engine {
        engines(node, ask, service)
    } else {
        Engines::default()
    };
    let home = engines.choices.first().map(|it| it.1.clone());
    let (result_zone, recompute_cost) = match engines.has_home {
        true => (home.clone(), HOME_BONUS),
        false => (None, PROMPT_BONUS),
    };
    Some(Wanted {
        prepare: Prepare {
            shard: Shard::Whole,
            request: ask.request.clone(),
            fingerprint: ask.fingerprint,
            key: ask.head.piece_key.clone(),
            zone: result_zone,
            priority: ask.priority,
            aim: Duration::ZERO,
            deadline: Duration::ZERO,
            tail: ENGINE_TIME,
            steps,
            engines,
        },
        home: home.map(|zone| PrefixCache {
            zone,
            recompute_cost,
        }),
        aim: ask.aim(),
        deadline: ask.deadline(),
    })
}

/// The best engines; of each zone, where the zone of the results is to decide.
fn engines(node: &Node, ask: &ClientRequest, service: &id::Service) -> Engines {
    let view = node.view();
    let order = order(node, ask, service, &Wish::default(), Gates::Ignored).unwrap_or_default();
    let has_home = ask.has_home();
    let mut choices: Vec<(id::Upstream, id::Zone)> = Vec::new();
    for name in order {
        let Some(upstream) = view.upstreams.get(&name) else {
            continue;
        };
        let of_zone = choices.iter().filter(|it| it.1 == upstream.zone);
        if of_zone.count() < ENGINE_CHOICES {
            choices.push((name, upstream.zone.clone()));
        }
    }
    Engines {
        has_home,
        choices,
        usual: node.limits().typical_latency(ask).unwrap_or(ENGINE_TIME),
    }
}

fn steps(ask: &ClientRequest) -> Vec<Step> {
    let mut places: Vec<Option<usize>> = Vec::new();
    let mut steps: Vec<Step> = Vec::new();
    for (number, step) in ask.route.steps.iter().enumerate() {
        let pieces = ask.head.pieces.get(number).copied().unwrap_or(0);
        if pieces == 0 {
            places.push(None);
            continue;
        }
        places.push(Some(steps.len()));
        let after = step.after.iter();
        let after = after.filter_map(|it| places.get(*it).copied().flatten());
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

/// Chooses an upstream and connects to it.
pub(crate) async fn connect(
    node: &Arc<Node>,
    ask: &ClientRequest,
    service: &id::Service,
    wish: &Wish<'_>,
) -> Result<(Arc<Upstream>, PooledConnection), Cause> {
    let mut tries = 0;
    let mut passed = wish.except.to_vec();
    let cold_until = Instant::now() + ask.route.goal.mul_f64(COLD_WAIT);
    loop {
        let wish = Wish {
            except: &passed,
            ..*wish
        };
        let upstream = match choose(node, ask, service, &wish, tries) {
            Ok(upstream) => upstream,
            Err(Cause::ColdLimit) if Instant::now() < cold_until => {
                tokio::time::sleep(COLD_PAUSE).await;
                continue;
            }
            Err(cause) => return Err(cause),
        };
        let opened = node
            .pool
            .acquire(
                upstream.address,
                ask.idle_max(),
                connection_limit(node, &upstream),
            )
            .await;
        match opened {
            // What was decided before the connection was made is checked again.
            Ok(channel) if node.view().is_still_usable(&upstream) => {
                if suspicion::check_quarantine(node, &ask.request, ask.fingerprint).is_some() {
                    return Err(Cause::Quarantined);
                }
                if !channel.is_reused {
                    suspicion::record_reachable(node, &upstream);
                }
                let is_placed = tries == 0 && wish.engine == Some(&upstream.name);
                if may_send(node, &upstream, is_placed) {
                    return Ok((upstream, channel));
                }
            }
            Ok(_) => {}
            Err(err) => {
                if err.counts_against_upstream() {
                    suspicion::record_unreachable(node, &upstream);
                }
                slog::info!(node.logger(), "unreachable"; "request" => &ask.request,
                    "upstream" => upstream.name.as_str(), "reason" => %err);
                passed.push(upstream.name.clone());
            }
        }
        tries += 1;
        if tries >= UNSENT_TRIES_MAX || ask.left() <= RESPONSE_MARGIN {
            return Err(Cause::NoUpstream);
        }
    }
}

/// Whether the cold limit allows a request now: by the owner that placed it, or by this instance's
/// own share.
fn may_send(node: &Node, upstream: &Upstream, is_placed: bool) -> bool {
    let view = node.view();
    let limits = node.limits();
    let is_granted = is_placed && limits.is_cold_limit_owned(&view, &upstream.service);
    is_granted || limits.has_cold_capacity(&view, upstream, Instant::now())
}

/// What is known of where a request should go.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wish<'a> {
    /// Zone of its results.
    pub(crate) zone: Option<&'a id::Zone>,
    /// Engine that the owner of its steps chose.
    pub(crate) engine: Option<&'a id::Upstream>,
    /// Upstreams that failed it before, or to which this instance has all its connections in use.
    pub(crate) except: &'a [id::Upstream],
}

/// Whether cold limits count when upstreams are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gates {
    /// Only upstreams that this instance may send to now.
    Kept,
    /// All upstreams: whoever places the request keeps the limits.
    Ignored,
}

fn choose(
    node: &Node,
    ask: &ClientRequest,
    service: &id::Service,
    wish: &Wish<'_>,
    tries: u32,
) -> Result<Arc<Upstream>, Cause> {
    let view = node.view();
    let is_owned = node.limits().is_cold_limit_owned(&view, service);
    let wished = wish
        .engine
        .filter(|it| tries == 0 && !wish.except.contains(it))
        .and_then(|it| view.upstreams.get(it))
        .filter(|it| view.is_usable(it) && !is_held_off(node, it));
    if let Some(upstream) = wished.filter(|_| is_owned) {
        return Ok(upstream.clone());
    }
    let order = order(node, ask, service, wish, Gates::Kept)?;
    let wished = wished.map(|it| &it.name).filter(|it| order.contains(it));
    let chosen = wished.or(order.first()).ok_or(Cause::ColdLimit)?;
    let chosen = view.upstreams.get(chosen);
    chosen.cloned().ok_or(Cause::NoUpstream)
}

/// Whether an upstream wants nothing from this instance for now.
fn is_held_off(node: &Node, upstream: &Upstream) -> bool {
    let mut limits = node.limits();
    let health = limits.health(&upstream.name);
    health.held_off_until(Instant::now()).is_some()
}

/// Upstreams that the request may be sent to now, the best first.
fn order(
    node: &Node,
    ask: &ClientRequest,
    service: &id::Service,
    wish: &Wish<'_>,
    gates: Gates,
) -> Result<Vec<id::Upstream>, Cause> {
    let view = node.view();
    let now = Instant::now();
    let mut usable: Vec<&Arc<Upstream>> = view.usable(service).collect();
    if usable.is_empty() {
        return Err(Cause::NoUpstream);
    }
    if usable.iter().any(|it| !wish.except.contains(&it.name)) {
        usable.retain(|it| !wish.except.contains(&it.name));
    }
    let prompt = ask.prompt();
    let near = match prompt {
        Some(_) if ask.has_home() => None,
        Some(_) => wish.zone,
        None => Some(&node.settings.zone),
    };
    usable.retain(|it| !is_held_off(node, it));
    if usable.is_empty() {
        return Err(Cause::Full);
    }
    let mut limits = node.limits();
    let candidates: Vec<choice::Candidate<'_>> = usable
        .iter()
        .map(|it| {
            let candidate = limits.candidate(&view, it, near, now);
            let is_within_cold_limit = candidate.is_within_cold_limit || gates == Gates::Ignored;
            choice::Candidate {
                is_within_cold_limit,
                ..candidate
            }
        })
        .collect();
    let spread = hash::of_strs([ask.request.as_str()]);
    let usual = limits.typical_latency(ask).unwrap_or(ask.route.goal / 2);
    let order = choice::order(&candidates, usual, prompt, spread);
    Ok(order.into_iter().cloned().collect())
}

/// This instance's share of the connections that an upstream accepts.
pub(crate) fn connection_limit(node: &Node, upstream: &Upstream) -> usize {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let all = service.map_or(u32::MAX, |it| it.connections_max);
    limits::connections_share(all, node.member_count())
}
