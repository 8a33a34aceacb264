//! One dispatch: admission, the call, its answer and the evidence that it leaves.

use std::sync::Arc;
use std::time::Duration;

use base::Executed;
use base::invariant;
use base::invariant::Invariant;
use config::model::Protocol;
use limits::FinishedCall;
use limits::Outcome;
use limits::Ticket;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::Reply;
use wire::dispatch::Cause;
use wire::dispatch::Dispatch;
use wire::dispatch::LATE_ANSWER_GRACE;
use wire::dispatch::Progress;
use wire::dispatch::Reason;
use wire::dispatch::Refusal;
use wire::member::Crash;

use crate::node::Node;
use crate::owned::Owned;
use crate::owned::Permit;
use crate::upstream::Answer;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Endpoint;
use crate::upstream::Piece;

/// Time after which a refusal for reasons of membership or configuration is worth another try.
const RETRY_SOON: Duration = Duration::from_millis(500);
/// Time after which a stopping or unreachable upstream is worth another try.
const RETRY_LATER: Duration = Duration::from_secs(2);

/// How a sent call ended.
enum Ended {
    Whole,
    Broken(Cause),
    NotSent,
    /// The asker has gone, and the call could be cancelled.
    Cancelled,
}

/// What a dispatch needs once it may be sent.
struct InFlight<'a> {
    owned: &'a Owned,
    dispatch: &'a Dispatch,
    endpoint: Endpoint,
    deadline: Instant,
    replies: &'a mpsc::Sender<Reply>,
}

impl Node {
    /// Runs one stage attempt and reports its progress.
    pub(crate) async fn dispatch(&self, dispatch: Dispatch, replies: mpsc::Sender<Reply>) {
        let deadline = Instant::now() + dispatch.budget;
        let (owned, endpoint) = match self.admissible(&dispatch) {
            Ok(found) => found,
            Err(reason) => return self.refuse(&dispatch, reason, None, &replies).await,
        };
        let permit = tokio::select! {
            biased;
            permit = self.queue(&owned, &dispatch, deadline) => permit,
            // Nothing was sent, and nobody listens any more.
            () = replies.closed() => return,
        };
        let permit = match permit {
            Ok(permit) => permit,
            Err(reason) => return self.refuse(&dispatch, reason, Some(&owned), &replies).await,
        };
        // Time has passed in the queue: everything is checked again at the moment of sending.
        let objection = self.lock().objection(&owned, Instant::now());
        if let Some(reason) = objection {
            drop(permit);
            return self.refuse(&dispatch, reason, Some(&owned), &replies).await;
        }
        if replies.send(progress(Progress::Sent)).await.is_err() {
            return;
        }
        let flight = InFlight {
            owned: &owned,
            dispatch: &dispatch,
            endpoint,
            deadline: match dispatch.is_detached {
                true => deadline + LATE_ANSWER_GRACE,
                false => deadline,
            },
            replies: &replies,
        };
        self.run_call(flight, permit).await;
        self.hand_over_rest(&owned);
    }

    /// Finds the upstream, if this dispatcher may take new work for it.
    fn admissible(&self, dispatch: &Dispatch) -> Result<(Arc<Owned>, Endpoint), Reason> {
        let mut state = self.lock();
        state.note_version(dispatch.config_version, None);
        let snapshot = state.snapshot.clone();
        if snapshot.version == 0 {
            return Err(Reason::NotReady);
        }
        let deployment = &snapshot.deployment;
        let (service, upstream) = deployment
            .upstream(&dispatch.upstream)
            .ok_or(Reason::UnknownUpstream)?;
        let owned = state.owned.get(&dispatch.upstream).cloned();
        let owned = owned.ok_or(Reason::NotOwner)?;
        if let Some(reason) = state.objection(&owned, Instant::now()) {
            return Err(reason);
        }
        if state.membership.is_quarantined(dispatch.fingerprint) {
            return Err(Reason::Quarantined);
        }
        let endpoint = Endpoint {
            address: upstream.address,
            protocol: service.protocol,
        };
        Ok((owned, endpoint))
    }

    async fn queue<'a>(
        &self,
        owned: &'a Owned,
        dispatch: &Dispatch,
        deadline: Instant,
    ) -> Result<Permit<'a>, Reason> {
        let (weight, is_suspect) = {
            let state = self.lock();
            let workspaces = &state.snapshot.deployment.workspaces;
            let weight = workspaces
                .get(&dispatch.workspace)
                .map_or(1, |it| it.weight);
            let is_known_suspect = state.membership.is_suspect(dispatch.fingerprint);
            (weight, is_known_suspect || dispatch.crashes > 0)
        };
        let ticket = |id| Ticket {
            id,
            workspace: dispatch.workspace.clone(),
            weight,
            priority: dispatch.priority,
            deadline,
            is_suspect,
        };
        let waiting = owned.offer(ticket, Instant::now())?;
        match tokio::time::timeout_at(deadline, waiting.permit()).await {
            Ok(permit) => permit,
            Err(_) => Err(Reason::Expired),
        }
    }

    async fn refuse(
        &self,
        dispatch: &Dispatch,
        reason: Reason,
        owned: Option<&Owned>,
        replies: &mpsc::Sender<Reply>,
    ) {
        self.telemetry.count("dispatch.refused", 1);
        let now = Instant::now();
        let retry_after = match (reason, owned) {
            (
                Reason::QueueFull | Reason::DeadlineTooShort | Reason::Expired | Reason::TakingOver,
                Some(owned),
            ) => owned.retry_after(now),
            (Reason::Stopping | Reason::Unreachable | Reason::Drained, _) => RETRY_LATER,
            _ => RETRY_SOON,
        };
        let event = Event::new(Kind::Refused)
            .trace(dispatch.trace)
            .with("upstream", &dispatch.upstream)
            .with("reason", reason);
        self.telemetry.event(event);
        let refusal = Refusal {
            reason,
            retry_after,
            load: owned.map(Owned::load),
        };
        let _ = replies.send(progress(Progress::Refused(refusal))).await;
    }

    async fn run_call(&self, flight: InFlight<'_>, permit: Permit<'_>) {
        let dispatch = flight.dispatch;
        let sent = Event::new(Kind::Sent)
            .trace(dispatch.trace)
            .with("attempt", dispatch.attempt)
            .with("upstream", &dispatch.upstream);
        self.telemetry.event(sent);
        let start = Instant::now();
        let mut pieces = 0;
        let (ended, rest) = self.call(&flight, &mut pieces).await;
        let elapsed = start.elapsed();
        let latency = match flight.endpoint.protocol {
            Protocol::Plain => elapsed,
            Protocol::Engine => elapsed / pieces.max(1),
        };
        let finish = FinishedCall {
            outcome: outcome(&ended),
            latency,
            elapsed,
        };
        self.telemetry
            .time_ms("upstream.call", elapsed.as_millis() as u64);
        let Some(rest) = rest.filter(|_| dispatch.is_detached) else {
            permit.finish(finish);
            return self.conclude(&flight, ended).await;
        };
        // The upstream goes on with a call that cannot be cancelled, so its place stays taken.
        self.conclude(&flight, ended).await;
        let _ = tokio::time::timeout_at(flight.deadline, exhaust(rest)).await;
        permit.finish(finish);
    }

    /// Makes the call. An answer that is not waited for is handed back.
    async fn call(&self, flight: &InFlight<'_>, pieces: &mut u32) -> (Ended, Option<Answer>) {
        let dispatch = flight.dispatch;
        let call = Call {
            attempt: dispatch.attempt,
            budget: flight.deadline.saturating_duration_since(Instant::now()),
            body: dispatch.body.clone(),
        };
        let answer = tokio::select! {
            biased;
            // A process that was frozen past the deadline sends nothing when it wakes.
            () = tokio::time::sleep_until(flight.deadline) => {
                return (Ended::Broken(Cause::Deadline), None);
            }
            answer = self.upstreams.call(flight.endpoint, call) => answer,
            () = flight.replies.closed(), if !dispatch.is_detached => {
                return (Ended::Cancelled, None);
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(CallError::NotSent) => return (Ended::NotSent, None),
            Err(CallError::Broken(cause)) => return (Ended::Broken(cause), None),
        };
        if answer.attempt != dispatch.attempt {
            let event = Event::new(Kind::Discarded)
                .trace(dispatch.trace)
                .with("attempt", dispatch.attempt)
                .with("echoed", answer.attempt);
            self.telemetry.event(event);
            self.telemetry.count("answers.crossed", 1);
            return (Ended::Broken(Cause::CrossedAnswer), Some(answer));
        }
        (self.pump(flight, answer, pieces).await, None)
    }

    /// Moves the pieces of an answer to the asker.
    async fn pump(&self, flight: &InFlight<'_>, mut answer: Answer, pieces: &mut u32) -> Ended {
        let dispatch = flight.dispatch;
        invariant::check(
            Invariant::AnswerMatchesAttempt,
            answer.attempt == dispatch.attempt,
        );
        loop {
            let piece = tokio::select! {
                biased;
                piece = answer.pieces.recv() => piece,
                () = tokio::time::sleep_until(flight.deadline) => {
                    return Ended::Broken(Cause::Deadline);
                }
                () = flight.replies.closed(), if !dispatch.is_detached => return Ended::Cancelled,
            };
            let part = match piece {
                Some(Ok(Piece::Part(part))) => part,
                Some(Ok(Piece::End)) => return Ended::Whole,
                Some(Err(cause)) => return Ended::Broken(cause),
                None => return Ended::Broken(Cause::Connection),
            };
            *pieces += 1;
            let delivered = flight.replies.send(progress(Progress::Part(part))).await;
            if delivered.is_err() && !dispatch.is_detached {
                return Ended::Cancelled;
            }
        }
    }

    /// Tells the asker how the call ended and keeps the evidence of a crash.
    async fn conclude(&self, flight: &InFlight<'_>, ended: Ended) {
        let dispatch = flight.dispatch;
        let load = flight.owned.load();
        let (kind, last) = match ended {
            Ended::Whole => {
                self.clear_suspect(dispatch);
                let attempt = dispatch.attempt;
                (Kind::Finished, Progress::Finished { attempt, load })
            }
            Ended::Cancelled => return,
            Ended::NotSent => {
                return self
                    .refuse(
                        dispatch,
                        Reason::Unreachable,
                        Some(flight.owned),
                        flight.replies,
                    )
                    .await;
            }
            Ended::Broken(cause) => {
                let is_crash = cause == Cause::Connection && self.is_down(flight).await;
                let cause = if is_crash { Cause::Crashed } else { cause };
                if is_crash {
                    self.note_crash(flight);
                }
                let executed = match cause {
                    Cause::CrossedAnswer | Cause::Protocol => Executed::Yes,
                    _ => Executed::Unknown,
                };
                let broken = Progress::Broken {
                    cause,
                    executed,
                    load,
                };
                (Kind::Broken, broken)
            }
        };
        let mut event = Event::new(kind)
            .trace(dispatch.trace)
            .with("attempt", dispatch.attempt)
            .with("upstream", &dispatch.upstream);
        if let Progress::Broken { cause, .. } = &last {
            event = event.with("cause", cause);
        }
        self.telemetry.event(event);
        let _ = flight.replies.send(progress(last)).await;
    }

    /// A cut connection to an upstream that still listens is not a crash.
    async fn is_down(&self, flight: &InFlight<'_>) -> bool {
        !self.upstreams.probe(flight.endpoint).await
    }

    /// Counts a crash against the request that was running.
    fn note_crash(&self, flight: &InFlight<'_>) {
        let fingerprint = flight.dispatch.fingerprint;
        let crash = Crash {
            fingerprint,
            attempt: flight.dispatch.attempt,
            is_cleared: false,
        };
        let is_poison = {
            let mut state = self.lock();
            state.membership.crash(crash, Instant::now());
            state.membership.is_quarantined(fingerprint)
        };
        self.telemetry.count("upstream.crash_suspects", 1);
        if is_poison {
            let event = Event::new(Kind::Quarantined)
                .trace(flight.dispatch.trace)
                .with("fingerprint", fingerprint);
            self.telemetry.event(event);
        }
        self.announce();
    }

    /// A request that completes has not crashed its upstream.
    fn clear_suspect(&self, dispatch: &Dispatch) {
        let now = Instant::now();
        let was_suspect = {
            let mut state = self.lock();
            state.membership.clear_suspect(dispatch.fingerprint, now)
        };
        if was_suspect {
            self.announce();
        }
    }

    /// Tells the new owner of a given-up upstream that one of its inherited calls has ended.
    fn hand_over_rest(&self, owned: &Owned) {
        if owned.is_owner() {
            return;
        }
        let state = self.lock();
        let owner = state.owner_of(&owned.upstream).cloned();
        let handover = state.handover(owned, false, Instant::now());
        drop(state);
        if let Some(owner) = owner {
            self.send_handover(owner.address, handover);
        }
    }
}

/// Reads an answer that nobody wants to its end.
async fn exhaust(mut answer: Answer) {
    while let Some(Ok(Piece::Part(_))) = answer.pieces.recv().await {}
}

fn progress(progress: Progress) -> Reply {
    Reply::Dispatch(progress)
}

fn outcome(ended: &Ended) -> Outcome {
    match ended {
        Ended::Whole => Outcome::Good,
        Ended::Cancelled => Outcome::Cancelled,
        Ended::NotSent | Ended::Broken(Cause::Connection) => Outcome::Disconnected,
        Ended::Broken(Cause::Overloaded) => Outcome::Overloaded,
        Ended::Broken(_) => Outcome::Failed,
    }
}
