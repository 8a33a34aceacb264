//! Configuration: reading it from the table, committing changes, and drains ahead of the table.

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
/// Tries to resolve an ambiguous or contended commit.
const COMMIT_TRIES: u32 = 5;

/// Why a commit did not go through.
enum Rejected {
    /// The change does not apply to the document that is in force.
    Change(ChangeResult),
    /// The table is down or its answers stay ambiguous.
    Store,
}

impl Node {
    /// Reads the configuration row and puts a newer document in force.
    pub(crate) async fn poll_config(&self) {
        let known = self.lock().row_version;
        let read = self.platform.read(CONFIG_ROW_KEY.to_owned(), known).await;
        self.lock().is_store_up = read.is_ok();
        if let Ok(Read::Row(row)) = read {
            self.lock().row_version = Some(row.version);
            self.take_document(decode(&row));
        }
    }

    /// Fetches a newer document from the member that announced it.
    pub(crate) async fn fetch_document(&self) {
        let newest = {
            let state = self.lock();
            state.newest.1.filter(|_| state.is_behind())
        };
        let Some(address) = newest else {
            return self.poll_config().await;
        };
        let asked = wire::peer::request(self.peer.as_ref(), address, Request::Document).await;
        match asked {
            Ok(Reply::Document(Some(document))) => self.take_document(Some(*document)),
            _ => self.poll_config().await,
        }
    }

    fn take_document(&self, document: Option<Document>) {
        let Some(document) = document else {
            self.telemetry.count("config.unreadable", 1);
            return;
        };
        let version = document.version;
        let adopted = self.lock().adopt(document);
        match adopted {
            Ok(true) => {}
            Ok(false) => return,
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string);
                slog::error!(self.telemetry.logger(), "config_unreadable";
                    "version" => version, "fault" => fault);
                return;
            }
        }
        self.telemetry
            .event(Event::new(Kind::Configured).with("version", version));
        self.refresh();
    }

    /// Makes a change that an operator asks for.
    pub(crate) async fn change(&self, change: Change) -> ChangeResult {
        match self.commit(&change).await {
            Ok(document) => {
                let version = document.version;
                self.take_document(Some(document));
                ChangeResult::Committed(version)
            }
            Err(Rejected::Change(result)) => result,
            Err(Rejected::Store) => self.without_store(change),
        }
    }

    /// A drain only restricts, so it may go ahead of the table; anything else needs the table.
    fn without_store(&self, change: Change) -> ChangeResult {
        let Action::Drain(target) = change.action else {
            return ChangeResult::StoreDown;
        };
        if !is_known(&self.lock().snapshot, &target) {
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

    /// Commits drains that went ahead of the table.
    pub(crate) async fn commit_restrictions(&self) {
        let pending: Vec<Restriction> = self.lock().membership.restrictions().cloned().collect();
        for restriction in pending {
            let change = Change {
                author: restriction.author,
                token: restriction.token,
                action: Action::Drain(restriction.target),
            };
            match self.commit(&change).await {
                Ok(document) => self.take_document(Some(document)),
                Err(_) => return,
            }
        }
    }

    /// Commits `change` by conditional transactions until one is certain.
    async fn commit(&self, change: &Change) -> Result<Document, Rejected> {
        for _ in 0..COMMIT_TRIES {
            let (expect, current) = self.read_current().await.map_err(|_| Rejected::Store)?;
            if current.contains_change(change.token) {
                // An earlier try took effect although its answer was lost.
                return Ok(current);
            }
            let next = self.apply(&current, change).map_err(Rejected::Change)?;
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
                Err(Error::Down) => return Err(Rejected::Store),
            }
        }
        Err(Rejected::Store)
    }

    async fn read_current(&self) -> Result<(Expect, Document), Error> {
        match self.platform.read(CONFIG_ROW_KEY.to_owned(), None).await? {
            Read::Row(row) => {
                let document = decode(&row).ok_or(Error::Protocol)?;
                Ok((Expect::Version(row.version), document))
            }
            Read::Absent | Read::Unchanged => Ok((Expect::Absent, Document::initial())),
        }
    }

    /// The document that follows `current` by `change`.
    fn apply(&self, current: &Document, change: &Change) -> Result<Document, ChangeResult> {
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
                Snapshot::compile(&next).map_err(|faults| {
                    ChangeResult::Faults(faults.iter().map(ToString::to_string).collect())
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
                for token in self.pending_for(target) {
                    next.record_token(token);
                }
            }
        }
        Ok(next)
    }

    /// Restrictions of `target` that a return settles together with the kept ones.
    fn pending_for(&self, target: &Target) -> Vec<id::Token> {
        let state = self.lock();
        let pending = state.membership.restrictions();
        let of_target = pending.filter(|it| it.target == *target);
        of_target.map(|it| it.token).collect()
    }
}

fn decode(row: &table::Row) -> Option<Document> {
    serde_json::from_str(&row.value).ok()
}

fn check_target(current: &Document, target: &Target) -> Result<(), ChangeResult> {
    let snapshot = Snapshot::compile(current).map_err(|_| ChangeResult::UnknownTarget)?;
    match is_known(&snapshot, target) {
        true => Ok(()),
        false => Err(ChangeResult::UnknownTarget),
    }
}

fn is_known(snapshot: &Snapshot, target: &Target) -> bool {
    match target {
        Target::Zone(zone) => snapshot.deployment.zones.contains(zone),
        Target::Upstream(name) => snapshot.deployment.upstream(name).is_some(),
    }
}
