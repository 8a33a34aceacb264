//! What the tasks of a node share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::id;
use catalog::View;
use forwarding::stop::Shutdown;
use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use platform::settings::Settings;
use stages::Shard;
use telemetry::Telemetry;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::buffer::MemoryBudget;
use crate::connection;
use crate::limits::Limits;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::suspicion;
use crate::view_tracker::Change;
use crate::view_tracker::ViewTracker;

/// Time that an instance needs to read the store by itself. Rows count as fresh for the rest of the
/// time within which a change must be in force: of 2 s, that is longer than a feed without news and
/// one instance that passes its answer on; of 3 s and more, two of them.
const STORE_READ_TIME: Duration = Duration::from_millis(700);

/// Rows and the tracker that follow from them.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// Copy of the store's rows.
    pub mirror: Mirror,
    /// The view that follows from the rows.
    pub tracker: ViewTracker,
    /// When the rows were last known to be complete.
    complete_at: Option<Instant>,
    /// Whether this instance's own calls to the store fail.
    is_store_failing: bool,
}

impl StoreCopy {
    fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|it| now.saturating_duration_since(it))
    }
}

/// Time in which the queue of a shard drains, and when the shard said so.
pub type ShardWaits = BTreeMap<Shard, (Duration, Instant)>;

/// State of one node.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Logs and metrics.
    pub telemetry: Telemetry,
    /// Connections to upstreams.
    pub pool: connection::Pool,
    /// Memory of answers on their way.
    pub memory: Arc<MemoryBudget>,
    /// Owner of step services.
    pub owner: Owner,
    /// Other instances.
    pub peers: Peers,
    /// Distinguishes this start of the instance from others.
    pub incarnation: u64,
    view: watch::Sender<Arc<View>>,
    store_returns: watch::Sender<u64>,
    store_copy: Mutex<StoreCopy>,
    limits: Mutex<Limits>,
    shard_waits: Mutex<ShardWaits>,
    stop: Arc<OnceLock<Shutdown>>,
    in_flight: AtomicUsize,
    /// Woken when what is held against requests has changed.
    pub(crate) loss_wakers: suspicion::Wakers,
}

impl Node {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, telemetry: Telemetry, owner: Owner, peers: Peers) -> Node {
        Node {
            limits: Mutex::new(Limits::new(settings.instance.clone(), settings.bounds)),
            pool: connection::Pool::default(),
            memory: MemoryBudget::for_instance(settings.memory_bytes),
            incarnation: rand::random(),
            view: watch::Sender::new(Arc::default()),
            store_returns: watch::Sender::new(0),
            store_copy: Mutex::default(),
            shard_waits: Mutex::default(),
            stop: Arc::default(),
            in_flight: AtomicUsize::new(0),
            loss_wakers: suspicion::Wakers::default(),
            settings,
            telemetry,
            owner,
            peers,
        }
    }

    /// The logger.
    pub fn logger(&self) -> &slog::Logger {
        self.telemetry.logger()
    }

    /// The view of this moment.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Follows the view.
    #[must_use]
    pub fn watch_view(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Follows the returns of the store.
    #[must_use]
    pub fn watch_store_returns(&self) -> watch::Receiver<u64> {
        self.store_returns.subscribe()
    }

    /// Tells every call to the store that is still waiting that the store has returned.
    pub fn notify_store_return(&self) {
        self.store_returns.send_modify(|it| *it += 1);
    }

    /// How long ago the rows were known to be complete, from the store or from other instances.
    #[must_use]
    pub fn rows_age(&self) -> Option<Duration> {
        self.store_copy().age(Instant::now())
    }

    /// Whether the rows were complete a moment ago.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.rows_age().is_some_and(|it| it < self.fresh_age_max())
    }

    /// Age up to which rows count as fresh.
    #[must_use]
    pub fn fresh_age_max(&self) -> Duration {
        self.settings
            .bounds
            .config_timeout
            .saturating_sub(STORE_READ_TIME)
    }

    /// Notes whether a call of this instance to the store was answered; returns whether that changed.
    pub fn record_store_call(&self, is_answered: bool) -> bool {
        let mut copy = self.store_copy();
        let is_change = copy.is_store_failing == is_answered;
        copy.is_store_failing = !is_answered;
        is_change
    }

    /// Notes that the rows were complete `age` ago.
    pub fn record_complete(&self, age: Duration) {
        let mut copy = self.store_copy();
        let now = Instant::now();
        for complete_at in [copy.complete_at, now.checked_sub(age)] {
            copy.complete_at = copy.complete_at.max(complete_at);
            let age = copy.age(now);
            copy.tracker.set_age(age, now);
        }
    }

    /// Limits and evidence. Never held across an await.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rows and tracker. Never held across an await.
    pub fn store_copy(&self) -> MutexGuard<'_, StoreCopy> {
        self.store_copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What shards last said of their queues. Never held across an await.
    pub fn shard_waits(&self) -> MutexGuard<'_, ShardWaits> {
        let waits = self.shard_waits.lock();
        waits.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether clients should connect to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        // One that cannot ask the owners of steps would run them on its own beside them.
        let is_able = self.peers.has_client();
        is_able && !self.is_shutting_down() && view.catalog.is_some() && !view.upstreams.is_empty()
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.stop.get().is_some()
    }

    /// The stop, once it has begun.
    #[must_use]
    pub fn stop(&self) -> Arc<OnceLock<Shutdown>> {
        self.stop.clone()
    }

    /// Begins the stop: the balancer is told, requests are still served.
    pub fn begin_shutdown(&self) -> Shutdown {
        let grace = self.settings.stop_grace;
        *self
            .stop
            .get_or_init(|| Shutdown::begin(grace, Instant::now()))
    }

    /// Requests that were read and have no whole answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Node>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// All changes of a table up to `synced`, from the store.
    pub fn apply_table_changes(&self, table: Table, rows: Vec<Row>, synced: u64) {
        self.update(|copy, now| {
            let news = copy.mirror.apply_changes(table, rows, synced);
            copy.tracker.apply(&news, now)
        });
    }

    /// A whole table as of `version`, from the store.
    pub fn apply_table_snapshot(&self, table: Table, rows: Vec<Row>, version: u64) {
        self.update(|copy, now| {
            let news = copy.mirror.apply_snapshot(table, rows, version);
            copy.tracker.apply(&news, now)
        });
    }

    /// Rows from another instance.
    pub fn merge_rows(&self, rows: Vec<Row>) {
        self.update(|copy, now| {
            let news = copy.mirror.merge(rows);
            copy.tracker.apply(&news, now)
        });
    }

    /// An upstream that says in an answer that it is about to stop.
    pub fn mark_upstream_leaving(&self, incarnation: &id::Incarnation) {
        self.update(|copy, _| copy.tracker.set_leaving(incarnation).into_iter().collect());
    }

    /// Takes lapsed upstreams for gone whose time is over; returns when to look again.
    pub fn expire_lapsed(&self) -> Option<Instant> {
        self.update(|copy, now| copy.tracker.expire(now));
        self.store_copy().tracker.next_expiry()
    }

    fn update(&self, change: impl FnOnce(&mut StoreCopy, Instant) -> Vec<Change>) {
        let (changes, view) = {
            let mut copy = self.store_copy();
            let now = Instant::now();
            let age = copy.age(now);
            copy.tracker.set_age(age, now);
            let changes = change(&mut copy, now);
            if changes.is_empty() {
                return;
            }
            (changes, copy.tracker.view())
        };
        for change in &changes {
            self.log_change(change, view.version);
        }
        if changes.iter().any(Change::affects_view) {
            self.limits().retain(&view);
            self.owner.configure(&view);
            self.view.send_replace(view);
        }
        suspicion::apply_loss_changes(self, &changes);
    }

    /// Since when registrations are followed without a gap; `None` while the store is away.
    pub(crate) fn followed_since(&self, now: Instant) -> Option<Instant> {
        let mut copy = self.store_copy();
        let age = copy.age(now);
        copy.tracker.set_age(age, now);
        copy.tracker.complete_since()
    }

    fn log_change(&self, change: &Change, version: u64) {
        let what = match change {
            Change::Configured(version) => version.to_string(),
            Change::Unreadable(reason) => reason.clone(),
            Change::Upstream(name)
            | Change::UpstreamLeaving(name)
            | Change::UpstreamGone(name)
            | Change::UpstreamLapsed(name) => name.to_string(),
            Change::Evacuated(zone) | Change::Returned(zone) => zone.to_string(),
            Change::Member(name) | Change::MemberGone(name) => name.to_string(),
            Change::Loss(loss) => format!("{} {}", loss.fingerprint, loss.incarnation),
            Change::LossDropped(fingerprint, incarnation) => {
                format!("{fingerprint} {incarnation}")
            }
        };
        slog::info!(self.logger(), "{}", change; "what" => what, "store_version" => version);
    }

    /// Members of the view, or this instance alone.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.view.borrow().members.len().max(1)
    }

    /// Other instances by name.
    #[must_use]
    pub fn other_members(&self) -> BTreeMap<id::Instance, Arc<catalog::Member>> {
        let mut members = self.view.borrow().members.clone();
        members.remove(&self.settings.instance);
        members
    }
}

/// A request in flight.
pub struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
