//! The versioned configuration document in the platform's table, and the validated snapshot that
//! processes run with.

mod read;

use std::collections::BTreeSet;
use std::sync::Arc;

use base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Diagnostic;
use crate::model::Deployment;

/// Zones and upstreams that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// Drained availability zones; no upstream in them gets new work.
    pub zones: BTreeSet<id::Zone>,
    /// Upstreams drained one by one.
    pub upstreams: BTreeSet<id::Upstream>,
}

/// One committed version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; each committed change increments it by one.
    pub version: u64,
    /// YAML text of the deployment.
    pub text: String,
    /// Zones and upstreams out of service.
    pub drained: Drained,
    /// Author of the change that created this version.
    pub author: String,
    /// Tokens of the latest changes, oldest first. They show that a commit whose response was lost
    /// has been applied, and that the table contains a drain that was gossiped before it was
    /// stored.
    pub recent: Vec<id::Token>,
}

/// Change tokens kept in a document: about eight hours of changes at the highest planned rate.
const RECENT_TOKENS_MAX: usize = 256;

impl Document {
    /// Whether the change with this token is among the recent changes of this document.
    #[must_use]
    pub fn contains_change(&self, token: id::Token) -> bool {
        self.recent.contains(&token)
    }

    /// Returns a copy with the next version number, `author`, and `token` as its latest change.
    #[must_use]
    pub fn next_version(&self, author: &str, token: id::Token) -> Document {
        let mut next = self.clone();
        next.version += 1;
        next.author = author.to_owned();
        next.record_token(token);
        next
    }

    /// Appends `token` to the recent changes, and drops the oldest one beyond the limit.
    pub fn record_token(&mut self, token: id::Token) {
        self.recent.push(token);
        if self.recent.len() > RECENT_TOKENS_MAX {
            self.recent.remove(0);
        }
    }

    /// Returns the empty document of version 0, which precedes the first change.
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

/// A validated version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Version of the document.
    pub version: u64,
    /// Validated model of the text.
    pub deployment: Arc<Deployment>,
    /// Zones and upstreams out of service.
    pub drained: Drained,
}

impl Snapshot {
    /// Returns the empty snapshot of version 0, used until a configuration has been read.
    #[must_use]
    pub fn empty() -> Snapshot {
        Snapshot {
            version: 0,
            deployment: Arc::default(),
            drained: Drained::default(),
        }
    }

    /// Parses and validates the text of a document.
    ///
    /// # Errors
    ///
    /// Returns every error of the text.
    pub fn compile(document: &Document) -> Result<Snapshot, Vec<Diagnostic>> {
        Ok(Snapshot {
            version: document.version,
            deployment: Arc::new(parse_deployment(&document.text)?),
            drained: document.drained.clone(),
        })
    }

    /// Whether neither the upstream nor its zone is drained; its load and health are not checked.
    #[must_use]
    pub fn is_in_service(&self, upstream: &crate::model::Upstream) -> bool {
        !self.drained.zones.contains(&upstream.zone)
            && !self.drained.upstreams.contains(&upstream.name)
    }
}

/// Parses and validates the YAML text of a deployment.
///
/// # Errors
///
/// Returns every error of the text, in the order of their positions.
pub fn parse_deployment(text: &str) -> Result<Deployment, Vec<Diagnostic>> {
    read::parse_deployment(text)
}
