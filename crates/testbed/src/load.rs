//! A light load of mixed requests, and what became of them.

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

const INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(7);
const STREAM_TOKENS: u32 = 20;

/// Counts of what callers saw.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that ended.
    pub requests: u32,
    /// Whole answers that belong to their request.
    pub whole: u32,
    /// Answers after the deadline.
    pub late: u32,
    /// Refusals before anything ran.
    pub refused: u32,
    /// Failures after something may have run.
    pub failed: u32,
    /// Answers that ended without their end.
    pub cut: u32,
    /// Answers to something else.
    pub wrong: u32,
    /// What refusals and failures said.
    pub problems: Vec<String>,
}

/// What one request turned out to be.
enum Seen {
    Whole,
    Refused(String),
    Failed(String),
    Cut,
    Wrong,
}

/// A running load.
pub struct Load {
    is_over: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    gateways: Arc<Mutex<Vec<SocketAddr>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Load {
    /// Starts a load over `gateways`, one request every 40 ms.
    pub fn start(gateways: Vec<SocketAddr>) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let gateways = Arc::new(Mutex::new(gateways));
        let task = tokio::spawn(generate(is_over.clone(), tally.clone(), gateways.clone()));
        Load {
            is_over,
            tally,
            gateways,
            task,
        }
    }

    /// Directs later requests to `gateways`, as the platform's balancer does.
    pub fn direct(&self, gateways: Vec<SocketAddr>) {
        *lock(&self.gateways) = gateways;
    }

    /// Stops the load and waits for its last answers.
    ///
    /// # Errors
    ///
    /// Fails when the load panicked.
    pub async fn finish(self) -> eyre::Result<Tally> {
        self.is_over.store(true, Ordering::Relaxed);
        self.task.await?;
        Ok(lock(&self.tally).clone())
    }
}

async fn generate(
    is_over: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    gateways: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let http = reqwest::Client::new();
    let mut interval = tokio::time::interval(INTERVAL);
    let mut requests = tokio::task::JoinSet::new();
    let mut number = 0usize;
    while !is_over.load(Ordering::Relaxed) {
        interval.tick().await;
        let gateway = {
            let gateways = lock(&gateways);
            gateways[number % gateways.len()]
        };
        requests.spawn(one(http.clone(), gateway, number, tally.clone()));
        number += 1;
    }
    while requests.join_next().await.is_some() {}
}

async fn one(http: reqwest::Client, gateway: SocketAddr, number: usize, tally: Arc<Mutex<Tally>>) {
    let start = Instant::now();
    let seen = match number % 3 {
        0 => stream(&http, gateway, &format!("question {number}")).await,
        1 => plain(&http, gateway, "docket-lookup", number, None).await,
        _ => {
            plain(
                &http,
                gateway,
                "pay-fee",
                number,
                Some(format!("load-{number}")),
            )
            .await
        }
    };
    let mut tally = lock(&tally);
    tally.requests += 1;
    tally.late += u32::from(start.elapsed() > DEADLINE);
    match seen {
        Ok(Seen::Whole) => tally.whole += 1,
        Ok(Seen::Refused(problem)) => {
            tally.refused += 1;
            tally.problems.push(problem);
        }
        Ok(Seen::Failed(problem)) => {
            tally.failed += 1;
            tally.problems.push(problem);
        }
        Ok(Seen::Wrong) => tally.wrong += 1,
        Ok(Seen::Cut) => tally.cut += 1,
        Err(err) => {
            tally.cut += 1;
            tally.problems.push(err.to_string());
        }
    }
}

/// Calls a pipeline and checks that the answer belongs to the request.
async fn plain(
    http: &reqwest::Client,
    gateway: SocketAddr,
    pipeline: &str,
    number: usize,
    key: Option<String>,
) -> Result<Seen, reqwest::Error> {
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
        let is_own = body["result"]["input"] == input;
        return Ok(if is_own { Seen::Whole } else { Seen::Wrong });
    }
    Ok(failure(&body))
}

fn failure(body: &Value) -> Seen {
    match body["error"]["executed"].as_str() {
        Some("no") => Seen::Refused(body.to_string()),
        _ => Seen::Failed(body.to_string()),
    }
}

/// Streams a chat answer and checks it token by token.
async fn stream(
    http: &reqwest::Client,
    gateway: SocketAddr,
    prompt: &str,
) -> Result<Seen, reqwest::Error> {
    match chat(http, gateway, prompt, STREAM_TOKENS).await? {
        Chat::Whole(text) => {
            let expected = standin::engine::answer(&format!("user: {prompt}"), STREAM_TOKENS);
            Ok(if text == expected {
                Seen::Whole
            } else {
                Seen::Wrong
            })
        }
        Chat::Error(body) => Ok(failure(&body)),
        Chat::Cut => Ok(Seen::Cut),
    }
}

/// A chat answer as a client sees it.
pub enum Chat {
    /// The text of a stream that ended as it should.
    Whole(String),
    /// An explicit error.
    Error(Value),
    /// A stream without its end.
    Cut,
}

/// Streams a chat answer.
///
/// # Errors
///
/// Fails when the connection breaks.
pub async fn chat(
    http: &reqwest::Client,
    gateway: SocketAddr,
    prompt: &str,
    max_tokens: u32,
) -> Result<Chat, reqwest::Error> {
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
        return Ok(Chat::Error(response.json().await?));
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
            return Ok(Chat::Whole(text));
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Ok(Chat::Cut);
        };
        if event.get("error").is_some() {
            return Ok(Chat::Error(event));
        }
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    Ok(Chat::Cut)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
