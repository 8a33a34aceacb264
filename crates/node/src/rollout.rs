//! Runs roll-outs: reports what this instance counts to the coordinator, and coordinates those whose
//! coordinator this instance is.

mod calls;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::Member;
use catalog::Upstream;
use catalog::View;
use forwarding::origin::Continuation;
use futures_util::future::join_all;
use mirror::Table;
use platform::rollout as rows;
use platform::store;
use rollout::choice;
use rollout::choice::Choice;
use rollout::choice::Grant;
use rollout::evidence::Finding;
use rollout::evidence::Tally;
use rollout::order::Stage;
use rollout::order::State;
use rollout::stage;
use rollout::stage::Reason;
use rollout::stage::Situation;
use tokio::time::Instant;
use wire::Protocol;
use wire::Reply;
use wire::Request;

use crate::client_request::ClientRequest;
use crate::rollouts;
use crate::state::Node;

pub(crate) use self::calls::CallRecord;
pub(crate) use crate::rollouts::keep_leaders;

/// Interval of the reports to the coordinator, and of its decisions.
const INTERVAL: Duration = Duration::from_millis(200);
/// The same for each additional member, so that a large deployment reports about 900 times a second.
const INTERVAL_PER_MEMBER: Duration = Duration::from_micros(1_100);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a state that was written and is not in the rows is written again.
const REWRITE_DELAY: Duration = Duration::from_secs(2);

fn fraction(request: &ClientRequest) -> f64 {
    hash::hash_strs(["rollout", request.id.as_str()]) as f64 / u64::MAX as f64
}

/// Which upstreams a request may be sent to, the first choice first. A stream that goes on stays with
/// the version that began it.
pub(crate) fn choices(
    node: &Node,
    service: &id::Service,
    request: &ClientRequest,
    continuation: &Continuation,
    is_repeat: bool,
) -> Vec<Choice> {
    let view = node.view();
    let Some(rollouts) = node.rollouts() else {
        return vec![Choice::Any];
    };
    if let Continuation::Resumes(origin) = continuation {
        let registered = view.upstreams.values();
        let mut registered = registered.filter(|it| it.service == *service);
        let began = registered.find(|it| it.software == origin.software);
        let is_barred = began.is_some_and(|it| rollouts.is_barred(&view, it));
        return match is_barred {
            true => vec![Choice::Not(BTreeSet::from([origin.software.clone()]))],
            false => vec![Choice::Any],
        };
    }
    rollouts.choices(&view, service, fraction(request), is_repeat)
}

/// Whether a request may still be sent to an upstream, as the choice may have changed since.
pub(crate) fn allows(
    node: &Node,
    view: &View,
    upstream: &Upstream,
    request: &ClientRequest,
    continuation: &Continuation,
) -> bool {
    let Some(rollouts) = node.rollouts() else {
        return true;
    };
    if let Continuation::Resumes(_) = continuation {
        return !rollouts.is_barred(view, upstream);
    }
    let choices = rollouts.choices(view, &upstream.service, fraction(request), false);
    choices.iter().any(|it| it.allows(&upstream.software))
}

/// Whether any request may be sent to an upstream.
pub(crate) fn may_use(node: &Node, view: &View, upstream: &Upstream) -> bool {
    let rollouts = node.rollouts();
    rollouts.is_none_or(|it| !it.is_barred(view, upstream))
}

/// Reports and coordinates; never returns.
pub(crate) async fn run(node: Arc<Node>) {
    if node.rollouts().is_none() {
        std::future::pending::<()>().await;
    }
    let mut view = node.watch_view();
    let mut withheld = BTreeSet::new();
    loop {
        view.mark_unchanged();
        let services = active_services(&node.view());
        if services.is_empty() {
            if let Some(mut rollouts) = node.rollouts() {
                rollouts.desks.clear();
            }
            if view.changed().await.is_err() {
                return;
            }
            continue;
        }
        let steps = join_all(services.iter().map(|it| step(&node, it))).await;
        let now_withheld = match node.rollouts() {
            Some(rollouts) => rollouts.withheld(&node.view()),
            None => BTreeSet::new(),
        };
        if now_withheld != withheld {
            withheld = now_withheld;
            node.refresh_owner();
        }
        let members = node.member_count() as u32;
        let interval = match steps.contains(&Progress::Entered) {
            true => Duration::ZERO,
            false => INTERVAL.max(INTERVAL_PER_MEMBER * members),
        };
        tokio::time::sleep(interval).await;
    }
}

/// Outcome of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// This instance has begun a stage, and knows its share after another step.
    Entered,
    /// Nothing else is to be done for now.
    None,
}

/// Services whose roll-out may change.
fn active_services(view: &View) -> Vec<id::Service> {
    let services = view.orders.keys().chain(view.rollouts.keys());
    let services: BTreeSet<&id::Service> = services.collect();
    let is_active = |service: &&id::Service| {
        let (order, state) = (view.orders.get(*service), view.rollouts.get(*service));
        choice::current(order, state).is_none_or(|it| it.stage != Stage::Ended)
    };
    services.into_iter().filter(is_active).cloned().collect()
}

/// The order that a roll-out is for; that of the state once the order was removed.
fn order_version(view: &View, service: &id::Service) -> Option<u64> {
    let order = view.orders.get(service).map(|it| it.version);
    order.or_else(|| view.rollouts.get(service).map(|it| it.order))
}

async fn step(node: &Arc<Node>, service: &id::Service) -> Progress {
    let view = node.view();
    let Some(order) = order_version(&view, service) else {
        return Progress::None;
    };
    let Some(coordinator) = coordinator(node, &view, service) else {
        return Progress::None;
    };
    if coordinator.instance == node.settings.instance {
        return coordinate(node, service, order).await;
    }
    if let Some(mut rollouts) = node.rollouts() {
        rollouts.desks.remove(service);
    }
    send_report(node, &coordinator, service, order).await;
    Progress::None
}

/// The instance that coordinates the roll-out of a service. Two that believe it of themselves do no
/// harm: stages are written under the condition of the row's version.
fn coordinator(node: &Node, view: &View, service: &id::Service) -> Option<Arc<Member>> {
    let key = rows::key(service);
    let order = ownership::preference_order(&key, view.members.values().map(Arc::as_ref));
    let mut order = order.into_iter().map(|it| &it.instance);
    let now = Instant::now();
    let rollouts = node.rollouts()?;
    let first = order.find(|it| {
        **it == node.settings.instance
            || (!node.peers.is_suspected(it) && !rollouts.is_unfit(service, it, now))
    });
    view.members.get(first?).cloned()
}

async fn send_report(node: &Node, coordinator: &Member, service: &id::Service, order: u64) {
    let view = node.view();
    let asked_at = Instant::now();
    let Some(report) = node
        .rollouts()
        .map(|it| it.report(&view, service, order, asked_at))
    else {
        return;
    };
    let request = |protocol| match protocol {
        Protocol::V1 | Protocol::V2 => Request::Ping,
        Protocol::V3 | Protocol::V4 | Protocol::V5 => {
            Request::Rollout(Box::new(wire::message::Rollout {
                service: service.clone(),
                instance: node.settings.instance.clone(),
                incarnation: node.incarnation,
                report,
            }))
        }
    };
    let reply = async {
        let mut replies = node.peers.open_with(coordinator, request).await.ok()?;
        replies.next().await
    };
    let reply = tokio::time::timeout(REPORT_TIMEOUT, reply).await;
    let grant = match &reply {
        Ok(Some(Reply::Rollout(grant))) => *grant,
        _ => None,
    };
    if matches!(reply, Ok(Some(_))) {
        node.peers.record_answer(&coordinator.instance);
    }
    if let Some(mut rollouts) = node.rollouts() {
        let instance = &coordinator.instance;
        rollouts.record_answer(service, instance, grant.is_some(), asked_at);
        if let Some(grant) = grant {
            rollouts.record_grant(service, grant, asked_at);
        }
    }
    if reply.is_err() && node.peers.record_timeout(coordinator).await {
        slog::warn!(node.logger(), "coordinator_lost"; "service" => service.as_str(),
            "instance" => %coordinator.instance);
    }
}

/// Takes the report of another instance; returns what that may send.
pub(crate) fn serve_report(node: &Node, message: wire::message::Rollout) -> Option<Grant> {
    let now = Instant::now();
    let mut rollouts = node.rollouts()?;
    let order = message.report.order;
    let desk = &mut rollouts.desks.get_mut(&message.service)?.desk;
    desk.record(&message.instance, message.incarnation, message.report, now);
    rollouts.granted(&message.service, order, now)
}

/// What a step of the coordinator has found.
struct Findings {
    /// The stage so far.
    current: Option<State>,
    /// The state to write, and why.
    next: Option<(State, Reason)>,
    elapsed: Duration,
    share: f64,
    total: Tally,
    finding: Option<Finding>,
}

/// One step of the coordinator.
async fn coordinate(node: &Arc<Node>, service: &id::Service, order: u64) -> Progress {
    // It may not know the newest stage, so nothing is granted any more.
    if !node.is_fresh() {
        return Progress::None;
    }
    let Some(outcome) = decide(node, service, order) else {
        return Progress::None;
    };
    let mut current = outcome.current.clone();
    let mut progress = Progress::None;
    if let Some((state, reason)) = &outcome.next {
        let is_new = outcome.current.as_ref() != Some(state);
        log_outcome(node, service, state, *reason, &outcome);
        match write(node, service, state).await {
            Ok(()) => {
                if is_new {
                    progress = Progress::Entered;
                    node.telemetry
                        .count_tagged("rollout.stages", state.stage.into(), 1);
                }
                current = Some(state.clone());
            }
            Err(err) => {
                slog::warn!(node.logger(), "rollout_not_written"; "service" => service.as_str(),
                    "stage" => %state.stage, "reason" => %err);
                // A version that is found to be bad gets nothing, written or not.
                if state.stage == Stage::Reverted {
                    current = Some(state.clone());
                }
            }
        }
    }
    let now = Instant::now();
    let Some(mut rollouts) = node.rollouts() else {
        return Progress::None;
    };
    let is_written = current != outcome.current;
    let coordination = rollouts.coordination(service, order, now);
    if is_written {
        coordination.written = current.clone().map(|it| (it, now));
    }
    let Some(state) = current else {
        return Progress::None;
    };
    let share = match outcome.current.as_ref() == Some(&state) {
        true => outcome.share,
        // Known after the next step.
        false if state.stage == Stage::Sealed => 1.0,
        false => 0.0,
    };
    let grant = Grant {
        order,
        stage: state.stage,
        share,
    };
    coordination.grant = Some((grant, now));
    rollouts.record_grant(service, grant, now);
    drop(rollouts);
    let telemetry = &node.telemetry;
    telemetry.gauge("rollout.share_permille", (share * 1e3) as u64);
    telemetry.gauge("rollout.exposure", outcome.total.exposure());
    telemetry.gauge("rollout.failures", outcome.total.failures());
    progress
}

fn decide(node: &Node, service: &id::Service, version: u64) -> Option<Findings> {
    let view = node.view();
    let now = Instant::now();
    let order = view.orders.get(service);
    let mut rollouts = node.rollouts()?;
    let own = rollouts.report(&view, service, version, now);
    let bounds = rollouts.bounds;
    let to = order.map(|it| &it.to);
    let to = to.or(view.rollouts.get(service).map(|it| &it.to));
    let old = view.usable(service);
    let can_share = rollouts.can_share(old.filter(|it| Some(&it.software) != to).count());
    let coordination = rollouts.coordination(service, version, now);
    let desk = &mut coordination.desk;
    desk.record(&node.settings.instance, node.incarnation, own, now);
    let stored = choice::current(order, view.rollouts.get(service));
    let written = coordination.written.as_ref();
    let written = written.filter(|it| it.0.order == version);
    // The rows may not have what was written a moment ago.
    let newest = match (stored, written) {
        (Some(stored), Some((written, _))) if stored.stage >= written.stage => Some(stored),
        (_, Some((written, _))) => Some(written),
        (stored, None) => stored,
    };
    if let Some(state) = newest {
        desk.record_elapsed(state.elapsed, now);
    }
    let rewrite = written
        .filter(|it| newest == Some(&it.0) && stored != newest && now - it.1 >= REWRITE_DELAY);
    let elapsed = desk.elapsed(now);
    let finding = desk.finding(now);
    desk.keep(now);
    let total = desk.total();
    let (in_stage, counts) = match newest {
        Some(state) => desk.in_stage(state, now),
        None => (Duration::ZERO, Tally::default()),
    };
    let upstreams = view.upstreams.values();
    let upstreams = upstreams.filter(|it| it.service == *service);
    let (new, old): (Vec<&Arc<Upstream>>, Vec<&Arc<Upstream>>) =
        upstreams.partition(|it| Some(&it.software) == to);
    let new = new.into_iter().filter(|it| view.is_usable(it));
    let members = view.members.keys();
    let members =
        members.filter(|it| **it == node.settings.instance || !node.peers.is_suspected(it));
    let situation = Situation {
        bounds,
        order,
        state: newest,
        elapsed,
        in_stage,
        desk_age: desk.age(now),
        is_bad: finding.is_some(),
        requests: counts.requests,
        answered: counts.answered(),
        failures: counts.failures(),
        is_old_idle: desk.is_old_idle(members, now),
        old_slots: old.iter().map(|it| u64::from(it.slots)).sum(),
        new_slots: match rollouts::is_step_service(&view, service) && !can_share {
            // Nothing may be sent there that could prove the version.
            true => 0,
            false => new.map(|it| u64::from(it.slots)).sum(),
        },
    };
    let next = stage::next(&situation).and_then(|(stage, reason)| {
        let next = rollouts::next_state(&view, service, order, newest, stage, elapsed)?;
        Some((next, reason))
    });
    let next = next.or_else(|| rewrite.map(|it| (it.0.clone(), Reason::Ordered)));
    let stage = newest.map(|it| it.stage);
    let share = order.zip(stage).map_or(0.0, |(order, stage)| {
        stage::share(
            &bounds,
            order,
            stage,
            elapsed,
            total.requests,
            total.exposure(),
        )
    });
    Some(Findings {
        current: newest.cloned(),
        next,
        elapsed,
        share,
        total,
        finding,
    })
}

/// Writes a state, and the status that operators read.
async fn write(node: &Node, service: &id::Service, state: &State) -> Result<(), store::Error> {
    let key = rows::key(service);
    let view = node.view();
    let expected = {
        let copy = node.store_copy();
        copy.mirror.row_version(Table::Members, &key)
    };
    let malformed = |err: platform::rows::Error| store::Error::Protocol(err.to_string());
    let value = rows::encode_state(state).map_err(malformed)?;
    let order = view.orders.get(service);
    let order = order.filter(|it| it.version == state.order);
    let to = order.map_or(state.to.as_str(), |it| &it.text);
    let status = state.stage.phase().map(|it| rows::encode_status(it, to));
    let status = status.transpose().map_err(malformed)?;
    let status = status.as_ref().map(|it| (key.as_str(), it.as_slice()));
    node.store
        .write_rollout((&key, &value), expected, status)
        .await
}

fn log_outcome(
    node: &Node,
    service: &id::Service,
    state: &State,
    reason: Reason,
    outcome: &Findings,
) {
    let finding = outcome.finding.as_ref();
    slog::info!(node.logger(), "rollout_stage"; "service" => service.as_str(),
        "to" => state.to.as_str(), "order" => state.order, "stage" => %state.stage,
        "reason" => %reason, "elapsed_ms" => outcome.elapsed.as_millis() as u64,
        "requests" => outcome.total.requests, "exposure" => outcome.total.exposure(),
        "failures" => outcome.total.failures(),
        "fault" => finding.map(|it| it.fault.to_string()),
        "route" => finding.map(|it| it.route.as_str()),
        "bad" => finding.map(|it| it.bad), "answers" => finding.map(|it| it.answers),
        "old_share" => finding.map(|it| it.old_share),
        "rows_age_ms" => node.rows_age().map(|it| it.as_millis() as u64));
}
