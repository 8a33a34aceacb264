//! Connections to upstreams, directly or through another instance that reaches them.
//!
//! Only bytes take the detour: the request, its outcome and its limits stay with the instance that
//! holds the client, and a lost helper is a lost connection. No tunnel leads through two instances.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Member;
use catalog::Upstream;
use forwarding::path::HelperAnswer;
use forwarding::path::Way;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use wire::tunnel;
use wire::tunnel::Answer;
use wire::tunnel::Tunnel;

use crate::connection::Error;
use crate::connection::PooledConnection;
use crate::routing;
use crate::state::Node;
use crate::suspicion;

/// Time after which a detour is tried beside a direct connection, which takes 6 ms between zones.
const DETOUR_DELAY: Duration = Duration::from_millis(120);
/// Instances that are asked for one detour.
const HELPERS_MAX: usize = 8;
/// Time after which the next instance is asked while the former has not answered.
const HELPER_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout for an instance that is asked for a detour, which includes its own connecting.
const HELPER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a connection that another instance has asked for.
const TUNNEL_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Part of the file descriptors that tunnels of other instances may use, as a divisor.
const TUNNEL_FDS_DIVISOR: u64 = 4;

/// Permits for the tunnels that an instance with `max_fds` file descriptors carries.
pub(crate) fn tunnel_permits(max_fds: u64) -> Arc<Semaphore> {
    let count = usize::try_from(max_fds / TUNNEL_FDS_DIVISOR).unwrap_or(Semaphore::MAX_PERMITS);
    Arc::new(Semaphore::new(count.min(Semaphore::MAX_PERMITS)))
}

/// Takes a connection to an upstream that has been idle for at most `idle_max`, or opens a new one.
///
/// # Errors
///
/// As for [`connect`].
pub(crate) async fn acquire(
    node: &Arc<Node>,
    upstream: &Upstream,
    idle_max: Duration,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    if let Some(connection) = node.pool.take_idle(upstream.address, idle_max) {
        return Ok(connection);
    }
    connect(node, upstream, connection_limit).await
}

/// Opens a connection to an upstream, and records whether that shows the upstream to be reachable.
///
/// # Errors
///
/// [`Error::TooMany`] if this instance has `connection_limit` open connections to it,
/// [`Error::Connect`] if the upstream accepts none, [`Error::CutOff`] if that is not known.
pub(crate) async fn connect(
    node: &Arc<Node>,
    upstream: &Upstream,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    let way = node.paths().way(&upstream.name);
    let result = match way {
        Way::Direct => connect_directly_first(node, upstream, connection_limit).await,
        Way::Detour => connect_through_helper_first(node, upstream, connection_limit).await,
    };
    match &result {
        Ok(_) => suspicion::record_reachable(node, upstream),
        Err(err) if err.counts_against_upstream() => {
            suspicion::record_unreachable(node, upstream);
        }
        Err(Error::CutOff) => {
            let mut limits = node.limits();
            let health = limits.health(&upstream.name);
            health.record_connect_failure(Instant::now());
        }
        Err(_) => {}
    }
    result
}

/// Opens a direct connection, or one through another instance if that fails or takes long.
async fn connect_directly_first(
    node: &Arc<Node>,
    upstream: &Upstream,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    let direct = connect_directly(node, upstream, connection_limit);
    tokio::pin!(direct);
    let direct_result = tokio::time::timeout(DETOUR_DELAY, &mut direct).await;
    match direct_result {
        Ok(Err(Error::Connect)) => connect_through_helper(node, upstream, connection_limit).await,
        Ok(result) => result,
        Err(_) => {
            // The pending connection is counted as well, but only one of both will be used.
            let detour_limit = connection_limit.saturating_add(1);
            let detour = connect_through_helper(node, upstream, detour_limit);
            tokio::pin!(detour);
            tokio::select! {
                biased;
                result = &mut direct => match result {
                    Ok(connection) => Ok(connection),
                    Err(_) => detour.await,
                },
                result = &mut detour => match result {
                    Ok(connection) => {
                        lose_path(node, upstream);
                        Ok(connection)
                    }
                    Err(err) => direct.await.map_err(|_| err),
                },
            }
        }
    }
}

/// Opens a connection through another instance, or a direct one if that fails: the path may be back
/// and the instances that carried tunnels gone.
async fn connect_through_helper_first(
    node: &Arc<Node>,
    upstream: &Upstream,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    let is_down = node.paths().is_down(&upstream.name, Instant::now());
    match connect_through_helper(node, upstream, connection_limit).await {
        Err(err @ (Error::Connect | Error::CutOff)) if !is_down => {
            let direct = connect_directly(node, upstream, connection_limit).await;
            direct.map_err(|_| err)
        }
        result => result,
    }
}

async fn connect_directly(
    node: &Arc<Node>,
    upstream: &Upstream,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    let result = node.pool.connect(upstream.address, connection_limit).await;
    match &result {
        Ok(_) => {
            let was_lost = node.paths().record_reached(&upstream.name);
            if was_lost {
                log_path(node, "path_found", &upstream.name);
            }
        }
        Err(Error::Connect) => {
            node.paths()
                .record_unreached(&upstream.name, Instant::now());
        }
        Err(_) => {}
    }
    result
}

/// Records that another instance reaches an upstream that this one does not.
fn lose_path(node: &Node, upstream: &Upstream) {
    let now = Instant::now();
    let is_new = {
        let mut paths = node.paths();
        paths.record_detour(&upstream.name, rand::random(), now)
    };
    if is_new {
        node.pool.close_idle_direct(upstream.address);
        node.path_lost.notify_one();
        log_path(node, "path_lost", &upstream.name);
    }
}

fn log_path(node: &Node, event: &str, upstream: &id::Upstream) {
    let (counts, is_cut_off) = {
        let paths = node.paths();
        (paths.counts(), paths.is_cut_off())
    };
    node.telemetry
        .gauge("upstreams.unreached", counts.unreached as u64);
    slog::info!(node.logger(), "{}", event; "upstream" => upstream.as_str(),
        "reached" => counts.reached, "unreached" => counts.unreached, "cut_off" => is_cut_off);
}

/// Opens a connection through another instance.
async fn connect_through_helper(
    node: &Arc<Node>,
    upstream: &Upstream,
    connection_limit: usize,
) -> Result<PooledConnection, Error> {
    if node.paths().is_down(&upstream.name, Instant::now()) {
        return Err(Error::Connect);
    }
    // The connection counts here and not at the helper, so that all shares together stay the same.
    let slot = node.pool.reserve(upstream.address, connection_limit)?;
    let tunnel = open_tunnel(node, upstream).await?;
    node.telemetry.count("detours.opened", 1);
    lose_path(node, upstream);
    node.pool.start(slot, tunnel, true).await
}

/// Asks other instances for a tunnel, one after the other, until one has opened it.
async fn open_tunnel(node: &Arc<Node>, upstream: &Upstream) -> Result<Tunnel, Error> {
    let mut helpers = helpers(node, upstream).into_iter();
    let mut calls = FuturesUnordered::new();
    let mut is_unreachable = false;
    let mut is_cut_off = false;
    loop {
        let next = helpers.next();
        let has_next = next.is_some();
        calls.extend(next.map(|it| ask_helper(node, upstream, it)));
        if calls.is_empty() {
            break;
        }
        let answered = async {
            while let Some((helper, answer)) = calls.next().await {
                let now = Instant::now();
                let helper_answer = match &answer {
                    Ok(_) => HelperAnswer::Reached,
                    Err(Some(_)) => HelperAnswer::Refused,
                    Err(None) => HelperAnswer::Silent,
                };
                node.paths()
                    .record_helper(&helper.instance, helper_answer, now);
                match answer {
                    Ok(tunnel) => return Some(tunnel),
                    Err(Some(Answer::Unreachable)) => is_unreachable = true,
                    Err(Some(Answer::CutOff)) => is_cut_off = true,
                    Err(_) => {}
                }
                if has_next {
                    return None;
                }
            }
            None
        };
        let tunnel = match has_next {
            true => tokio::time::timeout(HELPER_INTERVAL, answered).await,
            false => Ok(answered.await),
        };
        if let Ok(Some(tunnel)) = tunnel {
            return Ok(tunnel);
        }
    }
    let mut paths = node.paths();
    let counts = paths.counts();
    // Without an answer of a sound instance, nothing but this instance's own failure is known. It
    // then counts, unless this instance is the one that is cut off.
    if !is_unreachable && (is_cut_off || paths.is_cut_off()) {
        return Err(Error::CutOff);
    }
    paths.record_down(&upstream.name, Instant::now());
    drop(paths);
    slog::info!(node.logger(), "upstream_down"; "upstream" => upstream.name.as_str(),
        "confirmed" => is_unreachable, "reached" => counts.reached,
        "unreached" => counts.unreached);
    Err(Error::Connect)
}

/// Instances that may reach an upstream, the best first.
fn helpers(node: &Node, upstream: &Upstream) -> Vec<Arc<Member>> {
    if !node.peers.has_client() {
        return Vec::new();
    }
    let members = node.other_members();
    let mut names: Vec<id::Instance> = members
        .keys()
        .filter(|it| !node.peers.is_suspected(it))
        .cloned()
        .collect();
    let seed = format!("{}/{}", node.settings.instance, upstream.name);
    node.paths()
        .order_helpers(&mut names, &seed, Instant::now());
    let names = names.iter().take(HELPERS_MAX);
    names.filter_map(|it| members.get(it)).cloned().collect()
}

/// Asks an instance for a tunnel; its answer, if any, if it opened none.
async fn ask_helper(
    node: &Node,
    upstream: &Upstream,
    helper: Arc<Member>,
) -> (Arc<Member>, Result<Tunnel, Option<Answer>>) {
    let open = tunnel::Open {
        upstream: upstream.incarnation(),
    };
    let call = node.peers.open_tunnel(&helper, open);
    let answer = match tokio::time::timeout(HELPER_TIMEOUT, call).await {
        Ok(Ok(Ok(tunnel))) => Ok(tunnel),
        Ok(Ok(Err(answer))) => Err(Some(answer)),
        Ok(Err(_)) | Err(_) => Err(None),
    };
    if let Err(answer) = &answer {
        slog::info!(node.logger(), "detour_refused"; "upstream" => upstream.name.as_str(),
            "through" => helper.instance.as_str(), "answer" => answer.map(|it| it.to_string()));
    }
    (helper, answer)
}

/// Carries a tunnel of another instance.
pub(crate) async fn serve(node: &Arc<Node>, mut tunnel: tunnel::Incoming) {
    let opened = tokio::select! {
        opened = open_for(node, tunnel.upstream().clone()) => opened,
        () = tunnel.closed() => return,
    };
    let (stream, _permit) = match opened {
        Ok(opened) => opened,
        Err(answer) => {
            node.telemetry
                .count_tagged("tunnels.refused", &answer.to_string(), 1);
            return tunnel.refuse(answer).await;
        }
    };
    node.telemetry.count("tunnels.carried", 1);
    tunnel.carry(stream).await;
}

/// Opens a connection for a tunnel.
async fn open_for(
    node: &Arc<Node>,
    incarnation: id::Incarnation,
) -> Result<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit), Answer> {
    let upstream = node.view().upstreams.get(&incarnation.upstream).cloned();
    let upstream = upstream.filter(|it| it.incarnation() == incarnation);
    let upstream = upstream.ok_or(Answer::Unknown)?;
    {
        let (paths, now) = (node.paths(), Instant::now());
        if paths.way(&upstream.name) == Way::Detour {
            return Err(Answer::CutOff);
        }
        if paths.has_just_failed(&upstream.name, now) || paths.is_down(&upstream.name, now) {
            return Err(Answer::Unreachable);
        }
    }
    let permit = node.tunnels.clone().try_acquire_owned();
    let permit = permit.map_err(|_| Answer::Busy)?;
    let dialed = node
        .pool
        .dial(upstream.address, TUNNEL_CONNECT_TIMEOUT)
        .await;
    let mut paths = node.paths();
    match dialed {
        Ok(stream) => {
            paths.record_reached(&upstream.name);
            Ok((stream, permit))
        }
        Err(_) => {
            paths.record_unreached(&upstream.name, Instant::now());
            Err(Answer::Unreachable)
        }
    }
}

/// Probes lost paths; never returns.
pub(crate) async fn probe_paths(node: Arc<Node>) {
    loop {
        let next_probe = node.paths().next_probe();
        let Some(next_probe) = next_probe else {
            node.path_lost.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(next_probe) => {}
            () = node.path_lost.notified() => continue,
        }
        let name = node.paths().take_probe(Instant::now());
        let upstream = name.and_then(|it| node.view().upstreams.get(&it).cloned());
        let Some(upstream) = upstream else {
            continue;
        };
        let connection_limit = routing::connection_limit(&node, &upstream);
        match connect_directly(&node, &upstream, connection_limit).await {
            Ok(connection) => connection.return_to_pool(None).await,
            Err(err) => slog::debug!(node.logger(), "path_still_lost";
                "upstream" => upstream.name.as_str(), "reason" => %err),
        }
    }
}
