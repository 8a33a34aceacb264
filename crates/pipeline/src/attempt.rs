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
use crate::stage::Stage;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempted {
    /// The whole answer, as its parts.
    Whole(Vec<String>),
    /// Nothing was sent.
    Refused(Refusal),
    /// It was sent, or may have been, and broke.
    Broken(Break),
}

/// How a sent attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Break {
    /// Its owner saw it end.
    Observed(Executed),
    /// Nobody watches it any more; its upstream may still run it, or die of it.
    Unseen,
    /// Its upstream crashed.
    Crashed,
}

impl Stage {
    /// Runs one attempt. Each part also goes to `parts`, if given; what came before a break stays
    /// with the receiver.
    pub(crate) async fn attempt(
        &self,
        route: &Route,
        body: Body,
        parts: Option<&mpsc::UnboundedSender<String>>,
    ) -> Attempted {
        let Some(outstanding) = self.sending.begin() else {
            return Attempted::Refused(request_closed());
        };
        let attempt = id::Attempt::random(&mut self.runner.knowledge().rng);
        let request = Request::Dispatch(Box::new(self.message(attempt, route, body)));
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
                self.runner.knowledge().avoid(&route.upstream);
                outstanding.refused();
                return Attempted::Refused(unreachable_owner());
            }
            Err(peer::Error::Lost | peer::Error::Protocol) => {
                return Attempted::Broken(Break::Unseen);
            }
        };
        let mut whole = Vec::new();
        while let Some(reply) = replies.next().await {
            let Reply::Dispatch(progress) = reply else {
                break;
            };
            match progress {
                Progress::Sent => {}
                Progress::Part(part) => {
                    if let Some(parts) = parts {
                        // The receiver outlives the attempt.
                        let _ = parts.send(part.clone());
                    }
                    whole.push(part);
                }
                Progress::Refused(refusal) => {
                    outstanding.refused();
                    return self.note_refusal(route, refusal);
                }
                Progress::Finished {
                    attempt: echoed,
                    load,
                } => {
                    self.runner.knowledge().note_load(&route.upstream, load);
                    if echoed != attempt {
                        return self.discard(route);
                    }
                    return Attempted::Whole(whole);
                }
                Progress::Broken {
                    cause,
                    executed,
                    load,
                } => {
                    self.runner.knowledge().note_load(&route.upstream, load);
                    if matches!(cause, Cause::Connection | Cause::Crashed) {
                        self.runner.knowledge().avoid(&route.upstream);
                    }
                    return Attempted::Broken(match cause {
                        Cause::Crashed => Break::Crashed,
                        _ => Break::Observed(executed),
                    });
                }
            }
        }
        // The owner was lost; it may have sent the attempt.
        self.runner.knowledge().avoid(&route.upstream);
        Attempted::Broken(Break::Unseen)
    }

    fn message(&self, attempt: id::Attempt, route: &Route, body: Body) -> Dispatch {
        Dispatch {
            trace: self.trace,
            attempt,
            fingerprint: self.fingerprint,
            workspace: self.workspace.clone(),
            upstream: route.upstream.clone(),
            priority: self.priority,
            budget: self.remaining(),
            crashes: self.crashes.load(Ordering::Relaxed),
            config_version: self.view.snapshot.version,
            is_detached: !self.service.idempotent,
            body,
        }
    }

    fn note_refusal(&self, route: &Route, refusal: Refusal) -> Attempted {
        let mut knowledge = self.runner.knowledge();
        match refusal.load {
            Some(load) if refusal.reason != Reason::Unreachable => {
                knowledge.note_load(&route.upstream, load);
            }
            _ => knowledge.avoid(&route.upstream),
        }
        Attempted::Refused(refusal)
    }

    fn discard(&self, route: &Route) -> Attempted {
        let event = Event::new(Kind::Discarded)
            .trace(self.trace)
            .with("upstream", &route.upstream);
        self.runner.telemetry.event(event);
        Attempted::Broken(Break::Unseen)
    }
}

fn unreachable_owner() -> Refusal {
    Refusal {
        reason: Reason::Unreachable,
        retry_after: RETRY_AFTER_OWNER,
        load: None,
    }
}

/// The request has ended; a stage of it in the background sends nothing more.
fn request_closed() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        retry_after: RETRY_AFTER_OWNER,
        load: None,
    }
}

/// Time in which the members replace an owner that cannot be reached.
const RETRY_AFTER_OWNER: std::time::Duration = std::time::Duration::from_secs(5);
