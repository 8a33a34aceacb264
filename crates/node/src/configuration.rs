//! Which of the configurations that the store sends is in force.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use catalog::Catalog;
use mirror::Era;
use mirror::Row;
use mirror::succession::Candidate;
use mirror::succession::Origin;
use mirror::succession::Succession;
use mirror::succession::Verdict;
use platform::rows;
use tokio::time::Instant;

/// Time for which a configuration that may be a lost one is held. Operators write lost ones again one
/// after the other; a new one must be in force within 2 s.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Effect of a row with a configuration.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It is in force from now on.
    Used(Arc<Catalog>),
    /// It will be in force unless another one follows.
    Held(Comparison),
    /// It is not used.
    Ignored(Comparison, mirror::succession::Reason),
}

/// A configuration that is not in force beside the one that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Number and era of the one that is not in force.
    pub unused: (u64, Option<Era>),
    /// Number and era of the one in force.
    pub in_force: (u64, Option<Era>),
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let era = |era: Option<Era>| era.map_or("unknown".to_owned(), |it| it.to_string());
        let (unused, in_force) = (self.unused, self.in_force);
        write!(
            f,
            "{} of era {}, {} of era {} in force",
            unused.0,
            era(unused.1),
            in_force.0,
            era(in_force.1)
        )
    }
}

#[derive(Clone, Debug)]
struct Held {
    candidate: Candidate,
    catalog: Arc<Catalog>,
    until: Instant,
}

/// The configuration in force and the one that may follow it.
#[derive(Debug, Default)]
pub struct Configuration {
    succession: Succession,
    held: Option<Held>,
    /// Whether the newest row cannot be decoded, or may be newer than the configuration in force
    /// though it is not used.
    is_uncertain: bool,
}

impl Configuration {
    /// Whether operators may have put a configuration into force that is not used here.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.is_uncertain || self.held.is_some()
    }

    /// Decides on a row; `None` if it changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the value of the row is no configuration. The one in force stays so.
    pub fn apply(
        &mut self,
        row: &Row,
        origin: Origin,
        now: Instant,
    ) -> Result<Option<Outcome>, rows::Error> {
        let Some(value) = row.value.as_deref() else {
            return Ok(None);
        };
        self.held = None;
        self.is_uncertain = true;
        let catalog = Arc::new(rows::decode_config(value)?);
        let candidate = Candidate {
            revision: origin.revision(row.version),
            number: catalog.version,
            digest: hash::hash_bytes([value]),
        };
        let verdict = self.succession.judge(candidate, origin.start);
        self.is_uncertain =
            verdict == Verdict::Ignore(mirror::succession::Reason::PerhapsSuperseded);
        Ok(match verdict {
            Verdict::Use => Some(Outcome::Used(catalog)),
            Verdict::Unchanged => None,
            Verdict::Hold => {
                let until = now + HOLD_TIME;
                self.held = Some(Held {
                    candidate,
                    catalog,
                    until,
                });
                Some(Outcome::Held(self.compare(&candidate)))
            }
            Verdict::Ignore(reason) => Some(Outcome::Ignored(self.compare(&candidate), reason)),
        })
    }

    /// When the held configuration comes into force.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.as_ref().map(|it| it.until)
    }

    /// Puts the held configuration into force when it is due, and returns it.
    pub fn expire(&mut self, now: Instant) -> Option<Arc<Catalog>> {
        let held = self.held.take_if(|it| it.until <= now)?;
        self.succession.confirm(held.candidate);
        Some(held.catalog)
    }

    fn compare(&self, unused: &Candidate) -> Comparison {
        let summary = |it: &Candidate| (it.number, it.revision.map(|it| it.era));
        Comparison {
            unused: summary(unused),
            in_force: self.succession.current().map(summary).unwrap_or_default(),
        }
    }
}
