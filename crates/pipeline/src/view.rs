//! A gateway's view of its deployment, followed from the dispatcher of its instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::id;
use base::invariant;
use base::invariant::Invariant;
use config::Snapshot;
use telemetry::Telemetry;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::sync::watch;
use wire::Reply;
use wire::Request;
use wire::member;
use wire::message;
use wire::peer::Peer;

const FOLLOW_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for an answer to a watch, which comes within a second.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// What a gateway knows.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Configuration in force.
    pub snapshot: Snapshot,
    /// Members.
    pub members: Vec<member::Record>,
    /// Quarantined fingerprints.
    pub quarantine: BTreeSet<id::Fingerprint>,
    digest: u64,
}

impl View {
    /// The view of a gateway that has just started.
    #[must_use]
    pub fn empty() -> View {
        View {
            snapshot: Snapshot::empty(),
            members: Vec::new(),
            quarantine: BTreeSet::new(),
            digest: 0,
        }
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.version > 0 && !self.members.is_empty()
    }

    /// Whether `holder` still lives, as far as this view tells.
    pub(crate) fn is_live(&self, holder: &claims::row::Holder) -> bool {
        self.members.iter().any(|it| {
            it.instance == holder.instance
                && it.gateway <= holder.incarnation
                && it.state < member::State::Lost
        })
    }

    /// The view after an update.
    fn updated(&self, update: message::View) -> Option<View> {
        let mut snapshot = match &update.document {
            Some(document) => Snapshot::compile(document).ok()?,
            None => self.snapshot.clone(),
        };
        if snapshot.version < self.snapshot.version {
            // The dispatcher restarted and has not caught up yet.
            return None;
        }
        invariant::check(
            Invariant::ConfigNeverReverts,
            snapshot.version >= self.snapshot.version,
        );
        snapshot.drained = update.drained;
        Some(View {
            snapshot,
            members: update.members,
            quarantine: update.quarantine,
            digest: update.digest,
        })
    }
}

/// Follows the dispatcher at `dispatcher`, on behalf of a gateway of this `incarnation`, for as long as the view has readers.
pub async fn follow_view(
    peer: Arc<dyn Peer>,
    dispatcher: SocketAddr,
    incarnation: u64,
    view: watch::Sender<Arc<View>>,
    telemetry: Telemetry,
) {
    loop {
        let current = view.borrow().clone();
        let request = Request::Watch(message::Watch {
            gateway: incarnation,
            config_version: current.snapshot.version,
            digest: current.digest,
        });
        let asked = wire::peer::request(peer.as_ref(), dispatcher, request);
        let reply = tokio::time::timeout(WATCH_TIMEOUT, asked).await;
        let update = match reply {
            Ok(Ok(Reply::View(update))) => update,
            Ok(Ok(Reply::SameView)) => continue,
            _ => {
                tokio::time::sleep(FOLLOW_RETRY).await;
                continue;
            }
        };
        let Some(updated) = current.updated(*update) else {
            tokio::time::sleep(FOLLOW_RETRY).await;
            continue;
        };
        if updated.snapshot.version != current.snapshot.version {
            let version = updated.snapshot.version;
            telemetry.event(Event::new(Kind::Configured).with("version", version));
        }
        if updated != *current {
            view.send_replace(Arc::new(updated));
        }
    }
}
