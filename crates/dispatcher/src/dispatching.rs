//! Handling of one dispatch: admission, the call to the upstream, relaying of its answer, and crash
//! tracking.

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
use crate::owned::OwnedUpstream;
use crate::owned::Permit;
use crate::upstream::Answer;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Endpoint;
use crate::upstream::Piece;

/// Default retry delay after a refusal, such as one that depends on membership or configuration.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Retry delay after a refusal because the owner is stopping or the upstream is unreachable or
/// drained.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_secs(2);

/// How an admitted call ended.
enum CallEnd {
    Complete,
    Broken(Cause),
    NotSent,
    /// The gateway closed the stream, and the call could be cancelled.
    Cancelled,
}

/// A dispatch that was admitted, with what its call needs.
struct AdmittedCall<'a> {
    owned: &'a OwnedUpstream,
    dispatch: &'a Dispatch,
    endpoint: Endpoint,
    deadline: Instant,
    replies: &'a mpsc::Sender<Reply>,
}

impl Node {
    /// Runs one stage attempt at its upstream and reports its progress to the gateway.
    pub(crate) async fn dispatch(&self, dispatch: Dispatch, replies: mpsc::Sender<Reply>) {
        let deadline = Instant::now() + dispatch.budget;
        let (owned, endpoint) = match self.check_admission(&dispatch) {
            Ok(found) => found,
            Err(reason) => return self.refuse(&dispatch, reason, None, &replies).await,
        };
        let permit = tokio::select! {
            biased;
            permit = self.acquire_permit(&owned, &dispatch, deadline) => permit,
            // The gateway closed the stream while the call was queued; nothing was sent.
            () = replies.closed() => return,
        };
        let permit = match permit {
            Ok(permit) => permit,
            Err(reason) => return self.refuse(&dispatch, reason, Some(&owned), &replies).await,
        };
        // Ownership, fence and configuration may have changed while the call was queued, so they
        // are checked again right before it is sent.
        let refusal_reason = self.lock().refusal_reason(&owned, Instant::now());
        if let Some(reason) = refusal_reason {
            drop(permit);
            return self.refuse(&dispatch, reason, Some(&owned), &replies).await;
        }
        if replies.send(progress_reply(Progress::Sent)).await.is_err() {
            return;
        }
        let admitted = AdmittedCall {
            owned: &owned,
            dispatch: &dispatch,
            endpoint,
            deadline: match dispatch.is_detached {
                true => deadline + LATE_ANSWER_GRACE,
                false => deadline,
            },
            replies: &replies,
        };
        self.run_call(admitted, permit).await;
        self.notify_new_owner(&owned);
    }

    /// Looks up the upstream and checks that this dispatcher may accept the dispatch.
    fn check_admission(
        &self,
        dispatch: &Dispatch,
    ) -> Result<(Arc<OwnedUpstream>, Endpoint), Reason> {
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
        if let Some(reason) = state.refusal_reason(&owned, Instant::now()) {
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

    /// Queues the call until it is admitted or refused, or `deadline` passes.
    async fn acquire_permit<'a>(
        &self,
        owned: &'a OwnedUpstream,
        dispatch: &Dispatch,
        deadline: Instant,
    ) -> Result<Permit<'a>, Reason> {
        let (weight, is_suspect) = {
            let state = self.lock();
            let workspaces = &state.snapshot.deployment.workspaces;
            let weight = workspaces
                .get(&dispatch.workspace)
                .map_or(1, |it| it.weight);
            let is_known_suspect = state.membership.is_crash_suspect(dispatch.fingerprint);
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
        let queued_call = owned.enqueue(ticket, Instant::now())?;
        match tokio::time::timeout_at(deadline, queued_call.permit()).await {
            Ok(permit) => permit,
            Err(_) => Err(Reason::Expired),
        }
    }

    async fn refuse(
        &self,
        dispatch: &Dispatch,
        reason: Reason,
        owned: Option<&OwnedUpstream>,
        replies: &mpsc::Sender<Reply>,
    ) {
        self.telemetry.count("dispatch.refused", 1);
        let now = Instant::now();
        let retry_after = match (reason, owned) {
            (
                Reason::QueueFull | Reason::DeadlineTooShort | Reason::Expired | Reason::TakingOver,
                Some(owned),
            ) => owned.retry_after(now),
            (Reason::Stopping | Reason::Unreachable | Reason::Drained, _) => {
                RETRY_AFTER_UNAVAILABLE
            }
            _ => RETRY_AFTER_DEFAULT,
        };
        let event = Event::new(Kind::Refused)
            .trace(dispatch.trace)
            .with("upstream", &dispatch.upstream)
            .with("reason", reason);
        self.telemetry.event(event);
        let refusal = Refusal {
            reason,
            retry_after,
            load: owned.map(OwnedUpstream::load),
        };
        let _ = replies
            .send(progress_reply(Progress::Refused(refusal)))
            .await;
    }

    async fn run_call(&self, admitted: AdmittedCall<'_>, permit: Permit<'_>) {
        let dispatch = admitted.dispatch;
        let sent = Event::new(Kind::Sent)
            .trace(dispatch.trace)
            .with("attempt", dispatch.attempt)
            .with("upstream", &dispatch.upstream);
        self.telemetry.event(sent);
        let start = Instant::now();
        let mut pieces = 0;
        let (end, unread_answer) = self.call_upstream(&admitted, &mut pieces).await;
        let elapsed = start.elapsed();
        let latency = match admitted.endpoint.protocol {
            Protocol::Plain => elapsed,
            Protocol::Engine => elapsed / pieces.max(1),
        };
        let finish = FinishedCall {
            outcome: limiter_outcome(&end),
            latency,
            elapsed,
        };
        self.telemetry
            .time_ms("upstream.call", elapsed.as_millis() as u64);
        let Some(unread_answer) = unread_answer.filter(|_| dispatch.is_detached) else {
            permit.finish(finish);
            return self.report_end(&admitted, end).await;
        };
        // A detached call is not cancelled and runs on at the upstream, so it keeps its in-flight
        // slot until its answer ends.
        self.report_end(&admitted, end).await;
        let _ = tokio::time::timeout_at(admitted.deadline, discard_answer(unread_answer)).await;
        permit.finish(finish);
    }

    /// Calls the upstream and relays its answer. An answer with another attempt id is not relayed
    /// but returned unread.
    async fn call_upstream(
        &self,
        admitted: &AdmittedCall<'_>,
        pieces: &mut u32,
    ) -> (CallEnd, Option<Answer>) {
        let dispatch = admitted.dispatch;
        let call = Call {
            attempt: dispatch.attempt,
            budget: admitted.deadline.saturating_duration_since(Instant::now()),
            body: dispatch.body.clone(),
        };
        let answer = tokio::select! {
            biased;
            // Polled first, so that a process that was suspended past the deadline does not send
            // the call when it resumes.
            () = tokio::time::sleep_until(admitted.deadline) => {
                return (CallEnd::Broken(Cause::Deadline), None);
            }
            answer = self.upstreams.call(admitted.endpoint, call) => answer,
            () = admitted.replies.closed(), if !dispatch.is_detached => {
                return (CallEnd::Cancelled, None);
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(CallError::NotSent) => return (CallEnd::NotSent, None),
            Err(CallError::Broken(cause)) => return (CallEnd::Broken(cause), None),
        };
        if answer.attempt != dispatch.attempt {
            let event = Event::new(Kind::Discarded)
                .trace(dispatch.trace)
                .with("attempt", dispatch.attempt)
                .with("echoed", answer.attempt);
            self.telemetry.event(event);
            self.telemetry.count("answers.crossed", 1);
            return (CallEnd::Broken(Cause::CrossedAnswer), Some(answer));
        }
        (self.relay_answer(admitted, answer, pieces).await, None)
    }

    /// Relays the pieces of an answer to the gateway and counts them in `pieces`.
    async fn relay_answer(
        &self,
        admitted: &AdmittedCall<'_>,
        mut answer: Answer,
        pieces: &mut u32,
    ) -> CallEnd {
        let dispatch = admitted.dispatch;
        invariant::check(
            Invariant::AnswerMatchesAttempt,
            answer.attempt == dispatch.attempt,
        );
        loop {
            let piece = tokio::select! {
                biased;
                piece = answer.pieces.recv() => piece,
                () = tokio::time::sleep_until(admitted.deadline) => {
                    return CallEnd::Broken(Cause::Deadline);
                }
                () = admitted.replies.closed(), if !dispatch.is_detached =>
                    return CallEnd::Cancelled,
            };
            let part = match piece {
                Some(Ok(Piece::Part(part))) => part,
                Some(Ok(Piece::End)) => return CallEnd::Complete,
                Some(Err(cause)) => return CallEnd::Broken(cause),
                None => return CallEnd::Broken(Cause::Connection),
            };
            *pieces += 1;
            let delivered = admitted
                .replies
                .send(progress_reply(Progress::Part(part)))
                .await;
            if delivered.is_err() && !dispatch.is_detached {
                return CallEnd::Cancelled;
            }
        }
    }

    /// Reports the end of the call to the gateway and records a crash of the upstream.
    async fn report_end(&self, admitted: &AdmittedCall<'_>, end: CallEnd) {
        let dispatch = admitted.dispatch;
        let load = admitted.owned.load();
        let (kind, final_progress) = match end {
            CallEnd::Complete => {
                self.clear_suspect(dispatch);
                let attempt = dispatch.attempt;
                (Kind::Finished, Progress::Finished { attempt, load })
            }
            CallEnd::Cancelled => return,
            CallEnd::NotSent => {
                return self
                    .refuse(
                        dispatch,
                        Reason::Unreachable,
                        Some(admitted.owned),
                        admitted.replies,
                    )
                    .await;
            }
            CallEnd::Broken(cause) => {
                let is_crash = cause == Cause::Connection && self.is_down(admitted).await;
                let cause = if is_crash { Cause::Crashed } else { cause };
                if is_crash {
                    self.record_crash(admitted);
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
        if let Progress::Broken { cause, .. } = &final_progress {
            event = event.with("cause", cause);
        }
        self.telemetry.event(event);
        let _ = admitted.replies.send(progress_reply(final_progress)).await;
    }

    /// Returns whether the upstream refuses connections. If it still accepts them, a broken
    /// connection was not a crash.
    async fn is_down(&self, admitted: &AdmittedCall<'_>) -> bool {
        !self.upstreams.probe(admitted.endpoint).await
    }

    /// Records a crash of the upstream against the fingerprint of the request that was running.
    fn record_crash(&self, admitted: &AdmittedCall<'_>) {
        let fingerprint = admitted.dispatch.fingerprint;
        let crash = Crash {
            fingerprint,
            attempt: admitted.dispatch.attempt,
            is_cleared: false,
        };
        let is_quarantined = {
            let mut state = self.lock();
            state.membership.report_crash(crash, Instant::now());
            state.membership.is_quarantined(fingerprint)
        };
        self.telemetry.count("upstream.crash_suspects", 1);
        if is_quarantined {
            let event = Event::new(Kind::Quarantined)
                .trace(admitted.dispatch.trace)
                .with("fingerprint", fingerprint);
            self.telemetry.event(event);
        }
        self.announce();
    }

    /// Clears a completed request of the suspicion of crashing upstreams.
    fn clear_suspect(&self, dispatch: &Dispatch) {
        let now = Instant::now();
        let was_suspect = {
            let mut state = self.lock();
            state
                .membership
                .clear_crash_suspect(dispatch.fingerprint, now)
        };
        if was_suspect {
            self.announce();
        }
    }

    /// If this dispatcher no longer owns the upstream, sends the new owner the number of calls
    /// still in flight.
    fn notify_new_owner(&self, owned: &OwnedUpstream) {
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

/// Reads an answer to its end and discards it.
async fn discard_answer(mut answer: Answer) {
    while let Some(Ok(Piece::Part(_))) = answer.pieces.recv().await {}
}

fn progress_reply(progress: Progress) -> Reply {
    Reply::Dispatch(progress)
}

fn limiter_outcome(end: &CallEnd) -> Outcome {
    match end {
        CallEnd::Complete => Outcome::Good,
        CallEnd::Cancelled => Outcome::Cancelled,
        CallEnd::NotSent | CallEnd::Broken(Cause::Connection) => Outcome::Disconnected,
        CallEnd::Broken(Cause::Overloaded) => Outcome::Overloaded,
        CallEnd::Broken(_) => Outcome::Failed,
    }
}
