//! One request: its steps, its sends and its answer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use base::hash;
use base::id;
use bytes::Bytes;
use catalog::Kind;
use catalog::Route;
use catalog::Upstream;
use catalog::Workspace;
use forwarding::choice;
use forwarding::life::Cause;
use forwarding::life::Failure;
use forwarding::life::Life;
use forwarding::life::Pending;
use forwarding::life::Sent;
use forwarding::stop::Stop;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use platform::front::Head;
use platform::upstream;
use platform::upstream::Additions;
use platform::upstream::Answer;
use stages::Handle;
use stages::Refusal;
use stages::Shard;
use stages::Step;
use tokio::time::Instant;
use wire::steps::Engines;
use wire::steps::Prepare;

use crate::channel;
use crate::channel::Channel;
use crate::clock;
use crate::follow;
use crate::prepare;
use crate::prepare::Ready;
use crate::prepare::Wanted;
use crate::relay::Relay;
use crate::state::Node;

/// Kept connections idle for longer are not used for requests that cannot be repeated: a reset
/// after the first byte would leave their outcome unknown.
const IDLE_UNREPEATABLE: Duration = Duration::from_millis(200);
/// The same for requests that can be repeated.
const IDLE_REPEATABLE: Duration = Duration::from_millis(900);
/// Upstreams that are tried without the request having run anywhere.
const UNSENT_TRIES_MAX: u32 = 5;
/// Time kept back from the deadline to answer within it.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Time between looks at what a waiting request has left.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between looks at cold limits that are all used up.
const COLD_PAUSE: Duration = Duration::from_millis(40);
/// Part of the goal for which a request waits for a cold limit.
const COLD_WAIT: f64 = 0.4;
/// Time to come back that is told where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Another instance takes the request at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Shortest time before a repeatable request without an answer is sent elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(250);
/// A repeatable request is sent elsewhere after this multiple of the usual time to answer.
const SILENCE_FACTOR: f64 = 6.0;
/// Shared tokens of a prompt from which on reading them again costs more than moving results
/// between zones: 2.5 results of 1.5 MB against 2,500 tokens at the prices of both users.
const HOME_TOKENS_MIN: u64 = 1_000;
/// Engines that the owner may choose from, of each zone where the zone matters.
const ENGINE_CHOICES: usize = 3;
/// Time from the last step to the first event before any was measured.
const ENGINE_TIME: Duration = Duration::from_millis(250);

/// A request as its client sent it, with what the configuration says of it.
#[derive(Debug)]
pub struct Ask {
    /// Id of the client attempt.
    pub request: String,
    /// What its headers say.
    pub head: Head,
    /// Method.
    pub method: Method,
    /// Path and query, byte by byte.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Route,
    /// Workspace of its key.
    pub workspace: Option<Workspace>,
    /// Whether the configuration has workspaces.
    pub has_keys: bool,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When its header had been read.
    pub received: Instant,
    /// Suspension of the machine until then.
    pub suspended: Duration,
    /// Path, workspace and body.
    pub fingerprint: id::Fingerprint,
    /// The stop of this process, once it has begun.
    pub stop: Arc<OnceLock<Stop>>,
}

impl Ask {
    /// Time that the request has left, within this process's stop and without the time in which the machine was suspended.
    #[must_use]
    pub fn left(&self) -> Duration {
        let client = self.head.deadline.unwrap_or(self.route.timeout);
        let total = client.min(self.route.timeout);
        let slept = clock::suspended().saturating_sub(self.suspended);
        let left = total.saturating_sub(self.received.elapsed() + slept);
        let stop = self.stop.get().map(Stop::answers_until);
        let until_stop = stop.map(|it| it.saturating_duration_since(Instant::now()));
        left.min(until_stop.unwrap_or(left))
    }

    /// Completes when the request has less than [`ANSWER_MARGIN`] left. A stop that begins, or a
    /// suspension, shortens the time on the way.
    pub async fn expired(&self) {
        loop {
            let left = self.left().saturating_sub(ANSWER_MARGIN);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(EXPIRY_INTERVAL)).await;
        }
    }

    /// When the answer must have been given.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.left()
    }

    /// When the answer is of full use.
    #[must_use]
    pub fn aim(&self) -> Instant {
        self.received + self.route.goal
    }

    /// Identifies the part of the prompt that requests of one session or document share.
    #[must_use]
    pub fn prompt(&self) -> Option<u64> {
        let parts = &self.head.prompt;
        let shared = parts.len().checked_sub(2).or(parts.len().checked_sub(1))?;
        let ids = parts[..=shared].iter().map(|it| it.id.as_str());
        Some(hash::of_strs(ids))
    }

    /// Whether the engine that keeps the shared part of the prompt is worth going to in any zone.
    fn has_home(&self) -> bool {
        let parts = &self.head.prompt;
        let shared = parts.iter().take(parts.len().saturating_sub(1));
        shared.map(|it| it.tokens).sum::<u64>() >= HOME_TOKENS_MIN
    }

    fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    fn idle_max(&self) -> Duration {
        if self.is_repeatable() {
            IDLE_REPEATABLE
        } else {
            IDLE_UNREPEATABLE
        }
    }

    /// A time to come back that the client honours: within a third of what it has left.
    #[must_use]
    pub fn retry_after(&self, wanted: Duration) -> Duration {
        wanted.min(self.left().mul_f64(0.3))
    }
}

/// The answer to a client.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

/// Body of an answer.
pub enum Body {
    /// A whole body.
    Whole(Bytes),
    /// Events as they arrive.
    Events(Box<Relay>),
}

/// Evidence about one send; ends with it.
pub struct Sending {
    node: Arc<Node>,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    send: u64,
}

impl Sending {
    fn begin(node: &Arc<Node>, upstream: &Arc<Upstream>) -> Sending {
        let send = node.limits().sent(&upstream.name, Instant::now());
        Sending {
            node: node.clone(),
            upstream: upstream.clone(),
            send,
        }
    }

    fn answered(&self, is_failure: bool) {
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.answered(self.send, is_failure, Instant::now());
    }

    /// Notes that the send broke.
    pub fn broke(&self) {
        let mut limits = self.node.limits();
        let health = limits.health(&self.upstream.name);
        health.broke(self.send, Instant::now());
    }

    fn unreachable(&self) {
        let mut limits = self.node.limits();
        limits
            .health(&self.upstream.name)
            .unreachable(Instant::now());
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let mut limits = self.node.limits();
        limits.health(&self.upstream.name).ended(self.send);
    }
}

/// How one send ended.
enum Attempt {
    Answered(Reply),
    /// A signed failure, and the request as it would be sent again.
    Failed(Reply, Life<Sent>),
    NotRun(Pending, Cause),
    /// Results of its steps no longer exist.
    ResultsGone(Pending),
    Lost(Life<Sent>, Cause),
}

/// Serves a request.
///
/// # Errors
///
/// Fails with an answer of this system's own.
pub async fn run(node: &Arc<Node>, ask: &Arc<Ask>) -> Result<Reply, Failure> {
    let mut pending = Pending::default();
    let service = match ask.route.target(&ask.request) {
        Some(service) => service.clone(),
        None => return Err(pending.end(Cause::NoUpstream, RETRY_AFTER)),
    };
    let stop = ask.stop.get();
    if stop.is_some_and(|it| !it.accepts(ask.received)) {
        return Err(pending.end(Cause::Stopping, STOPPING_RETRY));
    }
    node.limits().request(&service, Instant::now());
    let mut results: Option<Ready> = None;
    let mut tries = 0;
    let mut last: Option<id::Upstream> = None;
    loop {
        if let Some(wanted) = wanted(node, ask, &service).filter(|_| results.is_none()) {
            let prepared = tokio::select! {
                biased;
                prepared = prepare::run(node, &wanted) => prepared,
                () = ask.expired() => Err(Refusal::TooLate(Duration::ZERO)),
            };
            match prepared {
                Ok(prepared) => results = Some(prepared),
                Err(refusal) => return Err(give_up(ask, pending, &refusal)),
            }
        }
        tries += 1;
        let attempt = attempt(node, ask, &service, pending, &mut results, &mut last).await;
        pending = match attempt {
            Err(failure) => return Err(failure),
            Ok(Attempt::Answered(reply)) => return Ok(reply),
            Ok(Attempt::Failed(reply, life)) => {
                let is_allowed = life.sends() < ask.route.attempts && ask.is_repeatable();
                if !is_allowed || !take_retry(node, &service) {
                    return Ok(reply);
                }
                Pending::Unknown(life.lost())
            }
            Ok(Attempt::NotRun(pending, cause)) => {
                let is_in_time = ask.left() > ANSWER_MARGIN && tries < UNSENT_TRIES_MAX;
                if !is_in_time {
                    return Err(pending.end(cause, ask.retry_after(RETRY_AFTER)));
                }
                pending
            }
            Ok(Attempt::ResultsGone(pending)) => {
                results = None;
                if tries >= UNSENT_TRIES_MAX || !take_retry(node, &service) {
                    return Err(pending.end(Cause::StepsFailed, ask.retry_after(RETRY_AFTER)));
                }
                pending
            }
            Ok(Attempt::Lost(life, cause)) => {
                let is_allowed = life.sends() < ask.route.attempts && ask.is_repeatable();
                let is_in_time = ask.left() > ANSWER_MARGIN;
                let life = life.lost();
                if !is_allowed || !is_in_time || !take_retry(node, &service) {
                    return Err(life.fail(cause));
                }
                Pending::Unknown(life)
            }
        };
        slog::info!(node.logger(), "retried"; "request" => &ask.request, "tries" => tries,
            "sends" => pending.sends(), "left_ms" => ask.left().as_millis() as u64);
    }
}

/// Continues a stream that broke, at another upstream, after the event that the client has.
pub async fn resume(
    node: &Arc<Node>,
    ask: &Arc<Ask>,
    lost: &Upstream,
    sends: u32,
    last_event: Option<u64>,
) -> Option<(Channel, Incoming, Sending)> {
    if sends >= ask.route.attempts || !take_retry(node, &lost.service) {
        return None;
    }
    // The results of its steps were freed at the first event.
    let ready = match wanted(node, ask, &lost.service) {
        Some(wanted) => Some(prepare::run(node, &wanted).await.ok()?),
        None => None,
    };
    let prepared = ready.as_ref().map(|it| &it.prepared);
    let handles = prepared.map_or(&[][..], |it| &it.handles);
    let wish = Wish {
        zone: prepared.and_then(|it| it.zone.as_ref()),
        engine: ready.as_ref().and_then(|it| it.engine.as_ref()),
        except: Some(&lost.name),
    };
    let connected = connect(node, ask, &lost.service, &wish).await;
    let (upstream, mut channel) = connected.ok()?;
    let (request, sending) = outgoing(node, ask, &upstream, handles, last_event);
    slog::info!(node.logger(), "stream_resumed"; "request" => &ask.request,
        "from" => %lost.name, "to" => %upstream.name, "last_event" => last_event);
    let response = tokio::time::timeout(ask.left(), channel.send(request));
    let response = response.await.ok()?.ok()?;
    let answer = Answer::read(response.status(), response.headers());
    let is_usable = answer.status.is_success()
        && answer.is_signed
        && answer.request.as_deref() == Some(&ask.request);
    sending.answered(!is_usable);
    is_usable.then(|| (channel, response.into_body(), sending))
}

fn take_retry(node: &Node, service: &id::Service) -> bool {
    let members = node.member_count();
    let is_taken = node.limits().take_retry(service, members, Instant::now());
    if !is_taken {
        node.telemetry
            .count_of("retry_budget.empty", service.as_str(), 1);
    }
    is_taken
}

fn give_up(ask: &Ask, pending: Pending, refusal: &Refusal) -> Failure {
    let (cause, wanted) = match refusal {
        Refusal::TooLate(drain) => (Cause::StepsTooLate, (*drain).max(RETRY_AFTER)),
        Refusal::NoUpstream => (Cause::NoUpstream, RETRY_AFTER),
        Refusal::Failed => (Cause::StepsFailed, RETRY_AFTER),
    };
    pending.end(cause, ask.retry_after(wanted))
}

/// What the owner is asked for: the steps of a request that has any, and an engine.
fn wanted(node: &Node, ask: &Ask, service: &id::Service) -> Option<Wanted> {
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
    let home = engines.choices.first().filter(|_| engines.has_home);
    Some(Wanted {
        prepare: Prepare {
            shard: Shard::Whole,
            request: ask.request.clone(),
            key: ask.head.piece_key.clone(),
            zone: home.map(|it| it.1.clone()),
            priority: ask.priority,
            aim: Duration::ZERO,
            deadline: Duration::ZERO,
            tail: ENGINE_TIME,
            steps,
            engines,
        },
        aim: ask.aim(),
        deadline: ask.deadline(),
    })
}

/// The best engines; of each zone, where the zone of the results is to decide.
fn engines(node: &Node, ask: &Ask, service: &id::Service) -> Engines {
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
    Engines { has_home, choices }
}

fn steps(ask: &Ask) -> Vec<Step> {
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

async fn attempt(
    node: &Arc<Node>,
    ask: &Arc<Ask>,
    service: &id::Service,
    pending: Pending,
    results: &mut Option<Ready>,
    last: &mut Option<id::Upstream>,
) -> Result<Attempt, Failure> {
    let prepared = results.as_ref().map(|it| &it.prepared);
    let zone = prepared.and_then(|it| it.zone.clone());
    let handles: Vec<Handle> = prepared.map_or_else(Vec::new, |it| it.handles.clone());
    let is_repeat = last.is_some();
    let engine = results.as_ref().and_then(|it| it.engine.clone());
    let wish = Wish {
        zone: zone.as_ref(),
        engine: engine.as_ref(),
        except: last.as_ref(),
    };
    let connected = connect(node, ask, service, &wish).await;
    let (upstream, mut channel) = match connected {
        Ok(connected) => connected,
        Err(cause) => {
            let retry_after = ask.retry_after(RETRY_AFTER);
            slog::info!(node.logger(), "not_sent"; "request" => &ask.request, "cause" => %cause,
                "placed_at" => engine.as_ref().map(id::Upstream::as_str),
                "prompt" => ask.prompt().map(|it| format!("{it:x}")));
            return Err(pending.end(cause, retry_after));
        }
    };
    *last = Some(upstream.name.clone());
    let left = ask.left();
    if left <= ANSWER_MARGIN {
        return Err(pending.end(Cause::Deadline, ask.retry_after(RETRY_AFTER)));
    }
    let usual = node.limits().health(&upstream.name).answer_time();
    let may_repeat = ask.is_repeatable() && pending.sends() + 1 < ask.route.attempts;
    let patience = patience(ask, usual, left, may_repeat);
    let (request, sending) = outgoing(node, ask, &upstream, &handles, None);
    let life = pending.send();
    slog::info!(node.logger(), "sent"; "request" => &ask.request,
        "upstream" => upstream.name.as_str(), "upstream_version" => upstream.version,
        "kept" => channel.is_kept, "repeat" => is_repeat, "results" => handles.len(),
        "placed" => engine.as_ref() == Some(&upstream.name),
        "prompt" => ask.prompt().map(|it| format!("{it:x}")),
        "left_ms" => left.as_millis() as u64);
    let response = tokio::select! {
        biased;
        response = channel.send(request) => response,
        () = tokio::time::sleep(patience) => Err(channel::Error::Silent),
        () = ask.expired() => Err(channel::Error::Silent),
    };
    let response = match response {
        Ok(response) => response,
        Err(channel::Error::Lost) => {
            return Ok(lost(node, ask, &sending, life, Cause::ConnectionLost));
        }
        Err(channel::Error::Silent) => {
            return Ok(lost(node, ask, &sending, life, Cause::Deadline));
        }
        Err(_) => return Ok(Attempt::NotRun(life.not_run(), Cause::NoUpstream)),
    };
    let answer = Answer::read(response.status(), response.headers());
    let is_own = answer.request.as_deref() == Some(&ask.request);
    if !is_own && !answer.is_not_run {
        slog::warn!(node.logger(), "foreign_answer"; "request" => &ask.request,
            "upstream" => upstream.name.as_str(), "answer_to" => answer.request.as_deref());
        return Ok(lost(node, ask, &sending, life, Cause::BadAnswer));
    }
    if answer.is_not_run && is_own {
        return Ok(not_run(node, ask, &sending, life, channel, &answer, response).await);
    }
    if !is_own {
        return Ok(lost(node, ask, &sending, life, Cause::BadAnswer));
    }
    let is_success = answer.status.is_success();
    if is_success && (!answer.is_signed || answer.is_encoded) {
        return Ok(lost(node, ask, &sending, life, Cause::BadAnswer));
    }
    if is_success && ask.route.kind.is_stream() {
        sending.answered(false);
        let sends = life.sends();
        let status = response.status();
        let headers = upstream::answer_headers(response.headers());
        let lease = results.take();
        let mut relay = Relay::new(
            node,
            ask,
            channel,
            response.into_body(),
            sending,
            sends,
            lease,
        );
        return Ok(match relay.begin().await {
            true => Attempt::Answered(Reply {
                status,
                headers,
                body: Body::Events(Box::new(relay)),
            }),
            false => {
                *results = relay.take_results();
                Attempt::Lost(life, Cause::ConnectionLost)
            }
        });
    }
    whole(node, ask, channel, sending, life, &answer, response).await
}

/// Time to wait for the head of an answer.
fn patience(ask: &Ask, usual: Option<Duration>, left: Duration, may_repeat: bool) -> Duration {
    let until_deadline = left.saturating_sub(ANSWER_MARGIN);
    if !may_repeat {
        return until_deadline;
    }
    let usual = usual.unwrap_or(ask.route.goal / 2).mul_f64(SILENCE_FACTOR);
    until_deadline.min(usual.max(SILENCE_MIN))
}

fn lost(node: &Arc<Node>, ask: &Ask, sending: &Sending, life: Life<Sent>, cause: Cause) -> Attempt {
    sending.broke();
    slog::warn!(node.logger(), "lost"; "request" => &ask.request,
        "upstream" => sending.upstream.name.as_str(), "cause" => %cause);
    if cause == Cause::ConnectionLost {
        crashed(node, ask.fingerprint, &sending.upstream.name);
    }
    Attempt::Lost(life, cause)
}

/// Puts a request under suspicion, here and at the other instances.
pub fn crashed(node: &Arc<Node>, fingerprint: id::Fingerprint, upstream: &id::Upstream) {
    let now = Instant::now();
    let quarantine = &mut node.limits().quarantine;
    if !quarantine.crashed(fingerprint, upstream.clone(), now) {
        return;
    }
    follow::report_crash(node, fingerprint, upstream);
}

async fn not_run(
    node: &Node,
    ask: &Ask,
    sending: &Sending,
    life: Life<Sent>,
    channel: Channel,
    answer: &Answer,
    response: Response<Incoming>,
) -> Attempt {
    slog::info!(node.logger(), "not_run"; "request" => &ask.request,
        "upstream" => sending.upstream.name.as_str(), "status" => answer.status.as_u16());
    sending.answered(true);
    let body = response.into_body().collect();
    let body = tokio::time::timeout(ask.left(), body).await;
    if matches!(body, Ok(Ok(_))) && !answer.is_last {
        channel.keep(answer.keep_alive).await;
    }
    let pending = life.not_run();
    match answer.status {
        StatusCode::CONFLICT => Attempt::ResultsGone(pending),
        StatusCode::MISDIRECTED_REQUEST => {
            sending.unreachable();
            Attempt::NotRun(pending, Cause::NoUpstream)
        }
        _ if take_retry(node, &sending.upstream.service) => Attempt::NotRun(pending, Cause::Full),
        _ => Attempt::NotRun(pending, Cause::RetryBudget),
    }
}

/// Holds a plain answer until it is whole.
async fn whole(
    node: &Arc<Node>,
    ask: &Arc<Ask>,
    channel: Channel,
    sending: Sending,
    life: Life<Sent>,
    answer: &Answer,
    response: Response<Incoming>,
) -> Result<Attempt, Failure> {
    let status = response.status();
    let headers = upstream::answer_headers(response.headers());
    let body = response.into_body().collect();
    let left = ask.left().saturating_sub(ANSWER_MARGIN);
    let bytes = match tokio::time::timeout(left, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Ok(lost(node, ask, &sending, life, Cause::ConnectionLost)),
        Err(_) => return Ok(lost(node, ask, &sending, life, Cause::Deadline)),
    };
    sending.answered(status.is_server_error());
    if !answer.is_last {
        channel.keep(answer.keep_alive).await;
    }
    let reply = Reply {
        status,
        headers,
        body: Body::Whole(bytes),
    };
    if status.is_server_error() {
        return Ok(Attempt::Failed(reply, life));
    }
    Ok(Attempt::Answered(reply))
}

/// Chooses an upstream and connects to it.
async fn connect(
    node: &Arc<Node>,
    ask: &Ask,
    service: &id::Service,
    wish: &Wish<'_>,
) -> Result<(Arc<Upstream>, Channel), Cause> {
    let mut tries = 0;
    let cold_until = Instant::now() + ask.route.goal.mul_f64(COLD_WAIT);
    loop {
        let upstream = match choose(node, ask, service, wish, tries) {
            Ok(upstream) => upstream,
            Err(Cause::ColdLimit) if Instant::now() < cold_until => {
                tokio::time::sleep(COLD_PAUSE).await;
                continue;
            }
            Err(cause) => return Err(cause),
        };
        let opened = node
            .pool
            .open(upstream.address, ask.idle_max(), open_max(node, &upstream))
            .await;
        match opened {
            // What was decided before the connection was made is checked again.
            Ok(channel) if node.view().still_usable(&upstream) => {
                let is_placed = tries == 0 && wish.engine == Some(&upstream.name);
                if may_send(node, &upstream, is_placed) {
                    return Ok((upstream, channel));
                }
            }
            Ok(_) => {}
            Err(err) => {
                let mut limits = node.limits();
                limits.health(&upstream.name).unreachable(Instant::now());
                slog::info!(node.logger(), "unreachable"; "request" => &ask.request,
                    "upstream" => upstream.name.as_str(), "reason" => %err);
            }
        }
        tries += 1;
        if tries >= UNSENT_TRIES_MAX || ask.left() <= ANSWER_MARGIN {
            return Err(Cause::NoUpstream);
        }
    }
}

/// Whether the cold limit allows a request now: by the owner that placed it, or by this instance's
/// own share.
fn may_send(node: &Node, upstream: &Upstream, is_placed: bool) -> bool {
    let view = node.view();
    let limits = node.limits();
    let is_granted = is_placed && limits.is_owned(&view, &upstream.service);
    is_granted || limits.is_open(&view, upstream, Instant::now())
}

/// What is known of where a request should go.
#[derive(Clone, Copy, Debug, Default)]
struct Wish<'a> {
    /// Zone of its results.
    zone: Option<&'a id::Zone>,
    /// Engine that the owner of its steps chose.
    engine: Option<&'a id::Upstream>,
    /// Upstream that failed it before.
    except: Option<&'a id::Upstream>,
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
    ask: &Ask,
    service: &id::Service,
    wish: &Wish<'_>,
    tries: u32,
) -> Result<Arc<Upstream>, Cause> {
    let view = node.view();
    let is_owned = node.limits().is_owned(&view, service);
    let wished = wish
        .engine
        .filter(|it| tries == 0 && Some(*it) != wish.except)
        .and_then(|it| view.upstreams.get(it))
        .filter(|it| view.is_usable(it));
    if let Some(upstream) = wished.filter(|_| is_owned) {
        return Ok(upstream.clone());
    }
    let order = order(node, ask, service, wish, Gates::Kept)?;
    let wished = wished.map(|it| &it.name).filter(|it| order.contains(it));
    let chosen = wished.or(order.first()).ok_or(Cause::ColdLimit)?;
    let chosen = view.upstreams.get(chosen);
    chosen.cloned().ok_or(Cause::NoUpstream)
}

/// Upstreams that the request may be sent to now, the best first.
fn order(
    node: &Node,
    ask: &Ask,
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
    if usable.len() > 1 {
        usable.retain(|it| Some(&it.name) != wish.except);
    }
    let prompt = ask.prompt();
    let near = match prompt {
        Some(_) if ask.has_home() => None,
        Some(_) => wish.zone,
        None => Some(&node.settings.zone),
    };
    let mut limits = node.limits();
    let candidates: Vec<choice::Candidate<'_>> = usable
        .iter()
        .map(|it| {
            let candidate = limits.candidate(&view, it, near, now);
            let is_open = candidate.is_open || gates == Gates::Ignored;
            choice::Candidate {
                is_open,
                ..candidate
            }
        })
        .collect();
    let spread = hash::of_strs([ask.request.as_str()]);
    let order = choice::order(&candidates, prompt, spread);
    Ok(order.into_iter().cloned().collect())
}

/// This instance's share of the connections that an upstream accepts.
fn open_max(node: &Node, upstream: &Upstream) -> usize {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let all = service.map_or(u32::MAX, |it| it.connections_max);
    (all as usize / node.member_count()).max(1)
}

fn outgoing(
    node: &Arc<Node>,
    ask: &Ask,
    upstream: &Arc<Upstream>,
    handles: &[Handle],
    last_event: Option<u64>,
) -> (Request<Full<Bytes>>, Sending) {
    let view = node.view();
    let catalog = view.catalog.as_ref();
    let service = catalog.and_then(|it| it.services.get(&upstream.service));
    let is_engine = service.is_some_and(|it| it.engine.is_some());
    let additions = Additions::builder()
        .upstream(upstream.name.as_str())
        .left(ask.left())
        .maybe_workspace(ask.workspace.as_ref().map(|it| it.name.as_str()))
        .has_keys(ask.has_keys)
        .maybe_priority(is_engine.then_some(ask.priority))
        .results(handles)
        .maybe_last_event(last_event)
        .build();
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.headers_mut() = upstream::headers(&ask.headers, &additions);
    // The target was parsed from the client's own request line.
    if let Ok(target) = ask.target.parse() {
        *request.uri_mut() = target;
    }
    (request, Sending::begin(node, upstream))
}

/// Whether a stream of this kind may be continued elsewhere.
#[must_use]
pub fn is_resumable(kind: Kind) -> bool {
    kind == Kind::ResumableStream
}
