//! Builds the view that routing decisions are based on from mirrored rows of the store.
//!
//! A registration that is deleted during a store outage may merely have lapsed because its
//! upstream could not send heartbeats. A live upstream registers again within two seconds of the
//! recovery, so a lapsed upstream stays in use until then. It is no outage if only this instance
//! fails to reach the store, because other instances confirm that the rows are complete.
//!
//! When the store comes back from an older copy, whoever wrote rows that it lost writes them again.
//! Until then the view keeps what it knew: [`Configuration`] goes back to no older one, and upstreams
//! that were leaving stay so.

mod orders;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Catalog;
use catalog::Phase;
use catalog::View;
use forwarding::poison::Loss;
use mirror::Row;
use mirror::Table;
use mirror::succession::Origin;
use mirror::succession::Reason;
use platform::origins;
use platform::rows;
use platform::rows::OperatorKey;
use tokio::time::Instant;

use crate::configuration::Comparison;
use crate::configuration::Configuration;
use crate::configuration::Outcome;

/// Time after the store's recovery within which every live upstream has registered again.
const LAPSE_HOLD: Duration = Duration::from_millis(2_100);

/// Time for which evacuations and instances whose rows the store has lost stay in force. No bound is
/// known within which operators write again; an evacuation that goes on too long costs only capacity,
/// one that ends too soon sends requests to upstreams that must get none.
const REWRITE_HOLD: Duration = Duration::from_secs(10);

/// The store counts as unavailable when no instance has received an answer for this long.
/// Registrations lapse after three missed heartbeats (3.6 s), so none lapses in a shorter outage.
pub(crate) const OUTAGE_MIN: Duration = Duration::from_millis(2_500);

/// Processes of upstreams that are remembered as leaving. They stay so after their removal, since the store may
/// accept a heartbeat after it.
const LEAVING_MAX: usize = 1_000;

/// Most characters of the reason why a row cannot be decoded.
const REASON_CHARS_MAX: usize = 400;

/// What the age of the rows says of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Availability {
    /// No instance seems to reach the store.
    #[strum(to_string = "rows_outdated")]
    Outdated,
    /// The rows are complete again.
    #[strum(to_string = "rows_complete")]
    Complete,
}

/// Effect of one row on the view or on the recorded losses.
#[derive(Clone, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// A configuration with this version took effect.
    Configured(u64),
    /// A configuration takes effect in a moment, unless another one follows.
    ConfigurationHeld(Comparison),
    /// A configuration is not used, with the reason.
    ConfigurationIgnored(Comparison, Reason),
    /// A row cannot be decoded; reported once until it can be again. Any earlier configuration or member is kept; an upstream is
    /// removed from the view.
    Unreadable(String),
    /// An upstream registered or its registration changed.
    Upstream(id::Upstream),
    /// An upstream announced that it is about to stop, before its registration said so.
    UpstreamLeaving(id::Upstream),
    /// An upstream was removed from the view.
    UpstreamGone(id::Upstream),
    /// A registration was deleted during a store outage or shortly after it; the upstream stays in
    /// use for now.
    UpstreamLapsed(id::Upstream),
    /// A zone was evacuated: its upstreams receive no requests.
    Evacuated(id::Zone),
    /// The evacuation of a zone ended.
    Returned(id::Zone),
    /// An instance of this system registered or its row changed.
    Member(id::Instance),
    /// The row of an instance of this system was deleted.
    MemberGone(id::Instance),
    /// The store has lost the row of an instance of this system, which stays in the view for now.
    MemberLapsed(id::Instance),
    /// Operators ordered to move the traffic of a service to a software version.
    RolloutOrdered(id::Service, id::Software),
    /// The order of a service was removed.
    RolloutWithdrawn(id::Service),
    /// The stored state of a service's roll-out changed.
    Rollout(id::Service),
    /// A software version of a service was recorded.
    Software(id::Service, id::Software),
    /// A software version of a service has not been in service for some time.
    SoftwareGone(id::Service, id::Software),
    /// An instance lost an upstream that was running a request.
    Loss(Loss),
    /// The record of a loss was deleted.
    LossDropped(id::Fingerprint, id::Incarnation),
}

impl Change {
    /// Whether the view may differ after the change and has to be published.
    #[must_use]
    pub fn affects_view(&self) -> bool {
        !matches!(self, Change::Loss(_) | Change::LossDropped(..))
    }
}

/// Until when an upstream without a registration stays in use.
#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Instant,
    /// Whether the store has recovered since the deletion, so that `until` is final.
    is_recovered: bool,
}

impl Hold {
    fn from_recovery(recovered_at: Instant) -> Hold {
        Hold {
            until: recovered_at + LAPSE_HOLD,
            is_recovered: true,
        }
    }
}

/// Builds the view from rows, and keeps the state that decides when registrations expire.
#[derive(Debug, Default)]
pub struct ViewTracker {
    view: View,
    configuration: Configuration,
    /// Upstreams deleted during an outage or shortly after it.
    lapsed: BTreeMap<id::Upstream, Hold>,
    /// Evacuations and instances whose rows the store has lost, and until when they stay in force.
    lost_evacuations: BTreeMap<id::Zone, Instant>,
    lost_members: BTreeMap<id::Instance, Instant>,
    /// Processes of upstreams whose row or answer said that they are about to stop.
    leaving: BTreeSet<id::Incarnation>,
    /// When the rows were first complete again after the latest outage.
    recovered_at: Option<Instant>,
    /// Since when the rows have been complete without a gap.
    complete_since: Option<Instant>,
    is_outage: bool,
    /// Rows that cannot be decoded at present.
    unreadable: BTreeSet<(Table, String)>,
}

impl ViewTracker {
    /// A snapshot of the view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::new(self.view.clone())
    }

    /// Updates the outage state from the age of the rows: the time since the store or another
    /// instance last confirmed that they are complete; `None` if that has never happened. Returns
    /// the new state if it differs.
    pub fn set_age(&mut self, age: Option<Duration>, now: Instant) -> Option<Availability> {
        let is_outage = age.is_some_and(|it| it >= OUTAGE_MIN);
        let is_change = self.is_outage != is_outage;
        if self.is_outage && !is_outage {
            self.recovered_at = Some(now);
            // The hold time starts at the first recovery after the deletion, and a further gap does
            // not prolong it: an upstream that has left would stay in use from gap to gap.
            for hold in self.lapsed.values_mut().filter(|it| !it.is_recovered) {
                *hold = Hold::from_recovery(now);
            }
        }
        self.is_outage = is_outage;
        self.complete_since = match age {
            Some(_) if !is_outage => self.complete_since.or(Some(now)),
            _ => None,
        };
        let state = match is_outage {
            true => Availability::Outdated,
            false => Availability::Complete,
        };
        is_change.then_some(state)
    }

    /// Number of upstreams that stay in use for now though their registrations were deleted.
    #[must_use]
    pub fn lapsed_count(&self) -> usize {
        self.lapsed.len()
    }

    /// Since when the rows have been complete without a gap; `None` during an outage.
    #[must_use]
    pub fn complete_since(&self) -> Option<Instant> {
        self.complete_since
    }

    /// Whether operators may have put a configuration into force that the view does not have though
    /// its row is known.
    #[must_use]
    pub fn is_configuration_uncertain(&self) -> bool {
        self.configuration.is_uncertain()
    }

    /// Applies rows of `origin` that the mirror reported as changed.
    pub fn apply(&mut self, changed_rows: &[Row], origin: Origin, now: Instant) -> Vec<Change> {
        let rows = changed_rows.iter();
        let changes = rows.filter_map(|it| self.apply_row(it, origin, now));
        changes.collect()
    }

    /// Records that the store came back from an older copy of a table, without the rows `lost`. To be
    /// called before the changed rows are applied.
    pub fn begin_era(&mut self, lost: &[Row], now: Instant) -> Vec<Change> {
        self.view.version = 0;
        let changes = lost.iter().filter_map(|it| self.hold_lost(it, now));
        changes.collect()
    }

    /// Keeps what a lost row says in force until its writer had time to write it again.
    fn hold_lost(&mut self, row: &Row, now: Instant) -> Option<Change> {
        match row.table {
            Table::Operators => {
                let OperatorKey::Evacuation(zone) = rows::parse_operator_key(&row.key) else {
                    return None;
                };
                if self.view.evacuated_zones.contains(&zone) {
                    self.lost_evacuations.insert(zone, now + REWRITE_HOLD);
                }
                None
            }
            Table::Upstreams => {
                let name: id::Upstream = row.key.parse().ok()?;
                if !self.view.upstreams.contains_key(&name) {
                    return None;
                }
                self.lapsed.insert(name.clone(), Hold::from_recovery(now));
                Some(Change::UpstreamLapsed(name))
            }
            Table::Members => {
                let name = rows::parse_member_key(&row.key)?;
                self.lost_members.insert(name.clone(), now + REWRITE_HOLD);
                Some(Change::MemberLapsed(name))
            }
        }
    }

    /// Marks an upstream as draining because it announced that it is about to stop. Returns `None`
    /// if it is unknown, has restarted since, or is already draining.
    pub fn set_leaving(&mut self, incarnation: &id::Incarnation) -> Option<Change> {
        let known = self.view.upstreams.get_mut(&incarnation.upstream)?;
        if known.incarnation() != *incarnation || known.phase == Phase::Draining {
            return None;
        }
        Arc::make_mut(known).phase = Phase::Draining;
        self.record_leaving(incarnation.clone());
        Some(Change::UpstreamLeaving(incarnation.upstream.clone()))
    }

    /// Records that a process is about to stop, and forgets one beyond [`LEAVING_MAX`] that is not in
    /// the view, the one that started first.
    fn record_leaving(&mut self, incarnation: id::Incarnation) {
        self.leaving.insert(incarnation);
        if self.leaving.len() <= LEAVING_MAX {
            return;
        }
        let upstreams = &self.view.upstreams;
        let is_registered = |it: &id::Incarnation| {
            let known = upstreams.get(&it.upstream);
            known.is_some_and(|known| known.started_ms == it.started_ms)
        };
        let removed = self.leaving.iter().filter(|it| !is_registered(it));
        let oldest = removed.min_by_key(|it| it.started_ms).cloned();
        if let Some(oldest) = oldest {
            self.leaving.remove(&oldest);
        }
    }

    /// When the next lapsed upstream, or another lost row, is due for removal.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let lapsed = self.lapsed.values().map(|it| &it.until);
        let rows = lapsed.chain(self.lost_evacuations.values());
        let rows = rows.chain(self.lost_members.values()).min().copied();
        rows.into_iter()
            .chain(self.configuration.next_expiry())
            .min()
    }

    /// Puts a held configuration into force that is due. Removes the lapsed upstreams that did not
    /// register again in time, and what other lost rows said that were not written again.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let configured = self.configuration.expire(now);
        let configured = configured.map(|it| self.configure(it));
        let mut changes: Vec<Change> = configured.into_iter().collect();
        if !self.is_outage {
            changes.extend(self.expire_rows(now));
        }
        changes
    }

    fn expire_rows(&mut self, now: Instant) -> Vec<Change> {
        let expired = self.lapsed.iter().filter(|it| it.1.until <= now);
        let expired: Vec<id::Upstream> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.lapsed.remove(name);
            self.view.upstreams.remove(name);
        }
        let mut changes: Vec<Change> = expired.into_iter().map(Change::UpstreamGone).collect();
        for zone in take_expired(&mut self.lost_evacuations, now) {
            self.view.evacuated_zones.remove(&zone);
            changes.push(Change::Returned(zone));
        }
        for name in take_expired(&mut self.lost_members, now) {
            self.view.members.remove(&name);
            changes.push(Change::MemberGone(name));
        }
        changes
    }

    fn apply_row(&mut self, row: &Row, origin: Origin, now: Instant) -> Option<Change> {
        self.view.version = self.view.version.max(row.version);
        let change = match row.table {
            Table::Operators => self.apply_operator(row, origin, now),
            Table::Upstreams => self.apply_upstream(row, now),
            Table::Members => self.apply_member(row),
        };
        let row_key = (row.table, row.key.clone());
        if !matches!(change, Some(Change::Unreadable(_))) {
            self.unreadable.remove(&row_key);
            return change;
        }
        // Its writer may write it again and again.
        let is_new = self.unreadable.insert(row_key);
        change.filter(|_| is_new)
    }

    fn apply_operator(&mut self, row: &Row, origin: Origin, now: Instant) -> Option<Change> {
        match rows::parse_operator_key(&row.key) {
            OperatorKey::Config => match self.configuration.apply(row, origin, now) {
                Ok(outcome) => outcome.map(|it| self.apply_configuration(it)),
                Err(err) => Some(unreadable(row, err)),
            },
            OperatorKey::Rollout(service) => self.apply_order(service, row),
            OperatorKey::Evacuation(zone) if row.value.is_some() => {
                self.lost_evacuations.remove(&zone);
                self.view.evacuated_zones.insert(zone.clone());
                Some(Change::Evacuated(zone))
            }
            OperatorKey::Evacuation(zone) => {
                self.lost_evacuations.remove(&zone);
                self.view.evacuated_zones.remove(&zone);
                Some(Change::Returned(zone))
            }
            OperatorKey::Other => None,
        }
    }

    fn apply_configuration(&mut self, outcome: Outcome) -> Change {
        match outcome {
            Outcome::Used(catalog) => self.configure(catalog),
            Outcome::Held(comparison) => Change::ConfigurationHeld(comparison),
            Outcome::Ignored(comparison, reason) => {
                Change::ConfigurationIgnored(comparison, reason)
            }
        }
    }

    fn configure(&mut self, catalog: Arc<Catalog>) -> Change {
        let version = catalog.version;
        self.view.catalog = Some(catalog);
        Change::Configured(version)
    }

    fn apply_upstream(&mut self, row: &Row, now: Instant) -> Option<Change> {
        let name: Result<id::Upstream, _> = row.key.parse();
        let (name, value) = match (name, row.value.as_deref()) {
            (Ok(name), Some(value)) => (name, value),
            (Ok(name), None) => return self.apply_deregistration(name, now),
            (Err(err), Some(_)) => return Some(unreadable(row, err)),
            (Err(_), None) => return None,
        };
        let mut upstream = match rows::decode_upstream(&row.key, row.version, value) {
            Ok(upstream) => upstream,
            Err(err) => {
                // Without a readable address and service the upstream cannot be used.
                self.view.upstreams.remove(&name);
                return Some(unreadable(row, err));
            }
        };
        self.lapsed.remove(&name);
        // No process goes back to accepting requests, but a row may say so: the store may accept an
        // earlier heartbeat late, and an upstream may announce its stop before its row does.
        let incarnation = upstream.incarnation();
        if self.leaving.contains(&incarnation) {
            upstream.phase = Phase::Draining;
        }
        if upstream.phase == Phase::Draining {
            self.record_leaving(incarnation);
        }
        self.view.upstreams.insert(name.clone(), Arc::new(upstream));
        Some(Change::Upstream(name))
    }

    fn apply_deregistration(&mut self, name: id::Upstream, now: Instant) -> Option<Change> {
        if !self.view.upstreams.contains_key(&name) {
            return None;
        }
        let recovery = self.recovered_at.map(Hold::from_recovery);
        let hold = match self.is_outage {
            true => Some(Hold {
                until: now + LAPSE_HOLD,
                is_recovered: false,
            }),
            false => recovery.filter(|it| it.until > now),
        };
        let Some(hold) = hold else {
            self.view.upstreams.remove(&name);
            return Some(Change::UpstreamGone(name));
        };
        self.lapsed.insert(name.clone(), hold);
        Some(Change::UpstreamLapsed(name))
    }

    fn apply_member(&mut self, row: &Row) -> Option<Change> {
        if let Some((fingerprint, incarnation)) = rows::parse_loss_key(&row.key) {
            return Some(loss_change(fingerprint, incarnation, row));
        }
        if let Some((service, software)) = origins::parse_software_key(&row.key) {
            return Some(self.apply_software(service, software, row.value.is_some()));
        }
        if let Some(service) = platform::rollout::parse_key(&row.key) {
            return Some(self.apply_rollout(service, row));
        }
        let name = rows::parse_member_key(&row.key)?;
        self.lost_members.remove(&name);
        let Some(value) = row.value.as_deref() else {
            self.view.members.remove(&name);
            return Some(Change::MemberGone(name));
        };
        match rows::decode_member(name.clone(), value) {
            Ok(member) => {
                self.view.members.insert(name.clone(), Arc::new(member));
                Some(Change::Member(name))
            }
            Err(err) => Some(unreadable(row, err)),
        }
    }
}

impl ViewTracker {
    fn apply_software(
        &mut self,
        service: id::Service,
        software: id::Software,
        is_recorded: bool,
    ) -> Change {
        let recorded = self.view.software.entry(service.clone()).or_default();
        if is_recorded {
            recorded.insert(software.clone());
            return Change::Software(service, software);
        }
        recorded.remove(&software);
        if recorded.is_empty() {
            self.view.software.remove(&service);
        }
        Change::SoftwareGone(service, software)
    }
}

/// Removes the entries that are due; returns their keys.
fn take_expired<K: Clone + Ord>(held: &mut BTreeMap<K, Instant>, now: Instant) -> Vec<K> {
    let expired = held.extract_if(.., |_, until| *until <= now);
    expired.map(|(key, _)| key).collect()
}

fn loss_change(fingerprint: id::Fingerprint, incarnation: id::Incarnation, row: &Row) -> Change {
    let Some(value) = row.value.as_deref() else {
        return Change::LossDropped(fingerprint, incarnation);
    };
    match rows::decode_loss(fingerprint, incarnation, value) {
        Ok(loss) => Change::Loss(loss),
        Err(err) => unreadable(row, err),
    }
}

/// The reason quotes the row, which may be of any size.
fn unreadable(row: &Row, err: impl Display) -> Change {
    let reason = format!("{}: {err}", row.key);
    Change::Unreadable(reason.chars().take(REASON_CHARS_MAX).collect())
}
