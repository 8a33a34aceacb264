//! One attempt of one stage at one upstream.

use std::sync::atomic::Ordering;

use base::Executed;
use base::id;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::dispatch::Body;
use wire::dispatch::Cause;
use wire::dispatch::Dispatch;
use wire::dispatch::Progress;
use wire::dispatch::Reason;
use wire::dispatch::Refusal;
use wire::peer;

use crate::route::Route;
use crate::stage::StageRun;

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The complete answer, as the parts in which it was received.
    Completed(Vec<String>),
    /// The owner refused the attempt or could not be reached; nothing was sent to the upstream.
    Refused(Refusal),
    /// The attempt was sent, or may have been, and no complete answer came.
    Failed(AttemptFailure),
}

/// How an attempt failed that was sent, or may have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The owner reported the failure, and whether the call was executed.
    Reported(Executed),
    /// No owner reports on the call any more. The upstream may still run it or crash from it, so it
    /// counts as a possible crash.
    Unobserved,
    /// The owner reported that the upstream crashed.
    Crashed,
}

impl StageRun {
    /// Runs one attempt. Sends each part of the answer to `part_sender` as well, if given, so that
    /// the receiver keeps the parts that arrive before a failure.
    pub(crate) async fn attempt(
        &self,
        route: &Route,
        body: Body,
        part_sender: Option<&mpsc::UnboundedSender<String>>,
    ) -> AttemptResult {
        let Some(send_guard) = self.send_tracker.begin_attempt() else {
            return AttemptResult::Refused(request_closed_refusal());
        };
        let attempt = id::Attempt::random(&mut self.runner.routing_state().rng);
        let request = Request::Dispatch(Box::new(self.dispatch_message(attempt, route, body)));
        let event = Event::new(Kind::Dispatched)
            .trace(self.trace)
            .with("stage", &self.name)
            .with("attempt", attempt)
            .with("upstream", &route.upstream);
        self.runner.telemetry.event(event);
        let opened = self.runner.peer.open(route.dispatcher, request).await;
        let mut replies = match opened {
            Ok(replies) => replies,
            Err(peer::Error::Unreachable) => {
                self.runner.routing_state().avoid(&route.upstream);
                send_guard.mark_refused();
                return AttemptResult::Refused(owner_unreachable_refusal());
            }
            Err(peer::Error::Lost | peer::Error::Protocol) => {
                return AttemptResult::Failed(AttemptFailure::Unobserved);
            }
        };
        let mut received_parts = Vec::new();
        while let Some(reply) = replies.next().await {
            let Reply::Dispatch(progress) = reply else {
                break;
            };
            match progress {
                Progress::Sent => {}
                Progress::Part(part) => {
                    if let Some(part_sender) = part_sender {
                        // The receiver outlives the attempt.
                        let _ = part_sender.send(part.clone());
                    }
                    received_parts.push(part);
                }
                Progress::Refused(refusal) => {
                    send_guard.mark_refused();
                    return self.record_refusal(route, refusal);
                }
                Progress::Finished {
                    attempt: echoed,
                    load,
                } => {
                    self.runner
                        .routing_state()
                        .record_load(&route.upstream, load);
                    if echoed != attempt {
                        return self.discard_mismatched_answer(route);
                    }
                    return AttemptResult::Completed(received_parts);
                }
                Progress::Broken {
                    cause,
                    executed,
                    load,
                } => {
                    self.runner
                        .routing_state()
                        .record_load(&route.upstream, load);
                    if matches!(cause, Cause::Connection | Cause::Crashed) {
                        self.runner.routing_state().avoid(&route.upstream);
                    }
                    return AttemptResult::Failed(match cause {
                        Cause::Crashed => AttemptFailure::Crashed,
                        _ => AttemptFailure::Reported(executed),
                    });
                }
            }
        }
        // The connection to the owner was lost; it may have sent the call.
        self.runner.routing_state().avoid(&route.upstream);
        AttemptResult::Failed(AttemptFailure::Unobserved)
    }

    fn dispatch_message(&self, attempt: id::Attempt, route: &Route, body: Body) -> Dispatch {
        Dispatch {
            trace: self.trace,
            attempt,
            fingerprint: self.fingerprint,
            workspace: self.workspace.clone(),
            upstream: route.upstream.clone(),
            priority: self.priority,
            budget: self.remaining_time(),
            crashes: self.crashes.load(Ordering::Relaxed),
            config_version: self.view.snapshot.version,
            is_detached: !self.service.idempotent,
            body,
        }
    }

    fn record_refusal(&self, route: &Route, refusal: Refusal) -> AttemptResult {
        let mut routing_state = self.runner.routing_state();
        match refusal.load {
            Some(load) if refusal.reason != Reason::Unreachable => {
                routing_state.record_load(&route.upstream, load);
            }
            _ => routing_state.avoid(&route.upstream),
        }
        AttemptResult::Refused(refusal)
    }

    fn discard_mismatched_answer(&self, route: &Route) -> AttemptResult {
        let event = Event::new(Kind::Discarded)
            .trace(self.trace)
            .with("upstream", &route.upstream);
        self.runner.telemetry.event(event);
        AttemptResult::Failed(AttemptFailure::Unobserved)
    }
}

fn owner_unreachable_refusal() -> Refusal {
    Refusal {
        reason: Reason::Unreachable,
        retry_after: RETRY_AFTER_OWNER_CHANGE,
        load: None,
    }
}

/// Refusal for a background stage of a request that has ended: it must not send anything more.
fn request_closed_refusal() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        retry_after: RETRY_AFTER_OWNER_CHANGE,
        load: None,
    }
}

/// Time within which failure detection replaces an owner that cannot be reached.
const RETRY_AFTER_OWNER_CHANGE: std::time::Duration = std::time::Duration::from_secs(5);
