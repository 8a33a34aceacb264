//! Requests that processes send to each other, and the replies to them.

use std::collections::BTreeSet;
use std::time::Duration;

use base::id;
use base::time::Bounded;
use config::Document;
use forwarding::origin;
use forwarding::poison::Loss;
use forwarding::quota::belief::Observation;
use forwarding::quota::loan::Stamp;
use forwarding::quota::pool::Decision;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use telemetry::timeline;

use crate::dispatch;
use crate::member;
use crate::quota;
use crate::status;
use crate::steps;
use crate::tunnel;

/// A request of one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Runs one stage attempt at an upstream that the receiver owns.
    Dispatch(Box<dispatch::Dispatch>),
    /// Membership heartbeat; the reply acknowledges it.
    Heartbeat(Box<member::Heartbeat>),
    /// Tells the new owner of an upstream what the sender still has in flight there.
    Handover(Box<dispatch::Handover>),
    /// Long poll for the view: answered once it differs from the one that the requester holds.
    Watch(Watch),
    /// Fetches the configuration document in force.
    Document,
    /// Changes the configuration.
    Change(Box<Change>),
    /// Fetches the state of the process for operators.
    Status,
    /// Events of another process of the same instance, which the receiver adds to its own timeline.
    Events(Vec<timeline::Event>),
    /// Fetches the recorded events of one trace, or all of them.
    Timeline(Option<id::Trace>),
    /// Runs the steps of a request. The results are kept until the requester closes the stream.
    Prepare(Box<steps::Prepare>),
    /// Long poll for store rows newer than the given position of each table.
    Rows(Vec<(mirror::Table, u64)>),
    /// Announces upstreams that were lost while they ran requests.
    Losses(Vec<Loss>),
    /// Checks that the process answers.
    Ping,
    /// Asks the coordinator of an upstream's limits for permission to send one request.
    Admit(Box<quota::Admit>),
    /// Tells the coordinator that a fragile upstream has rejected a request.
    Rejected(Box<quota::Rejected>),
    /// Lends the sender's share of the rate limits of a zone to the receiver.
    Lend(Box<quota::Lend>),
    /// Ends the sender's loan.
    Recall(Box<quota::Recall>),
    /// Tells the rate limits of upstreams that the sender knows; the reply tells the receiver's.
    RateLimits(Vec<Observation>),
    /// Hands the origins of streams that the sender began to the receiver, which saves them.
    Origins(Vec<Origin>),
    /// Connects to an upstream. If that succeeds, the stream carries its bytes both ways.
    Tunnel(tunnel::Open),
    /// Like [`Request::Rows`], with the eras of the store; since [`crate::Protocol::V2`].
    Updates(Vec<mirror::Position>),
    /// Like [`Request::Prepare`], with what the owner schedules and places by; since
    /// [`crate::Protocol::V3`].
    Schedule(Box<steps::Schedule>),
    /// Tells the coordinator of a roll-out what the sender has counted; since
    /// [`crate::Protocol::V3`].
    Rollout(Box<Rollout>),
    /// Like [`Request::Updates`], with the state of the requester; since [`crate::Protocol::V4`].
    Follow(Box<Follow>),
    /// Like [`Request::Follow`], with the large rows that the requester holds; since
    /// [`crate::Protocol::V5`].
    FollowPacked(Box<Follow>, Vec<mirror::pack::Held>),
}

/// A reply. A dispatch and the steps of a request get several, of which the last one tells the
/// outcome; every other request gets one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Progress or end of a dispatch.
    Dispatch(dispatch::Progress),
    /// Acknowledges a heartbeat.
    Heartbeat(Box<member::Heartbeat>),
    /// The request took effect; there is no result.
    Done,
    /// The view, which differs from the one that the requester holds.
    View(Box<View>),
    /// The view did not change before the long poll ended.
    SameView,
    /// The configuration document in force; `None` before the first accepted change.
    Document(Option<Box<Document>>),
    /// Outcome of a configuration change.
    Changed(ChangeResult),
    /// State of the process for operators.
    Status(Box<status::Status>),
    /// Recorded events, in the order in which the process recorded or received them.
    Timeline(Vec<timeline::Event>),
    /// Progress or end of the steps of a request.
    Steps(steps::Progress),
    /// Rows newer than the requested positions, with recent losses.
    Rows(Box<RowsUpdate>),
    /// Decision on a request to an upstream, and what the coordinator knows of its limit.
    Admitted(Decision, Option<Observation>),
    /// Stamp for the next loan.
    Lent(Stamp),
    /// Rate limits of upstreams.
    RateLimits(Vec<Observation>),
    /// Whether a tunnel is open.
    Tunnel(tunnel::Answer),
    /// What the requester's copies of the tables lack, with recent losses.
    Updates(Box<TablesUpdate>),
    /// What the coordinator of a roll-out allows; `None` if the receiver is not the coordinator, or
    /// cannot tell what is allowed.
    Rollout(Option<rollout::choice::Grant>),
    /// Answer to [`Request::Follow`].
    Followed(Box<Followed>),
    /// Answer to [`Request::FollowPacked`], with the large rows that the updates lack.
    FollowedPacked(Box<Followed>, Vec<mirror::pack::Packed>),
}

/// Counts of an instance for the coordinator of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: id::Service,
    /// The sender.
    pub instance: id::Instance,
    /// Distinguishes the sender's process from earlier ones.
    pub incarnation: u64,
    /// The counts.
    pub report: rollout::desk::Report,
}

/// Where a stream began, for the instance that saves it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Hash of the id of the request that began the stream.
    pub stream: id::Fingerprint,
    /// Where it began.
    pub origin: origin::Origin,
    /// Time from the send of the message for which the client waits for the stream.
    #[serde_as(as = "Bounded")]
    pub remaining: Duration,
}

/// Long poll for what the requester's copies of the tables lack. Answered once there are changes, once
/// the receiver's copies were complete at a later time, once the rows of one are fresh and those of the
/// other are not, or after `wait`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Position of the requester in each table.
    pub positions: Vec<mirror::Position>,
    /// Time since the requester's copies were known to be complete; `None` if they never were.
    #[serde_as(as = "Option<Bounded>")]
    pub age: Option<Duration>,
    /// Whether the rows of the requester are fresh.
    pub is_fresh: bool,
    /// Longest time to wait for an answer.
    #[serde_as(as = "Bounded")]
    pub wait: Duration,
}

/// What the requester of [`Request::Follow`] may not know yet.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    /// Changes of the tables, and news as of the answer.
    pub update: TablesUpdate,
    /// Time from the arrival of the request to the answer.
    #[serde_as(as = "Bounded")]
    pub waited: Duration,
    /// Instances that read the store, with the time since the latest response to each.
    #[serde_as(as = "Vec<(_, Bounded)>")]
    pub readers: Vec<(id::Instance, Duration)>,
}

/// What the requester of [`Request::Rows`] may not know yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowsUpdate {
    /// Store rows newer than the requested positions, oldest first.
    pub rows: Vec<mirror::Row>,
    /// Everything else.
    pub news: News,
}

/// What the requester of [`Request::Updates`] may not know yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TablesUpdate {
    /// Changes of the tables.
    pub tables: Vec<mirror::Update>,
    /// Everything else.
    pub news: News,
}

/// What an instance tells those that follow it, beside the rows of the store. Encoded as part of
/// [`RowsUpdate`], of which earlier builds know every field.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Time since the sender's copy was known to be complete; `None` if it never was, or if it is of
    /// an earlier era than the requester's.
    #[serde_as(as = "Option<Bounded>")]
    pub age: Option<Duration>,
    /// Recent losses of upstreams while they ran a request.
    pub losses: Vec<Loss>,
    /// Requests suspected of crashing upstreams and answered since, with the time since the answer.
    #[serde_as(as = "Vec<(_, Bounded)>")]
    pub cleared: Vec<(id::Fingerprint, Duration)>,
    /// Rate limits of upstreams that have changed recently.
    pub rate_limits: Vec<Observation>,
}

/// Long poll of a gateway for a view that differs from its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Incarnation of the gateway.
    pub gateway: u64,
    /// Configuration version that the gateway has in force.
    pub config_version: u64,
    /// [`View::digest`] of the view that the gateway holds.
    pub digest: u64,
}

/// State of the deployment that a gateway routes by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Configuration version in force.
    pub config_version: u64,
    /// Digest of the view without the document.
    pub digest: u64,
    /// The configuration document, if it is newer than the one that the gateway has in force.
    pub document: Option<Document>,
    /// Drained zones and upstreams, including drains that are not committed to the table yet.
    pub drained: config::document::Drained,
    /// All known members, including those that have left.
    pub members: Vec<member::Record>,
    /// Fingerprints of quarantined requests.
    pub quarantine: BTreeSet<id::Fingerprint>,
}

/// A configuration change that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Operator who requests the change.
    pub author: String,
    /// Identifies the change, so that a commit whose answer was lost can be recognised.
    pub token: id::Token,
    /// What to change.
    pub action: Action,
}

/// A kind of configuration change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Replaces the configuration text if `expect` is still the version in force.
    Apply {
        /// The new YAML text.
        text: String,
        /// Version that the operator's text is based on.
        expect: u64,
    },
    /// Takes a zone or upstream out of service.
    Drain(Target),
    /// Returns a drained zone or upstream to service.
    Return(Target),
}

/// What is drained or returned to service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display)]
pub enum Target {
    /// An availability zone.
    #[strum(to_string = "zone {0}")]
    Zone(id::Zone),
    /// One upstream.
    #[strum(to_string = "upstream {0}")]
    Upstream(id::Upstream),
}

/// Outcome of a configuration change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// Committed; holds the new version.
    Committed(u64),
    /// The table is unreachable: the drain is gossiped among the members and committed later.
    Spreading,
    /// Another change was committed first.
    Conflict {
        /// Version in force.
        version: u64,
        /// Operator who made that version.
        author: String,
    },
    /// The text is invalid; each entry is `line:column: problem`.
    Faults(Vec<String>),
    /// The zone or upstream is not in the configuration.
    UnknownTarget,
    /// The table cannot be reached, or no commit got a definite answer.
    StoreDown,
}
