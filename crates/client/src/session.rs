//! Requests to the dispatchers of a deployment.

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

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// QUIC client of the dispatchers listed in the settings.
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

    async fn request(&self, to: SocketAddr, request: Request, timeout: Duration) -> Option<Reply> {
        let response = wire::peer::request(&self.client, to, request);
        tokio::time::timeout(timeout, response).await.ok()?.ok()
    }

    /// Sends a request to each dispatcher in turn until one answers.
    async fn request_any(&self, request: Request) -> Result<Reply, Failure> {
        for to in &self.settings.dispatchers {
            if let Some(reply) = self.request(*to, request.clone(), REQUEST_TIMEOUT).await {
                return Ok(reply);
            }
        }
        Err(Failure::Unreachable)
    }

    /// Fetches the configuration in force; the initial document if there is none.
    pub(crate) async fn document(&self) -> Result<Document, Failure> {
        match self.request_any(Request::Document).await? {
            Reply::Document(Some(document)) => Ok(*document),
            Reply::Document(None) => Ok(Document::initial()),
            _ => Err(Failure::Unreachable),
        }
    }

    /// Submits a change. If a response is lost, the request is repeated at the next dispatcher with
    /// the same token, which makes the change idempotent.
    pub(crate) async fn change(&self, action: Action) -> Result<ChangeResult, Failure> {
        let change = Change {
            author: self.settings.author.clone(),
            token: id::Token::random(&mut rand::rng()),
            action,
        };
        let request = Request::Change(Box::new(change));
        match self.request_any(request.clone()).await? {
            Reply::Changed(ChangeResult::Spreading) => {
                self.broadcast(request).await;
                Ok(ChangeResult::Spreading)
            }
            Reply::Changed(result) => Ok(result),
            _ => Err(Failure::Unreachable),
        }
    }

    /// Sends a drain that the table has not stored yet to every dispatcher, since the first one may
    /// be partitioned from the others. The token makes the repetition idempotent.
    async fn broadcast(&self, request: Request) {
        for to in &self.settings.dispatchers {
            // A dispatcher that does not answer is reported when the client waits for the drain.
            let _ = self.request(*to, request.clone(), STATUS_TIMEOUT).await;
        }
    }

    /// Fetches the members that have not left from the first dispatcher that answers.
    async fn members(&self) -> Result<Vec<member::Record>, Failure> {
        let Reply::Status(status) = self.request_any(Request::Status).await? else {
            return Err(Failure::Unreachable);
        };
        let present = |it: &member::Record| it.state != member::State::Gone && it.incarnation > 0;
        Ok(status.members.into_iter().filter(present).collect())
    }

    /// Fetches the status of every member; `None` for one that does not answer.
    pub(crate) async fn statuses(&self) -> Result<BTreeMap<id::Instance, Option<Status>>, Failure> {
        let mut statuses = BTreeMap::new();
        for member in self.members().await? {
            let response = self.request(member.address, Request::Status, STATUS_TIMEOUT);
            let status = match response.await {
                Some(Reply::Status(status)) => Some(*status),
                _ => None,
            };
            statuses.insert(member.instance, status);
        }
        Ok(statuses)
    }

    /// Fetches and merges the events of every member, of one trace if `trace` is given; skips
    /// members that do not answer.
    pub(crate) async fn timeline(
        &self,
        trace: Option<id::Trace>,
    ) -> Result<Vec<timeline::Event>, Failure> {
        let mut events = Vec::new();
        for member in self.members().await? {
            let request = Request::Timeline(trace);
            let response = self.request(member.address, request, REQUEST_TIMEOUT);
            if let Some(Reply::Timeline(member_events)) = response.await {
                events.extend(member_events);
            }
        }
        Ok(timeline::merge(events))
    }
}
