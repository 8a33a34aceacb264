//! A client that receives one stream over several attempts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::client;
use platform_standin::client::Response;
use platform_standin::site::API_KEY;
use platform_standin::site::EVENTS_PER_STREAM;

/// Events after which a client loses its connection.
pub(super) const EVENTS_BEFORE_BREAK: usize = 3;
/// Attempts of a client for one stream.
const CLIENT_ATTEMPTS_MAX: usize = 3;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Event {
    number: u64,
    /// Software version of the upstream that wrote it.
    version: String,
}

/// A client that receives a stream over several attempts, each with an id of its own.
#[derive(Debug)]
pub(super) struct Download {
    target: String,
    pub(super) name: String,
    /// Id of the attempt that brought the first event.
    first_attempt: Option<String>,
    /// Status of each attempt; 0 without a response.
    pub(super) statuses: Vec<u16>,
    events: Vec<Event>,
    pub(super) is_complete: bool,
}

impl Download {
    pub(super) fn new(route: &str, name: &str) -> Download {
        Download {
            target: format!("POST /{route}/1"),
            name: name.to_owned(),
            first_attempt: None,
            statuses: Vec::new(),
            events: Vec::new(),
            is_complete: false,
        }
    }

    /// Id of the last attempt.
    pub(super) fn last_attempt(&self) -> String {
        format!("{}-{}", self.name, self.statuses.len())
    }

    /// Sends the next attempt, which takes the stream up if an event has arrived. The client loses
    /// its connection after `events_max` events.
    pub(super) async fn attempt(
        &mut self,
        client_address: SocketAddr,
        events_max: usize,
    ) -> Response {
        let id = format!("{}-{}", self.name, self.statuses.len() + 1);
        let mut headers = vec![
            format!("authorization: Bearer {API_KEY}"),
            format!("x-request-id: {id}"),
            "x-deadline-ms: 10000".to_owned(),
            // No prompts share a part, so that they have no preferred upstream.
            format!("x-prompt-prefix: {}:50", self.name),
        ];
        if let (Some(last), Some(first_attempt)) = (self.events.last(), &self.first_attempt) {
            headers.push(format!("last-event-id: {}", last.number));
            headers.push(format!("resumes: {first_attempt}"));
        }
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        let response =
            client::receive_events(client_address, &self.target, &headers, events_max).await;
        self.statuses.push(response.status);
        if response.status == 200 {
            self.events.extend(parse_events(&response.body));
            self.is_complete = response.is_complete;
        }
        if !self.events.is_empty() {
            self.first_attempt.get_or_insert(id);
        }
        response
    }

    /// Begins the stream, and loses the connection after [`EVENTS_BEFORE_BREAK`] events.
    pub(super) async fn begin(&mut self, client_address: SocketAddr) {
        let response = self.attempt(client_address, EVENTS_BEFORE_BREAK).await;
        assert_eq!(response.status, 200, "{}: {}", self.name, response.head);
        assert!(!self.events.is_empty() && !self.is_complete, "{self:?}");
    }

    /// Sends attempts, at most [`CLIENT_ATTEMPTS_MAX`] in all, until the stream is complete or a
    /// response asks for a pause that leaves no time.
    pub(super) async fn finish(&mut self, client_addresses: &[SocketAddr]) {
        while !self.is_complete && self.statuses.len() < CLIENT_ATTEMPTS_MAX {
            let client_address = client_addresses[self.statuses.len() % client_addresses.len()];
            let response = self.attempt(client_address, usize::MAX).await;
            tokio::time::sleep(retry_after(&response)).await;
        }
    }

    /// Software versions that wrote the events.
    pub(super) fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|it| it.version.as_str()).collect()
    }

    /// Version of the first event.
    pub(super) fn first_version(&self) -> &str {
        self.events.first().map_or("", |it| it.version.as_str())
    }

    /// Panics if the events are not those of one version in sequence.
    pub(super) fn check_events(&self) {
        assert!(self.versions().len() <= 1, "joined: {self:?}");
        let numbers = self.events.iter().map(|it| it.number);
        assert!(numbers.eq(1..=self.events.len() as u64), "{self:?}");
        let is_whole = self.events.len() == EVENTS_PER_STREAM as usize;
        assert_eq!(self.is_complete, is_whole, "{self:?}");
    }
}

/// Complete events of a body.
fn parse_events(body: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(body);
    let (complete, _) = text.rsplit_once("\n\n").unwrap_or_default();
    let events = complete.split("\n\n").filter_map(|it| {
        let (id, data) = it.split_once('\n')?;
        Some(Event {
            number: id.strip_prefix("id: ")?.parse().ok()?,
            version: data.rsplit_once(' ')?.1.to_owned(),
        })
    });
    events.collect()
}

/// Pause that a response asks for.
fn retry_after(response: &Response) -> Duration {
    let mut lines = response.head.lines();
    let seconds = lines.find_map(|it| it.strip_prefix("retry-after: "));
    let seconds = seconds.and_then(|it| it.trim().parse().ok());
    seconds.map_or(Duration::ZERO, Duration::from_secs_f64)
}
