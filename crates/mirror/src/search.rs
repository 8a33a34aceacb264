//! Where an instance looks for rows that are newer than its own.
//!
//! As long as its rows are fresh, it follows the tree. Once they are not, the instances above it may
//! have lost the store while few others reach it, anywhere in the order. Then a few instances follow
//! each of those that are known to read the store, and all others ask one of a few instances at
//! random, which differ for each, so that each round multiplies those who know a change.

use base::hash;
use base::id;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::tree;

/// Instances that each one asks at random. A connection to an instance that was not asked before
/// costs a handshake.
const NEIGHBOURS: usize = 12;
/// Instances that follow each known reader outside the tree, on average.
const FOLLOWERS_PER_READER: usize = 16;

/// One of the concurrent searches of an instance.
#[derive(Clone, Debug)]
pub struct Search {
    /// Position in the tree's order of preference at which it begins.
    first: usize,
    /// Sources left since it began.
    attempts: usize,
    /// A source outside the level above, as long as it is followed.
    found: Option<id::Instance>,
}

impl Search {
    /// The `first`-th concurrent search.
    #[must_use]
    pub fn new(first: usize) -> Search {
        Search {
            first,
            attempts: 0,
            found: None,
        }
    }

    /// Begins again with the preferred source, if there is one.
    pub fn restart(&mut self) {
        self.attempts = 0;
    }

    /// Leaves the source: it has no fresh rows, or does not answer.
    pub fn leave(&mut self) {
        self.attempts += 1;
        self.found = None;
    }

    /// Whether it follows the source that it prefers.
    #[must_use]
    pub fn is_at_preferred(&self) -> bool {
        self.attempts == 0
    }

    /// Whether it follows an instance of the level above.
    #[must_use]
    pub fn is_in_tree(&self) -> bool {
        self.found.is_none()
    }

    /// The source to ask; `None` if there are no others. `order` lists all instances that are not
    /// lost, `readers` some that read the store; `is_fresh` tells whether the rows of `own` are.
    pub fn source(
        &mut self,
        order: Vec<id::Instance>,
        own: &id::Instance,
        readers: &[id::Instance],
        is_fresh: bool,
        rng: &mut impl Rng,
    ) -> Option<id::Instance> {
        let level = tree::level_count(&order, own);
        let position = self.first + self.attempts;
        let follows_tree = match has_readers(&order, readers) {
            true => self.attempts == 0 || is_fresh && position < level,
            false => false,
        };
        let mut sources = tree::sources(order, own);
        if follows_tree {
            self.found = None;
            return (position < sources.len()).then(|| sources.swap_remove(position));
        }
        let found = self.found.take().filter(|it| sources.contains(it));
        self.found = found.or_else(|| self.choose(&sources, own, readers, rng));
        self.found.clone()
    }

    /// Only the first search asks known readers, which could not answer everybody.
    fn choose(
        &self,
        sources: &[id::Instance],
        own: &id::Instance,
        readers: &[id::Instance],
        rng: &mut impl Rng,
    ) -> Option<id::Instance> {
        let readers = readers.iter().filter(|it| sources.contains(it));
        let readers: Vec<&id::Instance> = readers.collect();
        let ratio = (FOLLOWERS_PER_READER * readers.len()) as f64 / sources.len().max(1) as f64;
        if self.first == 0 && rng.random_bool(ratio.min(1.0)) {
            return readers.choose(rng).map(|it| (*it).clone());
        }
        let mut neighbours: Vec<&id::Instance> = sources.iter().collect();
        neighbours.sort_by_cached_key(|it| hash::hash_strs([own.as_str(), it.as_str()]));
        neighbours.truncate(NEIGHBOURS);
        neighbours.choose(rng).map(|it| (*it).clone())
    }
}

/// Whether readers of the tree read the store, as far as is known.
fn has_readers(order: &[id::Instance], readers: &[id::Instance]) -> bool {
    let count = tree::reader_count(order.len());
    let mut of_tree = order.iter().take(count);
    readers.is_empty() || of_tree.any(|it| readers.contains(it))
}
