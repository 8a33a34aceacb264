//! Requests and replies.

use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use config::Document;
use forwarding::poison::Loss;
use serde::Deserialize;
use serde::Serialize;
use telemetry::timeline;

use crate::dispatch;
use crate::member;
use crate::status;
use crate::steps;

/// What one process asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Run one stage attempt at an upstream that the receiver owns.
    Dispatch(Box<dispatch::Dispatch>),
    /// Membership heartbeat.
    Heartbeat(Box<member::Heartbeat>),
    /// Give up or pass on ownership of an upstream.
    Handover(Box<dispatch::Handover>),
    /// The current view, as soon as it differs from the one that the asker holds.
    Watch(Watch),
    /// The configuration document in force.
    Document,
    /// Change the configuration.
    Change(Box<Change>),
    /// State of the process.
    Status,
    /// Events of another process of the same instance, to keep with one's own.
    Events(Vec<timeline::Event>),
    /// Events of the process.
    Timeline(Option<id::Trace>),
    /// Run the steps of a request. The results are kept until the asker drops the stream.
    Prepare(Box<steps::Prepare>),
    /// Rows of the store newer than the positions; waits a while for one.
    Rows(Vec<(mirror::Table, u64)>),
    /// Upstreams were lost while they ran requests.
    Losses(Vec<Loss>),
    /// Whether the process answers.
    Ping,
}

/// What a process answers. A stream of replies ends with the first one that is not a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Progress or end of a dispatch.
    Dispatch(dispatch::Progress),
    /// Acknowledges a heartbeat.
    Heartbeat(Box<member::Heartbeat>),
    /// The request took effect.
    Done,
    /// The view.
    View(Box<View>),
    /// The view has not changed.
    SameView,
    /// The configuration document in force, if there is one.
    Document(Option<Box<Document>>),
    /// Result of a change.
    Changed(ChangeResult),
    /// State of the process.
    Status(Box<status::Status>),
    /// Events, oldest first.
    Timeline(Vec<timeline::Event>),
    /// Progress or end of the steps of a request.
    Steps(steps::Progress),
    /// What is newer than the asker's positions.
    Rows(Box<RowsUpdate>),
}

/// What an instance knows that another one may not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowsUpdate {
    /// Rows of the store, oldest first.
    pub rows: Vec<mirror::Row>,
    /// How long ago the rows were known to be complete.
    pub age: Option<Duration>,
    /// Recent losses of upstreams while they ran a request.
    pub losses: Vec<Loss>,
    /// Requests that were under suspicion and have been answered since, and how long ago.
    pub cleared: Vec<(id::Fingerprint, Duration)>,
}

/// Asks for the current view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Incarnation of the asking gateway.
    pub gateway: u64,
    /// Configuration version that the asker has in force.
    pub config_version: u64,
    /// Digest of the rest of the view that the asker holds.
    pub digest: u64,
}

/// What a gateway needs to know of its deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Configuration version in force.
    pub config_version: u64,
    /// Digest of everything here but the document.
    pub digest: u64,
    /// The configuration document, when it is newer than the asker's.
    pub document: Option<Document>,
    /// The drained set in force, with restrictions that the table does not keep yet.
    pub drained: config::document::Drained,
    /// Members that own upstreams, or may again.
    pub members: Vec<member::Record>,
    /// Quarantined fingerprints.
    pub quarantine: BTreeSet<id::Fingerprint>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Who asks.
    pub author: String,
    /// Identifies the change, so that a lost answer can be resolved.
    pub token: id::Token,
    /// What to change.
    pub action: Action,
}

/// Kinds of change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Replace the text, if `expect` is still the version in force.
    Apply {
        /// The new YAML text.
        text: String,
        /// Version that the operator saw.
        expect: u64,
    },
    /// Take a zone or upstream out of service.
    Drain(Target),
    /// Return a zone or upstream to service.
    Return(Target),
}

/// What a drain is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display)]
pub enum Target {
    /// An availability zone.
    #[strum(to_string = "zone {0}")]
    Zone(id::Zone),
    /// One upstream.
    #[strum(to_string = "upstream {0}")]
    Upstream(id::Upstream),
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// Committed as this version.
    Committed(u64),
    /// A restriction that spreads among members and is not kept in the table yet.
    Spreading,
    /// Another change came first.
    Conflict {
        /// Version that is in force.
        version: u64,
        /// Who made it.
        author: String,
    },
    /// The text has faults; each is `line:column: problem`.
    Faults(Vec<String>),
    /// The target is not in the configuration.
    UnknownTarget,
    /// The table cannot be reached; nothing was changed.
    StoreDown,
}
