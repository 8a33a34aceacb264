//! Clients' streams: they begin, break off and are taken up.

use std::time::Duration;

use base::id;
use catalog::Upstream;
use forwarding::origin;
use forwarding::origin::Continuation;
use forwarding::origin::Origin;
use forwarding::origin::Record;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::EXEMPT_MS;
use super::NOTICE_MS;
use super::PAUSE_MS_MAX;
use super::RECORDING_MS;
use super::STEP_MS;
use super::World;
use super::service;

/// Time that a client waits for its stream, over all attempts.
const PATIENCE_MS: u64 = 8_000;
const TAKE_UPS_MAX: u32 = 2;
const BREAK_MS_MAX: u64 = 1_000;
/// Share of the breaks that the instance resumes within the answer.
const RESUMED_SHARE: f64 = 0.3;
/// As in the node.
const LOOKUPS: u32 = 3;
const LOOKUP_PAUSE_MS: u64 = 150;
/// How the origin was known of a stream that its instance resumed within the answer.
const RESUMED: &str = "resumed";

/// A client's stream.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(super) id: id::Fingerprint,
    pub(super) began_at: u64,
    /// Instance that began it.
    pub(super) beginner: usize,
    /// Instance that has the current attempt.
    pub(super) member: usize,
    /// Versions that wrote events, with the time of the first and how they were chosen.
    pub(super) writers: Vec<(id::Software, u64, &'static str)>,
    engine: id::Upstream,
    /// Whether a fault may keep it from going on.
    pub(super) is_excused: bool,
    /// Whether its instance was lost while a single version was in service, so that nobody else
    /// knew where it began.
    pub(super) is_forgotten: bool,
    pub(super) next_at: u64,
    pub(super) next: Next,
    take_ups: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// The current attempt breaks off.
    Break,
    /// The client takes the stream up.
    TakeUp,
    /// The instance looks for the origin once more.
    Lookup(u32),
    End,
}

impl World {
    fn random_member(&mut self) -> Option<usize> {
        let members = self.members.iter().enumerate();
        let ready = members.filter(|it| self.now >= it.1.down_until && it.1.is_ready);
        let ready: Vec<usize> = ready.map(|it| it.0).collect();
        ready.choose(&mut self.rng).copied()
    }

    fn is_disturbed(&self, member: usize) -> bool {
        let faults = [self.members[member].disturbed_at, self.store_disturbed_at];
        let mut faults = faults.into_iter().flatten();
        faults.any(|it| it + EXEMPT_MS > self.now)
    }

    pub(super) fn begin_stream(&mut self) {
        let Some(member) = self.random_member() else {
            return;
        };
        let upstream = self.choose(member, &Continuation::Begins);
        let is_disturbed = self.is_disturbed(member);
        if !is_disturbed {
            self.begins.0 += usize::from(upstream.is_some());
            self.begins.1 += 1;
        }
        let Some(upstream) = upstream else {
            return;
        };
        self.streams_begun += 1;
        let id = id::Fingerprint(self.streams_begun);
        self.members[member].origins.record(Record {
            stream: id,
            origin: Origin::of(&upstream),
            expires_at: self.start + Duration::from_millis(self.now + PATIENCE_MS),
        });
        self.streams.push(Stream {
            id,
            began_at: self.now,
            beginner: member,
            member,
            writers: vec![(upstream.software.clone(), self.now, "begun")],
            engine: upstream.name.clone(),
            is_excused: is_disturbed,
            is_forgotten: false,
            next_at: self.now + self.rng.random_range(0..BREAK_MS_MAX),
            next: Next::Break,
            take_ups: 0,
        });
    }

    pub(super) fn step_stream(&mut self, stream: &mut Stream) {
        if self.now >= stream.began_at + PATIENCE_MS {
            stream.next = Next::End;
            return;
        }
        match stream.next {
            Next::Break => self.break_off(stream),
            Next::TakeUp => {
                let Some(member) = self.random_member() else {
                    stream.next_at = self.now + PAUSE_MS_MAX;
                    return;
                };
                stream.member = member;
                stream.take_ups += 1;
                self.look_up(stream, 1);
            }
            Next::Lookup(lookup) => self.look_up(stream, lookup),
            Next::End => {}
        }
    }

    /// The attempt breaks; its instance may resume the stream within the answer.
    fn break_off(&mut self, stream: &mut Stream) {
        if self.rng.random_bool(RESUMED_SHARE) {
            let engines = self.engines.iter();
            let mut engines = engines.filter(|it| it.upstream.name == stream.engine);
            let origin = engines.next().map(|it| Origin::of(&it.upstream));
            let upstream = origin.and_then(|it| {
                let continuation = Continuation::Resumes(it);
                self.choose(stream.member, &continuation)
            });
            if let Some(upstream) = upstream {
                self.go_on(stream, &upstream, RESUMED);
                return;
            }
        }
        stream.next = match stream.take_ups < TAKE_UPS_MAX {
            true => Next::TakeUp,
            false => Next::End,
        };
        stream.next_at = self.now + self.rng.random_range(0..PAUSE_MS_MAX);
    }

    fn go_on(&mut self, stream: &mut Stream, upstream: &Upstream, how: &'static str) {
        if how != RESUMED {
            self.members[stream.member].origins.remember(Record {
                stream: stream.id,
                origin: Origin::of(upstream),
                expires_at: self.start + Duration::from_millis(stream.began_at + PATIENCE_MS),
            });
        }
        let writer = (upstream.software.clone(), self.now, how);
        stream.writers.push(writer);
        stream.engine = upstream.name.clone();
        stream.next = Next::Break;
        stream.next_at = self.now + self.rng.random_range(STEP_MS..BREAK_MS_MAX);
    }

    fn look_up(&mut self, stream: &mut Stream, lookup: u32) {
        if self.now < self.members[stream.member].down_until {
            stream.next = Next::TakeUp;
            stream.next_at = self.now + PAUSE_MS_MAX;
            return;
        }
        let found = self.find_origin(stream);
        if found.is_none() && lookup < LOOKUPS && self.can_read(stream.member) {
            stream.next = Next::Lookup(lookup + 1);
            stream.next_at = self.now + LOOKUP_PAUSE_MS;
            return;
        }
        let upstream = found.as_ref().and_then(|(_, origin)| {
            let continuation = Continuation::Resumes(origin.clone());
            self.choose(stream.member, &continuation)
        });
        if self.counts(stream) {
            self.take_ups.0 += usize::from(upstream.is_some());
            self.take_ups.1 += 1;
            if !self.is_recording(stream) {
                self.settled_take_ups.0 += usize::from(upstream.is_some());
                self.settled_take_ups.1 += 1;
            }
        }
        match (upstream, found) {
            (Some(upstream), Some((how, _))) => self.go_on(stream, &upstream, how),
            _ => stream.next = Next::End,
        }
    }

    /// Whether a take-up of a stream has to go on.
    fn counts(&self, stream: &Stream) -> bool {
        let has_several_versions = self.stored.has_several_versions(&service());
        let is_unknown = stream.is_forgotten && has_several_versions;
        let is_excused = stream.is_excused || is_unknown || self.is_disturbed(stream.member);
        !is_excused && self.is_in_service(stream)
    }

    fn can_read(&self, member: usize) -> bool {
        self.is_store_up() && self.now >= self.members[member].cut_until
    }

    fn find_origin(&self, stream: &Stream) -> Option<(&'static str, Origin)> {
        let known = self.members[stream.member].origins.get(stream.id);
        if let Some(origin) = known {
            return Some(("memory", origin.clone()));
        }
        if !self.can_read(stream.member) {
            return None;
        }
        if let Some(origin) = self.rows.get(&stream.id) {
            return Some(("store", origin.clone()));
        }
        let recorded = self.stored.software.get(&service())?;
        let origin = origin::only_origin(&service(), recorded)?;
        Some(("only version", origin))
    }

    /// Whether an engine was registered after a stream had begun and shortly before now.
    fn is_recording(&self, stream: &Stream) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|it| {
            it.registered_at >= stream.began_at && it.registered_at + RECORDING_MS > self.now
        })
    }

    /// Whether two engines of the version that began a stream are in service.
    fn is_in_service(&self, stream: &Stream) -> bool {
        let software = &stream.writers[0].0;
        let engines = self.engines.iter().filter(|it| {
            it.upstream.software == *software
                && it.retired_at.is_none()
                && it.registered_at + NOTICE_MS <= self.now
        });
        engines.count() >= 2
    }
}
