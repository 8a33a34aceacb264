//! An upstream whose answers and streams are long.

use platform_standin::server::Action;
use platform_standin::server::Handler;
use platform_standin::server::Request;
use platform_standin::server::response_bytes;

/// Length of an answer in bytes.
const ANSWER_BYTES: usize = 3_900_000;
/// Number of events in a stream, and length of each in bytes.
const EVENTS: usize = 64;
const EVENT_BYTES: usize = 60_000;

/// The upstream of a name.
pub(crate) struct LongUpstream(pub(crate) String);

impl Handler for LongUpstream {
    async fn handle(&self, request: Request) -> Action {
        if request.path == "/api/report" {
            return Action::Respond(response_bytes(404, &[], b""));
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let signature = format!("{}.{id}", self.0);
        let headers = [
            ("x-request-id", id.as_str()),
            ("x-replica-stamp", &signature),
        ];
        if request.path.starts_with("/read/") {
            let length = if id == "last" { 10 } else { ANSWER_BYTES };
            return Action::Respond(response_bytes(200, &headers, &vec![b'a'; length]));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
             x-replica-stamp: {signature}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let mut parts = vec![head.into_bytes()];
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {}\n\n", "a".repeat(EVENT_BYTES));
            parts.push(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
        }
        parts.push(b"0\r\n\r\n".to_vec());
        Action::Stream(parts)
    }
}
