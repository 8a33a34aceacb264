//! The dispatcher's loops. Each runs until it is dropped; a supervisor owns them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use limits::LoadReport;
use membership::Outgoing;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use wire::Reply;
use wire::Request;
use wire::member::Heartbeat;

use crate::node::Node;
use crate::owned::Owned;
use crate::state::State;
use crate::upstream::Endpoint;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const LISTING_INTERVAL: Duration = Duration::from_secs(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which urgent news is gathered before it is sent.
const GATHER: Duration = Duration::from_millis(10);

/// A timer that does not catch up after a pause of the process.
fn every(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// Heartbeats to the neighbours, at intervals and when there is news.
pub async fn heartbeats(node: Arc<Node>) {
    let mut interval = every(HEARTBEAT_INTERVAL);
    let mut announced = node.lock().document.version;
    let mut was_unfenced = false;
    let mut exchanges = FuturesUnordered::new();
    loop {
        let is_tick = tokio::select! {
            biased;
            Some(()) = exchanges.next() => continue,
            _ = interval.tick() => true,
            () = node.urgent.notified() => false,
        };
        if !is_tick {
            tokio::time::sleep(GATHER).await;
        }
        let outgoing = due(&node, is_tick, &mut announced, &mut was_unfenced);
        for outgoing in outgoing {
            exchanges.push(exchange(node.clone(), outgoing.address, outgoing.heartbeat));
        }
        if is_tick {
            for (seed, heartbeat) in introductions(&node) {
                exchanges.push(exchange(node.clone(), seed, heartbeat));
            }
        }
    }
}

/// Whether no other member has been heard from.
fn is_alone(state: &State) -> bool {
    let own = &state.membership.own().instance;
    let mut members = state.membership.members();
    !members.any(|it| it.instance != *own && it.incarnation > 0)
}

/// Heartbeats to the seeds while no other member has been heard from.
fn introductions(node: &Node) -> Vec<(SocketAddr, Heartbeat)> {
    let mut state = node.lock();
    let own = state.membership.own().address;
    if !is_alone(&state) {
        return Vec::new();
    }
    let heartbeat = state.membership.introduce(Instant::now());
    let seeds = node.seeds.iter().filter(|it| **it != own);
    seeds.map(|it| (*it, heartbeat.clone())).collect()
}

fn due(node: &Node, is_tick: bool, announced: &mut u64, was_unfenced: &mut bool) -> Vec<Outgoing> {
    let now = Instant::now();
    let mut state = node.lock();
    let before = state.membership.digest();
    let version = state.document.version;
    let outgoing = if is_tick {
        state.membership.tick(now)
    } else if version != *announced {
        state.membership.announce(now)
    } else {
        state.membership.flush(now)
    };
    *announced = version;
    let is_changed = state.membership.digest() != before;
    let is_unfenced = state.membership.is_unfenced(now);
    let opened = is_unfenced && !*was_unfenced;
    *was_unfenced = is_unfenced;
    if opened {
        // Behind a closed fence nothing was observed: the upstreams may have restarted unseen.
        for owned in state.owned.values() {
            owned.turn_cold(now);
        }
    }
    drop(state);
    // A member takes ownership only behind an open fence.
    if is_changed || opened {
        node.refresh();
    }
    outgoing
}

async fn exchange(node: Arc<Node>, to: SocketAddr, heartbeat: Heartbeat) {
    let request = Request::Heartbeat(Box::new(heartbeat));
    let asked = wire::peer::request(node.peer.as_ref(), to, request);
    let reply = tokio::time::timeout(HEARTBEAT_INTERVAL, asked).await;
    if let Ok(Ok(Reply::Heartbeat(acknowledgement))) = reply {
        node.acknowledged(*acknowledgement);
    }
}

/// Follows the configuration row, if this dispatcher polls for its zone, and commits drains that
/// went ahead of the table.
pub async fn configuration(node: Arc<Node>) {
    let mut interval = every(POLL_INTERVAL);
    loop {
        interval.tick().await;
        if !node.lock().is_poller {
            continue;
        }
        node.poll_config().await;
        node.commit_restrictions().await;
    }
}

/// Fetches a newer configuration as soon as it is heard of.
pub async fn fetches(node: Arc<Node>) {
    loop {
        node.behind.notified().await;
        node.fetch_document().await;
        if node.lock().is_behind() {
            // The announcer may be gone; the next heartbeat names another.
            tokio::time::sleep(GATHER).await;
        }
    }
}

/// Follows the platform's list of instances.
pub async fn listing(node: Arc<Node>) {
    let mut interval = every(LISTING_INTERVAL);
    loop {
        interval.tick().await;
        let is_needed = {
            let state = node.lock();
            state.is_poller || is_alone(&state)
        };
        if !is_needed {
            continue;
        }
        if let Ok(listing) = node.platform.instances().await {
            take_listing(&node, listing);
        }
    }
}

fn take_listing(node: &Node, listing: table::Listing) {
    let now = Instant::now();
    let mut state = node.lock();
    let before = state.membership.digest();
    let previous = std::mem::replace(&mut state.listing, listing.clone());
    state.membership.listed(&listing, &previous, now);
    let is_changed = state.membership.digest() != before;
    drop(state);
    if is_changed {
        node.refresh();
    }
}

/// Asks the owned upstreams for their load, or, those that report none, for a connection.
pub async fn reports(node: Arc<Node>) {
    let mut interval = every(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let mut reports: FuturesUnordered<_> = watched(&node)
            .into_iter()
            .map(|watched| observe(&node, watched))
            .collect();
        while reports.next().await.is_some() {}
    }
}

/// An owned upstream to observe.
struct Watched {
    owned: Arc<Owned>,
    endpoint: Endpoint,
    reports_load: bool,
}

fn watched(node: &Node) -> Vec<Watched> {
    let state = node.lock();
    let deployment = &state.snapshot.deployment;
    let owned = state.owned.values().filter(|it| it.is_owner());
    owned
        .filter_map(|owned| {
            let (service, upstream) = deployment.upstream(&owned.upstream.name)?;
            let endpoint = Endpoint {
                address: upstream.address,
                protocol: service.protocol,
            };
            Some(Watched {
                owned: owned.clone(),
                endpoint,
                reports_load: service.reports_load,
            })
        })
        .collect()
}

async fn observe(node: &Node, watched: Watched) {
    let report = match watched.reports_load {
        true => node.upstreams.load_report(watched.endpoint).await,
        false => None,
    };
    let Some(report) = report else {
        // What refuses connections restarts, and comes back cold.
        if !node.upstreams.probe(watched.endpoint).await {
            watched.owned.turn_cold(Instant::now());
        }
        return;
    };
    let owned = watched.owned;
    let now = Instant::now();
    let report = LoadReport {
        in_flight: report.in_flight,
        epoch: report.epoch,
        measured_at: now.checked_sub(report.age).unwrap_or(now),
    };
    if owned.report(report, now) {
        let event = Event::new(Kind::Warmth)
            .with("upstream", &owned.upstream.name)
            .with("warmth", owned.warmth());
        node.telemetry.event(event);
    }
}

/// Answers queued calls whose deadline can no longer be met, and lets calls in when inherited work
/// has run out.
pub async fn sweeps(node: Arc<Node>) {
    let mut interval = every(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        let owned: Vec<Arc<Owned>> = node.lock().owned.values().cloned().collect();
        let now = Instant::now();
        for owned in owned {
            owned.sweep(now);
        }
    }
}

/// Logs members whose state changes.
pub async fn member_events(node: Arc<Node>) {
    let mut interval = every(HEARTBEAT_INTERVAL);
    let mut known: BTreeMap<id::Instance, (u64, SocketAddr, wire::member::State)> = BTreeMap::new();
    let mut digest = 0;
    loop {
        interval.tick().await;
        let members: Vec<wire::member::Record> = {
            let state = node.lock();
            if state.membership.digest() == digest {
                continue;
            }
            digest = state.membership.digest();
            state.membership.members().cloned().collect()
        };
        for member in members {
            let value = (member.incarnation, member.address, member.state);
            if known.insert(member.instance.clone(), value) == Some(value) {
                continue;
            }
            let event = Event::new(Kind::Member)
                .with("instance", &member.instance)
                .with("state", member.state);
            node.telemetry.event(event);
        }
    }
}

/// Tells the neighbours that this member is gone, after a graceful stop.
pub async fn depart(node: Arc<Node>) {
    let outgoing = {
        let mut state = node.lock();
        state.membership.depart();
        state.membership.flush(Instant::now())
    };
    let mut exchanges: FuturesUnordered<_> = outgoing
        .into_iter()
        .map(|it| exchange(node.clone(), it.address, it.heartbeat))
        .collect();
    while exchanges.next().await.is_some() {}
}
