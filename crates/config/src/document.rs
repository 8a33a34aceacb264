//! The versioned document that the platform's table keeps, and the snapshot that is in force.

mod read;

use std::collections::BTreeSet;
use std::sync::Arc;

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Diagnostic;
use crate::model::Deployment;

/// What operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// Availability zones.
    pub zones: BTreeSet<id::Zone>,
    /// Single upstreams.
    pub upstreams: BTreeSet<id::Upstream>,
}

/// One accepted version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version, one higher with every accepted change.
    pub version: u64,
    /// The operators' YAML text.
    pub text: String,
    /// What is out of service.
    pub drained: Drained,
    /// Who made the change.
    pub author: String,
    /// Tokens of the latest changes, oldest first, so that a commit whose answer was lost and a
    /// drain that spread ahead of the table can be recognised.
    pub recent: Vec<id::Token>,
}

/// Tokens that a document keeps; about eight hours of changes at the largest planned rate.
const RECENT_MAX: usize = 256;

impl Document {
    /// Whether the change `token` is part of this document.
    #[must_use]
    pub fn contains_change(&self, token: id::Token) -> bool {
        self.recent.contains(&token)
    }

    /// The next version, made by `author` through the change `token`.
    #[must_use]
    pub fn next_version(&self, author: &str, token: id::Token) -> Document {
        let mut next = self.clone();
        next.version += 1;
        next.author = author.to_owned();
        next.record_token(token);
        next
    }

    /// Adds a token to the latest changes.
    pub fn record_token(&mut self, token: id::Token) {
        self.recent.push(token);
        if self.recent.len() > RECENT_MAX {
            self.recent.remove(0);
        }
    }

    /// The document before the first accepted change.
    #[must_use]
    pub fn initial() -> Document {
        Document {
            version: 0,
            text: String::new(),
            drained: Drained::default(),
            author: String::new(),
            recent: Vec::new(),
        }
    }
}

/// A checked document in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Version of the document.
    pub version: u64,
    /// The checked model.
    pub deployment: Arc<Deployment>,
    /// What is out of service.
    pub drained: Drained,
}

impl Snapshot {
    /// The snapshot in force before any configuration was accepted.
    #[must_use]
    pub fn empty() -> Snapshot {
        Snapshot {
            version: 0,
            deployment: Arc::default(),
            drained: Drained::default(),
        }
    }

    /// Checks and compiles a document.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn compile(document: &Document) -> Result<Snapshot, Vec<Diagnostic>> {
        Ok(Snapshot {
            version: document.version,
            deployment: Arc::new(parse_deployment(&document.text)?),
            drained: document.drained.clone(),
        })
    }

    /// Whether an upstream may receive new work as far as operators are concerned.
    #[must_use]
    pub fn is_in_service(&self, upstream: &crate::model::Upstream) -> bool {
        !self.drained.zones.contains(&upstream.zone)
            && !self.drained.upstreams.contains(&upstream.name)
    }
}

/// Reads and checks an operators' text.
///
/// # Errors
///
/// Returns every fault of the text, in the order of their places.
pub fn parse_deployment(text: &str) -> Result<Deployment, Vec<Diagnostic>> {
    read::parse_deployment(text)
}
