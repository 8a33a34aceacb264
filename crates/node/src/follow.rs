//! Follows the store and other instances, so that either alone keeps the view up to date.

use std::sync::Arc;
use std::time::Duration;

use catalog::Member;
use mirror::Table;
use platform::rows;
use platform::store;
use platform::store::Expect;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;
use wire::keys::Keys;
use wire::keys::Pem;

use crate::state::Node;

/// A feed without news is asked anew after this time; it bounds how long a feed that fell silent
/// stays unnoticed, where other instances do not pass the news on.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// Pause after a call that failed; doubled each time up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause, so that the return of the store is seen within a second.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Other instances whose rows are followed.
const PEERS: usize = 2;
/// Longest wait for another instance's rows.
const PEER_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause before a peer that gave no rows is asked again.
const PEER_PAUSE: Duration = Duration::from_millis(700);

/// Pause between attempts.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Backoff {
        Backoff(RETRY_MIN)
    }

    async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.7..1.3);
        tokio::time::sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }

    fn reset(&mut self) {
        self.0 = RETRY_MIN;
    }
}

/// Follows one table of the store for ever.
pub async fn table(node: Arc<Node>, client: store::Client, table: Table) {
    let mut backoff = Backoff::new();
    loop {
        match next(&node, &client, table).await {
            Ok(()) => {
                backoff.reset();
                store_answered(&node);
            }
            Err(store::Error::Compacted) => {
                slog::info!(node.logger(), "store_history_gone"; "table" => %table);
                if let Err(err) = read(&node, &client, table).await {
                    store_lost(&node, table, &err);
                    backoff.wait().await;
                }
            }
            Err(err) => {
                store_lost(&node, table, &err);
                backoff.wait().await;
            }
        }
    }
}

async fn next(node: &Node, client: &store::Client, table: Table) -> Result<(), store::Error> {
    let synced = node.store().mirror.synced(table);
    let Some(synced) = synced else {
        return read(node, client, table).await;
    };
    let batch = client.feed(table, synced, FEED_WAIT).await?;
    node.advance(table, batch.rows, batch.version);
    Ok(())
}

async fn read(node: &Node, client: &store::Client, table: Table) -> Result<(), store::Error> {
    let batch = client.read(table).await?;
    node.replace(table, batch.rows, batch.version);
    Ok(())
}

fn store_answered(node: &Node) {
    let is_news = node.store().beliefs.store_answered(Instant::now());
    if is_news {
        slog::info!(node.logger(), "store_back");
    }
}

fn store_lost(node: &Node, table: Table, err: &store::Error) {
    node.telemetry.count("store.failures", 1);
    let is_news = node.store().beliefs.store_lost();
    if is_news {
        slog::warn!(node.logger(), "store_lost"; "table" => %table, "reason" => %err);
    }
}

/// Takes lapsed upstreams for gone when their time is over.
pub async fn expire(node: Arc<Node>) {
    let mut view = node.watch_view();
    loop {
        view.mark_unchanged();
        let next = node.expire();
        let pause = next.map_or(FEED_WAIT, |it| {
            it.saturating_duration_since(Instant::now())
                .max(RETRY_MIN)
        });
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        node.pool.expire();
    }
}

/// Follows the rows of the `idx`-th next instance for ever.
pub async fn peer(node: Arc<Node>, idx: usize) {
    loop {
        let Some(member) = successor(&node, idx) else {
            tokio::time::sleep(PEER_PAUSE).await;
            continue;
        };
        let positions = node.store().mirror.positions();
        let rows = async {
            let request = Request::Rows(positions);
            let mut replies = node.peers.open(&member, request).await.ok()?;
            replies.next().await
        };
        match tokio::time::timeout(PEER_TIMEOUT, rows).await {
            Ok(Some(Reply::Rows(rows))) => {
                node.peers.answered(&member.instance);
                if !rows.is_empty() {
                    node.merge(rows);
                }
            }
            Err(_) => {
                node.peers.silent(&member).await;
            }
            Ok(_) => tokio::time::sleep(PEER_PAUSE).await,
        }
    }
}

/// Numbers of the peers that are followed.
pub fn peers() -> impl Iterator<Item = usize> {
    0..PEERS
}

/// The `idx`-th instance after this one in the ring of names, passing over suspected ones.
fn successor(node: &Node, idx: usize) -> Option<Arc<Member>> {
    let others = node.others();
    let after = others.range(node.settings.instance.clone()..);
    let before = others.range(..node.settings.instance.clone());
    let mut ring = after
        .chain(before)
        .map(|(_, member)| member)
        .filter(|it| !node.peers.is_suspected(&it.instance));
    ring.nth(idx).cloned()
}

/// Reads the certificates of this deployment from the store, and makes them if there are none.
pub async fn keys(node: &Node, client: &store::Client) -> Keys {
    let mut backoff = Backoff::new();
    loop {
        match try_keys(client).await {
            Ok(keys) => return keys,
            Err(reason) => slog::warn!(node.logger(), "keys_unavailable"; "reason" => reason),
        }
        backoff.wait().await;
    }
}

async fn try_keys(client: &store::Client) -> Result<Keys, String> {
    let batch = client.read(Table::Members).await;
    let batch = batch.map_err(|err| err.to_string())?;
    let row = batch.rows.into_iter().find(|it| it.key == rows::KEYS_KEY);
    if let Some(value) = row.and_then(|it| it.value) {
        let pem: Pem = serde_json::from_slice(&value).map_err(|err| err.to_string())?;
        return wire::keys::parse(&pem).map_err(|err| err.to_string());
    }
    let pem = wire::keys::generate().map_err(|err| err.to_string())?;
    let value = serde_json::to_vec(&pem).map_err(|err| err.to_string())?;
    let put = client.put(rows::KEYS_KEY, &value, Expect::Absent).await;
    match put {
        Ok(()) => wire::keys::parse(&pem).map_err(|err| err.to_string()),
        // Another instance was first, or the outcome is unknown: the next read tells.
        Err(err) => Err(err.to_string()),
    }
}

/// Registers this instance for ever: whenever its row is missing or another life's.
pub async fn register(node: Arc<Node>, client: store::Client) {
    let own = Member {
        instance: node.settings.instance.clone(),
        zone: node.settings.zone.clone(),
        address: node.settings.peer,
        cpu_share: node.settings.cpu_share,
        incarnation: node.incarnation,
    };
    let Ok(value) = rows::encode_member(&own) else {
        return;
    };
    let key = rows::member_key(&own.instance);
    let mut view = node.watch_view();
    let mut backoff = Backoff::new();
    loop {
        view.mark_unchanged();
        let known = node.view().members.get(&own.instance).cloned();
        let is_registered = known.is_some_and(|it| *it == own);
        if is_registered || node.is_leaving() {
            backoff.reset();
            if view.changed().await.is_err() {
                return;
            }
            continue;
        }
        match client.put(&key, &value, Expect::Anything).await {
            Ok(()) => slog::info!(node.logger(), "registered"; "key" => &key),
            Err(err) => {
                slog::warn!(node.logger(), "register_failed"; "reason" => %err);
            }
        }
        // The feed confirms the row; until then it is written again at growing intervals.
        backoff.wait().await;
    }
}
