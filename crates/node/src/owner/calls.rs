//! Calls to the upstreams that run steps: batches of pieces, and results to free.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use base::id;
use catalog::Upstream;
use forwarding::quota::Urgency;
use platform::upstream::ResponseHead;
use stages::Call;
use stages::Handle;
use stages::Outcome;
use stages::Shard;
use telemetry::Telemetry;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Owner;
use super::Shared;
use super::TaskResult;
use super::UpstreamEvent;
use super::exchange;
use crate::quota;
use crate::quota::Admission;
use crate::rollout;
use crate::state::Node;

impl Owner {
    pub(super) fn spawn_call(
        &self,
        node: &Arc<Node>,
        tasks: &mut JoinSet<TaskResult>,
        shard: Shard,
        call: Call,
        upstream: Option<Arc<Upstream>>,
    ) {
        let (shared, node) = (self.shared.clone(), node.clone());
        tasks.spawn(async move {
            let Some(upstream) = upstream else {
                return TaskResult::Call(shard, call.id, Outcome::Unreachable);
            };
            // The planner forms calls of the most urgent pieces first.
            let admission = quota::admit(&node, &upstream, Urgency::Priority(0)).await;
            let Admission { permit, lease } = match admission {
                Ok(admission) => admission,
                Err(wait) => {
                    shared.defer_calls(&call, wait);
                    return TaskResult::Call(shard, call.id, Outcome::Unsent);
                }
            };
            let sent_at = Instant::now();
            let record = rollout::CallRecord::begin(&node, &upstream);
            let reply = exchange::run(&node, &upstream, &call, permit).await;
            record.record(&reply.outcome);
            drop(record);
            log_call(&shared.telemetry, &call, &reply, sent_at.elapsed());
            if let Some(head) = &reply.head {
                shared.record_load(&upstream.name, head);
                if let Some(time) = head.retry_after {
                    shared.hold_off(&upstream.name, time);
                }
                quota::news::record_answer(&node, &upstream, head.limits, sent_at);
                if head.is_leaving {
                    shared.report(UpstreamEvent::Leaving(upstream.incarnation()));
                }
            }
            match reply.outcome {
                Outcome::Rejected => lease.reject(),
                _ => drop(lease),
            }
            match reply.outcome {
                // The connection has recorded that it failed; this is another upstream's answer.
                Outcome::Unreachable if reply.head.is_some() => {
                    shared.report(UpstreamEvent::Unreachable(upstream.clone()));
                }
                Outcome::Lost => shared.report(UpstreamEvent::Lost {
                    upstream: upstream.clone(),
                    fingerprints: call.items.iter().map(|it| it.fingerprint).collect(),
                    sent_at,
                }),
                Outcome::Done(_)
                | Outcome::Rejected
                | Outcome::Unreachable
                | Outcome::Interrupted
                | Outcome::Unsent => {}
            }
            TaskResult::Call(shard, call.id, reply.outcome)
        });
    }

    pub(super) fn spawn_free(
        &self,
        node: &Arc<Node>,
        tasks: &mut JoinSet<TaskResult>,
        unused: BTreeMap<id::Upstream, Vec<Handle>>,
    ) {
        for (upstream, handles) in unused {
            let Some(upstream) = self.lock().upstreams.get(&upstream).cloned() else {
                continue;
            };
            let (shared, node) = (self.shared.clone(), node.clone());
            tasks.spawn(async move {
                free(&shared, &node, &upstream, &handles).await;
                TaskResult::Free
            });
        }
    }
}

impl Shared {
    /// Sends no calls to the upstream of `call` for `wait`, as its rate limit does not allow them.
    fn defer_calls(&self, call: &Call, wait: Duration) {
        slog::info!(self.telemetry.logger(), "rate_denied"; "call" => call.id,
            "upstream" => call.upstream.as_str(), "wait_ms" => wait.as_millis() as u64);
        let until = Instant::now() + wait;
        let state = self.state.lock();
        let state = &mut *state.unwrap_or_else(PoisonError::into_inner);
        for planner in state.planners.values_mut() {
            planner.hold_off(&call.upstream, until);
        }
    }

    /// Records the load that an upstream told; logs an unreadable one once for each upstream.
    fn record_load(&self, upstream: &id::Upstream, head: &ResponseHead) {
        let Some(load) = head.load else {
            return;
        };
        let state = self.state.lock();
        let state = &mut *state.unwrap_or_else(PoisonError::into_inner);
        match load {
            Ok(load) => {
                let now = Instant::now();
                if let Some(percent) = load.speed {
                    for planner in state.planners.values_mut() {
                        planner.record_speed(upstream, percent, now);
                    }
                }
            }
            Err(err) => {
                self.telemetry.count("steps.loads_unreadable", 1);
                if state.unreadable_loads.insert(upstream.clone()) {
                    slog::warn!(self.telemetry.logger(), "load_unreadable";
                        "upstream" => upstream.as_str(), "reason" => %err);
                }
            }
        }
    }

    fn is_held_off(&self, upstream: &id::Upstream) -> bool {
        let state = self.state.lock();
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let until = state.held_off_until.get(upstream);
        until.is_some_and(|it| *it > Instant::now())
    }

    /// Sends no calls to an upstream for a time, as it asked.
    fn hold_off(&self, upstream: &id::Upstream, time: Duration) {
        slog::info!(self.telemetry.logger(), "held_off"; "upstream" => upstream.as_str(),
            "time_ms" => time.as_millis() as u64);
        let Some(until) = Instant::now().checked_add(time) else {
            return;
        };
        let state = self.state.lock();
        let state = &mut *state.unwrap_or_else(PoisonError::into_inner);
        state.held_off_until.insert(upstream.clone(), until);
        for planner in state.planners.values_mut() {
            planner.hold_off(upstream, until);
        }
    }

    fn report(&self, event: UpstreamEvent) {
        // The receiver is gone only when the process stops.
        let _ = self.events.send(event);
    }
}

/// Frees results at an upstream. If it asked for no calls or its rate limit leaves no capacity for
/// that, they are left to expire.
async fn free(shared: &Shared, node: &Arc<Node>, upstream: &Arc<Upstream>, handles: &[Handle]) {
    let logger = shared.telemetry.logger();
    let name = upstream.name.as_str();
    let admission = match shared.is_held_off(&upstream.name) {
        true => None,
        false => quota::admit(node, upstream, Urgency::Deferrable).await.ok(),
    };
    let Some(Admission { permit, lease }) = admission else {
        slog::info!(logger, "free_skipped"; "upstream" => name, "results" => handles.len());
        return;
    };
    let sent_at = Instant::now();
    let head = exchange::free(node, upstream, handles, permit).await;
    drop(lease);
    if let Some(head) = &head {
        shared.record_load(&upstream.name, head);
        quota::news::record_answer(node, upstream, head.limits, sent_at);
    }
    let is_freed = head.is_some_and(|it| it.status.is_success());
    if !is_freed {
        slog::info!(logger, "free_failed"; "upstream" => name, "results" => handles.len());
    }
}

fn log_call(telemetry: &Telemetry, call: &Call, reply: &exchange::Reply, elapsed: Duration) {
    let (outcome, made) = match &reply.outcome {
        Outcome::Done(results) => ("done", results.iter().filter(|it| it.is_ok()).count()),
        Outcome::Rejected => ("rejected", 0),
        Outcome::Unsent => ("unsent", 0),
        Outcome::Unreachable => ("unreachable", 0),
        Outcome::Lost => ("lost", 0),
        Outcome::Interrupted => ("interrupted", 0),
    };
    telemetry.count_tagged("steps.calls", outcome, 1);
    telemetry.count("steps.pieces", made as u64);
    telemetry.time_ms("steps.call_time", elapsed.as_millis() as u64);
    let mut requests: Vec<&str> = call.items.iter().map(|it| it.request.as_str()).collect();
    requests.dedup();
    let load = reply.head.as_ref().and_then(|it| it.load?.ok());
    let speed = load.and_then(|it| it.speed);
    slog::info!(telemetry.logger(), "step_call"; "call" => call.id,
        "upstream" => call.upstream.as_str(), "pieces" => call.items.len(), "made" => made,
        "requests" => requests.join(","), "took_ms" => elapsed.as_millis() as u64,
        "timeout_ms" => call.timeout.as_millis() as u64, "outcome" => outcome,
        "time_percent" => speed.map(|it| it.to_string()));
}
