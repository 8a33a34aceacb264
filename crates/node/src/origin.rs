//! Which software version began a stream: records it, saves it in the store while several versions
//! are in service, and looks it up when a client resumes the stream at this instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::id;
use catalog::Member;
use catalog::RouteKind;
use catalog::Upstream;
use catalog::View;
use forwarding::origin;
use forwarding::origin::Continuation;
use forwarding::origin::ORIGIN_TTL_MAX;
use forwarding::origin::Origin;
use forwarding::origin::Record;
use mirror::Table;
use platform::origins;
use platform::store;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;

use crate::client_request::ClientRequest;
use crate::client_request::Resumption;
use crate::follow;
use crate::state::Node;

/// Longest time for which a software version that is no longer registered is kept.
const RETENTION_MAX: Duration = Duration::from_secs(600);
/// Shortest time for which a software version that is no longer registered is kept.
const RETENTION_MIN: Duration = Duration::from_secs(60);
/// Delay before origins are saved, so that streams that begin together are saved together.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Pause after origins were saved.
const SAVE_PAUSE: Duration = Duration::from_millis(100);
/// Members that share that pause while they save their own origins.
const MEMBERS_PER_WRITE: usize = 16;
/// Delay before origins are handed over, so that streams that begin together go together.
const HAND_OVER_DELAY: Duration = Duration::from_millis(5);
/// Timeout for the answer of the instance that origins are handed to.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Most origins that are handed over in one message.
const HAND_OVER_MAX: usize = 1_000;
/// Key whose preference order of the members determines which of them save the origins of others.
const CUSTODY_KEY: &str = "origins";
/// Members for each instance that saves origins. At the pauses above, these write at most 6 times a
/// second each, so that at 350 members they stay below a fifth of the writes that the store accepts.
const MEMBERS_PER_CUSTODIAN: usize = 32;
/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after software versions could not be recorded; it doubles with each failure.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(8);
/// Interval at which expired origins are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which rows that ended processes left behind are looked for.
const SWEEP_INTERVAL: Duration = ORIGIN_TTL_MAX;
/// Lookups of an origin in the store: the instance that began the stream may be about to save it.
const LOOKUPS_MAX: u32 = 3;
const LOOKUP_PAUSE: Duration = Duration::from_millis(150);
/// Timeout of one lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which missing software versions are looked at.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Source {
    /// This instance began the stream.
    Memory,
    /// The store holds the origin.
    Store,
    /// Only one software version was in service.
    OnlyVersion,
}

/// Remembers which software version began the stream that answers `request`.
pub(crate) fn record(node: &Node, request: &ClientRequest, upstream: &Upstream) {
    let (stream, is_new) = match request.continuation_kind() {
        Some(Resumption::New) => (request.stream(), true),
        Some(Resumption::Stream(Some(stream))) => (stream, false),
        Some(Resumption::Stream(None)) | None => return,
    };
    let time_limit = request.head.deadline.unwrap_or(request.route.timeout);
    let expires_at = request.received_at + time_limit.min(ORIGIN_TTL_MAX);
    let record = Record {
        stream,
        origin: Origin::of(upstream),
        expires_at,
    };
    if is_new {
        node.limits().origins.record(record);
        node.origin_wakers.hand_over.notify_one();
    } else {
        node.limits().origins.remember(record);
    }
}

/// Upstreams that a request may be sent to, by the software version that began the stream which it
/// resumes; `None` if that version cannot be known.
pub(crate) async fn resolve(node: &Node, request: &ClientRequest) -> Option<Continuation> {
    let stream = match request.continuation_kind() {
        None => return Some(Continuation::Unrestricted),
        Some(Resumption::New) => return Some(Continuation::Begins),
        Some(Resumption::Stream(stream)) => stream,
    };
    let found = find_origin(node, request, stream).await;
    let (source, origin) = found.unzip();
    slog::info!(node.logger(), "stream_origin"; "request" => &request.id,
        "resumed_request" => request.head.resumed_request.as_deref(),
        "last_event" => request.head.last_event,
        "source" => source.map(|it| it.to_string()),
        "software" => origin.as_ref().map(|it| it.software.as_str()));
    node.telemetry.count_tagged(
        "streams.resumed_by_client",
        source.map_or("unknown", |it| it.into()),
        1,
    );
    let origin = origin?;
    let targets = &request.route.targets;
    let is_target = targets.iter().any(|it| it.service == origin.service);
    is_target.then_some(Continuation::Resumes(origin))
}

async fn find_origin(
    node: &Node,
    request: &ClientRequest,
    stream: Option<id::Fingerprint>,
) -> Option<(Source, Origin)> {
    for lookup in 0..LOOKUPS_MAX {
        if lookup > 0 {
            tokio::time::sleep(LOOKUP_PAUSE).await;
        }
        let known = stream.and_then(|it| node.limits().origins.get(it).cloned());
        if let Some(origin) = known {
            return Some((Source::Memory, origin));
        }
        let found = read_origin(node, request, stream);
        let found = tokio::time::timeout(LOOKUP_TIMEOUT, found).await;
        match found {
            Ok(Ok(Some(found))) => return Some(found),
            Ok(Ok(None)) if stream.is_none() => return None,
            Ok(Ok(None)) => {}
            Ok(Err(err)) => slog::warn!(node.logger(), "origin_unreadable";
                "request" => &request.id, "reason" => %err),
            Err(_) => slog::warn!(node.logger(), "origin_unreadable";
                "request" => &request.id, "reason" => "timeout"),
        }
    }
    None
}

/// Reads the origin of a stream from the store. The recorded versions are read there too: this
/// instance's view may be older than the stream.
async fn read_origin(
    node: &Node,
    request: &ClientRequest,
    stream: Option<id::Fingerprint>,
) -> Result<Option<(Source, Origin)>, store::Error> {
    let service = request.service();
    let saved = async {
        match stream {
            Some(stream) => node.store.read_stream(&stream.to_string()).await,
            None => Ok(None),
        }
    };
    let versions = async {
        match service {
            Some(service) => {
                node.store
                    .member_keys(&origins::software_prefix(service))
                    .await
            }
            None => Ok(Vec::new()),
        }
    };
    let (saved, versions) = tokio::try_join!(saved, versions)?;
    if let Some(value) = saved {
        let origin = origins::decode_origin(&value);
        let origin = origin.map_err(|err| store::Error::Protocol(err.to_string()))?;
        return Ok(Some((Source::Store, origin)));
    }
    let versions = versions
        .iter()
        .filter_map(|it| origins::parse_software_key(it));
    let mut versions: BTreeSet<id::Software> = versions.map(|it| it.1).collect();
    // A version may be in service that is not recorded any more, or not yet.
    if let Some(service) = service {
        versions.append(&mut node.view().known_software(service));
    }
    let origin = service.and_then(|it| origin::only_origin(it, &versions));
    Ok(origin.map(|it| (Source::OnlyVersion, it)))
}

/// Hands the origins of streams that this instance begins to another one while several software
/// versions are in service; never returns. Streams are short, so that most of those that the loss of
/// an instance breaks have just begun.
pub(crate) async fn hand_over(node: Arc<Node>) {
    let mut view = node.watch_view();
    let mut last_custodian = None;
    loop {
        view.mark_unchanged();
        let mixed = node.view().mixed_services();
        let custodian = custodian(&node);
        let incarnation = custodian.as_ref().map(|it| it.incarnation);
        let records = {
            let origins = &mut node.limits().origins;
            if incarnation != last_custodian {
                // The one before may be lost with what it has not saved.
                origins.reclaim();
                last_custodian = incarnation;
            }
            origins.own(|it| mixed.contains(it), HAND_OVER_MAX)
        };
        if records.is_empty() {
            tokio::select! {
                () = node.origin_wakers.hand_over.notified() => {}
                _ = view.changed() => {}
            }
            tokio::time::sleep(HAND_OVER_DELAY).await;
            continue;
        }
        let is_taken = match custodian {
            Some(member) => send_records(&node, &member, &records).await,
            None => false,
        };
        let origins = &mut node.limits().origins;
        if is_taken {
            origins.mark_handed_over(&records);
        } else {
            origins.keep(&records);
            node.origin_wakers.save.notify_one();
        }
    }
}

/// The instances that save the origins of all: a few, so that the number of calls to the store stays
/// small in a large deployment, and at least two, so that none has to keep its own.
fn custodians(node: &Node) -> Vec<Arc<Member>> {
    let members = node.view().members.clone();
    let count = members.len().div_ceil(MEMBERS_PER_CUSTODIAN) + 1;
    let order = ownership::preference_order(CUSTODY_KEY, members.values().map(Arc::as_ref));
    let order = order.into_iter().map(|it| &it.instance);
    let order = order.filter(|it| !node.peers.is_suspected(it));
    let custodians = order.filter_map(|it| members.get(it).cloned());
    custodians.take(count).collect()
}

/// The instance that saves the origins of this one.
fn custodian(node: &Node) -> Option<Arc<Member>> {
    let own = &node.settings.instance;
    let mut custodians = custodians(node);
    custodians.retain(|it| it.instance != *own);
    let hash = hash::hash_strs([own.as_str()]) as usize;
    let idx = hash.checked_rem(custodians.len())?;
    Some(custodians.swap_remove(idx))
}

/// Sends origins to another instance; returns whether it has taken them.
async fn send_records(node: &Node, member: &Member, records: &[Record]) -> bool {
    let now = Instant::now();
    let origins = records.iter().map(|it| wire::message::Origin {
        stream: it.stream,
        origin: it.origin.clone(),
        remaining: it.expires_at.saturating_duration_since(now),
    });
    let request = Request::Origins(origins.collect());
    let reply = async {
        let mut replies = node.peers.open(member, request).await.ok()?;
        replies.next().await
    };
    let reply = tokio::time::timeout(HAND_OVER_TIMEOUT, reply).await;
    let is_taken = matches!(reply, Ok(Some(Reply::Done)));
    if is_taken {
        node.peers.record_answer(&member.instance);
    }
    if reply.is_err() && node.peers.record_silence(member).await {
        slog::warn!(node.logger(), "custodian_lost"; "instance" => %member.instance);
    }
    is_taken
}

/// Saves the origins of streams while several software versions are in service; never returns.
pub(crate) async fn save(node: Arc<Node>) {
    let mut view = node.watch_view();
    let mut swept_at = Instant::now();
    let mut leftovers = BTreeSet::new();
    loop {
        view.mark_unchanged();
        node.limits().origins.expire(Instant::now());
        if swept_at.elapsed() >= SWEEP_INTERVAL {
            swept_at = Instant::now();
            leftovers = match follow::is_first_reader(&node) {
                true => sweep(&node, leftovers).await,
                false => BTreeSet::new(),
            };
        }
        match save_batch(&node).await {
            Ok(true) => {
                tokio::time::sleep(save_pause(&node)).await;
                continue;
            }
            Ok(false) => {}
            Err(err) => {
                slog::warn!(node.logger(), "origins_not_saved"; "reason" => %err);
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        }
        tokio::select! {
            () = node.origin_wakers.save.notified() => {}
            _ = view.changed() => {}
            () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
        }
        tokio::time::sleep(BATCH_DELAY).await;
    }
}

/// Pause after origins were saved. It is longer for instances that save only because no other one
/// took their origins.
fn save_pause(node: &Node) -> Duration {
    let own = &node.settings.instance;
    let is_custodian = custodians(node).iter().any(|it| it.instance == *own);
    let groups = node.member_count().div_ceil(MEMBERS_PER_WRITE) as u32;
    SAVE_PAUSE * if is_custodian { 1 } else { groups }
}

/// Saves origins and deletes expired ones; returns false if there were none of either.
async fn save_batch(node: &Node) -> Result<bool, store::Error> {
    // With one version, an instance that knows nothing can tell which began a stream.
    let mixed = node.view().mixed_services();
    let is_mixed = |service: &id::Service| mixed.contains(service);
    let (origins, obsolete) = {
        let limits = node.limits();
        let origins = limits
            .origins
            .unsaved(is_mixed, store::TRANSACTION_ROWS_MAX / 2);
        let obsolete = limits.origins.obsolete(store::TRANSACTION_ROWS_MAX / 2);
        (origins, obsolete)
    };
    // Deletions wait for a transaction that is needed anyway, or until they fill one.
    if origins.is_empty() && obsolete.len() < store::TRANSACTION_ROWS_MAX / 2 {
        return Ok(false);
    }
    let mut puts = Vec::with_capacity(origins.len());
    for record in &origins {
        match origins::encode_origin(&record.origin) {
            Ok(value) => puts.push((record.stream.to_string(), value)),
            Err(err) => slog::error!(node.logger(), "origin_unwritable"; "reason" => %err),
        }
    }
    let removes: Vec<String> = obsolete.iter().map(|it| it.to_string()).collect();
    node.store.write_streams(&puts, &removes).await?;
    let mut limits = node.limits();
    limits.origins.mark_saved(&origins);
    limits.origins.mark_deleted(&obsolete);
    Ok(true)
}

/// Deletes rows that were there at the sweep before and belong to no stream of this instance:
/// instances delete their own within [`RETENTION_MAX`]. Returns the rows to look at next time.
async fn sweep(node: &Node, seen_before: BTreeSet<String>) -> BTreeSet<String> {
    let keys = match node.store.stream_keys().await {
        Ok(keys) => keys,
        Err(err) => {
            slog::warn!(node.logger(), "origins_not_swept"; "reason" => %err);
            return seen_before;
        }
    };
    let (leftovers, rest): (Vec<String>, Vec<String>) =
        keys.into_iter().partition(|it| seen_before.contains(it));
    for leftovers in leftovers.chunks(store::TRANSACTION_ROWS_MAX) {
        if let Err(err) = node.store.write_streams(&[], leftovers).await {
            slog::warn!(node.logger(), "origins_not_swept"; "reason" => %err);
        }
    }
    rest.into_iter().collect()
}

/// Records the software versions that are in service, and deletes the records of those that have
/// not been for some time; never returns.
pub(crate) async fn record_versions(node: Arc<Node>) {
    let mut view = node.watch_view();
    let mut gone_since: BTreeMap<(id::Service, id::Software), Instant> = BTreeMap::new();
    let mut missing_since = None;
    let mut failure_pause = FAILURE_PAUSE;
    let others_delay = follow::draw_others_delay();
    loop {
        view.mark_unchanged();
        let position = follow::reader_position(&node);
        let is_known = node.store_copy().mirror.complete_version(Table::Members);
        let missing = node.view().unrecorded_software();
        if missing.is_empty() || is_known.is_none() {
            missing_since = None;
        } else {
            let since = *missing_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= follow::write_delay(&node, others_delay) {
                match put_versions(&node, &missing).await {
                    true => failure_pause = FAILURE_PAUSE,
                    false => {
                        let jitter: f64 = rand::random_range(0.7..1.3);
                        tokio::time::sleep(failure_pause.mul_f64(jitter)).await;
                        failure_pause = (failure_pause * 2).min(FAILURE_PAUSE_MAX);
                    }
                }
            }
        }
        let obsolete = update_gone(&node, &mut gone_since);
        if position == Some(0) && !obsolete.is_empty() {
            delete_versions(&node, &obsolete).await;
        }
        let pause = match missing.is_empty() {
            true => EXPIRY_INTERVAL,
            false => RECORD_CHECK_INTERVAL,
        };
        tokio::select! {
            _ = view.changed() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Records software versions in the store; returns whether this instance has seen them recorded.
async fn put_versions(node: &Node, versions: &[(id::Service, id::Software)]) -> bool {
    let versions = versions.iter().take(store::TRANSACTION_ROWS_MAX);
    let puts = versions
        .map(|(service, software)| (origins::software_key(service, software), b"{}".to_vec()));
    let puts: Vec<(String, Vec<u8>)> = puts.collect();
    if let Err(err) = node.store.write(&puts, &[]).await {
        slog::warn!(node.logger(), "software_not_recorded"; "reason" => %err);
        return false;
    }
    slog::info!(node.logger(), "software_recorded"; "versions" => puts.len());
    let mut view = node.watch_view();
    let is_seen = |view: &Arc<View>| view.unrecorded_software().is_empty();
    let seen = tokio::time::timeout(FAILURE_PAUSE, view.wait_for(is_seen)).await;
    matches!(seen, Ok(Ok(_)))
}

/// Updates since when recorded versions have not been registered; returns those for which no stream
/// can be under way any more.
fn update_gone(
    node: &Node,
    gone_since: &mut BTreeMap<(id::Service, id::Software), Instant>,
) -> Vec<(id::Service, id::Software)> {
    let view = node.view();
    let now = Instant::now();
    let mut gone = BTreeMap::new();
    for (service, recorded) in &view.software {
        let registered = view.registered_software(service);
        for software in recorded.difference(&registered) {
            let version = (service.clone(), software.clone());
            let since = gone_since.get(&version).copied().unwrap_or(now);
            gone.insert(version, since);
        }
    }
    *gone_since = gone;
    // Registrations may come and go unseen while the rows are old.
    if !node.is_fresh() {
        gone_since.clear();
    }
    let is_obsolete = |it: &(&(id::Service, id::Software), &Instant)| {
        now.saturating_duration_since(*it.1) >= retention(&view, &it.0.0)
    };
    let obsolete = gone_since.iter().filter(is_obsolete);
    obsolete.map(|it| it.0.clone()).collect()
}

/// Time for which clients may resume streams of a service.
fn retention(view: &View, service: &id::Service) -> Duration {
    let routes = view.catalog.iter().flat_map(|it| it.routes());
    let routes = routes.filter(|it| it.kind == RouteKind::ResumableStream);
    let routes = routes.filter(|it| it.targets.iter().any(|it| it.service == *service));
    let longest = routes.map(|it| it.timeout).max().unwrap_or_default();
    // Clients may wait longer than the route's timeout.
    longest
        .saturating_mul(2)
        .clamp(RETENTION_MIN, RETENTION_MAX)
}

async fn delete_versions(node: &Node, versions: &[(id::Service, id::Software)]) {
    let versions = versions.iter().take(store::TRANSACTION_ROWS_MAX);
    let keys = versions.map(|(service, software)| origins::software_key(service, software));
    let keys: Vec<String> = keys.collect();
    match node.store.write(&[], &keys).await {
        Ok(()) => slog::info!(node.logger(), "software_forgotten"; "versions" => keys.len()),
        Err(err) => {
            slog::warn!(node.logger(), "software_not_forgotten"; "reason" => %err);
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}
