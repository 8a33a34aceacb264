//! Background tasks of the dispatcher. Each runs in a loop until it is dropped, under a supervisor.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use limits::LoadReport;
use membership::OutgoingHeartbeat;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use wire::Reply;
use wire::Request;
use wire::member::Heartbeat;

use crate::node::Node;
use crate::owned::OwnedUpstream;
use crate::state::State;
use crate::upstream::Endpoint;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const CONFIG_POLL_INTERVAL: Duration = Duration::from_secs(1);
const LISTING_INTERVAL: Duration = Duration::from_secs(2);
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which news is collected before it is sent, and delay between fetches of a newer
/// configuration.
const GOSSIP_DEBOUNCE: Duration = Duration::from_millis(10);

/// Returns an interval timer that does not catch up on ticks missed while the process was
/// suspended.
fn ticker(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// Sends heartbeats to the neighbours, at intervals and when there is news.
pub async fn heartbeats(node: Arc<Node>) {
    let mut interval = ticker(HEARTBEAT_INTERVAL);
    let mut announced_version = node.lock().document.version;
    let mut was_unfenced = false;
    let mut exchanges = FuturesUnordered::new();
    loop {
        let is_tick = tokio::select! {
            biased;
            Some(()) = exchanges.next() => continue,
            _ = interval.tick() => true,
            () = node.gossip_pending.notified() => false,
        };
        if !is_tick {
            tokio::time::sleep(GOSSIP_DEBOUNCE).await;
        }
        let outgoing = due_heartbeats(&node, is_tick, &mut announced_version, &mut was_unfenced);
        for outgoing in outgoing {
            exchanges.push(exchange_heartbeat(
                node.clone(),
                outgoing.address,
                outgoing.heartbeat,
            ));
        }
        if is_tick {
            for (seed, heartbeat) in seed_heartbeats(&node) {
                exchanges.push(exchange_heartbeat(node.clone(), seed, heartbeat));
            }
        }
    }
}

/// Returns whether this dispatcher has not heard from any other member.
fn is_alone(state: &State) -> bool {
    let own = &state.membership.own().instance;
    let mut members = state.membership.members();
    !members.any(|it| it.instance != *own && it.incarnation > 0)
}

/// Returns heartbeats to the seeds, as long as no other member has been heard from.
fn seed_heartbeats(node: &Node) -> Vec<(SocketAddr, Heartbeat)> {
    let mut state = node.lock();
    let own = state.membership.own().address;
    if !is_alone(&state) {
        return Vec::new();
    }
    let heartbeat = state.membership.join_heartbeat(Instant::now());
    let seeds = node.seeds.iter().filter(|it| **it != own);
    seeds.map(|it| (*it, heartbeat.clone())).collect()
}

/// Advances membership and returns the heartbeats to send: all that are due on a tick, otherwise
/// those with news.
fn due_heartbeats(
    node: &Node,
    is_tick: bool,
    announced_version: &mut u64,
    was_unfenced: &mut bool,
) -> Vec<OutgoingHeartbeat> {
    let now = Instant::now();
    let mut state = node.lock();
    let before = state.membership.digest();
    let version = state.document.version;
    let outgoing = if is_tick {
        state.membership.tick(now)
    } else if version != *announced_version {
        state.membership.announce_config(now)
    } else {
        state.membership.flush_gossip(now)
    };
    *announced_version = version;
    let is_changed = state.membership.digest() != before;
    let is_unfenced = state.membership.is_unfenced(now);
    let is_newly_unfenced = is_unfenced && !*was_unfenced;
    *was_unfenced = is_unfenced;
    if is_newly_unfenced {
        // While fenced, this dispatcher does not observe its upstreams, which may have restarted.
        for owned in state.owned.values() {
            owned.reset_to_cold(now);
        }
    }
    drop(state);
    // Ownership is only acquired while unfenced.
    if is_changed || is_newly_unfenced {
        node.refresh();
    }
    outgoing
}

/// Sends a heartbeat and applies its acknowledgement.
async fn exchange_heartbeat(node: Arc<Node>, to: SocketAddr, heartbeat: Heartbeat) {
    let request = Request::Heartbeat(Box::new(heartbeat));
    let asked = wire::peer::request(node.peer.as_ref(), to, request);
    let reply = tokio::time::timeout(HEARTBEAT_INTERVAL, asked).await;
    if let Ok(Ok(Reply::Heartbeat(acknowledgement))) = reply {
        node.receive_acknowledgement(*acknowledgement);
    }
}

/// Polls the configuration row, if this dispatcher is a poller of its zone, and commits drains that
/// were applied while the store was down.
pub async fn configuration(node: Arc<Node>) {
    let mut interval = ticker(CONFIG_POLL_INTERVAL);
    loop {
        interval.tick().await;
        if !node.lock().is_poller {
            continue;
        }
        node.poll_config().await;
        node.commit_restrictions().await;
    }
}

/// Fetches a newer configuration as soon as a member announces it.
pub async fn fetches(node: Arc<Node>) {
    loop {
        node.config_behind.notified().await;
        node.fetch_document().await;
        if node.lock().is_behind() {
            // The member that announced it may be gone; the next heartbeat names another.
            tokio::time::sleep(GOSSIP_DEBOUNCE).await;
        }
    }
}

/// Polls the platform's list of instances, if this dispatcher is a poller or knows no other member.
pub async fn listing(node: Arc<Node>) {
    let mut interval = ticker(LISTING_INTERVAL);
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
            apply_listing(&node, listing);
        }
    }
}

fn apply_listing(node: &Node, listing: table::Listing) {
    let now = Instant::now();
    let mut state = node.lock();
    let before = state.membership.digest();
    let previous = std::mem::replace(&mut state.listing, listing.clone());
    state.membership.apply_listing(&listing, &previous, now);
    let is_changed = state.membership.digest() != before;
    drop(state);
    if is_changed {
        node.refresh();
    }
}

/// Requests load reports of the owned upstreams, and probes those that send none.
pub async fn reports(node: Arc<Node>) {
    let mut interval = ticker(LOAD_REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let mut reports: FuturesUnordered<_> = monitored_upstreams(&node)
            .into_iter()
            .map(|monitored| monitor(&node, monitored))
            .collect();
        while reports.next().await.is_some() {}
    }
}

/// An owned upstream to request a load report from or to probe.
struct MonitoredUpstream {
    owned: Arc<OwnedUpstream>,
    endpoint: Endpoint,
    reports_load: bool,
}

fn monitored_upstreams(node: &Node) -> Vec<MonitoredUpstream> {
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
            Some(MonitoredUpstream {
                owned: owned.clone(),
                endpoint,
                reports_load: service.reports_load,
            })
        })
        .collect()
}

async fn monitor(node: &Node, monitored: MonitoredUpstream) {
    let report = match monitored.reports_load {
        true => node.upstreams.load_report(monitored.endpoint).await,
        false => None,
    };
    let Some(report) = report else {
        // An upstream that refuses connections is restarting and comes back cold.
        if !node.upstreams.probe(monitored.endpoint).await {
            monitored.owned.reset_to_cold(Instant::now());
        }
        return;
    };
    let owned = monitored.owned;
    let now = Instant::now();
    let report = LoadReport {
        in_flight: report.in_flight,
        epoch: report.epoch,
        measured_at: now.checked_sub(report.age).unwrap_or(now),
    };
    if owned.apply_load_report(report, now) {
        let event = Event::new(Kind::Warmth)
            .with("upstream", &owned.upstream.name)
            .with("warmth", owned.warmth());
        node.telemetry.event(event);
    }
}

/// Refuses queued calls whose deadline can no longer be met, and admits calls when inherited calls
/// have expired.
pub async fn sweeps(node: Arc<Node>) {
    let mut interval = ticker(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        let owned: Vec<Arc<OwnedUpstream>> = node.lock().owned.values().cloned().collect();
        let now = Instant::now();
        for owned in owned {
            owned.sweep(now);
        }
    }
}

/// Records changes of members in the timeline.
pub async fn member_events(node: Arc<Node>) {
    let mut interval = ticker(HEARTBEAT_INTERVAL);
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

/// Announces to the neighbours that this member has left, at the end of a graceful shutdown.
pub async fn depart(node: Arc<Node>) {
    let outgoing = {
        let mut state = node.lock();
        state.membership.finish_leave();
        state.membership.flush_gossip(Instant::now())
    };
    let mut exchanges: FuturesUnordered<_> = outgoing
        .into_iter()
        .map(|it| exchange_heartbeat(node.clone(), it.address, it.heartbeat))
        .collect();
    while exchanges.next().await.is_some() {}
}
