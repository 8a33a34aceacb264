//! A session with the dispatchers of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::id;
use config::Document;
use config::settings;
use telemetry::timeline;
use wire::Reply;
use wire::Request;
use wire::member;
use wire::message::Action;
use wire::message::Change;
use wire::message::ChangeResult;
use wire::quic;
use wire::status::Status;

use crate::failure::Failure;

const ASK_TIMEOUT: Duration = Duration::from_secs(10);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A session.
pub(crate) struct Session {
    client: quic::Client,
    settings: settings::Client,
}

impl Session {
    pub(crate) fn open(settings: settings::Client) -> Result<Session, Failure> {
        let setup = |err: &dyn std::fmt::Display| Failure::Setup(err.to_string());
        let keys = wire::tls::load(&settings.tls).map_err(|err| setup(&err))?;
        let local = SocketAddr::new(settings.dispatchers[0].ip(), 0);
        let client = quic::Client::new(&keys, local).map_err(|err| setup(&err))?;
        Ok(Session { client, settings })
    }

    async fn ask(&self, to: SocketAddr, request: Request, timeout: Duration) -> Option<Reply> {
        let asked = wire::peer::request(&self.client, to, request);
        tokio::time::timeout(timeout, asked).await.ok()?.ok()
    }

    /// Asks the first dispatcher that answers.
    async fn ask_any(&self, request: Request) -> Result<Reply, Failure> {
        for to in &self.settings.dispatchers {
            if let Some(reply) = self.ask(*to, request.clone(), ASK_TIMEOUT).await {
                return Ok(reply);
            }
        }
        Err(Failure::Unreachable)
    }

    /// The configuration in force.
    pub(crate) async fn document(&self) -> Result<Document, Failure> {
        match self.ask_any(Request::Document).await? {
            Reply::Document(Some(document)) => Ok(*document),
            Reply::Document(None) => Ok(Document::initial()),
            _ => Err(Failure::Unreachable),
        }
    }

    /// Makes a change. A lost answer is resolved by asking again with the same token.
    pub(crate) async fn change(&self, action: Action) -> Result<ChangeResult, Failure> {
        let change = Change {
            author: self.settings.author.clone(),
            token: id::Token::random(&mut rand::rng()),
            action,
        };
        let request = Request::Change(Box::new(change));
        match self.ask_any(request.clone()).await? {
            Reply::Changed(ChangeResult::Spreading) => {
                self.tell_all(request).await;
                Ok(ChangeResult::Spreading)
            }
            Reply::Changed(result) => Ok(result),
            _ => Err(Failure::Unreachable),
        }
    }

    /// Tells every dispatcher of a drain that the table does not keep yet: the first one may be cut
    /// off from the others. The token makes the repetition harmless.
    async fn tell_all(&self, request: Request) {
        for to in &self.settings.dispatchers {
            // One that does not answer is named when the client waits for the drain.
            let _ = self.ask(*to, request.clone(), STATUS_TIMEOUT).await;
        }
    }

    /// Members that have not left, as the first dispatcher that answers knows them.
    async fn members(&self) -> Result<Vec<member::Record>, Failure> {
        let Reply::Status(status) = self.ask_any(Request::Status).await? else {
            return Err(Failure::Unreachable);
        };
        let present = |it: &member::Record| it.state != member::State::Gone && it.incarnation > 0;
        Ok(status.members.into_iter().filter(present).collect())
    }

    /// State of every member; `None` for one that does not answer.
    pub(crate) async fn statuses(&self) -> Result<BTreeMap<id::Instance, Option<Status>>, Failure> {
        let mut statuses = BTreeMap::new();
        for member in self.members().await? {
            let asked = self.ask(member.address, Request::Status, STATUS_TIMEOUT);
            let status = match asked.await {
                Some(Reply::Status(status)) => Some(*status),
                _ => None,
            };
            statuses.insert(member.instance, status);
        }
        Ok(statuses)
    }

    /// Merged events of every member.
    pub(crate) async fn timeline(
        &self,
        trace: Option<id::Trace>,
    ) -> Result<Vec<timeline::Event>, Failure> {
        let mut events = Vec::new();
        for member in self.members().await? {
            let request = Request::Timeline(trace);
            let asked = self.ask(member.address, request, ASK_TIMEOUT);
            if let Some(Reply::Timeline(of_member)) = asked.await {
                events.extend(of_member);
            }
        }
        Ok(timeline::merge(events))
    }
}
