//! A model engine: streams tokens that depend only on the prompt, and resumes after given ones.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use serde::Deserialize;
use serde_json::json;

use crate::upstream;
use crate::upstream::Flight;
use crate::upstream::Upstream;

pub use fakes::tokens::answer;
use fakes::tokens::token;

const BODY_MAX: usize = 4 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct Body {
    messages: Vec<Message>,
    max_tokens: u32,
    #[serde(default)]
    resume_tokens: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

pub(crate) struct Generate(pub(crate) Arc<Upstream>);

#[salvo::async_trait]
impl Handler for Generate {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        upstream::echo(&self.0, request, response);
        let payload = request.payload_with_max_size(BODY_MAX).await;
        let body = payload
            .ok()
            .and_then(|it| serde_json::from_slice::<Body>(it).ok());
        let Some(body) = body else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(flight) = self.0.begin(None) else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        };
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", event_stream);
        let sender = response.channel();
        tokio::spawn(stream(self.0.clone(), flight, body, sender));
    }
}

async fn stream(upstream: Arc<Upstream>, flight: Flight, body: Body, mut sender: BodySender) {
    let prompt: String = body.messages.iter().map(|it| it.content.as_str()).collect();
    upstream.crash_on_poison(&prompt);
    let is_cut = upstream.takes_cut();
    let total = body.max_tokens as usize;
    let first = body.resume_tokens.len();
    for idx in first..total {
        tokio::time::sleep(upstream.step()).await;
        if is_cut && idx == first + (total - first) / 2 {
            sender.send_error(std::io::Error::other("cut"));
            return;
        }
        let data = json!({"choices": [{"delta": {"content": token(&prompt, idx)}}]});
        if sender.send_data(format!("data: {data}\n\n")).await.is_err() {
            // The caller cancelled.
            return;
        }
    }
    if sender.send_data("data: [DONE]\n\n").await.is_ok() {
        flight.complete();
    }
}
