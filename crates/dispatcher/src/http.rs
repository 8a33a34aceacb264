//! Upstreams over HTTP. The only module that knows their wire formats.
//!
//! Engines speak the chat-completions form with server-sent events, plain services take and give
//! JSON. Both echo `x-attempt-id`; both give their load at `GET /load`.

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
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ATTEMPT_HEADER: &str = "x-attempt-id";
const BUDGET_HEADER: &str = "x-budget-ms";
/// Largest plain answer, and largest event of a stream, in bytes.
const ANSWER_MAX: usize = 2 * 1024 * 1024;

/// HTTP client for upstreams.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
}

/// Load as upstreams give it.
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
    /// A client with its own connection pool.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library cannot start.
    pub fn new() -> Result<Client, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            // A request on a reused connection that the upstream just closed cannot be told from
            // one that was sent; retries belong to the gateway, which knows what may be repeated.
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
            } => ("v1/chat/completions", chat(prompt, *max_tokens, resume)),
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
            .map_err(failure)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                return Err(CallError::Broken(Cause::Overloaded));
            }
            _ => return Err(CallError::Broken(Cause::Status)),
        }
        let attempt = echoed(&response).ok_or(CallError::Broken(Cause::Protocol))?;
        let (sender, pieces) = mpsc::channel(upstream::PIECE_BUFFER);
        match endpoint.protocol {
            Protocol::Plain => tokio::spawn(plain(response, sender)),
            Protocol::Engine => tokio::spawn(stream(response, sender)),
        };
        Ok(Answer { attempt, pieces })
    }

    async fn load_report(&self, endpoint: Endpoint) -> Option<LoadReport> {
        let url = format!("http://{}/load", endpoint.address);
        let request = self.http.get(url).timeout(REPORT_TIMEOUT);
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

fn chat(prompt: &str, max_tokens: u32, resume: &[String]) -> String {
    json!({
        "model": "default",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
        "resume_tokens": resume,
    })
    .to_string()
}

fn echoed(response: &reqwest::Response) -> Option<id::Attempt> {
    let header = response.headers().get(ATTEMPT_HEADER)?;
    header.to_str().ok()?.parse().ok()
}

fn failure(err: reqwest::Error) -> CallError {
    if err.is_connect() {
        return CallError::NotSent;
    }
    CallError::Broken(cause(&err))
}

fn cause(err: &reqwest::Error) -> Cause {
    if err.is_timeout() {
        return Cause::Deadline;
    }
    Cause::Connection
}

/// Reads a plain answer; its length or chunk end tells that it is whole.
async fn plain(response: reqwest::Response, sender: mpsc::Sender<Result<Piece, Cause>>) {
    let mut stream = response.bytes_stream();
    let mut body = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = sender.closed() => return,
        };
        match chunk {
            Some(Ok(bytes)) if body.len() + bytes.len() <= ANSWER_MAX => {
                body.extend_from_slice(&bytes);
            }
            Some(Ok(_)) => return fail(&sender, Cause::Protocol).await,
            Some(Err(err)) => return fail(&sender, cause(&err)).await,
            None => break,
        }
    }
    let Ok(text) = String::from_utf8(body) else {
        return fail(&sender, Cause::Protocol).await;
    };
    // A receiver that has gone away cancelled the call.
    let _ = sender.send(Ok(Piece::Part(text))).await;
    let _ = sender.send(Ok(Piece::End)).await;
}

/// Reads a token stream; only its end marker tells that it is whole.
async fn stream(response: reqwest::Response, sender: mpsc::Sender<Result<Piece, Cause>>) {
    let mut stream = response.bytes_stream();
    let mut buffer = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = sender.closed() => return,
        };
        match chunk {
            Some(Ok(bytes)) => buffer.extend_from_slice(&bytes),
            Some(Err(err)) => return fail(&sender, cause(&err)).await,
            None => return fail(&sender, Cause::Connection).await,
        }
        if buffer.len() > ANSWER_MAX {
            return fail(&sender, Cause::Protocol).await;
        }
        while let Some(event) = next_event(&mut buffer) {
            let piece = match parse_event(&event) {
                Ok(Some(piece)) => piece,
                Ok(None) => continue,
                Err(cause) => return fail(&sender, cause).await,
            };
            let is_end = piece == Piece::End;
            if sender.send(Ok(piece)).await.is_err() || is_end {
                return;
            }
        }
    }
}

async fn fail(sender: &mpsc::Sender<Result<Piece, Cause>>, cause: Cause) {
    let _ = sender.send(Err(cause)).await;
}

/// Takes the next event, which a blank line ends, out of `buffer`.
fn next_event(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buffer.windows(2).position(|it| it == b"\n\n")?;
    let rest = buffer.split_off(end + 2);
    let mut event = std::mem::replace(buffer, rest);
    event.truncate(end);
    Some(event)
}

/// The piece that an event carries; `None` for comments and empty deltas.
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
