//! HTTP client for upstreams. The only module that knows their wire formats.
//!
//! Engines speak the OpenAI chat completions protocol with server-sent events; plain services take
//! and return JSON. Both echo `x-attempt-id` and report their load at `GET /load`.

use std::time::Duration;

use base::id;
use config::model::Protocol;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use reqwest::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use wire::dispatch::Body;
use wire::dispatch::Cause;

use crate::upstream;
use crate::upstream::Answer;
use crate::upstream::Call;
use crate::upstream::CallError;
use crate::upstream::Endpoint;
use crate::upstream::LoadReport;
use crate::upstream::Piece;
use crate::upstream::UpstreamClient;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ATTEMPT_HEADER: &str = "x-attempt-id";
const BUDGET_HEADER: &str = "x-budget-ms";
/// Largest plain answer, and largest amount of buffered stream data, in bytes.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// HTTP client for upstreams.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
}

/// Body of the response to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadBody {
    in_flight: u32,
    epoch: u64,
    age_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Client {
    /// Creates a client with its own connection pool.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be initialised.
    pub fn new() -> Result<Client, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            // If the upstream closes a reused connection, it is unknown whether it received the
            // request. Retries belong to the gateway, which knows which requests may be repeated.
            .retry(reqwest::retry::never())
            .build()?;
        Ok(Client { http })
    }

    async fn call(&self, endpoint: Endpoint, call: Call) -> Result<Answer, CallError> {
        let (path, body) = match &call.body {
            Body::Plain(body) => ("run", body.clone()),
            Body::Generate {
                prompt,
                max_tokens,
                resume,
            } => (
                "v1/chat/completions",
                chat_body(prompt, *max_tokens, resume),
            ),
        };
        let response = self
            .http
            .post(format!("http://{}/{path}", endpoint.address))
            .header("content-type", "application/json")
            .header(ATTEMPT_HEADER, call.attempt.to_string())
            .header(BUDGET_HEADER, call.budget.as_millis().to_string())
            .timeout(call.budget)
            .body(body)
            .send()
            .await
            .map_err(call_error)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                return Err(CallError::Broken(Cause::Overloaded));
            }
            _ => return Err(CallError::Broken(Cause::Status)),
        }
        let attempt = echoed_attempt(&response).ok_or(CallError::Broken(Cause::Protocol))?;
        let (sender, pieces) = mpsc::channel(upstream::PIECE_BUFFER);
        match endpoint.protocol {
            Protocol::Plain => tokio::spawn(read_plain(response, sender)),
            Protocol::Engine => tokio::spawn(read_stream(response, sender)),
        };
        Ok(Answer { attempt, pieces })
    }

    async fn load_report(&self, endpoint: Endpoint) -> Option<LoadReport> {
        let url = format!("http://{}/load", endpoint.address);
        let request = self.http.get(url).timeout(LOAD_REPORT_TIMEOUT);
        let body: LoadBody = request.send().await.ok()?.json().await.ok()?;
        Some(LoadReport {
            in_flight: body.in_flight,
            epoch: body.epoch,
            age: Duration::from_millis(body.age_ms),
        })
    }
}

impl UpstreamClient for Client {
    fn call(&self, endpoint: Endpoint, call: Call) -> BoxFuture<'_, Result<Answer, CallError>> {
        Box::pin(Client::call(self, endpoint, call))
    }

    fn load_report(&self, endpoint: Endpoint) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(Client::load_report(self, endpoint))
    }

    fn probe(&self, endpoint: Endpoint) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let connect = tokio::net::TcpStream::connect(endpoint.address);
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
            matches!(connected, Ok(Ok(_)))
        })
    }
}

fn chat_body(prompt: &str, max_tokens: u32, resume: &[String]) -> String {
    json!({
        "model": "default",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
        "resume_tokens": resume,
    })
    .to_string()
}

fn echoed_attempt(response: &reqwest::Response) -> Option<id::Attempt> {
    let header = response.headers().get(ATTEMPT_HEADER)?;
    header.to_str().ok()?.parse().ok()
}

fn call_error(err: reqwest::Error) -> CallError {
    if err.is_connect() {
        return CallError::NotSent;
    }
    CallError::Broken(error_cause(&err))
}

fn error_cause(err: &reqwest::Error) -> Cause {
    if err.is_timeout() {
        return Cause::Deadline;
    }
    Cause::Connection
}

/// Reads a plain answer, whose length or last HTTP chunk marks it as complete.
async fn read_plain(response: reqwest::Response, sender: mpsc::Sender<Result<Piece, Cause>>) {
    let mut stream = response.bytes_stream();
    let mut body = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = sender.closed() => return,
        };
        match chunk {
            Some(Ok(bytes)) if body.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Some(Ok(_)) => return send_error(&sender, Cause::Protocol).await,
            Some(Err(err)) => return send_error(&sender, error_cause(&err)).await,
            None => break,
        }
    }
    let Ok(text) = String::from_utf8(body) else {
        return send_error(&sender, Cause::Protocol).await;
    };
    // Sending fails only if the receiver was dropped, which cancels the call.
    let _ = sender.send(Ok(Piece::Part(text))).await;
    let _ = sender.send(Ok(Piece::End)).await;
}

/// Reads a token stream, which only the event `[DONE]` marks as complete.
async fn read_stream(response: reqwest::Response, sender: mpsc::Sender<Result<Piece, Cause>>) {
    let mut stream = response.bytes_stream();
    let mut buffer = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = sender.closed() => return,
        };
        match chunk {
            Some(Ok(bytes)) => buffer.extend_from_slice(&bytes),
            Some(Err(err)) => return send_error(&sender, error_cause(&err)).await,
            None => return send_error(&sender, Cause::Connection).await,
        }
        if buffer.len() > MAX_ANSWER_BYTES {
            return send_error(&sender, Cause::Protocol).await;
        }
        while let Some(event) = next_event(&mut buffer) {
            let piece = match parse_event(&event) {
                Ok(Some(piece)) => piece,
                Ok(None) => continue,
                Err(cause) => return send_error(&sender, cause).await,
            };
            let is_end = piece == Piece::End;
            if sender.send(Ok(piece)).await.is_err() || is_end {
                return;
            }
        }
    }
}

async fn send_error(sender: &mpsc::Sender<Result<Piece, Cause>>, cause: Cause) {
    let _ = sender.send(Err(cause)).await;
}

/// Removes the first event, terminated by a blank line, from `buffer` and returns it.
fn next_event(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buffer.windows(2).position(|it| it == b"\n\n")?;
    let rest = buffer.split_off(end + 2);
    let mut event = std::mem::replace(buffer, rest);
    event.truncate(end);
    Some(event)
}

/// Parses the piece that an event carries; `None` for comments and empty deltas.
fn parse_event(event: &[u8]) -> Result<Option<Piece>, Cause> {
    let Some(data) = event.strip_prefix(b"data: ") else {
        return Ok(None);
    };
    if data == b"[DONE]" {
        return Ok(Some(Piece::End));
    }
    let chunk: Chunk = serde_json::from_slice(data).map_err(|_| Cause::Protocol)?;
    let mut choices = chunk.choices.into_iter();
    let content = choices.next().and_then(|it| it.delta.content);
    Ok(content.map(Piece::Part))
}
