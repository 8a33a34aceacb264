//! A gateway's view of its deployment, kept up to date by watching the dispatcher of its instance.

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

/// Delay after a failed watch or an unusable update.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a watch; the dispatcher answers within a second even if nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Configuration, members and quarantine as a gateway knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Configuration in force.
    pub snapshot: Snapshot,
    /// All known members, in every state.
    pub members: Vec<member::Record>,
    /// Fingerprints of the requests that are refused because they have crashed upstreams.
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

    /// Whether requests can be served: a configuration and at least one member are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.version > 0 && !self.members.is_empty()
    }

    /// Whether the gateway that holds a claim is still running, as far as this view knows: its
    /// member is neither lost nor gone and has no newer gateway incarnation.
    pub(crate) fn is_live(&self, holder: &claims::row::Holder) -> bool {
        self.members.iter().any(|it| {
            it.instance == holder.instance
                && it.gateway <= holder.incarnation
                && it.state < member::State::Lost
        })
    }

    /// Returns the view after an update; `None` if its configuration does not compile or is older
    /// than the current one.
    fn updated_view(&self, update: message::View) -> Option<View> {
        let mut snapshot = match &update.document {
            Some(document) => Snapshot::compile(document).ok()?,
            None => self.snapshot.clone(),
        };
        if snapshot.version < self.snapshot.version {
            // The dispatcher has restarted and not yet read the latest configuration.
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

/// Watches the dispatcher at address `dispatcher` on behalf of the gateway `incarnation`, and
/// publishes each changed view to `view`. Never returns.
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
        let watch_request = wire::peer::request(peer.as_ref(), dispatcher, request);
        let reply = tokio::time::timeout(WATCH_TIMEOUT, watch_request).await;
        let update = match reply {
            Ok(Ok(Reply::View(update))) => update,
            Ok(Ok(Reply::SameView)) => continue,
            _ => {
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(updated_view) = current.updated_view(*update) else {
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            continue;
        };
        if updated_view.snapshot.version != current.snapshot.version {
            let version = updated_view.snapshot.version;
            telemetry.event(Event::new(Kind::Configured).with("version", version));
        }
        if updated_view != *current {
            view.send_replace(Arc::new(updated_view));
        }
    }
}
