//! Which of the values that the store held under one key is the newest.
//!
//! The writer numbers the values, and within an era of the store the numbers rise. After a return from
//! an older copy it may give out lost numbers again. A value that the store sends after
//! a return was either in the copy, or is a lost one that is written again, or is new. The first two
//! must not undo a newer one, the last must take effect whatever its number.

use std::collections::VecDeque;

use crate::Era;

/// Number of values that are remembered to recognise lost ones.
const SEEN_MAX: usize = 256;

/// A value that the store sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Place of the row in the store's order; `None` if a replica that knows no eras sent it.
    pub revision: Option<Revision>,
    /// Number that the writer gave the value.
    pub number: u64,
    /// Hash of the value.
    pub digest: u64,
}

/// Place of a row in the store's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the row.
    pub era: Era,
    /// Version of the row.
    pub version: u64,
}

/// Where rows come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Era of the rows; `None` if a replica that knows no eras sent them.
    pub era: Option<Era>,
    /// Version up to which this replica's first copy of the table in that era was complete. Newer rows
    /// were written in that era.
    pub start: u64,
}

impl Origin {
    /// Rows of a replica that knows no eras.
    pub const UNVERIFIED: Origin = Origin {
        era: None,
        start: 0,
    };

    /// Place of a row of this origin.
    #[must_use]
    pub fn revision(&self, version: u64) -> Option<Revision> {
        let era = self.era?;
        Some(Revision { era, version })
    }
}

/// What becomes of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes effect.
    Use,
    /// It is the one in force.
    Unchanged,
    /// It takes effect unless another one follows within a moment, because it may be a lost one that
    /// is written again before those that followed it.
    Hold,
    /// It stays unused.
    Ignore(Reason),
}

/// Why a value stays unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// A newer value was in force before.
    Superseded,
    /// Its number is lower than that of the value in force, and it may have been in the copy from
    /// which the store came back.
    PerhapsSuperseded,
    /// Its number is not higher than that of the value in force, and its era is unknown.
    UnknownEra,
}

/// The value in force and what is known of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    current: Option<Candidate>,
    /// Hashes of values, oldest first.
    seen: VecDeque<u64>,
    /// First row of the newest era that had one.
    first: Option<Revision>,
    /// First row of the era before.
    first_before: Option<Revision>,
}

impl Succession {
    /// The value in force.
    #[must_use]
    pub fn current(&self) -> Option<&Candidate> {
        self.current.as_ref()
    }

    /// Decides on a value, and puts it into force if it is to be used. `era_start` is that of its
    /// [`Origin`].
    pub fn judge(&mut self, candidate: Candidate, era_start: u64) -> Verdict {
        let verdict = self.verdict(&candidate, era_start);
        // The store may send it as a new one later.
        if verdict != Verdict::Ignore(Reason::UnknownEra) {
            self.record(&candidate);
        }
        match verdict {
            Verdict::Use => self.current = Some(candidate),
            Verdict::Unchanged if candidate.revision.is_some() => self.current = Some(candidate),
            Verdict::Unchanged | Verdict::Hold | Verdict::Ignore(_) => {}
        }
        verdict
    }

    /// Puts a value into force that was held.
    pub fn confirm(&mut self, candidate: Candidate) {
        self.current = Some(candidate);
    }

    fn verdict(&self, candidate: &Candidate, era_start: u64) -> Verdict {
        let Some(current) = &self.current else {
            return Verdict::Use;
        };
        if candidate.digest == current.digest {
            return Verdict::Unchanged;
        }
        let Some(revision) = candidate.revision else {
            return match candidate.number > current.number {
                true => Verdict::Use,
                false => Verdict::Ignore(Reason::UnknownEra),
            };
        };
        if current.revision.is_some_and(|it| it.era == revision.era) {
            return match candidate.number > current.number {
                true => Verdict::Use,
                false => Verdict::Ignore(Reason::Superseded),
            };
        }
        if self.seen.contains(&candidate.digest) {
            return Verdict::Ignore(Reason::Superseded);
        }
        // Numbers rise within an era, so the copy has no other value of the same number.
        if candidate.number >= current.number {
            return Verdict::Use;
        }
        let first_before = self.first_before(revision.era);
        let was_written_since = revision.version > era_start
            || first_before.is_some_and(|it| revision.version > it.version);
        match was_written_since {
            true => Verdict::Hold,
            false => Verdict::Ignore(Reason::PerhapsSuperseded),
        }
    }

    /// First row of the latest era before `era`. Rows of the copy from which the store came back that
    /// are newer than it have been seen.
    fn first_before(&self, era: Era) -> Option<Revision> {
        let firsts = [self.first, self.first_before].into_iter().flatten();
        firsts.filter(|it| it.era < era).max()
    }

    fn record(&mut self, candidate: &Candidate) {
        if !self.seen.contains(&candidate.digest) {
            self.seen.push_back(candidate.digest);
            if self.seen.len() > SEEN_MAX {
                self.seen.pop_front();
            }
        }
        if let Some(revision) = candidate.revision
            && self.first.is_none_or(|it| it.era < revision.era)
        {
            self.first_before = self.first;
            self.first = Some(revision);
        }
    }
}
