//! What instances do beside requests, as the node does it: they hand origins over, save them, and
//! record and forget versions.

use std::collections::BTreeSet;

use base::id;
use catalog::View;
use forwarding::origin::Record;

use super::STEP_MS;
use super::World;
use super::service;

const SAVE_INTERVAL_MS: u64 = 160;
const BATCH: usize = 50;
const MEMBERS_PER_CUSTODIAN: usize = 32;
const READERS: usize = 4;
const RECORD_DELAY_MS: u64 = 300;
const RETENTION_MS: u64 = 60_000;

impl World {
    pub(super) fn hand_over(&mut self, idx: usize) {
        let count = self.members.len().div_ceil(MEMBERS_PER_CUSTODIAN) + 1;
        let custodians = self.reachable.iter().take(count);
        let custodians: Vec<usize> = custodians.copied().filter(|it| *it != idx).collect();
        let custodian = idx
            .checked_rem(custodians.len())
            .and_then(|it| custodians.get(it).copied());
        let member = &mut self.members[idx];
        if member.custodian != custodian {
            member.custodian = custodian;
            member.origins.reclaim();
        }
        let view = member.view.clone();
        let is_mixed = |it: &id::Service| view.has_several_versions(it);
        let records = member.origins.own(is_mixed, usize::MAX);
        if records.is_empty() {
            return;
        }
        match custodian {
            Some(custodian) => {
                let held = &mut self.members[custodian].origins;
                records.iter().cloned().for_each(|it| held.hold(it));
                let streams = records.iter().map(|it| (it.stream, custodian));
                self.custodians.extend(streams);
                self.members[idx].origins.mark_handed_over(&records);
            }
            None => self.members[idx].origins.keep(&records),
        }
    }

    pub(super) fn save(&mut self, idx: usize) {
        // Instances save at different times.
        if !(self.now + idx as u64 * STEP_MS).is_multiple_of(SAVE_INTERVAL_MS) {
            return;
        }
        let member = &mut self.members[idx];
        let view = member.view.clone();
        let is_mixed = |it: &id::Service| view.has_several_versions(it);
        let records: Vec<Record> = member.origins.unsaved(is_mixed, BATCH);
        let obsolete = member.origins.obsolete(BATCH);
        if records.is_empty() && obsolete.len() < BATCH {
            return;
        }
        for record in &records {
            self.rows.insert(record.stream, record.origin.clone());
        }
        obsolete.iter().for_each(|it| drop(self.rows.remove(it)));
        member.origins.mark_saved(&records);
        member.origins.mark_deleted(&obsolete);
    }

    pub(super) fn record_versions(&mut self, idx: usize) {
        let mut readers = self.readers.iter().take(READERS);
        let position = readers.position(|it| *it == idx);
        let Some(position) = position else {
            return;
        };
        let now = self.now;
        let member = &mut self.members[idx];
        let view = member.view.clone();
        let missing = view.unrecorded_software();
        let delay = RECORD_DELAY_MS * position as u64;
        let gone = gone_versions(&view);
        member.gone_since.retain(|it, _| gone.contains(it));
        for software in gone {
            member.gone_since.entry(software).or_insert(now);
        }
        let obsolete = member.gone_since.iter();
        let obsolete = obsolete.filter(|it| position == 0 && it.1 + RETENTION_MS <= now);
        let obsolete: Vec<id::Software> = obsolete.map(|it| it.0.clone()).collect();
        let mut is_due = false;
        if missing.is_empty() {
            member.missing_since = None;
        } else {
            let since = *member.missing_since.get_or_insert(now);
            is_due = since + delay <= now;
        }
        if is_due {
            self.store(|it| {
                for (service, software) in missing {
                    it.software.entry(service).or_default().insert(software);
                }
            });
        }
        if !obsolete.is_empty() {
            self.store(|it| {
                let recorded = it.software.entry(service()).or_default();
                recorded.retain(|it| !obsolete.contains(it));
            });
        }
    }
}

/// Recorded versions that no engine is registered with.
fn gone_versions(view: &View) -> BTreeSet<id::Software> {
    let registered = view.registered_software(&service());
    let recorded = view.software.get(&service()).cloned().unwrap_or_default();
    recorded.difference(&registered).cloned().collect()
}
