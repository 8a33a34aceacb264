//! Load generator with a mix of chat streams and pipeline requests; counts their results.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;

const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(7);
const STREAM_TOKENS: u32 = 20;

/// Number of requests by result, as seen by callers.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    /// Completed requests, whatever their result.
    pub requests: u32,
    /// Complete responses that match their request.
    pub complete: u32,
    /// Requests that ended after the deadline; also counted by their result.
    pub late: u32,
    /// Errors that state that nothing was executed.
    pub refused: u32,
    /// Errors after which something may have been executed.
    pub failed: u32,
    /// Responses that broke off, and connection errors.
    pub truncated: u32,
    /// Complete responses that do not match their request.
    pub mismatched: u32,
    /// Bodies of error responses, and connection errors.
    pub error_messages: Vec<String>,
}

/// Result of one request; errors hold the response body.
enum RequestOutcome {
    Complete,
    Refused(String),
    Failed(String),
    Truncated,
    Mismatched,
}

/// A running load generator.
pub struct LoadGenerator {
    is_stopping: Arc<AtomicBool>,
    counts: Arc<Mutex<LoadCounts>>,
    gateways: Arc<Mutex<Vec<SocketAddr>>>,
    task: tokio::task::JoinHandle<()>,
}

impl LoadGenerator {
    /// Starts sending requests to `gateways` in turn, one every 40 ms.
    pub fn start(gateways: Vec<SocketAddr>) -> LoadGenerator {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Mutex::new(LoadCounts::default()));
        let gateways = Arc::new(Mutex::new(gateways));
        let task = tokio::spawn(generate_load(
            is_stopping.clone(),
            counts.clone(),
            gateways.clone(),
        ));
        LoadGenerator {
            is_stopping,
            counts,
            gateways,
            task,
        }
    }

    /// Sends later requests to `gateways` instead, as the platform's load balancer does.
    pub fn set_gateways(&self, gateways: Vec<SocketAddr>) {
        *lock(&self.gateways) = gateways;
    }

    /// Stops sending requests, waits for the pending ones and returns the counts.
    ///
    /// # Errors
    ///
    /// Fails if the task of the load generator panicked.
    pub async fn finish(self) -> eyre::Result<LoadCounts> {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.task.await?;
        Ok(lock(&self.counts).clone())
    }
}

async fn generate_load(
    is_stopping: Arc<AtomicBool>,
    counts: Arc<Mutex<LoadCounts>>,
    gateways: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let http = reqwest::Client::new();
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    let mut requests = tokio::task::JoinSet::new();
    let mut number = 0usize;
    while !is_stopping.load(Ordering::Relaxed) {
        interval.tick().await;
        let gateway = {
            let gateways = lock(&gateways);
            gateways[number % gateways.len()]
        };
        requests.spawn(run_request(http.clone(), gateway, number, counts.clone()));
        number += 1;
    }
    while requests.join_next().await.is_some() {}
}

async fn run_request(
    http: reqwest::Client,
    gateway: SocketAddr,
    number: usize,
    counts: Arc<Mutex<LoadCounts>>,
) {
    let start = Instant::now();
    let outcome = match number % 3 {
        0 => send_chat(&http, gateway, &format!("question {number}")).await,
        1 => call_pipeline(&http, gateway, "docket-lookup", number, None).await,
        _ => {
            call_pipeline(
                &http,
                gateway,
                "pay-fee",
                number,
                Some(format!("load-{number}")),
            )
            .await
        }
    };
    let mut counts = lock(&counts);
    counts.requests += 1;
    counts.late += u32::from(start.elapsed() > DEADLINE);
    match outcome {
        Ok(RequestOutcome::Complete) => counts.complete += 1,
        Ok(RequestOutcome::Refused(problem)) => {
            counts.refused += 1;
            counts.error_messages.push(problem);
        }
        Ok(RequestOutcome::Failed(problem)) => {
            counts.failed += 1;
            counts.error_messages.push(problem);
        }
        Ok(RequestOutcome::Mismatched) => counts.mismatched += 1,
        Ok(RequestOutcome::Truncated) => counts.truncated += 1,
        Err(err) => {
            counts.truncated += 1;
            counts.error_messages.push(err.to_string());
        }
    }
}

/// Calls a pipeline and checks that the response matches the request.
async fn call_pipeline(
    http: &reqwest::Client,
    gateway: SocketAddr,
    pipeline: &str,
    number: usize,
    key: Option<String>,
) -> Result<RequestOutcome, reqwest::Error> {
    let input = json!({"case": number});
    let mut request = http
        .post(format!("http://{gateway}/v1/pipelines/{pipeline}"))
        .header("x-workspace", "clerks")
        .json(&json!({"input": input}));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let response = request.send().await?;
    let is_success = response.status().is_success();
    let body: Value = response.json().await?;
    if is_success {
        let is_matching = body["result"]["input"] == input;
        return Ok(if is_matching {
            RequestOutcome::Complete
        } else {
            RequestOutcome::Mismatched
        });
    }
    Ok(classify_error(&body))
}

fn classify_error(body: &Value) -> RequestOutcome {
    match body["error"]["executed"].as_str() {
        Some("no") => RequestOutcome::Refused(body.to_string()),
        _ => RequestOutcome::Failed(body.to_string()),
    }
}

/// Requests a chat stream and compares its text with the expected one.
async fn send_chat(
    http: &reqwest::Client,
    gateway: SocketAddr,
    prompt: &str,
) -> Result<RequestOutcome, reqwest::Error> {
    match stream_chat(http, gateway, prompt, STREAM_TOKENS).await? {
        ChatResult::Complete(text) => {
            let expected = standin::engine::answer(&format!("user: {prompt}"), STREAM_TOKENS);
            Ok(if text == expected {
                RequestOutcome::Complete
            } else {
                RequestOutcome::Mismatched
            })
        }
        ChatResult::Error(body) => Ok(classify_error(&body)),
        ChatResult::Truncated => Ok(RequestOutcome::Truncated),
    }
}

/// Result of a chat request as the caller sees it.
pub enum ChatResult {
    /// Text of a stream that ended with `[DONE]`.
    Complete(String),
    /// Body of an error response or of an error event.
    Error(Value),
    /// The stream ended without `[DONE]` or with an event that is not JSON.
    Truncated,
}

/// Sends a streaming chat request and reads the whole response.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn stream_chat(
    http: &reqwest::Client,
    gateway: SocketAddr,
    prompt: &str,
    max_tokens: u32,
) -> Result<ChatResult, reqwest::Error> {
    let response = http
        .post(format!("http://{gateway}/v1/chat/completions"))
        .header("authorization", "Bearer litigants")
        .json(&json!({
            "model": "chat",
            "messages": [{"role": "user", "content": prompt}],
            "stream": true,
            "max_tokens": max_tokens,
        }))
        .send()
        .await?;
    if !response.status().is_success() {
        return Ok(ChatResult::Error(response.json().await?));
    }
    let mut buffer = String::new();
    let mut bytes = response.bytes_stream();
    while let Some(chunk) = bytes.next().await {
        buffer.push_str(&String::from_utf8_lossy(&chunk?));
    }
    let mut text = String::new();
    for line in buffer.lines() {
        let Some(data) = line.strip_prefix("data:").map(str::trim_start) else {
            continue;
        };
        if data == "[DONE]" {
            return Ok(ChatResult::Complete(text));
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Ok(ChatResult::Truncated);
        };
        if event.get("error").is_some() {
            return Ok(ChatResult::Error(event));
        }
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    Ok(ChatResult::Truncated)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
