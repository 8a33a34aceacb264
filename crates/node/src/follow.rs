//! Replicates the store's rows, from the store itself and from other instances, so that either
//! source alone keeps the view up to date. Also registers this instance in the store.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Member;
use catalog::View;
use forwarding::poison::Source;
use mirror::Row;
use mirror::Table;
use mirror::freshness::Proof;
use mirror::search::Search;
use mirror::tree;
use mirror::tree::Role;
use platform::rows;
use platform::store;
use platform::store::Precondition;
use tokio::time::Instant;
use wire::Protocol;
use wire::Reply;
use wire::Request;
use wire::message::Follow;
use wire::message::Followed;
use wire::message::News;
use wire::message::TablesUpdate;
use wire::tls::Identity;
use wire::tls::Pem;

use crate::clock;
use crate::liveness::Answer;
use crate::quota;
use crate::state::Node;
use crate::suspicion;

/// Longest wait of one long poll of the members' feed.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// The same for the tables whose changes must take effect within 2 s after the store accepted them.
/// Each answer confirms that the rows of its table are complete, so this bounds how long an
/// unresponsive store, or a response that was lost, goes unnoticed.
const BOUNDED_FEED_WAIT: Duration = Duration::from_millis(700);
/// Time after a call from which on changes that it brings are followed by a call that confirms that
/// there are no others.
const LATE_NEWS_MIN: Duration = Duration::from_millis(200);
/// First pause after a failed call; doubled after each further failure.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause of an instance that reads the store for others, so that a recovery of the store is
/// noticed within a second.
const RETRY_MAX_READER: Duration = Duration::from_millis(500);
/// Longest pause of all other instances, which learn of the recovery from the readers.
const RETRY_MAX_OTHERS: Duration = Duration::from_millis(2_000);
/// Changes of registrations are collected for a fraction of `bounds.drain_timeout`, after which a
/// leaving upstream must receive no more requests. This is the fraction per member: larger
/// deployments have more upstreams, and so more frequent changes.
const BATCH_DELAY_RATIO_PER_MEMBER: f64 = 1.0 / 800.0;
/// Upper limit of that fraction.
const BATCH_DELAY_RATIO_MAX: f64 = 0.125;
/// A row that the store has accepted is written again if it does not appear in the view within this
/// time.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the first read of the members' table is waited for.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Key whose preference order of the members determines which of them read the store.
const READER_KEY: &str = "store";
/// Longest time until an instance that follows others checks that its rows are still fresh.
const FRESH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A follower reads the store itself when its rows have been outdated for a random time within this
/// range, so that most hear from those that did.
const OWN_READ_DELAY_MIN: Duration = Duration::from_millis(50);
const OWN_READ_DELAY_MAX: Duration = Duration::from_millis(200);
/// Number of other instances that are followed concurrently.
const PEERS_FOLLOWED: usize = 2;
/// Time beyond that of a long poll for the answer of another instance to a request for rows.
const PEER_SLACK: Duration = Duration::from_millis(500);
/// Longest long poll at the level above in the tree, and at other instances: there an answer without
/// changes passes through more instances, each of which adds to the age of the rows.
const TREE_POLL: Duration = Duration::from_millis(400);
const FOUND_POLL: Duration = Duration::from_millis(200);
/// Longest poll while the rows are outdated, after which another instance is asked.
const SEARCH_POLL: Duration = Duration::from_millis(100);
/// If the rows of a peer in the tree are older than this fraction of [`Node::fresh_age_max`], the next
/// peer is asked.
const PEER_AGE_RATIO_MAX: f64 = 0.7;
/// The same for other peers that bring no newer proof: they may follow this instance.
const FOUND_AGE_MAX: Duration = Duration::from_millis(800);
/// Interval at which the top of the tree is checked for instances that answer again.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which following starts again with the preferred peer.
const PEER_RESET_INTERVAL: Duration = Duration::from_secs(3);

/// Delay per position in the order of readers before an instance writes what any of them may write,
/// so that mostly one does.
const WRITE_DELAY: Duration = Duration::from_millis(300);
/// The delay of instances that are no readers, which write if the readers cannot; longer by a random
/// factor, so that they do not write together.
const OTHERS_WRITE_DELAY: Duration = Duration::from_millis(1_500);
const OTHERS_WRITE_SPREAD: f64 = 3.0;

/// Exponential back-off with jitter; holds the next pause.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) fn new() -> Backoff {
        Backoff(RETRY_MIN)
    }

    pub(crate) async fn wait(&mut self, pause_max: Duration) {
        let jitter: f64 = rand::random_range(0.7..1.3);
        tokio::time::sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(pause_max);
    }

    pub(crate) fn reset(&mut self) {
        self.0 = RETRY_MIN;
    }
}

/// Keeps the copy of one table up to date from the store; never returns. While an instance that is
/// not a reader gets fresh rows from others, it does not call the store.
pub async fn follow_table(node: Arc<Node>, client: store::Client, table: Table) {
    let mut backoff = Backoff::new();
    let mut recoveries = node.watch_store_recoveries();
    let mut eras = client.watch_era();
    let mut was_reading = None;
    let mut has_late_news = false;
    loop {
        recoveries.mark_unchanged();
        eras.mark_unchanged();
        let reason = reading_reason(&node, table);
        if was_reading.replace(reason) != Some(reason) {
            slog::info!(node.logger(), "store_reading"; "table" => %table,
                "because" => reason.map(|it| it.to_string()),
                "age_ms" => node.rows_age().map(|it| it.as_millis() as u64));
        }
        let Some(reason) = reason else {
            // The failures before were those of another time.
            backoff.reset();
            wait_until_outdated(&node).await;
            continue;
        };
        let outcome = tokio::select! {
            biased;
            outcome = poll_table(&node, &client, table, has_late_news) => outcome,
            // The store may never answer a call that was sent before it recovered.
            _ = recoveries.changed() => continue,
            _ = eras.changed() => continue,
        };
        has_late_news = matches!(outcome, Ok(Outcome::LateNews));
        match outcome {
            Ok(_) => {
                backoff.reset();
                record_store_answer(&node);
                // The long poll of the members' table may have ended seconds after the rows were fresh.
                if reason == Reason::Outdated && table != Table::Members {
                    node.store_copy().duty.begin();
                }
                continue;
            }
            Err(store::Error::Compacted) => {
                slog::info!(node.logger(), "store_history_gone"; "table" => %table);
                node.store_copy().mirror.reset_sync(table);
                continue;
            }
            Err(err) => record_store_failure(&node, table, &err),
        }
        node.store_copy().duty.end();
        let pause_max = match reason {
            Reason::Role => RETRY_MAX_READER,
            _ => RETRY_MAX_OTHERS,
        };
        tokio::select! {
            () = backoff.wait(pause_max) => {}
            _ = recoveries.changed() => backoff.reset(),
        }
    }
}

/// Why this instance reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Reason {
    /// The table was not read yet, or has to be read again.
    Unsynced,
    /// It is a reader of the tree.
    Role,
    /// It stands in for the readers.
    Duty,
    /// Others bring no fresh rows.
    Outdated,
}

fn reading_reason(node: &Node, table: Table) -> Option<Reason> {
    if node.store_copy().mirror.synced_version(table).is_none() {
        return Some(Reason::Unsynced);
    }
    let own = &node.settings.instance;
    let order = reader_order(node);
    if tree::role(&order, own) == Role::Reader {
        return Some(Reason::Role);
    }
    let now = clock::now_with_suspension();
    if node.store_copy().duty.is_active(&order, own, now) {
        return Some(Reason::Duty);
    }
    (!node.is_fresh()).then_some(Reason::Outdated)
}

/// Waits until the rows are outdated, for a follower a moment longer, and at most for
/// [`FRESH_CHECK_INTERVAL`] while they are fresh.
async fn wait_until_outdated(node: &Node) {
    let age = node.rows_age().unwrap_or_default();
    let remaining = node.fresh_age_max().saturating_sub(age);
    if remaining > FRESH_CHECK_INTERVAL {
        return tokio::time::sleep(FRESH_CHECK_INTERVAL).await;
    }
    let own = &node.settings.instance;
    let delay = match tree::role(&reader_order(node), own) {
        Role::Follower => rand::random_range(OWN_READ_DELAY_MIN..OWN_READ_DELAY_MAX),
        Role::Reader | Role::Relay => Duration::ZERO,
    };
    tokio::time::sleep(remaining + delay).await;
}

/// What a call to the store brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Nothing that needs another call at once.
    Confirmed,
    /// Changes, some time after the call: what else changed before the answer is not known.
    LateNews,
}

async fn poll_table(
    node: &Node,
    client: &store::Client,
    table: Table,
    has_late_news: bool,
) -> Result<Outcome, store::Error> {
    let (position, is_outdated) = {
        let mirror = &node.store_copy().mirror;
        let is_outdated = mirror.is_unverified(table) || mirror.era(table) < client.era();
        (mirror.complete_version(table), is_outdated)
    };
    let Some(position) = position.filter(|_| !is_outdated) else {
        return read_table(node, client, table).await;
    };
    let must_confirm = has_late_news || !node.is_table_fresh(table);
    let wait = match table {
        // The answer confirms at once that the rows are complete, or brings what they lack.
        Table::Operators | Table::Upstreams if must_confirm => Duration::ZERO,
        Table::Operators => BOUNDED_FEED_WAIT,
        Table::Upstreams => BOUNDED_FEED_WAIT.saturating_sub(batch_delay(node)),
        Table::Members => FEED_WAIT,
    };
    let sent_at = clock::now_with_suspension();
    let batch = client.feed(table, position, wait).await?;
    let has_news = !batch.rows.is_empty();
    log_received(node, "store", &batch.rows, sent_at);
    if !node.apply_table_changes(table, batch) {
        return check_era(node, client, table);
    }
    let now = clock::now_with_suspension();
    let elapsed = now.saturating_duration_since(sent_at);
    // The store answers a call without changes when the time to wait is over.
    let waited = match has_news || elapsed < wait {
        true => Duration::ZERO,
        false => wait,
    };
    node.record_store_proof(table, Proof::by_store(sent_at, waited, now));
    if has_news && table != Table::Operators {
        tokio::time::sleep(batch_delay(node)).await;
    }
    Ok(match has_news && elapsed > LATE_NEWS_MIN {
        true => Outcome::LateNews,
        false => Outcome::Confirmed,
    })
}

/// Logs the rows that an answer to a request of `sent_at` brought.
fn log_received<'a>(
    node: &Node,
    source: &str,
    rows: impl IntoIterator<Item = &'a Row>,
    sent_at: Instant,
) {
    let (count, bytes) = rows.into_iter().fold((0, 0), |(count, bytes), row| {
        let value = row.value.as_ref().map_or(0, Vec::len);
        (count + 1, bytes + value)
    });
    if count == 0 {
        return;
    }
    let elapsed = clock::now_with_suspension().saturating_duration_since(sent_at);
    slog::info!(node.logger(), "rows_received"; "source" => source, "rows" => count,
        "bytes" => bytes, "elapsed_ms" => elapsed.as_millis() as u64);
}

/// Tells rows of a later era, after which the table is read in full, from a late response.
fn check_era(node: &Node, client: &store::Client, table: Table) -> Result<Outcome, store::Error> {
    let era = node.store_copy().mirror.era(table);
    if era < client.era() {
        return Ok(Outcome::Confirmed);
    }
    let reason = format!("an earlier era than {era}");
    Err(store::Error::Protocol(reason))
}

/// Pause after changes of registrations, so that the store's next answer covers many of them.
fn batch_delay(node: &Node) -> Duration {
    let ratio = node.member_count() as f64 * BATCH_DELAY_RATIO_PER_MEMBER;
    node.settings
        .bounds
        .drain_timeout
        .mul_f64(ratio.min(BATCH_DELAY_RATIO_MAX))
}

async fn read_table(
    node: &Node,
    client: &store::Client,
    table: Table,
) -> Result<Outcome, store::Error> {
    let sent_at = clock::now_with_suspension();
    let batch = client.read(table).await?;
    log_received(node, "store", &batch.rows, sent_at);
    if !node.apply_table_snapshot(table, batch) {
        return check_era(node, client, table);
    }
    let now = clock::now_with_suspension();
    node.record_store_proof(table, Proof::by_store(sent_at, Duration::ZERO, now));
    Ok(Outcome::Confirmed)
}

/// Logs each return of the store from an older copy of its rows; never returns.
pub async fn watch_era(node: Arc<Node>, client: store::Client) {
    let mut eras = client.watch_era();
    let mut known = *eras.borrow_and_update();
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        let positions = node.store_copy().mirror.positions();
        let positions = positions.iter();
        let positions = positions.map(|it| format!("{}:{}/{}", it.table, it.era, it.version));
        slog::warn!(node.logger(), "store_era"; "before" => %known, "now" => %era,
            "held" => positions.collect::<Vec<_>>().join(" "));
        node.telemetry.count("store.eras", 1);
        known = era;
    }
}

fn record_store_answer(node: &Node) {
    if node.record_store_call(true) {
        slog::info!(node.logger(), "store_back");
        node.notify_store_recovery();
    }
}

fn record_store_failure(node: &Node, table: Table, err: &store::Error) {
    node.telemetry.count("store.failures", 1);
    slog::info!(node.logger(), "store_call_failed"; "table" => %table, "reason" => %err,
        "age_ms" => node.rows_age().map(|it| it.as_millis() as u64));
    if node.record_store_call(false) {
        slog::warn!(node.logger(), "store_lost"; "table" => %table, "reason" => %err);
    }
}

/// Removes lapsed upstreams when their hold time is over, and closes expired idle connections.
pub async fn run_expiry(node: Arc<Node>) {
    let mut view = node.watch_view();
    loop {
        view.mark_unchanged();
        let next = node.expire_lapsed();
        let pause = next.map_or(FEED_WAIT, |it| {
            it.saturating_duration_since(Instant::now()).max(RETRY_MIN)
        });
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        node.pool.close_expired();
    }
}

/// Keeps the rows up to date from other instances, preferring the `idx`-th in order; never returns.
pub async fn follow_peer(node: Arc<Node>, idx: usize) {
    let mut search = Search::new(idx);
    let mut reset_at = Instant::now();
    loop {
        if reset_at.elapsed() > PEER_RESET_INTERVAL {
            search.restart();
            reset_at = Instant::now();
        }
        let is_fresh = node.is_fresh();
        let Some(member) = row_source(&node, &mut search, is_fresh) else {
            search.restart();
            tokio::time::sleep(FRESH_CHECK_INTERVAL).await;
            continue;
        };
        let wait = match (is_fresh, search.is_in_tree()) {
            (false, _) => SEARCH_POLL,
            (true, true) => TREE_POLL,
            (true, false) => FOUND_POLL,
        };
        let asked_at = Instant::now();
        let complete_at = node.complete_at();
        let proof = fetch_peer_rows(&node, &member, is_fresh, wait).await;
        let is_in_tree = search.is_in_tree();
        if proof.is_some_and(|it| is_useful(&node, it, complete_at, is_in_tree)) {
            continue;
        }
        // The preferred source only: without the store, sources are left many times a second.
        if search.is_at_preferred() {
            slog::info!(node.logger(), "rows_source_left"; "instance" => %member.instance,
                "waited_ms" => asked_at.elapsed().as_millis() as u64,
                "age_ms" => node.rows_age().map(|it| it.as_millis() as u64));
        }
        search.leave();
        let pause = SEARCH_POLL.saturating_sub(asked_at.elapsed());
        tokio::time::sleep(pause).await;
    }
}

/// Whether to keep following the instance that gave a proof, when the rows were known to be complete
/// at `complete_at` before.
fn is_useful(node: &Node, proof: Proof, complete_at: Option<Instant>, is_in_tree: bool) -> bool {
    let age = clock::now_with_suspension().saturating_duration_since(proof.at());
    match is_in_tree {
        true => age < node.fresh_age_max().mul_f64(PEER_AGE_RATIO_MAX),
        false => age < FOUND_AGE_MAX || Some(proof.at()) > complete_at && node.is_fresh(),
    }
}

/// Fetches newer rows and losses from another instance; returns what its answer proves.
async fn fetch_peer_rows(
    node: &Node,
    member: &Member,
    is_fresh: bool,
    wait: Duration,
) -> Option<Proof> {
    let sent_at = clock::now_with_suspension();
    let age = node.rows_age();
    let follow = || {
        Box::new(Follow {
            positions: node.store_copy().mirror.positions(),
            age,
            is_fresh,
            wait,
        })
    };
    let request = |protocol| match protocol {
        Protocol::V1 => Request::Rows(node.store_copy().mirror.newest_versions()),
        Protocol::V2 | Protocol::V3 => Request::Updates(node.store_copy().mirror.positions()),
        Protocol::V4 => Request::Follow(follow()),
        Protocol::V5 => {
            let held = node.store_copy().mirror.held();
            Request::FollowPacked(follow(), held)
        }
    };
    let timeout = wait + PEER_SLACK;
    match node.peers.fetch(member, timeout, request).await {
        Answer::Given(Reply::Followed(followed)) => {
            node.peers.record_answer(&member.instance);
            merge_followed(node, member, *followed, sent_at)
        }
        Answer::Given(Reply::FollowedPacked(mut followed, packed)) => {
            node.peers.record_answer(&member.instance);
            let tables = &mut followed.update.tables;
            let unpacked = node.store_copy().mirror.unpack(tables, packed);
            if let Err(err) = unpacked {
                slog::info!(node.logger(), "rows_not_unpacked"; "reason" => %err,
                    "instance" => %member.instance);
                return None;
            }
            merge_followed(node, member, *followed, sent_at)
        }
        Answer::Given(Reply::Updates(update)) => {
            node.peers.record_answer(&member.instance);
            merge_update(node, *update, sent_at, Duration::ZERO)
        }
        Answer::Given(Reply::Rows(update)) => {
            node.peers.record_answer(&member.instance);
            if needs_unverified(node) {
                node.merge_unverified(update.rows);
                return merge_news(node, update.news, sent_at, Duration::ZERO);
            }
            let news = News {
                age: None,
                ..update.news
            };
            merge_news(node, news, sent_at, Duration::ZERO)
        }
        Answer::Slow => {
            slog::info!(node.logger(), "rows_given_up"; "instance" => %member.instance,
                "waited_ms" => timeout.as_millis() as u64);
            if node.peers.record_silence(member).await {
                slog::warn!(node.logger(), "reader_lost"; "instance" => %member.instance,
                    "waited_ms" => timeout.as_millis() as u64);
            }
            None
        }
        Answer::Given(_) | Answer::Lost => None,
    }
}

/// Merges the answer of an instance to a request of `sent_at`; returns what it proves.
fn merge_followed(
    node: &Node,
    member: &Member,
    followed: Followed,
    sent_at: Instant,
) -> Option<Proof> {
    let rows = followed.update.tables.iter().flat_map(|it| &it.rows);
    log_received(node, member.instance.as_str(), rows, sent_at);
    let (waited, now) = (followed.waited, clock::now_with_suspension());
    for (reader, age) in followed.readers {
        if let Some(proof) = Proof::by_instance(sent_at, waited, age, now) {
            node.record_reader(reader, proof.at());
        }
    }
    merge_update(node, followed.update, sent_at, waited)
}

/// Merges the answer of another instance, which held the request of `sent_at` for `waited`.
fn merge_update(
    node: &Node,
    update: TablesUpdate,
    sent_at: Instant,
    waited: Duration,
) -> Option<Proof> {
    for table in update.tables {
        node.merge_update(table);
    }
    merge_news(node, update.news, sent_at, waited)
}

/// Whether rows of unknown era are better than none. Instances of earlier builds know no eras and
/// may hold rows that the store has lost, so their rows are used only by an instance that the store
/// does not answer, and not after a return of the store that it knows of.
fn needs_unverified(node: &Node) -> bool {
    let copy = node.store_copy();
    copy.is_store_failing() && !copy.mirror.has_replaced()
}

/// Merges what another instance tells beside its rows; returns what its answer proves.
fn merge_news(node: &Node, news: News, sent_at: Instant, waited: Duration) -> Option<Proof> {
    quota::news::merge(node, &news.rate_limits);
    suspicion::merge_losses(node, &news.losses, Source::Peer);
    // An answer outweighs losses regardless of which came first, so it is applied last.
    for (fingerprint, age) in news.cleared {
        suspicion::record_success(node, fingerprint, age, Source::Peer);
    }
    let now = clock::now_with_suspension();
    let proof = Proof::by_instance(sent_at, waited, news.age?, now)?;
    node.record_instance_proof(proof);
    Some(proof)
}

/// Indices for [`follow_peer`], one per peer that is followed concurrently.
pub fn peer_indices() -> impl Iterator<Item = usize> {
    0..PEERS_FOLLOWED
}

/// The readers, which other instances follow, except for this instance.
pub(crate) fn other_readers(node: &Node) -> Vec<Arc<Member>> {
    let names = reader_order(node);
    let count = tree::reader_count(names.len());
    let others = node.other_members();
    let readers = names.iter().take(count);
    readers.filter_map(|it| others.get(it).cloned()).collect()
}

/// Whether this instance is the first reader of the store.
pub(crate) fn is_first_reader(node: &Node) -> bool {
    reader_order(node).first() == Some(&node.settings.instance)
}

/// Position of this instance among the readers of the store; `None` if it is no reader.
pub(crate) fn reader_position(node: &Node) -> Option<usize> {
    let names = reader_order(node);
    let count = tree::reader_count(names.len());
    let mut readers = names.iter().take(count);
    readers.position(|it| *it == node.settings.instance)
}

/// Draws the delay with which this instance writes as long as it is no reader; see [`write_delay`].
pub(crate) fn draw_others_delay() -> Duration {
    OTHERS_WRITE_DELAY.mul_f64(rand::random_range(1.0..OTHERS_WRITE_SPREAD))
}

/// Delay before this instance writes what any instance may write.
pub(crate) fn write_delay(node: &Node, others_delay: Duration) -> Duration {
    reader_position(node).map_or(others_delay, |it| WRITE_DELAY * it as u32)
}

/// Instances that have answered their latest request, in the order in which they become readers of
/// the store.
fn reader_order(node: &Node) -> Vec<id::Instance> {
    let view = node.view();
    let members = view.members.values().map(Arc::as_ref);
    let order = ownership::preference_order(READER_KEY, members);
    let present = order.into_iter().filter(|it| !node.peers.is_lost(it));
    present.map(|it| it.instance.clone()).collect()
}

/// The instance to fetch rows from.
fn row_source(node: &Node, search: &mut Search, is_fresh: bool) -> Option<Arc<Member>> {
    let own = &node.settings.instance;
    let readers = node.reading_sources();
    let order = reader_order(node);
    let source = search.source(order, own, &readers, is_fresh, &mut rand::rng())?;
    node.view().members.get(&source).cloned()
}

/// Pings the instances at the top of the tree that have not answered for a while; never returns. They
/// have no place in the tree until they do.
pub async fn check_returns(node: Arc<Node>) {
    loop {
        tokio::time::sleep(RETURN_CHECK_INTERVAL).await;
        let view = node.view();
        let members = view.members.values().map(Arc::as_ref);
        let order = ownership::preference_order(READER_KEY, members);
        let top = tree::top_count(order.len());
        // Twice as many, as they take the places of those that are lost.
        let top = order.into_iter().take(2 * top);
        let lost =
            top.filter(|it| node.peers.is_lost(it) && !node.peers.is_suspected(&it.instance));
        let checks = lost.map(|member| async {
            if !node.peers.is_alive(member).await {
                node.peers.record_silence(member).await;
            }
        });
        futures_util::future::join_all(checks).await;
    }
}

/// Waits until the store is known to hold a row of the members' table, for at most
/// [`CONFIRM_TIMEOUT`].
async fn wait_until_seen(node: &Node, key: &str, value: &[u8]) {
    let mut view = node.watch_view();
    let is_seen = |_: &Arc<View>| is_stored(node, key, value);
    // After a timeout the caller writes the row again.
    let _ = tokio::time::timeout(CONFIRM_TIMEOUT, view.wait_for(is_seen)).await;
}

/// Whether the store is known to hold a row of the members' table with this value. The view may also
/// have instances whose rows the store has lost.
fn is_stored(node: &Node, key: &str, value: &[u8]) -> bool {
    let copy = node.store_copy();
    copy.mirror.value(Table::Members, key) == Some(value)
}

/// Reads the keys and certificates of this deployment from the store, and creates them if there are
/// none. Retries until it succeeds.
pub async fn load_keys(node: &Node, client: &store::Client) -> Identity {
    let mut backoff = Backoff::new();
    loop {
        match try_load_keys(client).await {
            Ok(keys) => return keys,
            Err(reason) => slog::warn!(node.logger(), "keys_unavailable"; "reason" => reason),
        }
        backoff.wait(RETRY_MAX_READER).await;
    }
}

async fn try_load_keys(client: &store::Client) -> Result<Identity, String> {
    let batch = client.read(Table::Members).await;
    let batch = batch.map_err(|err| err.to_string())?;
    let row = batch
        .rows
        .into_iter()
        .find(|it| it.key == rows::CERTIFICATES_KEY);
    if let Some(value) = row.and_then(|it| it.value) {
        let pem: Pem = serde_json::from_slice(&value).map_err(|err| err.to_string())?;
        return wire::tls::parse(&pem).map_err(|err| err.to_string());
    }
    let pem = wire::tls::generate().map_err(|err| err.to_string())?;
    let value = serde_json::to_vec(&pem).map_err(|err| err.to_string())?;
    let put = client
        .put(
            &[(rows::CERTIFICATES_KEY.to_owned(), value)],
            Precondition::Absent,
        )
        .await;
    match put {
        Ok(()) => wire::tls::parse(&pem).map_err(|err| err.to_string()),
        // Another instance was faster, or the outcome is unknown: the next attempt reads the row.
        Err(err) => Err(err.to_string()),
    }
}

/// Waits until the members' table was read, so that the row of an earlier process is seen before it is
/// replaced.
async fn wait_until_members_read(node: &Node) {
    let is_read = || {
        let copy = node.store_copy();
        copy.mirror.complete_version(Table::Members).is_some()
    };
    while !is_read() {
        tokio::time::sleep(READ_POLL_INTERVAL).await;
    }
}

/// Writes this instance's row whenever it is missing or differs, as after a restart, until the
/// shutdown begins.
pub async fn register(node: Arc<Node>, client: store::Client) {
    let own = Member {
        instance: node.settings.instance.clone(),
        zone: node.settings.zone.clone(),
        address: node.settings.peer_address,
        cpu_share: node.settings.cpu_share,
        incarnation: node.incarnation,
    };
    let Ok(value) = rows::encode_member(&own) else {
        return;
    };
    let row = [(rows::member_key(&own.instance), value)];
    let [(key, value)] = &row;
    wait_until_members_read(&node).await;
    let mut view = node.watch_view();
    let mut backoff = Backoff::new();
    loop {
        view.mark_unchanged();
        if is_stored(&node, key, value) || node.is_shutting_down() {
            backoff.reset();
            if view.changed().await.is_err() {
                return;
            }
            continue;
        }
        match client.put(&row, Precondition::None).await {
            Ok(()) => {
                slog::info!(node.logger(), "registered"; "key" => key);
                backoff.reset();
                wait_until_seen(&node, key, value).await;
            }
            Err(err) => {
                slog::warn!(node.logger(), "register_failed"; "reason" => %err);
                backoff.wait(RETRY_MAX_READER).await;
            }
        }
    }
}
