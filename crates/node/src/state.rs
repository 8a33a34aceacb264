//! State that the tasks of a node share.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::id;
use catalog::Phase;
use catalog::View;
use forwarding::path::Paths;
use forwarding::stop::Shutdown;
use mirror::Batch;
use mirror::Effect;
use mirror::Era;
use mirror::Mirror;
use mirror::Row;
use mirror::Table;
use mirror::Update;
use mirror::duty::Duty;
use mirror::freshness::Freshness;
use mirror::freshness::Proof;
use mirror::succession::Origin;
use platform::settings::Settings;
use platform::store;
use stages::balance::Book;
use stages::pressure::Holds;
use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::buffer::MemoryBudget;
use crate::clock;
use crate::connection;
use crate::connection::Dial;
use crate::detour;
use crate::limits::Limits;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::quota;
use crate::quota::Quotas;
use crate::rollouts::Rollouts;
use crate::suspicion;
use crate::view_tracker::Change;
use crate::view_tracker::OUTAGE_MIN;
use crate::view_tracker::ViewTracker;

/// Time that an instance needs to read the store directly. A change must take effect within
/// `bounds.config_timeout`, and that an upstream leaves within `bounds.drain_timeout`; rows count as
/// fresh for the shorter of them less this reserve. With 2 s, the remainder covers one feed request
/// without changes and one instance that relays its answer; with 3 s or more, [`OUTAGE_RESERVE`]
/// limits it.
const STORE_READ_TIME: Duration = Duration::from_millis(700);

/// An instance begins to read the store directly by this much before its rows are so old that it
/// takes the store to be unavailable. In that time it reads them, and an instance that the store
/// turns away hears of them.
const OUTAGE_RESERVE: Duration = Duration::from_millis(800);

/// Time for which the end of a gap of the rows is news to other instances.
const GAP_NEWS_TIME: Duration = Duration::from_secs(1);

/// Tables whose changes have to be known within a bound: configurations and evacuations, and
/// upstreams that leave.
pub(crate) const BOUNDED_TABLES: [Table; 2] = [Table::Operators, Table::Upstreams];

/// Local copy of the store's rows, and the view that is built from them.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// The rows.
    pub mirror: Mirror,
    /// Builds the view from the rows.
    pub tracker: ViewTracker,
    /// When the rows were last known to be complete, by [`clock::now_with_suspension`]: rows of a
    /// machine that was suspended have aged meanwhile.
    freshness: Freshness,
    /// Whether this instance stands in for the readers of the store.
    pub(crate) duty: Duty,
    /// When the rows last became fresh again.
    gap_ended_at: Option<Instant>,
    /// Whether this instance's latest call to the store failed.
    is_store_failing: bool,
}

impl StoreCopy {
    /// Whether this instance's latest call to the store failed.
    #[must_use]
    pub fn is_store_failing(&self) -> bool {
        self.is_store_failing
    }

    /// Time since the rows of all [`BOUNDED_TABLES`] were last known to be complete.
    fn age(&self) -> Option<Duration> {
        self.freshness
            .age(&BOUNDED_TABLES, clock::now_with_suspension())
    }
}

/// Shared state of one node process.
pub struct Node {
    /// Settings as read at the start; later changes only reach [`Limits`] and the shutdown.
    pub settings: Settings,
    /// Logger and metrics.
    pub telemetry: Telemetry,
    /// Connections to upstreams.
    pub pool: connection::Pool,
    /// Memory budget of the responses that are being buffered.
    pub memory: Arc<MemoryBudget>,
    /// Runs the steps of the shards that this instance owns.
    pub owner: Owner,
    /// Client and liveness of the other instances.
    pub peers: Peers,
    /// Random number that distinguishes this process from earlier ones of the instance.
    pub incarnation: u64,
    /// When the process started, by [`clock::now_with_suspension`].
    pub(crate) started_at: Instant,
    view: watch::Sender<Arc<View>>,
    store_recoveries: watch::Sender<u64>,
    store_copy: Mutex<StoreCopy>,
    /// Counts the proofs that the rows were complete at a later time than was known.
    proofs: watch::Sender<u64>,
    limits: Mutex<Limits>,
    quotas: Mutex<Quotas>,
    paths: Mutex<Paths>,
    shard_waits: Mutex<Book>,
    owner_holds: Mutex<Holds>,
    shutdown: Arc<OnceLock<Shutdown>>,
    /// Time from the stop signal to the exit, from the newest settings.
    stop_grace: Mutex<Duration>,
    in_flight: AtomicUsize,
    /// Tunnels that this instance carries for others.
    pub(crate) tunnels: Arc<Semaphore>,
    /// Wakes the task that probes lost paths when one is lost.
    pub(crate) path_lost: Notify,
    /// Wakes the tasks that publish losses when these have changed.
    pub(crate) loss_wakers: suspicion::Wakers,
    /// Wakes the tasks that depend on the rate limits of upstreams.
    pub(crate) quota_wakers: quota::Wakers,
    /// Whether all software versions were recorded in the store at some time since the start.
    are_versions_recorded: AtomicBool,
    /// Client of the store.
    pub(crate) store: store::Client,
    /// Wakes the tasks that keep the origins of streams.
    pub(crate) origin_wakers: OriginWakers,
    /// Wakes the task that restores rows when the store has lost some.
    pub(crate) rows_lost: Notify,
    /// Roll-outs of software versions; `None` if this deployment has none.
    rollouts: Option<Mutex<Rollouts>>,
}

impl Node {
    /// A node with an empty view, which connects to upstreams with `dialer`.
    #[must_use]
    pub fn new(
        settings: Settings,
        telemetry: Telemetry,
        owner: Owner,
        peers: Peers,
        store: store::Client,
        dialer: Arc<dyn Dial>,
    ) -> Node {
        let incarnation = rand::random();
        let limits = Limits::new(&settings, incarnation);
        Node {
            limits: Mutex::new(limits),
            pool: connection::Pool::new(dialer),
            memory: MemoryBudget::for_instance(settings.memory_bytes),
            quotas: Mutex::new(Quotas::new(settings.instance.clone())),
            quota_wakers: quota::Wakers::new(),
            paths: Mutex::default(),
            started_at: clock::now_with_suspension(),
            incarnation,
            view: watch::Sender::new(Arc::default()),
            store_recoveries: watch::Sender::new(0),
            store_copy: Mutex::default(),
            proofs: watch::Sender::default(),
            shard_waits: Mutex::default(),
            owner_holds: Mutex::default(),
            shutdown: Arc::default(),
            stop_grace: Mutex::new(settings.stop_grace),
            in_flight: AtomicUsize::new(0),
            tunnels: detour::tunnel_permits(settings.max_fds),
            path_lost: Notify::new(),
            loss_wakers: suspicion::Wakers::default(),
            origin_wakers: OriginWakers::default(),
            rows_lost: Notify::new(),
            rollouts: settings.rollout.map(|it| Mutex::new(Rollouts::new(it))),
            are_versions_recorded: AtomicBool::new(false),
            settings,
            telemetry,
            owner,
            peers,
            store,
        }
    }

    /// The logger.
    pub fn logger(&self) -> &slog::Logger {
        self.telemetry.logger()
    }

    /// The current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Subscribes to the view.
    #[must_use]
    pub fn watch_view(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Subscribes to the count of recoveries of the store.
    #[must_use]
    pub fn watch_store_recoveries(&self) -> watch::Receiver<u64> {
        self.store_recoveries.subscribe()
    }

    /// Wakes the tasks that wait for the store, because it answers again.
    pub fn notify_store_recovery(&self) {
        self.store_recoveries.send_modify(|it| *it += 1);
    }

    /// Time since the store or another instance last confirmed that the rows are complete.
    #[must_use]
    pub fn rows_age(&self) -> Option<Duration> {
        self.store_copy().age()
    }

    /// When the rows were last known to be complete, by [`clock::now_with_suspension`].
    pub(crate) fn complete_at(&self) -> Option<Instant> {
        self.store_copy().freshness.complete_at(&BOUNDED_TABLES)
    }

    /// Whether the age of the rows is below [`Node::fresh_age_max`].
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.rows_age().is_some_and(|it| it < self.fresh_age_max())
    }

    /// Whether the age of the rows of a table is below [`Node::fresh_age_max`], or not bounded.
    pub(crate) fn is_table_fresh(&self, table: Table) -> bool {
        let now = clock::now_with_suspension();
        let age = self.store_copy().freshness.age(&[table], now);
        !BOUNDED_TABLES.contains(&table) || age.is_some_and(|it| it < self.fresh_age_max())
    }

    /// Age below which rows count as fresh.
    #[must_use]
    pub fn fresh_age_max(&self) -> Duration {
        let bounds = &self.settings.bounds;
        let bound = bounds.config_timeout.min(bounds.drain_timeout);
        let by_bound = bound.saturating_sub(STORE_READ_TIME);
        by_bound.min(OUTAGE_MIN.saturating_sub(OUTAGE_RESERVE))
    }

    /// Whether the rows have become fresh a moment ago, after a gap.
    pub(crate) fn has_gap_ended(&self) -> bool {
        let ended_at = self.store_copy().gap_ended_at;
        ended_at.is_some_and(|it| it.elapsed() < GAP_NEWS_TIME)
    }

    /// Whether a configuration may be in force that this instance does not use: its rows were last
    /// complete too long ago, or it cannot tell which configuration is the newest.
    #[must_use]
    pub fn may_lack_configuration(&self) -> bool {
        let copy = self.store_copy();
        if copy.tracker.is_configuration_uncertain() {
            return true;
        }
        let now = clock::now_with_suspension();
        let age = copy.freshness.age(&[Table::Operators], now);
        age.is_none_or(|it| it >= self.settings.bounds.config_timeout)
    }

    /// Records whether the store answered a call of this instance; returns whether that differs
    /// from the previous call.
    pub fn record_store_call(&self, is_answered: bool) -> bool {
        let mut copy = self.store_copy();
        let is_change = copy.is_store_failing == is_answered;
        copy.is_store_failing = !is_answered;
        is_change
    }

    /// Records what another instance proves of all [`BOUNDED_TABLES`].
    pub(crate) fn record_instance_proof(&self, proof: Proof) {
        self.update_freshness(|copy| copy.freshness.record(&BOUNDED_TABLES, proof));
    }

    /// Records that the store has confirmed the rows of a table.
    pub(crate) fn record_store_proof(&self, table: Table, proof: Proof) {
        if BOUNDED_TABLES.contains(&table) {
            self.update_freshness(|copy| copy.freshness.record(&[table], proof));
            self.record_reader(self.settings.instance.clone(), proof.at());
        }
    }

    fn update_freshness(&self, record: impl FnOnce(&mut StoreCopy)) {
        let (age, is_later) = {
            let mut copy = self.store_copy();
            let now = Instant::now();
            // A gap that ends now may not have been noticed.
            self.update_age(&mut copy, now);
            let was_stale = copy.age().is_some_and(|it| it >= self.fresh_age_max());
            let complete_at = copy.freshness.complete_at(&BOUNDED_TABLES);
            record(&mut copy);
            self.update_age(&mut copy, now);
            let age = copy.age();
            if was_stale && age.is_some_and(|it| it < self.fresh_age_max()) {
                copy.gap_ended_at = Some(now);
            }
            (
                age,
                copy.freshness.complete_at(&BOUNDED_TABLES) > complete_at,
            )
        };
        if is_later {
            self.proofs.send_modify(|it| *it += 1);
        }
        let complete_at = age.and_then(|it| Instant::now().checked_sub(it));
        if let Some(complete_at) = complete_at {
            self.limits().confirm_members(complete_at);
        }
    }

    /// Subscribes to the count of proofs that the rows were complete at a later time than was known.
    pub(crate) fn watch_proofs(&self) -> watch::Receiver<u64> {
        self.proofs.subscribe()
    }

    /// Records that the store answered an instance, by [`clock::now_with_suspension`].
    pub(crate) fn record_reader(&self, instance: id::Instance, at: Instant) {
        let now = clock::now_with_suspension();
        let duty = &mut self.store_copy().duty;
        duty.record_reader(instance, at, now);
    }

    /// Instances that read the store and are worth asking for rows.
    pub(crate) fn reading_sources(&self) -> Vec<id::Instance> {
        let is_fresh = self.is_fresh();
        let copy = self.store_copy();
        let complete_at = copy.freshness.complete_at(&BOUNDED_TABLES);
        let outdated_since = complete_at.filter(|_| !is_fresh);
        copy.duty
            .sources(outdated_since, clock::now_with_suspension())
    }

    /// Instances that read the store, with the time since the latest response to each.
    pub(crate) fn readers(&self) -> Vec<(id::Instance, Duration)> {
        let now = clock::now_with_suspension();
        let readers = self.store_copy().duty.readers(now).into_iter();
        let age = |at| now.saturating_duration_since(at);
        readers.map(|(name, at)| (name, age(at))).collect()
    }

    /// Locks the limits and statistics. The guard must not be held across an await.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rate limits of upstreams. The guard must not be held across an await.
    pub(crate) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the roll-outs; `None` if this deployment has none. The guard must not be held across an
    /// await.
    pub(crate) fn rollouts(&self) -> Option<MutexGuard<'_, Rollouts>> {
        let rollouts = self.rollouts.as_ref()?;
        Some(rollouts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Locks the paths to upstreams. The guard must not be held across an await.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rows and the view tracker. The guard must not be held across an await.
    pub fn store_copy(&self) -> MutexGuard<'_, StoreCopy> {
        self.store_copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the drain times of the shards. The guard must not be held across an await.
    pub fn shard_waits(&self) -> MutexGuard<'_, Book> {
        let waits = self.shard_waits.lock();
        waits.unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the holds that busy owners asked for. The guard must not be held across an await.
    pub(crate) fn owner_holds(&self) -> MutexGuard<'_, Holds> {
        let holds = self.owner_holds.lock();
        holds.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the readiness check passes, so that the load balancer sends clients here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        let has_view = view.catalog.is_some() && !view.upstreams.is_empty();
        // Resumable streams begin only at recorded versions. Versions that appear later are in use
        // soon; until then, the others serve.
        if has_view && view.unrecorded_software().is_empty() {
            self.are_versions_recorded.store(true, Ordering::Relaxed);
        }
        // Without a client, this node cannot reach the owners of step services and would run steps
        // itself in competition with them.
        let can_reach_owners = self.peers.has_client();
        let lacks_share = self.limits().lacks_cold_share(&view, Instant::now());
        can_reach_owners
            && !lacks_share
            && self.are_versions_recorded.load(Ordering::Relaxed)
            && !self.is_shutting_down()
            && has_view
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// The state of the shutdown, set once it has begun.
    #[must_use]
    pub fn shutdown_state(&self) -> Arc<OnceLock<Shutdown>> {
        self.shutdown.clone()
    }

    /// Sets the time from the stop signal to the exit; a shutdown that has begun keeps its own.
    pub fn set_stop_grace(&self, grace: Duration) {
        *self.lock_stop_grace() = grace;
    }

    fn lock_stop_grace(&self) -> MutexGuard<'_, Duration> {
        let grace = self.stop_grace.lock();
        grace.unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the shutdown: the readiness check fails from now on; requests are still served.
    pub fn begin_shutdown(&self) -> Shutdown {
        let grace = *self.lock_stop_grace();
        *self
            .shutdown
            .get_or_init(|| Shutdown::begin(grace, Instant::now()))
    }

    /// Number of client requests that are being read or are not yet answered completely.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Node>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Applies changes of a table from the store's feed; returns whether they are of the era of the
    /// table.
    pub fn apply_table_changes(&self, table: Table, batch: Batch) -> bool {
        self.apply_rows(table, "store", |it| it.apply_changes(table, batch))
    }

    /// Applies a full read of a table; returns whether it is of the era of the table or a later one.
    pub fn apply_table_snapshot(&self, table: Table, batch: Batch) -> bool {
        self.apply_rows(table, "store", |it| it.apply_snapshot(table, batch))
    }

    /// Merges an update of a table from another instance.
    pub fn merge_update(&self, update: Update) {
        self.apply_rows(update.table, "peer", |it| it.merge(update));
    }

    /// Merges rows from an instance that knows no eras.
    pub fn merge_unverified(&self, rows: Vec<Row>) {
        self.update(|copy, now| {
            let news = copy.mirror.merge_unverified(rows);
            copy.tracker.apply(&news, Origin::UNVERIFIED, now)
        });
    }

    fn apply_rows(
        &self,
        table: Table,
        source: &str,
        merge: impl FnOnce(&mut Mirror) -> Effect,
    ) -> bool {
        let mut effect = Effect::OtherEra;
        let mut eras = (Era::default(), Era::default());
        self.update(|copy, now| {
            let before = copy.mirror.era(table);
            effect = merge(&mut copy.mirror);
            eras = (before, copy.mirror.era(table));
            let origin = copy.mirror.origin(table);
            match &effect {
                Effect::Merged(news) => copy.tracker.apply(news, origin, now),
                Effect::Replaced(replacement) => {
                    let mut changes = copy.tracker.begin_era(&replacement.lost, now);
                    changes.extend(copy.tracker.apply(&replacement.changed, origin, now));
                    changes
                }
                Effect::OtherEra => Vec::new(),
            }
        });
        match effect {
            Effect::Merged(_) => true,
            Effect::Replaced(replacement) => {
                slog::warn!(self.logger(), "table_replaced"; "table" => %table, "source" => source,
                    "before" => %eras.0, "now" => %eras.1, "changed" => replacement.changed.len(),
                    "lost" => replacement.lost.len());
                self.telemetry.count("store.replaced_tables", 1);
                if table == Table::Members {
                    self.limits().origins.resave();
                    self.origin_wakers.save.notify_one();
                    self.rows_lost.notify_one();
                }
                true
            }
            Effect::OtherEra => {
                slog::info!(self.logger(), "rows_of_other_era"; "table" => %table,
                    "source" => source, "era" => %eras.1);
                false
            }
        }
    }

    /// Marks an upstream as leaving because one of its answers said that it is about to stop.
    pub fn mark_upstream_leaving(&self, incarnation: &id::Incarnation) {
        self.update(|copy, _| copy.tracker.set_leaving(incarnation).into_iter().collect());
    }

    /// Removes lapsed upstreams whose hold time is over; returns when the next one is due.
    pub fn expire_lapsed(&self) -> Option<Instant> {
        self.update(|copy, now| copy.tracker.expire(now));
        self.store_copy().tracker.next_expiry()
    }

    fn update(&self, change: impl FnOnce(&mut StoreCopy, Instant) -> Vec<Change>) {
        let age;
        let (changes, view) = {
            let mut copy = self.store_copy();
            let now = Instant::now();
            self.update_age(&mut copy, now);
            let changes = change(&mut copy, now);
            if changes.is_empty() {
                return;
            }
            age = copy.age();
            (changes, copy.tracker.view())
        };
        for change in &changes {
            self.log_change(change, &view, age);
        }
        if changes.iter().any(Change::affects_view) {
            self.limits().retain(&view);
            self.quotas().retain(&view);
            self.paths().retain(
                |it| view.upstreams.contains_key(it),
                |it| view.members.contains_key(it),
            );
            let members = self.limits().member_count(Instant::now());
            if let Some(mut rollouts) = self.rollouts() {
                rollouts.update(&view, Instant::now());
            }
            self.owner.configure(&self.view_of_owner(&view), members);
            self.view.send_replace(view);
        }
        suspicion::apply_loss_changes(self, &changes);
    }

    /// Tells the owner of steps which upstreams it may use now.
    pub(crate) fn refresh_owner(&self) {
        let view = self.view();
        let members = self.limits().member_count(Instant::now());
        self.owner.configure(&self.view_of_owner(&view), members);
    }

    /// The view that steps are run by. Upstreams that a roll-out does not allow get no more calls.
    fn view_of_owner<'a>(&self, view: &'a View) -> Cow<'a, View> {
        let withheld = match self.rollouts() {
            Some(rollouts) => rollouts.withheld(view),
            None => BTreeSet::new(),
        };
        let mut view = Cow::Borrowed(view);
        for name in withheld {
            if let Some(upstream) = view.to_mut().upstreams.get_mut(&name) {
                Arc::make_mut(upstream).phase = Phase::Draining;
            }
        }
        view
    }

    /// Since when registrations have been watched without a gap; `None` during a store outage.
    pub(crate) fn watched_since(&self, now: Instant) -> Option<Instant> {
        let mut copy = self.store_copy();
        self.update_age(&mut copy, now);
        copy.tracker.complete_since()
    }

    /// Updates the age of the rows, and logs the beginning and the end of a gap.
    fn update_age(&self, copy: &mut StoreCopy, now: Instant) {
        let age = copy.age();
        if let Some(state) = copy.tracker.set_age(age, now) {
            slog::info!(self.logger(), "{}", state; "age_ms" => age.map(|it| it.as_millis() as u64),
                "is_store_failing" => copy.is_store_failing, "lapsed" => copy.tracker.lapsed_count());
        }
    }

    fn log_change(&self, change: &Change, view: &View, age: Option<Duration>) {
        let what = match change {
            Change::Configured(version) => version.to_string(),
            Change::ConfigurationHeld(comparison) => comparison.to_string(),
            Change::ConfigurationIgnored(comparison, reason) => format!("{comparison}: {reason}"),
            Change::Unreadable(reason) => reason.clone(),
            Change::Upstream(name)
            | Change::UpstreamLeaving(name)
            | Change::UpstreamGone(name)
            | Change::UpstreamLapsed(name) => name.to_string(),
            Change::Evacuated(zone) | Change::Returned(zone) => zone.to_string(),
            Change::Member(name) | Change::MemberGone(name) | Change::MemberLapsed(name) => {
                name.to_string()
            }
            Change::RolloutWithdrawn(service) | Change::Rollout(service) => service.to_string(),
            Change::RolloutOrdered(service, software)
            | Change::Software(service, software)
            | Change::SoftwareGone(service, software) => {
                format!("{service} {software}")
            }
            Change::Loss(loss) => format!("{} {}", loss.fingerprint, loss.incarnation),
            Change::LossDropped(fingerprint, incarnation) => {
                format!("{fingerprint} {incarnation}")
            }
        };
        let upstream = match change {
            Change::Upstream(name)
            | Change::UpstreamLeaving(name)
            | Change::UpstreamLapsed(name) => view.upstreams.get(name),
            _ => None,
        };
        slog::info!(self.logger(), "{}", change; "what" => what, "store_version" => view.version,
            "phase" => upstream.map(|it| it.phase.to_string()),
            "started_ms" => upstream.map(|it| it.started_ms),
            "age_ms" => age.map(|it| it.as_millis() as u64));
    }

    /// Number of members in the view, at least 1 for this instance.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.view.borrow().members.len().max(1)
    }

    /// The members of the view other than this instance, by name.
    #[must_use]
    pub fn other_members(&self) -> BTreeMap<id::Instance, Arc<catalog::Member>> {
        let mut members = self.view.borrow().members.clone();
        members.remove(&self.settings.instance);
        members
    }
}

/// Wakes the tasks that keep the origins of streams.
#[derive(Debug, Default)]
pub(crate) struct OriginWakers {
    /// This instance began a stream.
    pub(crate) hand_over: Notify,
    /// There are origins that this instance has to save.
    pub(crate) save: Notify,
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
