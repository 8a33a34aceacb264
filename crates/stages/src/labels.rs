//! Names under which the figures of workspaces are counted: those of the largest few, and one for
//! all others, so that their number stays bounded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::id;

/// Most workspaces that are counted under their own name.
pub const NAMED_MAX: usize = 8;
/// Label of all others.
pub const OTHER: &str = "other";
/// Label of work without a workspace.
pub const NONE: &str = "none";
/// A workspace is large from one in so many of all pieces counted so far.
const LARGE_PART: u64 = 16;
/// Most workspaces whose pieces are compared.
const COMPARED_MAX: usize = 256;

/// The workspaces that are counted under their own name. They stay, so that a figure goes on.
#[derive(Debug, Default)]
pub struct Labels {
    named: BTreeSet<id::Workspace>,
    counts: BTreeMap<id::Workspace, u64>,
    total: u64,
}

impl Labels {
    /// Adds pieces of a workspace; returns the label under which they are counted.
    pub fn label(&mut self, workspace: Option<&id::Workspace>, pieces: u64) -> String {
        self.total = self.total.saturating_add(pieces);
        let Some(workspace) = workspace else {
            return NONE.to_owned();
        };
        if self.named.contains(workspace) {
            return workspace.to_string();
        }
        if self.named.len() >= NAMED_MAX {
            return OTHER.to_owned();
        }
        if self.counts.len() >= COMPARED_MAX && !self.counts.contains_key(workspace) {
            return OTHER.to_owned();
        }
        let count = self.counts.entry(workspace.clone()).or_default();
        *count = count.saturating_add(pieces);
        if *count >= self.total / LARGE_PART {
            self.counts.remove(workspace);
            self.named.insert(workspace.clone());
            return workspace.to_string();
        }
        OTHER.to_owned()
    }
}
