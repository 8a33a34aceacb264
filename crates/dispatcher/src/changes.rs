//! Configuration: reads the document from the store, commits changes to it, and applies drains
//! before they are committed while the store is down.

use base::id;
use config::Document;
use config::Snapshot;
use table::Commit;
use table::Error;
use table::Expect;
use table::Op;
use table::Read;
use telemetry::timeline::Event;
use telemetry::timeline::Kind;
use tokio::time::Instant;
use wire::Reply;
use wire::Request;
use wire::member::Restriction;
use wire::message::Action;
use wire::message::Change;
use wire::message::ChangeResult;
use wire::message::Target;

use crate::node::Node;

/// Key of the row that holds the configuration document.
pub const CONFIG_ROW_KEY: &str = "config/current";
/// Limit on attempts to commit a change when commits conflict or their outcome is ambiguous.
const MAX_COMMIT_ATTEMPTS: u32 = 5;

/// Why a change was not committed.
enum CommitError {
    /// The change is not valid for the current document; holds the result for the operator.
    Rejected(ChangeResult),
    /// The store is down, or conflicts or ambiguous outcomes used up all attempts.
    StoreUnavailable,
}

impl Node {
    /// Reads the configuration row and adopts its document if it is newer.
    pub(crate) async fn poll_config(&self) {
        let known_version = self.lock().config_row_version;
        let read = self
            .platform
            .read(CONFIG_ROW_KEY.to_owned(), known_version)
            .await;
        self.lock().is_store_up = read.is_ok();
        if let Ok(Read::Row(row)) = read {
            self.lock().config_row_version = Some(row.version);
            self.adopt_document(decode_document(&row));
        }
    }

    /// Fetches a newer document from the member that announced it.
    pub(crate) async fn fetch_document(&self) {
        let announcer = {
            let state = self.lock();
            state.newest_version.1.filter(|_| state.is_behind())
        };
        let Some(address) = announcer else {
            return self.poll_config().await;
        };
        let reply = wire::peer::request(self.peer.as_ref(), address, Request::Document).await;
        match reply {
            Ok(Reply::Document(Some(document))) => self.adopt_document(Some(*document)),
            _ => self.poll_config().await,
        }
    }

    fn adopt_document(&self, document: Option<Document>) {
        let Some(document) = document else {
            self.telemetry.count("config.unreadable", 1);
            return;
        };
        let version = document.version;
        let adopted = self.lock().adopt(document);
        match adopted {
            Ok(true) => {}
            Ok(false) => return,
            Err(diagnostics) => {
                let fault = diagnostics.first().map(ToString::to_string);
                slog::error!(self.telemetry.logger(), "config_unreadable";
                    "version" => version, "fault" => fault);
                return;
            }
        }
        self.telemetry
            .event(Event::new(Kind::Configured).with("version", version));
        self.refresh();
    }

    /// Commits a change that an operator requested and adopts the result.
    pub(crate) async fn change(&self, change: Change) -> ChangeResult {
        match self.commit(&change).await {
            Ok(document) => {
                let version = document.version;
                self.adopt_document(Some(document));
                ChangeResult::Committed(version)
            }
            Err(CommitError::Rejected(result)) => result,
            Err(CommitError::StoreUnavailable) => self.apply_without_store(change),
        }
    }

    /// Applies a drain while the store is down: a drain only restricts, so it may take effect
    /// through membership before it is committed. All other changes need the store.
    fn apply_without_store(&self, change: Change) -> ChangeResult {
        let Action::Drain(target) = change.action else {
            return ChangeResult::StoreDown;
        };
        if !target_exists(&self.lock().snapshot, &target) {
            return ChangeResult::UnknownTarget;
        }
        let restriction = Restriction {
            token: change.token,
            target,
            author: change.author,
        };
        self.lock().membership.restrict(restriction, Instant::now());
        self.refresh();
        ChangeResult::Spreading
    }

    /// Commits drains that were applied while the store was down.
    pub(crate) async fn commit_restrictions(&self) {
        let pending: Vec<Restriction> = self.lock().membership.restrictions().cloned().collect();
        for restriction in pending {
            let change = Change {
                author: restriction.author,
                token: restriction.token,
                action: Action::Drain(restriction.target),
            };
            match self.commit(&change).await {
                Ok(document) => self.adopt_document(Some(document)),
                Err(_) => return,
            }
        }
    }

    /// Commits `change` with conditional transactions, which are retried on a conflict or an
    /// ambiguous outcome.
    async fn commit(&self, change: &Change) -> Result<Document, CommitError> {
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let (expect, current) = self
                .read_current()
                .await
                .map_err(|_| CommitError::StoreUnavailable)?;
            if current.contains_change(change.token) {
                // An earlier attempt took effect although its response was lost.
                return Ok(current);
            }
            let next = self
                .next_document(&current, change)
                .map_err(CommitError::Rejected)?;
            // The document holds only strings and numbers, which always serialise.
            let value = serde_json::to_string(&next).unwrap_or_default();
            let op = Op {
                key: CONFIG_ROW_KEY.to_owned(),
                expect,
                value: Some(value),
            };
            match self.platform.transact(vec![op]).await {
                Ok(Commit::Applied(_)) => return Ok(next),
                Ok(Commit::Conflict(_)) | Err(Error::Ambiguous | Error::Protocol) => {}
                Err(Error::Down) => return Err(CommitError::StoreUnavailable),
            }
        }
        Err(CommitError::StoreUnavailable)
    }

    async fn read_current(&self) -> Result<(Expect, Document), Error> {
        match self.platform.read(CONFIG_ROW_KEY.to_owned(), None).await? {
            Read::Row(row) => {
                let document = decode_document(&row).ok_or(Error::Protocol)?;
                Ok((Expect::Version(row.version), document))
            }
            Read::Absent | Read::Unchanged => Ok((Expect::Absent, Document::initial())),
        }
    }

    /// Returns the document that results from applying `change` to `current`.
    fn next_document(&self, current: &Document, change: &Change) -> Result<Document, ChangeResult> {
        let mut next = current.next_version(&change.author, change.token);
        match &change.action {
            Action::Apply { text, expect } => {
                if *expect != current.version {
                    return Err(ChangeResult::Conflict {
                        version: current.version,
                        author: current.author.clone(),
                    });
                }
                next.text.clone_from(text);
                Snapshot::compile(&next).map_err(|diagnostics| {
                    ChangeResult::Faults(diagnostics.iter().map(ToString::to_string).collect())
                })?;
            }
            Action::Drain(target) => {
                check_target(current, target)?;
                match target {
                    Target::Zone(zone) => next.drained.zones.insert(zone.clone()),
                    Target::Upstream(name) => next.drained.upstreams.insert(name.clone()),
                };
            }
            Action::Return(target) => {
                check_target(current, target)?;
                match target {
                    Target::Zone(zone) => next.drained.zones.remove(zone),
                    Target::Upstream(name) => next.drained.upstreams.remove(name),
                };
                for token in self.pending_tokens(target) {
                    next.record_token(token);
                }
            }
        }
        Ok(next)
    }

    /// Tokens of the uncommitted drains of `target`, which a return to service revokes together
    /// with the committed one.
    fn pending_tokens(&self, target: &Target) -> Vec<id::Token> {
        let state = self.lock();
        let pending = state.membership.restrictions();
        let of_target = pending.filter(|it| it.target == *target);
        of_target.map(|it| it.token).collect()
    }
}

fn decode_document(row: &table::Row) -> Option<Document> {
    serde_json::from_str(&row.value).ok()
}

fn check_target(current: &Document, target: &Target) -> Result<(), ChangeResult> {
    let snapshot = Snapshot::compile(current).map_err(|_| ChangeResult::UnknownTarget)?;
    match target_exists(&snapshot, target) {
        true => Ok(()),
        false => Err(ChangeResult::UnknownTarget),
    }
}

fn target_exists(snapshot: &Snapshot, target: &Target) -> bool {
    match target {
        Target::Zone(zone) => snapshot.deployment.zones.contains(zone),
        Target::Upstream(name) => snapshot.deployment.upstream(name).is_some(),
    }
}
